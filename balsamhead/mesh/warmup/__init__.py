"""Limit the requests that an upstream gets while it is cold, or may be."""

from balsamhead.mesh.warmup._cold_admission import ColdAdmission, ColdReason
from balsamhead.mesh.warmup._cold_concurrency import get_cold_limit
from balsamhead.mesh.warmup._loss_signs import LossSigns

__all__ = ("ColdAdmission", "ColdReason", "LossSigns", "get_cold_limit")
