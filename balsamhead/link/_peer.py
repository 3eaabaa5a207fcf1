"""Manage one open link and send its messages in order."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from websockets.exceptions import ConnectionClosed

if TYPE_CHECKING:
    from websockets.asyncio.connection import Connection

__all__ = ("PeerConnection", "TrafficKey")


class TrafficKey(NamedTuple):
    """Key of a traffic counter."""

    #: "sent" or "received"
    direction: str
    #: tag of the message type
    kind: str
    #: whether the link connects two regions
    is_border: bool


class PeerConnection:
    """Connection to a peer, with a bounded queue of the messages to send on it."""

    def __init__(self, conn: Connection, node: str, *, is_inbound: bool, is_border: bool) -> None:
        self.conn = conn
        self.node = node
        self.is_inbound = is_inbound
        self.is_border = is_border
        #: the link is no longer used; its connection may still be closing
        self.is_closed = False
        #: why the link ended; empty while it is open
        self.close_reason = ""
        self.opened_at = time.monotonic()
        self._queue: deque[bytes] = deque()
        self._queue_bytes = 0
        self._has_messages = asyncio.Event()
        self._is_drained = asyncio.Event()
        self._is_drained.set()

    def enqueue(self, data: bytes, limit: int) -> bool:
        """Queue a message; return False if the queue would exceed a limit in bytes."""
        if self._queue_bytes + len(data) > limit:
            return False
        self._queue.append(data)
        self._queue_bytes += len(data)
        self._is_drained.clear()
        self._has_messages.set()
        return True

    async def send_queued(self) -> None:
        """Send queued messages until the connection is closed."""
        try:
            while True:
                await self._has_messages.wait()
                while self._queue:
                    data = self._queue[0]
                    await self.conn.send(data)
                    self._queue.popleft()
                    self._queue_bytes -= len(data)
                self._has_messages.clear()
                self._is_drained.set()
        except ConnectionClosed:
            self._is_drained.set()

    async def wait_until_drained(self) -> None:
        """Wait until the queue is empty or the connection is closed."""
        await self._is_drained.wait()
