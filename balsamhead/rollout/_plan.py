"""Plan the steps of a rollout backwards from the time due."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.rollout._evidence import ERROR_TOLERANCE, compute_threshold
from balsamhead.rollout._policy import (
    COLD_START_S,
    MIN_STAGE_S,
    bound_first_share,
    slack_share,
)
from balsamhead.util.sequential import count_needed_failures

if TYPE_CHECKING:
    from collections.abc import Mapping

    from balsamhead.document import RolloutPolicy

__all__ = ("Plan", "PlannedStep", "count_needed_calls", "plan_rollout", "plan_shares")

#: share of failing calls that the evidence must be able to show, 0 to 1
DETECTABLE_FAILURES: Final = 0.05
#: standard deviations by which a fault may show fewer failures than expected
_POWER_DEVIATIONS: Final = 2.33
#: calls of the new version on a route that are enough at any share
_MAX_STAGE_CALLS: Final = 400
#: smallest share that calls get, 0 to 1
_MIN_SHARE: Final = 0.002
#: time in which a share below the first one gives the evidence, in s
_PROBE_S: Final = 20.0
#: last share before all calls, 0 to 1
_MIDDLE_SHARE: Final = 0.5
#: part of the time to the due time that is kept for delays, 0 to 1
_MARGIN_SHARE: Final = 0.08
#: bounds on the time kept for delays, in s
_MIN_MARGIN_S: Final = 15.0
_MAX_MARGIN_S: Final = 300.0


class PlannedStep(NamedTuple):
    """Hold one share and the time spent at it."""

    share: float
    #: shortest time in which the evidence for the next step arrives, in s
    needs_s: float
    #: latest time at which the next step still meets the time due, in s since the epoch
    leave_by: float
    #: calls of the new version on each route before the next step
    needed_calls: int
    #: when the step is planned to end, in s since the epoch
    leave_at: float


class Plan(NamedTuple):
    """Hold the steps from now to the time due."""

    steps: tuple[PlannedStep, ...]
    can_be_met: bool
    #: when all traffic can be on the new version, in s since the epoch
    done_at: float
    #: what it waits for when the time due can't be met; empty otherwise
    waits_for: str


def count_needed_calls(policy: RolloutPolicy, share: float, *, routes: int) -> int:
    """Return the new version's calls on a route that would show a fault with 99% power."""
    null_share = ERROR_TOLERANCE * share / (ERROR_TOLERANCE * share + 1.0 - share)
    threshold = compute_threshold(policy, routes=max(1, routes))
    failures = count_needed_failures(threshold, null_share)
    spread = _POWER_DEVIATIONS * math.sqrt(failures) + _POWER_DEVIATIONS**2 / 2.0
    return min(_MAX_STAGE_CALLS, math.ceil((failures + spread) / DETECTABLE_FAILURES))


def plan_shares(
    policy: RolloutPolicy, share: float, *, rates: Mapping[str, float] | None = None
) -> tuple[float, ...]:
    """Return the shares that follow a share, up to 1.

    :param rates: calls per second of each route; much traffic starts below the first share.
    """
    shares = []
    while share < 1.0:
        share = _raise_share(policy, share, rates or {})
        shares.append(share)
    return tuple(shares)


def _raise_share(policy: RolloutPolicy, share: float, rates: Mapping[str, float]) -> float:
    first = bound_first_share(policy)
    if share <= 0.0:
        return _compute_probe_share(policy, first, rates)
    if share < first:
        return first
    raised = share * policy.step_factor
    if raised < _MIDDLE_SHARE:
        return raised
    return _MIDDLE_SHARE if share < 0.8 * _MIDDLE_SHARE else 1.0


def _compute_probe_share(policy: RolloutPolicy, first: float, rates: Mapping[str, float]) -> float:
    slowest = min(rates.values(), default=0.0)
    if slowest <= 0.0:
        return first
    needed = count_needed_calls(policy, first, routes=len(rates))
    probe = max(_MIN_SHARE, needed / (slowest * _PROBE_S))
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
    """Plan the steps that are left, backwards from the time due.

    :param rates: calls per second of each route, to both versions.
    :param share: the share in force.
    :param begun_at: when the rollout was accepted, in s; now when None.
    :param stepped_at: when the share in force was set, in s; now when None.
    :param stage_calls: calls of the new version since the last step, by route.
    """
    stepped_at = now if stepped_at is None else stepped_at
    shares = [share, *plan_shares(policy, share, rates=rates)][:-1]
    needs = [_needs_s(policy, rates, item) for item in shares]
    if share <= 0.0 and len(needs) > 1:
        needs[1] += COLD_START_S
    left = _remaining_s(policy, rates, share, now - stepped_at, stage_calls or {})
    done_at = now + left + sum(needs[1:])
    limit = due_at - _compute_margin(due_at - (now if begun_at is None else begun_at))

    latest = [limit - sum(needs[index + 1 :]) for index in range(len(shares))]
    steps = []
    entered_at = stepped_at
    for index, (item, need, leave_by) in enumerate(zip(shares, needs, latest, strict=True)):
        spare = max(0.0, leave_by - entered_at - need)
        part = slack_share(policy) if _is_first(policy, item) else 1.0 / len(shares)
        leave_at = entered_at if item <= 0.0 else entered_at + need + part * spare
        needed = count_needed_calls(policy, item, routes=len(rates)) if item > 0.0 else 0
        steps.append(PlannedStep(item, need, leave_by, needed, leave_at))
        entered_at = max(entered_at, leave_at, now if index == 0 else entered_at)

    can_be_met = done_at <= limit
    waits_for = "" if can_be_met else _name_slowest(policy, rates, shares)
    return Plan(tuple(steps), can_be_met, done_at, waits_for)


def _is_first(policy: RolloutPolicy, share: float) -> bool:
    return 0.0 < share <= bound_first_share(policy)


def _compute_margin(left_s: float) -> float:
    return min(_MAX_MARGIN_S, max(_MIN_MARGIN_S, _MARGIN_SHARE * left_s))


def _needs_s(policy: RolloutPolicy, rates: Mapping[str, float], share: float) -> float:
    if share <= 0.0:
        return 0.0
    needed = count_needed_calls(policy, share, routes=len(rates))
    slowest = min(rates.values(), default=0.0)
    if slowest <= 0.0:
        return math.inf
    return max(MIN_STAGE_S, _pad_calls(needed) / (slowest * share))


def _pad_calls(needed: float) -> float:
    # arrivals are random: allow for a slow stretch of them
    return needed + 2.0 * math.sqrt(max(0.0, needed))


def _remaining_s(
    policy: RolloutPolicy,
    rates: Mapping[str, float],
    share: float,
    stage_s: float,
    stage_calls: Mapping[str, int],
) -> float:
    if share <= 0.0:
        return 0.0
    needed = count_needed_calls(policy, share, routes=len(rates))
    waits = [MIN_STAGE_S - stage_s]
    for route, rate in rates.items():
        left = needed - stage_calls.get(route, 0)
        if left > 0:
            waits.append(_pad_calls(left) / (rate * share) if rate > 0.0 else math.inf)
    return max(0.0, *waits)


def _name_slowest(policy: RolloutPolicy, rates: Mapping[str, float], shares: list[float]) -> str:
    if not rates:
        return "calls to the service"
    route = min(rates, key=lambda name: rates[name])
    first = next((item for item in shares if item > 0.0), bound_first_share(policy))
    needed = count_needed_calls(policy, first, routes=len(rates))
    return f"{needed} calls of the new version on route {route} at {rates[route]:.2g} calls/s"
