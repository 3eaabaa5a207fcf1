from __future__ import annotations

import asyncio
from typing import Any

import pytest

from standin.platform_store import PlatformStore
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
from tests.test_mesh.rollout_builders import NEW, OLD, get_status, send_load, start_rollout


def put_config(store: PlatformStore, version: int, *names: str) -> None:
    """Publish a configuration with a route for each name."""
    routes = {name: make_route(path_prefix=f"/{name}/") for name in names}
    store.put("keyed.op", "config", make_config(version, **routes))


async def restore(store: PlatformStore, topics: Any) -> None:
    """Stop the store for two seconds, and start it from a copy."""
    store.faults.status = 503
    await asyncio.sleep(2.0)
    store.restore(topics)
    store.faults.status = 0


async def lose_last_change(cluster: InMemoryCluster) -> None:
    """Restore the store from a copy of before the last of four changes."""
    for version in (2, 3, 4):
        put_config(cluster.store, version, "early")
        await asyncio.sleep(0.3)
    topics = cluster.store.copy()
    for version in (5, 6):
        put_config(cluster.store, version, "early", "lost")
        await asyncio.sleep(0.3)
    await restore(cluster.store, topics)


# CONFIG: after the store was restored from a copy, no node took up a change any more.
def test_change_after_a_restoration_of_the_store_comes_into_force() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_2, NODE_3)
        await lose_last_change(cluster)
        await asyncio.sleep(1.0)
        put_config(cluster.store, 9, "late")
        await asyncio.sleep(1.5)
        assert await get_statuses(cluster, send_request, "/late/1") == [200] * 3
        assert await get_statuses(cluster, send_request, "/lost/1") == [404] * 3

    run_virtual(main)


def test_second_restoration_is_followed_like_the_first() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_2, NODE_3)
        await lose_last_change(cluster)
        await asyncio.sleep(0.5)
        topics = cluster.store.copy()
        put_config(cluster.store, 9, "late")
        await asyncio.sleep(0.5)
        await restore(cluster.store, topics)
        put_config(cluster.store, 12, "latest")
        await asyncio.sleep(1.5)
        assert await get_statuses(cluster, send_request, "/latest/1") == [200] * 3

    run_virtual(main)


def test_lost_change_stays_in_force_until_it_is_written_again() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_2, NODE_3)
        await lose_last_change(cluster)
        for _ in range(20):
            assert await get_statuses(cluster, send_request, "/lost/1") == [200] * 3
            await asyncio.sleep(0.1)

    run_virtual(main)


def test_node_that_starts_after_a_restoration_gets_the_lost_change_from_its_peers() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_2, NODE_3)
        await lose_last_change(cluster)
        await asyncio.sleep(1.0)
        joined = await cluster.add(make_settings(4))
        await asyncio.sleep(2.0)
        assert (await send_request(joined.cfg, "/lost/1")).status == 200

    run_virtual(main)


# Nodes that registered after the copy was taken were unknown to nodes that started later.
def test_nodes_register_again_after_a_restoration() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1)
        topics = cluster.store.copy()
        await cluster.add(NODE_2)
        await cluster.add(NODE_3)
        await asyncio.sleep(2.0)
        await restore(cluster.store, topics)
        await asyncio.sleep(2.5)
        assert set(cluster.store.read_newest("keyed.nodes")) == {"node-1", "node-2", "node-3"}
        joined = await cluster.add(make_settings(4, service="registry"))
        await asyncio.sleep(2.0)
        bodies = {(await send_request(joined.cfg)).body for _ in range(30)}
        assert bodies == {b"from i-node-1", b"from i-node-2"}

    run_virtual(main)


# The restoration lost the result of a rollout, and nobody wrote it again.
def test_result_of_a_rollout_is_written_again_after_a_restoration() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await start_rollout(cluster)
        topics = cluster.store.copy()
        statuses: list[int] = []
        await send_load(send_request, 15.0, statuses)
        assert get_status(cluster)["state"] == "completed"
        await restore(cluster.store, topics)
        await send_load(send_request, 2.0, statuses)
        assert get_status(cluster)["state"] == "completed"
        assert set(statuses) == {200}

    run_virtual(main)


def test_rollout_in_progress_goes_on_after_a_restoration_that_lost_its_order() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(*OLD)
        topics = cluster.store.copy()
        order = {"service": "desk", "target_version": "v2", "duration": "16s"}
        cluster.store.put("keyed.op", "rollout/desk", order)
        for cfg in NEW:
            await cluster.add(cfg, version="v2")
        statuses: list[int] = []
        await send_load(send_request, 6.0, statuses)
        await restore(cluster.store, topics)
        await asyncio.sleep(0.5)
        cluster.store.put("keyed.op", "config", make_config())
        cluster.store.put("keyed.op", "rollout/desk", order)
        await send_load(send_request, 9.0, statuses)
        assert get_status(cluster)["state"] == "completed"
        before = [len(cluster.members[number].upstream.requests) for number in (1, 2)]
        await send_load(send_request, 1.0, statuses)
        assert before == [len(cluster.members[number].upstream.requests) for number in (1, 2)]
        assert set(statuses) == {200}

    run_virtual(main)


def test_version_that_was_rolled_back_stays_so_after_a_restoration() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        new = await start_rollout(cluster)
        topics = cluster.store.copy()
        for member in new:
            member.upstream.service_time_s = 0.8
        await send_load(send_request, 14.0, [])
        assert get_status(cluster)["state"] == "rolled_back"
        await restore(cluster.store, topics)
        before = sum(len(member.upstream.requests) for member in new)
        await send_load(send_request, 4.0, [])
        assert sum(len(member.upstream.requests) for member in new) == before
        assert get_status(cluster)["state"] == "rolled_back"

    run_virtual(main)


# Of two lost orders that were written again, the earlier one replaced the later one's rollout.
@pytest.mark.parametrize("pause_s", [0.05, 0.25, 0.5])
def test_rollout_goes_on_when_an_earlier_lost_order_is_written_again_first(pause_s: float) -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(*OLD)
        topics = cluster.store.copy()
        earlier, later = (
            {"service": "desk", "target_version": version, "duration": "16s"}
            for version in ("v0", "v2")
        )
        cluster.store.put("keyed.op", "rollout/desk", earlier)
        await asyncio.sleep(1.0)
        cluster.store.put("keyed.op", "rollout/desk", later)
        new = [await cluster.add(cfg, version="v2") for cfg in NEW]
        for member in new:
            member.upstream.service_time_s = 0.8
        await send_load(send_request, 14.0, [])
        assert get_status(cluster)["state"] == "rolled_back"
        await restore(cluster.store, topics)
        await asyncio.sleep(1.0)
        before = sum(len(member.upstream.requests) for member in new)
        cluster.store.put("keyed.op", "rollout/desk", earlier)
        await asyncio.sleep(pause_s)
        cluster.store.put("keyed.op", "rollout/desk", later)
        await send_load(send_request, 8.0, [])
        assert sum(len(member.upstream.requests) for member in new) == before
        assert get_status(cluster)["state"] == "rolled_back"

    run_virtual(main)


# An order that came right after a restoration, at a lower offset than a lost one, was dropped.
@pytest.mark.parametrize("written_again", [True, False])
def test_order_right_after_a_restoration_is_followed(written_again: bool) -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(*OLD)
        topics = cluster.store.copy()
        for version in (2, 3, 4):
            put_config(cluster.store, version, "early")
        lost = {"service": "desk", "target_version": "v1", "duration": "16s"}
        cluster.store.put("keyed.op", "rollout/desk", lost)
        await asyncio.sleep(3.0)
        await restore(cluster.store, topics)
        if written_again:
            cluster.store.put("keyed.op", "rollout/desk", lost)
        order = {"service": "desk", "target_version": "v2", "duration": "16s"}
        cluster.store.put("keyed.op", "rollout/desk", order)
        for cfg in NEW:
            await cluster.add(cfg, version="v2")
        await send_load(send_request, 17.0, [])
        assert get_status(cluster).get("target_version") == "v2"
        assert get_status(cluster)["state"] == "completed"

    run_virtual(main)
