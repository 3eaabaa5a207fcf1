"""Replicate the accepted configuration from the log to every node."""

from __future__ import annotations

from balsamhead.distribution._resource import compute_manifest_digest, join_state, split_state
from balsamhead.distribution._system import Distribution

__all__ = ("Distribution", "compute_manifest_digest", "join_state", "split_state")
