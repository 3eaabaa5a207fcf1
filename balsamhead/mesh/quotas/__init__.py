"""Quotas of client accounts, which hold over all nodes together."""

from __future__ import annotations

from balsamhead.mesh.quotas._bucket import TokenBucket
from balsamhead.mesh.quotas._followers import Followers
from balsamhead.mesh.quotas._owner import Grant, QuotaOwner, compute_share
from balsamhead.mesh.quotas._share import ANSWER_TIMEOUT_S, TERM_S, QuotaShare

__all__ = (
    "ANSWER_TIMEOUT_S",
    "TERM_S",
    "Followers",
    "Grant",
    "QuotaOwner",
    "QuotaShare",
    "TokenBucket",
    "compute_share",
)
