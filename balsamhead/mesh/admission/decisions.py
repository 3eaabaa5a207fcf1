"""Decisions about admission under overload."""

from __future__ import annotations

from balsamhead.mesh.admission._nested_routes import (
    ANNOUNCE_INTERVAL_S,
    NESTED_PRIORITY,
    NestedRoutes,
    compute_nested_wait,
)
from balsamhead.mesh.admission._terms import has_demanding_terms

__all__ = (
    "ANNOUNCE_INTERVAL_S",
    "NESTED_PRIORITY",
    "NestedRoutes",
    "compute_nested_wait",
    "has_demanding_terms",
)
