"""Decide to which client account a request belongs, and the priority of its requests."""

from __future__ import annotations

from balsamhead.mesh.accounts._authentication import (
    Authenticated,
    Authentication,
    Denied,
    NoAccountNeeded,
    NotFresh,
    authenticate,
)
from balsamhead.mesh.accounts._index import AccountIndex
from balsamhead.mesh.accounts._priority import compute_account_priority

__all__ = (
    "AccountIndex",
    "Authenticated",
    "Authentication",
    "Denied",
    "NoAccountNeeded",
    "NotFresh",
    "authenticate",
    "compute_account_priority",
)
