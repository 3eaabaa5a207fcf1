"""Keep moving averages of the time and the failures of an upstream's requests."""

from __future__ import annotations

from typing import Final

from balsamhead.util.moving_mean import MovingMean

__all__ = ("UpstreamStatistics",)

#: weight of a new sample in the mean time of a request
_SAMPLE_WEIGHT: Final = 0.05
#: weight of a new outcome in the failure rate
_FAILURE_WEIGHT: Final = 0.1
#: mean time of a request that is assumed before one was measured, in ms
_DEFAULT_SERVICE_MS: Final = 60.0


class UpstreamStatistics:
    """Mean times and failure rate of the requests of one incarnation."""

    def __init__(self) -> None:
        self._mean_ms = MovingMean(weight=_SAMPLE_WEIGHT, default=_DEFAULT_SERVICE_MS)
        self._route_ms: dict[str, MovingMean] = {}
        #: moving average of the share of requests that failed, were lost or were shed, 0 to 1
        self.failure_rate = 0.0

    @property
    def service_ms(self) -> float:
        """Return the mean time of a request, in ms; a default before one was measured."""
        return self._mean_ms.value

    @property
    def measured_service_ms(self) -> float:
        """Return the mean time of a request, in ms; 0 if none was measured."""
        return self._mean_ms.value if self._mean_ms.count else 0.0

    def get_route_ms(self, route: str) -> float:
        """Return the mean time of a route's requests, in ms; that of all if none was measured."""
        mean_ms = self._route_ms.get(route)
        return self._mean_ms.value if mean_ms is None else mean_ms.value

    def record_time(self, route: str, took_ms: float) -> None:
        """Record the time of a request that got a response, in ms."""
        self._mean_ms.add(took_ms)
        mean_ms = self._route_ms.get(route)
        if mean_ms is None:
            mean_ms = self._route_ms[route] = MovingMean(weight=_SAMPLE_WEIGHT)
        mean_ms.add(took_ms)

    def record_result(self, *, failed: bool) -> None:
        """Record whether a request failed."""
        self.failure_rate += _FAILURE_WEIGHT * (failed - self.failure_rate)
