"""A connection of the HTTP server with a client that sends requests ahead, without a network."""

from __future__ import annotations

import asyncio
import re
from typing import Any

from balsamhead.mesh._request_reader import Request
from balsamhead.mesh._server_connection import ServerConnection
from balsamhead.mesh._server_context import Reply, ServerContext
from balsamhead.mesh.model import Limits

LIMITS = Limits(header_bytes=500, body_bytes=1 << 20, header_timeout_s=3.0, idle_timeout_s=15.0)
#: bytes that the transport takes until it asks to pause
WRITE_BUFFER_BYTES = 64 << 10


def make_request(
    number: int,
    *,
    once: bool = False,
    body: bytes = b"",
    headers: str = "",
    minor_version: int = 1,
) -> bytes:
    """Return the bytes of a numbered request that may be repeated, or runs at most once."""
    method, path = ("POST", "once") if once else ("GET", "safe")
    head = f"{method} /{path}/{number} HTTP/1.{minor_version}\r\nHost: a\r\n{headers}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def get_number(request: Request) -> int:
    return int(request.head.path.rpartition("/")[2])


def may_run_ahead(request: Request) -> bool:
    return request.head.path.startswith("/safe/")


class FakeTransport(asyncio.Transport):
    """Transport that keeps what is written, and what the client has read of it."""

    def __init__(self) -> None:
        super().__init__({"peername": ("10.0.0.7", 4711)})
        self.protocol: Any = None
        self.written = bytearray()
        self.unread_bytes = 0
        self.client_reads = True
        self.is_paused = False
        self.eof_written = False
        self.ended = False
        self.aborted = False

    def write(self, data: Any) -> None:
        assert not self.eof_written
        self.written += data
        if not self.client_reads:
            was_full = self.unread_bytes > WRITE_BUFFER_BYTES
            self.unread_bytes += len(data)
            if not was_full and self.unread_bytes > WRITE_BUFFER_BYTES:
                self.protocol.pause_writing()

    def read_all(self) -> None:
        """Let the client read what was written, and all that follows."""
        was_full = self.unread_bytes > WRITE_BUFFER_BYTES
        self.client_reads, self.unread_bytes = True, 0
        if was_full:
            self.protocol.resume_writing()

    def get_write_buffer_size(self) -> int:
        return self.unread_bytes

    def pause_reading(self) -> None:
        self.is_paused = True

    def resume_reading(self) -> None:
        self.is_paused = False

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        self.eof_written = True

    def is_closing(self) -> bool:
        return self.ended

    def close(self) -> None:
        if not self.ended:
            self.ended = True
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)

    def abort(self) -> None:
        self.aborted = not self.ended
        self.close()


class PipelinedConnection:
    """A server connection whose requests run until the test ends them."""

    def __init__(self) -> None:
        self.context = ServerContext(
            self.run,
            get_limits=lambda: LIMITS,
            may_run_ahead=may_run_ahead,
            dropped_headers=frozenset(),
        )
        self.transport = FakeTransport()
        self.conn = ServerConnection(self.context)
        self.transport.protocol = self.conn
        self.conn.connection_made(self.transport)
        #: requests in the order in which they began to run
        self.started: list[Request] = []
        self.running: dict[int, asyncio.Future[Reply]] = {}
        self.cancelled: list[int] = []

    async def run(self, request: Request) -> Reply:
        number = get_number(request)
        self.started.append(request)
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self.running[number] = future
        try:
            return await future
        except asyncio.CancelledError:
            self.cancelled.append(number)
            raise
        finally:
            del self.running[number]

    async def send(self, *parts: bytes) -> None:
        """Let bytes of the client arrive, and wait until the server has handled them."""
        for part in parts:
            self.conn.data_received(part)
        await self.settle()

    async def finish(self, number: int, reply: Reply | None = None) -> None:
        """End a running request, by default with a response that names it."""
        self.running[number].set_result(reply or Reply(200, b"<%d>" % number))
        await self.settle()

    async def settle(self) -> None:
        for _ in range(8):
            await asyncio.sleep(0)

    def list_started(self) -> list[int]:
        return [get_number(request) for request in self.started]

    def list_answered(self) -> list[int]:
        """Return the numbers in the responses that were written, in order."""
        return [int(number) for number in re.findall(rb"<(\d+)>", self.transport.written)]

    def list_statuses(self) -> list[int]:
        return [int(status) for status in re.findall(rb"HTTP/1\.1 (\d+) ", self.transport.written)]
