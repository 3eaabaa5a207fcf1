"""Run membership: the own record, gossip, failure detection and the choice of peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from balsamhead import events, node, wire
from balsamhead.membership._connector import Connector
from balsamhead.membership._context import Context, Timing
from balsamhead.membership._detector import Detector
from balsamhead.membership._gossip import Gossip
from balsamhead.membership._member_table import MemberTable, is_gone
from balsamhead.membership._model import MemberStatus
from balsamhead.membership._own_record import OwnRecord

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from balsamhead.commands import Command
    from balsamhead.membership._detector import StatusDecision
    from balsamhead.membership._member_table import MemberChange
    from balsamhead.membership._model import Member

__all__ = ("Membership",)

#: minimum interval between two updates of a link row's ``received_at``, in s
HEARD_UPDATE_INTERVAL_S: Final = 0.1

#: connect failures after which the node's reachability is not checked
BENIGN_CONNECT_FAILURES: Final = frozenset(
    {"duplicate-link", "too-many-connects", "too-many-links"}
)


class Membership:
    """Maintain the tables of members and links of a node."""

    def __init__(
        self,
        tables: node.Tables,
        *,
        seeds: Sequence[str],
        rng: random.Random,
        timing: Timing,
        upstream_timeout_s: float,
    ) -> None:
        self._tables = tables
        self._context = Context(tables, rng, timing)
        self._table = MemberTable(tables)
        self._own = OwnRecord(tables.identity)
        self._gossip = Gossip(self._context, self._table)
        self._detector = Detector(self._context)
        self._connector = Connector(self._context, self._table, tuple(seeds))
        self._upstream_timeout_s = upstream_timeout_s
        self._announced_at = 0.0
        self._next_cleanup = 0.0
        self._store_own()

    @classmethod
    def from_config(
        cls,
        tables: node.Tables,
        *,
        seeds: Sequence[str],
        rng: random.Random,
        timing: Timing | None = None,
        upstream_timeout_s: float = 0.0,
    ) -> Membership:
        """Build the membership of a node.

        :param seeds: "address:port" of peer ports to which a new node connects first.
        :param rng: source of jitter and of random choices.
        :param upstream_timeout_s: time without an announcement after which the upstream is
            marked as gone, in s; 0 if another component detects its loss.
        """
        return cls(
            tables,
            seeds=seeds,
            rng=rng,
            timing=timing or Timing(),
            upstream_timeout_s=upstream_timeout_s,
        )

    def handle(self, event: events.Event, now: float) -> list[Command]:
        """Handle an event of the links, the upstream or the stop of the node; return commands."""
        self._advance(now)
        match event:
            case events.MessageReceived(peer=peer, message=message):
                self._receive(peer, message, now)
            case events.LinkOpened():
                self._handle_link_opened(event, now)
            case events.LinkClosed(peer=peer, reason=reason):
                self._handle_link_closed(peer, reason)
            case events.ConnectFailed(address=address, reason=reason):
                self._handle_connect_failed(address, reason)
            case events.UpstreamAnnounced():
                self._announced_at = self._context.clock.now
                self._broadcast_own(is_changed=self._own.update_upstream(event, now))
            case events.UpstreamLost(reason=reason):
                self._mark_upstream_gone(reason)
            case events.StopRequested():
                self._start_leaving()
            case events.StopFinished():
                self._own.mark_left()
                self._broadcast_own(is_changed=True)
        return self._context.drain_commands()

    def tick(self, now: float) -> list[Command]:
        """Run the periodic work of all parts; return commands."""
        self._advance(now)
        for decision in self._detector.tick():
            self._apply_decision(decision)
        self._check_upstream_timeout()
        for slow in self._connector.tick():
            self._detector.check_reachability(slow)
        self._gossip.tick()
        self._clean_up()
        return self._context.drain_commands()

    def _advance(self, now: float) -> None:
        if self._context.clock.advance(now):
            self._detector.restart_timeouts()
            self._announced_at = self._context.clock.now

    def _receive(self, peer: str, message: wire.Message, now: float) -> None:
        self._record_message(peer, now)
        match message:
            case wire.Heartbeat(sequence=sequence, seen=seen):
                self._detector.receive_heartbeat(peer, sequence, seen)
            case wire.MemberUpdate(members=members, buckets=buckets):
                self._receive_update(peer, members, buckets)
            case wire.MemberDigest(buckets=digests):
                self._gossip.receive_digest(peer, digests)
            case wire.MemberPull(buckets=requested):
                self._gossip.receive_pull(peer, requested)
            case wire.Probe(target=target, nonce=nonce):
                if self._detector.receive_probe(peer, target, nonce):
                    self._connector.connect_now(target)
            case wire.ProbeResult(target=target, nonce=nonce, reached=reached):
                self._detector.receive_probe_result(target, nonce, reached=reached)

    def _record_message(self, peer: str, now: float) -> None:
        self._detector.record_message(peer)
        row = self._tables.links.get(peer)
        if row is not None and now - row.received_at >= HEARD_UPDATE_INTERVAL_S:
            self._tables.links[peer] = row._replace(received_at=now)

    def _receive_update(
        self, peer: str, members: tuple[Member, ...], buckets: tuple[int, ...]
    ) -> None:
        for record in members:
            self._apply_record(record, peer, is_pulled=bool(buckets))
        if buckets:
            self._gossip.receive_pull_response(peer, members, buckets)

    def _apply_record(self, record: Member, peer: str, *, is_pulled: bool) -> None:
        if record.node == self._tables.identity.node:
            self._refute(record)
            return
        if is_pulled and is_gone(record) and record.node not in self._tables.members:
            # a node that is unknown here needs no record of its end
            return

        change = self._table.merge(record, self._context.clock.now)
        if change is None:
            self._gossip.mark_known(record, peer)
            return
        self._apply_change(change)
        if is_pulled:
            self._gossip.queue_pulled_broadcast(record.node, source=peer)
        else:
            self._gossip.queue_broadcast(record.node, known_by=(peer,))

    def _refute(self, record: Member) -> None:
        if not self._own.refute(record):
            return
        self._context.log(
            "warning",
            "a record of this node by others is refuted",
            status=record.status.value,
            sequence=record.sequence,
        )
        self._broadcast_own(is_changed=True)

    def _apply_change(self, change: MemberChange) -> None:
        self._detector.apply_change(change)
        self._connector.apply_change(change)
        old_status = change.old.status if change.old else None
        if is_gone(change.new) and old_status is not change.new.status:
            self._context.log(
                "info", "node ended", peer=change.new.node, status=change.new.status.value
            )

    def _apply_decision(self, decision: StatusDecision) -> None:
        member = self._tables.members.get(decision.node)
        if member is None:
            return
        if (member.incarnation, member.sequence) != (decision.incarnation, decision.sequence):
            return
        change = self._table.merge(member._replace(status=decision.status), self._context.clock.now)
        if change is None:
            return
        self._apply_change(change)
        # all nodes of the region run the suspicion timeout, so only other regions need this
        known_by = self._context.list_region_links() if is_gone(change.new) else ()
        self._gossip.queue_broadcast(decision.node, known_by=known_by)
        if not is_gone(change.new):
            self._gossip.flush()

    def _handle_link_opened(self, event: events.LinkOpened, now: float) -> None:
        peer = event.peer
        self._tables.links[peer] = node.LinkRow(
            peer, event.address, event.place, event.inbound, received_at=now
        )
        self._detector.handle_link_opened(peer)
        self._connector.handle_link_opened(peer, event.address, is_opener=not event.inbound)
        self._gossip.handle_link_opened(peer, is_opener=not event.inbound)

    def _handle_link_closed(self, peer: str, reason: str) -> None:
        self._tables.links.pop(peer, None)
        self._connector.handle_link_closed(peer)
        self._gossip.handle_link_closed(peer)
        self._detector.handle_link_closed(peer, reason)
        if self._detector.is_checking(peer):
            self._connector.connect_now(peer)

    def _handle_connect_failed(self, address: str, reason: str) -> None:
        target = self._connector.handle_connect_failed(address)
        if not target or reason in BENIGN_CONNECT_FAILURES:
            return
        if self._detector.handle_connect_failed(target, is_refused="ConnectionRefused" in reason):
            self._connector.connect_now(target)

    def _mark_upstream_gone(self, reason: str) -> None:
        if self._own.mark_upstream_gone():
            self._context.log("warning", "upstream is gone", reason=reason)
            self._broadcast_own(is_changed=True)

    def _check_upstream_timeout(self) -> None:
        silence_s = self._context.clock.now - self._announced_at
        if 0.0 < self._upstream_timeout_s < silence_s:
            self._mark_upstream_gone("upstream-silent")

    def _start_leaving(self) -> None:
        self._tables.stopping = True
        if self._own.record.status is MemberStatus.ALIVE:
            self._own.mark_leaving()
            self._broadcast_own(is_changed=True)

    def _broadcast_own(self, *, is_changed: bool) -> None:
        if is_changed:
            self._store_own()
            self._gossip.queue_broadcast(self._tables.identity.node)
            self._gossip.flush()

    def _store_own(self) -> None:
        change = self._table.merge(self._own.record, self._context.clock.now)
        if change is not None:
            self._connector.apply_change(change)

    def _clean_up(self) -> None:
        now = self._context.clock.now
        if now >= self._next_cleanup:
            self._next_cleanup = now + self._context.timing.tombstone_retention / 100
            self._table.remove_gone(now - self._context.timing.tombstone_retention)
