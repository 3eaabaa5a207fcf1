"""Test how nodes confirm crashes and refuse or clear fingerprints."""

from __future__ import annotations

from balsamhead.commands import Send
from balsamhead.events import (
    CrashObserved,
    Event,
    MessageReceived,
    SuspectRequestAnswered,
    UpstreamAnnounced,
    UpstreamLost,
)
from balsamhead.membership import UpstreamState
from balsamhead.node import LinkRow, Tables
from balsamhead.proxy import CrashRegistry
from balsamhead.proxy._crash import LocalCrashTracker
from tests.test_routing.builders import HERE, make_identity, make_member

BAD, GOOD = b"bad", b"good"


class Mesh:
    """Simulate nodes linked in a line, each with an upstream, and deliver their messages."""

    def __init__(self, size: int = 4) -> None:
        self.names = [f"n{number}" for number in range(size)]
        self.registries: dict[str, CrashRegistry] = {}
        self.tables: dict[str, Tables] = {}
        self.now = 1000.0
        self.sent = 0
        for number, name in enumerate(self.names):
            tables = Tables(make_identity(name))
            for neighbour in self.names[max(0, number - 1) : number + 2]:
                if neighbour != name:
                    tables.links[neighbour] = LinkRow(
                        neighbour, "", HERE, inbound=False, received_at=0.0
                    )
            self.tables[name] = tables
            self.registries[name] = CrashRegistry.from_tables(tables)
        for name in self.names:
            self.start(name, 1)

    def deliver(self, name: str, event: Event) -> None:
        queue: list[tuple[str, Event]] = [(name, event)]
        while queue:
            target, current_event = queue.pop(0)
            for command in self.registries[target].handle(current_event, self.now):
                if isinstance(command, Send):
                    self.sent += 1
                    queue.append((command.peer, MessageReceived(target, command.message)))

    def start(self, name: str, incarnation: int) -> None:
        member = make_member(name, incarnation=incarnation)
        self.announce(name, UpstreamState.READY, incarnation)
        self.tables[name].members[name] = member
        self.registries[name].tick(self.now)

    def announce(self, name: str, state: UpstreamState, process: int) -> None:
        self.deliver(name, UpstreamAnnounced("desk", "v1", "127.0.0.1", 1, 6, 130, state, process))

    def crash(self, name: str, incarnation: int, *fingerprints: bytes) -> None:
        for fingerprint in fingerprints:
            self.deliver("n0", CrashObserved(fingerprint, name, incarnation))
        self.deliver(name, UpstreamLost("connection refused"))

    def tick(self, time_s: float) -> None:
        self.now += time_s
        for registry in self.registries.values():
            registry.tick(self.now)

    def refused(self) -> list[frozenset[bytes]]:
        return [registry.view.refused for registry in self.registries.values()]


def test_fingerprint_is_refused_everywhere_after_the_second_confirmed_crash() -> None:
    mesh = Mesh()
    mesh.crash("n2", 1, BAD)
    assert mesh.refused() == [frozenset()] * 4
    mesh.crash("n3", 1, BAD)
    assert mesh.refused() == [frozenset({BAD})] * 4


def test_report_after_the_crash_is_confirmed() -> None:
    mesh = Mesh()
    for name in ("n2", "n3"):
        mesh.deliver(name, UpstreamLost("announcements stopped"))
        mesh.deliver("n0", CrashObserved(BAD, name, 1))
    assert mesh.refused() == [frozenset({BAD})] * 4


def test_reset_without_a_crash_refuses_nothing() -> None:
    mesh = Mesh()
    for name in ("n1", "n2", "n3"):
        mesh.deliver("n0", CrashObserved(BAD, name, 1))
    mesh.tick(30.0)
    mesh.deliver("n1", UpstreamLost("announcements stopped"))
    assert mesh.refused() == [frozenset()] * 4


def test_planned_stop_is_not_a_crash() -> None:
    mesh = Mesh()
    for name in ("n2", "n3"):
        mesh.announce(name, UpstreamState.DRAINING, 1)
        mesh.crash(name, 1, BAD)
    assert mesh.refused() == [frozenset()] * 4


def test_restart_between_two_announcements_is_a_crash() -> None:
    mesh = Mesh()
    for name in ("n2", "n3"):
        mesh.deliver("n0", CrashObserved(BAD, name, 1))
        mesh.start(name, 2)
    assert mesh.refused() == [frozenset({BAD})] * 4


def test_suspect_is_cleared_by_an_answer_on_any_node() -> None:
    mesh = Mesh()
    mesh.crash("n2", 1, BAD, GOOD)
    mesh.deliver("n3", SuspectRequestAnswered(GOOD))
    assert all(r.view.suspected == frozenset({BAD}) for r in mesh.registries.values())
    mesh.crash("n3", 1, BAD, GOOD)
    assert mesh.refused() == [frozenset({BAD})] * 4


def test_refusal_expires_and_one_more_crash_renews_it_for_longer() -> None:
    mesh = Mesh()
    mesh.crash("n2", 1, BAD)
    mesh.crash("n3", 1, BAD)
    mesh.tick(29.0)
    assert mesh.refused() == [frozenset({BAD})] * 4
    mesh.tick(2.0)
    assert mesh.refused() == [frozenset()] * 4
    mesh.start("n2", 2)
    mesh.crash("n2", 2, BAD)
    assert mesh.refused() == [frozenset({BAD})] * 4
    mesh.tick(45.0)
    assert mesh.refused() == [frozenset({BAD})] * 4


def test_each_message_is_sent_at_most_once_per_link_and_direction() -> None:
    mesh = Mesh()
    mesh.crash("n3", 1, BAD)
    first = mesh.sent
    mesh.deliver("n0", CrashObserved(BAD, "n3", 1))
    assert mesh.sent == first <= 2 * 2 * 3


def test_reports_of_one_node_are_rate_limited() -> None:
    mesh = Mesh()
    for number in range(1000):
        mesh.deliver("n0", CrashObserved(b"%d" % number, "n3", 1))
    assert mesh.sent <= 20 * 3


def test_node_refuses_locally_after_two_observed_crashes() -> None:
    crashes = LocalCrashTracker()
    crashes.record(BAD, 1.0)
    assert not crashes.is_refused(BAD, 1.1)
    crashes.record(BAD, 2.0)
    assert crashes.is_refused(BAD, 2.1)
    assert not crashes.is_refused(GOOD, 2.1)
    assert not crashes.is_refused(BAD, 12.1)
    assert not crashes


def test_answer_between_two_crashes_clears_the_local_count() -> None:
    crashes = LocalCrashTracker()
    crashes.record(GOOD, 1.0)
    crashes.clear(GOOD)
    crashes.record(GOOD, 2.0)
    assert not crashes.is_refused(GOOD, 2.1)
