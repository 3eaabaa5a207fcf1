from __future__ import annotations

import asyncio

import pytest

from balsamhead.mesh._calls import BodyRest, NotExecuted, OutcomeUnknown, UpstreamResponse
from tests.test_mesh.builders import run_virtual
from tests.test_mesh.connection_builders import (
    HEAD,
    RESPONSE,
    connect,
    run_exchange,
    send,
)


def test_request_is_sent_with_the_platform_headers() -> None:
    async def main() -> None:
        conn, upstream = await connect()
        send(conn)
        await asyncio.sleep(0.01)
        assert upstream.received == (
            b"GET /a?q=1 HTTP/1.1\r\nHost: a\r\nRequest-Id: r1\r\nDeadline-Ms: 900\r\n"
            b"Caller-Service: registry\r\nTarget-Instance: i-1\r\n\r\n"
        )

    run_virtual(main)


def test_response_is_complete_for_any_split_into_chunks() -> None:
    for split_at in range(1, len(RESPONSE), 7):
        outcome = run_exchange(RESPONSE[:split_at], RESPONSE[split_at:])
        assert isinstance(outcome, UpstreamResponse)
        assert (outcome.status, outcome.body, outcome.body_stream) == (200, b"fine", None)


def test_late_response_to_an_earlier_request_is_discarded() -> None:
    late = RESPONSE.replace(b"r1", b"r0").replace(b"fine", b"old!")
    outcome = run_exchange(late + RESPONSE)
    assert isinstance(outcome, UpstreamResponse)
    assert outcome.body == b"fine"


def test_response_without_length_ends_when_the_connection_closes() -> None:
    outcome = run_exchange(HEAD + b"\r\nfi", b"ne", close=True)
    assert isinstance(outcome, UpstreamResponse)
    assert outcome.body == b"fine"


@pytest.mark.parametrize(
    ("chunks", "reset"),
    [
        ((HEAD + b"\r\nfi",), True),
        ((HEAD + b"Content-Length: 9\r\n\r\nfine",), True),
        ((HEAD + b"Content-Length: 9\r\n\r\nfine",), False),
        ((HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n",), True),
        ((b"\x00\x01garbage\r\n\r\n",), False),
        ((RESPONSE.replace(b"Server-Stamp", b"Other"),), False),
        (
            (RESPONSE.replace(b"Server-Stamp: s", b"Server-Stamp: s\r\nContent-Encoding: br"),),
            False,
        ),
        ((RESPONSE.replace(b"r1", b"r0"),), False),
        ((), True),
    ],
)
def test_incomplete_or_invalid_response_is_lost(chunks: tuple[bytes, ...], reset: bool) -> None:
    assert isinstance(run_exchange(*chunks, reset=reset), OutcomeUnknown)


@pytest.mark.parametrize(
    ("status", "line"), [(b"503", b"Not-Executed: 1\r\n"), (b"421", b"Instance-Id: i-2\r\n")]
)
def test_not_executed_response_is_reported_as_rejected(status: bytes, line: bytes) -> None:
    head = b"HTTP/1.1 " + status + b" No\r\nRequest-Id: r1\r\n" + line
    assert isinstance(run_exchange(head + b"Content-Length: 0\r\n\r\n"), NotExecuted)


def test_connection_with_extra_bytes_after_a_response_is_not_reused() -> None:
    async def main() -> None:
        conn, upstream = await connect()
        future = send(conn)
        upstream.transport.write(RESPONSE + b"extra")
        assert isinstance(await future, UpstreamResponse)
        assert not conn.is_usable(asyncio.get_running_loop().time())

    run_virtual(main)


def test_unsolicited_bytes_close_an_idle_connection() -> None:
    async def main() -> None:
        conn, upstream = await connect()
        future = send(conn)
        upstream.transport.write(RESPONSE)
        assert isinstance(await future, UpstreamResponse)
        loop = asyncio.get_running_loop()
        assert conn.is_usable(loop.time())
        upstream.transport.write(RESPONSE)
        await asyncio.sleep(0.01)
        assert not conn.is_usable(loop.time())

    run_virtual(main)


def test_idle_connection_is_not_reused_near_its_keep_alive_timeout() -> None:
    async def main() -> None:
        conn, upstream = await connect()
        future = send(conn)
        upstream.transport.write(RESPONSE.replace(b"s\r\n", b"s\r\nKeep-Alive: timeout=3\r\n", 1))
        await future
        loop = asyncio.get_running_loop()
        assert conn.is_usable(loop.time() + 1.5)
        assert not conn.is_usable(loop.time() + 2.5)

    run_virtual(main)


def test_connection_marked_close_is_not_reused() -> None:
    async def main() -> None:
        conn, upstream = await connect()
        future = send(conn)
        upstream.transport.write(RESPONSE.replace(b"s\r\n", b"s\r\nConnection: close\r\n", 1))
        await future
        assert not conn.is_usable(asyncio.get_running_loop().time())

    run_virtual(main)


# UNASKED: bytes of another request must not come where the rest of a body is due.
def test_connection_whose_upstream_answers_before_the_end_of_the_body_is_closed() -> None:
    async def main() -> None:
        conn, upstream = await connect()
        rest = BodyRest(10)
        future = send(conn, b"first", rest)
        rest.push(b"two")
        await asyncio.sleep(0.01)
        assert upstream.received.endswith(b"Content-Length: 10\r\n\r\nfirsttwo")
        upstream.transport.write(RESPONSE)
        outcome = await future
        assert isinstance(outcome, UpstreamResponse)
        assert not conn.is_open()
        rest.push(b"xx")
        rest.finish()
        await asyncio.sleep(0.01)
        assert upstream.received.endswith(b"firsttwo")

    run_virtual(main)


@pytest.mark.parametrize("length", [9, -1])
def test_connection_is_used_again_after_the_whole_body_was_sent(length: int) -> None:
    async def main() -> None:
        conn, upstream = await connect()
        rest = BodyRest(length)
        future = send(conn, b"first", rest)
        await asyncio.sleep(0.01)
        rest.push(b"rest")
        rest.finish()
        await asyncio.sleep(0.01)
        expected = b"firstrest" if length > 0 else b"5\r\nfirst\r\n4\r\nrest\r\n0\r\n\r\n"
        assert upstream.received.endswith(b"\r\n\r\n" + expected)
        upstream.transport.write(RESPONSE)
        assert isinstance(await future, UpstreamResponse)
        assert conn.is_usable(asyncio.get_running_loop().time())

    run_virtual(main)


def test_request_whose_body_is_cut_is_not_completed() -> None:
    async def main() -> None:
        conn, upstream = await connect()
        rest = BodyRest(-1)
        future = send(conn, b"first", rest)
        await asyncio.sleep(0.01)
        rest.fail("caller-left")
        assert await future == OutcomeUnknown("caller-left")
        await asyncio.sleep(0.01)
        assert not upstream.received.endswith(b"0\r\n\r\n")
        assert not conn.is_open()

    run_virtual(main)
