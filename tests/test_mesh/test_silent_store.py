"""Connections to the store that stay open and never respond, under each kind of call.

A response that is lost is never sent later: the stand-in holds such a connection for ever.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.test_mesh.builders import (
    NODE_1,
    NODE_2,
    NODE_3,
    InMemoryCluster,
    RequestSender,
    get_statuses,
    make_config,
    make_route,
    make_settings,
    run_virtual,
    start_cluster,
)
from tests.test_mesh.crash_builders import FATAL_BODY, NODES, start_fatal_cluster
from tests.test_mesh.rollout_builders import get_status, send_load, start_rollout

#: time after a disruption of the store from which the mesh is held to its bounds, in s
CONTACT_S = 3.0
#: bound within which a change is in force, in s
CONFIG_APPLY_S = 2.0


async def silence_store(cluster: InMemoryCluster, seconds: float) -> None:
    """Let the store answer no call that is in progress or begins within a time."""
    cluster.store.faults.silent = True
    await asyncio.sleep(seconds)
    cluster.store.faults.silent = False


# CONFIG: reads that began in the last moments of a silent outage held up the change after it.
@pytest.mark.parametrize("outage_s", [0.1, 1.0, 3.3, 6.0])
def test_change_after_a_silent_outage_is_in_force_in_time(outage_s: float) -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(
            *(make_settings(number) for number in range(1, 10))
        )
        await silence_store(cluster, outage_s)
        await asyncio.sleep(CONTACT_S)
        cluster.store.put("keyed.op", "config", make_config(2, new=make_route(path_prefix="/new/")))
        await asyncio.sleep(CONFIG_APPLY_S)
        assert await get_statuses(cluster, send_request, "/new/1") == [200] * 9

    run_virtual(main)


def test_change_during_a_silent_outage_is_in_force_soon_after_it() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(
            *(make_settings(number) for number in range(1, 10))
        )
        cluster.store.faults.silent = True
        await asyncio.sleep(3.0)
        cluster.store.put("keyed.op", "config", make_config(2, new=make_route(path_prefix="/new/")))
        await asyncio.sleep(0.3)
        cluster.store.faults.silent = False
        await asyncio.sleep(CONFIG_APPLY_S)
        assert await get_statuses(cluster, send_request, "/new/1") == [200] * 9

    run_virtual(main)


# A write that gets no response must not keep a node that starts from its peers.
def test_node_whose_registration_gets_no_response_joins_the_mesh() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_3)
        cluster.store.faults.silent = True
        await cluster.add(NODE_2)
        await asyncio.sleep(0.5)
        cluster.store.faults.silent = False
        await asyncio.sleep(4.0)
        bodies = {(await send_request(NODE_3)).body for _ in range(30)}
        assert bodies == {b"from i-node-1", b"from i-node-2"}

    run_virtual(main)


# A write under a condition that got no response may have been executed, or not.
@pytest.mark.parametrize("period_s", [0.3, 0.8, 1.6])
def test_end_of_a_rollout_whose_write_gets_no_response_is_recorded(period_s: float) -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await start_rollout(cluster)
        statuses: list[int] = []
        while get_status(cluster).get("state") != "completed":
            cluster.store.faults.silent = not cluster.store.faults.silent
            await send_load(send_request, period_s, statuses)
            assert len(statuses) < 4000
        assert set(statuses) == {200}

    run_virtual(main)


def test_refusal_whose_write_gets_no_response_outlives_the_end_of_all_nodes() -> None:
    async def main() -> None:
        cluster, send_request = await start_fatal_cluster()
        for cfg in NODES[:2]:
            await send_request(cfg, "/accept/1", method="POST", body=FATAL_BODY)
            cluster.store.faults.silent = True
            await asyncio.sleep(0.5)
        cluster.store.faults.silent = False
        await asyncio.sleep(2.5)
        members = [cluster.kill(number) for number in range(1, 9)]
        await asyncio.sleep(0.5)
        for member in members:
            await cluster.add(member.cfg, upstream=member.upstream)
        await asyncio.sleep(3.0)
        for cfg in NODES:
            response = await send_request(cfg, "/accept/1", method="POST", body=FATAL_BODY)
            assert response.status == 503

    run_virtual(main)
