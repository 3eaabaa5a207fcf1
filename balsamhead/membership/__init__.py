"""Membership of the mesh: its nodes and the upstream on the VM of each node."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from balsamhead.membership._model import Member, MemberStatus, Place, Upstream, UpstreamState
from balsamhead.membership._roles import (
    can_take_calls,
    find_aggregator,
    find_controller,
    find_log_reader,
    find_role_holder,
    is_live,
    list_live,
    list_region,
    rank_border_nodes,
    rank_nodes,
)

if TYPE_CHECKING:
    from balsamhead.membership._context import Timing
    from balsamhead.membership._system import Membership

__all__ = (
    "Member",
    "MemberStatus",
    "Membership",
    "Place",
    "Timing",
    "Upstream",
    "UpstreamState",
    "can_take_calls",
    "find_aggregator",
    "find_controller",
    "find_log_reader",
    "find_role_holder",
    "is_live",
    "list_live",
    "list_region",
    "rank_border_nodes",
    "rank_nodes",
)


def __getattr__(name: str) -> Any:
    # imported lazily: the system imports wire and events, which import the rows of this package
    if name == "Membership":
        from balsamhead.membership._system import Membership

        return Membership
    if name == "Timing":
        from balsamhead.membership._context import Timing

        return Timing
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
