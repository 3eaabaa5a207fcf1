"""Tell how much of its time a caller has spent on earlier attempts at the same request."""

from __future__ import annotations

from typing import Final

__all__ = ("SpentTime",)

#: part of the difference by which the usual deadline follows a shorter one
_FOLLOW: Final = 0.002


class SpentTime:
    """Follow the deadline that a route's callers usually give; a shorter one has been at work.

    A caller that comes back names what is left of its time, and its objective counts from its
    first attempt.
    """

    def __init__(self) -> None:
        self._usual_s: dict[str, float] = {}

    def estimate(self, route: str, deadline_s: float) -> float:
        """Take in a request's deadline and return the time spent before it, in s."""
        usual_s = self._usual_s.get(route, deadline_s)
        if deadline_s >= usual_s:
            self._usual_s[route] = deadline_s
            return 0.0
        self._usual_s[route] = usual_s - _FOLLOW * (usual_s - deadline_s)
        return usual_s - deadline_s
