from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from balsamhead.errors import MalformedMessageError
from balsamhead.mesh._crash_detector import RunningRequest
from balsamhead.mesh._crash_registry import CrashRegistry, check_rows
from balsamhead.mesh.model import Crash, SuspectRow
from tests.test_mesh.builders import make_call

KEY = b"k" * 16


def make_row(
    node: str,
    started_at_ms: int = 1,
    *,
    repeated: bool = True,
    alone: bool = False,
    caller: str = "desk",
    on_trial: bool | None = None,
) -> SuspectRow:
    """Return a report of a crash; a request that was sent again was on trial, if not told else."""
    on_trial = repeated if on_trial is None else on_trial
    return SuspectRow(KEY, Crash(node, started_at_ms, repeated, alone, caller, on_trial))


def is_refused(registry: CrashRegistry, caller: str = "desk") -> bool:
    return registry.get_refusal_time(KEY, caller, 0.0) > 0.0


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


# BUDGET: crashes at the same moment were no evidence, so copies of the request ran on.
def test_crashes_at_the_same_time_put_a_request_on_trial() -> None:
    registry = CrashRegistry("n1")
    registry.add([make_row("n2", repeated=False)], 0.0)
    assert not registry.is_on_trial(KEY, "desk")
    registry.add([make_row("n3", repeated=False)], 0.0)
    assert registry.is_on_trial(KEY, "desk")
    assert registry.is_on_trial(KEY, "registry")
    assert not registry.is_on_trial(b"o" * 16, "desk")


def test_request_is_on_trial_again_when_its_refusal_ends() -> None:
    registry = CrashRegistry("n1")
    registry.add([make_row("n2"), make_row("n3"), make_row("n4")], 0.0)
    registry.expire(61.0)
    assert not is_refused(registry)
    assert registry.is_on_trial(KEY, "desk")


# BUDGET: requests that are equal but for the service of their node were counted one by one.
def test_crashes_under_requests_of_several_services_count_together() -> None:
    registry = CrashRegistry("n1")
    registry.add([make_row(f"n{n}", caller=f"service-{n}") for n in (2, 3, 4)], 0.0)
    assert is_refused(registry, "service-5")


def test_one_crash_under_requests_of_several_services_counts_once() -> None:
    registry = CrashRegistry("n1")
    registry.add([make_row("n2", caller=f"service-{n}") for n in range(5)], 0.0)
    assert not registry.is_on_trial(KEY, "service-1")
    assert not is_refused(registry)


def test_completed_request_is_cleared_for_its_service_alone() -> None:
    registry = CrashRegistry("n1")
    cleared: list[SuspectRow] = []
    registry.on_clear = cleared.extend
    registry.add([make_row("n2"), make_row("n3"), make_row("n4")], 0.0)
    registry.record_completion(KEY, "registry")
    assert is_refused(registry)
    assert not is_refused(registry, "registry")
    assert not registry.is_on_trial(KEY, "registry")
    peer = CrashRegistry("n5")
    peer.add(registry.list_rows(), 0.0)
    peer.clear(cleared)
    assert (is_refused(peer), is_refused(peer, "registry")) == (True, False)
    restarted = CrashRegistry("n6")
    restarted.add(peer.list_rows(), 0.0)
    restarted.clear(peer.list_cleared_rows())
    assert (is_refused(restarted), is_refused(restarted, "registry")) == (True, False)


def test_crash_ends_the_clearance_of_its_service() -> None:
    registry = CrashRegistry("n1")
    registry.add([make_row("n2"), make_row("n3"), make_row("n4")], 0.0)
    registry.record_completion(KEY, "registry")
    registry.add([make_row("n5", caller="registry")], 0.0)
    assert is_refused(registry, "registry")


def test_clearance_is_reported_once() -> None:
    registry = CrashRegistry("n1")
    reports: list[list[SuspectRow]] = []
    registry.on_clear = reports.append
    registry.add([make_row("n2"), make_row("n3")], 0.0)
    for _ in range(3):
        registry.record_completion(KEY, "registry")
    assert len(reports) == 1
    registry.record_completion(KEY, "desk")
    registry.record_completion(KEY, "desk")
    assert (len(reports), len(registry)) == (2, 0)


# Credit lost: a popular request that was sent again, and was running in crashes under another one.
def test_crashes_under_a_request_that_was_neither_alone_nor_on_trial_refuse_nothing() -> None:
    registry = CrashRegistry("n1")
    registry.add([make_row(f"n{n}", on_trial=False) for n in range(2, 30)], 0.0)
    assert not is_refused(registry)
    registry.add([make_row("n30", on_trial=True)], 0.0)
    assert is_refused(registry)


# Equal requests that were running in one crash hid that one of them had been sent again.
def test_equal_requests_in_one_crash_are_one_suspect() -> None:
    registry = CrashRegistry("n1")
    reported: list[SuspectRow] = []
    registry.on_crash = reported.extend
    call = make_call(b"r1")
    requests = [
        RunningRequest(call, b"x", deadline=1.0, repeated=repeated, on_trial=False)
        for repeated in (False, True, False)
    ]
    registry.record_crash(requests, 5, 0.0)
    assert [row.crash for row in reported] == [Crash("n1", 5, True, True, "desk")]


@pytest.mark.parametrize(
    "row",
    [
        SuspectRow(b"short", Crash("n2", 1, True, True)),
        SuspectRow(KEY, Crash("n2", -1, True, True)),
        SuspectRow(KEY, Crash("n2", 10**40, True, True)),
        SuspectRow(KEY, Crash("n2", 1, True, True, "s" * 257)),
    ],
)
def test_invalid_row_is_rejected(row: SuspectRow) -> None:
    with pytest.raises(MalformedMessageError):
        check_rows([row], peer="n2")


CALLERS = ("desk", "registry")


def get_report_key(row: SuspectRow) -> tuple[str, int, str]:
    return row.crash.node, row.crash.started_at_ms, row.crash.caller_service


class Registries(RuleBasedStateMachine):
    """Deliver the reports of three nodes in any order, repeated or late, to two others."""

    def __init__(self) -> None:
        super().__init__()
        self.registries = [CrashRegistry("n1"), CrashRegistry("n2")]
        self.rows: list[SuspectRow] = []
        #: node, start and caller of the crashes that were cleared
        self.cleared: set[tuple[str, int, str]] = set()

    @rule(
        node=st.sampled_from(["n3", "n4", "n5"]),
        start=st.integers(0, 2),
        repeated=st.booleans(),
        caller=st.sampled_from(CALLERS),
    )
    def report(self, node: str, start: int, repeated: bool, caller: str) -> None:
        self.rows.append(make_row(node, start, repeated=repeated, caller=caller))

    @rule(data=st.data())
    def deliver(self, data: st.DataObject) -> None:
        if self.rows:
            row = data.draw(st.sampled_from(self.rows))
            data.draw(st.sampled_from(self.registries)).add([row], 0.0)

    @rule()
    def link(self) -> None:
        first, second = self.registries
        for receiver, sender in ((first, second), (second, first)):
            receiver.add(sender.list_rows(), 0.0)
            receiver.clear(sender.list_cleared_rows())

    @rule(data=st.data(), caller=st.sampled_from(CALLERS))
    def complete(self, data: st.DataObject, caller: str) -> None:
        registry = data.draw(st.sampled_from(self.registries))
        registry.on_clear = self.clear
        registry.record_completion(KEY, caller)

    def clear(self, rows: list[SuspectRow]) -> None:
        self.cleared.update(get_report_key(row) for row in rows)
        for registry in self.registries:
            registry.clear(rows)

    @invariant()
    def cleared_crashes_stay_cleared(self) -> None:
        for registry in self.registries:
            known = {get_report_key(row) for row in registry.list_rows()}
            assert not known & self.cleared

    @invariant()
    def refused_requests_are_on_trial_until_cleared(self) -> None:
        for registry in self.registries:
            for caller in CALLERS:
                assert registry.is_on_trial(KEY, caller) or not is_refused(registry, caller)

    @invariant()
    def refusal_needs_crashes_at_two_nodes(self) -> None:
        for registry in self.registries:
            if is_refused(registry):
                assert len({row.crash.node for row in registry.list_rows()}) >= 2


TestRegistries = Registries.TestCase
TestRegistries.settings = settings(max_examples=60, stateful_step_count=25, deadline=None)
