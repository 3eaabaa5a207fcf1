from __future__ import annotations

import asyncio
import io
from typing import Any

import pytest

from balsamhead.errors import LogUnavailableError
from balsamhead.mesh._calls import (
    BodyPipe,
    BodyRest,
    Call,
    Outcome,
    OutcomeUnknown,
    UpstreamResponse,
)
from balsamhead.mesh._server import Reply, Request
from balsamhead.platform.store import StoreClient
from balsamhead.proxy._http import read_response_head
from balsamhead.util.http1 import FramingError, parse_response_head
from standin.virtual_network import CURRENT_HOST
from tests.test_mesh.builders import (
    NODE_1,
    NODE_2,
    NODE_3,
    FakeUpstream,
    RequestSender,
    run_virtual,
    start_cluster,
)
from tests.test_mesh.connection_builders import RESPONSE, RawUpstream, run_exchange

#: status lines that can't be read
UNREADABLE = ["000", "001", "099", "600", "700", "999", "0", "20", "1000", "-20", "2x0", "101"]
#: heads of interim responses with fields that only a final response has
FINAL_FIELDS = [
    b"Content-Length: 4\r\n",
    b"Content-Length: 0\r\n",
    b"Transfer-Encoding: chunked\r\n",
]


def replace_status(response: bytes, status: str) -> bytes:
    return response.replace(b"200 OK", status.encode() + b" Odd")


@pytest.mark.parametrize("status", UNREADABLE)
def test_status_outside_of_100_to_599_is_malformed(status: str) -> None:
    head = replace_status(b"HTTP/1.1 200 OK\r\nA: b\r\n\r\n", status)
    with pytest.raises(FramingError):
        parse_response_head(head, method="GET", excluded_headers=frozenset())


def test_each_status_of_100_to_599_but_a_protocol_switch_is_readable() -> None:
    for status in (*range(100, 101), *range(102, 600)):
        head = replace_status(b"HTTP/1.1 200 OK\r\nA: b\r\n\r\n", str(status))
        parsed = parse_response_head(head, method="GET", excluded_headers=frozenset())
        assert parsed.status == status


# STATUS: a response with the status 999 was delivered to the caller as an answer.
@pytest.mark.parametrize("status", UNREADABLE)
def test_response_with_an_unreadable_status_is_lost_at_once(status: str) -> None:
    assert run_exchange(replace_status(RESPONSE, status)) == OutcomeUnknown("answer-malformed")


@pytest.mark.parametrize("status", ["100", "103", "150"])
@pytest.mark.parametrize("field", FINAL_FIELDS)
def test_interim_status_where_a_final_response_is_due_is_lost(status: str, field: bytes) -> None:
    response = replace_status(RESPONSE, status).replace(b"Content-Length: 4\r\n", field)
    assert run_exchange(response) == OutcomeUnknown("answer-malformed")
    stamped = replace_status(RESPONSE, status).replace(b"Content-Length: 4\r\n\r\nfine", b"\r\n")
    assert run_exchange(stamped) == OutcomeUnknown("answer-malformed")


# A body that looks like a response must not be taken for the final one.
def test_body_of_an_interim_status_is_not_read_as_the_final_response() -> None:
    interim = b"HTTP/1.1 100 Odd\r\nContent-Length: %d\r\n\r\n" % len(RESPONSE)
    assert run_exchange(interim + RESPONSE) == OutcomeUnknown("answer-malformed")


def test_interim_responses_before_the_final_one_are_skipped() -> None:
    for interim in (b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n"):
        outcome = run_exchange(interim + RESPONSE)
        assert isinstance(outcome, UpstreamResponse)
        assert (outcome.status, outcome.body) == (200, b"fine")


def test_interim_response_without_a_final_one_is_lost() -> None:
    outcome = run_exchange(b"HTTP/1.1 100 Continue\r\n\r\n", close=True)
    assert isinstance(outcome, OutcomeUnknown)


# The same on the first path, which reads from a blocking stream.
@pytest.mark.parametrize("status", UNREADABLE)
def test_blocking_reader_refuses_an_unreadable_status(status: str) -> None:
    reader: Any = io.BufferedReader(io.BytesIO(replace_status(RESPONSE, status)))
    with pytest.raises(FramingError):
        read_response_head(reader, method="GET", limit=4096)


@pytest.mark.parametrize("field", FINAL_FIELDS)
def test_blocking_reader_refuses_an_interim_status_with_a_body(field: bytes) -> None:
    response = replace_status(RESPONSE, "100").replace(b"Content-Length: 4\r\n", field)
    reader: Any = io.BufferedReader(io.BytesIO(response))
    with pytest.raises(FramingError):
        read_response_head(reader, method="GET", limit=4096)


async def check_lost(send_request: RequestSender, upstreams: list[FakeUpstream]) -> None:
    """Check that a request that runs at most once isn't answered, and a safe one runs elsewhere."""
    for number in range(4):
        response = await send_request(NODE_3, f"/accept/{number}", method="POST", body=b"x")
        assert response.status in (200, 502)
        assert response.body.startswith(b"from i-node-2") == (response.status == 200)
        assert (await send_request(NODE_3)).body == b"from i-node-2"
    assert all(count == 1 for row in upstreams for count in row.run_counts.values())


@pytest.mark.parametrize("status", [600, 999, 100, 150])
def test_caller_never_gets_an_unreadable_status_as_an_answer(status: int) -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_2, NODE_3)

        def reply(request: Request) -> Reply:
            request_id = request.head.headers[b"request-id"][0]
            return Reply(status, b"odd", b"Request-Id: %b\r\nServer-Stamp: s\r\n" % request_id)

        cluster.members[1].upstream.make_custom_reply = reply
        await check_lost(send_request, [cluster.members[1].upstream])

    run_virtual(main)


# A peer of another release, or with a fault, may pass on what this node would not have read.
@pytest.mark.parametrize("status", [0, 99, 100, 101, 199, 600, 999, -1])
@pytest.mark.parametrize("streamed", [False, True])
def test_unreadable_status_from_a_peer_is_lost(status: int, *, streamed: bool) -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_2, NODE_3)

        async def run(call: Call, body: bytes, rest: BodyRest | None = None) -> Outcome:
            if not streamed:
                return UpstreamResponse(status, b"Odd", b"", b"odd", 3, None)
            pipe = BodyPipe()
            pipe.push(b"odd")
            pipe.finish()
            return UpstreamResponse(status, b"Odd", b"", b"", 3, pipe)

        cluster.members[1].node._local_upstream.run = run  # type: ignore[method-assign]
        await check_lost(send_request, [])

    run_virtual(main)


# The store's clients must not take such a response for a result either.
@pytest.mark.parametrize("status", ["000", "999", "100", "600"])
def test_unreadable_status_of_the_store_is_no_result(status: str) -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()

        class OddStore(RawUpstream):
            def data_received(self, data: bytes) -> None:
                self.transport.write(replace_status(RESPONSE, status))

        CURRENT_HOST.set("10.9.0.1")
        await loop.create_server(OddStore, "10.9.0.1", 8000)
        store = StoreClient("10.9.0.1:8000")
        with pytest.raises(LogUnavailableError):
            await store.read_newest("t")

    run_virtual(main)
