"""Render times in readable form and parse durations."""

from __future__ import annotations

import re
from datetime import UTC, datetime
from typing import Final

__all__ = ("DURATION_PATTERN", "parse_duration", "render_time")

#: regular expression of a duration: a number and its unit, such as "1500ms" or "2.5s"
DURATION_PATTERN: Final = r"([0-9]{1,12}(?:\.[0-9]{1,12})?)(ms|s)"


def parse_duration(text: str) -> float:
    """Parse a duration and return it in s.

    :raises ValueError: the text does not match ``DURATION_PATTERN``.
    """
    found = re.fullmatch(DURATION_PATTERN, text)
    if found is None:
        raise ValueError(f"{text!r} is not a duration, such as '1500ms' or '2.5s'")
    return float(found[1]) * (0.001 if found[2] == "ms" else 1.0)


def render_time(seconds: float) -> str:
    """Render a time in s since the epoch as a date-time in UTC.

    Returns "none" for 0, and the plain number for a time that has no date.
    """
    if seconds == 0:
        return "none"
    try:
        return datetime.fromtimestamp(seconds, tz=UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
    except (OverflowError, OSError, ValueError):
        return f"{seconds:g}"
