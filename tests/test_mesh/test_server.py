from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import cast

from balsamhead.mesh._calls import BodyPipe
from balsamhead.mesh._server import HttpServer, Reply, Request
from balsamhead.mesh.model import Limits
from tests.test_mesh.builders import read_response, run_virtual

ADDRESS = "10.0.0.1:80"
LIMITS = Limits(header_bytes=500, body_bytes=1000, header_timeout_s=3.0, idle_timeout_s=15.0)
GET = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"


class ServerFixture:
    """HTTP server with a canned reply that records its requests."""

    def __init__(self) -> None:
        self.requests: list[Request] = []
        self.reply = Reply(200, b"fine")
        self.delay_s = 0.0
        self.respond: Callable[[Request], Awaitable[Reply]] = self._answer
        self.server = HttpServer(lambda request: self.respond(request), get_limits=lambda: LIMITS)

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if not self.server.connections:
            await self.server.start(ADDRESS)
        host, _, port = ADDRESS.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def _answer(self, request: Request) -> Reply:
        self.requests.append(request)
        await asyncio.sleep(self.delay_s)
        return self.reply


async def read_status(data: bytes) -> int:
    """Send bytes on a new connection and return the status of the response."""
    reader, writer = await ServerFixture().open()
    writer.write(data)
    return (await read_response(reader, "GET")).status


def test_pipelined_requests_are_answered_in_order() -> None:
    async def main() -> None:
        fixture = ServerFixture()
        fixture.delay_s = 0.1
        reader, writer = await fixture.open()
        writer.write(GET * 3)
        for _ in range(3):
            assert (await read_response(reader, "GET")).body == b"fine"
        assert len(fixture.requests) == 3

    run_virtual(main)


def test_chunked_body_is_assembled() -> None:
    async def main() -> None:
        fixture = ServerFixture()
        reader, writer = await fixture.open()
        writer.write(
            b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
        )
        await asyncio.sleep(0.1)
        writer.write(b"2\r\nde\r\n0\r\n\r\n")
        await read_response(reader, "POST")
        assert fixture.requests[0].body == b"abcde"

    run_virtual(main)


def test_size_limits_are_enforced() -> None:
    async def main() -> None:
        assert await read_status(b"GET /a HTTP/1.1\r\nX: " + b"x" * 600) == 431

    async def body() -> None:
        head = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n"
        assert await read_status(head) == 413

    async def chunks() -> None:
        head = b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        assert await read_status(head + b"3e9\r\n" + b"x" * 1001) == 413

    for test in (main, body, chunks):
        run_virtual(test)


def test_malformed_request_gets_400_and_closes_the_connection() -> None:
    async def main() -> None:
        fixture = ServerFixture()
        reader, writer = await fixture.open()
        writer.write(b"GET /a HTTP/1.1\r\nBad Header\r\n\r\n" + GET)
        response = await read_response(reader, "GET")
        assert response.status == 400
        assert await reader.read() == b""
        assert fixture.requests == []

    run_virtual(main)


def test_slow_request_gets_408_and_idle_connection_is_closed_without_response() -> None:
    async def main() -> None:
        fixture = ServerFixture()
        reader, writer = await fixture.open()
        writer.write(GET[:10])
        started_at = asyncio.get_running_loop().time()
        assert (await read_response(reader, "GET")).status == 408
        assert asyncio.get_running_loop().time() - started_at < 4.0
        other, _ = await asyncio.open_connection("10.0.0.1", 80)
        assert await other.read() == b""
        assert 15.0 < asyncio.get_running_loop().time() - started_at < 21.0

    run_virtual(main)


def test_connection_in_use_is_not_closed_as_idle() -> None:
    async def main() -> None:
        fixture = ServerFixture()
        reader, writer = await fixture.open()
        for _ in range(4):
            writer.write(GET)
            assert (await read_response(reader, "GET")).status == 200
            await asyncio.sleep(0.8 * LIMITS.idle_timeout_s)

    run_virtual(main)


def test_caller_disconnect_cancels_its_request() -> None:
    async def main() -> None:
        fixture = ServerFixture()
        ended = []

        async def answer(request: Request) -> Reply:
            try:
                await asyncio.sleep(10)
            finally:
                ended.append(asyncio.get_running_loop().time())
            return Reply(200)

        fixture.respond = answer
        _, writer = await fixture.open()
        writer.write(GET)
        await asyncio.sleep(0.2)
        cast("asyncio.Transport", writer.transport).abort()
        await asyncio.sleep(0.1)
        assert len(ended) == 1

    run_virtual(main)


def test_truncated_streamed_body_aborts_the_connection() -> None:
    async def main() -> None:
        fixture = ServerFixture()
        rest = BodyPipe()
        fixture.reply = Reply(200, b"begin", length=100, body_stream=rest)
        reader, writer = await fixture.open()
        writer.write(GET)
        await asyncio.sleep(0.1)
        rest.push(b"more")
        rest.fail("upstream-cut")
        try:
            data = await reader.read()
        except ConnectionResetError:
            data = b""
        assert not data.endswith(b"x" * 100)
        assert len(data.partition(b"\r\n\r\n")[2]) < 100

    run_virtual(main)


def test_closing_server_sends_connection_close() -> None:
    async def main() -> None:
        fixture = ServerFixture()
        reader, writer = await fixture.open()
        fixture.server.close_after_responses()
        writer.write(GET)
        response = await read_response(reader, "GET")
        assert response.headers[b"connection"] == [b"close"]
        assert await reader.read() == b""

    run_virtual(main)


def test_handler_exception_aborts_only_its_connection() -> None:
    async def main() -> None:
        fixture = ServerFixture()

        async def fail(request: Request) -> Reply:
            raise ValueError("fault")

        answer, fixture.respond = fixture.respond, fail
        reader, writer = await fixture.open()
        writer.write(GET)
        with contextlib.suppress(ConnectionResetError):
            assert await reader.read() == b""
        fixture.respond = answer
        reader, writer = await asyncio.open_connection("10.0.0.1", 80)
        writer.write(GET)
        assert (await read_response(reader, "GET")).status == 200

    run_virtual(main)


def test_changed_set_of_dropped_headers_holds_for_the_next_request_of_a_connection() -> None:
    async def main() -> None:
        fixture = ServerFixture()
        reader, writer = await fixture.open()
        for names, forwarded in (
            (frozenset[bytes](), b"Host: a\r\nKey: k\r\n"),
            (frozenset((b"key",)), b"Host: a\r\n"),
        ):
            fixture.server.set_dropped_headers(names)
            writer.write(b"GET /a HTTP/1.1\r\nHost: a\r\nKey: k\r\n\r\n")
            await read_response(reader, "GET")
            request = fixture.requests[-1]
            assert request.head.forwarded == forwarded
            assert request.excluded_headers == names

    run_virtual(main)
