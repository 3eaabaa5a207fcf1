"""Simulate the membership of several nodes with a network in memory and a virtual clock."""

from __future__ import annotations

import heapq
import itertools
import random
from typing import TYPE_CHECKING, NamedTuple

from balsamhead import commands, events
from balsamhead.membership import Membership, MemberStatus, Place, Timing, UpstreamState, is_live
from balsamhead.membership._member_table import get_record_version
from balsamhead.node import Identity, Tables
from balsamhead.wire import encode_message

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from balsamhead.commands import Command
    from balsamhead.events import Event
    from balsamhead.membership import Member
    from balsamhead.membership._member_table import RecordVersion

#: simulated time between ticks, in s
TICK_S = 0.1

#: time after which a connect attempt without a response fails, in s
CONNECT_TIMEOUT_S = 3.0

#: start of the virtual clock, in s since the epoch
START_S = 1_000_000.0


class Faults(NamedTuple):
    """Faults that the network injects into messages."""

    #: probability that a copy of a message is lost
    loss: float = 0.0
    #: probability that a message is sent twice
    repeat: float = 0.0
    #: longest delay, in s; each delay is random, so messages can overtake each other
    delay: float = 0.002


class Node:
    """Tables and membership logic of one simulated node."""

    def __init__(
        self, identity: Identity, seeds: tuple[str, ...], rng: random.Random, timing: Timing
    ) -> None:
        self.identity = identity
        self.tables = Tables(identity)
        self.membership = Membership.from_config(self.tables, seeds=seeds, rng=rng, timing=timing)
        self.is_paused = False
        self.queued_events: list[Event] = []
        self.revisions: dict[str, RecordVersion] = {}

    @property
    def name(self) -> str:
        """Return the node's name."""
        return self.identity.node

    def check_record_versions(self) -> None:
        """Assert that no member record was replaced by one with a lower record version."""
        for name, member in self.tables.members.items():
            revision = get_record_version(member)
            assert revision >= self.revisions.get(name, revision), (self.name, name)
            self.revisions[name] = revision


class MembershipSimulation:
    """Execute the commands of all nodes and deliver their messages over a simulated network."""

    def __init__(self, seed: int, *, timing: Timing | None = None) -> None:
        self.timing = timing or Timing()
        self.rng = random.Random(seed)
        self.now = START_S
        self.nodes: dict[str, Node] = {}
        self.faults = Faults()
        #: nodes whose VM has stopped responding
        self.unresponsive: set[str] = set()
        #: network partitions: nodes reach only nodes of their group; empty for no partition
        self.groups: list[set[str]] = []
        #: pairs of nodes that can't reach each other
        self.blocked: set[frozenset[str]] = set()
        #: links that drop all messages, until they are closed
        self.blackholed_links: set[frozenset[str]] = set()
        #: open links, each with a number that distinguishes successive links of a pair
        self.links: dict[frozenset[str], int] = {}
        #: bytes that each node sent while ``is_counting`` is set
        self.sent_bytes: dict[str, int] = {}
        #: the same bytes, by message type and whether the message crosses regions
        self.bytes_by_kind: dict[tuple[str, bool], int] = {}
        self.is_counting = False
        self._sequence = itertools.count(1)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._size_cache: dict[int, tuple[object, int]] = {}

    def start(self, name: str, place: Place, *, seeds: Iterable[str] = ()) -> Node:
        """Start or restart a node."""
        identity = Identity(name, int(self.now * 1000), place, f"addr-{name}", "trial")
        addresses = tuple(f"addr-{seed}" for seed in seeds)
        node = Node(identity, addresses, random.Random(self.rng.random()), self.timing)
        self.nodes[name] = node
        self.unresponsive.discard(name)
        self._schedule(self.rng.uniform(0, TICK_S), lambda: self._tick(node))
        return node

    def announce(self, name: str, state: UpstreamState = UpstreamState.READY) -> None:
        """Announce an upstream to its node."""
        self.post(
            name, events.UpstreamAnnounced("desk", "v1", f"host-{name}", 80, 6, 130, state, 7)
        )

    def kill(self, names: Iterable[str]) -> None:
        """Kill the processes of nodes; their peers see the links close."""
        for name in names:
            del self.nodes[name]
            for pair in [pair for pair in self.links if name in pair]:
                del self.links[pair]
                (peer,) = pair - {name}
                self._post_with_delay(peer, events.LinkClosed(name, "connection-lost"))

    def stop_vm(self, name: str) -> None:
        """Stop the VM of a node, without closing its connections."""
        del self.nodes[name]
        self.unresponsive.add(name)

    def pause(self, name: str) -> None:
        """Pause a node: it does not tick, and its events are queued."""
        self.nodes[name].is_paused = True

    def resume(self, name: str) -> None:
        """Resume a paused node and deliver its queued events."""
        node = self.nodes[name]
        node.is_paused = False
        queued_events, node.queued_events = node.queued_events, []
        for event in queued_events:
            self.post(name, event)

    def post(self, name: str, event: Event) -> None:
        """Deliver an event to a node at once, or queue it if the node is paused."""
        node = self.nodes.get(name)
        if node is None:
            return
        if node.is_paused:
            node.queued_events.append(event)
            return
        self._execute(node, node.membership.handle(event, self.now))
        node.check_record_versions()

    def run(self, seconds: float) -> None:
        """Advance the clock by ``seconds`` and run the actions that are due."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = end

    def run_until(self, condition: Callable[[], bool], limit: float) -> float:
        """Advance the clock until a condition is true and return the elapsed time, in s.

        :raises AssertionError: the condition is still false after ``limit`` seconds.
        """
        start = self.now
        while not condition():
            assert self.now - start < limit, "the condition never held"
            self.run(TICK_S)
        return self.now - start

    def list_views(self) -> list[dict[str, Member]]:
        """Return the live members in the member table of each running node."""
        return [
            {name: member for name, member in node.tables.members.items() if is_live(member)}
            for node in self.nodes.values()
        ]

    def has_converged(self) -> bool:
        """Return whether all nodes have the same live members, namely the running nodes."""
        views = self.list_views()
        if any(view != views[0] for view in views):
            return False
        alive = {name for name, m in views[0].items() if m.status is MemberStatus.ALIVE}
        return set(views[0]) == alive == set(self.nodes)

    def _schedule(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.now + delay, next(self._sequence), action))

    def _post_with_delay(self, name: str, event: Event) -> None:
        target = self.nodes.get(name)
        self._schedule(0.001, lambda: self.post(name, event) if self._is_running(target) else None)

    def _is_running(self, node: Node | None) -> bool:
        return node is not None and self.nodes.get(node.name) is node

    def _tick(self, node: Node) -> None:
        if not self._is_running(node):
            return
        if not node.is_paused:
            self._execute(node, node.membership.tick(self.now))
            node.check_record_versions()
        self._schedule(TICK_S, lambda: self._tick(node))

    def _can_reach(self, one: str, other: str) -> bool:
        if one in self.unresponsive or other in self.unresponsive:
            return False
        if frozenset({one, other}) in self.blocked:
            return False
        return not self.groups or any(one in group and other in group for group in self.groups)

    def _execute(self, node: Node, issued: list[Command]) -> None:
        for command in issued:
            match command:
                case commands.Connect(address=address):
                    self._connect(node, address)
                case commands.CloseLink(peer=peer, reason=reason):
                    self._close_link(node.name, peer, reason)
                case commands.Send(peer=peer, message=message):
                    self._send(node.name, peer, message)

    def _connect(self, node: Node, address: str) -> None:
        name = address.removeprefix("addr-")
        target = self.nodes.get(name)
        if not self._can_reach(node.name, name) or (target and target.is_paused):
            failed = events.ConnectFailed(address, "connect-timeout")
            self._schedule(CONNECT_TIMEOUT_S, lambda: self._post_if_running(node, failed))
        elif target is None or target is node:
            refused = events.ConnectFailed(address, "connect-failed: ConnectionRefusedError")
            self._schedule(0.002, lambda: self._post_if_running(node, refused))
        else:
            self._schedule(0.004, lambda: self._open_link(node, target))

    def _post_if_running(self, node: Node, event: Event) -> None:
        if self._is_running(node):
            self.post(node.name, event)

    def _open_link(self, opener: Node, acceptor: Node) -> None:
        if not self._is_running(opener) or not self._is_running(acceptor):
            return
        pair = frozenset({opener.name, acceptor.name})
        if pair in self.links:
            self.post(opener.name, events.LinkClosed(acceptor.name, "replaced"))
            self.post(acceptor.name, events.LinkClosed(opener.name, "replaced"))
        self.links[pair] = next(self._sequence)
        for one, other, is_inbound in ((opener, acceptor, False), (acceptor, opener, True)):
            address = other.identity.peer_address
            place = other.identity.place
            self.post(one.name, events.LinkOpened(other.name, address, place, is_inbound))

    def _close_link(self, name: str, peer: str, reason: str) -> None:
        pair = frozenset({name, peer})
        if self.links.pop(pair, None) is None:
            return
        is_blackholed = pair in self.blackholed_links
        self.blackholed_links.discard(pair)
        self._post_with_delay(name, events.LinkClosed(peer, reason))
        if self._can_reach(name, peer) and not is_blackholed:
            self._post_with_delay(peer, events.LinkClosed(name, reason))
        elif peer in self.nodes:
            # The peer gets no notice and detects the lost connection after its own timeout.
            self._schedule(5.0, lambda: self._post_if_unlinked(peer, name))

    def _post_if_unlinked(self, name: str, peer: str) -> None:
        node = self.nodes.get(name)
        if node and peer in node.tables.links and frozenset({name, peer}) not in self.links:
            self.post(name, events.LinkClosed(peer, "connection-lost"))

    def _send(self, name: str, peer: str, message: object) -> None:
        pair = frozenset({name, peer})
        number = self.links.get(pair)
        if number is None:
            return
        if self.is_counting:
            self._count_bytes(name, peer, message)
        if pair in self.blackholed_links or not self._can_reach(name, peer):
            return
        copies = 1 + (self.rng.random() < self.faults.repeat)
        for _ in range(copies):
            if self.rng.random() < self.faults.loss:
                continue
            event = events.MessageReceived(name, message)  # type: ignore[arg-type]
            delay = self.rng.uniform(0.0005, self.faults.delay)
            self._schedule(delay, lambda event=event: self._deliver(pair, number, peer, event))  # type: ignore[misc]

    def _deliver(self, pair: frozenset[str], number: int, peer: str, event: Event) -> None:
        if self.links.get(pair) == number:
            self.post(peer, event)

    def _count_bytes(self, name: str, peer: str, message: object) -> None:
        cached = self._size_cache.get(id(message))
        if cached is None or cached[0] is not message:
            if len(self._size_cache) > 1000:
                self._size_cache.clear()
            # Add 6 bytes for the header and mask of the frame, which take 2 to 8 bytes.
            cached = (message, len(encode_message(message)) + 6)  # type: ignore[arg-type]
            self._size_cache[id(message)] = cached
        self.sent_bytes[name] = self.sent_bytes.get(name, 0) + cached[1]
        regions = [self.nodes[n].identity.place.region for n in (name, peer) if n in self.nodes]
        key = (type(message).__name__, len(set(regions)) > 1)
        self.bytes_by_kind[key] = self.bytes_by_kind.get(key, 0) + cached[1]
