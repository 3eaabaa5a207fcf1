"""Limit the bytes of streamed bodies that are in flight from a node.

The link of a VM is shared by all calls of its node, and what is in flight delays whatever is sent
after it. So all responses of a node share one window, which grows while credit comes back soon
and shrinks while it comes back late; all bodies of its requests share another one.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamhead.mesh._calls import BodyPipe

__all__ = (
    "CHUNK_BYTES",
    "MAX_WINDOW_BYTES",
    "InFlightLimit",
    "PeerCredit",
    "SendWindow",
    "grant_on_read",
)

#: largest part of a response's body in one frame, and smallest of a request's, in bytes
CHUNK_BYTES: Final = 8 << 10
#: smallest window in bytes: one chunk on the way, one behind it
_MIN_WINDOW_BYTES: Final = 2 * CHUNK_BYTES
#: largest window in bytes, and the one for a peer of an earlier release, which grants credit in
#: larger steps
MAX_WINDOW_BYTES: Final = 256 << 10
#: fraction of the window that one frame of a request's body takes at most
_CHUNKS_PER_WINDOW: Final = 8
#: time from a chunk to its credit below which the window grows, and above which it shrinks, in s
_SHORT_DELAY_S: Final = 0.01
_LONG_DELAY_S: Final = 0.025
#: smallest credit of such a peer, in bytes
_LARGE_CREDIT_BYTES: Final = 64 << 10
#: time without credit after which the bytes in flight are assumed to have arrived, in s
_CREDIT_TIMEOUT_S: Final = 0.1


class InFlightLimit:
    """Limit the bytes that all responses of a node have in flight; the oldest one goes first."""

    def __init__(self) -> None:
        self._in_flight = 0
        #: bytes that may be in flight
        self.window_bytes = _MIN_WINDOW_BYTES
        self._response_count = 0
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []

    def add_response(self) -> int:
        """Return the number of a new response, which sets its place."""
        self._response_count += 1
        return self._response_count

    async def acquire(self, response: int, size: int) -> None:
        """Wait until fewer bytes than the limit are in flight, then add ``size``.

        :param response: number of the response.
        """
        if self._in_flight >= self.window_bytes or self._waiters:
            waiter = (response, asyncio.get_running_loop().create_future())
            self._waiters.append(waiter)
            try:
                await waiter[1]
            except asyncio.CancelledError:
                self._waiters.remove(waiter)
                self._wake_next()
                raise
            self._waiters.remove(waiter)
        self._in_flight += size
        self._wake_next()

    def release(self, size: int) -> None:
        """Subtract bytes that have arrived, or that are no longer waited for."""
        self._in_flight -= size
        self._wake_next()

    def record_delay(self, delay_s: float) -> None:
        """Adapt the window to the time from a chunk to its credit, in s."""
        if delay_s < _SHORT_DELAY_S:
            self.window_bytes = min(MAX_WINDOW_BYTES, self.window_bytes + CHUNK_BYTES)
        elif delay_s > _LONG_DELAY_S:
            self.window_bytes = max(_MIN_WINDOW_BYTES, self.window_bytes // 2)

    def _wake_next(self) -> None:
        if self._in_flight >= self.window_bytes:
            return
        pending = [waiter for waiter in self._waiters if not waiter[1].done()]
        if pending:
            min(pending, key=lambda waiter: waiter[0])[1].set_result(None)


class PeerCredit:
    """How the peer of a link grants credit."""

    def __init__(self, *, per_chunk: bool = False) -> None:
        """Create the record of a new link.

        :param per_chunk: the peer is known to grant credit for each chunk.
        """
        self._per_chunk = per_chunk
        #: the peer is of an earlier release: it grants credit in steps larger than the window
        self.in_large_steps = False

    def record(self, size: int) -> None:
        """Record a credit of the peer, in bytes."""
        if size < _LARGE_CREDIT_BYTES:
            self._per_chunk, self.in_large_steps = True, False

    def record_timeout(self) -> None:
        """Record that the peer granted nothing for the bytes in flight."""
        self.in_large_steps = not self._per_chunk


class SendWindow:
    """Limit the bytes of one response that are sent before the peer has read them."""

    def __init__(self, limit: InFlightLimit, peer_credit: PeerCredit) -> None:
        self._limit = limit
        self._response = limit.add_response()
        self._peer_credit = peer_credit
        self._loop = asyncio.get_running_loop()
        #: bytes sent for which no credit has been granted
        self._unread = 0
        #: the part of them that counts as in flight, and when its chunks were sent
        self._in_flight = 0
        self._sent_at: deque[float] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._changed = asyncio.Event()
        self._closed = False

    @property
    def chunk_bytes(self) -> int:
        """Return the size of the next chunk, in bytes; larger ones cost less while many fit."""
        return max(CHUNK_BYTES, self._limit.window_bytes // _CHUNKS_PER_WINDOW)

    def grant(self, size: int) -> None:
        """Enlarge the window by the bytes that the peer has read."""
        self._peer_credit.record(size)
        self.acknowledge(read=size, landed=size)

    def acknowledge(self, *, read: int, landed: int) -> None:
        """Enlarge the window by bytes that the peer has read, and count bytes as arrived there."""
        self._unread -= read
        if landed:
            if self._sent_at:
                self._limit.record_delay(self._loop.time() - self._sent_at.popleft())
            self._land(landed)
        self._changed.set()

    def close(self) -> None:
        """End all waits, since the link has closed."""
        self._closed = True
        self._land(self._in_flight)
        self._changed.set()

    async def acquire(self, size: int) -> None:
        """Wait until a chunk may be sent, and count it as in flight."""
        while self._unread >= self._get_size() and not self._closed:
            self._changed.clear()
            await self._changed.wait()
        self._unread += size
        if self._closed or self._peer_credit.in_large_steps:
            return
        await self._limit.acquire(self._response, size)
        self._in_flight += size
        self._sent_at.append(self._loop.time())
        self._restart_timer()

    async def finish(self) -> None:
        """Wait until the last chunks have arrived, as far as credit shows it."""
        try:
            # no credit is granted for a last part that is smaller than a chunk
            while self._in_flight >= CHUNK_BYTES and not self._closed:
                self._changed.clear()
                await self._changed.wait()
        finally:
            self._land(self._in_flight)

    def _get_size(self) -> int:
        in_large_steps = self._peer_credit.in_large_steps
        return MAX_WINDOW_BYTES if in_large_steps else self._limit.window_bytes

    def _land(self, size: int) -> None:
        landed = min(size, self._in_flight)
        self._in_flight -= landed
        self._limit.release(landed)
        self._restart_timer()

    def _restart_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = (
            self._loop.call_later(_CREDIT_TIMEOUT_S, self._handle_timeout)
            if self._in_flight
            else None
        )

    def _handle_timeout(self) -> None:
        # A reader that has stalled must not hold up the other responses of the node.
        self._peer_credit.record_timeout()
        self._sent_at.clear()
        self._land(self._in_flight)
        self._changed.set()


def grant_on_read(pipe: BodyPipe, send_credit: Callable[[int], None]) -> None:
    """Grant credit for a body as its parts are read from its pipe.

    :param send_credit: called with the number of bytes to grant.
    """
    granted = 0

    def grant() -> None:
        nonlocal granted
        size = pipe.read_bytes - granted
        if size >= CHUNK_BYTES:
            granted = pipe.read_bytes
            send_credit(size)

    pipe.on_read = grant
