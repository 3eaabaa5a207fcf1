"""Assign shared roles to live members by rendezvous hashing."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from balsamhead.membership._model import Member, MemberStatus, UpstreamState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamhead.node import Tables

__all__ = (
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


def is_live(member: Member) -> bool:
    """Return whether a node is alive or only suspected to have failed."""
    return member.status is MemberStatus.ALIVE or member.status is MemberStatus.SUSPECT


def can_take_calls(member: Member) -> bool:
    """Return whether new calls may go to the upstream on a node's VM."""
    return (
        member.status is MemberStatus.ALIVE
        and member.upstream is not None
        and member.upstream.state is UpstreamState.READY
    )


def list_live(tables: Tables) -> list[Member]:
    """Return the live members."""
    return [member for member in tables.members.values() if is_live(member)]


def list_region(members: Iterable[Member], region: str) -> list[Member]:
    """Return the live members of a region."""
    return [member for member in members if member.place.region == region and is_live(member)]


def rank_nodes(key: str, members: Iterable[Member]) -> list[str]:
    """Return the names of the live members, ranked by rendezvous hashing for a key.

    All nodes with the same members compute the same order, and the loss of a member does not
    change the order of the others.
    """
    seed = _hash(key, 0)
    names = [member.node for member in members if is_live(member)]
    names.sort(key=lambda name: (_hash(name, seed), name), reverse=True)
    return names


def find_role_holder(key: str, members: Iterable[Member]) -> str:
    """Return the live member that ranks first for a key; empty when no member is live."""
    seed = _hash(key, 0)
    names = (member.node for member in members if is_live(member))
    return max(names, key=lambda name: (_hash(name, seed), name), default="")


def find_log_reader(members: Iterable[Member], region: str) -> str:
    """Return the node that reads the log for a region; empty when none is live."""
    return find_role_holder(f"log-reader/{region}", list_region(members, region))


def find_controller(members: Iterable[Member], service: str) -> str:
    """Return the node that controls the rollouts of a service; empty when none is live."""
    return find_role_holder(f"controller/{service}", members)


def find_aggregator(members: Iterable[Member], data_centre: str) -> str:
    """Return the node that aggregates the reports of a data centre; empty when none is live."""
    candidates = (member for member in members if member.place.data_centre == data_centre)
    return find_role_holder(f"aggregator/{data_centre}", candidates)


def rank_border_nodes(members: Iterable[Member], region: str, other: str) -> list[str]:
    """Return a region's live nodes, ranked for holding its links to another region."""
    return rank_nodes(f"border/{region}/{other}", list_region(members, region))


def _hash(text: str, seed: int) -> int:
    value: int = xxhash.xxh3_64_intdigest(text.encode(), seed)
    return value
