"""Detect that the process did not run for some time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("PauseDetector",)

#: shortest time without running that counts as a pause, in s; a busy machine delays a process by
#: less
_MIN_PAUSE_S: Final = 0.5


class PauseDetector:
    """Compare two clocks, of which only one goes on while the machine is suspended."""

    def __init__(
        self,
        *,
        read_boot_time: Callable[[], float],
        get_time: Callable[[], float],
        interval_s: float,
    ) -> None:
        """Create a detector.

        :param read_boot_time: returns a clock that runs on while the machine is suspended, in s.
        :param get_time: returns the time of the event loop's clock, in s.
        :param interval_s: longest time between two checks of a process that runs.
        """
        self._read_boot_time = read_boot_time
        self._get_time = get_time
        self._interval_s = interval_s
        self._checked_boot_time = read_boot_time()
        self._checked_time = get_time()

    def check(self) -> float:
        """Return how long the process did not run since the last check, in s; 0 if it did."""
        boot_time, now = self._read_boot_time(), self._get_time()
        elapsed_s = boot_time - self._checked_boot_time
        suspended_s = elapsed_s - (now - self._checked_time)
        stopped_s = elapsed_s - self._interval_s
        self._checked_boot_time, self._checked_time = boot_time, now
        pause_s = max(suspended_s, stopped_s)
        return pause_s if pause_s >= _MIN_PAUSE_S else 0.0
