"""Keep moving averages of the time and the failures of an upstream's requests."""

from __future__ import annotations

from typing import Final

__all__ = ("UpstreamStatistics",)

#: weight of a new sample in the mean time of a request
_SAMPLE_WEIGHT: Final = 0.05
#: weight of a new outcome in the failure rate
_FAILURE_WEIGHT: Final = 0.1
#: mean time of a request that is assumed before one was measured, in ms
_DEFAULT_SERVICE_MS: Final = 60.0


class UpstreamStatistics:
    """Mean time and failure rate of the requests of one incarnation."""

    def __init__(self) -> None:
        #: mean time of a request, in ms; a default before one was measured
        self.service_ms = _DEFAULT_SERVICE_MS
        #: moving average of the share of requests that failed, were lost or were shed, 0 to 1
        self.failure_rate = 0.0
        self._sample_count = 0

    @property
    def measured_service_ms(self) -> float:
        """Return the mean time of a request, in ms; 0 if none was measured."""
        return self.service_ms if self._sample_count else 0.0

    def record_time(self, took_ms: float) -> None:
        """Record the time of a request that got a response, in ms."""
        self._sample_count += 1
        weight = max(_SAMPLE_WEIGHT, 1.0 / self._sample_count)
        self.service_ms += weight * (took_ms - self.service_ms)

    def record_result(self, *, failed: bool) -> None:
        """Record whether a request failed."""
        self.failure_rate += _FAILURE_WEIGHT * (failed - self.failure_rate)
