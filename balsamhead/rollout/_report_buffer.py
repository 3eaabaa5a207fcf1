"""Aggregate call counts until they are reported, and limit the bytes of the reports."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from balsamhead.wire import CallCount

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ("ByteRateLimiter", "CallCountBuffer", "has_failures")

#: maximum number of rows per report that name an upstream or a caller
MAX_NAMED_ROWS: Final = 8


def has_failures(count: CallCount) -> bool:
    """Return whether a row counts any call that failed, was slow or crashed its upstream."""
    return bool(count.errors or count.slow or count.crashes)


class CallCountBuffer:
    """Buffer of call counts, aggregated by service, route, version, upstream and caller.

    Only rows with failures keep the names of their upstream and caller.
    """

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str, str, str, str], CallCount] = {}
        self.callers: set[str] = set()
        #: at least one row has failures
        self.is_urgent = False

    def __len__(self) -> int:
        return len(self._rows)

    def add(self, counts: Iterable[CallCount]) -> None:
        """Aggregate rows into the buffer."""
        for count in counts:
            if has_failures(count):
                self.is_urgent = True
            else:
                count = count._replace(upstream="", caller="")
            self._add_row(count)

    def requeue(self, counts: Iterable[CallCount], callers: Iterable[str]) -> None:
        """Put rows that could not be sent back into the buffer."""
        self.add(counts)
        self.callers.update(callers)

    def drain(self) -> tuple[CallCount, ...]:
        """Remove and return all rows.

        Beyond ``MAX_NAMED_ROWS``, the rows with the fewest failures lose the names of upstream and
        caller.
        """
        rows = self._rows
        self._rows = {}
        self.is_urgent = False
        named = [row for row in rows.values() if row.upstream or row.caller]
        named.sort(key=lambda row: (row.crashes, row.errors, row.slow), reverse=True)
        for row in named[MAX_NAMED_ROWS:]:
            del rows[_row_key(row)]
        for row in named[MAX_NAMED_ROWS:]:
            unnamed = row._replace(upstream="", caller="")
            rows[_row_key(unnamed)] = _merge_rows(rows.get(_row_key(unnamed)), unnamed)
        return tuple(rows.values())

    def _add_row(self, count: CallCount) -> None:
        key = _row_key(count)
        self._rows[key] = _merge_rows(self._rows.get(key), count)


class ByteRateLimiter:
    """Token bucket that limits the bytes of reports."""

    def __init__(self, *, bytes_per_s: float, burst: float) -> None:
        self._rate = bytes_per_s
        self._burst = burst
        self._tokens = burst
        self._filled_at = 0.0

    def can_send(self, now: float) -> bool:
        """Refill the bucket and return whether a report may be sent now."""
        self._tokens = min(self._burst, self._tokens + self._rate * (now - self._filled_at))
        self._filled_at = now
        return self._tokens > 0.0

    def consume(self, size: int) -> None:
        """Deduct the bytes of a sent report; the balance may become negative."""
        self._tokens -= size


def _row_key(count: CallCount) -> tuple[str, str, str, str, str]:
    return count.service, count.route, count.version, count.upstream, count.caller


def _merge_rows(first: CallCount | None, second: CallCount) -> CallCount:
    if first is None:
        return second
    return first._replace(
        calls=first.calls + second.calls,
        errors=first.errors + second.errors,
        slow=first.slow + second.slow,
        shed=first.shed + second.shed,
        crashes=first.crashes + second.crashes,
    )
