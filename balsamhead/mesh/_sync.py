"""Keep the operator's state in step: read it from the store in turn, tell peers, hear from them."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final

from balsamhead.errors import BalsamheadError
from balsamhead.mesh._frames import Frame, FrameKind, encode_frame
from balsamhead.mesh._peers import Peer, rank_nodes
from balsamhead.mesh._spread import StateBook, decode_change, encode_change
from balsamhead.mesh.model import OperatorState, Phase

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamhead.mesh._fleet import Fleet
    from balsamhead.mesh._link import Link
    from balsamhead.mesh._records import Records
    from balsamhead.mesh._shares import Shares

__all__ = ("STORE_PAUSE_S", "OperatorSync")

logger = logging.getLogger(__name__)

#: pause after a failed call to the store, in s
STORE_PAUSE_S: Final = 0.5
#: nodes that read the operator's records
_READERS: Final = 2
#: how long the store may hold back an empty read, in s
_READ_WAIT_S: Final = 3.0
#: time between looks at whether this node reads, in s
_LOOK_S: Final = 0.2


class OperatorSync:
    """Hold the newest state of the operator that this node knows; its offset never falls."""

    def __init__(
        self,
        own_name: str,
        records: Records,
        *,
        fleet: Fleet,
        shares: Shares,
        on_change: Callable[[OperatorState], None],
    ) -> None:
        self._own_name = own_name
        self._records = records
        self._fleet = fleet
        self._shares = shares
        self._on_change = on_change
        self._loop = asyncio.get_running_loop()
        self._book = StateBook()
        #: the store's last answer to this node was none
        self.store_failed = False

    @property
    def state(self) -> OperatorState:
        """Return the newest state."""
        return self._book.state

    @property
    def offset(self) -> int:
        """Return the offset of the newest state; -1 for none."""
        return self._book.offset

    def is_reader(self) -> bool:
        """Answer whether this node reads from the store."""
        names = [
            peer.record.name
            for peer in self._fleet.list_live()
            if not peer.store_failed and not peer.stopping
        ]
        ranked = rank_nodes([*names, self._own_name], "readers")
        return self._own_name in ranked[:_READERS]

    def note_store(self, exc: BalsamheadError | None) -> None:
        """Take in whether the store answered this node."""
        failed = exc is not None
        if failed != self.store_failed:
            self.store_failed = failed
            if failed:
                logger.warning("store-lost", extra={"error": str(exc)})
            else:
                logger.info("store-regained")

    async def run(self) -> None:
        """Read the state once, and go on while this node is a reader."""
        while True:
            if self.offset >= 0 and not self.is_reader():
                await asyncio.sleep(_LOOK_S)
                continue
            began, offset = self._loop.time(), self.offset
            try:
                state = await self._read()
            except BalsamheadError as exc:
                self.note_store(exc)
                await asyncio.sleep(STORE_PAUSE_S)
                continue
            self.note_store(None)
            if state.config is not None:
                self._advance(state)
            early = self._loop.time() - began < _READ_WAIT_S / 2
            if state.config is None or (state.offset <= offset and early):
                # a store that lags behind answers an early read at once
                await asyncio.sleep(STORE_PAUSE_S)

    async def _read(self) -> OperatorState:
        wait_s = _READ_WAIT_S if self.offset >= 0 else 0.0
        state = await self._records.read_operator(self.state, wait_s=wait_s)
        if state.orders and not self._shares.rollouts:
            for rollout in await self._records.read_rollouts():
                if rollout.phase is not Phase.RUNNING:
                    self._shares.merge(rollout)
        return state

    def _advance(self, state: OperatorState) -> None:
        base = self.offset
        if not self._book.advance(state):
            return
        self._put_in_force("store")
        change = self._book.make_change(base)
        if change is not None and base >= 0:
            self._fleet.broadcast(encode_frame(FrameKind.CONFIG, 0, None, encode_change(change)))

    def _put_in_force(self, source: str) -> None:
        state = self.state
        if state.config is not None:
            logger.info(
                "config-in-force",
                extra={
                    "version": state.config.version,
                    "offset": state.offset,
                    "source": source,
                },
            )
        self._on_change(state)

    def take_change(self, peer: Peer, link: Link, frame: Frame) -> None:
        """Apply a difference that a peer sent, or ask for one that fits.

        :raises MalformedMessageError: it can't be read.
        """
        applied = self._book.apply_change(decode_change(frame.body, peer=link.peer))
        if applied is None:
            self.pull(link)
        elif applied:
            self._put_in_force(f"peer {peer.record.name}")

    def give_change(self, link: Link, base: int) -> None:
        """Send a peer the difference from the state that it holds."""
        change = self._book.make_change(base)
        if change is not None and change.offset > base:
            link.send(FrameKind.CONFIG, 0, None, encode_change(change))

    def pull(self, link: Link) -> None:
        """Ask a peer for the difference from the state that this node holds."""
        link.send(FrameKind.CONFIG_PULL, 0, (self.offset,))
