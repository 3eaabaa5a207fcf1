from __future__ import annotations

import pytest

from balsamhead.fold import RolloutPhase
from balsamhead.rollout import (
    Evidence,
    Finish,
    Fleet,
    Hold,
    Late,
    RollBack,
    Step,
    Verdict,
    Watch,
    decide,
)
from balsamhead.wire import CallCount
from tests.test_rollout.builders import (
    START,
    make_count,
    make_evidence,
    make_policy,
    make_rollout,
)

FLEET = Fleet(ready_new=4, ready_old=4, capacity_share=1.0)


def report(evidence: Evidence, counts: list[CallCount], *, share: float, now: float) -> None:
    """Add a report of one data centre; a share of 1 means the watch period."""
    evidence.add(
        counts,
        data_centre="east-tbilisi",
        source="east-tbilisi/a",
        callers=3,
        share=share,
        watching=share >= 1.0,
        now=now,
    )


def observe(
    evidence: Evidence,
    seconds: int,
    *,
    share: float = 0.05,
    rate: int = 200,
    errors: int = 0,
    start: float = START,
) -> float:
    """Add one report per second, with the failures on the VMs in turn."""
    now = start
    for index in range(seconds):
        now = start + 1.0 + index
        new = round(rate * share)
        vm = f"vm-{index % 4}"
        counts = [
            make_count("v1", rate - new),
            make_count("v2", new, min(errors, new), upstream=vm, caller=f"node-{index % 3}"),
        ]
        report(evidence, counts, share=share, now=now)
    return now


def evaluate(evidence: Evidence, now: float, fleet: Fleet = FLEET, **changes: object) -> Verdict:
    rollout = make_rollout(**{"share": 0.05, **changes})
    return decide(rollout, make_policy(), evidence, fleet, stepped_at=START, now=now)


def test_first_step_needs_ready_upstreams_and_measured_rates() -> None:
    evidence = make_evidence()
    waiting = evaluate(evidence, START + 1, FLEET._replace(ready_new=0), share=0.0)
    assert isinstance(waiting, Hold)
    assert "ready upstreams of version v2" in waiting.reason
    assert isinstance(evaluate(evidence, START + 1, share=0.0), Hold)
    assert evaluate(evidence, START + 6, share=0.0) == Step(0.04)


def test_share_holds_until_the_route_has_enough_calls() -> None:
    evidence = make_evidence()
    now = observe(evidence, 40)
    verdict = evaluate(evidence, now)
    assert isinstance(verdict, Hold)
    assert "more calls on route offers" in verdict.reason


def test_share_rises_after_enough_good_calls_and_the_planned_time() -> None:
    evidence = make_evidence()
    now = observe(evidence, 400)
    verdict = evaluate(evidence, now)
    assert isinstance(verdict, Step)
    assert verdict.share == pytest.approx(0.2)


def test_share_does_not_exceed_the_capacity_of_the_new_version() -> None:
    evidence = make_evidence()
    now = observe(evidence, 400)
    verdict = evaluate(evidence, now, FLEET._replace(capacity_share=0.1))
    assert isinstance(verdict, Hold)
    assert "room for 20%" in verdict.reason


def test_failing_version_is_rolled_back_with_the_figures() -> None:
    evidence = make_evidence()
    now = observe(evidence, 8, errors=1)
    verdict = evaluate(evidence, now)
    assert isinstance(verdict, RollBack)
    assert "errors on route offers" in verdict.reason
    assert verdict.figures is not None
    assert verdict.figures.new_failures == 8


def test_failing_version_is_rolled_back_while_paused() -> None:
    evidence = make_evidence()
    now = observe(evidence, 8, errors=1)
    assert isinstance(evaluate(evidence, now, paused=True), RollBack)


def test_paused_rollout_holds() -> None:
    evidence = make_evidence()
    now = observe(evidence, 400)
    assert evaluate(evidence, now, paused=True) == Hold("paused by an operator")


def test_failing_version_holds_if_the_old_one_has_no_upstream() -> None:
    evidence = make_evidence()
    now = observe(evidence, 8, errors=1)
    verdict = evaluate(evidence, now, FLEET._replace(ready_old=0))
    assert isinstance(verdict, Hold)
    assert "old version v1 has no upstream left" in verdict.reason


@pytest.mark.parametrize(("vms", "callers"), [(1, 3), (4, 1)])
def test_failures_on_one_vm_or_seen_by_one_node_cause_no_rollback(vms: int, callers: int) -> None:
    evidence = make_evidence()
    now = START
    for index in range(30):
        now = START + index
        upstream, caller = f"vm-{index % vms}", f"node-{index % callers}"
        counts = [make_count("v1", 190), make_count("v2", 10, 2, upstream=upstream, caller=caller)]
        report(evidence, counts, share=0.05, now=now)
    verdict = evaluate(evidence, now)
    assert isinstance(verdict, Hold)
    assert "more calls on route offers" in verdict.reason


def test_failures_common_to_both_versions_cause_no_rollback() -> None:
    evidence = make_evidence()
    now = START
    for index in range(60):
        now = START + index
        counts = [
            make_count("v1", 190, 95, slow=95),
            make_count("v2", 10, 5, slow=5, upstream=f"vm-{index % 4}"),
        ]
        report(evidence, counts, share=0.05, now=now)
    assert isinstance(evaluate(evidence, now), Hold)


def test_crash_loop_on_start_is_rolled_back() -> None:
    verdict = evaluate(
        make_evidence(), START + 20, FLEET._replace(ready_new=0, restarts=(2, 2, 1, 0))
    )
    assert isinstance(verdict, RollBack)
    assert "crashes on start" in verdict.reason


def test_crash_loop_of_one_vm_of_four_causes_no_rollback() -> None:
    verdict = evaluate(make_evidence(), START + 20, FLEET._replace(restarts=(9, 0, 0, 0)))
    assert isinstance(verdict, Hold)
    assert "more evidence" not in verdict.reason


def test_too_few_calls_for_the_due_time_are_reported_as_late() -> None:
    evidence = make_evidence()
    now = observe(evidence, 40, rate=20)
    verdict = evaluate(evidence, now, due_at=START + 200.0)
    assert isinstance(verdict, Late)
    assert "more calls on route offers" in verdict.waits_for


def test_watch_period_ends_the_rollout() -> None:
    evidence = make_evidence()
    now = observe(evidence, 40, share=1.0)
    watching = {"share": 1.0, "phase": RolloutPhase.WATCHING}
    assert evaluate(evidence, now, FLEET, **watching) == Watch(START + 300.0)
    assert evaluate(evidence, START + 300.0, FLEET, **watching) == Finish()


def test_version_that_fails_in_the_watch_period_is_rolled_back() -> None:
    evidence = make_evidence()
    now = observe(evidence, 20, share=1.0)
    now = observe(evidence, 20, share=1.0, errors=10, start=now)
    verdict = evaluate(evidence, now, FLEET, share=1.0, phase=RolloutPhase.WATCHING)
    assert isinstance(verdict, RollBack)


def test_share_stays_for_the_shortest_time_even_with_many_calls() -> None:
    evidence = make_evidence()
    now = observe(evidence, 60, rate=20_000)
    verdict = decide(
        make_rollout(share=0.05, due_at=START + 200.0),
        make_policy(),
        evidence,
        FLEET,
        stepped_at=now - 5.0,
        now=now,
    )
    assert verdict == Hold("the shortest time at one share")


def test_burst_common_to_both_right_after_a_step_causes_no_rollback() -> None:
    evidence = make_evidence()
    now = observe(evidence, 60, rate=2000, share=0.05)
    evidence.begin_stage()
    for index in range(5):
        now += 1.0
        counts = [make_count("v1", 1600, 80)]
        counts += [make_count("v2", 100, 5, upstream=f"vm-{vm}") for vm in range(4)]
        report(evidence, counts, share=0.2, now=now + index)
    assert not isinstance(evaluate(evidence, now, share=0.2), RollBack)


def test_watch_period_with_few_calls_is_extended_up_to_a_limit() -> None:
    evidence = make_evidence()
    observe(evidence, 100, share=1.0, rate=2)
    watching = {"share": 1.0, "phase": RolloutPhase.WATCHING}
    assert evaluate(evidence, START + 300.0, FLEET, **watching) == Watch(START + 1200.0)
    assert evaluate(evidence, START + 1200.0, FLEET, **watching) == Finish()


def test_occasional_slow_call_of_a_dependency_does_not_hide_failures() -> None:
    evidence = make_evidence()
    now = START
    for index in range(120):
        now = START + 10.0 * index
        dependency = make_count("v1", 30, 0, slow=index % 5 == 0)._replace(service="back-end")
        report(
            evidence,
            [dependency, make_count("v2", 30, 2, upstream=f"vm-{index % 4}")],
            share=1.0,
            now=now,
        )
    assert isinstance(evaluate_watch(evidence, now), RollBack)


def watch(evidence: Evidence, start: float, seconds: int, *, errors: int, shed: int = 0) -> float:
    """Add one report of the watch period per second, with its calls on the VMs in turn."""
    for index in range(seconds):
        counts = [make_count("v2", 100, errors, upstream=f"vm-{index % 4}", shed=shed)]
        report(evidence, counts, share=1.0, now=start + index)
    return start + seconds


def evaluate_watch(evidence: Evidence, now: float) -> Verdict:
    return evaluate(evidence, now, share=1.0, phase=RolloutPhase.WATCHING)


def test_disturbance_of_five_seconds_in_the_watch_period_causes_no_rollback() -> None:
    evidence = make_evidence()
    now = watch(evidence, START, 5, errors=10)
    assert isinstance(evaluate_watch(evidence, now), Watch)
    now = watch(evidence, now, 60, errors=0)
    assert isinstance(evaluate_watch(evidence, now), Watch)


def test_sustained_failures_in_the_watch_period_cause_a_rollback() -> None:
    evidence = make_evidence()
    assert isinstance(evaluate_watch(evidence, watch(evidence, START, 9, errors=10)), RollBack)


def test_severe_failures_in_the_watch_period_cause_a_rollback_within_three_seconds() -> None:
    evidence = make_evidence()
    assert isinstance(evaluate_watch(evidence, watch(evidence, START, 3, errors=60)), RollBack)


def test_failures_during_load_shedding_in_the_watch_period_cause_no_rollback() -> None:
    evidence = make_evidence()
    now = watch(evidence, START, 30, errors=10, shed=20)
    assert isinstance(evaluate_watch(evidence, now), Watch)


def test_failing_dependency_in_the_watch_period_causes_no_rollback() -> None:
    evidence = make_evidence()
    now = START
    for index in range(30):
        now = START + index
        dependency = make_count("v1", 100, 30)._replace(service="back-end")
        report(
            evidence,
            [dependency, make_count("v2", 100, 30, upstream=f"vm-{index % 4}")],
            share=1.0,
            now=now,
        )
    assert isinstance(evaluate_watch(evidence, now), Watch)
