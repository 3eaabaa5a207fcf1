"""A mesh that a cut has divided is whole again soon after its end, however long it lasted."""

from __future__ import annotations

import asyncio

import pytest

from balsamhead.mesh._lost_peers import LostPeers
from balsamhead.mesh._peers import Peer
from balsamhead.mesh.model import NodeRecord
from tests.test_mesh.builders import RequestSender, make_config, run_virtual
from tests.test_mesh.cut_builders import (
    STORE_HOST,
    cut_and_heal,
    divide,
    list_region_hosts,
    start_mesh,
)

#: number of nodes, and connection attempts of a node to lost peers, in 1/min
NODE_COUNT = 8
MAX_LOST_DIALS = 60
CUTS = ("one node", "a region", "a region and the store")


# Nodes that couldn't reach each other for some minutes forgot each other for good.
@pytest.mark.parametrize("minutes", [1, 10])
@pytest.mark.parametrize("kind", CUTS)
def test_mesh_is_whole_soon_after_a_cut(kind: str, minutes: int) -> None:
    async def main() -> None:
        cluster = await start_mesh(NODE_COUNT)
        hosts = {"10.0.0.1"} if kind == "one node" else list_region_hosts(cluster, "east")
        if kind == "a region and the store":
            hosts.add(STORE_HOST)
        figures = await cut_and_heal(cluster, divide(hosts), duration_s=minutes * 60.0)
        # the first attempts, at the usual pace, are among them
        assert figures.dials <= MAX_LOST_DIALS * (1.0 + 1.0 / minutes)
        assert figures.store_calls <= 120.0
        send_request = RequestSender()
        for member in cluster.members.values():
            assert (await send_request(member.cfg)).status == 200

    run_virtual(main)


def test_change_and_departure_during_a_cut_are_known_everywhere_after_it() -> None:
    async def main() -> None:
        cluster = await start_mesh(NODE_COUNT)
        upstream = cluster.members[1].upstream
        hosts = list_region_hosts(cluster, cluster.members[1].cfg.region) | {STORE_HOST}

        async def leave() -> None:
            await asyncio.sleep(100.0)
            assert upstream._announcing is not None
            upstream._announcing.cancel()
            assert (await upstream.leave()).status == 200
            cluster.store.put("keyed.op", "config", make_config(2))

        leaving = asyncio.ensure_future(leave())
        await cut_and_heal(cluster, divide(hosts), duration_s=600.0)
        await leaving
        await asyncio.sleep(2.0)
        before = len(upstream.requests)
        send_request = RequestSender()
        for member in cluster.members.values():
            config = member.node._sync.state.config
            assert config is not None
            assert config.version == 2
            for _ in range(4):
                assert (await send_request(member.cfg)).status == 200
        assert len(upstream.requests) == before

    run_virtual(main)


def test_peer_that_said_that_it_stops_is_forgotten() -> None:
    async def main() -> None:
        cluster = await start_mesh(3)
        cluster.members[1].node.stop()
        await asyncio.sleep(1.5)
        cluster.kill(1)
        await asyncio.sleep(300.0)
        for member in cluster.members.values():
            assert "node-1" not in member.node._link_manager.table.peers

    run_virtual(main)


def make_peers(count: int) -> list[Peer]:
    return [
        Peer(NodeRecord(f"n{number}", 1, "10.0.0.9:8004", "east-a", "east", "desk"))
        for number in range(count)
    ]


def test_lost_peers_are_dialled_in_turn_at_one_rate() -> None:
    lost = LostPeers()
    for peer in make_peers(20):
        lost.add(peer, 0.0)
    dials = [name for at in range(100, 10_100) if (name := lost.pop_due(at / 10))]
    assert len(dials) == 1000
    assert dials[:20] == [f"n{number}" for number in range(20)]
    assert dials[20:40] == dials[:20]


def test_single_lost_peer_is_dialled_each_four_seconds() -> None:
    lost = LostPeers()
    lost.add(make_peers(1)[0], 0.0)
    dials = [at for at in range(1, 100) if lost.pop_due(float(at))]
    assert dials[:3] == [4, 8, 12]


def test_peer_that_has_been_lost_longest_is_forgotten_for_a_further_one() -> None:
    lost = LostPeers()
    peers = make_peers(4097)
    forgotten = [lost.add(peer, 0.0) for peer in peers]
    assert forgotten[:4096] == [None] * 4096
    assert forgotten[4096] == "n0"
    assert "n0" not in lost
