"""Count call results by version and route, and test a new version against the old ones."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.util.sequential import Increment, SequentialTest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamhead.mesh._upstream import CallResult

__all__ = ("CallCounter", "EvidenceRow", "VersionComparison")

#: ratio of the bounds of adjacent latency buckets
_BUCKET_RATIO: Final = 1.5
#: quantile of the old versions' latencies that slow calls are measured against, 0 to 1
_SLOW_QUANTILE: Final = 0.9
#: number of buckets above that quantile from which a call counts as slow
_SLOW_BUCKET_OFFSET: Final = 2
#: minimum number of timed calls of the old versions for the quantile
_MIN_OLD_CALLS: Final = 20
#: accepted probability of rolling back a version that is no worse than the old ones, 0 to 1
_FALSE_POSITIVE_RATE: Final = 0.0005
#: time over which the prior for the start of a regression is spread, in s
_PRIOR_SPREAD_S: Final = 20.0
#: periods after which reports are evaluated even if they cover one version only
_MAX_ONE_SIDED_PERIODS: Final = 4
#: minimum number of failed, or of slow, calls of a version on a route before it is rolled back
_MIN_FAILURES: Final = 4


class EvidenceRow(NamedTuple):
    """Call results of one version on one route in a reporting period."""

    version: str
    route: str
    calls: int
    failures: int
    #: number of successful calls by latency bucket, without those during slow start
    latency_histogram: dict[int, int]


class CallCounter:
    """Count call results until they are reported."""

    def __init__(self) -> None:
        self._counts: dict[tuple[str, str], list[int]] = {}
        self._histograms: dict[tuple[str, str], dict[int, int]] = {}

    def add(self, result: CallResult) -> None:
        """Count the result of a call."""
        key = (result.version, result.route)
        counts = self._counts.setdefault(key, [0, 0])
        counts[0] += 1
        counts[1] += result.failed
        if not result.in_slow_start and not result.failed:
            histogram = self._histograms.setdefault(key, {})
            bucket = int(math.log(max(1.0, result.took_ms)) / math.log(_BUCKET_RATIO))
            histogram[bucket] = histogram.get(bucket, 0) + 1

    def drain(self) -> list[EvidenceRow]:
        """Return the counts and reset them."""
        rows = [
            EvidenceRow(version, route, calls, failures, self._histograms.get((version, route), {}))
            for (version, route), (calls, failures) in self._counts.items()
        ]
        self._counts, self._histograms = {}, {}
        return rows


class _RouteComparison:
    """Compare failures and slow responses of a version with those of the others on one route."""

    def __init__(self, now: float) -> None:
        self.failures = SequentialTest(onset_window_s=_PRIOR_SPREAD_S, now=now)
        self.slowness = SequentialTest(onset_window_s=_PRIOR_SPREAD_S, now=now)
        self.old_histogram: dict[int, int] = {}
        self.new_failures = 0
        self.new_slow = 0


class VersionComparison:
    """Test a version against the others of its service, by route and over the same periods."""

    def __init__(self, version: str, now: float) -> None:
        self._version = version
        self._comparisons: dict[str, _RouteComparison] = {}
        self._now = now
        self._pending_rows: list[EvidenceRow] = []
        self._period_count = 0
        #: number of calls of the version so far
        self.calls = 0

    def add_report(self, rows: Iterable[EvidenceRow]) -> None:
        """Buffer the report of one node until the period ends."""
        self._pending_rows += rows

    def end_period(self, now: float) -> None:
        """Evaluate the reports of all nodes, once they cover more than one version.

        A node reports only its own upstream, so a single report covers just one version. If
        after a few periods they still cover one version only, they are evaluated as they are.
        """
        self._period_count += 1
        versions = {row.version for row in self._pending_rows}
        one_sided = len(versions) < 2 and self._period_count < _MAX_ONE_SIDED_PERIODS
        if one_sided or not self._pending_rows:
            return
        rows, self._pending_rows, self._period_count = self._pending_rows, [], 0
        self.add(rows, now=now)

    def add(self, rows: Iterable[EvidenceRow], *, now: float) -> None:
        """Evaluate the call results of a period."""
        rows_by_route: dict[str, list[EvidenceRow]] = {}
        for row in rows:
            rows_by_route.setdefault(row.route, []).append(row)
        for route, route_rows in rows_by_route.items():
            comparison = self._comparisons.get(route)
            if comparison is None:
                comparison = self._comparisons[route] = _RouteComparison(self._now)
            self._add_route_rows(comparison, route_rows, now)

    def find_regression(self) -> str:
        """Return the reason to roll the version back, or an empty string."""
        limit = 1.0 / _FALSE_POSITIVE_RATE
        for route, comparison in self._comparisons.items():
            if comparison.new_failures >= _MIN_FAILURES and comparison.failures.statistic >= limit:
                return f"errors on {route}"
            if comparison.new_slow >= _MIN_FAILURES and comparison.slowness.statistic >= limit:
                return f"slow on {route}"
        return ""

    def _add_route_rows(
        self, comparison: _RouteComparison, rows: list[EvidenceRow], now: float
    ) -> None:
        new = [row for row in rows if row.version == self._version]
        old = [row for row in rows if row.version != self._version]
        new_calls = sum(row.calls for row in new)
        old_calls = sum(row.calls for row in old)
        self.calls += new_calls
        new_failures = sum(row.failures for row in new)
        comparison.new_failures += new_failures
        if new_calls and old_calls:
            share = new_calls / (new_calls + old_calls)
            increment = Increment(share, new_failures, sum(row.failures for row in old))
            comparison.failures.add([increment], now=now)
        self._add_latencies(comparison, new, old, now)

    def _add_latencies(
        self,
        comparison: _RouteComparison,
        new: list[EvidenceRow],
        old: list[EvidenceRow],
        now: float,
    ) -> None:
        for row in old:
            for bucket, count in row.latency_histogram.items():
                comparison.old_histogram[bucket] = comparison.old_histogram.get(bucket, 0) + count
        slow_bucket = _find_slow_bucket(comparison.old_histogram)
        if slow_bucket is None:
            return
        new_timed, new_slow = _count_slow(new, slow_bucket)
        old_timed, old_slow = _count_slow(old, slow_bucket)
        comparison.new_slow += new_slow
        if new_timed and old_timed:
            share = new_timed / (new_timed + old_timed)
            comparison.slowness.add([Increment(share, new_slow, old_slow)], now=now)


def _find_slow_bucket(histogram: dict[int, int]) -> int | None:
    total = sum(histogram.values())
    if total < _MIN_OLD_CALLS:
        return None
    seen = 0
    for bucket in sorted(histogram):
        seen += histogram[bucket]
        if seen >= _SLOW_QUANTILE * total:
            return bucket + _SLOW_BUCKET_OFFSET
    return None


def _count_slow(rows: list[EvidenceRow], slow_bucket: int) -> tuple[int, int]:
    total = slow = 0
    for row in rows:
        for bucket, count in row.latency_histogram.items():
            total += count
            slow += count if bucket >= slow_bucket else 0
    return total, slow
