"""HTTP/1.1 server on asyncio: strict parsing, one request at a time per connection."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final, NamedTuple, cast

from balsamhead.mesh._calls import BodyPipe, ResponseTruncatedError
from balsamhead.util.addresses import parse_address
from balsamhead.util.http1 import (
    CHUNKED,
    BodyDecoder,
    FramingError,
    RequestHead,
    encode_chunk,
    parse_request_head,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from balsamhead.mesh.model import Limits

__all__ = ("HttpServer", "Reply", "Request")

logger = logging.getLogger(__name__)

#: interval at which connections are checked for timeouts, in s
_SWEEP_INTERVAL_S: Final = 0.5
#: bytes of pipelined requests above which reading is paused while a request is handled
_MAX_PIPELINED_BYTES: Final = 64 << 10

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
_STATUS_BY_CODE: Final = {"headers-too-large": 431, "body-too-large": 413}


class Request(NamedTuple):
    """A request that was received completely."""

    head: RequestHead
    body: bytes
    #: time at which its last byte was parsed, in s of the event loop's clock
    received_at: float
    #: address and port of the client
    peer: str


class Reply(NamedTuple):
    """A response to be sent."""

    status: int
    body: bytes = b""
    #: header lines, each terminated by CRLF
    headers: bytes = b""
    reason: bytes = b""
    #: length of the whole body in bytes, or CHUNKED; None for the length of ``body``
    length: int | None = None
    body_stream: BodyPipe | None = None
    #: abort the connection without a response
    abort: bool = False


class HttpServer:
    """Listen on one address and pass each request to a handler coroutine."""

    def __init__(
        self,
        handler: Callable[[Request], Awaitable[Reply]],
        *,
        get_limits: Callable[[], Limits],
        dropped_headers: frozenset[bytes] = frozenset(),
    ) -> None:
        self.handler = handler
        self.get_limits = get_limits
        self.dropped_headers = dropped_headers
        self.connections: set[_Connection] = set()
        #: each response carries ``Connection: close`` and ends its connection
        self.closing = False
        self._server: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None

    async def start(self, address: str) -> None:
        """Listen on an IPv4 address and port, given as ``host:port``.

        :raises OSError: the address can't be bound.
        """
        host, port = parse_address(address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), host, port, backlog=1024, reuse_address=True
        )
        self._check_timeouts()

    def count_busy(self) -> int:
        """Return the number of connections with a request in progress."""
        return sum(1 for conn in self.connections if conn.is_busy())

    def close_idle(self) -> None:
        """Close the connections that have no request in progress."""
        for conn in list(self.connections):
            if not conn.is_busy():
                conn.close()

    def stop_listening(self) -> None:
        """Stop accepting connections; open ones stay."""
        if self._server is not None:
            self._server.close()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()

    def _check_timeouts(self) -> None:
        loop = asyncio.get_running_loop()
        self._sweep_timer = loop.call_later(_SWEEP_INTERVAL_S, self._check_timeouts)
        now = loop.time()
        limits = self.get_limits()
        for conn in list(self.connections):
            conn.enforce_timeouts(now, limits)


class _Connection(asyncio.Protocol):
    """Parse the requests of one connection and send the responses."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._buffer = bytearray()
        self._request_start: RequestHead | None = None
        self._decoder: BodyDecoder | None = None
        self._chunks: list[bytes] = []
        self._body_bytes = 0
        self._task: asyncio.Task[None] | None = None
        self._transport: asyncio.Transport | None = None
        self._waiting_since = self._loop.time()
        self._writable = asyncio.Event()
        self._writable.set()
        self._peer = ""
        self._closing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and store the client's address."""
        self._transport = cast("asyncio.Transport", transport)
        self._server.connections.add(self)
        name = transport.get_extra_info("peername")
        self._peer = f"{name[0]}:{name[1]}" if name else ""

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the handler of the request in progress."""
        del exc
        self._server.connections.discard(self)
        self._transport = None
        self._writable.set()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Pause a streamed response while the write buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Resume a streamed response."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; pause reading if too much is pipelined behind a running request."""
        if not self._buffer and self._request_start is None and self._task is None:
            self._waiting_since = self._loop.time()
        self._buffer += data
        if self._task is None:
            self._process_buffer()
        elif len(self._buffer) > _MAX_PIPELINED_BYTES and self._transport is not None:
            self._transport.pause_reading()

    def is_busy(self) -> bool:
        """Return whether a request is being received or handled."""
        return bool(self._task or self._buffer or self._request_start)

    def close(self) -> None:
        """Close the connection after the written data has been sent."""
        self._closing = True
        if self._transport is not None:
            self._transport.close()

    def enforce_timeouts(self, now: float, limits: Limits) -> None:
        """Close the connection if it is idle too long, or send a 408 if a request is too slow."""
        if self._task is not None or self._closing:
            return
        elapsed_s = now - self._waiting_since
        if self._buffer or self._request_start is not None:
            if elapsed_s > limits.header_timeout_s:
                self._send_error("request-timeout", 408)
        elif elapsed_s > limits.idle_timeout_s:
            self.close()

    def _process_buffer(self) -> None:
        try:
            request = self._read_request()
        except FramingError as exc:
            self._send_error(exc.code, _STATUS_BY_CODE.get(exc.code, 400))
            return
        if request is not None:
            self._task = self._loop.create_task(self._serve(request))

    def _read_request(self) -> Request | None:
        limits = self._server.get_limits()
        if self._request_start is None and not self._read_head(limits):
            return None
        assert self._request_start is not None
        assert self._decoder is not None
        chunk = self._decoder.decode(self._buffer)
        if chunk:
            self._chunks.append(chunk)
            self._body_bytes += len(chunk)
        if self._body_bytes > limits.body_bytes:
            raise FramingError("body-too-large")
        if not self._decoder.done:
            return None
        request = Request(
            self._request_start, b"".join(self._chunks), self._loop.time(), self._peer
        )
        self._chunks, self._body_bytes, self._decoder = [], 0, None
        return request

    def _read_head(self, limits: Limits) -> bool:
        while self._buffer.startswith(b"\r\n"):
            del self._buffer[:2]
        end = self._buffer.find(b"\r\n\r\n")
        if end + 4 > limits.header_bytes or (end < 0 and len(self._buffer) > limits.header_bytes):
            raise FramingError("headers-too-large")
        if end < 0:
            return False
        block = bytes(self._buffer[: end + 4])
        del self._buffer[: end + 4]
        start = parse_request_head(block, excluded_headers=self._server.dropped_headers)
        if start.length > limits.body_bytes:
            raise FramingError("body-too-large")
        if start.expects_continue and start.length and not self._buffer and self._transport:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._request_start = start
        self._decoder = BodyDecoder(start.length)
        return True

    async def _serve(self, request: Request) -> None:
        try:
            reply = await self._server.handler(request)
            await self._send_reply(request, reply)
        except ResponseTruncatedError as exc:
            logger.warning("response-truncated", extra={"code": str(exc)})
            self._abort()
        except Exception:
            logger.exception("handler-failed")
            self._abort()
        finally:
            self._finish_request()

    def _finish_request(self) -> None:
        self._task = None
        self._request_start = None
        self._waiting_since = self._loop.time()
        if self._transport is None or self._closing:
            return
        self._transport.resume_reading()
        if self._buffer:
            self._process_buffer()

    async def _send_reply(self, request: Request, reply: Reply) -> None:
        if reply.abort:
            self._abort()
            return
        if self._transport is None:
            return
        start = request.head
        closing = not start.keep_alive or self._server.closing
        length = len(reply.body) if reply.length is None else reply.length
        chunked = length == CHUNKED
        has_no_body = start.method == "HEAD" or reply.status in (204, 304)
        head = [
            b"HTTP/1.1 %d %b\r\n" % (reply.status, reply.reason or _REASONS.get(reply.status, b"")),
            reply.headers,
        ]
        if chunked:
            head.append(b"Transfer-Encoding: chunked\r\n")
        elif reply.status != 204:
            head.append(b"Content-Length: %d\r\n" % length)
        head.append(b"Connection: close\r\n\r\n" if closing else b"\r\n")
        if not has_no_body:
            head.append(_encode_body_part(reply.body, chunked=chunked))
        self._transport.write(b"".join(head))
        if reply.body_stream is not None and not has_no_body:
            await self._send_rest(reply.body_stream, chunked=chunked)
        if closing:
            self.close()

    async def _send_rest(self, rest: BodyPipe, *, chunked: bool) -> None:
        try:
            while chunk := await rest.read():
                await self._writable.wait()
                if self._transport is None:
                    return
                self._transport.write(_encode_body_part(chunk, chunked=chunked))
        finally:
            rest.cancel()
        if chunked and self._transport is not None:
            self._transport.write(b"0\r\n\r\n")

    def _send_error(self, code: str, status: int) -> None:
        logger.info("request-refused", extra={"code": code, "status": status, "peer": self._peer})
        if self._transport is not None:
            self._transport.write(
                b"HTTP/1.1 %d %b\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                % (status, _REASONS[status])
            )
        self._buffer.clear()
        self._request_start = None
        self.close()

    def _abort(self) -> None:
        self._closing = True
        if self._transport is not None:
            self._transport.abort()


def _encode_body_part(chunk: bytes, *, chunked: bool) -> bytes:
    return encode_chunk(chunk) if chunked and chunk else chunk
