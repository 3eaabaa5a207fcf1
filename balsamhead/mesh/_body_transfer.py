"""Send the rest of a request's body over a link, and receive it, no faster than it is read."""

from __future__ import annotations

import asyncio
import struct
from typing import TYPE_CHECKING, Final

from balsamhead.errors import MalformedMessageError
from balsamhead.mesh._calls import BodyRest
from balsamhead.mesh._flow_control import CHUNK_BYTES, MAX_WINDOW_BYTES
from balsamhead.mesh._frames import FrameKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamhead.mesh._flow_control import SendWindow

__all__ = ("HeldBodies", "IncomingBodies", "OutgoingBody")

#: body of a credit: bytes that the peer has read, and bytes that have arrived there
_CREDIT: Final = struct.Struct(">II")
#: unread bytes of one body above which the peer has ignored its window
_MAX_UNREAD_BYTES: Final = 2 * MAX_WINDOW_BYTES
#: bytes of bodies, without what is streamed, that a node holds for calls of its peers
_MAX_HELD_BYTES: Final = 16 << 20


class HeldBodies:
    """Count the bytes of bodies that a node holds for the calls of all its peers."""

    def __init__(self) -> None:
        self._held_bytes = 0

    def try_add(self, size: int) -> bool:
        """Count a body, if there is room for it."""
        if self._held_bytes + size > _MAX_HELD_BYTES:
            return False
        self._held_bytes += size
        return True

    def remove(self, size: int) -> None:
        """Count a body no longer."""
        self._held_bytes -= size


class OutgoingBody:
    """Send the rest of a body once the peer asks for it.

    Until then the call may still be refused there, and be sent to another peer.
    """

    def __init__(
        self, rest: BodyRest, *, window: SendWindow, send: Callable[[FrameKind, bytes], None]
    ) -> None:
        """Create a sender that waits for the peer.

        :param send: sends a frame of the call.
        """
        self._rest = rest
        self._window = window
        self._send = send
        self._wanted = asyncio.Event()

    def handle_credit(self, data: bytes) -> None:
        """Handle a credit of the peer; the first one says that it begins to read.

        :raises MalformedMessageError: it is of another length.
        """
        if len(data) != _CREDIT.size:
            raise MalformedMessageError("credit has another length", step="take-credit")
        read, landed = _CREDIT.unpack(data)
        self._wanted.set()
        self._window.acknowledge(read=read, landed=landed)

    async def run(self, writable: asyncio.Event) -> None:
        """Send the body to its end.

        :param writable: set while frames may be sent.
        :raises BodyTruncatedError: the rest of the body was truncated.
        """
        try:
            await self._wanted.wait()
            self._rest.start()
            while part := await self._rest.read():
                await self._send_part(part, writable)
            self._send(FrameKind.CALL_END, b"")
        finally:
            self._window.close()

    async def _send_part(self, part: bytes, writable: asyncio.Event) -> None:
        start = 0
        while start < len(part):
            chunk = part[start : start + self._window.chunk_bytes]
            await self._window.acquire(len(chunk))
            await writable.wait()
            self._send(FrameKind.CALL_BODY, chunk)
            start += len(chunk)


class _IncomingBody:
    """The rest of a body, and the credit for it.

    Bytes that arrive while others are unread are acknowledged before they are read, so that the
    peer doesn't take a slow reader for a slow link.
    """

    def __init__(self, length: int, send_credit: Callable[[bytes], None]) -> None:
        self.rest = BodyRest(length)
        self.rest.on_start = self._send_credit
        self.rest.on_read = self._grant_read
        self._send = send_credit
        self._arrived = 0
        #: bytes that were acknowledged, as read and as arrived
        self._granted = 0
        self._landed = 0

    def push(self, data: bytes) -> None:
        """Append received bytes."""
        is_behind = self.rest.buffered_bytes > 0
        self._arrived += len(data)
        self.rest.push(data)
        if is_behind:
            self._send_credit(landed=self._arrived)

    def _grant_read(self) -> None:
        if self.rest.read_bytes - self._granted >= CHUNK_BYTES:
            self._send_credit(read=self.rest.read_bytes)

    def _send_credit(self, *, read: int = 0, landed: int = 0) -> None:
        read = max(read, self._granted)
        landed = max(landed, read, self._landed)
        self._send(_CREDIT.pack(read - self._granted, landed - self._landed))
        self._granted, self._landed = read, landed


class IncomingBodies:
    """Bodies that arrive on one link, by the stream of their call."""

    def __init__(self, send: Callable[[FrameKind, int, bytes], None]) -> None:
        """Create a table without bodies.

        :param send: sends a frame of a stream.
        """
        self._send = send
        self._bodies: dict[int, _IncomingBody] = {}

    def add(self, stream_id: int, length: int) -> BodyRest:
        """Return the rest of the body of a new call.

        :param length: length of the whole body in bytes, or CHUNKED.
        """
        body = self._bodies[stream_id] = _IncomingBody(
            length, lambda data: self._send(FrameKind.CALL_CREDIT, stream_id, data)
        )
        return body.rest

    def push(self, stream_id: int, data: bytes) -> None:
        """Append received bytes to a body, if its call is still running.

        :raises MalformedMessageError: the peer sends more than it may.
        """
        body = self._bodies.get(stream_id)
        if body is None:
            return
        body.push(data)
        if body.rest.buffered_bytes > _MAX_UNREAD_BYTES:
            raise MalformedMessageError("body exceeds its window", step="take-body")

    def finish(self, stream_id: int) -> None:
        """Mark a body as complete."""
        if body := self._bodies.pop(stream_id, None):
            body.rest.finish()

    def fail(self, stream_id: int, code: str) -> None:
        """Mark a body as truncated, unless it is complete."""
        if body := self._bodies.pop(stream_id, None):
            body.rest.fail(code)

    def fail_all(self, code: str) -> None:
        """Mark all bodies as truncated."""
        for stream_id in list(self._bodies):
            self.fail(stream_id, code)
