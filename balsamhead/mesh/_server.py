"""Serve HTTP/1.1 on one event loop: parse requests strictly, one at a time on a connection."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final, NamedTuple, cast

from balsamhead.mesh._calls import BodyPipe, PipeBrokenError
from balsamhead.util.heads import (
    CHUNKED,
    BodyDecoder,
    FramingError,
    RequestStart,
    encode_chunk,
    parse_request,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from balsamhead.mesh.model import Limits

__all__ = ("HttpServer", "Reply", "Request")

logger = logging.getLogger(__name__)

#: time between sweeps over the connections, in s
_SWEEP_S: Final = 0.5
#: bytes of following requests that are kept while one is answered
_MAX_AHEAD_BYTES: Final = 64 << 10

_REASONS: Final = {
    100: b"Continue",
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
_STATUS_OF_CODE: Final = {"headers-too-large": 431, "body-too-large": 413}


class Request(NamedTuple):
    """Hold a request that was read whole."""

    start: RequestStart
    body: bytes
    #: when its last byte came, in s of the loop's clock
    read_at: float
    #: address of the caller
    peer: str


class Reply(NamedTuple):
    """Hold what is answered."""

    status: int
    body: bytes = b""
    #: header lines, each with its line end
    headers: bytes = b""
    reason: bytes = b""
    #: length of the whole body in bytes, or CHUNKED
    length: int | None = None
    rest: BodyPipe | None = None
    #: drop the connection instead of answering
    cut: bool = False


class HttpServer:
    """Accept connections on one address and answer their requests by a handler."""

    def __init__(
        self,
        handler: Callable[[Request], Awaitable[Reply]],
        *,
        get_limits: Callable[[], Limits],
        dropped: frozenset[bytes] = frozenset(),
    ) -> None:
        self.handler = handler
        self.get_limits = get_limits
        self.dropped = dropped
        self.connections: set[_Connection] = set()
        #: answers ask callers to close their connections
        self.closing = False
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None

    async def start(self, address: str) -> None:
        """Listen.

        :raises OSError: the address can't be bound.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), host, int(port), backlog=1024, reuse_address=True
        )
        self._sweep()

    def count_busy(self) -> int:
        """Count the connections with a request that was begun and isn't answered."""
        return sum(1 for conn in self.connections if conn.is_busy())

    def close_idle(self) -> None:
        """Close the connections without a request."""
        for conn in list(self.connections):
            if not conn.is_busy():
                conn.close()

    def stop_listening(self) -> None:
        """Take no more connections."""
        if self._server is not None:
            self._server.close()
        if self._sweeper is not None:
            self._sweeper.cancel()

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self._sweeper = loop.call_later(_SWEEP_S, self._sweep)
        now = loop.time()
        limits = self.get_limits()
        for conn in list(self.connections):
            conn.check_time(now, limits)


class _Connection(asyncio.Protocol):
    """Read the requests of one connection."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._buffer = bytearray()
        self._start: RequestStart | None = None
        self._decoder: BodyDecoder | None = None
        self._pieces: list[bytes] = []
        self._body_bytes = 0
        self._task: asyncio.Task[None] | None = None
        self._transport: asyncio.Transport | None = None
        self._since = self._loop.time()
        self._writable = asyncio.Event()
        self._writable.set()
        self._peer = ""
        self._closing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to read."""
        self._transport = cast("asyncio.Transport", transport)
        self._server.connections.add(self)
        name = transport.get_extra_info("peername")
        self._peer = f"{name[0]}:{name[1]}" if name else ""

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request whose caller left."""
        del exc
        self._server.connections.discard(self)
        self._transport = None
        self._writable.set()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Hold back the rest of an answer."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Go on with an answer."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Take in bytes."""
        if not self._buffer and self._start is None and self._task is None:
            self._since = self._loop.time()
        self._buffer += data
        if self._task is None:
            self._advance()
        elif len(self._buffer) > _MAX_AHEAD_BYTES and self._transport is not None:
            self._transport.pause_reading()

    def is_busy(self) -> bool:
        """Answer whether a request was begun and isn't answered."""
        return bool(self._task or self._buffer or self._start)

    def close(self) -> None:
        """Close after what was written."""
        self._closing = True
        if self._transport is not None:
            self._transport.close()

    def check_time(self, now: float, limits: Limits) -> None:
        """Close a connection that is idle or slow for too long."""
        if self._task is not None or self._closing:
            return
        passed = now - self._since
        if self._buffer or self._start is not None:
            if passed > limits.header_timeout_s:
                self._answer_error("request-timeout", 408)
        elif passed > limits.idle_timeout_s:
            self.close()

    def _advance(self) -> None:
        try:
            request = self._take_request()
        except FramingError as exc:
            self._answer_error(exc.code, _STATUS_OF_CODE.get(exc.code, 400))
            return
        if request is not None:
            self._task = self._loop.create_task(self._answer(request))

    def _take_request(self) -> Request | None:
        limits = self._server.get_limits()
        if self._start is None and not self._take_head(limits):
            return None
        assert self._start is not None
        assert self._decoder is not None
        piece = self._decoder.take(self._buffer)
        if piece:
            self._pieces.append(piece)
            self._body_bytes += len(piece)
        if self._body_bytes > limits.body_bytes:
            raise FramingError("body-too-large")
        if not self._decoder.done:
            return None
        request = Request(self._start, b"".join(self._pieces), self._loop.time(), self._peer)
        self._pieces, self._body_bytes, self._decoder = [], 0, None
        return request

    def _take_head(self, limits: Limits) -> bool:
        while self._buffer.startswith(b"\r\n"):
            del self._buffer[:2]
        end = self._buffer.find(b"\r\n\r\n")
        if end + 4 > limits.header_bytes or (end < 0 and len(self._buffer) > limits.header_bytes):
            raise FramingError("headers-too-large")
        if end < 0:
            return False
        block = bytes(self._buffer[: end + 4])
        del self._buffer[: end + 4]
        start = parse_request(block, dropped=self._server.dropped)
        if start.length > limits.body_bytes:
            raise FramingError("body-too-large")
        if start.expects_continue and start.length and not self._buffer and self._transport:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._start = start
        self._decoder = BodyDecoder(start.length)
        return True

    async def _answer(self, request: Request) -> None:
        try:
            reply = await self._server.handler(request)
            await self._write(request, reply)
        except PipeBrokenError as exc:
            logger.warning("answer-cut", extra={"code": str(exc)})
            self._abort()
        except Exception:
            logger.exception("handler-failed")
            self._abort()
        finally:
            self._finish()

    def _finish(self) -> None:
        self._task = None
        self._start = None
        self._since = self._loop.time()
        if self._transport is None or self._closing:
            return
        self._transport.resume_reading()
        if self._buffer:
            self._advance()

    async def _write(self, request: Request, reply: Reply) -> None:
        if reply.cut:
            self._abort()
            return
        if self._transport is None:
            return
        start = request.start
        closes = not start.keep_alive or self._server.closing
        length = len(reply.body) if reply.length is None else reply.length
        chunked = length == CHUNKED
        bodiless = start.method == "HEAD" or reply.status in (204, 304)
        head = [
            b"HTTP/1.1 %d %b\r\n" % (reply.status, reply.reason or _REASONS.get(reply.status, b"")),
            reply.headers,
        ]
        if chunked:
            head.append(b"Transfer-Encoding: chunked\r\n")
        elif reply.status != 204:
            head.append(b"Content-Length: %d\r\n" % length)
        head.append(b"Connection: close\r\n\r\n" if closes else b"\r\n")
        if not bodiless:
            head.append(_frame(reply.body, chunked=chunked))
        self._transport.write(b"".join(head))
        if reply.rest is not None and not bodiless:
            await self._write_rest(reply.rest, chunked=chunked)
        if closes:
            self.close()

    async def _write_rest(self, rest: BodyPipe, *, chunked: bool) -> None:
        try:
            while piece := await rest.read():
                await self._writable.wait()
                if self._transport is None:
                    return
                self._transport.write(_frame(piece, chunked=chunked))
        finally:
            rest.abandon()
        if chunked and self._transport is not None:
            self._transport.write(b"0\r\n\r\n")

    def _answer_error(self, code: str, status: int) -> None:
        logger.info("request-refused", extra={"code": code, "status": status, "peer": self._peer})
        if self._transport is not None:
            self._transport.write(
                b"HTTP/1.1 %d %b\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                % (status, _REASONS[status])
            )
        self._buffer.clear()
        self._start = None
        self.close()

    def _abort(self) -> None:
        self._closing = True
        if self._transport is not None:
            self._transport.abort()


def _frame(piece: bytes, *, chunked: bool) -> bytes:
    return encode_chunk(piece) if chunked and piece else piece
