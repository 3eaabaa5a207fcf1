from __future__ import annotations

import asyncio

import pytest

from balsamhead.mesh._calls import NotExecuted, OutcomeUnknown, UpstreamResponse
from tests.test_mesh.builders import run_virtual
from tests.test_mesh.connection_builders import RESPONSE, connect, run_exchange, send

REFUSAL = b"HTTP/1.1 503 No\r\n%bNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"


# REFUSED: an earlier refusal, written once more, was taken for the response to a running request.
@pytest.mark.parametrize("id_line", [b"", b"Request-Id: r0\r\n", b"Request-Id: \r\n"])
def test_refusal_without_the_id_of_the_request_never_means_that_it_did_not_run(
    id_line: bytes,
) -> None:
    outcome = run_exchange(REFUSAL % id_line)
    assert isinstance(outcome, OutcomeUnknown)


def test_response_without_an_id_is_not_delivered() -> None:
    outcome = run_exchange(RESPONSE.replace(b"Request-Id: r1\r\n", b""))
    assert isinstance(outcome, OutcomeUnknown)


def test_response_behind_a_repeated_refusal_is_delivered() -> None:
    outcome = run_exchange(REFUSAL % b"Request-Id: r0\r\n" + RESPONSE)
    assert isinstance(outcome, UpstreamResponse)


@pytest.mark.parametrize("delay_s", [0.0, 0.05])
def test_refusal_that_is_repeated_between_requests_ends_the_connection(delay_s: float) -> None:
    async def main() -> None:
        conn, upstream = await connect()
        future = send(conn)
        refusal = REFUSAL % b"Request-Id: r1\r\n"
        upstream.transport.write(refusal)
        if delay_s:
            await asyncio.sleep(delay_s)
        upstream.transport.write(refusal)
        assert isinstance(await future, NotExecuted)
        await asyncio.sleep(0.01)
        assert not conn.is_usable(asyncio.get_running_loop().time())

    run_virtual(main)


def test_connection_ends_after_a_response_without_an_id() -> None:
    async def main() -> None:
        conn, upstream = await connect()
        future = send(conn)
        upstream.transport.write(REFUSAL % b"")
        assert isinstance(await future, OutcomeUnknown)
        assert not conn.is_usable(asyncio.get_running_loop().time())

    run_virtual(main)
