"""HTTP/1.1 client connection to the VM's upstream: persistent, one request at a time."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final, cast

from balsamhead.mesh._calls import (
    BodyPipe,
    BodyRest,
    BodyTruncatedError,
    Call,
    NotExecuted,
    Outcome,
    OutcomeUnknown,
    ResponseNotices,
    UpstreamResponse,
)
from balsamhead.platform.headers import (
    DROPPED_RESPONSE_HEADERS,
    encode_upstream_headers,
    parse_upstream_headers,
)
from balsamhead.util.http1 import (
    CHUNKED,
    UNTIL_CLOSE,
    BodyDecoder,
    FramingError,
    ResponseHead,
    encode_chunk,
    parse_response_head,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamhead.platform.headers import UpstreamHeaders

__all__ = ("UpstreamConnection",)

logger = logging.getLogger(__name__)

#: largest response that is buffered completely before it is forwarded, in bytes, so that a
#: truncated one is never delivered in part; larger ones are streamed
_MAX_BUFFERED_BYTES: Final = 512 << 10
#: unread bytes of a streamed response above which reading from the upstream is paused
_MAX_PIPE_BYTES: Final = 256 << 10
#: largest head of a response, together with the interim responses before it, in bytes
_MAX_HEAD_BYTES: Final = 64 << 10
#: safety margin before the idle timeout that the upstream announces, in s
_IDLE_MARGIN_S: Final = 1.0
#: longest time that an idle connection is kept, in s
_MAX_IDLE_S: Final = 4.0
#: status of a response by another upstream than the one that the request was addressed to
_MISDIRECTED: Final = 421


class UpstreamConnection(asyncio.Protocol):
    """Send requests to the upstream and read the responses, one at a time."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._call: Call | None = None
        self._future: asyncio.Future[Outcome] | None = None
        self._response_start: ResponseHead | None = None
        self._fields: UpstreamHeaders | None = None
        self._decoder: BodyDecoder | None = None
        self._head_bytes = 0
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0
        self._pipe: BodyPipe | None = None
        self._on_complete: Callable[[Outcome], None] | None = None
        self._on_notices: Callable[[ResponseNotices], None] | None = None
        self._discarding = False
        self._writable = asyncio.Event()
        self._writable.set()
        #: sends the rest of the request's body
        self._body_task: asyncio.Task[None] | None = None
        #: time until which it may be used again, in s of the event loop's clock; 0 for not at all
        self.reusable_until = 0.0
        #: time at which the last response ended, in s of the event loop's clock
        self.last_response_at = 0.0
        #: at least one byte has been received since the request was sent
        self.response_started = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast("asyncio.Transport", transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Finish a response that has no length, and fail any other exchange in progress."""
        self._transport = None
        self._writable.set()
        self.reusable_until = 0.0
        if self._call is None:
            return
        if (
            exc is None
            and self._response_start is not None
            and self._response_start.length == UNTIL_CLOSE
        ):
            assert self._decoder is not None
            self._decoder.finish()
            self._finish_response()
            return
        self._fail("connection-lost" if self.response_started else "connection-lost-unheard")

    def eof_received(self) -> None:
        """Return None, so that the transport closes itself."""

    def pause_writing(self) -> None:
        """Record that the write buffer is full; the connection isn't reused in this state."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Record that the write buffer is no longer full."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a response; unsolicited bytes close the connection."""
        if self._call is None:
            self.close()
            return
        self.response_started = True
        self._buffer += data
        try:
            self._process_buffer()
        except FramingError as exc:
            self._fail(exc.code)

    def is_open(self) -> bool:
        """Return whether the connection is open."""
        return self._transport is not None and not self._transport.is_closing()

    def is_usable(self, now: float) -> bool:
        """Return whether another request may be sent."""
        return self._call is None and self._transport is not None and now < self.reusable_until

    def close(self) -> None:
        """Abort the connection, even during an exchange."""
        self.reusable_until = 0.0
        if self._transport is not None:
            self._transport.abort()

    def send(
        self,
        call: Call,
        body: bytes,
        *,
        rest: BodyRest | None = None,
        upstream_id: str,
        remaining_ms: int,
        on_complete: Callable[[Outcome], None],
        on_notices: Callable[[ResponseNotices], None] | None = None,
    ) -> asyncio.Future[Outcome]:
        """Send a request and return a future of its outcome.

        :param body: the whole body, or its first part.
        :param rest: the rest of the body, if it is still arriving.
        :param on_notices: called with what the response to this request says of the upstream.
        :param on_complete: called with the outcome when the exchange has ended, including a
            streamed body.
        """
        assert self._transport is not None
        self._call, self._on_complete, self._on_notices = call, on_complete, on_notices
        self._future = self._loop.create_future()
        self._response_start, self._fields, self._decoder, self._pipe = None, None, None, None
        self._buffered, self._buffered_bytes, self.response_started = [], 0, False
        self._head_bytes = 0
        fields = encode_upstream_headers(
            remaining_ms=remaining_ms,
            caller_service=call.caller_service,
            upstream_id=upstream_id,
            account=call.account,
        )
        head = b"%b %b HTTP/1.1\r\n%b%b" % (
            call.method.encode("ascii"),
            call.target,
            call.headers,
            fields,
        )
        if rest is not None:
            self._send_with_rest(call, head, body, rest)
            return self._future
        if body or call.method not in ("GET", "HEAD", "DELETE"):
            head += b"Content-Length: %d\r\n" % len(body)
        self._transport.write(head + b"\r\n" + body)
        return self._future

    def _send_with_rest(self, call: Call, head: bytes, body: bytes, rest: BodyRest) -> None:
        assert self._transport is not None
        chunked = rest.length == CHUNKED
        if chunked:
            framing = b"Transfer-Encoding: chunked\r\n\r\n"
            body = encode_chunk(body)
        else:
            framing = b"Content-Length: %d\r\n\r\n" % rest.length
        self._transport.write(head + framing + body)
        self._body_task = self._loop.create_task(self._send_rest(call, rest, chunked=chunked))

    async def _send_rest(self, call: Call, rest: BodyRest, *, chunked: bool) -> None:
        rest.start()
        try:
            while part := await rest.read():
                await self._write(encode_chunk(part) if chunked else part)
            if chunked:
                await self._write(encode_chunk(b""))
        except BodyTruncatedError as exc:
            self.cancel(call, str(exc))

    async def _write(self, data: bytes) -> None:
        await self._writable.wait()
        if self._transport is not None:
            self._transport.write(data)

    def cancel(self, call: Call, code: str) -> None:
        """Abort the exchange of a call; its outcome is :class:`OutcomeUnknown` with this code.

        No effect if that exchange has ended, also when another one is in progress.
        """
        if self._call is call:
            self._fail(code)

    def _process_buffer(self) -> None:
        while self._call is not None and (self._response_start is not None or self._parse_head()):
            assert self._decoder is not None
            chunk = self._decoder.decode(self._buffer)
            if not self._discarding:
                self._handle_chunk(chunk)
            if self._call is None or not self._decoder.done:
                return
            if self._discarding:
                self._discarding = False
                self._response_start = None
                continue
            self._finish_response()

    def _parse_head(self) -> bool:
        assert self._call is not None
        start = self._parse_final_head(self._call.method)
        if start is None:
            return False
        fields = parse_upstream_headers(start.status, start.headers)
        if fields.request_id and fields.request_id != self._call.request_id:
            # a late response to an earlier request precedes the expected one
            if start.length == UNTIL_CLOSE:
                raise FramingError("answer-of-another")
            logger.warning(
                "late-response-discarded", extra={"id": fields.request_id.decode("latin-1")}
            )
            self._discarding = True
        elif self._on_notices is not None and _is_from_addressee(start, fields):
            self._on_notices(ResponseNotices(fields.limit_per_s, fields.leaving))
        self._response_start, self._fields = start, fields
        self._decoder = BodyDecoder(start.length)
        return True

    def _parse_final_head(self, method: str) -> ResponseHead | None:
        """Return the head of the next response that is not an interim one, if it is complete."""
        while (end := self._buffer.find(b"\r\n\r\n")) >= 0:
            block = bytes(self._buffer[: end + 4])
            del self._buffer[: end + 4]
            self._check_head_size(len(block))
            start = parse_response_head(
                block, method=method, excluded_headers=DROPPED_RESPONSE_HEADERS
            )
            if start.status >= 200:
                self._head_bytes = 0
                return start
            if parse_upstream_headers(start.status, start.headers).signed:
                # only the final response bears a stamp
                raise FramingError("answer-malformed")
            self._head_bytes += len(block)
        self._check_head_size(len(self._buffer))
        return None

    def _check_head_size(self, size: int) -> None:
        if self._head_bytes + size > _MAX_HEAD_BYTES:
            raise FramingError("headers-too-large")

    def _handle_chunk(self, chunk: bytes) -> None:
        if not chunk:
            return
        if self._pipe is not None:
            self._pipe.push(chunk)
            self._update_flow_control()
            return
        self._buffered.append(chunk)
        self._buffered_bytes += len(chunk)
        if self._buffered_bytes <= _MAX_BUFFERED_BYTES:
            return
        if self._is_valid_response():
            self._start_streaming()
        else:
            # the outcome doesn't depend on the rest of the body, which may never end
            self.close()
            self._complete(self._make_invalid_outcome())

    def _start_streaming(self) -> None:
        assert self._response_start is not None
        assert self._future is not None
        length = (
            CHUNKED if self._response_start.length == UNTIL_CLOSE else self._response_start.length
        )
        self._pipe = BodyPipe()
        self._pipe.on_read = self._update_flow_control
        if not self._future.done():
            self._future.set_result(self._make_response(length, self._pipe))
        self._buffered = []

    def _update_flow_control(self) -> None:
        if self._transport is None or self._pipe is None:
            return
        if self._pipe.buffered_bytes > _MAX_PIPE_BYTES:
            self._transport.pause_reading()
        elif not self._transport.is_closing():
            self._transport.resume_reading()

    def _is_identified(self) -> bool:
        """Return whether the response bears the id of the request in progress."""
        assert self._call is not None
        assert self._fields is not None
        return self._fields.request_id == self._call.request_id

    def _is_valid_response(self) -> bool:
        assert self._response_start is not None
        assert self._fields is not None
        return (
            self._is_identified()
            and not self._fields.not_executed
            and not self._fields.has_content_coding
            and (self._fields.signed or self._response_start.status >= 300)
        )

    def _make_invalid_outcome(self) -> NotExecuted | OutcomeUnknown:
        assert self._response_start is not None
        assert self._fields is not None
        if not self._is_identified() or not self._fields.request_id:
            # It may be a repetition of the response to an earlier request.
            return OutcomeUnknown("answer-unidentified")
        if not self._fields.not_executed:
            return OutcomeUnknown("answer-unsigned")
        replaced = self._response_start.status == _MISDIRECTED
        return NotExecuted("upstream-replaced" if replaced else "upstream-shed")

    def _make_response(self, length: int, rest: BodyPipe | None) -> UpstreamResponse:
        assert self._response_start is not None
        start = self._response_start
        return UpstreamResponse(
            start.status, start.reason, start.forwarded, b"".join(self._buffered), length, rest
        )

    def _finish_response(self) -> None:
        assert self._response_start is not None
        assert self._fields is not None
        outcome: Outcome
        if not self._is_valid_response():
            outcome = self._make_invalid_outcome()
        else:
            outcome = self._make_response(sum(map(len, self._buffered)), None)
        self._update_reuse()
        if isinstance(outcome, OutcomeUnknown):
            # The upstream may still run the request and respond on this connection.
            self.close()
        pipe, self._pipe = self._pipe, None
        self._complete(outcome)
        if pipe is not None:
            pipe.finish()

    def _update_reuse(self) -> None:
        assert self._response_start is not None
        assert self._fields is not None
        now = self._loop.time()
        self.last_response_at = now
        keep_alive_s = self._fields.keep_alive_s
        idle_s = (
            _MAX_IDLE_S if keep_alive_s is None else min(_MAX_IDLE_S, keep_alive_s - _IDLE_MARGIN_S)
        )
        body_sent = self._body_task is None or self._body_task.done()
        reusable = (
            self._response_start.keep_alive
            and not self._buffer
            and body_sent
            and self._writable.is_set()
        )
        self.reusable_until = now + idle_s if reusable else 0.0
        if not reusable:
            self.close()

    def _fail(self, code: str) -> None:
        pipe, self._pipe = self._pipe, None
        self.close()
        self._complete(OutcomeUnknown(code))
        if pipe is not None:
            pipe.fail(code)

    def _complete(self, outcome: Outcome) -> None:
        future, on_complete = self._future, self._on_complete
        self._call, self._future, self._on_complete, self._on_notices = None, None, None, None
        if self._body_task is not None:
            self._body_task.cancel()
            self._body_task = None
        self._buffer.clear()
        self._discarding = False
        if on_complete is not None:
            on_complete(outcome)
        if future is not None and not future.done():
            future.set_result(outcome)


def _is_from_addressee(start: ResponseHead, fields: UpstreamHeaders) -> bool:
    """Return whether the upstream that the request was addressed to wrote the response."""
    identified = bool(fields.request_id) and (fields.signed or fields.not_executed)
    return identified and start.status != _MISDIRECTED
