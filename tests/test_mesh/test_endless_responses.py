"""Responses that never end, in a head or a body, until the node closes the connection."""

from __future__ import annotations

import asyncio

import pytest

from balsamhead.mesh._calls import NotExecuted, Outcome, OutcomeUnknown
from balsamhead.mesh._server import Reply, Request
from balsamhead.mesh._upstream_connection import UpstreamConnection
from tests.test_mesh.builders import (
    InMemoryCluster,
    RequestSender,
    make_settings,
    run_virtual,
)
from tests.test_mesh.connection_builders import HEAD, connect, send

PIECE = b"x" * (64 << 10)
#: bytes that are sent before the test gives up, and the most that a connection may hold
ENDLESS_BYTES = 32 << 20
MAX_HELD_BYTES = 2 << 20


def count_held_bytes(conn: UpstreamConnection) -> int:
    return len(conn._buffer) + sum(map(len, conn._buffered))


async def exchange(start: bytes, piece: bytes) -> tuple[Outcome | None, int]:
    """Send a response without end; return the outcome, if there is one, and the most bytes held."""
    conn, upstream = await connect()
    future = send(conn)
    await asyncio.sleep(0.01)
    upstream.transport.write(start)
    held = 0
    for _ in range(ENDLESS_BYTES // len(piece)):
        upstream.transport.write(piece)
        await asyncio.sleep(0.001)
        held = max(held, count_held_bytes(conn))
        if upstream.transport.is_closing():
            break
    return (future.result() if future.done() else None), held


# Guards against memory that grows, and a slot that is held, while bytes come that don't end.
@pytest.mark.parametrize(
    ("start", "piece"),
    [
        pytest.param(b"HTTP/1.1 200 OK\r\nX-Filler: ", PIECE, id="header-value"),
        pytest.param(b"HTTP/1.1 200 OK\r\n", b"X-Filler: x\r\n" * 4096, id="header-lines"),
        pytest.param(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2048, id="interim-responses"),
        pytest.param(b"", PIECE, id="no-status-line"),
        pytest.param(b"", b"\r\n" * 32768, id="empty-lines"),
        pytest.param(b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n", PIECE, id="unsigned-body"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"10000\r\n" + PIECE + b"\r\n",
            id="unsigned-chunks",
        ),
        pytest.param(
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
            b"X-Filler: x\r\n" * 4096,
            id="trailer-lines",
        ),
        pytest.param(
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"1" * (64 << 10), id="chunk-size"
        ),
        pytest.param(HEAD + b"Content-Encoding: gzip\r\n\r\n", PIECE, id="encoded-body"),
    ],
)
def test_endless_bytes_that_are_no_response_end_the_exchange(start: bytes, piece: bytes) -> None:
    async def main() -> None:
        outcome, held = await exchange(start, piece)
        assert isinstance(outcome, OutcomeUnknown)
        assert held <= MAX_HELD_BYTES

    run_virtual(main)


def test_endless_body_of_a_rejection_is_reported_as_rejected() -> None:
    async def main() -> None:
        head = b"HTTP/1.1 503 Busy\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n\r\n"
        outcome, held = await exchange(head, PIECE)
        assert isinstance(outcome, NotExecuted)
        assert held <= MAX_HELD_BYTES

    run_virtual(main)


# Guards against a slot held for good by a body without end whose caller never leaves.
def test_endless_stream_ends_after_the_deadline_of_its_call() -> None:
    async def main() -> None:
        cluster, ask = InMemoryCluster(), RequestSender()
        node, other = make_settings(1), make_settings(2, service="registry")
        await cluster.start(node, other)
        upstream = cluster.members[1].upstream

        def answer(request: Request) -> Reply:
            request_id = request.head.headers[b"request-id"][0]
            headers = b"Request-Id: %b\r\nServer-Stamp: s\r\n" % request_id
            return Reply(200, b"x" * (600 << 10), headers, length=1 << 40)

        upstream.make_custom_reply = answer
        task = asyncio.get_running_loop().create_task(ask(other, "/check/1", deadline_ms=1000))
        await asyncio.sleep(0.5)
        assert cluster.members[1].node._local_upstream.running == 1
        await asyncio.sleep(2.0)
        assert cluster.members[1].node._local_upstream.running == 0
        with pytest.raises((EOFError, ConnectionResetError)):
            await task

    run_virtual(main)


# Guards against a late limit on one response that cuts a later request on the same connection.
def test_limit_of_an_ended_stream_does_not_cut_a_later_request() -> None:
    async def main() -> None:
        cluster, ask = InMemoryCluster(), RequestSender()
        node = make_settings(1)
        await cluster.start(node)
        upstream = cluster.members[1].upstream

        def answer(request: Request) -> Reply:
            request_id = request.head.headers[b"request-id"][0]
            headers = b"Request-Id: %b\r\nServer-Stamp: s\r\n" % request_id
            return Reply(200, b"x" * (600 << 10), headers)

        upstream.make_custom_reply = answer
        assert (await ask(node, "/check/1", deadline_ms=1000)).status == 200
        upstream.make_custom_reply = lambda request: None
        # requests follow each other beyond the first one's deadline and the time after it
        upstream.service_time_s = 0.2
        for _ in range(12):
            assert (await ask(node, "/check/1", deadline_ms=1000)).status == 200

    run_virtual(main)
