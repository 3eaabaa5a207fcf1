"""Select the nodes that read the operator's records from the store for all others."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Final

from balsamhead.mesh._peers import hash_name

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from balsamhead.mesh._peers import Peer

__all__ = ("ReaderSelection", "count_failed", "is_store_near")

#: number of nodes that read the operator's records from the store
_READER_COUNT: Final = 2
#: number of nodes without contact to the store for each of which another node reads more
_FAILED_NODES_PER_READER: Final = 2
_MAX_ADDITIONAL_READERS: Final = 2
#: round trip up to which a node counts as near the store, in s; less than that of a border between
#: regions
_MAX_NEAR_ROUND_TRIP_S: Final = 0.012
#: number of nodes that ask the readers when the operator's state was last known to be the newest,
#: and are asked by all others; about the square root of the largest mesh
_MAX_SOURCES: Final = 64


def is_store_near(round_trip_s: float) -> bool:
    """Return whether a node with this round trip to the store is near it.

    :param round_trip_s: in s; infinite if it is unknown.
    """
    return round_trip_s <= _MAX_NEAR_ROUND_TRIP_S


def count_failed(peers: Iterable[Peer]) -> int:
    """Count the peers without contact to the store."""
    return sum(peer.store_failed for peer in peers)


class ReaderSelection:
    """Rank this node among its live peers as a reader.

    Nodes near the store come first, since what they read crosses no border; among equals, the
    order is that of rendezvous hashing.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name

    def is_reader(self, peers: Collection[Peer], *, store_near: bool) -> bool:
        """Return whether this node reads from the store.

        :param peers: live peers that don't stop.
        :param store_near: this node is near the store.
        """
        additional = count_failed(peers) // _FAILED_NODES_PER_READER
        count = _READER_COUNT + min(_MAX_ADDITIONAL_READERS, additional)
        return self.get_rank(peers, store_near=store_near) < count

    def get_rank(self, peers: Iterable[Peer], *, store_near: bool) -> int:
        """Return this node's rank among the peers that reach the store, from 0 on."""
        own_key = _make_key(self._own_name, store_near)
        return sum(
            not peer.store_failed and _make_key(peer.record.name, peer.store_near) < own_key
            for peer in peers
        )

    def list_sources(self, peers: Collection[Peer], *, store_near: bool) -> list[Peer]:
        """Return the peers to ask when this node's state was last known to be the newest.

        The first nodes in the order ask the readers, and all others ask one of these first nodes.
        The load of each node is thus bounded in a large mesh.
        """
        first = heapq.nsmallest(
            _MAX_SOURCES,
            (peer for peer in peers if not peer.store_failed),
            key=lambda peer: _make_key(peer.record.name, peer.store_near),
        )
        if self.get_rank(peers, store_near=store_near) < _MAX_SOURCES:
            return first[:_READER_COUNT]
        return first


def _make_key(name: str, store_near: bool) -> tuple[bool, bytes]:
    return not store_near, hash_name("readers", name)
