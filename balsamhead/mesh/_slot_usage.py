"""Sum up the use of an upstream's slots and the waits for them between two reports."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ("SlotUsage", "SlotUsageSummary")


class SlotUsageSummary(NamedTuple):
    """Use of an upstream's slots during an interval."""

    #: mean number of slots in use
    mean_in_use: float
    #: requests that got a slot, and those of them that had to wait for it
    granted: int
    waited: int
    #: requests that waited and got no slot
    denied: int
    #: longest wait for a slot, whether it was granted or not, in ms
    max_wait_ms: float


class SlotUsage:
    """Integrate the number of slots in use over time and count waits.

    All times are in s of the event loop's clock.
    """

    def __init__(self, now: float) -> None:
        self._in_use = 0
        self._changed_at = now
        self._max_wait_s = 0.0
        self._reset(now)

    def set_in_use(self, in_use: int, now: float) -> None:
        """Record a change of the number of slots in use."""
        self._slot_seconds += self._in_use * (now - self._changed_at)
        self._in_use, self._changed_at = in_use, now

    def record_wait(self, wait_s: float, *, granted: bool) -> None:
        """Record the end of a request's wait; 0 s if it got a slot at once."""
        self._granted += granted
        self._denied += not granted
        self._waited += granted and wait_s > 0.0
        self._max_wait_s = max(self._max_wait_s, wait_s)

    def drain(self, now: float) -> SlotUsageSummary:
        """Return the summary since the last call and start a new one."""
        self.set_in_use(self._in_use, now)
        interval_s = now - self._started_at
        summary = SlotUsageSummary(
            mean_in_use=round(self._slot_seconds / interval_s, 2) if interval_s > 0.0 else 0.0,
            granted=self._granted,
            waited=self._waited,
            denied=self._denied,
            max_wait_ms=round(self._max_wait_s * 1000, 1),
        )
        self._reset(now)
        return summary

    def _reset(self, now: float) -> None:
        self._started_at = now
        self._slot_seconds = 0.0
        self._granted = self._waited = self._denied = 0
        self._max_wait_s = 0.0
