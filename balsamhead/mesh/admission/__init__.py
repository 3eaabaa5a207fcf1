"""Decisions about admission under overload."""

from __future__ import annotations

from balsamhead.mesh.admission._called_services import (
    CALLED_SERVICE_BUSY,
    CalledServices,
    is_late,
    shows_lack_of_room,
)
from balsamhead.mesh.admission._nested_routes import (
    ANNOUNCE_INTERVAL_S,
    NESTED_PRIORITY,
    NestedRoutes,
    compute_nested_wait,
)
from balsamhead.mesh.admission._queue import (
    AdmissionQueue,
    QueuedRequest,
)
from balsamhead.mesh.admission._terms import has_demanding_terms
from balsamhead.mesh.admission._tried_nodes import TriedNodes

__all__ = (
    "ANNOUNCE_INTERVAL_S",
    "CALLED_SERVICE_BUSY",
    "NESTED_PRIORITY",
    "AdmissionQueue",
    "CalledServices",
    "NestedRoutes",
    "QueuedRequest",
    "TriedNodes",
    "compute_nested_wait",
    "has_demanding_terms",
    "is_late",
    "shows_lack_of_room",
)
