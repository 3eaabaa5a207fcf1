"""Exchange one request at a time with the VM's upstream over a kept connection."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final, cast

from balsamhead.mesh._calls import Answer, BodyPipe, Call, Lost, Outcome, Rejected
from balsamhead.platform.headers import (
    ANSWER_DROPPED,
    encode_upstream_fields,
    read_upstream_fields,
)
from balsamhead.util.heads import (
    CHUNKED,
    UNTIL_CLOSE,
    AnswerStart,
    BodyDecoder,
    FramingError,
    parse_answer,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamhead.platform.headers import UpstreamFields

__all__ = ("UpstreamConnection",)

logger = logging.getLogger(__name__)

#: bytes of an answer that are held until it is whole, so that a cut one can be told
HELD_BYTES: Final = 512 << 10
#: bytes that wait for the reader of a long answer before the upstream is held back
_PIPE_BYTES: Final = 256 << 10
#: bound on the head of an answer, in bytes
_MAX_HEAD_BYTES: Final = 64 << 10
#: how long before the upstream closes an idle connection it is given up, in s
_IDLE_MARGIN_S: Final = 1.0
#: how long an idle connection is kept when the upstream doesn't say, in s
_IDLE_S: Final = 4.0


class UpstreamConnection(asyncio.Protocol):
    """Send requests to the upstream and read its answers, one at a time."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._call: Call | None = None
        self._future: asyncio.Future[Outcome] | None = None
        self._start: AnswerStart | None = None
        self._fields: UpstreamFields | None = None
        self._decoder: BodyDecoder | None = None
        self._held: list[bytes] = []
        self._held_bytes = 0
        self._pipe: BodyPipe | None = None
        self._done: Callable[[], None] | None = None
        self._skipping = False
        self._writing = False
        #: time until which it may be used again, in s of the loop's clock; 0 for not at all
        self.usable_until = 0.0
        #: when its last answer ended
        self.answered_at = 0.0
        #: a byte of the answer in progress has come
        self.heard = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast("asyncio.Transport", transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the answer in progress."""
        self._transport = None
        self.usable_until = 0.0
        if self._call is None:
            return
        if exc is None and self._start is not None and self._start.length == UNTIL_CLOSE:
            assert self._decoder is not None
            self._decoder.finish()
            self._finish_answer()
            return
        self._fail("connection-lost" if self.heard else "connection-lost-unheard")

    def eof_received(self) -> None:
        """Let the transport close."""

    def pause_writing(self) -> None:
        """Note that a request isn't written whole."""
        self._writing = True

    def resume_writing(self) -> None:
        """Note that a request is written."""
        self._writing = False

    def data_received(self, data: bytes) -> None:
        """Take in bytes of an answer; bytes that nobody asked for end the connection."""
        if self._call is None:
            self.close()
            return
        self.heard = True
        self._buffer += data
        try:
            self._advance()
        except FramingError as exc:
            self._fail(exc.code)

    def is_usable(self, now: float) -> bool:
        """Answer whether another request may be sent."""
        return self._call is None and self._transport is not None and now < self.usable_until

    def close(self) -> None:
        """Drop the connection, whatever it does."""
        self.usable_until = 0.0
        if self._transport is not None:
            self._transport.abort()

    def send(
        self, call: Call, body: bytes, *, upstream_id: str, left_ms: int, done: Callable[[], None]
    ) -> asyncio.Future[Outcome]:
        """Send a request; the future ends with its outcome, ``done`` is called after the answer."""
        assert self._transport is not None
        self._call, self._done = call, done
        self._future = self._loop.create_future()
        self._start, self._fields, self._decoder, self._pipe = None, None, None, None
        self._held, self._held_bytes, self.heard = [], 0, False
        fields = encode_upstream_fields(
            left_ms=left_ms, caller_service=call.caller_service, upstream_id=upstream_id
        )
        head = b"%b %b HTTP/1.1\r\n%b%b" % (
            call.method.encode("ascii"),
            call.target,
            call.headers,
            fields,
        )
        if body or call.method not in ("GET", "HEAD", "DELETE"):
            head += b"Content-Length: %d\r\n" % len(body)
        self._transport.write(head + b"\r\n" + body)
        return self._future

    def give_up(self, code: str) -> None:
        """End the exchange without its answer."""
        if self._call is not None:
            self._fail(code)

    def _advance(self) -> None:
        while self._call is not None and (self._start is not None or self._take_head()):
            assert self._decoder is not None
            piece = self._decoder.take(self._buffer)
            if not self._skipping:
                self._take_piece(piece)
            if not self._decoder.done:
                return
            if self._skipping:
                self._skipping = False
                self._start = None
                continue
            self._finish_answer()

    def _take_head(self) -> bool:
        assert self._call is not None
        end = self._buffer.find(b"\r\n\r\n")
        if end < 0:
            if len(self._buffer) > _MAX_HEAD_BYTES:
                raise FramingError("headers-too-large")
            return False
        block = bytes(self._buffer[: end + 4])
        del self._buffer[: end + 4]
        start = parse_answer(block, method=self._call.method, dropped=ANSWER_DROPPED)
        if start.status < 200:
            return self._take_head()
        fields = read_upstream_fields(start.status, start.values)
        if fields.request_id and fields.request_id != self._call.request_id:
            # a late answer to an earlier request stands before the one that is due
            if start.length == UNTIL_CLOSE:
                raise FramingError("answer-of-another")
            logger.warning("stray-answer", extra={"id": fields.request_id.decode("latin-1")})
            self._skipping = True
        self._start, self._fields = start, fields
        self._decoder = BodyDecoder(start.length)
        return True

    def _take_piece(self, piece: bytes) -> None:
        if not piece:
            return
        if self._pipe is not None:
            self._pipe.push(piece)
            self._balance()
            return
        self._held.append(piece)
        self._held_bytes += len(piece)
        if self._held_bytes > HELD_BYTES and self._is_answer():
            self._begin_pipe()

    def _begin_pipe(self) -> None:
        assert self._start is not None
        assert self._future is not None
        length = CHUNKED if self._start.length == UNTIL_CLOSE else self._start.length
        self._pipe = BodyPipe()
        self._pipe.on_read = self._balance
        if not self._future.done():
            self._future.set_result(self._make_answer(length, self._pipe))
        self._held = []

    def _balance(self) -> None:
        if self._transport is None or self._pipe is None:
            return
        if self._pipe.size > _PIPE_BYTES:
            self._transport.pause_reading()
        elif not self._transport.is_closing():
            self._transport.resume_reading()

    def _is_answer(self) -> bool:
        assert self._start is not None
        assert self._fields is not None
        return (
            not self._fields.not_run
            and not self._fields.coded
            and (self._fields.signed or self._start.status >= 300)
        )

    def _make_answer(self, length: int, rest: BodyPipe | None) -> Answer:
        assert self._start is not None
        start = self._start
        return Answer(
            start.status, start.reason, start.forwarded, b"".join(self._held), length, rest
        )

    def _finish_answer(self) -> None:
        assert self._start is not None
        assert self._fields is not None
        outcome: Outcome
        if self._fields.not_run:
            stale = self._start.status == 421
            outcome = Rejected("upstream-replaced" if stale else "upstream-shed")
        elif not self._is_answer():
            outcome = Lost("answer-unsigned")
        else:
            outcome = self._make_answer(sum(map(len, self._held)), None)
        self._settle_use()
        pipe, self._pipe = self._pipe, None
        self._end(outcome)
        if pipe is not None:
            pipe.finish()

    def _settle_use(self) -> None:
        assert self._start is not None
        assert self._fields is not None
        now = self._loop.time()
        self.answered_at = now
        stated_s = self._fields.keep_alive_s
        idle_s = _IDLE_S if stated_s is None else min(_IDLE_S, stated_s - _IDLE_MARGIN_S)
        kept = self._start.keep_alive and not self._buffer and not self._writing
        self.usable_until = now + idle_s if kept else 0.0
        if not kept:
            self.close()

    def _fail(self, code: str) -> None:
        pipe, self._pipe = self._pipe, None
        self.close()
        self._end(Lost(code))
        if pipe is not None:
            pipe.fail(code)

    def _end(self, outcome: Outcome) -> None:
        future, done = self._future, self._done
        self._call, self._future, self._done = None, None, None
        self._buffer.clear()
        self._skipping = False
        if done is not None:
            done()
        if future is not None and not future.done():
            future.set_result(outcome)
