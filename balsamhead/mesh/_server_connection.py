"""One connection of the HTTP/1.1 server: pipelined requests, and responses in their order."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import TYPE_CHECKING, Final, cast

from balsamhead.mesh._calls import BodyPipe, BodyTruncatedError
from balsamhead.mesh._request_reader import Request, RequestReader
from balsamhead.util.http1 import CHUNKED, FramingError, encode_chunk
from balsamhead.util.sockets import reset_on_close

if TYPE_CHECKING:
    from balsamhead.mesh._server_context import Reply, ServerContext
    from balsamhead.mesh.model import Limits

__all__ = ("ServerConnection",)

logger = logging.getLogger(__name__)

#: bytes that were received and not parsed, or bytes of the bodies of unanswered requests, above
#: which no more requests are read from a connection
_MAX_PIPELINED_BYTES: Final = 64 << 10
#: maximum number of requests that were read from a connection and are unanswered
_MAX_PIPELINED_REQUESTS: Final = 16
#: maximum number of requests of all connections that run ahead of an unanswered one
_MAX_CONCURRENT_AHEAD: Final = 256
#: bytes of finished responses of all connections that wait for the ones before them, above which
#: no more requests begin to run ahead
_MAX_HELD_BYTES: Final = 8 << 20
#: how long a connection that the server closes is read on, in s, so that bytes that cross the
#: response don't reset it before the client has read it
_LINGER_S: Final = 1.0
#: maximum number of bytes that are discarded meanwhile, besides the missing ones of a body
_MAX_LINGER_BYTES: Final = 256 << 10

_REASONS: Final = {
    100: b"Continue",
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
_STATUS_BY_CODE: Final = {
    "headers-too-large": 431,
    "body-too-large": 413,
    "request-timeout": 408,
}


class _Exchange:
    """A request that was read, until its response has been sent."""

    __slots__ = ("_may_run_ahead", "is_ahead", "request", "task", "turn")

    def __init__(self, request: Request) -> None:
        self.request = request
        self.task: asyncio.Task[None] | None = None
        #: set once all exchanges before this one have ended; None if its response isn't finished
        self.turn: asyncio.Future[None] | None = None
        #: it was started before the exchanges in front of it had ended
        self.is_ahead = False
        self._may_run_ahead: bool | None = None

    def may_run_ahead(self, context: ServerContext) -> bool:
        """Return whether the request may run beside others of its connection."""
        if self._may_run_ahead is None:
            self._may_run_ahead = context.may_run_ahead(self.request)
        return self._may_run_ahead


class ServerConnection(asyncio.Protocol):
    """Read the requests of one connection, run them, and send the responses in order.

    A request begins to run once all before it on the connection have ended, or at once if it and
    all unanswered ones before it may run ahead.
    """

    def __init__(self, context: ServerContext) -> None:
        self._context = context
        self._loop = asyncio.get_running_loop()
        self._reader = RequestReader(
            get_excluded_headers=lambda: context.dropped_headers,
            streams_bodies=context.streams_bodies,
            on_rest_read=self._handle_rest_read,
        )
        #: bytes of bodies that this connection holds, and those of its unanswered requests
        self._held_body_bytes = 0
        self._exchange_body_bytes = 0
        #: unanswered requests, the oldest first
        self._exchanges: deque[_Exchange] = deque()
        self._transport: asyncio.Transport | None = None
        #: error in the bytes behind the last request that was read
        self._error: FramingError | None = None
        #: the body of the last request can't be received to its end
        self._body_failed = False
        self._waiting_since = self._loop.time()
        self._writable = asyncio.Event()
        self._writable.set()
        self._blocked_since = 0.0
        self._closing = False
        self._linger_timer: asyncio.TimerHandle | None = None
        #: bytes that may still be discarded
        self._linger_bytes = 0

    # -- transport ---------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and store the client's address."""
        self._transport = cast("asyncio.Transport", transport)
        self._context.connections.add(self)
        name = transport.get_extra_info("peername")
        self._reader.peer = f"{name[0]}:{name[1]}" if name else ""

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests in progress."""
        del exc
        self._context.connections.discard(self)
        self._transport = None
        self._writable.set()
        self._reader.fail_rest("caller-left")
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        while self._exchanges:
            exchange = self._exchanges.pop()
            self._release(exchange)
            if exchange.task is not None:
                exchange.task.cancel()
        self._context.forget_waiting(self)
        self._context.add_body_bytes(-self._held_body_bytes)
        self._held_body_bytes = 0

    def pause_writing(self) -> None:
        """Send nothing more while the write buffer is full."""
        self._writable.clear()
        self._blocked_since = self._loop.time()

    def resume_writing(self) -> None:
        """Send on."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and run the requests that they complete."""
        if self._linger_timer is not None:
            self._discard(len(data))
            return
        if self._closing or self._error is not None or self._body_failed:
            return
        if not self.is_busy():
            self._waiting_since = self._loop.time()
        self._reader.add(data, self._loop.time())
        self._read_requests()

    # -- server ------------------------------------------------------------------------------

    def is_busy(self) -> bool:
        """Return whether a request is being received or handled, or a response being sent."""
        if self._transport is not None and self._transport.get_write_buffer_size():
            return True
        return not self._closing and bool(self._exchanges or self._reader.has_data())

    def close(self) -> None:
        """Close the connection after the written data has been sent."""
        self._closing = True
        if self._transport is not None:
            self._transport.close()

    def enforce_timeouts(self, now: float, limits: Limits) -> None:
        """Close the connection if it is idle or its client doesn't read; send a 408 if a request
        is too slow.
        """
        if self._closing:
            return
        if self._exchanges:
            blocked = not self._writable.is_set()
            if blocked and now - self._blocked_since > limits.idle_timeout_s:
                logger.info("client-stalled", extra={"peer": self._reader.peer})
                self._abort()
            return
        elapsed_s = now - self._waiting_since
        if self._reader.has_data():
            if elapsed_s > limits.header_timeout_s:
                self._send_error("request-timeout")
        elif elapsed_s > limits.idle_timeout_s:
            self.close()

    # -- requests ----------------------------------------------------------------------------

    def _read_requests(self) -> None:
        """Read requests while there is room for them, and start those that may run."""
        limits = self._context.get_limits()
        while self._error is None and (self._reader.is_streaming() or self._has_room()):
            try:
                request = self._reader.read(limits)
            except FramingError as exc:
                self._handle_framing_error(exc)
                break
            if request is None:
                break
            self._exchanges.append(_Exchange(request))
            self._exchange_body_bytes += len(request.body)
        if self._exchanges:
            self._start_exchanges()
        elif self._error is not None:
            self._send_error(self._error.code)
        elif self._reader.awaits_continue() and self._transport is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self.update_reading()

    def _handle_framing_error(self, exc: FramingError) -> None:
        if self._reader.is_streaming():
            # the response to the request in progress closes the connection
            self._body_failed = True
            self._reader.fail_rest(exc.code)
        else:
            self._error = exc

    def _handle_rest_read(self) -> None:
        if self._transport is not None:
            self.update_reading()

    def _has_room(self) -> bool:
        """Return whether another request may be read."""
        if not self._exchanges:
            return True
        if self._context.closing or not self._exchanges[-1].request.head.keep_alive:
            return False
        if len(self._exchanges) >= _MAX_PIPELINED_REQUESTS:
            return False
        return self._exchange_body_bytes <= _MAX_PIPELINED_BYTES

    def update_reading(self) -> None:
        """Receive more bytes, or none while there is no room for them."""
        self._count_body_bytes()
        if self._transport is None or self._closing:
            return
        if self._must_pause_reading():
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _must_pause_reading(self) -> bool:
        if self._reader.is_receiving_body() and self._context.wait_for_body_room(self):
            return True
        if self._reader.is_streaming():
            return self._reader.is_rest_full()
        return len(self._reader) > _MAX_PIPELINED_BYTES and not self._has_room()

    def _count_body_bytes(self) -> None:
        held = self._reader.count_held_bytes()
        held += sum(exchange.request.count_held_bytes() for exchange in self._exchanges)
        change, self._held_body_bytes = held - self._held_body_bytes, held
        if change:
            self._context.add_body_bytes(change)

    def _start_exchanges(self) -> None:
        """Start the oldest request, and those that may run beside all before them."""
        context = self._context
        before = None
        for exchange in self._exchanges:
            if before is None:
                self._start(exchange)
            elif not (before.may_run_ahead(context) and exchange.may_run_ahead(context)):
                return
            elif exchange.task is None:
                if not self._has_room_ahead():
                    return
                exchange.is_ahead = True
                context.running_ahead += 1
                self._start(exchange)
            before = exchange

    def _has_room_ahead(self) -> bool:
        context = self._context
        return (
            context.running_ahead < _MAX_CONCURRENT_AHEAD and context.held_bytes <= _MAX_HELD_BYTES
        )

    def _start(self, exchange: _Exchange) -> None:
        if exchange.task is None:
            exchange.task = self._loop.create_task(self._serve(exchange))

    async def _serve(self, exchange: _Exchange) -> None:
        try:
            reply = await self._context.handler(exchange.request)
            try:
                await self._wait_for_turn(exchange, len(reply.body))
                await self._send_reply(exchange, reply)
            finally:
                if reply.body_stream is not None:
                    reply.body_stream.cancel()
        except BodyTruncatedError as exc:
            logger.warning("response-truncated", extra={"code": str(exc)})
            self._abort(reset=exchange.request.head.minor_version == 0)
        except Exception:
            logger.exception("handler-failed")
            self._abort()
        self._finish(exchange)

    async def _wait_for_turn(self, exchange: _Exchange, size: int) -> None:
        """Wait until the responses to the requests before this one have been sent.

        :param size: size of the finished response, in bytes.
        """
        if self._is_oldest(exchange):
            return
        exchange.turn = self._loop.create_future()
        self._context.held_bytes += size
        try:
            await exchange.turn
        finally:
            self._context.held_bytes -= size

    def _is_oldest(self, exchange: _Exchange) -> bool:
        return bool(self._exchanges) and self._exchanges[0] is exchange

    def _finish(self, exchange: _Exchange) -> None:
        """Go on with the next request, after the response to this one."""
        if not self._is_oldest(exchange):
            return
        self._exchanges.popleft()
        self._exchange_body_bytes -= len(exchange.request.body)
        self._release(exchange)
        self._waiting_since = self._loop.time()
        if self._transport is None or self._closing:
            return
        if self._exchanges and self._exchanges[0].turn is not None:
            self._exchanges[0].turn.set_result(None)
        self._read_requests()

    def _release(self, exchange: _Exchange) -> None:
        if exchange.is_ahead:
            exchange.is_ahead = False
            self._context.running_ahead -= 1

    # -- responses ---------------------------------------------------------------------------

    async def _send_reply(self, exchange: _Exchange, reply: Reply) -> None:
        if reply.abort:
            self._abort()
            return
        await self._writable.wait()
        if self._transport is None or self._closing:
            return
        request_head = exchange.request.head
        server_closes = self._context.closing and len(self._exchanges) == 1
        length = len(reply.body) if reply.length is None else reply.length
        chunked = length == CHUNKED and request_head.minor_version > 0
        ends_with_connection = length == CHUNKED and not chunked
        # the rest of a body that nobody wants is not part of another request
        body_incomplete = exchange.request.rest is not None and self._reader.is_streaming()
        closing = (
            not request_head.keep_alive or server_closes or ends_with_connection or body_incomplete
        )
        has_no_body = request_head.method == "HEAD" or reply.status in (204, 304)
        head = [
            b"HTTP/1.1 %d %b\r\n" % (reply.status, reply.reason or _REASONS.get(reply.status, b"")),
            reply.headers,
        ]
        if chunked:
            head.append(b"Transfer-Encoding: chunked\r\n")
        elif reply.status != 204 and not ends_with_connection:
            head.append(b"Content-Length: %d\r\n" % length)
        head.append(b"Connection: close\r\n\r\n" if closing else b"\r\n")
        if not has_no_body:
            head.append(_encode_body_part(reply.body, chunked=chunked))
        self._transport.write(b"".join(head))
        if reply.body_stream is not None and not has_no_body:
            await self._send_rest(reply.body_stream, chunked=chunked)
        if server_closes or body_incomplete:
            self._half_close()
        elif closing:
            self.close()

    async def _send_rest(self, rest: BodyPipe, *, chunked: bool) -> None:
        while chunk := await rest.read():
            await self._writable.wait()
            if self._transport is None:
                return
            self._transport.write(_encode_body_part(chunk, chunked=chunked))
        if chunked and self._transport is not None:
            self._transport.write(b"0\r\n\r\n")

    def _send_error(self, code: str) -> None:
        status = _STATUS_BY_CODE.get(code, 400)
        logger.info(
            "request-refused", extra={"code": code, "status": status, "peer": self._reader.peer}
        )
        if self._transport is not None:
            self._transport.write(
                b"HTTP/1.1 %d %b\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                % (status, _REASONS[status])
            )
        self._half_close()

    # -- ends --------------------------------------------------------------------------------

    def _half_close(self) -> None:
        """Close the sending direction, and the connection once the client has closed its own."""
        self._closing = True
        transport = self._transport
        if transport is None:
            return
        if not transport.can_write_eof():
            transport.close()
            return
        self._linger_bytes = _MAX_LINGER_BYTES + self._reader.get_missing_bytes()
        self._linger_timer = self._loop.call_later(_LINGER_S, transport.close)
        transport.write_eof()
        transport.resume_reading()

    def _discard(self, size: int) -> None:
        self._linger_bytes -= size
        if self._linger_bytes < 0 and self._transport is not None:
            self._transport.close()

    def _abort(self, *, reset: bool = False) -> None:
        """Close the connection at once.

        :param reset: reset it, so that a response that ends with it doesn't look complete; the
            client may lose responses before it that it hasn't read.
        """
        self._closing = True
        if self._transport is None:
            return
        sock = self._transport.get_extra_info("socket")
        if reset and sock is not None:
            reset_on_close(sock)
        self._transport.abort()


def _encode_body_part(chunk: bytes, *, chunked: bool) -> bytes:
    return encode_chunk(chunk) if chunked and chunk else chunk
