"""Synchronize the operator's state: a few nodes read the store and send deltas to their peers."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final

from balsamhead.errors import BalsamheadError, LogUnavailableError
from balsamhead.mesh._frames import Frame, FrameKind, decode_header, encode_frame
from balsamhead.mesh._hedged_request import send_hedged
from balsamhead.mesh._order_history import OrderHistory
from balsamhead.mesh._peers import Peer
from balsamhead.mesh._reader_selection import ReaderSelection, count_failed, is_store_near
from balsamhead.mesh._state_history import StateHistory, decode_delta, encode_delta
from balsamhead.mesh._state_pull import StatePull
from balsamhead.mesh.freshness import Proof
from balsamhead.mesh.model import OperatorState, Phase
from balsamhead.util.boot_clock import read_boot_time
from balsamhead.util.positions import get_era, get_offset

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from balsamhead.mesh._link import Link
    from balsamhead.mesh._link_manager import LinkManager
    from balsamhead.mesh._records import RecordStore
    from balsamhead.mesh._traffic_split import TrafficSplit
    from balsamhead.mesh.model import NodeRecord, OperatorReading

__all__ = ("STORE_RETRY_DELAY_S", "OperatorSync")

logger = logging.getLogger(__name__)

#: delay after a failed call to the store, in s
STORE_RETRY_DELAY_S: Final = 0.5
#: rate at which all nodes without contact to the store together try to read again, in reads per s
_MAX_RETRIES_PER_S: Final = 8.0
#: number of nodes without contact from which on others hear of one more with the next heartbeat
#: only; the store itself is away then, and many readers would not help
_MAX_ANNOUNCED_FAILURES: Final = 6
#: long-poll time: how long the store waits for new records before it responds, in s
_LONG_POLL_S: Final = 0.8
#: time after the end of a long poll at which its response is overdue, so that the store is asked
#: again, in s
_OVERDUE_S: Final = 0.3
#: time after the end of a long poll without a response after which other nodes read in place of
#: this one, in s
_SILENCE_S: Final = 0.7
#: minimum time between two reads that repeat an overdue one, in s; a response may also be late
#: since the path is full
_HEDGE_INTERVAL_S: Final = 3.0
#: time by which the second reader begins its long polls later than the first, in s; a change
#: ends the polls of both
_READER_OFFSET_S: Final = _LONG_POLL_S / 2
#: interval at which a node checks whether it has become a reader, in s
_READER_CHECK_INTERVAL_S: Final = 0.2
#: how long a starting node far from the store waits for the state of its peers before it reads
#: the store itself, in s
_PEER_STATE_TIMEOUT_S: Final = 0.5
#: number of peers without a state after which it waits no longer
_PEERS_WITHOUT_STATE: Final = 2
#: interval at which it looks at its peers, in s
_PEER_CHECK_INTERVAL_S: Final = 0.02


class OperatorSync:
    """Keep the operator's state current from the store and peers; its offset never decreases."""

    def __init__(
        self,
        own_record: NodeRecord,
        records: RecordStore,
        *,
        link_manager: LinkManager,
        traffic_split: TrafficSplit,
        on_change: Callable[[OperatorState], None],
        rng: random.Random,
        read_boot_time: Callable[[], float] = read_boot_time,
        on_proof: Callable[[Proof], None] = lambda proof: None,
    ) -> None:
        """Create a synchronization that hasn't begun.

        :param on_proof: called when a read has shown up to which position the store held records.
        """
        self._read_boot_time = read_boot_time
        self._on_proof = on_proof
        self._readers = ReaderSelection(own_record.name)
        self._records = records
        self._link_manager = link_manager
        self._traffic_split = traffic_split
        self._on_change = on_change
        self._loop = asyncio.get_running_loop()
        self._history = StateHistory()
        self._order_history = OrderHistory()
        self._rng = rng
        self._pull = StatePull(own_record, rng=rng)
        self._hedge_allowed_at = 0.0
        self._store_near_announced = False
        #: the last call to the store failed
        self.store_failed = False

    @property
    def state(self) -> OperatorState:
        """Return the newest known state."""
        return self._history.state

    @property
    def offset(self) -> int:
        """Return the offset of the newest known state, or -1 if there is none."""
        return self._history.offset

    def is_reader(self) -> bool:
        """Return whether this node reads from the store."""
        return self._readers.is_reader(self._list_peers(), store_near=self._is_store_near())

    def list_freshness_sources(self) -> list[Peer]:
        """Return the peers to ask when this node's state was last known to be the newest."""
        return self._readers.list_sources(self._list_peers(), store_near=self._is_store_near())

    def _list_peers(self) -> list[Peer]:
        return [peer for peer in self._link_manager.list_live() if not peer.stopping]

    def _rank_as_reader(self) -> int:
        return self._readers.get_rank(self._list_peers(), store_near=self._is_store_near())

    def _is_store_near(self) -> bool:
        return is_store_near(self._records.round_trip_s)

    def peer_linked(self, link: Link) -> None:
        """Tell a peer whether this node is near the store."""
        self._store_near_announced = self._is_store_near()
        link.send(FrameKind.STORE_NEAR, 0, (self._store_near_announced,))

    def handle_store_near(self, peer: Peer, frame: Frame) -> None:
        """Record whether a peer is near the store.

        :raises MalformedMessageError: the frame can't be decoded.
        """
        peer.store_near = decode_header(frame, tuple[bool], peer=peer.record.name)[0]

    def _announce_store_near(self) -> None:
        """Tell all peers whether this node is near the store, if that has changed."""
        store_near = self._is_store_near()
        if store_near != self._store_near_announced:
            self._store_near_announced = store_near
            self._link_manager.broadcast(encode_frame(FrameKind.STORE_NEAR, 0, (store_near,)))

    def record_store_result(self, exc: BalsamheadError | None) -> None:
        """Record whether the last call to the store failed, and log a change.

        :param exc: the error of a failed call, or None.
        """
        failed = exc is not None
        if failed != self.store_failed:
            self.store_failed = failed
            if failed:
                logger.warning("store-lost", extra={"error": str(exc)})
                if count_failed(self._list_peers()) < _MAX_ANNOUNCED_FAILURES:
                    # the next reader takes over at once
                    self._link_manager.announce_state()
            else:
                logger.info("store-regained")

    async def run(self) -> None:
        """Read the state until one is known; after that, read whenever this node is a reader."""
        await self._wait_for_state_of_peers()
        in_contact = False
        while True:
            if self.offset >= 0 and not self.is_reader():
                in_contact = False
                # it may reach the store by now, and is asked again if the readers fail
                self.store_failed = False
                await asyncio.sleep(_READER_CHECK_INTERVAL_S)
                continue
            started_at, offset = self._loop.time(), self.offset
            try:
                # Only a response shows whether the store has been restored, so the first one must
                # not wait for a new record.
                state = await self._read_watched(_LONG_POLL_S if in_contact else 0.0)
            except BalsamheadError as exc:
                in_contact = False
                self.record_store_result(exc)
                await asyncio.sleep(self._get_retry_delay())
                continue
            self.record_store_result(None)
            self._announce_store_near()
            first_read, in_contact = not in_contact, True
            if state.config is not None:
                self._add_state(state)
            returned_early = self._loop.time() - started_at < _LONG_POLL_S / 2
            unchanged = state.offset <= offset and returned_early and not first_read
            if state.config is None or unchanged:
                # a store with stale records responds at once; don't poll it in a busy loop
                await asyncio.sleep(STORE_RETRY_DELAY_S)
            elif state.offset > offset and self._rank_as_reader() > 0:
                await asyncio.sleep(_READER_OFFSET_S)

    async def _wait_for_state_of_peers(self) -> None:
        """Wait for the state that a peer holds, if the store is far.

        A whole state from the store is large, and the ones that many starting nodes read fill the
        border to its region. The first calls to the store, which register this node, show how far
        it is. If no peer holds a state, all nodes have just started.
        """
        deadline = self._loop.time() + _PEER_STATE_TIMEOUT_S
        while self.offset < 0 and self._loop.time() < deadline:
            if self._is_store_near() or self._do_peers_lack_state():
                return
            await asyncio.sleep(_PEER_CHECK_INTERVAL_S)

    def _do_peers_lack_state(self) -> bool:
        """Return whether the peers that this node is linked to hold no state."""
        heard = [peer for peer in self._link_manager.list_live() if peer.hello_received]
        return len(heard) >= _PEERS_WITHOUT_STATE and all(peer.offset < 0 for peer in heard)

    def _get_retry_delay(self) -> float:
        """Return the delay after a failed read, in s; it grows with the nodes that fail as well."""
        failed_nodes = count_failed(self._list_peers()) + 1
        mean_s = max(STORE_RETRY_DELAY_S, failed_nodes / _MAX_RETRIES_PER_S)
        return mean_s * self._rng.uniform(0.8, 1.2)

    async def _read_watched(self, wait_s: float) -> OperatorState:
        """Read the state; meanwhile, let other nodes read if the store is silent to this one."""
        if self.offset < 0:
            # the response holds the whole state, so it may take long
            return await self._read(wait_s)
        timer = self._loop.call_later(wait_s + _SILENCE_S, self._record_silence)
        try:
            return await self._read(wait_s)
        finally:
            timer.cancel()

    def _record_silence(self) -> None:
        self.record_store_result(
            LogUnavailableError("the store has not responded yet", step="read-records")
        )

    async def _read(self, wait_s: float) -> OperatorState:
        sent_at = self._read_boot_time()
        read = self._records.read_operator_state(self.state, wait_s=wait_s)
        if wait_s > 0.0 and self._loop.time() >= self._hedge_allowed_at:
            reading = await send_hedged(read, self._read_again, delay_s=wait_s + _OVERDUE_S)
        else:
            reading = await read
        state = reading.state
        if reading.confirmed:
            # the response may be that to a request which was sent later
            self._on_proof(Proof(state.offset, sent_at))
        if state.orders and not self._traffic_split.rollouts:
            for rollout in await self._records.read_rollouts():
                if rollout.phase is not Phase.RUNNING:
                    self._traffic_split.apply_state(rollout)
        return state

    async def _read_again(self) -> OperatorReading:
        self._hedge_allowed_at = self._loop.time() + _HEDGE_INTERVAL_S
        return await self._records.read_operator_state(self.state, wait_s=0.0)

    def _add_state(self, state: OperatorState) -> None:
        base = self.offset
        if not self._history.add(self._order_history.omit_replaced(self.state, state)):
            return
        self._notify_state("store")
        delta = self._history.make_delta(base)
        if delta is not None and base >= 0:
            self._link_manager.broadcast(
                encode_frame(FrameKind.CONFIG, 0, None, encode_delta(delta))
            )

    def _notify_state(self, source: str) -> None:
        state = self.state
        self._order_history.record(state)
        if state.config is not None:
            logger.info(
                "config-in-force",
                extra={
                    "version": state.config.version,
                    "era": get_era(state.offset),
                    "offset": get_offset(state.offset),
                    "source": source,
                },
            )
        self._on_change(state)

    def handle_delta(self, peer: Peer, link: Link, frame: Frame) -> None:
        """Apply a delta from a peer, or request one that starts from this node's state.

        :raises MalformedMessageError: the delta can't be decoded or is inconsistent.
        """
        delta = decode_delta(frame.body, peer=link.peer)
        peer.offset = max(peer.offset, delta.offset)
        if self._history.apply_delta(delta):
            self._notify_state(f"peer {peer.record.name}")
        self.pull_if_behind()

    def pull_if_behind(self) -> None:
        """Request the missing changes if a peer holds a later state, from one peer at a time."""
        offset = self.offset
        if all(peer.offset <= offset for peer in self._link_manager.table.peers.values()):
            return
        peer = self._pull.start(offset, self._link_manager.list_live(), self._loop.time())
        if peer is None or peer.link is None:
            return
        logger.info(
            "state-requested",
            extra={
                "peer": peer.record.name,
                "base": get_offset(offset) if offset >= 0 else -1,
                "offset": get_offset(peer.offset),
            },
        )
        peer.link.send(FrameKind.CONFIG_PULL, 0, (offset,))

    def send_delta(self, link: Link, base: int) -> None:
        """Send a peer the delta from offset ``base``, if this node holds a newer state."""
        delta = self._history.make_delta(base)
        if delta is None or delta.offset <= base:
            return
        body = encode_delta(delta)
        logger.info(
            "state-sent",
            extra={"peer": link.peer, "whole": delta.base < 0, "bytes": len(body)},
        )
        link.send(FrameKind.CONFIG, 0, None, body)
