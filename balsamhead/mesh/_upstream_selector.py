"""Select the upstream for a caller's request, or refuse it at once if none can serve it in time."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final

from balsamhead.mesh._caller_crash_view import fingerprint_request
from balsamhead.mesh._calls import Refused
from balsamhead.mesh._queue_timeout import SERVICE_TIME_MARGIN, compute_max_wait
from balsamhead.mesh._request_trace import Decision, RequestTrace
from balsamhead.mesh._route_times import RouteTimes
from balsamhead.mesh._selection import Candidate, Selection, select_upstream
from balsamhead.mesh.admission import compute_nested_wait
from balsamhead.mesh.model import Route, RouteKind

if TYPE_CHECKING:
    import random

    from balsamhead.mesh._caller_crash_view import CallerCrashView
    from balsamhead.mesh._request_reader import Request
    from balsamhead.mesh._traffic_split import TrafficSplit
    from balsamhead.mesh._upstream_index import UpstreamIndex
    from balsamhead.mesh.residency import Regions

__all__ = ("STOPPING_RETRY_AFTER_S", "UpstreamSelector")

logger = logging.getLogger(__name__)

#: weight of a new sample in the mean size of a route's requests and responses
_SIZE_WEIGHT: Final = 0.05
#: size of a request with its response that is assumed before one was measured, in bytes
_DEFAULT_SIZE: Final = 1200.0
_DEFAULT_BULK_SIZE: Final = 100_000.0
#: bytes that headers and frames add to a call between nodes
_OVERHEAD_BYTES: Final = 600.0
#: Retry-After while the node stops, in s; short, since another node can take the request at once
STOPPING_RETRY_AFTER_S: Final = 0.02


class UpstreamSelector:
    """Select upstreams from their load, and from the sizes and times of each route's requests."""

    def __init__(
        self,
        *,
        upstream_index: UpstreamIndex,
        traffic_split: TrafficSplit,
        crash_view: CallerCrashView,
        rng: random.Random,
    ) -> None:
        self._upstream_index = upstream_index
        self._traffic_split = traffic_split
        self._crash_view = crash_view
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._mean_sizes: dict[str, float] = {}
        #: times of the requests of each route
        self.route_times = RouteTimes()
        #: when the node stops, in s of the loop's clock; None if it doesn't
        self.stop_deadline: float | None = None

    def set_even(self, even: bool) -> None:
        """Spread calls evenly from now on, or select the least expected time.

        :param even: see ``balsamhead.mesh.balancing``.
        """
        if even != self._upstream_index.even:
            logger.info("load-balancing-changed", extra={"mode": "even" if even else "least-wait"})
            self._upstream_index.even = even

    def is_even(self) -> bool:
        """Return whether calls are spread evenly."""
        return self._upstream_index.even

    def record_size(self, route: Route, size_bytes: int) -> None:
        """Record the size of a request with its response."""
        mean_size = self._mean_sizes.get(route.name, float(size_bytes))
        self._mean_sizes[route.name] = mean_size + _SIZE_WEIGHT * (size_bytes - mean_size)

    def select(
        self,
        request: Request,
        route: Route,
        service: str,
        *,
        excluded: set[str],
        deadline: float,
        trace: RequestTrace,
    ) -> Selection | Refused:
        """Return the upstream to send a request to, and the wait for a slot to expect there.

        :param excluded: names of the nodes that are left out.
        :param deadline: deadline of the request, in s of the loop's clock.
        """
        now = self._loop.time()
        regions = self._upstream_index.placement.get_regions(route.name, trace.account)
        if not self._upstream_index.count_by_version(service, now, regions):
            return Refused(*self._upstream_index.explain_absence(service, regions))
        candidates = self._list_candidates(request, route, service, excluded, trace, now, regions)
        selection = select_upstream(
            candidates,
            kind=route.kind,
            size_bytes=self._estimate_size(route),
            rng=self._rng,
            may_leave_region=self._upstream_index.may_leave_region(service, regions, now),
            even=self._upstream_index.even,
        )
        if selection is None:
            return Refused("upstreams-excluded")
        remaining_ms = (deadline - now) * 1000
        expected_ms = selection.candidate.request_ms * SERVICE_TIME_MARGIN
        if self.stop_deadline is not None and remaining_ms < expected_ms:
            return Refused("node-stopping", STOPPING_RETRY_AFTER_S)
        max_wait_ms = compute_max_wait(
            objective_ms=(trace.objective_deadline - now) * 1000,
            queue_timeout_ms=(trace.queue_deadline - now) * 1000,
            remaining_ms=remaining_ms,
            service_ms=selection.candidate.request_ms,
            bound_by_objective=selection.candidate.saturated and not trace.urgent,
        )
        if trace.nested:
            request_ms = selection.candidate.request_ms
            max_wait_ms = compute_nested_wait(remaining_ms=remaining_ms, service_ms=request_ms)
        trace.last_decision = Decision(selection, max_wait_ms, len(candidates))
        too_long = selection.wait_ms > max(max_wait_ms, 0.0) and selection.wait_ms > 0
        if too_long and not trace.starved:
            return Refused("upstreams-busy", min(selection.wait_ms / 1000, remaining_ms / 3000))
        return selection

    def _estimate_size(self, route: Route) -> float:
        """Return the expected size of a call with its response, in bytes."""
        default = _DEFAULT_BULK_SIZE if route.kind is RouteKind.BULK else _DEFAULT_SIZE
        return self._mean_sizes.get(route.name, default) + _OVERHEAD_BYTES

    def _list_candidates(
        self,
        request: Request,
        route: Route,
        service: str,
        excluded: set[str],
        trace: RequestTrace,
        now: float,
        regions: Regions,
    ) -> list[Candidate]:
        versions = self._upstream_index.count_by_version(service, now, regions)
        allowed = self._traffic_split.select_versions(service, versions)
        if self._crash_view.is_on_trial(request):
            return self._upstream_index.list_trial_candidates(
                service,
                allowed,
                fingerprint_request(request),
                excluded=excluded,
                priority=route.priority,
                now=now,
                regions=regions,
            )
        return self._upstream_index.list_candidates(
            service,
            allowed,
            excluded=excluded,
            priority=route.priority,
            objective_ms=(trace.objective_deadline - now) * 1000,
            time_ratio=self.route_times.get_ratio(route.name),
            prefer_nearby=route.kind is RouteKind.BULK,
            now=now,
            regions=regions,
            may_yield=route.kind is not RouteKind.BULK and not route.large_requests,
        )
