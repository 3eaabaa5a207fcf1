"""Join the rollout decisions of many nodes by a fake wire, one log and a virtual clock."""

from __future__ import annotations

import heapq
import random
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.commands import Append, Send
from balsamhead.events import CallsSeen, MessageReceived
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

__all__ = ("Fleet", "LogRow", "NodeStub")

#: time between ticks, in s
TICK_S: Final = 0.1
#: time from an accepted record until a node has it in force, in s
SPREAD_S: Final = (0.2, 1.0)
#: time of a message within a data centre and across regions, in s
NEAR_S: Final = 0.001
FAR_S: Final = 0.008
#: nodes to which each node keeps links
LINKS: Final = 6


class LogRow(NamedTuple):
    """Hold a record of the log, when it was appended, and the verdict on it."""

    at: float
    record: Record | None
    verdict: Verdict


class NodeStub:
    """Hold one node's tables and its rollout decisions."""

    def __init__(self, member: Member, members: Mapping[str, Member], seed: int) -> None:
        identity = Identity(member.node, 1, member.place, member.peer_address, "trial")
        self.tables = Tables(identity)
        self.tables.members = dict(members)
        self.system = Rollouts.from_config(self.tables, rng=random.Random(seed))
        self.is_paused = False
        self.is_cut = False
        #: versions of the configuration on their way: (when, state)
        self.coming: list[tuple[float, ConfigState]] = []
        #: when the node learnt that the version is withdrawn, in s; 0 before
        self.withdrawn_at = 0.0
        #: times at which the node began to run, in s
        self.woken_at = [0.0]

    def wake(self, now: float) -> None:
        """Let a paused node run on."""
        self.is_paused = False
        self.woken_at.append(now)


class Fleet:
    """Drive nodes, their calls and the log by ticks.

    :ivar draw_failures: returns (errors, slow, crashes) among calls of a version.
    :ivar on_counts: is told what each node counted, without delay; None for nobody.
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
        self.is_answer_lost = False
        self.calls_per_tick = calls_per_tick
        self.on_counts: Callable[[NodeStub, tuple[CallCount, ...]], None] | None = None
        self.draw_failures = draw_failures
        self.sent_bytes: dict[str, int] = dict.fromkeys(members, 0)
        self.new_calls: list[tuple[str, float]] = []
        self.nodes: dict[str, NodeStub] = {}
        self._queue: list[tuple[float, int, str, str, Message]] = []
        self._sent = 0
        self._offset = state.offset
        for index, member in enumerate(members.values()):
            node = NodeStub(member, members, seed + index)
            node.tables.config = state
            node.tables.config_edition = 1
            self.nodes[member.node] = node
        self._link_nodes()

    @property
    def rollout(self) -> Rollout:
        """Return the rollout as the log has accepted it."""
        return self.state.rollouts[0]

    @property
    def first_withdrawn_at(self) -> float:
        """Return when the first node withdrew the version, in s; 0 when none did."""
        times = [node.withdrawn_at for node in self.nodes.values() if node.withdrawn_at]
        return min(times, default=0.0)

    def can_hear(self, node: NodeStub) -> bool:
        """Tell whether a node runs and its messages arrive."""
        return not node.is_paused and not node.is_cut

    def mark_dead(self, name: str) -> None:
        """Make all others believe that a node is dead."""
        for node in self.nodes.values():
            member = node.tables.members[name]
            if node.tables.identity.node != name:
                node.tables.members[name] = member._replace(status=MemberStatus.DEAD)
                node.tables.members_edition += 1

    def mark_alive(self, name: str) -> None:
        """Make all others believe that a node runs."""
        for node in self.nodes.values():
            member = node.tables.members[name]
            node.tables.members[name] = member._replace(status=MemberStatus.ALIVE)
            node.tables.members_edition += 1

    def run(self, seconds: float) -> None:
        """Pass time."""
        for _ in range(round(seconds / TICK_S)):
            self.step()

    def step(self) -> None:
        """Pass one tick: deliver, call, decide."""
        self.now += TICK_S
        while self._queue and self._queue[0][0] <= self.now:
            at, _, sender, target, message = heapq.heappop(self._queue)
            self._deliver(at, sender, target, message)
        for name, node in self.nodes.items():
            if node.is_paused:
                continue
            self._apply_config(node)
            counts = self._call(name, node)
            if counts and self.on_counts is not None:
                self.on_counts(node, counts)
            if counts:
                self._carry_out(name, node.system.handle(CallsSeen(counts), self.now))
            self._carry_out(name, node.system.tick(self.now))
            self._note_withdrawn(node)
            self._repair(name, node)

    def _repair(self, name: str, node: NodeStub) -> None:
        # stands for the anti-entropy of the distribution, about once a second
        if not node.tables.withdrawn or self.rng.random() > TICK_S:
            return
        for key, reason in node.tables.withdrawn.items():
            notice = WithdrawnNotice(*key, reason)
            self._carry_out(name, [Send(peer, notice) for peer in node.tables.links])

    def _link_nodes(self) -> None:
        names = sorted(self.nodes)
        for index, name in enumerate(names):
            for step in range(1, LINKS // 2 + 1):
                self._link(name, names[(index + step * step) % len(names)])

    def _link(self, first: str, second: str) -> None:
        for name, peer in ((first, second), (second, first)):
            member = self.nodes[peer].tables.identity
            row = LinkRow(peer, member.peer_address, member.place, False, self.now)
            if name != peer:
                self.nodes[name].tables.links[peer] = row

    def _apply_config(self, node: NodeStub) -> None:
        while node.coming and node.coming[0][0] <= self.now and not node.is_cut:
            _, state = node.coming.pop(0)
            node.tables.config = state
            for row in state.withdrawn:
                node.tables.withdrawn.setdefault(row[:3], row.reason)
            node.tables.config_edition += 1

    def _note_withdrawn(self, node: NodeStub) -> None:
        if node.tables.withdrawn and not node.withdrawn_at:
            node.withdrawn_at = self.now

    def _call(self, name: str, node: NodeStub) -> tuple[CallCount, ...]:
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
            fitting = [m.node for m in upstreams if m.upstream and m.upstream.version == version]
            upstream = self.rng.choice(fitting) if fitting else ""
            rows.append(
                CallCount(
                    rollout.service, route, version, 1, errors, slow, 0, crashes, upstream, name
                )
            )
        return tuple(rows)

    def _draw_calls(self) -> int:
        whole = int(self.calls_per_tick)
        return whole + (self.rng.random() < self.calls_per_tick - whole)

    def _deliver(self, at: float, sender: str, target: str, message: Message) -> None:
        node = self.nodes[target]
        if not self.can_hear(node) or not self.can_hear(self.nodes[sender]):
            return
        if isinstance(message, WithdrawnNotice):
            self._spread(node, message)
            return
        event = MessageReceived(sender, message)
        self._carry_out(target, node.system.handle(event, max(at, self.now - TICK_S)))

    def _spread(self, node: NodeStub, notice: WithdrawnNotice) -> None:
        key = (notice.service, notice.version, notice.document_offset)
        if key in node.tables.withdrawn:
            return
        node.tables.withdrawn[key] = notice.reason
        node.tables.config_edition += 1
        self._note_withdrawn(node)
        name = node.tables.identity.node
        self._carry_out(name, [Send(peer, notice) for peer in node.tables.links])

    def _carry_out(self, name: str, commands: list[Command]) -> None:
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
        here = self.nodes[name].tables.identity.place
        there = self.nodes[peer].tables.identity.place
        delay = NEAR_S if here.region == there.region else FAR_S
        self._sent += 1
        heapq.heappush(self._queue, (self.now + delay, self._sent, name, peer, message))

    def _connect(self, name: str, address: str) -> None:
        for peer, node in self.nodes.items():
            is_wanted = node.tables.identity.peer_address == address
            if is_wanted and self.can_hear(node) and self.can_hear(self.nodes[name]):
                self._link(name, peer)

    def _append(self, name: str, data: bytes) -> None:
        if not self.is_log_up or self.nodes[name].is_cut:
            return
        self.append(data)

    def append(self, data: bytes) -> Verdict:
        """Append a record to the log and fold it."""
        self._offset += 1
        record, folded = fold_entry(self.state, self._offset, data)
        self.log.append(LogRow(self.now, record, folded.verdict))
        if folded.state is self.state:
            return folded.verdict
        self.state = folded.state
        for node in self.nodes.values():
            arrival = self.now + self.rng.uniform(*SPREAD_S)
            if node.coming:
                arrival = max(arrival, node.coming[-1][0])
            node.coming.append((arrival, folded.state))
        return folded.verdict

    def is_settled(self) -> bool:
        """Tell whether all nodes agree with the log on share, phase and withdrawal."""
        rollout = self.rollout
        is_back = rollout.phase is RolloutPhase.ROLLED_BACK
        for node in self.nodes.values():
            own = node.tables.config.rollouts[0]
            if own != rollout or bool(node.tables.withdrawn) != is_back:
                return False
        return True

    def list_take_backs(self) -> list[LogRow]:
        """Return the records that withdraw the version."""
        return [row for row in self.log if isinstance(row.record, RollBackRollout)]
