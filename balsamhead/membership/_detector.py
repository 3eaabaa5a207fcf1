"""Detect silent links, probe the peers behind them and declare failed nodes suspect or dead."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead import wire
from balsamhead.membership._model import MemberStatus

if TYPE_CHECKING:
    from balsamhead.membership._context import Context
    from balsamhead.membership._member_table import MemberChange
    from balsamhead.membership._model import Member

__all__ = ("Detector", "StatusDecision")

#: peers that are asked to reach a node that is unreachable from here
PROBES_PER_CHECK: Final = 3

#: limit on the unanswered probes that peers requested
MAX_PENDING_PROBES: Final = 32

#: heartbeats without an acknowledgement after which the peer is taken not to receive them, and
#: the link is closed
MAX_UNACKNOWLEDGED_HEARTBEATS: Final = 8

#: nodes of the region, with this one, that must be alive for silence of all peers to count as
#: isolation of this node; with fewer nodes, isolation and the failure of a peer look the same
MIN_ISOLATION_MEMBERS: Final = 4

#: close reasons after which the peer's reachability is not checked
BENIGN_CLOSE_REASONS: Final = frozenset(
    {"surplus", "replaced", "duplicate-link", "stopping", "silent", "deaf", "too-many-links"}
)


class StatusDecision(NamedTuple):
    """New status of a node; it applies only to the record version for which it was decided."""

    node: str
    incarnation: int
    sequence: int
    status: MemberStatus


class _LinkHealth:
    """Heartbeat state of one link; times are those of ``RunningClock``, in s."""

    def __init__(self, now: float, next_heartbeat_at: float) -> None:
        self.received_at = now
        self.next_heartbeat_at = next_heartbeat_at
        self.sent = 0
        self.received = 0
        self.acknowledged = 0


class _ReachabilityCheck(NamedTuple):
    deadline: float
    nonce: int
    #: the node's VM refused the connection, so the network path to it works
    is_refused: bool


class _PendingProbe(NamedTuple):
    requester: str
    nonce: int
    deadline: float


class Detector:
    """Send heartbeats, probe unreachable nodes, and declare them suspect and then dead.

    Only nodes in the same region are probed and declared failed, so a partition between regions
    changes no status.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._links: dict[str, _LinkHealth] = {}
        self._checks: dict[str, _ReachabilityCheck] = {}
        #: suspects whose VM refused the connection
        self._refused_nodes: set[str] = set()
        #: suspects, with the time at which each is declared dead
        self._suspects: dict[str, float] = {}
        #: unanswered probes that peers requested, by target
        self._pending_probes: dict[str, list[_PendingProbe]] = {}
        self._nonce = 0

    def handle_link_opened(self, peer: str) -> None:
        """Start heartbeats on a new link and end all checks of the peer's reachability."""
        now = self._context.clock.now
        first_heartbeat_at = now + self._context.rng.uniform(
            0.0, self._context.timing.heartbeat_interval
        )
        self._links[peer] = _LinkHealth(now, first_heartbeat_at)
        self._checks.pop(peer, None)
        self._answer_probes(peer, reached=True)

    def handle_link_closed(self, peer: str, reason: str) -> None:
        """Stop heartbeats on a link, and check the peer's reachability if the link was lost."""
        self._links.pop(peer, None)
        if reason not in BENIGN_CLOSE_REASONS:
            self.check_reachability(peer)

    def record_message(self, peer: str) -> None:
        """Record that a message came from a peer."""
        health = self._links.get(peer)
        if health is not None:
            health.received_at = self._context.clock.now

    def receive_heartbeat(self, peer: str, sequence: int, seen: int) -> None:
        """Record a heartbeat of a peer and the heartbeats that it acknowledges."""
        health = self._links.get(peer)
        if health is not None:
            health.received = max(health.received, sequence)
            health.acknowledged = max(health.acknowledged, seen)

    def restart_timeouts(self) -> None:
        """Restart the timeouts of links and suspects after a pause; drop all checks and probes."""
        now = self._context.clock.now
        for health in self._links.values():
            health.received_at = now
        self._checks.clear()
        self._pending_probes.clear()
        grace_until = self._context.clock.grace_until
        for node in self._suspects:
            self._suspects[node] = grace_until + self._context.timing.suspicion_timeout

    def check_reachability(self, node: str, *, is_refused: bool = False) -> bool:
        """Ask random peers to probe a node that can't be reached from here.

        :param is_refused: the node's VM refused the connection.
        :returns: whether a new check was started, so that the caller should connect again.
        """
        check = self._checks.get(node)
        if check is not None:
            self._checks[node] = check._replace(is_refused=check.is_refused or is_refused)
            return False
        if node in self._links or not self._may_suspect(node):
            return False
        if self._is_isolated() and not is_refused:
            return False
        self._nonce += 1
        deadline = self._context.clock.now + self._context.timing.probe_timeout
        self._checks[node] = _ReachabilityCheck(deadline, self._nonce, is_refused)
        peers = [peer for peer in self._context.list_region_links() if peer in self._links]
        for peer in self._context.rng.sample(peers, min(PROBES_PER_CHECK, len(peers))):
            self._context.send(peer, wire.Probe(node, self._nonce))
        return True

    def is_checking(self, node: str) -> bool:
        """Return whether a check of a node's reachability is in progress."""
        return node in self._checks

    def receive_probe(self, peer: str, target: str, nonce: int) -> bool:
        """Answer a probe; return True if the caller must connect to the target before the answer.

        A probe of an unknown or silent node, or beyond the limit, is ignored.
        """
        now = self._context.clock.now
        is_own = target == self._context.tables.identity.node
        if is_own or self._is_responsive(target):
            self._context.send(peer, wire.ProbeResult(target, nonce, True))
            return False
        if target in self._links or target not in self._context.tables.members:
            return False
        if sum(map(len, self._pending_probes.values())) >= MAX_PENDING_PROBES:
            return False
        probe = _PendingProbe(peer, nonce, now + self._context.timing.probe_timeout)
        self._pending_probes.setdefault(target, []).append(probe)
        return True

    def receive_probe_result(self, target: str, nonce: int, *, reached: bool) -> None:
        """End the check of a node's reachability when a peer reached the node."""
        check = self._checks.get(target)
        if check is not None and check.nonce == nonce and reached:
            del self._checks[target]

    def handle_connect_failed(self, node: str, *, is_refused: bool) -> bool:
        """Answer the probes of a node after a failed connect, and check its reachability.

        :returns: whether a new check was started.
        """
        self._answer_probes(node, reached=False)
        return self.check_reachability(node, is_refused=is_refused)

    def apply_change(self, change: MemberChange) -> None:
        """Start or cancel the suspicion timeout of a node whose record changed."""
        node = change.new.node
        self._checks.pop(node, None)
        self._suspects.pop(node, None)
        if change.new.status is not MemberStatus.SUSPECT:
            self._refused_nodes.discard(node)
        if change.new.status is MemberStatus.SUSPECT and self._is_in_own_region(change.new):
            now = max(self._context.clock.now, self._context.clock.grace_until)
            self._suspects[node] = now + self._context.timing.suspicion_timeout

    def tick(self) -> list[StatusDecision]:
        """Send heartbeats, close silent links and return the nodes to declare suspect or dead."""
        self._maintain_links()
        self._expire_probes()
        if self._context.clock.is_in_grace_period:
            return []
        decisions = self._decide_suspects()
        decisions.extend(self._decide_dead())
        return decisions

    def _maintain_links(self) -> None:
        now = self._context.clock.now
        timing = self._context.timing
        for peer, health in list(self._links.items()):
            if now - health.received_at > timing.silence_timeout:
                self._close_silent(peer)
                continue
            if now < health.next_heartbeat_at:
                continue
            health.sent += 1
            health.next_heartbeat_at = now + timing.heartbeat_interval * self._context.rng.uniform(
                0.9, 1.0
            )
            self._context.send(peer, wire.Heartbeat(health.sent, health.received))
            if (
                health.received > 1
                and health.sent - health.acknowledged > MAX_UNACKNOWLEDGED_HEARTBEATS
            ):
                self._context.close_link(peer, "deaf")

    def _close_silent(self, peer: str) -> None:
        del self._links[peer]
        self._context.close_link(peer, "silent")
        self.check_reachability(peer)

    def _decide_suspects(self) -> list[StatusDecision]:
        now = self._context.clock.now
        due = [node for node, check in self._checks.items() if now >= check.deadline]
        decisions = []
        for node in due:
            is_refused = self._checks.pop(node).is_refused
            if not self._may_suspect(node) or (self._is_isolated() and not is_refused):
                continue
            if is_refused:
                self._refused_nodes.add(node)
            decisions.append(
                _build_decision(self._context.tables.members[node], MemberStatus.SUSPECT)
            )
        return decisions

    def _decide_dead(self) -> list[StatusDecision]:
        now = self._context.clock.now
        due = [node for node, deadline in self._suspects.items() if now >= deadline]
        if due and self._is_isolated():
            due = [node for node in due if node in self._refused_nodes]
        for node in due:
            del self._suspects[node]
        members = self._context.tables.members
        return [
            _build_decision(members[node], MemberStatus.DEAD) for node in due if node in members
        ]

    def _expire_probes(self) -> None:
        now = self._context.clock.now
        for target in list(self._pending_probes):
            kept = [probe for probe in self._pending_probes[target] if probe.deadline > now]
            if kept:
                self._pending_probes[target] = kept
            else:
                del self._pending_probes[target]

    def _answer_probes(self, target: str, *, reached: bool) -> None:
        for probe in self._pending_probes.pop(target, ()):
            self._context.send(probe.requester, wire.ProbeResult(target, probe.nonce, reached))

    def _is_responsive(self, peer: str) -> bool:
        health = self._links.get(peer)
        if health is None:
            return False
        return (
            self._context.clock.now - health.received_at
            <= 1.5 * self._context.timing.heartbeat_interval
        )

    def _is_in_own_region(self, member: Member) -> bool:
        return member.place.region == self._context.tables.identity.place.region

    def _may_suspect(self, node: str) -> bool:
        member = self._context.tables.members.get(node)
        if (
            member is None
            or not self._is_in_own_region(member)
            or self._context.clock.is_in_grace_period
        ):
            return False
        return member.status in (MemberStatus.ALIVE, MemberStatus.LEAVING)

    def _is_isolated(self) -> bool:
        """Return whether this node, rather than its peers, seems to be cut off.

        It does if no linked peer of the region responds though enough members are alive.
        """
        if any(self._is_responsive(peer) for peer in self._context.list_region_links()):
            return False
        members = self._context.tables.members.values()
        live_members = (
            m for m in members if m.status is MemberStatus.ALIVE and self._is_in_own_region(m)
        )
        return sum(1 for _ in live_members) >= MIN_ISOLATION_MEMBERS


def _build_decision(member: Member, status: MemberStatus) -> StatusDecision:
    return StatusDecision(member.node, member.incarnation, member.sequence, status)
