"""Raise the priority of requests that are starved by others at the same service."""

from __future__ import annotations

from typing import Final

__all__ = ("PriorityFairness",)

#: fraction of the best-served priority's share below which a priority is raised, 0 to 1
_STARVATION_RATIO: Final = 0.35
#: weight of a new request in the moving average of the share that is served
_SAMPLE_WEIGHT: Final = 0.1
#: priority that goes before all others
_TOP_PRIORITY: Final = 0


class PriorityFairness:
    """Track the share of requests that is served, by service and priority."""

    def __init__(self) -> None:
        self._served_shares: dict[str, dict[int, float]] = {}

    def record(self, service: str, priority: int, *, served: bool) -> None:
        """Record whether a request with the given route priority was served."""
        shares = self._served_shares.setdefault(service, {})
        share = shares.get(priority, 1.0)
        shares[priority] = share + _SAMPLE_WEIGHT * (served - share)

    def is_urgent(self, service: str, priority: int) -> bool:
        """Return whether requests with a lower priority have been sent to the same service."""
        return any(other > priority for other in self._served_shares.get(service, ()))

    def is_starved(self, service: str, priority: int) -> bool:
        """Return whether requests of a priority are served far less often than others."""
        shares = self._served_shares.get(service)
        if shares is None or len(shares) < 2:
            return False
        return shares.get(priority, 1.0) < _STARVATION_RATIO * max(shares.values())

    def get_effective_priority(
        self, service: str, priority: int, *, priorities_per_account: int | None = None
    ) -> int:
        """Return the priority for the next request: its own, or the highest if it is starved.

        :param priorities_per_account: priorities of routes within one of an account, which is not
            left; None if there are no accounts.
        """
        if not self.is_starved(service, priority):
            return priority
        if priorities_per_account is None:
            return _TOP_PRIORITY
        return priority - priority % priorities_per_account
