"""Count what became of calls by version and route, and test a new version against the old one."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.util.sequential import Increment, Stream

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamhead.mesh._upstream import Result

__all__ = ("EvidenceRow", "OutcomeCounts", "VersionTest")

#: ratio of the bounds of two neighbouring buckets of times
_BUCKET_RATIO: Final = 1.5
#: quantile of the old version's times from which slow calls are told, 0 to 1
_SLOW_QUANTILE: Final = 0.9
#: buckets above it from which a call counts as slow
_SLOW_BUCKETS: Final = 2
#: calls of the old version that the quantile needs
_MIN_OLD_CALLS: Final = 20
#: rate of withdrawals of versions that are equal to the old one, 0 to 1
_FALSE_POSITIVE_RATE: Final = 0.0005
#: time over which the prior of a later fault is spread, in s
_SPREAD_S: Final = 20.0
#: periods for which one-sided reports are kept
_MAX_PERIODS: Final = 4
#: failed calls of a version below which it isn't taken back
_MIN_FAILURES: Final = 4


class EvidenceRow(NamedTuple):
    """Hold the calls of one version on one route in a period."""

    version: str
    route: str
    calls: int
    failures: int
    #: calls by bucket of their time
    times: dict[int, int]


class OutcomeCounts:
    """Collect results until they are reported."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], list[int]] = {}
        self._times: dict[tuple[str, str], dict[int, int]] = {}

    def add(self, result: Result) -> None:
        """Take in what became of a call."""
        key = (result.version, result.route)
        row = self._rows.setdefault(key, [0, 0])
        row[0] += 1
        row[1] += result.failed
        if not result.cold and not result.failed:
            times = self._times.setdefault(key, {})
            bucket = int(math.log(max(1.0, result.took_ms)) / math.log(_BUCKET_RATIO))
            times[bucket] = times.get(bucket, 0) + 1

    def take(self) -> list[EvidenceRow]:
        """Return what was collected and begin anew."""
        rows = [
            EvidenceRow(version, route, calls, failures, self._times.get((version, route), {}))
            for (version, route), (calls, failures) in self._rows.items()
        ]
        self._rows, self._times = {}, {}
        return rows


class _RouteTest:
    """Test one route for failures and for slow answers."""

    def __init__(self, now: float) -> None:
        self.failures = Stream(spread_s=_SPREAD_S, now=now)
        self.slowness = Stream(spread_s=_SPREAD_S, now=now)
        self.old_times: dict[int, int] = {}
        self.new_failures = 0
        self.new_slow = 0


class VersionTest:
    """Test a version against the others of its service, per route and in the same periods."""

    def __init__(self, version: str, now: float) -> None:
        self._version = version
        self._routes: dict[str, _RouteTest] = {}
        self._now = now
        self._pending: list[EvidenceRow] = []
        self._periods = 0
        #: calls of the version so far
        self.calls = 0

    def collect(self, rows: Iterable[EvidenceRow]) -> None:
        """Keep what one node reports until the period ends."""
        self._pending += rows

    def end_period(self, now: float) -> None:
        """Take in what all nodes reported, once it holds calls of both versions.

        Each node reports its own upstream, so that one report never holds both.
        """
        self._periods += 1
        versions = {row.version for row in self._pending}
        one_sided = len(versions) < 2 and self._periods < _MAX_PERIODS
        if one_sided or not self._pending:
            return
        rows, self._pending, self._periods = self._pending, [], 0
        self.add(rows, now=now)

    def add(self, rows: Iterable[EvidenceRow], *, now: float) -> None:
        """Take in the calls of a period."""
        by_route: dict[str, list[EvidenceRow]] = {}
        for row in rows:
            by_route.setdefault(row.route, []).append(row)
        for route, group in by_route.items():
            test = self._routes.get(route)
            if test is None:
                test = self._routes[route] = _RouteTest(self._now)
            self._add_route(test, group, now)

    def find_fault(self) -> str:
        """Return why the version is to be taken back, or an empty string."""
        limit = 1.0 / _FALSE_POSITIVE_RATE
        for route, test in self._routes.items():
            if test.new_failures >= _MIN_FAILURES and test.failures.statistic >= limit:
                return f"errors on {route}"
            if test.new_slow >= _MIN_FAILURES and test.slowness.statistic >= limit:
                return f"slow on {route}"
        return ""

    def _add_route(self, test: _RouteTest, rows: list[EvidenceRow], now: float) -> None:
        new = [row for row in rows if row.version == self._version]
        old = [row for row in rows if row.version != self._version]
        new_calls = sum(row.calls for row in new)
        old_calls = sum(row.calls for row in old)
        self.calls += new_calls
        new_failures = sum(row.failures for row in new)
        test.new_failures += new_failures
        if new_calls and old_calls:
            share = new_calls / (new_calls + old_calls)
            failed = Increment(share, new_failures, sum(row.failures for row in old))
            test.failures.add([failed], now=now)
        self._add_times(test, new, old, now)

    def _add_times(
        self, test: _RouteTest, new: list[EvidenceRow], old: list[EvidenceRow], now: float
    ) -> None:
        for row in old:
            for bucket, number in row.times.items():
                test.old_times[bucket] = test.old_times.get(bucket, 0) + number
        bound = _find_slow_bucket(test.old_times)
        if bound is None:
            return
        new_timed, new_slow = _count_slow(new, bound)
        old_timed, old_slow = _count_slow(old, bound)
        test.new_slow += new_slow
        if new_timed and old_timed:
            share = new_timed / (new_timed + old_timed)
            test.slowness.add([Increment(share, new_slow, old_slow)], now=now)


def _find_slow_bucket(times: dict[int, int]) -> int | None:
    total = sum(times.values())
    if total < _MIN_OLD_CALLS:
        return None
    seen = 0
    for bucket in sorted(times):
        seen += times[bucket]
        if seen >= _SLOW_QUANTILE * total:
            return bucket + _SLOW_BUCKETS
    return None


def _count_slow(rows: list[EvidenceRow], bound: int) -> tuple[int, int]:
    total = slow = 0
    for row in rows:
        for bucket, number in row.times.items():
            total += number
            slow += number if bucket >= bound else 0
    return total, slow
