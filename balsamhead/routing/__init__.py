"""Route each call: match its route, pick a service version and balance over upstreams."""

from __future__ import annotations

from balsamhead.routing._admission import Admission, AdmissionConfig
from balsamhead.routing._balance import SLOW_START_S, Load, Spillover, choose_upstream
from balsamhead.routing._breaker import VersionBreaker
from balsamhead.routing._call import (
    MAX_ATTEMPTS,
    AttemptOutcome,
    Call,
    CallPolicy,
    PassThrough,
    Retry,
    RetryBudget,
)
from balsamhead.routing._match import Match, RouteTable
from balsamhead.routing._refusal import REFUSALS, Outcome, Refusal, RefusalKind, make_refusal
from balsamhead.routing._snapshot import (
    TIER_COUNT,
    Endpoint,
    ServiceRoutes,
    Snapshot,
    VersionEndpoints,
    VersionShare,
    build_snapshot,
    pick_version,
)
from balsamhead.routing._subset import (
    MIN_SUBSET_SIZE,
    compute_connection_budget,
    rank_by_rendezvous,
    select_subset,
)

__all__ = (
    "MAX_ATTEMPTS",
    "MIN_SUBSET_SIZE",
    "REFUSALS",
    "SLOW_START_S",
    "TIER_COUNT",
    "Admission",
    "AdmissionConfig",
    "AttemptOutcome",
    "Call",
    "CallPolicy",
    "Endpoint",
    "Load",
    "Match",
    "Outcome",
    "PassThrough",
    "Refusal",
    "RefusalKind",
    "Retry",
    "RetryBudget",
    "RouteTable",
    "ServiceRoutes",
    "Snapshot",
    "Spillover",
    "VersionBreaker",
    "VersionEndpoints",
    "VersionShare",
    "build_snapshot",
    "choose_upstream",
    "compute_connection_budget",
    "make_refusal",
    "pick_version",
    "rank_by_rendezvous",
    "select_subset",
)
