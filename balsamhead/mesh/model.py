"""Data types that mesh nodes exchange and store."""

from __future__ import annotations

from balsamhead.mesh._model import (
    MAX_INTEGER,
    Config,
    Crash,
    Departure,
    Directory,
    Limits,
    Load,
    NodeRecord,
    OperatorState,
    Order,
    Phase,
    Refusal,
    Rollout,
    Route,
    RouteKind,
    UpstreamNotice,
    UpstreamRecord,
    UpstreamState,
    WeightedService,
)

__all__ = (
    "MAX_INTEGER",
    "Config",
    "Crash",
    "Departure",
    "Directory",
    "Limits",
    "Load",
    "NodeRecord",
    "OperatorState",
    "Order",
    "Phase",
    "Refusal",
    "Rollout",
    "Route",
    "RouteKind",
    "UpstreamNotice",
    "UpstreamRecord",
    "UpstreamState",
    "WeightedService",
)
