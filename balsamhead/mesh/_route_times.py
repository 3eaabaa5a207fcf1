"""Estimate how long the requests of a route take, relative to all requests at an upstream."""

from __future__ import annotations

from typing import Final

from balsamhead.util.moving_mean import MovingMean

__all__ = ("RouteTimes",)

#: weight of a new sample in the mean times
_SAMPLE_WEIGHT: Final = 0.05
#: number of samples from which a ratio is used
_MIN_SAMPLES: Final = 5


class _Times:
    __slots__ = ("service_ms", "took_ms")

    def __init__(self) -> None:
        #: time of the requests that did not wait for a slot, at an upstream of average speed
        self.took_ms = MovingMean(weight=_SAMPLE_WEIGHT)
        #: mean time of all requests at the selected upstreams
        self.service_ms = MovingMean(weight=_SAMPLE_WEIGHT)


class RouteTimes:
    """Times of the requests of each route that did not wait for a slot.

    An upstream that serves several routes reports the mean time of all its requests. The ratio of
    a route's time to that mean tells what to expect of its next request, also at an upstream that
    is faster or slower than others. The mean moves with the mix of requests, so it is recorded for
    each request; the time of a request that waited says little.
    """

    def __init__(self) -> None:
        self._times: dict[str, _Times] = {}

    def record_selection(self, route: str, service_ms: float) -> None:
        """Record that an upstream was selected for a request.

        :param service_ms: mean time of all requests there, in ms; 0 if unknown.
        """
        if service_ms > 0.0:
            self._times.setdefault(route, _Times()).service_ms.add(service_ms)

    def record_time(self, route: str, took_ms: float, service_ms: float) -> None:
        """Record the time of a request that did not wait for a slot.

        :param service_ms: mean time of all requests at its upstream, in ms; 0 if unknown.
        """
        times = self._times.get(route)
        if times is None or service_ms <= 0.0 or not times.service_ms.count:
            return
        times.took_ms.add(took_ms * times.service_ms.value / service_ms)

    def get_ratio(self, route: str) -> float:
        """Return the ratio of the route's time to the mean of all requests; 1 if unknown."""
        times = self._times.get(route)
        if times is None or min(times.took_ms.count, times.service_ms.count) < _MIN_SAMPLES:
            return 1.0
        return times.took_ms.value / times.service_ms.value
