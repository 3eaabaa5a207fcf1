"""Plan the steps of a rollout backwards from its due time."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.rollout._evidence import MAX_ERROR_RATIO, compute_threshold
from balsamhead.rollout._policy import (
    COLD_START_S,
    MIN_STAGE_DURATION_S,
    clamp_first_share,
    get_first_stage_slack,
)
from balsamhead.util.sequential import count_needed_failures

if TYPE_CHECKING:
    from collections.abc import Mapping

    from balsamhead.document import RolloutPolicy

__all__ = (
    "Plan",
    "PlannedStage",
    "count_needed_calls",
    "get_shortest_rollout_s",
    "plan_rollout",
    "plan_shares",
)

#: failure rate of the new version that a stage must be able to detect, 0 to 1
DETECTABLE_FAILURE_RATE: Final = 0.05
#: number of standard deviations by which the failures may fall below the expected number and the
#: fault is still detected; 2.33 gives a power of 99%
_POWER_DEVIATIONS: Final = 2.33
#: upper bound on the calls of the new version per route that a stage requires
_MAX_STAGE_CALLS: Final = 400
#: smallest share of a probe stage, 0 to 1
_MIN_SHARE: Final = 0.002
#: duration in which a probe stage, below the policy's first share, collects enough calls, in s
_PROBE_DURATION_S: Final = 20.0
#: last share before all calls go to the new version, 0 to 1
_PENULTIMATE_SHARE: Final = 0.5
#: part of the time up to the due time that is reserved for delays, 0 to 1
_MARGIN_SHARE: Final = 0.08
#: bounds on the time reserved for delays, in s
_MIN_MARGIN_S: Final = 15.0
_MAX_MARGIN_S: Final = 300.0


class PlannedStage(NamedTuple):
    """Stage of a plan: a share and the time spent at it."""

    share: float
    #: shortest time in which the stage collects enough calls for the next step, in s
    min_duration_s: float
    #: latest end of the stage that still meets the due time, in s since the epoch
    latest_end: float
    #: calls of the new version that each route needs before the next step
    needed_calls: int
    #: planned end of the stage, in s since the epoch
    planned_end: float


class Plan(NamedTuple):
    """Stages from now to the due time."""

    steps: tuple[PlannedStage, ...]
    meets_due_time: bool
    #: earliest time at which all traffic can be on the new version, in s since the epoch
    earliest_done_at: float
    #: what the rollout waits for if the due time can't be met; empty otherwise
    waits_for: str


def count_needed_calls(policy: RolloutPolicy, share: float, *, routes: int) -> int:
    """Return the new version's calls per route that are needed to detect a fault.

    The test has a power of 99%, unless the bound on the calls of a stage applies.
    """
    null_share = MAX_ERROR_RATIO * share / (MAX_ERROR_RATIO * share + 1.0 - share)
    threshold = compute_threshold(policy, routes=max(1, routes))
    failures = count_needed_failures(threshold, null_share)
    deviation = _POWER_DEVIATIONS * math.sqrt(failures) + _POWER_DEVIATIONS**2 / 2.0
    return min(_MAX_STAGE_CALLS, math.ceil((failures + deviation) / DETECTABLE_FAILURE_RATE))


def plan_shares(
    policy: RolloutPolicy, share: float, *, rates: Mapping[str, float] | None = None
) -> tuple[float, ...]:
    """Return the shares of the remaining stages after a share, up to 1.

    :param rates: calls per second by route; with enough traffic, a rollout starts with a probe
        stage below the first share.
    """
    shares = []
    while share < 1.0:
        share = _raise_share(policy, share, rates or {})
        shares.append(share)
    return tuple(shares)


def _raise_share(policy: RolloutPolicy, share: float, rates: Mapping[str, float]) -> float:
    first = clamp_first_share(policy)
    if share <= 0.0:
        return _compute_probe_share(policy, first, rates)
    if share < first:
        return first
    raised = share * policy.step_factor
    if raised < _PENULTIMATE_SHARE:
        return raised
    return _PENULTIMATE_SHARE if share < 0.8 * _PENULTIMATE_SHARE else 1.0


def _compute_probe_share(policy: RolloutPolicy, first: float, rates: Mapping[str, float]) -> float:
    lowest_rate = min(rates.values(), default=0.0)
    if lowest_rate <= 0.0:
        return first
    needed = count_needed_calls(policy, first, routes=len(rates))
    probe = max(_MIN_SHARE, needed / (lowest_rate * _PROBE_DURATION_S))
    return probe if probe <= 0.5 * first else first


def plan_rollout(
    policy: RolloutPolicy,
    rates: Mapping[str, float],
    *,
    share: float,
    now: float,
    due_at: float,
    begun_at: float | None = None,
    stepped_at: float | None = None,
    stage_calls: Mapping[str, int] | None = None,
) -> Plan:
    """Plan the remaining steps backwards from the due time.

    :param rates: calls per second by route, to both versions.
    :param share: the share in force.
    :param begun_at: when the rollout was accepted, in s since the epoch; now if None.
    :param stepped_at: when the share in force was set, in s since the epoch; now if None.
    :param stage_calls: calls of the new version since the last step, by route.
    """
    stepped_at = now if stepped_at is None else stepped_at
    shares = [share, *plan_shares(policy, share, rates=rates)][:-1]
    min_durations = [_compute_min_duration_s(policy, rates, stage_share) for stage_share in shares]
    if share <= 0.0 and len(min_durations) > 1:
        min_durations[1] += COLD_START_S
    remaining_s = _compute_remaining_s(policy, rates, share, now - stepped_at, stage_calls or {})
    done_at = now + remaining_s + sum(min_durations[1:])
    target_at = due_at - _compute_margin(due_at - (now if begun_at is None else begun_at))

    latest_ends = [target_at - sum(min_durations[index + 1 :]) for index in range(len(shares))]
    steps = []
    starts_at = stepped_at
    for index, (stage_share, min_duration, latest_end) in enumerate(
        zip(shares, min_durations, latest_ends, strict=True)
    ):
        spare = max(0.0, latest_end - starts_at - min_duration)
        slack_part = (
            get_first_stage_slack(policy)
            if _is_first_stage(policy, stage_share)
            else 1.0 / len(shares)
        )
        planned_end = (
            starts_at if stage_share <= 0.0 else starts_at + min_duration + slack_part * spare
        )
        needed = (
            count_needed_calls(policy, stage_share, routes=len(rates)) if stage_share > 0.0 else 0
        )
        steps.append(PlannedStage(stage_share, min_duration, latest_end, needed, planned_end))
        starts_at = max(starts_at, planned_end, now if index == 0 else starts_at)

    can_be_met = done_at <= target_at
    waits_for = "" if can_be_met else _describe_bottleneck(policy, rates, shares)
    return Plan(tuple(steps), can_be_met, done_at, waits_for)


def get_shortest_rollout_s(policy: RolloutPolicy) -> float:
    """Return the shortest time in s from the start of a rollout to a due time that it can meet.

    A rollout needs at least this time with any number of calls; most need more.
    """
    stages = len(plan_shares(policy, 0.0)) - 1
    duration_s = COLD_START_S + stages * MIN_STAGE_DURATION_S
    # the time from which a margin of _MARGIN_SHARE of it is taken, within its bounds
    with_margin_s = min(duration_s / (1.0 - _MARGIN_SHARE), duration_s + _MAX_MARGIN_S)
    return max(duration_s + _MIN_MARGIN_S, with_margin_s)


def _is_first_stage(policy: RolloutPolicy, share: float) -> bool:
    return 0.0 < share <= clamp_first_share(policy)


def _compute_margin(window_s: float) -> float:
    return min(_MAX_MARGIN_S, max(_MIN_MARGIN_S, _MARGIN_SHARE * window_s))


def _compute_min_duration_s(
    policy: RolloutPolicy, rates: Mapping[str, float], share: float
) -> float:
    if share <= 0.0:
        return 0.0
    needed = count_needed_calls(policy, share, routes=len(rates))
    lowest_rate = min(rates.values(), default=0.0)
    if lowest_rate <= 0.0:
        return math.inf
    return max(MIN_STAGE_DURATION_S, _pad_calls(needed) / (lowest_rate * share))


def _pad_calls(needed: float) -> float:
    # calls arrive at random: allow for two standard deviations fewer than expected
    return needed + 2.0 * math.sqrt(max(0.0, needed))


def _compute_remaining_s(
    policy: RolloutPolicy,
    rates: Mapping[str, float],
    share: float,
    stage_s: float,
    stage_calls: Mapping[str, int],
) -> float:
    if share <= 0.0:
        return 0.0
    needed = count_needed_calls(policy, share, routes=len(rates))
    waits = [MIN_STAGE_DURATION_S - stage_s]
    for route, rate in rates.items():
        missing = needed - stage_calls.get(route, 0)
        if missing > 0:
            waits.append(_pad_calls(missing) / (rate * share) if rate > 0.0 else math.inf)
    return max(0.0, *waits)


def _describe_bottleneck(
    policy: RolloutPolicy, rates: Mapping[str, float], shares: list[float]
) -> str:
    if not rates:
        return "calls to the service"
    route = min(rates, key=lambda name: rates[name])
    first = next(
        (stage_share for stage_share in shares if stage_share > 0.0), clamp_first_share(policy)
    )
    needed = count_needed_calls(policy, first, routes=len(rates))
    return f"{needed} calls of the new version on route {route} at {rates[route]:.2g} calls/s"
