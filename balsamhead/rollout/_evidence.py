"""Sum the calls of a rollout and judge the new version by them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.rollout._policy import COLD_START_S
from balsamhead.util.sequential import RATIOS, Increment, Stream

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from balsamhead.document import Objective, RolloutPolicy
    from balsamhead.wire import CallCount

__all__ = (
    "ERROR_TOLERANCE",
    "METRICS",
    "SLOW_TOLERANCE",
    "Evidence",
    "Finding",
    "Suspicion",
    "compute_threshold",
)

#: what is compared between the versions
METRICS: Final = ("errors", "slow", "crashes")
#: how many times more often the new version may fail before it counts as worse
ERROR_TOLERANCE: Final = 1.5
#: how many times more often the new version may be slow before it counts as worse
SLOW_TOLERANCE: Final = 3.0
#: time in which call counts lose half their weight in the expected share, in s
_HALF_LIFE_S: Final = 30.0
#: calls of the new version below which the share in force stands for the share seen
_FEW_CALLS: Final = 20.0
#: part of the stated rate that is spent on the sums over all data centres, 0 to 1
POOLED_RATE_SHARE: Final = 0.6
#: chance at which one VM or one node alone may make a version look worse, 0 to 1
_SINGLE_SOURCE_RATE: Final = 0.01
#: evidence above which a rollout holds its share
_SUSPICION: Final = 20.0
#: during the watch: how many times the old version's rate is tolerated
_WATCH_TOLERANCE: Final = 3.0
#: failures of a dependency, or refusals, that show nothing yet
_FEW_FAILURES: Final = 2.5
#: time in which counts of common causes lose half their weight, in s
_CAUSE_HALF_LIFE_S: Final = 10.0
#: during the watch: calls of the old version that give a rate to compare with
_BASELINE_CALLS: Final = 200
#: during the watch: seconds with failures before a version is blamed
_WATCH_SECONDS: Final = 8
#: the same where failures are more than the share below
_WATCH_SECONDS_SEVERE: Final = 3
#: bound on the evidence of the watch period
_WATCH_BOUND: Final = 1e8
#: share of calls that fail which is no passing disturbance, 0 to 1
_SEVERE_SHARE: Final = 0.3
#: share of calls to a dependency that fail above which the dependency is blamed, 0 to 1
_DEPENDENCY_FAILURES: Final = 0.02
#: share of calls refused for load above which slow answers blame no version, 0 to 1
_SHED_SHARE: Final = 0.005


class Finding(NamedTuple):
    """State that the new version is worse, and on which figures."""

    route: str
    #: one of METRICS
    metric: str
    #: data centre where it is worse; empty when summed over all
    data_centre: str
    new_failures: int
    new_calls: int
    old_failures: int
    old_calls: int
    #: likelihood ratio against an equal version
    statistic: float

    def describe(self) -> str:
        """Say the figures in one line."""
        where = f" in {self.data_centre}" if self.data_centre else ""
        return (
            f"{self.metric} on route {self.route}{where}: new {self.new_failures} of "
            f"{self.new_calls} calls, old {self.old_failures} of {self.old_calls}"
        )


def compute_threshold(policy: RolloutPolicy, *, routes: int, data_centres: int = 0) -> float:
    """Return the statistic that withdraws, so that all streams keep to the stated rate.

    :param data_centres: 0 for the stream that sums them up.
    """
    share = (1.0 - POOLED_RATE_SHARE) / data_centres if data_centres else POOLED_RATE_SHARE
    return routes * len(METRICS) / (policy.false_positive_rate * share)


class Suspicion(NamedTuple):
    """State why the share may not rise yet, though the version is not blamed."""

    reason: str


class _Sum:
    """Sum the calls of one route in one data centre."""

    def __init__(self) -> None:
        self.new_calls = 0
        self.old_calls = 0
        self.new = dict.fromkeys(METRICS, 0)
        self.old = dict.fromkeys(METRICS, 0)
        self.recent_new = 0.0
        self.recent_old = 0.0
        self.recent_at = 0.0

    def fade(self, now: float) -> None:
        """Let older calls lose weight in the expected share."""
        factor = 0.5 ** (max(0.0, now - self.recent_at) / _HALF_LIFE_S)
        self.recent_new *= factor
        self.recent_old *= factor
        self.recent_at = now

    def expect_share(self, share: float) -> float:
        """Return the chance that a call goes to the new version, or more."""
        calls = self.recent_new + self.recent_old
        trust = min(1.0, self.recent_new / _FEW_CALLS)
        seen = self.recent_new / calls if calls else share
        # never below the share in force: calls from before a step are still among those seen
        return max(share, trust * seen)


class _Period(NamedTuple):
    """Hold the failures of one route and data centre in one period."""

    new_calls: int
    old_calls: int
    new: dict[str, int]
    old: dict[str, int]
    vms: dict[str, dict[str, int]]
    callers: dict[str, dict[str, int]]


class Evidence:
    """Hold what the calls of one rollout showed, by route and data centre."""

    def __init__(
        self,
        *,
        service: str,
        old: str,
        new: str,
        policy: RolloutPolicy,
        objective: Objective,
        routes: int,
        data_centres: int,
        spread_s: float,
        now: float,
    ) -> None:
        self._routes = max(1, routes)
        self._data_centres = max(1, data_centres)
        self._spread_s = spread_s
        self.service = service
        self.old = old
        self.new = new
        self._policy = policy
        self._objective = objective
        self._started_at = now
        self._sums: dict[tuple[str, str], _Sum] = {}
        self._streams: dict[tuple[str, str, str], Stream] = {}
        self._watch_streams: dict[tuple[str, str], _WatchStream] = {}
        self._stage_calls: dict[str, int] = {}
        self._route_calls: dict[str, int] = {}
        self._first_seen: dict[str, float] = {}
        self._new_since = 0.0
        self._dependency_calls = 0.0
        self._dependency_failures = 0.0
        self._shed = 0.0
        self._recent_calls = 0.0
        self._faded_at = now
        self._callers: dict[str, int] = {}

    def threshold(self, data_centre: str = "") -> float:
        """Return the statistic of one stream that withdraws at the stated rate in all."""
        return compute_threshold(
            self._policy,
            routes=self._routes,
            data_centres=self._data_centres if data_centre else 0,
        )

    def begin_stage(self) -> None:
        """Count the calls for the next step from here on."""
        self._stage_calls.clear()

    def stage_calls(self, route: str) -> int:
        """Count the new version's warm calls on a route since the last step."""
        return self._stage_calls.get(route, 0)

    def count_calls(self) -> int:
        """Count the calls to both versions."""
        return sum(self._route_calls.values())

    def measure_rates(self, now: float) -> dict[str, float]:
        """Return the calls per second of each route, to both versions."""
        span = max(1.0, now - self._started_at)
        return {route: calls / span for route, calls in sorted(self._route_calls.items())}

    def add(
        self,
        counts: Iterable[CallCount],
        *,
        data_centre: str,
        source: str,
        callers: int,
        share: float,
        watching: bool,
        now: float,
    ) -> None:
        """Take in the counts of a report.

        :param share: the share in force.
        :param watching: all calls go to the new version.
        """
        self._callers[source] = callers
        self._fade(now)
        periods: dict[str, _Period] = {}
        for count in counts:
            if count.service != self.service:
                self._dependency_calls += count.calls
                self._dependency_failures += count.errors + count.slow
                continue
            self._add_count(periods, count, now)
        for route, period in periods.items():
            self._test(route, data_centre, period, share, watching, now)

    def judge(self, *, vms: int) -> Finding | Suspicion | None:
        """Say whether the new version is worse.

        :param vms: how many VMs of the new version take calls.
        """
        suspicion: Suspicion | None = None
        callers = sum(self._callers.values())
        for (route, metric, data_centre), stream in self._streams.items():
            if stream.statistic < _SUSPICION:
                continue
            single = stream.measure_single_source(vms=vms, callers=callers)
            if single.statistic < _SUSPICION:
                continue
            if stream.statistic < self.threshold(data_centre):
                suspicion = Suspicion(f"{metric} on route {route} need more evidence")
                continue
            if single.statistic < 1.0 / _SINGLE_SOURCE_RATE:
                suspicion = Suspicion(f"{metric} on route {route} come from {single.source} only")
                continue
            finding = self._describe(route, metric, data_centre, stream.statistic)
            if self._is_harmful(finding):
                return finding
        return self._judge_watch(vms) or suspicion

    def _judge_watch(self, vms: int) -> Finding | None:
        for (route, metric), stream in self._watch_streams.items():
            if not stream.has_lasted or stream.statistic < self.threshold():
                continue
            if vms > 1 and stream.is_single_vm():
                continue
            return self._describe(route, metric, "", stream.statistic)
        return None

    def _is_harmful(self, finding: Finding) -> bool:
        if finding.metric == "crashes":
            return True
        goal = self._objective
        allowed = goal.availability if finding.metric == "errors" else goal.latency_share
        budget = 1.0 - allowed
        return finding.new_failures > 0.5 * budget * finding.new_calls

    def _describe(self, route: str, metric: str, data_centre: str, statistic: float) -> Finding:
        sums = [
            item
            for (name, place), item in self._sums.items()
            if name == route and data_centre in ("", place)
        ]
        return Finding(
            route=route,
            metric=metric,
            data_centre=data_centre,
            new_failures=sum(item.new[metric] for item in sums),
            new_calls=sum(item.new_calls for item in sums),
            old_failures=sum(item.old[metric] for item in sums),
            old_calls=sum(item.old_calls for item in sums),
            statistic=statistic,
        )

    def _fade(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self._faded_at) / _CAUSE_HALF_LIFE_S)
        self._dependency_calls *= factor
        self._dependency_failures *= factor
        self._shed *= factor
        self._recent_calls *= factor
        self._faded_at = now

    def _add_count(self, periods: dict[str, _Period], count: CallCount, now: float) -> None:
        self._shed += count.shed
        self._recent_calls += count.calls
        if count.version not in (self.old, self.new):
            return
        empty: dict[str, int] = dict.fromkeys(METRICS, 0)
        period = periods.get(count.route)
        if period is None:
            period = _Period(0, 0, dict(empty), dict(empty), {}, {})
        is_new = count.version == self.new
        failures = {
            "errors": count.errors,
            "slow": 0 if is_new and self._is_cold(count.upstream, now) else count.slow,
            "crashes": count.crashes,
        }
        target = period.new if is_new else period.old
        for metric, number in failures.items():
            target[metric] += number
            if is_new and number and count.upstream:
                by_vm = period.vms.setdefault(metric, {})
                by_vm[count.upstream] = by_vm.get(count.upstream, 0) + number
            if is_new and number and count.caller:
                by_caller = period.callers.setdefault(metric, {})
                by_caller[count.caller] = by_caller.get(count.caller, 0) + number
        if is_new:
            period = period._replace(new_calls=period.new_calls + count.calls)
        else:
            period = period._replace(old_calls=period.old_calls + count.calls)
        periods[count.route] = period

    def _is_cold(self, upstream: str, now: float) -> bool:
        if not self._new_since:
            self._new_since = now
        since = self._first_seen.setdefault(upstream, now) if upstream else self._new_since
        return now - since < COLD_START_S

    def _test(
        self,
        route: str,
        data_centre: str,
        period: _Period,
        share: float,
        watching: bool,
        now: float,
    ) -> None:
        total = self._sums.setdefault((route, data_centre), _Sum())
        total.fade(now)
        total.recent_new += period.new_calls
        total.recent_old += period.old_calls
        total.new_calls += period.new_calls
        total.old_calls += period.old_calls
        calls = period.new_calls + period.old_calls
        self._route_calls[route] = self._route_calls.get(route, 0) + calls
        if self._new_since and now - self._new_since >= COLD_START_S:
            self._stage_calls[route] = self._stage_calls.get(route, 0) + period.new_calls
        for metric in METRICS:
            total.new[metric] += period.new[metric]
            total.old[metric] += period.old[metric]
        if watching:
            self._test_watch(route, period, now)
            return
        expected = total.expect_share(share)
        for metric in METRICS:
            tolerance = SLOW_TOLERANCE if metric == "slow" else ERROR_TOLERANCE
            increment = Increment(
                null_share=tolerance * expected / (tolerance * expected + 1.0 - expected),
                new_failures=period.new[metric],
                old_failures=period.old[metric],
                by_vm=tuple(sorted(period.vms.get(metric, {}).items())),
                by_caller=tuple(sorted(period.callers.get(metric, {}).items())),
            )
            for place in ("", data_centre):
                stream = self._streams.get((route, metric, place))
                if stream is None:
                    stream = Stream(spread_s=self._spread_s, now=now)
                    self._streams[route, metric, place] = stream
                stream.add((increment,), now=now)

    def _test_watch(self, route: str, period: _Period, now: float) -> None:
        is_shedding = self._shed >= max(_FEW_FAILURES, _SHED_SHARE * self._recent_calls)
        for metric in METRICS:
            # what came before a common cause was seen may have been the same cause
            if self._is_dependency_failing() or (is_shedding and metric != "crashes"):
                self._watch_streams.pop((route, metric), None)
                continue
            stream = self._watch_streams.setdefault((route, metric), _WatchStream())
            expected = _WATCH_TOLERANCE * self._tolerated_rate(route, metric) * period.new_calls
            by_vm = period.vms.get(metric, {})
            stream.add(period.new[metric], period.new_calls, expected, by_vm, now)

    def _is_dependency_failing(self) -> bool:
        limit = max(_FEW_FAILURES, _DEPENDENCY_FAILURES * self._dependency_calls)
        return self._dependency_failures >= limit

    def _tolerated_rate(self, route: str, metric: str) -> float:
        sums = [item for (name, _), item in self._sums.items() if name == route]
        calls = sum(item.old_calls for item in sums)
        failures = sum(item.old[metric] for item in sums)
        seen = 0.0
        if calls >= _BASELINE_CALLS:
            seen = (failures + 2.0 * math.sqrt(failures + 1.0)) / calls
        goal = self._objective
        match metric:
            case "errors":
                return max(seen, 1.0 - goal.availability)
            case "slow":
                return max(seen, 1.0 - goal.latency_share)
        return max(seen, 0.1 * (1.0 - goal.availability))


class _WatchStream:
    """Test one route's failures against the rate that the old version had."""

    def __init__(self) -> None:
        self._mixture = [0.0] * len(RATIOS)
        self._second = 0
        self._vms: dict[str, int] = {}
        self._failures = 0
        self._calls = 0
        self._seconds = 0

    @property
    def has_lasted(self) -> bool:
        """Tell whether the failures are more than a passing disturbance."""
        is_severe = self._failures >= _SEVERE_SHARE * self._calls
        return self._seconds >= (_WATCH_SECONDS_SEVERE if is_severe else _WATCH_SECONDS)

    @property
    def statistic(self) -> float:
        return sum(self._mixture) / len(RATIOS)

    def is_single_vm(self) -> bool:
        """Return whether four in five of the recent failures come from one VM."""
        return max(self._vms.values(), default=0) > 0.8 * self._failures

    def add(
        self, failures: int, calls: int, expected: float, vms: Mapping[str, int], now: float
    ) -> None:
        weight = 1e-3
        for index, ratio in enumerate(RATIOS):
            gain = failures * math.log(ratio) - expected * (ratio - 1.0)
            grown = (self._mixture[index] + weight) * math.exp(max(-400.0, min(400.0, gain)))
            # bounded, so that a disturbance that has passed is forgotten within seconds
            self._mixture[index] = min(grown, _WATCH_BOUND)
        if self.statistic < 1.0:
            self._seconds = 0
            self._failures = 0
            self._calls = 0
            self._vms = {}
            return
        if failures and int(now) != self._second:
            self._second = int(now)
            self._seconds += 1
        self._failures += failures
        self._calls += calls
        for name, number in vms.items():
            self._vms[name] = self._vms.get(name, 0) + number
