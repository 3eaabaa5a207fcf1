"""Decide in which regions a request may be served, and which requests leave a crowded region."""

from __future__ import annotations

from balsamhead.mesh.residency._absence import Absence, explain_absence
from balsamhead.mesh.residency._regions import Regions, Residency, is_region_allowed
from balsamhead.mesh.residency._yielding import (
    UpstreamRoom,
    compute_utilisation,
    compute_yield_probability,
    list_yielding,
)

__all__ = (
    "Absence",
    "Regions",
    "Residency",
    "UpstreamRoom",
    "compute_utilisation",
    "compute_yield_probability",
    "explain_absence",
    "is_region_allowed",
    "list_yielding",
)
