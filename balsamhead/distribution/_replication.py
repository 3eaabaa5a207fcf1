"""Replicate the configuration between linked peers.

Nodes announce the version that they have in force, and pull higher ones from their peers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.commands import Command, Send, WriteLogLine
from balsamhead.distribution._snapshot import Snapshot, SnapshotStore
from balsamhead.errors import MalformedMessageError
from balsamhead.membership import rank_border_nodes
from balsamhead.util.token_bucket import TokenBucket
from balsamhead.wire import Announce, Delta, Pull, WithdrawnNotice

if TYPE_CHECKING:
    import random

    from balsamhead.fold import ConfigState
    from balsamhead.node import LinkRow, Tables

__all__ = ("Replicator",)

#: interval at which the version is announced to a random peer, before jitter, in s
ANTI_ENTROPY_INTERVAL_S: Final = 4.0

#: time without a response after which a pull times out, in s
PULL_TIMEOUT_S: Final = 1.5

#: delay per border rank before a pull from another region, in s; the border node that ranks
#: first pulls first, so that usually only one delta crosses between the two regions
BORDER_RANK_DELAY_S: Final = 0.3

#: number of border nodes with a rank of their own; all other nodes share the next rank
MAX_BORDER_RANK: Final = 4

#: rate limit for sending complete versions, per s, and its burst
FULL_DELTA_RATE: Final = 10.0
FULL_DELTA_BURST: Final = 20.0

#: most withdrawals that a node accepts from its peers
MAX_WITHDRAWN: Final = 10_000


class _ScheduledPull(NamedTuple):
    peer: str
    #: when to send a planned pull, or when a pending one times out, in s since the epoch
    due_at: float


class Replicator:
    """Keep this node on the highest version that a linked peer or the log has."""

    def __init__(self, tables: Tables, *, rng: random.Random) -> None:
        self._tables = tables
        self._rng = rng
        self._snapshots = SnapshotStore()
        #: version that each linked peer announced last
        self._announced: dict[str, int] = {}
        self._planned_pull: _ScheduledPull | None = None
        self._pending_pull: _ScheduledPull | None = None
        self._next_announce_at = 0.0
        self._sent_withdrawal_count = 0
        self._full_delta_budget = TokenBucket(rate=FULL_DELTA_RATE, burst=FULL_DELTA_BURST)
        #: withdrawals that the accepted state contains
        self._logged_withdrawals: set[tuple[str, str, int]] = set()
        #: withdrawals that were made on this node
        self._local_withdrawals: set[tuple[str, str, int]] = set()

    def apply(self, state: ConfigState) -> list[Command]:
        """Activate and announce a state from the log if its version is above the one in force."""
        if state.offset <= self._tables.config.offset:
            return []
        return self._activate(self._snapshots.build(state), source="")

    def list_unlogged(self) -> list[tuple[str, str, int]]:
        """Return the withdrawals that the accepted state does not contain yet."""
        if len(self._tables.withdrawn) == len(self._logged_withdrawals):
            return []
        return [key for key in self._tables.withdrawn if key not in self._logged_withdrawals]

    def list_local_unlogged(self) -> list[tuple[str, str, int]]:
        """Return the unlogged withdrawals that were made on this node."""
        return [key for key in self.list_unlogged() if key in self._local_withdrawals]

    def open_link(self, peer: str) -> list[Command]:
        """Announce the version in force and the unlogged withdrawals to a new peer."""
        return [self._announce(peer), *self._send_unlogged_withdrawals(peer)]

    def close_link(self, peer: str) -> None:
        """Discard the announced version of a peer and the pull that is pending there."""
        self._announced.pop(peer, None)
        if self._pending_pull is not None and self._pending_pull.peer == peer:
            self._pending_pull = None

    def handle_announce(self, peer: str, message: Announce, now: float) -> list[Command]:
        """Compare a peer's announced version with the one in force.

        Pull a higher version, announce this node's version if it is higher, and log an error if
        the same version has another digest.
        """
        offset = self._tables.config.offset
        self._announced[peer] = message.offset
        if message.offset < offset:
            return [self._announce(peer)]
        if message.offset > offset:
            self._plan_pull(peer, now)
            return self._pull(now)
        if message.digest != self._tables.config_digest and offset >= 0:
            fields: dict[str, str | int | float] = {"peer": peer, "offset": offset}
            return [WriteLogLine("error", "config-digest-conflict", fields)]
        return []

    def handle_pull(self, peer: str, message: Pull, now: float) -> list[Command]:
        """Send a peer the delta to the version in force, within the limit for complete versions."""
        if message.offset >= self._tables.config.offset:
            return []
        delta = self._snapshots.build_delta(message.digest)
        if not delta.base and not self._full_delta_budget.try_acquire(now):
            return []
        return [Send(peer, delta)]

    def handle_delta(self, peer: str, message: Delta, now: float) -> list[Command]:
        """Apply a delta and activate the result; pull again if its base is not in force."""
        if self._pending_pull is not None and self._pending_pull.peer == peer:
            self._pending_pull = None
        if message.offset <= self._tables.config.offset:
            return []
        try:
            snapshot = self._snapshots.stage(message)
        except MalformedMessageError as exc:
            self._announced.pop(peer, None)
            fields: dict[str, str | int | float] = {"peer": peer, "reason": exc.message}
            return [WriteLogLine("warning", "delta-refused", fields)]
        if snapshot is None:
            self._plan_pull(peer, now)
            return self._pull(now)
        return self._activate(snapshot, source=peer)

    def handle_withdrawal(self, peer: str, message: WithdrawnNotice) -> list[Command]:
        """Store a new withdrawal from a peer and forward it to the other peers."""
        key = (message.service, message.version, message.document_offset)
        if key in self._tables.withdrawn or len(self._tables.withdrawn) >= MAX_WITHDRAWN:
            return []
        commands = self._broadcast_withdrawals()
        self._tables.withdrawn[key] = message.reason
        self._tables.config_revision += 1
        self._sent_withdrawal_count = len(self._tables.withdrawn)
        return commands + [Send(other, message) for other in self._tables.links if other != peer]

    def tick(self, now: float) -> list[Command]:
        """Send new withdrawals, time out or send pulls, and announce to a random peer."""
        commands = self._broadcast_withdrawals()
        if self._pending_pull is not None and now >= self._pending_pull.due_at:
            self._announced.pop(self._pending_pull.peer, None)
            self._pending_pull = None
        if self._pending_pull is None and self._planned_pull is None:
            self._plan_pull_from_best_peer(now)
        commands += self._pull(now)
        if now >= self._next_announce_at:
            commands += self._announce_to_random_peer(now)
        return commands

    def _activate(self, snapshot: Snapshot, *, source: str) -> list[Command]:
        self._snapshots.activate(snapshot)
        tables = self._tables
        tables.config = snapshot.state
        tables.config_digest = snapshot.digest
        tables.config_revision += 1
        for withdrawal in snapshot.state.withdrawn:
            tables.withdrawn.setdefault(withdrawal[:3], withdrawal.reason)
        self._logged_withdrawals = {withdrawal[:3] for withdrawal in snapshot.state.withdrawn}
        self._planned_pull = None
        fields: dict[str, str | int | float] = {
            "offset": snapshot.state.offset,
            "source": source or "log",
        }
        note = WriteLogLine("info", "config in force", fields)
        offset = snapshot.state.offset
        outdated_peers = [peer for peer in tables.links if self._announced.get(peer, -1) < offset]
        return [note, *(self._announce(peer) for peer in outdated_peers if peer != source)]

    def _broadcast_withdrawals(self) -> list[Command]:
        withdrawn = self._tables.withdrawn
        if len(withdrawn) == self._sent_withdrawal_count:
            return []
        new_keys = list(withdrawn)[self._sent_withdrawal_count :]
        self._sent_withdrawal_count = len(withdrawn)
        new_keys = [key for key in new_keys if key not in self._logged_withdrawals]
        self._local_withdrawals.update(new_keys)
        notices = [self._build_notice(key) for key in new_keys]
        return [Send(peer, notice) for notice in notices for peer in self._tables.links]

    def _plan_pull(self, peer: str, now: float) -> None:
        if self._pending_pull is not None:
            return
        due_at = now + self._compute_pull_delay(peer)
        # an earlier pull from the same region replaces a delayed one from another region
        if self._planned_pull is None or due_at < self._planned_pull.due_at:
            self._planned_pull = _ScheduledPull(peer, due_at)

    def _compute_pull_delay(self, peer: str) -> float:
        if self._is_same_region(peer):
            return 0.0
        tables = self._tables
        region = tables.identity.place.region
        other = tables.links[peer].place.region
        # either end may have opened the link, so the lower rank of the two applies
        ranks = (
            self._find_border_rank(tables.identity.node, region, other),
            self._find_border_rank(peer, other, region),
        )
        return BORDER_RANK_DELAY_S * min(ranks)

    def _find_border_rank(self, node: str, region: str, other: str) -> int:
        names = rank_border_nodes(self._tables.members.values(), region, other)
        return (
            names[:MAX_BORDER_RANK].index(node)
            if node in names[:MAX_BORDER_RANK]
            else MAX_BORDER_RANK
        )

    def _plan_pull_from_best_peer(self, now: float) -> None:
        offset = self._tables.config.offset
        newer_peers = [peer for peer, announced in self._announced.items() if announced > offset]
        if not newer_peers:
            return
        same_region = [peer for peer in newer_peers if self._is_same_region(peer)]
        self._plan_pull(self._rng.choice(same_region or newer_peers), now)

    def _pull(self, now: float) -> list[Command]:
        planned_pull = self._planned_pull
        if planned_pull is None or self._pending_pull is not None or now < planned_pull.due_at:
            return []
        self._planned_pull = None
        if planned_pull.peer not in self._tables.links:
            return []
        self._pending_pull = _ScheduledPull(planned_pull.peer, now + PULL_TIMEOUT_S)
        return [
            Send(planned_pull.peer, Pull(self._tables.config.offset, self._tables.config_digest))
        ]

    def _announce_to_random_peer(self, now: float) -> list[Command]:
        self._next_announce_at = now + ANTI_ENTROPY_INTERVAL_S * self._rng.uniform(0.75, 1.25)
        links = self._tables.links
        if not links:
            return []
        peer = self._rng.choice(list(links))
        return [self._announce(peer), *self._send_unlogged_withdrawals(peer)]

    def _announce(self, peer: str) -> Command:
        return Send(peer, Announce(self._tables.config.offset, self._tables.config_digest))

    def _send_unlogged_withdrawals(self, peer: str) -> list[Command]:
        return [Send(peer, self._build_notice(key)) for key in self.list_unlogged()]

    def _build_notice(self, key: tuple[str, str, int]) -> WithdrawnNotice:
        service, version, document_offset = key
        return WithdrawnNotice(service, version, document_offset, self._tables.withdrawn[key])

    def _is_same_region(self, peer: str) -> bool:
        link: LinkRow | None = self._tables.links.get(peer)
        return link is None or link.place.region == self._tables.identity.place.region
