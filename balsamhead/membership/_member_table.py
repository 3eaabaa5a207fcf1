"""Store the newest record of each member, with digests by which peers compare their tables."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Final, NamedTuple

import xxhash

from balsamhead.membership._model import Member, MemberStatus, Place

if TYPE_CHECKING:
    from collections.abc import Iterator

    from balsamhead.node import Tables

__all__ = (
    "BUCKETS",
    "MemberChange",
    "MemberTable",
    "RecordVersion",
    "find_bucket",
    "get_record_version",
    "is_gone",
)

#: buckets into which the members are divided when tables are compared
BUCKETS: Final = 64

#: limit on stored members, which bounds the memory if a peer sends invented records
MAX_MEMBERS: Final = 16_384

#: limit on stored records of nodes that are dead or have left
MAX_TOMBSTONES: Final = 4_096

#: precedence of the statuses among records with the same incarnation and sequence
_STATUS_RANKS: Final = {
    MemberStatus.ALIVE: 0,
    MemberStatus.LEAVING: 0,
    MemberStatus.SUSPECT: 1,
    MemberStatus.DEAD: 2,
    MemberStatus.LEFT: 3,
}


class RecordVersion(NamedTuple):
    """Version of a node's record; of two records, the one with the higher version is valid."""

    incarnation: int
    sequence: int
    #: "suspect" and "dead" supersede the record to which they apply
    status_rank: int


class MemberChange(NamedTuple):
    """Record of a node before and after a change; ``old`` is None for a new node."""

    old: Member | None
    new: Member


def get_record_version(member: Member) -> RecordVersion:
    """Return the version of a record."""
    return RecordVersion(member.incarnation, member.sequence, _STATUS_RANKS[member.status])


def is_gone(member: Member) -> bool:
    """Return whether a node is dead or has left."""
    return member.status is MemberStatus.DEAD or member.status is MemberStatus.LEFT


def find_bucket(node: str) -> int:
    """Return the number of the bucket to which a node belongs."""
    value: int = xxhash.xxh3_64_intdigest(node.encode())
    return value % BUCKETS


class MemberTable:
    """Update the table of members; a record is only ever replaced by a newer version."""

    def __init__(self, tables: Tables) -> None:
        self._tables = tables
        self._names_by_bucket: list[set[str]] = [set() for _ in range(BUCKETS)]
        self._digests = [0] * BUCKETS
        #: when the node of each record was found dead or left, oldest first
        self._tombstones: dict[str, float] = {}
        self._places: dict[Place, Place] = {}

    @property
    def digest(self) -> bytes:
        """Return the digest of all records except those of nodes that are dead or left."""
        total = 0
        for number, value in enumerate(self._digests):
            total ^= value * (2 * number + 1)
        return (total & (1 << 64) - 1).to_bytes(8, "big")

    def list_digests(self) -> tuple[bytes, ...]:
        """Return the digests of all buckets, in their order."""
        return tuple(value.to_bytes(8, "big") for value in self._digests)

    def list_bucket(self, bucket: int) -> Iterator[Member]:
        """Return the records of a bucket, ordered by node name."""
        members = self._tables.members
        return (members[name] for name in sorted(self._names_by_bucket[bucket]))

    def merge(self, record: Member, now: float) -> MemberChange | None:
        """Store a record if it is newer; return the change, or None if nothing changed."""
        old = self._tables.members.get(record.node)
        if old is None and len(self._tables.members) >= MAX_MEMBERS:
            return None
        if old is not None and get_record_version(record) <= get_record_version(old):
            return None

        new = self._intern_values(record)
        self._tables.members[new.node] = new
        self._tables.members_revision += 1
        bucket = find_bucket(new.node)
        self._names_by_bucket[bucket].add(new.node)
        if old is not None:
            self._digests[bucket] ^= _compute_digest(old)
        self._digests[bucket] ^= _compute_digest(new)
        self._update_tombstone(new, now)
        return MemberChange(old, new)

    def remove_gone(self, before: float) -> None:
        """Remove the records of nodes that were found dead or left at or before a time in s.

        Beyond ``MAX_TOMBSTONES``, the oldest are removed whatever their age.
        """
        while self._tombstones:
            node, gone_at = next(iter(self._tombstones.items()))
            if gone_at > before and len(self._tombstones) <= MAX_TOMBSTONES:
                return
            del self._tombstones[node]
            del self._tables.members[node]
            self._names_by_bucket[find_bucket(node)].discard(node)
            self._tables.members_revision += 1

    def list_dead(self) -> list[Member]:
        """Return the records of nodes that are dead, without those that left."""
        members = (self._tables.members[node] for node in self._tombstones)
        return [member for member in members if member.status is MemberStatus.DEAD]

    def _update_tombstone(self, member: Member, now: float) -> None:
        self._tombstones.pop(member.node, None)
        if is_gone(member):
            self._tombstones[member.node] = now

    def _intern_values(self, record: Member) -> Member:
        # thousands of records repeat a few places, services and versions; equal ones share memory
        place = self._places.setdefault(record.place, record.place)
        upstream = record.upstream
        if upstream is not None:
            upstream = upstream._replace(
                service=sys.intern(upstream.service), version=sys.intern(upstream.version)
            )
        return record._replace(place=place, upstream=upstream)


def _compute_digest(member: Member) -> int:
    # records of dead and left nodes count as absent, since nodes remove them at different times
    if is_gone(member):
        return 0
    text = f"{member.node}\0{member.incarnation}\0{member.sequence}\0{member.status}"
    value: int = xxhash.xxh3_64_intdigest(text.encode())
    return value
