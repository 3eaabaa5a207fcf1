"""Provide a wall clock that never runs backwards."""

from __future__ import annotations

import time
from typing import Final

__all__ = ("Clock",)

#: largest rate at which the clock is slewed towards the system clock, in s per s
MAX_SLEW_RATE: Final = 0.01


class Clock:
    """Clock since the epoch that follows corrections of the system clock gradually."""

    def __init__(self) -> None:
        self._origin = time.time() - time.monotonic()
        self._adjusted_at = time.monotonic()

    def get_now(self) -> float:
        """Return the current time, in s since the epoch."""
        return self._origin + time.monotonic()

    def adjust(self) -> None:
        """Slew the clock towards the system clock, slowly enough that time never runs backwards."""
        monotonic = time.monotonic()
        error = time.time() - monotonic - self._origin
        bound = MAX_SLEW_RATE * (monotonic - self._adjusted_at)
        self._origin += max(-bound, min(bound, error))
        self._adjusted_at = monotonic
