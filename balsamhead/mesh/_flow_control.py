"""Limit the bytes of a streamed response that are in flight on a link.

A node's link is shared by all its calls, and what is in flight delays whatever is sent after it.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamhead.mesh._calls import BodyPipe

__all__ = ("CHUNK_BYTES", "PeerCredit", "SendWindow", "grant_on_read")

#: largest part of a response's body in one frame, in bytes
CHUNK_BYTES: Final = 8 << 10
#: bytes of a response that may be in flight; one chunk on the way and one behind it
_WINDOW_BYTES: Final = 2 * CHUNK_BYTES
#: the same for a peer that grants credit in larger steps
_WIDE_WINDOW_BYTES: Final = 256 << 10
#: smallest credit of a peer that grants it in larger steps, in bytes
_WIDE_CREDIT_BYTES: Final = 64 << 10
#: time without credit after which a peer is assumed to grant it in larger steps, in s
_CREDIT_TIMEOUT_S: Final = 0.1


class PeerCredit:
    """Whether the peer of a link grants credit for each chunk.

    Peers of an earlier release grant it in larger steps, and wait for more than one window.
    """

    def __init__(self) -> None:
        self.granted_per_chunk = False

    def record(self, size: int) -> None:
        """Record a credit of the peer, in bytes."""
        self.granted_per_chunk |= size < _WIDE_CREDIT_BYTES


class SendWindow:
    """Limit the bytes of a response that are sent before the peer has read them."""

    def __init__(self, peer_credit: PeerCredit) -> None:
        self._peer_credit = peer_credit
        self._available = _WINDOW_BYTES
        self._changed = asyncio.Event()
        self._widened = False
        self._unlimited = False

    def grant(self, size: int) -> None:
        """Enlarge the window by the bytes that the peer has read."""
        self._peer_credit.record(size)
        self._available += size
        self._changed.set()

    def remove_limit(self) -> None:
        """Remove the limit, so that no sender keeps waiting after the link has closed."""
        self._unlimited = True
        self._changed.set()

    async def acquire(self, size: int) -> None:
        """Wait until the window is open, then subtract the size of a chunk."""
        while self._available <= 0 and not self._unlimited:
            self._changed.clear()
            await self._wait_for_change()
        self._available -= size

    async def _wait_for_change(self) -> None:
        may_widen = not (self._widened or self._peer_credit.granted_per_chunk)
        try:
            async with asyncio.timeout(_CREDIT_TIMEOUT_S if may_widen else None):
                await self._changed.wait()
        except TimeoutError:
            if not self._peer_credit.granted_per_chunk:
                self._widened = True
                self._available += _WIDE_WINDOW_BYTES - _WINDOW_BYTES


def grant_on_read(pipe: BodyPipe, send_credit: Callable[[int], None]) -> None:
    """Grant credit for a response as the parts of its body are read from its pipe.

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
