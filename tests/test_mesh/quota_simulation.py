"""Nodes that decide on quotas without a network: messages pass through a list with delays."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable

from balsamhead.mesh._peers import hash_name
from balsamhead.mesh.model import Account
from balsamhead.mesh.quotas import ANSWER_TIMEOUT_S, Grant, QuotaOwner, QuotaShare, compute_share

STEP_S = 0.02
#: silence after which a node isn't live and interval of heartbeats, in s: within a data centre, and
#: between data centres
NEARBY_S = (0.9, 0.45)
REMOTE_S = (1.9, 1.0)
#: fraction of that silence after which a node doesn't count for the share of the rate
REACHED_FRACTION = 0.8


class SimulatedNode:
    """One node: its views of the others and its decisions."""

    def __init__(self, mesh: SimulatedMesh, name: str) -> None:
        self.mesh = mesh
        self.name = name
        self.limit = mesh.limit
        self.paused_until = 0.0
        self.start()

    def start(self) -> None:
        """Begin without memory, linked to the nodes that can be reached."""
        now = self.mesh.now
        self.owner = QuotaOwner()
        self.share = QuotaShare(self.mesh.rng.random)
        self.heard = {node: now for node in self.mesh.names if self.mesh.is_linked(self.name, node)}
        self.live: tuple[str, ...] = ()
        self.reached = 0
        self.flight = 0
        self.flight_at = 0.0
        self.flight_owner = ""
        self.demand = 0.0

    def update_members(self) -> None:
        now = self.mesh.now
        live = self.list_heard(self.mesh.suspect_s)
        reached = len(self.list_heard(self.mesh.suspect_s * REACHED_FRACTION))
        if (live, reached) != (self.live, self.reached):
            self.live, self.reached = live, reached
            share = compute_share(reached, len(self.mesh.names))
            self.owner.set_members(share, lambda _: self.find_owner() == self.name, now)
        self.owner.record_running(now)

    def list_heard(self, silence_s: float) -> tuple[str, ...]:
        """Return the nodes that were heard within some time, including this one."""
        earliest = self.mesh.now - silence_s
        return tuple(
            node
            for node in self.mesh.names
            if node == self.name or self.heard.get(node, -99.0) > earliest
        )

    def find_owner(self) -> str:
        return min(self.live, key=lambda node: hash_name("quota/acme", node))

    def request(self) -> None:
        """Handle one request of the account."""
        now = self.mesh.now
        if self.share.admit("acme", now):
            self.mesh.admit()
        elif self.share.get_blocked_time("acme", now)[0]:
            return
        elif (owner := self.find_owner()) == self.name:
            if self.owner.request(self.limit, self.name, 1, now).tokens:
                self.mesh.admit()
        elif self.flight:
            return
        elif self.share.is_owner_silent("acme", now):
            self.take_static()
        else:
            number, spare, unused = self.share.record_sent("acme", owner, now)
            self.flight, self.flight_at, self.flight_owner = number, now, owner
            self.mesh.send(
                self.name, owner, lambda node: node.grant(self.name, number, spare, unused)
            )

    def take_static(self) -> None:
        if self.share.take_static(self.limit, len(self.mesh.names), self.mesh.now):
            self.mesh.admit()

    def grant(self, node: str, number: int, spare: int, unused: int) -> None:
        """Answer a request for tokens."""
        self.update_members()
        if self.find_owner() != self.name:
            self.mesh.send(self.name, node, lambda row: row.end_flight(number))
            return
        grant = self.owner.request(self.limit, node, 1, self.mesh.now, unused=unused, spare=spare)
        for _ in range(self.mesh.copies):
            self.mesh.send(self.name, node, lambda row: row.take_grant(number, grant))

    def take_grant(self, number: int, grant: Grant) -> None:
        self.share.record_grant("acme", number, *grant, self.mesh.now)
        in_time = self.flight == number
        self.end_flight(number)
        if in_time and self.share.take("acme", self.mesh.now):
            self.mesh.admit()

    def end_flight(self, number: int) -> None:
        if self.flight == number:
            self.flight = 0

    def step(self) -> None:
        now = self.mesh.now
        self.update_members()
        if self.flight and now - self.flight_at >= ANSWER_TIMEOUT_S:
            self.flight = 0
            if self.share.record_timeout("acme", self.flight_owner, now):
                self.take_static()
        self.demand += self.mesh.load_per_s * STEP_S / len(self.mesh.names)
        while self.demand >= 1.0:
            self.demand -= 1.0
            self.request()


class SimulatedMesh:
    """Nodes with one account, whose links can be cut."""

    def __init__(
        self, *, count: int, rate: float, burst: float, seed: int, remote: bool = False
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.suspect_s, self.heartbeat_s = REMOTE_S if remote else NEARBY_S
        self.limit = Account("acme", 1, rate, burst, ())
        self.names = [f"node-{number}" for number in range(count)]
        #: side of each node; those on different sides don't reach each other
        self.sides = dict.fromkeys(self.names, 0)
        self.load_per_s = 0.0
        #: mean delay of a message, in s, and how many copies of each grant arrive
        self.delay_s = 0.005
        self.copies = 1
        self.admitted_at: list[float] = []
        self._messages: list[tuple[float, str, str, Callable[[SimulatedNode], None]]] = []
        self.message_count = 0
        #: when the nodes of each pair exchange heartbeats next
        self._heartbeats_at = {
            pair: self.now + self.rng.uniform(0.0, self.heartbeat_s)
            for pair in itertools.combinations(self.names, 2)
        }
        self.nodes = {name: SimulatedNode(self, name) for name in self.names}

    def is_linked(self, one: str, other: str) -> bool:
        return self.sides[one] == self.sides[other]

    def admit(self) -> None:
        self.admitted_at.append(self.now)

    def send(self, sender: str, receiver: str, handle: Callable[[SimulatedNode], None]) -> None:
        self.message_count += 1
        at = self.now + self.rng.expovariate(1.0 / self.delay_s)
        self._messages.append((at, sender, receiver, handle))

    def run(self, duration_s: float) -> None:
        """Let time pass under the present load."""
        end = self.now + duration_s
        while self.now < end:
            self.now += STEP_S
            self._exchange_heartbeats()
            self._deliver()
            for node in self.nodes.values():
                if self.now >= node.paused_until:
                    node.step()

    def _exchange_heartbeats(self) -> None:
        for pair, due_at in self._heartbeats_at.items():
            if self.now < due_at:
                continue
            self._heartbeats_at[pair] = self.now + self.heartbeat_s
            one, other = (self.nodes[name] for name in pair)
            paused = self.now < max(one.paused_until, other.paused_until)
            if not paused and self.is_linked(one.name, other.name):
                one.heard[other.name] = other.heard[one.name] = self.now

    def _deliver(self) -> None:
        due = [row for row in self._messages if row[0] <= self.now]
        self._messages = [row for row in self._messages if row[0] > self.now]
        for row in due:
            _, sender, receiver, handle = row
            node = self.nodes[receiver]
            if self.now < node.paused_until:
                self._messages.append(row)
            elif self.is_linked(sender, receiver):
                handle(node)

    def pause(self, name: str, duration_s: float) -> None:
        self.nodes[name].paused_until = self.now + duration_s

    def restart(self, name: str) -> None:
        for node in self.nodes.values():
            node.heard.pop(name, None)
            if self.is_linked(name, node.name):
                node.heard[name] = self.now
        self.nodes[name].start()

    def set_limit(self, rate: float, burst: float) -> None:
        self.limit = self.limit._replace(rate_per_s=rate, burst=burst)
        for node in self.nodes.values():
            node.limit = self.limit
