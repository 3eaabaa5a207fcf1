"""Aggregate the calls of a rollout and test whether the new version is worse."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.rollout._policy import COLD_START_S
from balsamhead.util.sequential import FAILURE_RATIOS, Increment, SequentialTest

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from balsamhead.document import Objective, RolloutPolicy
    from balsamhead.wire import CallCount

__all__ = (
    "MAX_ERROR_RATIO",
    "MAX_SLOW_RATIO",
    "METRICS",
    "Evidence",
    "Finding",
    "Suspicion",
    "compute_threshold",
)

#: kinds of failure that are compared between the versions
METRICS: Final = ("errors", "slow", "crashes")
#: multiple of the old version's error rate up to which the new version is not worse
MAX_ERROR_RATIO: Final = 1.5
#: multiple of the old version's rate of slow calls up to which the new version is not worse
MAX_SLOW_RATIO: Final = 3.0
#: half-life of call counts in the estimate of the new version's share of calls, in s
_SHARE_HALF_LIFE_S: Final = 30.0
#: calls of the new version from which the measured share has its full weight
_MIN_SHARE_CALLS: Final = 20.0
#: part of the policy's false-positive rate allotted to the streams that pool all data centres,
#: 0 to 1
POOLED_FALSE_POSITIVE_SHARE: Final = 0.6
#: false-positive rate of the test that leaves out the worst VM or node, 0 to 1
_SINGLE_SOURCE_FALSE_POSITIVE_RATE: Final = 0.01
#: statistic from which a stream blocks the next step
_SUSPICION_THRESHOLD: Final = 20.0
#: watch period: multiple of the old version's failure rate that is tolerated
_WATCH_TOLERANCE: Final = 3.0
#: minimum number of dependency failures, or of shed calls, to count as a common cause
_MIN_CAUSE_FAILURES: Final = 2.5
#: half-life of the counts that show a common cause, in s
_CAUSE_HALF_LIFE_S: Final = 10.0
#: watch period: calls of the old version needed to measure its failure rate
_MIN_BASELINE_CALLS: Final = 200
#: watch period: seconds with failures before the new version is rolled back
_MIN_FAILING_SECONDS: Final = 8
#: the same if the share of failed calls is at least ``_SEVERE_SHARE``
_MIN_FAILING_SECONDS_SEVERE: Final = 3
#: upper bound on the likelihood ratios of the watch period
_MAX_LIKELIHOOD_RATIO: Final = 1e8
#: share of failed calls that is too high for a transient disturbance, 0 to 1
_SEVERE_SHARE: Final = 0.3
#: failure rate from which a dependency is considered to be failing, 0 to 1
_DEPENDENCY_FAILURE_RATE: Final = 0.02
#: share of shed calls from which errors and slow responses are put down to overload, 0 to 1
_OVERLOAD_SHED_SHARE: Final = 0.005


class Finding(NamedTuple):
    """Finding that the new version is worse, with the counts that show it."""

    route: str
    #: one of METRICS
    metric: str
    #: data centre in which it is worse; empty for the sum over all data centres
    data_centre: str
    new_failures: int
    new_calls: int
    old_failures: int
    old_calls: int
    #: likelihood ratio of a worse version to an equal one
    statistic: float

    def describe(self) -> str:
        """Return the counts as one line of text."""
        where = f" in {self.data_centre}" if self.data_centre else ""
        return (
            f"{self.metric} on route {self.route}{where}: new {self.new_failures} of "
            f"{self.new_calls} calls, old {self.old_failures} of {self.old_calls}"
        )


def compute_threshold(policy: RolloutPolicy, *, routes: int, data_centres: int = 0) -> float:
    """Return the statistic from which one stream shows that the new version is worse.

    All streams together keep to the policy's false-positive rate.

    :param data_centres: number of data centres; 0 for the streams that pool all of them.
    """
    share = (
        (1.0 - POOLED_FALSE_POSITIVE_SHARE) / data_centres
        if data_centres
        else POOLED_FALSE_POSITIVE_SHARE
    )
    return routes * len(METRICS) / (policy.false_positive_rate * share)


class Suspicion(NamedTuple):
    """Evidence against the new version that is too weak to roll back but blocks the next step."""

    reason: str


class _CallTotals:
    """Totals of the calls of one route in one data centre."""

    def __init__(self) -> None:
        self.new_calls = 0
        self.old_calls = 0
        self.new = dict.fromkeys(METRICS, 0)
        self.old = dict.fromkeys(METRICS, 0)
        self.recent_new = 0.0
        self.recent_old = 0.0
        self.decayed_at = 0.0

    def decay(self, now: float) -> None:
        """Reduce the weight of older calls in the estimated share."""
        factor = 0.5 ** (max(0.0, now - self.decayed_at) / _SHARE_HALF_LIFE_S)
        self.recent_new *= factor
        self.recent_old *= factor
        self.decayed_at = now

    def estimate_share(self, share: float) -> float:
        """Return the estimated share of calls to the new version, at least the share in force."""
        calls = self.recent_new + self.recent_old
        confidence = min(1.0, self.recent_new / _MIN_SHARE_CALLS)
        measured = self.recent_new / calls if calls else share
        # the recent calls still include calls from before a step, at a lower share
        return max(share, confidence * measured)


class _ReportTotals(NamedTuple):
    """Calls and failures of one route in one report.

    ``vms`` and ``callers`` map each metric to the new version's failures by VM and by calling node.
    """

    new_calls: int
    old_calls: int
    new: dict[str, int]
    old: dict[str, int]
    vms: dict[str, dict[str, int]]
    callers: dict[str, dict[str, int]]


class Evidence:
    """Evidence from the calls of one rollout, by route and data centre."""

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
        onset_window_s: float,
        now: float,
    ) -> None:
        self._routes = max(1, routes)
        self._data_centres = max(1, data_centres)
        self._onset_window_s = onset_window_s
        self.service = service
        self.old = old
        self.new = new
        self._policy = policy
        self._objective = objective
        self._started_at = now
        self._totals: dict[tuple[str, str], _CallTotals] = {}
        self._streams: dict[tuple[str, str, str], SequentialTest] = {}
        self._watch_tests: dict[tuple[str, str], _WatchTest] = {}
        self._stage_calls: dict[str, int] = {}
        self._route_calls: dict[str, int] = {}
        self._upstream_seen_at: dict[str, float] = {}
        self._new_version_seen_at = 0.0
        self._dependency_calls = 0.0
        self._dependency_failures = 0.0
        self._shed_calls = 0.0
        self._recent_calls = 0.0
        self._causes_decayed_at = now
        self._callers: dict[str, int] = {}

    def threshold(self, data_centre: str = "") -> float:
        """Return the statistic from which a stream shows that the new version is worse."""
        return compute_threshold(
            self._policy,
            routes=self._routes,
            data_centres=self._data_centres if data_centre else 0,
        )

    def begin_stage(self) -> None:
        """Reset the call counts of the current stage."""
        self._stage_calls.clear()

    def stage_calls(self, route: str) -> int:
        """Return the new version's calls on a route in this stage, except in its cold start."""
        return self._stage_calls.get(route, 0)

    def count_calls(self) -> int:
        """Return the number of calls to both versions."""
        return sum(self._route_calls.values())

    def measure_rates(self, now: float) -> dict[str, float]:
        """Return the calls per second by route, to both versions."""
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
        """Add the counts of a report.

        :param callers: number of nodes whose calls the report counts.
        :param share: the share in force.
        :param watching: the rollout is in its watch period: all calls go to the new version.
        """
        self._callers[source] = callers
        self._decay_cause_counts(now)
        totals_by_route: dict[str, _ReportTotals] = {}
        for count in counts:
            if count.service != self.service:
                self._dependency_calls += count.calls
                self._dependency_failures += count.errors + count.slow
                continue
            self._add_count(totals_by_route, count, now)
        for route, report in totals_by_route.items():
            self._update_streams(route, data_centre, report, share, watching, now)

    def evaluate(self, *, vms: int) -> Finding | Suspicion | None:
        """Test whether the new version is worse.

        :param vms: number of VMs whose upstreams of the new version are ready.
        :returns: a finding if the evidence suffices to roll back, a suspicion if it suffices only
            to block the next step, else None.
        """
        suspicion: Suspicion | None = None
        callers = sum(self._callers.values())
        for (route, metric, data_centre), stream in self._streams.items():
            if stream.statistic < _SUSPICION_THRESHOLD:
                continue
            single = stream.compute_leave_one_out(vms=vms, callers=callers)
            if single.statistic < _SUSPICION_THRESHOLD:
                continue
            if stream.statistic < self.threshold(data_centre):
                suspicion = Suspicion(f"{metric} on route {route} need more evidence")
                continue
            if single.statistic < 1.0 / _SINGLE_SOURCE_FALSE_POSITIVE_RATE:
                suspicion = Suspicion(f"{metric} on route {route} come from {single.source} only")
                continue
            finding = self._make_finding(route, metric, data_centre, stream.statistic)
            if self._threatens_objective(finding):
                return finding
        return self._check_watch_tests(vms) or suspicion

    def _check_watch_tests(self, vms: int) -> Finding | None:
        for (route, metric), test in self._watch_tests.items():
            if not test.is_sustained or test.statistic < self.threshold():
                continue
            if vms > 1 and test.is_single_vm():
                continue
            return self._make_finding(route, metric, "", test.statistic)
        return None

    def _threatens_objective(self, finding: Finding) -> bool:
        if finding.metric == "crashes":
            return True
        objective = self._objective
        allowed = objective.availability if finding.metric == "errors" else objective.latency_share
        budget = 1.0 - allowed
        return finding.new_failures > 0.5 * budget * finding.new_calls

    def _make_finding(self, route: str, metric: str, data_centre: str, statistic: float) -> Finding:
        matching = [
            totals
            for (name, totals_data_centre), totals in self._totals.items()
            if name == route and data_centre in ("", totals_data_centre)
        ]
        return Finding(
            route=route,
            metric=metric,
            data_centre=data_centre,
            new_failures=sum(totals.new[metric] for totals in matching),
            new_calls=sum(totals.new_calls for totals in matching),
            old_failures=sum(totals.old[metric] for totals in matching),
            old_calls=sum(totals.old_calls for totals in matching),
            statistic=statistic,
        )

    def _decay_cause_counts(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self._causes_decayed_at) / _CAUSE_HALF_LIFE_S)
        self._dependency_calls *= factor
        self._dependency_failures *= factor
        self._shed_calls *= factor
        self._recent_calls *= factor
        self._causes_decayed_at = now

    def _add_count(
        self, totals_by_route: dict[str, _ReportTotals], count: CallCount, now: float
    ) -> None:
        self._shed_calls += count.shed
        self._recent_calls += count.calls
        if count.version not in (self.old, self.new):
            return
        no_failures: dict[str, int] = dict.fromkeys(METRICS, 0)
        report = totals_by_route.get(count.route)
        if report is None:
            report = _ReportTotals(0, 0, dict(no_failures), dict(no_failures), {}, {})
        is_new = count.version == self.new
        failures = {
            "errors": count.errors,
            "slow": 0 if is_new and self._is_cold(count.upstream, now) else count.slow,
            "crashes": count.crashes,
        }
        target = report.new if is_new else report.old
        for metric, failed in failures.items():
            target[metric] += failed
            if is_new and failed and count.upstream:
                by_vm = report.vms.setdefault(metric, {})
                by_vm[count.upstream] = by_vm.get(count.upstream, 0) + failed
            if is_new and failed and count.caller:
                by_caller = report.callers.setdefault(metric, {})
                by_caller[count.caller] = by_caller.get(count.caller, 0) + failed
        if is_new:
            report = report._replace(new_calls=report.new_calls + count.calls)
        else:
            report = report._replace(old_calls=report.old_calls + count.calls)
        totals_by_route[count.route] = report

    def _is_cold(self, upstream: str, now: float) -> bool:
        if not self._new_version_seen_at:
            self._new_version_seen_at = now
        seen_at = (
            self._upstream_seen_at.setdefault(upstream, now)
            if upstream
            else self._new_version_seen_at
        )
        return now - seen_at < COLD_START_S

    def _update_streams(
        self,
        route: str,
        data_centre: str,
        report: _ReportTotals,
        share: float,
        watching: bool,
        now: float,
    ) -> None:
        total = self._totals.setdefault((route, data_centre), _CallTotals())
        total.decay(now)
        total.recent_new += report.new_calls
        total.recent_old += report.old_calls
        total.new_calls += report.new_calls
        total.old_calls += report.old_calls
        calls = report.new_calls + report.old_calls
        self._route_calls[route] = self._route_calls.get(route, 0) + calls
        if self._new_version_seen_at and now - self._new_version_seen_at >= COLD_START_S:
            self._stage_calls[route] = self._stage_calls.get(route, 0) + report.new_calls
        for metric in METRICS:
            total.new[metric] += report.new[metric]
            total.old[metric] += report.old[metric]
        if watching:
            self._update_watch_tests(route, report, now)
            return
        expected = total.estimate_share(share)
        for metric in METRICS:
            max_ratio = MAX_SLOW_RATIO if metric == "slow" else MAX_ERROR_RATIO
            increment = Increment(
                null_share=max_ratio * expected / (max_ratio * expected + 1.0 - expected),
                new_failures=report.new[metric],
                old_failures=report.old[metric],
                by_vm=tuple(sorted(report.vms.get(metric, {}).items())),
                by_caller=tuple(sorted(report.callers.get(metric, {}).items())),
            )
            for stream_data_centre in ("", data_centre):
                stream = self._streams.get((route, metric, stream_data_centre))
                if stream is None:
                    stream = SequentialTest(onset_window_s=self._onset_window_s, now=now)
                    self._streams[route, metric, stream_data_centre] = stream
                stream.add((increment,), now=now)

    def _update_watch_tests(self, route: str, report: _ReportTotals, now: float) -> None:
        is_overloaded = self._shed_calls >= max(
            _MIN_CAUSE_FAILURES, _OVERLOAD_SHED_SHARE * self._recent_calls
        )
        for metric in METRICS:
            # reset the test: earlier failures may have the same cause, before it became visible
            if self._is_dependency_failing() or (is_overloaded and metric != "crashes"):
                self._watch_tests.pop((route, metric), None)
                continue
            test = self._watch_tests.setdefault((route, metric), _WatchTest())
            expected = (
                _WATCH_TOLERANCE * self._compute_baseline_rate(route, metric) * report.new_calls
            )
            by_vm = report.vms.get(metric, {})
            test.add(report.new[metric], report.new_calls, expected, by_vm, now)

    def _is_dependency_failing(self) -> bool:
        limit = max(_MIN_CAUSE_FAILURES, _DEPENDENCY_FAILURE_RATE * self._dependency_calls)
        return self._dependency_failures >= limit

    def _compute_baseline_rate(self, route: str, metric: str) -> float:
        matching = [totals for (name, _), totals in self._totals.items() if name == route]
        calls = sum(totals.old_calls for totals in matching)
        failures = sum(totals.old[metric] for totals in matching)
        measured = 0.0
        if calls >= _MIN_BASELINE_CALLS:
            measured = (failures + 2.0 * math.sqrt(failures + 1.0)) / calls
        objective = self._objective
        match metric:
            case "errors":
                return max(measured, 1.0 - objective.availability)
            case "slow":
                return max(measured, 1.0 - objective.latency_share)
        return max(measured, 0.1 * (1.0 - objective.availability))


class _WatchTest:
    """Sequential test of one route's failures against the old version's failure rate."""

    def __init__(self) -> None:
        self._likelihood_ratios = [0.0] * len(FAILURE_RATIOS)
        self._last_failing_second = 0
        self._failures_by_vm: dict[str, int] = {}
        self._failures = 0
        self._calls = 0
        self._failing_seconds = 0

    @property
    def is_sustained(self) -> bool:
        """Return whether the failures have lasted longer than a transient disturbance."""
        is_severe = self._failures >= _SEVERE_SHARE * self._calls
        return self._failing_seconds >= (
            _MIN_FAILING_SECONDS_SEVERE if is_severe else _MIN_FAILING_SECONDS
        )

    @property
    def statistic(self) -> float:
        return sum(self._likelihood_ratios) / len(FAILURE_RATIOS)

    def is_single_vm(self) -> bool:
        """Return whether more than four in five of the recent failures come from one VM."""
        return max(self._failures_by_vm.values(), default=0) > 0.8 * self._failures

    def add(
        self, failures: int, calls: int, expected: float, vms: Mapping[str, int], now: float
    ) -> None:
        weight = 1e-3
        for index, ratio in enumerate(FAILURE_RATIOS):
            gain = failures * math.log(ratio) - expected * (ratio - 1.0)
            updated = (self._likelihood_ratios[index] + weight) * math.exp(
                max(-400.0, min(400.0, gain))
            )
            # the bound lets the test recover within seconds after a transient disturbance
            self._likelihood_ratios[index] = min(updated, _MAX_LIKELIHOOD_RATIO)
        if self.statistic < 1.0:
            self._failing_seconds = 0
            self._failures = 0
            self._calls = 0
            self._failures_by_vm = {}
            return
        if failures and int(now) != self._last_failing_second:
            self._last_failing_second = int(now)
            self._failing_seconds += 1
        self._failures += failures
        self._calls += calls
        for name, failed in vms.items():
            self._failures_by_vm[name] = self._failures_by_vm.get(name, 0) + failed
