"""Detect that the process did not run for some time."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("PauseDetector", "get_boot_time")

#: shortest time without running that counts as a pause, in s; a busy machine delays a process by
#: less
_MIN_PAUSE_S: Final = 0.5

_BOOT_CLOCK: Final[int] = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def get_boot_time() -> float:
    """Return the time since the machine's start, in s, with the time that it was suspended.

    Without such a clock, it is the monotonic time.
    """
    return time.clock_gettime(_BOOT_CLOCK)


class PauseDetector:
    """Compare two clocks, of which only one goes on while the machine is suspended."""

    def __init__(
        self,
        *,
        get_boot_time: Callable[[], float],
        get_time: Callable[[], float],
        interval_s: float,
    ) -> None:
        """Create a detector.

        :param get_boot_time: returns the time since the machine's start, in s.
        :param get_time: returns the time of the event loop's clock, in s.
        :param interval_s: longest time between two checks of a process that runs.
        """
        self._get_boot_time = get_boot_time
        self._get_time = get_time
        self._interval_s = interval_s
        self._checked_boot_time = get_boot_time()
        self._checked_time = get_time()

    def check(self) -> float:
        """Return how long the process did not run since the last check, in s; 0 if it did."""
        boot_time, now = self._get_boot_time(), self._get_time()
        elapsed_s = boot_time - self._checked_boot_time
        suspended_s = elapsed_s - (now - self._checked_time)
        stopped_s = elapsed_s - self._interval_s
        self._checked_boot_time, self._checked_time = boot_time, now
        pause_s = max(suspended_s, stopped_s)
        return pause_s if pause_s >= _MIN_PAUSE_S else 0.0
