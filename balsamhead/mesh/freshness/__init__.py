"""Decide whether a node's configuration is known to have been the newest a short time ago."""

from __future__ import annotations

from balsamhead.mesh.freshness._lease import FRESHNESS_MARGIN_S, FreshnessLease, Proof

__all__ = ("FRESHNESS_MARGIN_S", "FreshnessLease", "Proof")
