"""Exchange with peers which requests were running when upstreams crashed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamhead.mesh._crash_registry import check_rows
from balsamhead.mesh._frames import Frame, FrameKind, decode_header, encode_frame
from balsamhead.mesh.model import SuspectRow

if TYPE_CHECKING:
    from balsamhead.mesh._crash_registry import CrashRegistry
    from balsamhead.mesh._link import Link
    from balsamhead.mesh._link_manager import LinkManager

__all__ = ("CrashExchange",)


class CrashExchange:
    """Send the crashes that this node observes to all peers, and all known ones on a new link.

    Each node thus learns of a crash from its observer, or from any peer when it is linked again.
    """

    def __init__(self, registry: CrashRegistry, *, link_manager: LinkManager) -> None:
        self._registry = registry
        self._link_manager = link_manager
        self._loop = asyncio.get_running_loop()
        registry.on_crash = lambda rows: self._broadcast(FrameKind.CRASHES, rows)
        registry.on_clear = lambda rows: self._broadcast(FrameKind.CRASHES_CLEARED, rows)

    def send_known(self, link: Link) -> None:
        """Send a peer all known crashes, and for which services requests were cleared since."""
        rows = self._registry.list_rows()
        if rows:
            link.send(FrameKind.CRASHES, 0, (rows,))
        cleared_rows = self._registry.list_cleared_rows()
        if cleared_rows:
            link.send(FrameKind.CRASHES_CLEARED, 0, (cleared_rows,))

    def handle_crashes(self, link: Link, frame: Frame) -> None:
        """Add the crashes that a peer has observed or knows of.

        :raises MalformedMessageError: the frame can't be decoded, or a row is invalid.
        """
        self._registry.add(self._decode_rows(link, frame), self._loop.time())

    def handle_cleared(self, link: Link, frame: Frame) -> None:
        """Discard the crashes of a request that a peer's upstream has completed.

        :raises MalformedMessageError: the frame can't be decoded, or a row is invalid.
        """
        self._registry.clear(self._decode_rows(link, frame))

    def _decode_rows(self, link: Link, frame: Frame) -> list[SuspectRow]:
        (rows,) = decode_header(frame, tuple[list[SuspectRow]], peer=link.peer)
        check_rows(rows, peer=link.peer)
        return rows

    def _broadcast(self, kind: FrameKind, rows: list[SuspectRow]) -> None:
        self._link_manager.broadcast(encode_frame(kind, 0, (rows,)))
