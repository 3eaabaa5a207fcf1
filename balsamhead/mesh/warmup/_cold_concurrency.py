"""Combine the rate limits that hold for an upstream as its callers see it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamhead.mesh.model import ColdStart

__all__ = ("get_cold_limit",)


def get_cold_limit(cold_start: ColdStart, *, limit_per_s: float | None) -> float:
    """Return the lower one of what an upstream takes while cold and its own limit.

    :param limit_per_s: limit that the upstream has set itself, in requests per s; None for none.
    :returns: requests per s.
    """
    return cold_start.rate_per_s if limit_per_s is None else min(cold_start.rate_per_s, limit_per_s)
