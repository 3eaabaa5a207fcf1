"""Count calls over the last six hours and compute burn rates from the counts."""

from __future__ import annotations

from array import array
from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamhead.document import Document, Objective
    from balsamhead.rollout import DecisionRow
    from balsamhead.wire import CallCount

__all__ = ("WINDOWS", "BurnRow", "BurnTable", "BurnWindow", "WindowBurn")

#: length of one bucket of counts, in s
BUCKET_S: Final = 60.0
#: number of buckets kept, which cover six hours
BUCKET_COUNT: Final = 360
#: number of most recent rollout decisions kept
MAX_DECISIONS: Final = 500

# columns of a bucket
_CALLS, _ERRORS, _SLOW = range(3)


class BurnWindow(NamedTuple):
    """Pair of a short and a long window; burn is reported when both rates reach the limit."""

    name: str
    short_s: float
    long_s: float
    #: burn rate from which the error budget is in danger
    limit: float


WINDOWS: Final = (
    BurnWindow("5 min / 1 h", 300.0, 3600.0, 14.4),
    BurnWindow("30 min / 6 h", 1800.0, 21600.0, 6.0),
)


class WindowBurn(NamedTuple):
    """Burn rates over a pair of windows.

    A burn rate is the share of failed calls divided by the share that may fail, the error budget.
    At a rate of 1, calls fail exactly as often as the budget allows.
    """

    window: BurnWindow
    short_rate: float
    long_rate: float

    @property
    def is_burning(self) -> bool:
        """Return whether both rates reach the limit."""
        return min(self.short_rate, self.long_rate) >= self.window.limit

    @property
    def has_cleared(self) -> bool:
        """Return whether the long window reaches the limit but the short one no longer does."""
        return self.long_rate >= self.window.limit > self.short_rate


class BurnRow(NamedTuple):
    """Burn rates of one service, route and version against one objective."""

    service: str
    route: str
    version: str
    #: "availability" or "latency"
    objective: str
    calls: int
    failures: int
    windows: tuple[WindowBurn, ...]
    #: burn rate of each interval of five minutes over six hours, oldest first
    history: tuple[float, ...]

    @property
    def is_burning(self) -> bool:
        """Return whether at least one pair of windows burns."""
        return any(item.is_burning for item in self.windows)

    @property
    def has_cleared(self) -> bool:
        """Return whether a pair of windows has cleared and none burns."""
        return not self.is_burning and any(item.has_cleared for item in self.windows)


class BurnTable:
    """Counts of calls by service, route and version in buckets of one minute."""

    def __init__(self) -> None:
        #: ring buffer of buckets, by service, route and version
        self._counts: dict[tuple[str, str, str], array[int]] = {}
        #: number of the newest bucket, in minutes since the epoch
        self._current = 0
        self._objectives: dict[str, Objective] = {}
        #: rollout decisions, oldest first
        self.decisions: list[DecisionRow] = []
        #: time at which the first counts were added, in s since the epoch; 0 if there are none
        self.counting_since = 0.0

    def set_document(self, document: Document) -> None:
        """Use the objectives of the document in force."""
        self._objectives = {item.name: item.objective for item in document.services}

    def add(self, counts: Iterable[CallCount], *, now: float) -> None:
        """Add counts of calls to the current bucket.

        :param now: current time, in s since the epoch.
        """
        self._advance(now)
        self.counting_since = self.counting_since or now
        start = 3 * (self._current % BUCKET_COUNT)
        for count in counts:
            key = (count.service, count.route, count.version)
            row = self._counts.get(key)
            if row is None:
                row = self._counts[key] = array("Q", bytes(8 * 3 * BUCKET_COUNT))
            row[start + _CALLS] += count.calls
            row[start + _ERRORS] += count.errors
            row[start + _SLOW] += count.slow

    def add_decisions(self, decisions: Iterable[DecisionRow]) -> None:
        """Add rollout decisions, without duplicates, and drop the oldest beyond the limit."""
        self.decisions = sorted({*self.decisions, *decisions})
        del self.decisions[:-MAX_DECISIONS]

    def compute_rows(self, *, now: float) -> list[BurnRow]:
        """Return the rows of each service, route and version called within six hours, sorted."""
        self._advance(now)
        rows = []
        for key in sorted(self._counts):
            objective = self._objectives.get(key[0])
            if objective is None:
                continue
            error_budget = 1.0 - objective.availability
            slow_budget = 1.0 - objective.latency_share
            rows.append(self._make_row(key, "availability", _ERRORS, error_budget))
            rows.append(self._make_row(key, "latency", _SLOW, slow_budget))
        return rows

    def compute_service_rows(self, *, now: float) -> list[BurnRow]:
        """Return the rows of each service, summed over its routes and versions."""
        self._advance(now)
        total = BurnTable()
        total._current = self._current
        total._objectives = self._objectives
        for (service, _, _), counts in self._counts.items():
            key = (service, "", "")
            before = total._counts.get(key)
            pairs = zip(before, counts, strict=True) if before else None
            total._counts[key] = array("Q", (a + b for a, b in pairs)) if pairs else counts[:]
        return total.compute_rows(now=now)

    def _advance(self, now: float) -> None:
        """Move to the current bucket, clear expired buckets and drop rows without calls."""
        newest = int(now // BUCKET_S)
        elapsed = min(BUCKET_COUNT, newest - self._current)
        if elapsed <= 0:
            return
        for row in self._counts.values():
            for index in range(newest - elapsed + 1, newest + 1):
                start = 3 * (index % BUCKET_COUNT)
                row[start] = row[start + _ERRORS] = row[start + _SLOW] = 0
        self._current = newest
        for key in [key for key, row in self._counts.items() if not any(row[_CALLS::3])]:
            del self._counts[key]

    def _make_row(
        self, key: tuple[str, str, str], objective: str, column: int, budget: float
    ) -> BurnRow:
        counts = self._counts[key]
        windows = tuple(
            WindowBurn(
                window,
                self._compute_rate(counts, column, budget, int(window.short_s / BUCKET_S), 0),
                self._compute_rate(counts, column, budget, int(window.long_s / BUCKET_S), 0),
            )
            for window in WINDOWS
        )
        history = tuple(
            self._compute_rate(counts, column, budget, 5, age)
            for age in range(BUCKET_COUNT - 5, -1, -5)
        )
        calls, failures = sum(counts[_CALLS::3]), sum(counts[column::3])
        return BurnRow(*key, objective, calls, failures, windows, history)

    def _compute_rate(
        self, counts: array[int], column: int, budget: float, buckets: int, age: int
    ) -> float:
        """Return the burn rate over a number of buckets.

        :param column: column that counts the failures, ``_ERRORS`` or ``_SLOW``.
        :param budget: share of calls that may fail.
        :param age: age of the newest of these buckets, in buckets.
        """
        calls = failures = 0
        for index in range(self._current - age - buckets + 1, self._current - age + 1):
            start = 3 * (index % BUCKET_COUNT)
            calls += counts[start + _CALLS]
            failures += counts[start + column]
        if not calls or not failures:
            return 0.0
        return failures / calls / max(budget, 1e-9)
