"""Simulate the rollout logic of many nodes with a network, a log and a virtual clock in memory."""

from __future__ import annotations

import heapq
import random
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.commands import Append, Send
from balsamhead.events import CallsCounted, MessageReceived
from balsamhead.fold import RollBackRollout, RolloutPhase, Verdict, fold_entry
from balsamhead.membership import MemberStatus
from balsamhead.node import Identity, LinkRow, Tables
from balsamhead.rollout import Rollouts
from balsamhead.wire import CallCount, WithdrawnNotice, encode_message

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from balsamhead.commands import Command
    from balsamhead.fold import ConfigState, Record, Rollout
    from balsamhead.membership import Member
    from balsamhead.wire import Message

__all__ = ("LogRow", "NodeStub", "RolloutSimulation")

#: simulated time between ticks, in s
TICK_S: Final = 0.1
#: shortest and longest time until a node applies a record that the log accepted, in s
REPLICATION_DELAY_S: Final = (0.2, 1.0)
#: delay of a message within a region and between regions, in s
INTRA_REGION_DELAY_S: Final = 0.001
INTER_REGION_DELAY_S: Final = 0.008
#: number of links that each node has at the start
LINKS_PER_NODE: Final = 6


class LogRow(NamedTuple):
    """Record of the log, with the time of its append and the verdict of the fold."""

    at: float
    record: Record | None
    verdict: Verdict


class NodeStub:
    """Tables and rollout logic of one simulated node."""

    def __init__(self, member: Member, members: Mapping[str, Member], seed: int) -> None:
        identity = Identity(member.node, 1, member.place, member.peer_address, "trial")
        self.tables = Tables(identity)
        self.tables.members = dict(members)
        self.rollouts = Rollouts.from_config(self.tables, rng=random.Random(seed))
        self.is_paused = False
        self.is_partitioned = False
        #: configurations that the node has not applied yet: (time of arrival, state)
        self.pending_configs: list[tuple[float, ConfigState]] = []
        #: time at which the node learned that the version is withdrawn, in s; 0 before that
        self.withdrawn_at = 0.0
        #: times at which the node started or resumed, in s
        self.resumed_at = [0.0]

    def resume(self, now: float) -> None:
        """Resume the node after a pause."""
        self.is_paused = False
        self.resumed_at.append(now)


class RolloutSimulation:
    """Simulate nodes, their calls and the log in ticks.

    :ivar draw_failures: function that returns the numbers of errors, slow calls and crashes,
        given the version, the number of calls and the time.
    :ivar on_counts: called at once with the call counts of each node; None for no observer.
    """

    def __init__(
        self,
        members: Mapping[str, Member],
        state: ConfigState,
        *,
        seed: int,
        start: float,
        calls_per_tick: float,
        draw_failures: Callable[[str, int, float], tuple[int, int, int]],
    ) -> None:
        self.rng = random.Random(seed)
        self.now = start
        self.state = state
        self.log: list[LogRow] = []
        self.is_log_up = True
        self.is_response_lost = False
        self.calls_per_tick = calls_per_tick
        self.on_counts: Callable[[NodeStub, tuple[CallCount, ...]], None] | None = None
        self.draw_failures = draw_failures
        self.sent_bytes: dict[str, int] = dict.fromkeys(members, 0)
        #: (node, time) of each call to the new version
        self.new_calls: list[tuple[str, float]] = []
        self.nodes: dict[str, NodeStub] = {}
        self._queue: list[tuple[float, int, str, str, Message]] = []
        self._sent_count = 0
        self._offset = state.offset
        for index, member in enumerate(members.values()):
            node = NodeStub(member, members, seed + index)
            node.tables.config = state
            node.tables.config_revision = 1
            self.nodes[member.node] = node
        self._link_nodes()

    @property
    def rollout(self) -> Rollout:
        """Return the rollout according to the log."""
        return self.state.rollouts[0]

    @property
    def first_withdrawn_at(self) -> float:
        """Return the time at which the first node withdrew the version, in s; 0 if none has."""
        times = [node.withdrawn_at for node in self.nodes.values() if node.withdrawn_at]
        return min(times, default=0.0)

    def is_reachable(self, node: NodeStub) -> bool:
        """Return whether the node runs and can exchange messages."""
        return not node.is_paused and not node.is_partitioned

    def mark_dead(self, name: str) -> None:
        """Record the node as dead at all other nodes."""
        for node in self.nodes.values():
            member = node.tables.members[name]
            if node.tables.identity.node != name:
                node.tables.members[name] = member._replace(status=MemberStatus.DEAD)
                node.tables.members_revision += 1

    def mark_alive(self, name: str) -> None:
        """Record the node as alive at all nodes."""
        for node in self.nodes.values():
            member = node.tables.members[name]
            node.tables.members[name] = member._replace(status=MemberStatus.ALIVE)
            node.tables.members_revision += 1

    def run(self, seconds: float) -> None:
        """Advance the clock by ``seconds``."""
        for _ in range(round(seconds / TICK_S)):
            self.step()

    def step(self) -> None:
        """Simulate one tick: deliver messages, count calls and run the logic of each node."""
        self.now += TICK_S
        while self._queue and self._queue[0][0] <= self.now:
            at, _, sender, target, message = heapq.heappop(self._queue)
            self._deliver(at, sender, target, message)
        for name, node in self.nodes.items():
            if node.is_paused:
                continue
            self._apply_config(node)
            counts = self._simulate_calls(name, node)
            if counts and self.on_counts is not None:
                self.on_counts(node, counts)
            if counts:
                self._execute(name, node.rollouts.handle(CallsCounted(counts), self.now))
            self._execute(name, node.rollouts.tick(self.now))
            self._record_withdrawal(node)
            self._send_anti_entropy(name, node)

    def _send_anti_entropy(self, name: str, node: NodeStub) -> None:
        # Simulates the anti-entropy of the configuration distribution, about once a second.
        if not node.tables.withdrawn or self.rng.random() > TICK_S:
            return
        for key, reason in node.tables.withdrawn.items():
            notice = WithdrawnNotice(*key, reason)
            self._execute(name, [Send(peer, notice) for peer in node.tables.links])

    def _link_nodes(self) -> None:
        names = sorted(self.nodes)
        for index, name in enumerate(names):
            for step in range(1, LINKS_PER_NODE // 2 + 1):
                self._link(name, names[(index + step * step) % len(names)])

    def _link(self, first: str, second: str) -> None:
        for name, peer in ((first, second), (second, first)):
            member = self.nodes[peer].tables.identity
            row = LinkRow(peer, member.peer_address, member.place, False, self.now)
            if name != peer:
                self.nodes[name].tables.links[peer] = row

    def _apply_config(self, node: NodeStub) -> None:
        while (
            node.pending_configs
            and node.pending_configs[0][0] <= self.now
            and not node.is_partitioned
        ):
            _, state = node.pending_configs.pop(0)
            node.tables.config = state
            for row in state.withdrawn:
                node.tables.withdrawn.setdefault(row[:3], row.reason)
            node.tables.config_revision += 1

    def _record_withdrawal(self, node: NodeStub) -> None:
        if node.tables.withdrawn and not node.withdrawn_at:
            node.withdrawn_at = self.now

    def _simulate_calls(self, name: str, node: NodeStub) -> tuple[CallCount, ...]:
        rollout = node.tables.config.rollouts[0]
        key = (rollout.service, rollout.new, rollout.document_offset)
        share = 0.0 if key in node.tables.withdrawn else rollout.share
        route = node.tables.config.document.routes[0].name if node.tables.config.document else ""
        upstreams = [m for m in node.tables.members.values() if m.upstream]
        rows = []
        for _ in range(self._draw_calls()):
            is_new = self.rng.random() < share
            version = rollout.new if is_new else rollout.old
            if is_new:
                self.new_calls.append((name, self.now))
            errors, slow, crashes = self.draw_failures(version, 1, self.now)
            matching = [m.node for m in upstreams if m.upstream and m.upstream.version == version]
            upstream = self.rng.choice(matching) if matching else ""
            rows.append(
                CallCount(
                    rollout.service, route, version, 1, errors, slow, 0, crashes, upstream, name
                )
            )
        return tuple(rows)

    def _draw_calls(self) -> int:
        whole_calls = int(self.calls_per_tick)
        return whole_calls + (self.rng.random() < self.calls_per_tick - whole_calls)

    def _deliver(self, at: float, sender: str, target: str, message: Message) -> None:
        node = self.nodes[target]
        if not self.is_reachable(node) or not self.is_reachable(self.nodes[sender]):
            return
        if isinstance(message, WithdrawnNotice):
            self._withdraw(node, message)
            return
        event = MessageReceived(sender, message)
        self._execute(target, node.rollouts.handle(event, max(at, self.now - TICK_S)))

    def _withdraw(self, node: NodeStub, notice: WithdrawnNotice) -> None:
        key = (notice.service, notice.version, notice.document_offset)
        if key in node.tables.withdrawn:
            return
        node.tables.withdrawn[key] = notice.reason
        node.tables.config_revision += 1
        self._record_withdrawal(node)
        name = node.tables.identity.node
        self._execute(name, [Send(peer, notice) for peer in node.tables.links])

    def _execute(self, name: str, commands: list[Command]) -> None:
        for command in commands:
            match command:
                case Send(peer=peer, message=message):
                    self._send(name, peer, message)
                case Append(data=data):
                    self._append(name, data)
                case _ if hasattr(command, "address"):
                    self._connect(name, command.address)

    def _send(self, name: str, peer: str, message: Message) -> None:
        self.sent_bytes[name] += len(encode_message(message))
        source_place = self.nodes[name].tables.identity.place
        target_place = self.nodes[peer].tables.identity.place
        delay = (
            INTRA_REGION_DELAY_S
            if source_place.region == target_place.region
            else INTER_REGION_DELAY_S
        )
        self._sent_count += 1
        heapq.heappush(self._queue, (self.now + delay, self._sent_count, name, peer, message))

    def _connect(self, name: str, address: str) -> None:
        for peer, node in self.nodes.items():
            is_target = node.tables.identity.peer_address == address
            if is_target and self.is_reachable(node) and self.is_reachable(self.nodes[name]):
                self._link(name, peer)

    def _append(self, name: str, data: bytes) -> None:
        if not self.is_log_up or self.nodes[name].is_partitioned:
            return
        self.append(data)

    def append(self, data: bytes) -> Verdict:
        """Append a record to the log, fold it and return the verdict.

        A change of the state reaches each node after a random delay.
        """
        self._offset += 1
        record, folded = fold_entry(self.state, self._offset, data)
        self.log.append(LogRow(self.now, record, folded.verdict))
        if folded.state is self.state:
            return folded.verdict
        self.state = folded.state
        for node in self.nodes.values():
            arrives_at = self.now + self.rng.uniform(*REPLICATION_DELAY_S)
            if node.pending_configs:
                arrives_at = max(arrives_at, node.pending_configs[-1][0])
            node.pending_configs.append((arrives_at, folded.state))
        return folded.verdict

    def has_converged(self) -> bool:
        """Return whether all nodes agree with the log on the rollout and on the withdrawal."""
        rollout = self.rollout
        is_rolled_back = rollout.phase is RolloutPhase.ROLLED_BACK
        for node in self.nodes.values():
            node_rollout = node.tables.config.rollouts[0]
            if node_rollout != rollout or bool(node.tables.withdrawn) != is_rolled_back:
                return False
        return True

    def list_rollbacks(self) -> list[LogRow]:
        """Return the records of the log that roll the rollout back."""
        return [row for row in self.log if isinstance(row.record, RollBackRollout)]
