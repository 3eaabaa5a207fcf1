"""Which peers a node asks when the operator's state was last known to be the newest."""

from __future__ import annotations

from collections import Counter

from balsamhead.mesh._peers import Peer
from balsamhead.mesh._reader_selection import ReaderSelection
from balsamhead.mesh.model import NodeRecord


def make_peers(count: int) -> list[Peer]:
    peers = [
        Peer(NodeRecord(f"node-{number}", 1, "10.0.0.1:1", "east-a", "east", "desk"))
        for number in range(count)
    ]
    for peer in peers:
        peer.store_near = True
    return peers


def list_sources(peers: list[Peer]) -> dict[str, list[str]]:
    """Return the names of the peers that each node asks."""
    return {
        own.record.name: [
            peer.record.name
            for peer in ReaderSelection(own.record.name).list_sources(
                [peer for peer in peers if peer is not own], store_near=True
            )
        ]
        for own in peers
    }


def find_readers(peers: list[Peer]) -> set[str]:
    return {
        own.record.name
        for own in peers
        if ReaderSelection(own.record.name).is_reader(
            [peer for peer in peers if peer is not own], store_near=True
        )
    }


def test_nodes_of_a_small_mesh_ask_the_readers() -> None:
    peers = make_peers(40)
    readers = find_readers(peers)
    for name, sources in list_sources(peers).items():
        assert name in readers or set(sources) == readers


# With 2,900 nodes that all ask the readers, each of these would answer 1,450 queries a second.
def test_load_of_each_node_of_a_large_mesh_is_bounded() -> None:
    peers = make_peers(600)
    loads: Counter[str] = Counter()
    for sources in list_sources(peers).values():
        for name in sources:
            loads[name] += 1 / len(sources)  # type: ignore[assignment]
    assert max(loads.values()) < 50


def test_peers_that_do_not_reach_the_store_are_not_asked() -> None:
    peers = make_peers(10)
    readers = find_readers(peers)
    for peer in peers:
        peer.store_failed = peer.record.name in readers
    for name, sources in list_sources(peers).items():
        assert name in readers or not readers & set(sources)
