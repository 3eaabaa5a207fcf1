"""Exchange frames with a peer over one TCP connection and multiplex calls on it."""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import TYPE_CHECKING, Any, Final, Protocol, cast

from balsamhead.errors import MalformedMessageError
from balsamhead.mesh._body_transfer import HeldBodies, IncomingBodies, OutgoingBody
from balsamhead.mesh._calls import (
    BodyPipe,
    BodyRest,
    BodyTruncatedError,
    Call,
    NotExecuted,
    Outcome,
    OutcomeUnknown,
    Refused,
    UpstreamResponse,
)
from balsamhead.mesh._flow_control import (
    CHUNK_BYTES,
    InFlightLimit,
    PeerCredit,
    SendWindow,
    grant_on_read,
)
from balsamhead.mesh._frames import Frame, FrameKind, decode_header, encode_frame, extract_frames
from balsamhead.mesh._link_headers import (
    CallHeader,
    CodeHeader,
    RefusedHeader,
    ResponseHeader,
    make_call_header,
)
from balsamhead.util.http1 import is_final_status
from balsamhead.util.sockets import reset_on_close, set_option

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from balsamhead.mesh.model import Load

__all__ = ("FEATURES", "Link", "LinkHandler")

logger = logging.getLogger(__name__)

#: feature of a node that takes the body of a call as it arrives
_BODY_STREAMS: Final = "body-streams"
#: features of this release
FEATURES: Final = (_BODY_STREAMS,)
#: largest part of a request's body in one frame, in bytes
_REQUEST_CHUNK_BYTES: Final = 64 << 10
#: Retry-After of a call whose body this node has no room for, in s
_BODIES_RETRY_AFTER_S: Final = 0.1
#: time after which the kernel drops a connection with unacknowledged data, in ms
_USER_TIMEOUT_MS: Final = 2000
#: TCP_USER_TIMEOUT of Linux
_TCP_USER_TIMEOUT: Final = 18


class LinkHandler(Protocol):
    """Interface that receives the events of links."""

    def link_opened(self, link: Link) -> None:
        """Handle a new connection."""

    def link_closed(self, link: Link, reason: str) -> None:
        """Handle the end of a link."""

    def frame_received(self, link: Link, frame: Frame) -> None:
        """Handle a frame that belongs to no call."""

    def load_received(self, link: Link, load: Load, *, ended: int) -> None:
        """Handle the load of the peer's upstream, received with the outcome of a call.

        :param ended: priority of that call.
        """

    def get_load(self) -> Load:
        """Return the load of this node's upstream."""

    def run_call(self, call: Call, body: bytes, rest: BodyRest | None) -> Awaitable[Outcome]:
        """Run a call of a peer on this node's upstream."""


class _PendingCall:
    """A call to the peer whose response is not complete yet."""

    __slots__ = ("body", "body_task", "future", "pipe", "priority")

    def __init__(self, future: asyncio.Future[Outcome], priority: int) -> None:
        self.future = future
        self.priority = priority
        self.pipe: BodyPipe | None = None
        #: sender of the rest of the request's body
        self.body: OutgoingBody | None = None
        self.body_task: asyncio.Task[None] | None = None

    def stop_body(self) -> None:
        """Send no more of the request's body, since the exchange has ended."""
        if self.body_task is not None:
            self.body_task.cancel()


class _PartialCall:
    """A call of the peer whose body is not complete yet."""

    __slots__ = ("body", "call", "size")

    def __init__(self, call: Call, size: int) -> None:
        self.call, self.size, self.body = call, size, bytearray()


class Link(asyncio.Protocol):
    """Send and receive frames over one connection to a peer."""

    def __init__(
        self,
        handler: LinkHandler,
        *,
        dialled: bool,
        in_flight_limit: InFlightLimit,
        in_flight_body_limit: InFlightLimit,
        held_bodies: HeldBodies,
    ) -> None:
        """Create a link for a connection.

        :param in_flight_limit: limit of the responses of this node.
        :param in_flight_body_limit: limit of the bodies of its requests.
        :param held_bodies: bodies of the calls of all peers.
        """
        self._held_bodies = held_bodies
        self._held_sizes: dict[int, int] = {}
        self._handler = handler
        self._in_flight_limit = in_flight_limit
        self._in_flight_body_limit = in_flight_body_limit
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._writable = asyncio.Event()
        self._writable.set()
        self._pending_calls: dict[int, _PendingCall] = {}
        self._partial_calls: dict[int, _PartialCall] = {}
        self._running_calls: dict[int, asyncio.Task[None]] = {}
        self._send_windows: dict[int, SendWindow] = {}
        self._peer_credit = PeerCredit()
        self._peer_body_credit = PeerCredit(per_chunk=True)
        self._incoming_bodies = IncomingBodies(
            lambda kind, stream_id, data: self.send(kind, stream_id, None, data)
        )
        #: features that the peer has named
        self._peer_features: tuple[str, ...] = ()
        self._last_stream_id = 0
        self._close_reason = ""
        self.dialled = dialled
        #: name of the peer; empty until its hello arrives on an accepted connection
        self.peer = ""
        self.last_received_at = self._loop.time()

    # -- connection ------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options and report the new link."""
        self._transport = cast("asyncio.Transport", transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            set_option(sock, socket.IPPROTO_TCP, _TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
        self._handler.link_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the calls to the peer and cancel the calls that run for it."""
        self._transport = None
        self._writable.set()
        reason = self._close_reason or (repr(exc) if exc else "closed by the peer")
        for pending in list(self._pending_calls.values()):
            _fail_pending_call(pending, OutcomeUnknown("link-lost"))
        self._pending_calls.clear()
        self._incoming_bodies.fail_all("link-lost")
        for stream_id in self._partial_calls:
            self._release_body(stream_id)
        self._partial_calls.clear()
        for task in self._running_calls.values():
            task.cancel()
        for window in self._send_windows.values():
            window.close()
        self._handler.link_closed(self, reason)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and handle the complete frames."""
        self.last_received_at = self._loop.time()
        self._buffer += data
        try:
            for frame in extract_frames(self._buffer):
                self._handle_frame(frame)
        except MalformedMessageError as exc:
            logger.warning("frame-malformed", extra={"peer": self.peer, "error": str(exc)})
            self.close("malformed frame")

    def pause_writing(self) -> None:
        """Pause streamed responses while the write buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Resume streamed responses."""
        self._writable.set()

    def is_open(self) -> bool:
        """Return whether frames can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def has_active_calls(self) -> bool:
        """Return whether calls are in flight in either direction."""
        return bool(self._pending_calls or self._running_calls or self._partial_calls)

    def close(self, reason: str) -> None:
        """Reset the connection; unsent data is discarded."""
        self._close_reason = self._close_reason or reason
        if self._transport is not None:
            sock = self._transport.get_extra_info("socket")
            if sock is not None:
                # a call in the send buffer must not be delivered after it was recorded as failed
                reset_on_close(sock)
            self._transport.abort()

    def send(self, kind: FrameKind, stream: int = 0, header: Any = None, body: bytes = b"") -> None:
        """Encode and send a frame, if the link is open."""
        self.send_encoded(encode_frame(kind, stream, header, body))

    def send_encoded(self, data: bytes) -> None:
        """Send an encoded frame, if the link is open."""
        if self._transport is not None:
            self._transport.write(data)

    # -- calls to the peer -----------------------------------------------------------------

    async def call(self, call: Call, body: bytes, rest: BodyRest | None = None) -> Outcome:
        """Send a call to the peer and return its outcome.

        :param body: the whole body, or its first part.
        :param rest: the rest of the body, if it is still arriving.
        """
        if not self.is_open():
            return Refused("link-closed")
        if rest is not None and _BODY_STREAMS not in self._peer_features:
            return Refused("peer-outdated")
        self._last_stream_id += 1
        stream_id = self._last_stream_id
        pending = _PendingCall(self._loop.create_future(), call.priority)
        self._pending_calls[stream_id] = pending
        if rest is None:
            self._send_whole(stream_id, call, body)
        else:
            self.send(FrameKind.CALL_STREAM, stream_id, make_call_header(call, rest.length), body)
            self._start_body(stream_id, pending, rest)
        try:
            return await pending.future
        except asyncio.CancelledError:
            self.cancel(stream_id)
            raise

    def _send_whole(self, stream_id: int, call: Call, body: bytes) -> None:
        header = make_call_header(call, len(body))
        size = _REQUEST_CHUNK_BYTES
        self.send(FrameKind.CALL, stream_id, header, body[:size])
        for start in range(size, len(body), size):
            self.send(FrameKind.CALL_BODY, stream_id, None, body[start : start + size])

    def _start_body(self, stream_id: int, pending: _PendingCall, rest: BodyRest) -> None:
        pending.body = OutgoingBody(
            rest,
            window=SendWindow(self._in_flight_body_limit, self._peer_body_credit),
            send=lambda kind, data: self.send(kind, stream_id, None, data),
        )
        pending.body_task = self._loop.create_task(self._send_request_body(stream_id, pending))

    async def _send_request_body(self, stream_id: int, pending: _PendingCall) -> None:
        assert pending.body is not None
        try:
            await pending.body.run(self._writable)
        except BodyTruncatedError as exc:
            self.cancel(stream_id)
            _fail_pending_call(pending, OutcomeUnknown(str(exc)))

    def cancel(self, stream_id: int) -> None:
        """Tell the peer to cancel a call, if its response is not complete yet."""
        pending = self._pending_calls.pop(stream_id, None)
        if pending is not None:
            pending.stop_body()
            self.send(FrameKind.CANCEL, stream_id)

    # -- frames ----------------------------------------------------------------------------

    def _handle_frame(self, frame: Frame) -> None:
        match frame.kind:
            case FrameKind.CALL:
                self._handle_call(frame)
            case FrameKind.CALL_BODY:
                self._handle_call_body(frame)
            case FrameKind.CALL_STREAM | FrameKind.CALL_CREDIT | FrameKind.CALL_END:
                self._handle_body_stream(frame)
            case FrameKind.FEATURES:
                self._peer_features = decode_header(frame, tuple[str, ...], peer=self.peer)
            case FrameKind.CANCEL:
                self._handle_cancel(frame.stream)
            case FrameKind.CREDIT:
                if window := self._send_windows.get(frame.stream):
                    window.grant(int.from_bytes(frame.body, "big"))
            case FrameKind.RESPONSE | FrameKind.REFUSED | FrameKind.REJECTED | FrameKind.LOST:
                self._handle_outcome(frame)
            case FrameKind.RESPONSE_BODY | FrameKind.RESPONSE_END | FrameKind.RESPONSE_TRUNCATED:
                self._handle_body_frame(frame)
            case _:
                self._handler.frame_received(self, frame)

    def _handle_cancel(self, stream_id: int) -> None:
        if self._partial_calls.pop(stream_id, None) is not None:
            self._release_body(stream_id)
        self._incoming_bodies.fail(stream_id, "caller-left")
        if task := self._running_calls.pop(stream_id, None):
            task.cancel()

    def _handle_body_stream(self, frame: Frame) -> None:
        match frame.kind:
            case FrameKind.CALL_STREAM:
                header = decode_header(frame, CallHeader, peer=self.peer)
                if self._hold_body(frame.stream, len(frame.body)):
                    rest = self._incoming_bodies.add(frame.stream, header.body_bytes)
                    self._start_call(frame.stream, header.call, frame.body, rest)
            case FrameKind.CALL_CREDIT:
                pending = self._pending_calls.get(frame.stream)
                if pending is not None and pending.body is not None:
                    pending.body.handle_credit(frame.body)
            case FrameKind.CALL_END:
                self._incoming_bodies.finish(frame.stream)

    def _handle_outcome(self, frame: Frame) -> None:
        pending = self._pending_calls.get(frame.stream)
        if pending is None:
            return
        outcome = self._decode_outcome(frame, pending.priority)
        if isinstance(outcome, UpstreamResponse) and outcome.body_stream is not None:
            pending.pipe = outcome.body_stream
            self._attach_flow_control(frame.stream, outcome.body_stream)
        else:
            del self._pending_calls[frame.stream]
            pending.stop_body()
        if not pending.future.done():
            pending.future.set_result(outcome)

    def _decode_outcome(self, frame: Frame, priority: int) -> Outcome:
        if frame.kind == FrameKind.RESPONSE:
            header = decode_header(frame, ResponseHeader, peer=self.peer)
            self._handler.load_received(self, header.load, ended=priority)
            if not is_final_status(header.status):
                return self._reject_response(frame.stream, header)
            body_stream = None if header.complete else BodyPipe()
            return UpstreamResponse(
                header.status,
                header.reason,
                header.headers,
                frame.body,
                header.length,
                body_stream,
            )
        if frame.kind == FrameKind.REFUSED:
            refused = decode_header(frame, RefusedHeader, peer=self.peer)
            if refused.load is not None:
                self._handler.load_received(self, refused.load, ended=priority)
            return Refused(refused.code, refused.retry_after_s, refused.load)
        code = decode_header(frame, CodeHeader, peer=self.peer).code
        return NotExecuted(code) if frame.kind == FrameKind.REJECTED else OutcomeUnknown(code)

    def _reject_response(self, stream_id: int, header: ResponseHeader) -> OutcomeUnknown:
        """Return the outcome of a call whose response has an unreadable status."""
        logger.warning("response-unreadable", extra={"peer": self.peer, "status": header.status})
        if not header.complete:
            self.send(FrameKind.CANCEL, stream_id)
        return OutcomeUnknown("answer-malformed")

    def _attach_flow_control(self, stream_id: int, pipe: BodyPipe) -> None:
        def send_credit(size: int) -> None:
            self.send(FrameKind.CREDIT, stream_id, None, size.to_bytes(4, "big"))

        grant_on_read(pipe, send_credit)
        pipe.on_cancel = lambda: self.cancel(stream_id)

    def _handle_body_frame(self, frame: Frame) -> None:
        pending = self._pending_calls.get(frame.stream)
        if pending is None or pending.pipe is None:
            return
        if frame.kind == FrameKind.RESPONSE_BODY:
            pending.pipe.push(frame.body)
            return
        del self._pending_calls[frame.stream]
        pending.stop_body()
        if frame.kind == FrameKind.RESPONSE_END:
            pending.pipe.finish()
        else:
            pending.pipe.fail("upstream-cut")

    # -- calls from the peer ---------------------------------------------------------------

    def _handle_call(self, frame: Frame) -> None:
        header = decode_header(frame, CallHeader, peer=self.peer)
        if not self._hold_body(frame.stream, max(len(frame.body), header.body_bytes)):
            return
        if len(frame.body) < header.body_bytes:
            partial = _PartialCall(header.call, header.body_bytes)
            partial.body += frame.body
            self._partial_calls[frame.stream] = partial
            return
        self._start_call(frame.stream, header.call, frame.body)

    def _handle_call_body(self, frame: Frame) -> None:
        partial = self._partial_calls.get(frame.stream)
        if partial is None:
            self._incoming_bodies.push(frame.stream, frame.body)
            return
        partial.body += frame.body
        if len(partial.body) >= partial.size:
            del self._partial_calls[frame.stream]
            self._start_call(frame.stream, partial.call, bytes(partial.body))

    def _hold_body(self, stream_id: int, size: int) -> bool:
        """Count the body of a call, or refuse the call; return whether it is counted."""
        if not size:
            return True
        if not self._held_bodies.try_add(size):
            self.send(
                FrameKind.REFUSED,
                stream_id,
                RefusedHeader("bodies-held", _BODIES_RETRY_AFTER_S, self._handler.get_load()),
            )
            return False
        self._held_sizes[stream_id] = size
        return True

    def _release_body(self, stream_id: int) -> None:
        self._held_bodies.remove(self._held_sizes.pop(stream_id, 0))

    def _start_call(
        self, stream_id: int, call: Call, body: bytes, rest: BodyRest | None = None
    ) -> None:
        task = self._loop.create_task(self._run_call(stream_id, call, body, rest))
        self._running_calls[stream_id] = task
        task.add_done_callback(lambda _: self._finish_call(stream_id))

    def _finish_call(self, stream_id: int) -> None:
        self._running_calls.pop(stream_id, None)
        self._incoming_bodies.fail(stream_id, "call-ended")
        self._release_body(stream_id)

    async def _run_call(
        self, stream_id: int, call: Call, body: bytes, rest: BodyRest | None
    ) -> None:
        outcome = await self._handler.run_call(call, body, rest)
        match outcome:
            case UpstreamResponse(body_stream=None):
                complete = len(outcome.body) <= CHUNK_BYTES
                self._send_response(stream_id, outcome, complete=complete)
                if not complete:
                    await self._send_rest(stream_id, outcome)
            case UpstreamResponse():
                self._send_response(stream_id, outcome, complete=False)
                await self._send_rest(stream_id, outcome)
            case Refused(code=code, retry_after_s=retry_after_s, load=load):
                self.send(FrameKind.REFUSED, stream_id, RefusedHeader(code, retry_after_s, load))
            case NotExecuted(code=code):
                self.send(FrameKind.REJECTED, stream_id, CodeHeader(code))
            case OutcomeUnknown(code=code):
                self.send(FrameKind.LOST, stream_id, CodeHeader(code))

    def _send_response(self, stream_id: int, response: UpstreamResponse, *, complete: bool) -> None:
        header = ResponseHeader(
            response.status,
            response.reason,
            response.headers,
            response.length,
            complete,
            self._handler.get_load(),
        )
        self.send(FrameKind.RESPONSE, stream_id, header, response.body if complete else b"")

    async def _send_rest(self, stream_id: int, response: UpstreamResponse) -> None:
        window = self._send_windows[stream_id] = SendWindow(
            self._in_flight_limit, self._peer_credit
        )
        body_stream = response.body_stream
        try:
            await self._send_body(stream_id, window, response.body)
            while body_stream is not None and (part := await body_stream.read()):
                await self._send_body(stream_id, window, part)
            self.send(FrameKind.RESPONSE_END, stream_id)
            await window.finish()
        except BodyTruncatedError:
            self.send(FrameKind.RESPONSE_TRUNCATED, stream_id)
        finally:
            if body_stream is not None:
                body_stream.cancel()
            window.close()
            del self._send_windows[stream_id]

    async def _send_body(self, stream_id: int, window: SendWindow, part: bytes) -> None:
        for start in range(0, len(part), CHUNK_BYTES):
            chunk = part[start : start + CHUNK_BYTES]
            await window.acquire(len(chunk))
            await self._writable.wait()
            self.send(FrameKind.RESPONSE_BODY, stream_id, None, chunk)


def _fail_pending_call(pending: _PendingCall, outcome: Outcome) -> None:
    pending.stop_body()
    if pending.pipe is not None:
        pending.pipe.fail("link-lost")
    if not pending.future.done():
        pending.future.set_result(outcome)
