"""Connect the distribution systems of several nodes by simulated links and a log in memory."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from balsamhead import events
from balsamhead.commands import Append, Command, ReadLog, Reply, Send, WriteLogLine
from balsamhead.distribution import Distribution, compute_manifest_digest, split_state
from balsamhead.distribution._resource import has_valid_references
from balsamhead.document import Document
from balsamhead.events import Event
from balsamhead.fold import ConfigState
from balsamhead.membership import Member, MemberStatus, Place
from balsamhead.node import Identity, LinkRow, Tables
from balsamhead.operator_responses import OperatorResponse, PublishResponse
from balsamhead.wire import Message, decode_message, encode_message
from standin.log import MemoryLog
from tests.test_fold.builders import NOW, build_document

TICK_S = 0.1

PLACES = (Place("dc-1", "east"), Place("dc-2", "east"), Place("dc-3", "west"))


@dataclass
class FakeNode:
    """Distribution system of one node."""

    tables: Tables
    system: Distribution
    is_paused: bool = False
    #: events that arrived while the node was paused
    queued_events: list[Event] = field(default_factory=list)

    @property
    def name(self) -> str:
        return self.tables.identity.node


@dataclass
class PendingRead:
    node: FakeNode
    command: ReadLog
    until: float


@dataclass
class Mesh:
    """Execute the commands of several nodes with a simulated clock."""

    rng: random.Random
    log: MemoryLog = field(default_factory=MemoryLog)
    now: float = NOW
    nodes: dict[str, FakeNode] = field(default_factory=dict)
    messages_in_flight: list[tuple[str, str, bytes]] = field(default_factory=list)
    reads: list[PendingRead] = field(default_factory=list)
    answers: dict[str, OperatorResponse] = field(default_factory=dict)
    notes: list[WriteLogLine] = field(default_factory=list)
    #: pairs of nodes that can't reach each other
    partitioned_pairs: set[frozenset[str]] = field(default_factory=set)
    is_log_down: bool = False
    lost_answers: int = 0
    #: probabilities that a message is lost, duplicated or delayed by a tick
    loss: float = 0.0
    repeat: float = 0.0
    delay: float = 0.0
    sent_bytes: int = 0
    border_bytes: int = 0
    appends: int = 0
    appended: list[tuple[str, bytes]] = field(default_factory=list)
    #: manifest digest of each version that was ever in force
    digests: dict[int, bytes] = field(default_factory=dict)
    log_region: str = ""
    environment: str = "trial"
    promotes_from: str = ""
    starts: int = 0
    requests: int = 0

    @classmethod
    def build(cls, count: int, *, seed: int = 1, log_region: str = "") -> Mesh:
        mesh = cls(random.Random(seed), log_region=log_region)
        for index in range(count):
            mesh.start(f"n{index}", PLACES[index % len(PLACES)])
        mesh.link_all()
        return mesh

    def start(self, name: str, place: Place) -> FakeNode:
        self.starts += 1
        identity = Identity(name, self.starts, place, f"127.0.0.1:{name[1:]}", self.environment)
        tables = Tables(identity)
        system = Distribution.from_config(
            tables,
            rng=random.Random(self.rng.random()),
            log_region=self.log_region,
            promotes_from=self.promotes_from,
        )
        node = FakeNode(tables, system)
        self.nodes[name] = node
        self._update_members()
        return node

    def kill(self, name: str) -> None:
        node = self.nodes.pop(name)
        self.reads = [read for read in self.reads if read.node is not node]
        self.messages_in_flight = [row for row in self.messages_in_flight if name not in row[:2]]
        for other in list(self.nodes.values()):
            self._unlink(other, name)
        self._update_members()

    def link_all(self) -> None:
        """Open the links between all pairs of nodes that can reach each other; close the others."""
        for node in list(self.nodes.values()):
            for peer in list(self.nodes.values()):
                if peer is node or frozenset((node.name, peer.name)) in self.partitioned_pairs:
                    self._unlink(node, peer.name)
                elif peer.name not in node.tables.links:
                    identity = peer.tables.identity
                    node.tables.links[peer.name] = LinkRow(
                        peer.name, identity.peer_address, identity.place, False, self.now
                    )
                    opened = events.LinkOpened(
                        peer.name, identity.peer_address, identity.place, False
                    )
                    self.post(node, opened)

    def _unlink(self, node: FakeNode, peer: str) -> None:
        if node.tables.links.pop(peer, None) is not None:
            self.post(node, events.LinkClosed(peer, "test"))

    def _update_members(self) -> None:
        members = {
            node.name: Member(
                node.name,
                node.tables.identity.incarnation,
                1,
                MemberStatus.ALIVE,
                node.tables.identity.place,
                node.tables.identity.peer_address,
                None,
            )
            for node in self.nodes.values()
        }
        for node in self.nodes.values():
            node.tables.members = dict(members)
            node.tables.members_revision += 1

    def post(self, node: FakeNode, event: Event) -> None:
        if node.is_paused:
            node.queued_events.append(event)
            return
        self._execute(node, node.system.handle(event, self.now))

    def pause(self, name: str) -> None:
        self.nodes[name].is_paused = True

    def resume(self, name: str) -> None:
        node = self.nodes[name]
        node.is_paused = False
        queued_events, node.queued_events = node.queued_events, []
        for event in queued_events:
            self.post(node, event)

    def publish(self, name: str, document: Document, *, base: int | None = None) -> str:
        self.requests += 1
        request_id = f"q{self.requests}"
        event = events.PublishRequested(request_id, document, base, "op")
        self.post(self.nodes[name], event)
        return request_id

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.step()

    def step(self) -> None:
        self.now += TICK_S
        for node in list(self.nodes.values()):
            if not node.is_paused:
                self._execute(node, node.system.tick(self.now))
        self._deliver()
        self._answer_reads()
        self.check()

    def check(self) -> None:
        """Check that versions in force have valid references and one digest on all nodes."""
        for node in self.nodes.values():
            config = node.tables.config
            if config.offset < 0:
                continue
            assert has_valid_references(config)
            digest = node.tables.config_digest
            if self.digests.setdefault(config.offset, digest) != digest:
                raise AssertionError(f"two versions at {config.offset}")

    def check_digests(self) -> None:
        for node in self.nodes.values():
            if node.tables.config.offset >= 0:
                resources = split_state(node.tables.config)
                assert compute_manifest_digest(resources) == node.tables.config_digest

    def get_config(self, name: str) -> ConfigState:
        return self.nodes[name].tables.config

    def list_offsets(self) -> set[int]:
        return {node.tables.config.offset for node in self.nodes.values()}

    def get_answer(self, request_id: str) -> PublishResponse:
        answer = self.answers[request_id]
        assert isinstance(answer, PublishResponse)
        return answer

    def publish_first(self) -> None:
        """Publish a first document and run until it is in force on all nodes."""
        request_id = self.publish("n0", build_document(desk="v1", registry="v1"))
        self.run(8.0)
        assert self.get_answer(request_id).outcome == "accepted"
        assert self.list_offsets() == {0}

    def _execute(self, node: FakeNode, commands: list[Command]) -> None:
        for command in commands:
            match command:
                case Send(peer=peer, message=message):
                    self._send(node, peer, message)
                case ReadLog():
                    self.reads.append(PendingRead(node, command, self.now + command.wait_s))
                case Append():
                    self._append(node, command)
                case Reply(request_id=request_id, response=response):
                    assert request_id not in self.answers
                    self.answers[request_id] = response
                case WriteLogLine():
                    self.notes.append(command)
                case _:
                    raise AssertionError(command)

    def _send(self, node: FakeNode, peer: str, message: Message) -> None:
        if peer not in node.tables.links:
            return
        data = encode_message(message)
        self.sent_bytes += len(data)
        if node.tables.links[peer].place.region != node.tables.identity.place.region:
            self.border_bytes += len(data)
        self.messages_in_flight.append((node.name, peer, data))

    def _append(self, node: FakeNode, command: Append) -> None:
        if self.is_log_down:
            self.post(node, events.AppendFailed(command.record_id, False, "log-unavailable"))
            return
        offset = self.log.append(command.stream, command.data)
        self.appends += 1
        self.appended.append((command.stream, command.data))
        if self.lost_answers > 0:
            self.lost_answers -= 1
            self.post(node, events.AppendFailed(command.record_id, True, "log-outcome-unknown"))
            return
        self.post(node, events.AppendFinished(command.record_id, offset))

    def _deliver(self) -> None:
        messages_in_flight, self.messages_in_flight = self.messages_in_flight, []
        if self.loss or self.repeat or self.delay:
            self.rng.shuffle(messages_in_flight)
        for source, target, data in messages_in_flight:
            if self.rng.random() < self.delay:
                self.messages_in_flight.append((source, target, data))
                continue
            node = self.nodes.get(target)
            is_partitioned = frozenset((source, target)) in self.partitioned_pairs
            if node is None or is_partitioned or self.rng.random() < self.loss:
                continue
            count = 2 if self.rng.random() < self.repeat else 1
            for _ in range(count):
                message = decode_message(data, peer=source)
                self.post(node, events.MessageReceived(source, message))

    def _answer_reads(self) -> None:
        reads, self.reads = self.reads, []
        for read in reads:
            command = read.command
            if self.is_log_down:
                self.post(read.node, events.LogReadFailed(command.stream, "log-unavailable"))
                continue
            batch = self.log.read(command.stream, start=command.start, limit=64, wait_s=0.0)
            if not batch.entries and command.start == batch.end and self.now < read.until:
                self.reads.append(read)
                continue
            self.post(read.node, events.LogRead(command.stream, command.start, batch))
