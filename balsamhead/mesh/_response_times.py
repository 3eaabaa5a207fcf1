"""Estimate how long the requests of each route take until the response is complete."""

from __future__ import annotations

from typing import Final

__all__ = ("ResponseTimes",)

#: weights of a new sample in the mean and in the mean deviation, as for the retransmission
#: timeout of TCP (RFC 6298)
_MEAN_WEIGHT: Final = 1 / 8
_DEVIATION_WEIGHT: Final = 1 / 4
#: number of mean deviations above the mean that few requests exceed
_DEVIATIONS: Final = 4


class _Estimate:
    __slots__ = ("deviation_s", "mean_s")

    def __init__(self, sample_s: float) -> None:
        self.mean_s = sample_s
        self.deviation_s = sample_s / 2


class ResponseTimes:
    """Mean and mean deviation of the time until the last byte of a response, by route."""

    def __init__(self) -> None:
        self._estimates: dict[str, _Estimate] = {}

    def record(self, route: str, took_s: float) -> None:
        """Record the time of a request, in s."""
        estimate = self._estimates.get(route)
        if estimate is None:
            self._estimates[route] = _Estimate(took_s)
            return
        error_s = took_s - estimate.mean_s
        estimate.deviation_s += _DEVIATION_WEIGHT * (abs(error_s) - estimate.deviation_s)
        estimate.mean_s += _MEAN_WEIGHT * error_s

    def get_upper_bound(self, route: str) -> float:
        """Return a time that few requests exceed, in s; 0 if none has been recorded."""
        estimate = self._estimates.get(route)
        return 0.0 if estimate is None else estimate.mean_s + _DEVIATIONS * estimate.deviation_s
