from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from balsamhead.errors import MalformedMessageError
from balsamhead.mesh._crash_detector import RunningRequest
from balsamhead.mesh._crash_registry import Crash, CrashRegistry, SuspectRow, check_rows
from tests.test_mesh.builders import make_call

KEY = b"k" * 16


def make_row(
    node: str, started_at_ms: int = 1, *, repeated: bool = True, alone: bool = False
) -> SuspectRow:
    return SuspectRow(KEY, Crash(node, started_at_ms, repeated, alone))


def is_refused(registry: CrashRegistry) -> bool:
    return registry.get_refusal_time(KEY, 0.0) > 0.0


def test_third_crash_refuses_a_request_that_was_sent_again() -> None:
    registry = CrashRegistry("n1")
    registry.add([make_row("n2", repeated=False), make_row("n3")], 0.0)
    assert not is_refused(registry)
    registry.add([make_row("n4", repeated=False)], 0.0)
    assert is_refused(registry)


def test_second_crash_refuses_a_request_that_was_running_alone() -> None:
    registry = CrashRegistry("n1")
    registry.add([make_row("n2", repeated=False, alone=True), make_row("n3")], 0.0)
    assert is_refused(registry)


def test_crashes_at_the_same_time_refuse_nothing() -> None:
    registry = CrashRegistry("n1")
    registry.add([make_row(f"n{n}", repeated=False, alone=True) for n in range(2, 30)], 0.0)
    assert not is_refused(registry)


# A mistaken node must not be able to refuse requests everywhere by itself.
def test_reports_about_one_other_node_refuse_nothing() -> None:
    registry = CrashRegistry("n1")
    registry.add([make_row("n2", number, alone=True) for number in range(100)], 0.0)
    assert not is_refused(registry)
    registry.add([make_row("n3")], 0.0)
    assert is_refused(registry)


def test_crashes_of_the_own_upstream_alone_refuse_a_request_here() -> None:
    registry = CrashRegistry("n1")
    registry.add([make_row("n1", number) for number in range(3)], 0.0)
    assert is_refused(registry)


# A peer that missed the clearance reports the old crashes again when it is linked.
def test_crash_that_was_cleared_does_not_count_again() -> None:
    registry = CrashRegistry("n1")
    rows = [make_row("n2"), make_row("n3"), make_row("n4")]
    registry.add(rows[:2], 0.0)
    registry.clear(rows)
    registry.add(rows, 0.0)
    assert len(registry) == 0


# Equal requests that were running in one crash hid that one of them had been sent again.
def test_equal_requests_in_one_crash_are_one_suspect() -> None:
    registry = CrashRegistry("n1")
    reported: list[SuspectRow] = []
    registry.on_crash = reported.extend
    call = make_call(b"r1")
    requests = [RunningRequest(call, b"x", repeated=repeated) for repeated in (False, True, False)]
    registry.record_crash(requests, 5, 0.0)
    assert [row.crash for row in reported] == [Crash("n1", 5, repeated=True, alone=True)]


@pytest.mark.parametrize(
    "row",
    [
        SuspectRow(b"short", Crash("n2", 1, True, True)),
        SuspectRow(KEY, Crash("n2", -1, True, True)),
        SuspectRow(KEY, Crash("n2", 10**40, True, True)),
    ],
)
def test_invalid_row_is_rejected(row: SuspectRow) -> None:
    with pytest.raises(MalformedMessageError):
        check_rows([row], peer="n2")


class Registries(RuleBasedStateMachine):
    """Deliver the reports of three nodes in any order, repeated or late, to two others."""

    def __init__(self) -> None:
        super().__init__()
        self.registries = [CrashRegistry("n1"), CrashRegistry("n2")]
        self.rows: list[SuspectRow] = []
        self.cleared: set[SuspectRow] = set()

    @rule(node=st.sampled_from(["n3", "n4", "n5"]), start=st.integers(0, 2), repeated=st.booleans())
    def report(self, node: str, start: int, repeated: bool) -> None:
        self.rows.append(make_row(node, start, repeated=repeated))

    @rule(data=st.data())
    def deliver(self, data: st.DataObject) -> None:
        if self.rows:
            row = data.draw(st.sampled_from(self.rows))
            data.draw(st.sampled_from(self.registries)).add([row], 0.0)

    @rule()
    def link(self) -> None:
        first, second = self.registries
        first.add(second.list_rows(), 0.0)
        second.add(first.list_rows(), 0.0)

    @rule(data=st.data())
    def clear(self, data: st.DataObject) -> None:
        rows = data.draw(st.sampled_from(self.registries)).list_rows()
        self.cleared.update(rows)
        for registry in self.registries:
            registry.clear(rows)

    @invariant()
    def cleared_crashes_stay_cleared(self) -> None:
        keys = {(row.crash.node, row.crash.started_at_ms) for row in self.cleared}
        for registry in self.registries:
            known = {(row.crash.node, row.crash.started_at_ms) for row in registry.list_rows()}
            assert not known & keys

    @invariant()
    def refusal_needs_crashes_at_two_nodes(self) -> None:
        for registry in self.registries:
            if is_refused(registry):
                assert len({row.crash.node for row in registry.list_rows()}) >= 2


TestRegistries = Registries.TestCase
TestRegistries.settings = settings(max_examples=60, stateful_step_count=25, deadline=None)
