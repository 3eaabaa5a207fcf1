"""Bound the repeats that this node sends to a service, as its part of the mesh's budget."""

from __future__ import annotations

from collections import deque
from typing import Final

__all__ = ("RetryBudget",)

#: part of the mesh's ratio that a node spends; the rest is for repeats that it can't see
_RATIO_PART: Final = 0.5
#: part of the mesh's slack that its nodes spend together
_SLACK_PART: Final = 0.5


class RetryBudget:
    """Allow repeats by the requests of the last window, service by service."""

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self.configure(ratio=ratio, slack=slack, window_s=window_s)
        self._requests: dict[str, deque[float]] = {}
        self._repeats: dict[str, deque[float]] = {}
        #: nodes that share the slack
        self.nodes = 1

    def configure(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Put the mesh's budget in force."""
        self._ratio = ratio * _RATIO_PART
        self._slack = slack * _SLACK_PART
        self._window_s = window_s

    def count_request(self, service: str, now: float) -> None:
        """Take in a request for a service."""
        self._add(self._requests, service, now)

    def take(self, service: str, now: float, *, part: float = 1.0) -> bool:
        """Take one repeat from the budget; tell whether it was left.

        :param part: part of the budget that may be in use after it, 0 to 1.
        """
        repeats = self._repeats.setdefault(service, deque())
        requests = self._requests.setdefault(service, deque())
        self._expire(repeats, now)
        self._expire(requests, now)
        allowed = self._ratio * len(requests) + self._slack / self.nodes
        if len(repeats) + 1 > allowed * part:
            return False
        repeats.append(now)
        return True

    def _add(self, rows: dict[str, deque[float]], service: str, now: float) -> None:
        times = rows.setdefault(service, deque())
        times.append(now)
        if len(times) % 64 == 0:
            self._expire(times, now)

    def _expire(self, times: deque[float], now: float) -> None:
        while times and times[0] < now - self._window_s:
            times.popleft()
