"""Estimate how much time a caller has already spent on earlier attempts at the same request."""

from __future__ import annotations

from typing import Final

__all__ = ("PriorAttemptTime",)

#: smoothing factor with which the usual deadline of a route approaches shorter ones
_SMOOTHING: Final = 0.002


class PriorAttemptTime:
    """Track the usual deadline of each route; a shorter one is taken as a sign of a retry.

    A caller that retries sends the time it has left as the deadline, but its latency objective
    counts from the first attempt.
    """

    def __init__(self) -> None:
        self._usual_deadlines_s: dict[str, float] = {}

    def estimate(self, route: str, deadline_s: float) -> float:
        """Record the deadline of a request and return the time spent on earlier attempts, in s."""
        usual_deadline_s = self._usual_deadlines_s.get(route, deadline_s)
        if deadline_s >= usual_deadline_s:
            self._usual_deadlines_s[route] = deadline_s
            return 0.0
        self._usual_deadlines_s[route] = usual_deadline_s - _SMOOTHING * (
            usual_deadline_s - deadline_s
        )
        return usual_deadline_s - deadline_s
