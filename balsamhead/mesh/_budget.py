"""Limit the retries that this node sends to a service to its part of the mesh's retry budget."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("RetryBudget",)

#: fraction of the mesh's retry ratio that each node uses; the rest is left for retries that the
#: node can't see
_NODE_RATIO_FRACTION: Final = 0.5
#: fraction of the mesh's retry slack that all nodes use together
_NODE_SLACK_FRACTION: Final = 0.5


class RetryBudget:
    """Allow retries in proportion to the requests of a sliding window, per service."""

    def __init__(
        self, *, ratio: float, slack: float, window_s: float, count_nodes: Callable[[], int]
    ) -> None:
        """Create the budget of a node.

        :param count_nodes: returns the number of nodes that share the slack. Nodes that can't be
            reached count as well: they may be at work in another part of a divided mesh.
        """
        self.configure(ratio=ratio, slack=slack, window_s=window_s)
        self._count_nodes = count_nodes
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def configure(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Apply the budget of the mesh.

        :param ratio: retries allowed per request of the window.
        :param slack: additional retries that the whole mesh may send in a window.
        :param window_s: length of the sliding window, in s.
        """
        self._ratio = ratio * _NODE_RATIO_FRACTION
        self._slack = slack * _NODE_SLACK_FRACTION
        self._window_s = window_s

    def record_request(self, service: str, now: float) -> None:
        """Record a request for a service."""
        self._append_time(self._requests, service, now)

    def try_acquire(self, service: str, now: float, *, fraction: float = 1.0) -> bool:
        """Use one retry of the budget and return whether it was available.

        :param fraction: fraction of the budget that may be in use afterwards, 0 to 1.
        """
        retries = self._retries.setdefault(service, deque())
        requests = self._requests.setdefault(service, deque())
        self._expire(retries, now)
        self._expire(requests, now)
        allowed = self._ratio * len(requests) + self._slack / self._count_nodes()
        if len(retries) + 1 > allowed * fraction:
            return False
        retries.append(now)
        return True

    def _append_time(
        self, times_by_service: dict[str, deque[float]], service: str, now: float
    ) -> None:
        times = times_by_service.setdefault(service, deque())
        times.append(now)
        if len(times) % 64 == 0:
            self._expire(times, now)

    def _expire(self, times: deque[float], now: float) -> None:
        while times and times[0] < now - self._window_s:
            times.popleft()
