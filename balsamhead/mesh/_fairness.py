"""Raise the rank of requests of which far fewer are served than of others at the same service."""

from __future__ import annotations

from typing import Final

__all__ = ("RankFairness",)

#: part of the best served rank's share from which a rank is raised, 0 to 1
_LEAST_PART: Final = 0.35
#: weight of a new request in the share that is served
_WEIGHT: Final = 0.1
#: rank that goes before all others
_HIGHEST: Final = 0


class RankFairness:
    """Follow which share of each rank's requests is served, service by service."""

    def __init__(self) -> None:
        self._served: dict[str, dict[int, float]] = {}

    def record(self, service: str, rank: int, *, served: bool) -> None:
        """Take in what became of a request with a rank of its route."""
        shares = self._served.setdefault(service, {})
        share = shares.get(rank, 1.0)
        shares[rank] = share + _WEIGHT * (served - share)

    def is_urgent(self, service: str, rank: int) -> bool:
        """Answer whether requests with a lesser rank go to the service too."""
        return any(other > rank for other in self._served.get(service, ()))

    def get_rank(self, service: str, rank: int) -> int:
        """Return the rank that the next request gets."""
        shares = self._served.get(service)
        if shares is None or len(shares) < 2:
            return rank
        starved = shares.get(rank, 1.0) < _LEAST_PART * max(shares.values())
        return _HIGHEST if starved else rank
