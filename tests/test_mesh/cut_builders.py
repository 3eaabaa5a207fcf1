"""Meshes that a cut divides, and how long they take to be whole after its end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from typing import Any, NamedTuple
from unittest import mock

from tests.test_mesh.builders import (
    PLACES,
    STORE,
    InMemoryCluster,
    make_settings,
)

STORE_HOST = STORE.split(":")[0]
#: port at which nodes listen for peers
PEER_PORT = 8004
#: longest time from the end of a cut until the mesh is whole, in s
HEAL_TIMEOUT_S = 10.0


class CutFigures(NamedTuple):
    """What a cut cost, and how the mesh was after it."""

    #: time from the end of the cut until each node was linked to all others, in s
    healed_s: float
    #: connection attempts between nodes, for each node and minute
    dials: float
    #: calls to the store that arrived, for each node and minute
    store_calls: float


async def start_mesh(count: int) -> InMemoryCluster:
    """Start nodes in four data centres of two regions."""
    cluster = InMemoryCluster()
    places = list(PLACES)
    await cluster.start(
        *(make_settings(number, place=places[number % 4]) for number in range(1, count + 1))
    )
    return cluster


def list_region_hosts(cluster: InMemoryCluster, region: str) -> set[str]:
    """Return the hosts of the nodes in a region."""
    return {
        member.cfg.peer_address.split(":")[0]
        for member in cluster.members.values()
        if member.cfg.region == region
    }


def divide(hosts: Collection[str]) -> Callable[[str, str], bool]:
    """Return a cut between some hosts and all others."""
    return lambda host, peer: (host in hosts) != (peer in hosts)


def is_whole(cluster: InMemoryCluster) -> bool:
    """Return whether each node has a live link to all others."""
    others = len(cluster.members) - 1
    return all(
        len(member.node._link_manager.list_live()) == others for member in cluster.members.values()
    )


async def cut_and_heal(
    cluster: InMemoryCluster, cut: Callable[[str, str], bool], *, duration_s: float
) -> CutFigures:
    """Cut the network for a time, and wait until the mesh is whole again.

    :raises TimeoutError: it isn't in time.
    """
    loop = asyncio.get_running_loop()
    create_connection = loop.create_connection
    dials = 0

    def count_dial(factory: Any, host: str, port: int, **options: Any) -> Any:
        nonlocal dials
        dials += port == PEER_PORT
        return create_connection(factory, host, port, **options)

    calls_before = len(cluster.store.calls)
    cluster.network.is_cut = cut
    with mock.patch.object(loop, "create_connection", count_dial):
        await asyncio.sleep(duration_s)
    cluster.network.is_cut = lambda host, peer: False
    node_minutes = len(cluster.members) * duration_s / 60.0
    calls = len(cluster.store.calls) - calls_before
    ended_at = loop.time()
    async with asyncio.timeout(HEAL_TIMEOUT_S):
        while not is_whole(cluster):
            await asyncio.sleep(0.1)
    return CutFigures(loop.time() - ended_at, dials / node_minutes, calls / node_minutes)
