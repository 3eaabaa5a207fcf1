"""Tell nested calls from new requests at the upstream of this VM, and limit the latter."""

from __future__ import annotations

import asyncio
import logging
import math
from typing import TYPE_CHECKING, Final

from balsamhead.mesh.admission import (
    CALLED_SERVICE_BUSY,
    NESTED_PRIORITY,
    CalledServices,
    NestedRoutes,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamhead.mesh._calls import Call
    from balsamhead.mesh._metrics import MeshMetrics

__all__ = ("NestedCallLimit",)

logger = logging.getLogger(__name__)

#: shortest interval between two log lines on refusals for lack of room at called services, in s
_BUSY_LOG_INTERVAL_S: Final = 1.0


class NestedCallLimit:
    """Limit the new requests that run while the services which the upstream calls have no room."""

    def __init__(
        self,
        *,
        count_slots: Callable[[], int],
        count_running_limited: Callable[[], int],
        metrics: MeshMetrics,
    ) -> None:
        """Create a limit that has learned nothing yet.

        :param count_slots: returns the number of slots; 0 while no request may start.
        :param count_running_limited: returns the number of slots that limited requests use.
        """
        self._count_slots = count_slots
        self._count_running_limited = count_running_limited
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._busy_logged_at = -math.inf
        #: services that the upstream calls, and the limit of new requests that follows from them
        self.called_services = CalledServices()
        #: routes whose requests are calls that upstreams make while they run others
        self.nested_routes = NestedRoutes()

    def classify(self, call: Call) -> Call:
        """Record the caller of a call, and give the call precedence if it is nested."""
        now = self._loop.time()
        self.nested_routes.record(call.route, call.caller_service, now)
        if call.nested or self.nested_routes.is_nested(call.route, now):
            return call._replace(nested=True, priority=NESTED_PRIORITY)
        return call

    def is_limited(self, call: Call) -> bool:
        """Return whether the limit of new requests applies to a call."""
        return not call.nested and self.called_services.is_calling(call.route)

    def get_new_limit(self) -> float:
        """Return how many requests of calling routes may run at once; infinite for no limit."""
        return self.called_services.get_limit(self._count_slots(), self._loop.time())

    def describe_new_limit(self) -> dict[str, float]:
        """Return the limit of new requests, if there is one, by the called service behind it."""
        slots, now = self._count_slots(), self._loop.time()
        service, limit = self.called_services.describe(slots, now)
        return {} if limit == math.inf else {service: limit}

    def record_nested_call(self, service: str, *, failed: bool) -> None:
        """Record the end of a call that the upstream made while it ran a request."""
        self.called_services.record_outcome(
            service,
            failed=failed,
            running=self._count_running_limited(),
            slots=self._count_slots(),
            now=self._loop.time(),
        )

    def record_refusal(self, call: Call) -> str:
        """Count and log the refusal of a call for lack of room at a called service.

        :returns: the code of the refusal.
        """
        service, limit = self.called_services.describe(self._count_slots(), self._loop.time())
        self._metrics.count("called_service_busy", service)
        if self._loop.time() - self._busy_logged_at >= _BUSY_LOG_INTERVAL_S:
            self._busy_logged_at = self._loop.time()
            logger.info(
                "called-service-busy",
                extra={
                    "id": call.request_id.decode("latin-1"),
                    "route": call.route,
                    "called": service,
                    "limit": round(limit, 2),
                    "running": self._count_running_limited(),
                },
            )
        return CALLED_SERVICE_BUSY
