"""Decide the next action of a rollout from its accepted state and the evidence."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.fold import RolloutPhase
from balsamhead.rollout._evidence import Finding, Suspicion
from balsamhead.rollout._plan import count_needed_calls, plan_rollout, plan_shares
from balsamhead.rollout._policy import MIN_STAGE_DURATION_S

if TYPE_CHECKING:
    from balsamhead.document import RolloutPolicy
    from balsamhead.fold import Rollout
    from balsamhead.rollout._evidence import Evidence
    from balsamhead.rollout._plan import Plan

__all__ = (
    "Finish",
    "Fleet",
    "Hold",
    "Late",
    "RollBack",
    "Step",
    "Verdict",
    "Watch",
    "decide",
    "plan_remaining",
)

#: restarts of the new version's upstreams, in total, that indicate a crash loop
_CRASH_LOOP_RESTARTS: Final = 4
#: VMs on which the new version must have restarted, if it runs on more than one
_CRASH_LOOP_VMS: Final = 2
#: calls that each route needs for the watch period to end after the policy's ``watch_s``
_MIN_WATCH_CALLS: Final = 800
#: longest watch period, as a multiple of the policy's ``watch_s``
_MAX_WATCH_FACTOR: Final = 4.0
#: shortest and longest time for which call rates are measured before a plan relies on them, in s
_MIN_RATE_WINDOW_S: Final = 5.0
_MAX_RATE_WINDOW_S: Final = 45.0
#: number of calls from which a plan relies on the rates before the longest time has passed
_MIN_RATE_CALLS: Final = 200


class Fleet(NamedTuple):
    """Upstreams of both versions, counted from the membership."""

    ready_new: int
    ready_old: int
    #: largest share of calls for which the new version has enough slots, 0 to 1
    capacity_share: float
    #: restarts of the new version's upstreams since the rollout began, one number per VM
    restarts: tuple[int, ...] = ()


class Hold(NamedTuple):
    """Verdict: keep the share in force."""

    reason: str
    #: time of the next planned step, in s since the epoch; 0 if unknown
    until: float = 0.0


class Step(NamedTuple):
    """Verdict: raise the new version's share of calls."""

    share: float


class RollBack(NamedTuple):
    """Verdict: roll back, which withdraws the new version."""

    reason: str
    figures: Finding | None


class Watch(NamedTuple):
    """Verdict: keep the old version running until a time, in s since the epoch."""

    until: float


class Finish(NamedTuple):
    """Verdict: complete the rollout."""


class Late(NamedTuple):
    """Verdict: report that the rollout misses its due time, and what it waits for."""

    waits_for: str


Verdict = Hold | Step | RollBack | Watch | Finish | Late


def plan_remaining(
    rollout: Rollout, policy: RolloutPolicy, evidence: Evidence, *, stepped_at: float, now: float
) -> Plan:
    """Plan the remaining steps of a rollout from the measured call rates."""
    rates = evidence.measure_rates(now)
    return plan_rollout(
        policy,
        rates,
        share=rollout.share,
        now=now,
        due_at=rollout.due_at,
        begun_at=rollout.started_at,
        stepped_at=stepped_at,
        stage_calls={route: evidence.stage_calls(route) for route in rates},
    )


def decide(
    rollout: Rollout,
    policy: RolloutPolicy,
    evidence: Evidence,
    fleet: Fleet,
    *,
    stepped_at: float,
    now: float,
) -> Verdict:
    """Decide the next action of a rollout.

    :param stepped_at: when the share in force was set, or when this node first saw it, in s since
        the epoch.
    """
    if rollout.phase not in (RolloutPhase.SHIFTING, RolloutPhase.WATCHING):
        return Hold("the rollout has ended")
    finding = evidence.evaluate(vms=fleet.ready_new)
    rollback = _decide_rollback(finding, fleet)
    if rollback is not None and rollout.old and not fleet.ready_old:
        return Hold(f"old version {rollout.old} has no upstream left; {rollback.reason}")
    if rollback is not None:
        return rollback
    if rollout.paused:
        return Hold("paused by an operator")
    if rollout.phase is RolloutPhase.WATCHING:
        return _decide_watch(policy, evidence, stepped_at, now)
    return _decide_step(rollout, policy, evidence, fleet, finding, stepped_at, now)


def _decide_watch(
    policy: RolloutPolicy, evidence: Evidence, stepped_at: float, now: float
) -> Verdict:
    until = stepped_at + policy.watch_s
    if now < until:
        return Watch(until)
    rates = evidence.measure_rates(now)
    has_enough_calls = all(evidence.stage_calls(route) >= _MIN_WATCH_CALLS for route in rates)
    latest_end = stepped_at + _MAX_WATCH_FACTOR * policy.watch_s
    return Finish() if has_enough_calls or now >= latest_end else Watch(latest_end)


def _decide_rollback(finding: Finding | Suspicion | None, fleet: Fleet) -> RollBack | None:
    if isinstance(finding, Finding):
        return RollBack(finding.describe(), finding)
    vm_restarts = [count for count in fleet.restarts if count]
    if sum(vm_restarts) < _CRASH_LOOP_RESTARTS:
        return None
    if len(fleet.restarts) > 1 and len(vm_restarts) < _CRASH_LOOP_VMS:
        return None
    if 2 * len(vm_restarts) < len(fleet.restarts):
        return None
    reason = f"crashes on start: {sum(vm_restarts)} restarts on {len(vm_restarts)} VMs"
    return RollBack(reason, None)


def _decide_step(
    rollout: Rollout,
    policy: RolloutPolicy,
    evidence: Evidence,
    fleet: Fleet,
    finding: Finding | Suspicion | None,
    stepped_at: float,
    now: float,
) -> Verdict:
    plan = plan_remaining(rollout, policy, evidence, stepped_at=stepped_at, now=now)
    next_share = plan_shares(policy, rollout.share, rates=evidence.measure_rates(now))[0]
    waits_for = _find_blocker(
        rollout, policy, evidence, fleet, finding, next_share, stepped_at, now
    )
    if not waits_for:
        stage = plan.steps[0]
        if rollout.share > 0.0 and now < stage.planned_end:
            return Hold("gathers evidence at this share", stage.planned_end)
        return Step(next_share)
    if now >= rollout.due_at or (
        _are_rates_measured(rollout, evidence, now) and not plan.meets_due_time
    ):
        return Late(waits_for)
    return Hold(waits_for)


def _are_rates_measured(rollout: Rollout, evidence: Evidence, now: float) -> bool:
    elapsed_s = now - rollout.started_at
    if elapsed_s >= _MAX_RATE_WINDOW_S:
        return True
    return elapsed_s >= _MIN_RATE_WINDOW_S and evidence.count_calls() >= _MIN_RATE_CALLS


def _find_blocker(
    rollout: Rollout,
    policy: RolloutPolicy,
    evidence: Evidence,
    fleet: Fleet,
    finding: Finding | Suspicion | None,
    next_share: float,
    stepped_at: float,
    now: float,
) -> str:
    if not fleet.ready_new:
        return f"ready upstreams of version {rollout.new}"
    if fleet.capacity_share < next_share:
        return f"room for {next_share:.0%} of the calls on version {rollout.new}"
    if rollout.share <= 0.0:
        has_rates = now - rollout.started_at >= _MIN_RATE_WINDOW_S
        return "" if has_rates else "the rate of calls on each route"
    if isinstance(finding, Suspicion):
        return finding.reason
    if now - stepped_at < MIN_STAGE_DURATION_S:
        return "the shortest time at one share"
    rates = evidence.measure_rates(now)
    needed = count_needed_calls(policy, rollout.share, routes=len(rates))
    for route in rates:
        missing = needed - evidence.stage_calls(route)
        if missing > 0:
            return f"{missing} more calls on route {route}"
    return "" if rates else "calls to the service"
