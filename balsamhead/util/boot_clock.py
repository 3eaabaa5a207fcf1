"""Read a clock that runs on while the process is paused or the machine is suspended."""

from __future__ import annotations

import time
from typing import Final

__all__ = ("read_boot_time",)

_CLOCK: Final = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def read_boot_time() -> float:
    """Return the time since the machine started, in s; steps of the wall clock don't affect it."""
    return time.clock_gettime(_CLOCK)
