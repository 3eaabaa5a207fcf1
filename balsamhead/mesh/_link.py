"""Keep a link to a peer: frames both ways, heartbeats, and the calls that go over it."""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
from typing import TYPE_CHECKING, Any, Final, NamedTuple, Protocol, cast

from balsamhead.errors import MalformedMessageError
from balsamhead.mesh._calls import (
    Answer,
    BodyPipe,
    Call,
    Lost,
    Outcome,
    PipeBrokenError,
    Refused,
    Rejected,
)
from balsamhead.mesh._frames import Frame, FrameKind, decode_head, encode_frame, take_frames
from balsamhead.mesh.model import Load

if TYPE_CHECKING:
    from collections.abc import Awaitable

__all__ = ("Link", "LinkHandler")

logger = logging.getLogger(__name__)

#: bytes of a body that go in one frame
_PIECE_BYTES: Final = 64 << 10
#: bytes of an answer that may be on the way before the peer has read them
_WINDOW_BYTES: Final = 256 << 10
#: silence of a link's peer after which the kernel drops what it doesn't acknowledge, in ms
_USER_TIMEOUT_MS: Final = 2000
#: "linger" with no time: what was not delivered is discarded, and the peer sees a reset
_RESET_AT_CLOSE: Final = struct.pack("ii", 1, 0)
#: linux option that bounds the time without acknowledgement
_TCP_USER_TIMEOUT: Final = 18


class _AnswerHead(NamedTuple):
    status: int
    reason: bytes
    headers: bytes
    length: int
    #: the whole body is in this frame
    whole: bool
    load: Load


class _RefusedHead(NamedTuple):
    code: str
    retry_after_s: float
    load: Load | None


class _CodeHead(NamedTuple):
    code: str


class _CallHead(NamedTuple):
    call: Call
    #: length of the body in bytes; what this frame lacks follows
    body_bytes: int


class LinkHandler(Protocol):
    """Take in what links bring."""

    def link_opened(self, link: Link) -> None:
        """Take in a new connection."""

    def link_closed(self, link: Link, reason: str) -> None:
        """Take in the end of a link."""

    def frame_received(self, link: Link, frame: Frame) -> None:
        """Take in a frame that belongs to no call."""

    def load_heard(self, link: Link, load: Load, *, ended: int) -> None:
        """Take in how busy the peer's upstream is, with the end of a call of a rank."""

    def get_load(self) -> Load:
        """Return how busy this node's upstream is."""

    def run_call(self, call: Call, body: bytes) -> Awaitable[Outcome]:
        """Run a peer's call on this node's upstream."""


class _Stream:
    """Hold a call that was sent and isn't over."""

    __slots__ = ("future", "pipe", "priority")

    def __init__(self, future: asyncio.Future[Outcome], priority: int) -> None:
        self.future = future
        self.priority = priority
        self.pipe: BodyPipe | None = None


class _Partial:
    """Hold a call whose body isn't in."""

    __slots__ = ("body", "call", "size")

    def __init__(self, call: Call, size: int) -> None:
        self.call, self.size, self.body = call, size, bytearray()


class Link(asyncio.Protocol):
    """Carry frames over one connection."""

    def __init__(self, handler: LinkHandler, *, dialled: bool) -> None:
        self._handler = handler
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._writable = asyncio.Event()
        self._writable.set()
        self._streams: dict[int, _Stream] = {}
        self._partial: dict[int, _Partial] = {}
        self._running: dict[int, asyncio.Task[None]] = {}
        self._credit: dict[int, _Credit] = {}
        self._next = 0
        self._reason = ""
        self.dialled = dialled
        #: name of the peer; empty until it has said it
        self.peer = ""
        self.heard_at = self._loop.time()

    # -- connection --------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to talk."""
        self._transport = cast("asyncio.Transport", transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _set_option(sock, socket.IPPROTO_TCP, _TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
        self._handler.link_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """End all calls that went over the link."""
        self._transport = None
        self._writable.set()
        reason = self._reason or (repr(exc) if exc else "closed by the peer")
        for stream in list(self._streams.values()):
            _end_stream(stream, Lost("link-lost"))
        self._streams.clear()
        for task in self._running.values():
            task.cancel()
        for credit in self._credit.values():
            credit.open()
        self._handler.link_closed(self, reason)

    def data_received(self, data: bytes) -> None:
        """Take in bytes."""
        self.heard_at = self._loop.time()
        self._buffer += data
        try:
            for frame in take_frames(self._buffer):
                self._take_frame(frame)
        except MalformedMessageError as exc:
            logger.warning("frame-malformed", extra={"peer": self.peer, "error": str(exc)})
            self.close("malformed frame")

    def pause_writing(self) -> None:
        """Hold back long answers."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Go on with long answers."""
        self._writable.set()

    def is_open(self) -> bool:
        """Answer whether frames can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def is_in_use(self) -> bool:
        """Answer whether calls are on the way, in either direction."""
        return bool(self._streams or self._running or self._partial)

    def close(self, reason: str) -> None:
        """Drop the link."""
        self._reason = self._reason or reason
        if self._transport is not None:
            sock = self._transport.get_extra_info("socket")
            if sock is not None:
                # calls that are held up on the way must not arrive after they were given up
                _set_option(sock, socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE)
            self._transport.abort()

    def send(self, kind: FrameKind, stream: int = 0, head: Any = None, body: bytes = b"") -> None:
        """Send a frame, if the link is open."""
        self.send_encoded(encode_frame(kind, stream, head, body))

    def send_encoded(self, data: bytes) -> None:
        """Send a frame that was encoded before, if the link is open."""
        if self._transport is not None:
            self._transport.write(data)

    # -- calls to the peer -------------------------------------------------------------------

    async def call(self, call: Call, body: bytes) -> Outcome:
        """Send a call to the peer and wait for its outcome."""
        if not self.is_open():
            return Refused("link-closed")
        self._next += 1
        number = self._next
        stream = _Stream(self._loop.create_future(), call.priority)
        self._streams[number] = stream
        head = _CallHead(call, len(body))
        self.send(FrameKind.CALL, number, head, body[:_PIECE_BYTES])
        for at in range(_PIECE_BYTES, len(body), _PIECE_BYTES):
            self.send(FrameKind.CALL_BODY, number, None, body[at : at + _PIECE_BYTES])
        try:
            return await stream.future
        except asyncio.CancelledError:
            self.cancel(number)
            raise

    def cancel(self, number: int) -> None:
        """Tell the peer that nobody waits for a call."""
        if self._streams.pop(number, None) is not None:
            self.send(FrameKind.CANCEL, number)

    # -- frames ------------------------------------------------------------------------------

    def _take_frame(self, frame: Frame) -> None:
        match frame.kind:
            case FrameKind.CALL:
                self._take_call(frame)
            case FrameKind.CALL_BODY:
                self._take_call_body(frame)
            case FrameKind.CANCEL:
                self._partial.pop(frame.stream, None)
                if task := self._running.pop(frame.stream, None):
                    task.cancel()
            case FrameKind.CREDIT:
                if credit := self._credit.get(frame.stream):
                    credit.grant(int.from_bytes(frame.body, "big"))
            case FrameKind.ANSWER | FrameKind.REFUSED | FrameKind.REJECTED | FrameKind.LOST:
                self._take_outcome(frame)
            case FrameKind.ANSWER_BODY | FrameKind.ANSWER_END | FrameKind.ANSWER_CUT:
                self._take_rest(frame)
            case _:
                self._handler.frame_received(self, frame)

    def _take_outcome(self, frame: Frame) -> None:
        stream = self._streams.get(frame.stream)
        if stream is None:
            return
        outcome = self._decode_outcome(frame, stream.priority)
        if isinstance(outcome, Answer) and outcome.rest is not None:
            stream.pipe = outcome.rest
            self._watch_pipe(frame.stream, outcome.rest)
        else:
            del self._streams[frame.stream]
        if not stream.future.done():
            stream.future.set_result(outcome)

    def _decode_outcome(self, frame: Frame, priority: int) -> Outcome:
        if frame.kind == FrameKind.ANSWER:
            head = decode_head(frame, _AnswerHead, peer=self.peer)
            self._handler.load_heard(self, head.load, ended=priority)
            rest = None if head.whole else BodyPipe()
            return Answer(head.status, head.reason, head.headers, frame.body, head.length, rest)
        if frame.kind == FrameKind.REFUSED:
            refused = decode_head(frame, _RefusedHead, peer=self.peer)
            if refused.load is not None:
                self._handler.load_heard(self, refused.load, ended=priority)
            return Refused(refused.code, refused.retry_after_s, refused.load)
        code = decode_head(frame, _CodeHead, peer=self.peer).code
        return Rejected(code) if frame.kind == FrameKind.REJECTED else Lost(code)

    def _watch_pipe(self, number: int, pipe: BodyPipe) -> None:
        granted = 0

        def grant() -> None:
            nonlocal granted
            if pipe.read_bytes - granted >= _WINDOW_BYTES // 4:
                size = pipe.read_bytes - granted
                granted = pipe.read_bytes
                self.send(FrameKind.CREDIT, number, None, size.to_bytes(4, "big"))

        pipe.on_read = grant
        pipe.on_abandon = lambda: self.cancel(number)

    def _take_rest(self, frame: Frame) -> None:
        stream = self._streams.get(frame.stream)
        if stream is None or stream.pipe is None:
            return
        if frame.kind == FrameKind.ANSWER_BODY:
            stream.pipe.push(frame.body)
            return
        del self._streams[frame.stream]
        if frame.kind == FrameKind.ANSWER_END:
            stream.pipe.finish()
        else:
            stream.pipe.fail("upstream-cut")

    # -- calls of the peer -------------------------------------------------------------------

    def _take_call(self, frame: Frame) -> None:
        head = decode_head(frame, _CallHead, peer=self.peer)
        if len(frame.body) < head.body_bytes:
            partial = _Partial(head.call, head.body_bytes)
            partial.body += frame.body
            self._partial[frame.stream] = partial
            return
        self._start_call(frame.stream, head.call, frame.body)

    def _take_call_body(self, frame: Frame) -> None:
        partial = self._partial.get(frame.stream)
        if partial is None:
            return
        partial.body += frame.body
        if len(partial.body) >= partial.size:
            del self._partial[frame.stream]
            self._start_call(frame.stream, partial.call, bytes(partial.body))

    def _start_call(self, number: int, call: Call, body: bytes) -> None:
        task = self._loop.create_task(self._run_call(number, call, body))
        self._running[number] = task
        task.add_done_callback(lambda _: self._running.pop(number, None))

    async def _run_call(self, number: int, call: Call, body: bytes) -> None:
        outcome = await self._handler.run_call(call, body)
        match outcome:
            case Answer(rest=None):
                self._send_answer(number, outcome, whole=len(outcome.body) <= _PIECE_BYTES)
                if len(outcome.body) > _PIECE_BYTES:
                    await self._send_pieces(number, outcome.body)
            case Answer():
                self._send_answer(number, outcome, whole=False)
                await self._send_rest(number, outcome)
            case Refused(code=code, retry_after_s=retry_after_s, load=load):
                self.send(FrameKind.REFUSED, number, _RefusedHead(code, retry_after_s, load))
            case Rejected(code=code):
                self.send(FrameKind.REJECTED, number, _CodeHead(code))
            case Lost(code=code):
                self.send(FrameKind.LOST, number, _CodeHead(code))

    def _send_answer(self, number: int, answer: Answer, *, whole: bool) -> None:
        head = _AnswerHead(
            answer.status,
            answer.reason,
            answer.headers,
            answer.length,
            whole,
            self._handler.get_load(),
        )
        self.send(FrameKind.ANSWER, number, head, answer.body[:_PIECE_BYTES])

    async def _send_pieces(self, number: int, body: bytes) -> None:
        credit = self._credit[number] = _Credit(_WINDOW_BYTES)
        try:
            for at in range(_PIECE_BYTES, len(body), _PIECE_BYTES):
                piece = body[at : at + _PIECE_BYTES]
                await credit.take(len(piece))
                await self._writable.wait()
                self.send(FrameKind.ANSWER_BODY, number, None, piece)
            self.send(FrameKind.ANSWER_END, number)
        finally:
            del self._credit[number]

    async def _send_rest(self, number: int, answer: Answer) -> None:
        rest = answer.rest
        assert rest is not None
        credit = self._credit[number] = _Credit(_WINDOW_BYTES)
        try:
            for at in range(_PIECE_BYTES, len(answer.body), _PIECE_BYTES):
                piece = answer.body[at : at + _PIECE_BYTES]
                await credit.take(len(piece))
                self.send(FrameKind.ANSWER_BODY, number, None, piece)
            while piece := await rest.read():
                await credit.take(len(piece))
                await self._writable.wait()
                self.send(FrameKind.ANSWER_BODY, number, None, piece)
            self.send(FrameKind.ANSWER_END, number)
        except PipeBrokenError:
            self.send(FrameKind.ANSWER_CUT, number)
        finally:
            rest.abandon()
            del self._credit[number]


class _Credit:
    """Bound the bytes of an answer that are on the way."""

    def __init__(self, size: int) -> None:
        self._left = size
        self._event = asyncio.Event()
        self._open = False

    def grant(self, size: int) -> None:
        """Take in that the peer has read bytes."""
        self._left += size
        self._event.set()

    def open(self) -> None:
        """Hold nothing back any more."""
        self._open = True
        self._event.set()

    async def take(self, size: int) -> None:
        """Wait until bytes may be sent."""
        while self._left <= 0 and not self._open:
            self._event.clear()
            await self._event.wait()
        self._left -= size


def _end_stream(stream: _Stream, outcome: Outcome) -> None:
    if stream.pipe is not None:
        stream.pipe.fail("link-lost")
    if not stream.future.done():
        stream.future.set_result(outcome)


def _set_option(sock: socket.socket, level: int, option: int, value: int | bytes) -> None:
    try:
        sock.setsockopt(level, option, value)
    except OSError as exc:
        logger.warning("socket-option-refused", extra={"error": repr(exc)})
