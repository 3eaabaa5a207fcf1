from __future__ import annotations

import asyncio
import itertools

import pytest

from balsamhead.mesh._peers import rank_nodes
from tests.test_mesh.builders import (
    NODE_1,
    NODE_2,
    NODE_3,
    InMemoryCluster,
    RequestSender,
    make_config,
    make_route,
    make_settings,
    run_virtual,
    start_cluster,
)


def test_configuration_change_reaches_all_nodes_with_few_store_reads() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        settings = [make_settings(number) for number in range(1, 8)]
        await cluster.start(*settings)
        before = len(cluster.store.calls)
        cluster.store.put("keyed.op", "config", make_config(2, new=make_route(path_prefix="/new/")))
        await asyncio.sleep(0.1)
        for cfg in settings:
            assert (await send_request(cfg, "/new/1")).status == 200
        assert len(cluster.store.calls) - before <= 4

    run_virtual(main)


def test_configuration_change_arrives_after_the_readers_are_killed() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(*(make_settings(number) for number in range(1, 6)))
        readers = [
            number for number, member in cluster.members.items() if member.node._sync.is_reader()
        ]
        for number in readers:
            cluster.kill(number)
        cluster.store.put("keyed.op", "config", make_config(2, new=make_route(path_prefix="/new/")))
        await asyncio.sleep(1.8)
        for member in cluster.members.values():
            assert (await send_request(member.cfg, "/new/1")).status == 200

    run_virtual(main)


# CONFIG: both readers lost the response of a long poll, and noticed it too late.
def test_change_is_in_force_in_time_after_all_readers_lost_a_response() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(*(make_settings(number) for number in range(1, 6)))
        cluster.store.put("keyed.op", "config", make_config(2))
        cluster.store.faults.silent = True
        await asyncio.sleep(0.1)
        cluster.store.faults.silent = False
        await asyncio.sleep(0.9)
        cluster.store.put("keyed.op", "config", make_config(3, new=make_route(path_prefix="/new/")))
        # nodes are held to the bound of 2 s from 3 s after the fault on
        await asyncio.sleep(2.1)
        for member in cluster.members.values():
            assert (await send_request(member.cfg, "/new/1")).status == 200

    run_virtual(main)


# CONFIG: one change ends the polls of both readers, so a short fault takes both responses.
@pytest.mark.parametrize("delay_s", [0.05, 0.3, 0.7])
def test_change_whose_response_all_readers_lost_is_in_force_in_time(delay_s: float) -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(*(make_settings(number) for number in range(1, 6)))
        cluster.store.put("keyed.op", "config", make_config(2))
        await asyncio.sleep(delay_s)
        cluster.store.faults.silent = True
        cluster.store.put("keyed.op", "config", make_config(3, new=make_route(path_prefix="/new/")))
        await asyncio.sleep(0.1)
        cluster.store.faults.silent = False
        await asyncio.sleep(1.9)
        for member in cluster.members.values():
            assert (await send_request(member.cfg, "/new/1")).status == 200

    run_virtual(main)


# CONFIG: the paths of all readers to the store went silent, and others took over too late.
@pytest.mark.parametrize("silent_nodes", [2, 3, 4])
@pytest.mark.parametrize("delay_s", [0.02, 0.3, 0.55, 0.75])
def test_change_is_in_force_in_time_while_the_store_is_silent_to_its_readers(
    silent_nodes: int, delay_s: float
) -> None:
    async def main() -> None:
        settings = [
            make_settings(number, place=("east-a", "west-a")[number % 2]) for number in range(1, 10)
        ]
        cluster, send_request = await start_cluster(*settings)
        ranked = rank_nodes([cfg.node for cfg in settings], "readers")
        silent = [cfg for cfg in settings if cfg.node in ranked[:silent_nodes]]
        cluster.store.faults.silent_hosts = {cfg.peer_address.rpartition(":")[0] for cfg in silent}
        await asyncio.sleep(delay_s)
        cluster.store.put("keyed.op", "config", make_config(2, new=make_route(path_prefix="/new/")))
        await asyncio.sleep(2.0)
        for cfg in settings:
            assert (await send_request(cfg, "/new/1")).status == 200

    run_virtual(main)


# A store that is away must not be asked by all nodes, nor all the more often as it comes back.
@pytest.mark.parametrize("silent", [False, True])
def test_store_that_is_away_is_asked_by_few_nodes(silent: bool) -> None:
    async def main() -> None:
        settings = [make_settings(number) for number in range(1, 25)]
        cluster, _ = await start_cluster(*settings)
        cluster.store.faults.silent = silent
        cluster.store.faults.status = 503
        before = len(cluster.store.calls)
        await asyncio.sleep(8.0)
        # each node may find out for itself; after that, all together try 8 times a second
        assert len(cluster.store.calls) - before <= len(settings) + 8.0 * 8.0 + 12

    run_virtual(main)


# Nodes that had read during an outage, and were not needed afterwards, were taken for failed.
def test_outage_of_the_store_leaves_no_trace_after_it() -> None:
    async def main() -> None:
        settings = [make_settings(number) for number in range(1, 13)]
        cluster, _ = await start_cluster(*settings)
        cluster.store.faults.status = 503
        await asyncio.sleep(4.0)
        cluster.store.faults.status = 0
        await asyncio.sleep(5.0)
        assert not any(member.node._sync.store_failed for member in cluster.members.values())
        readers = [row for row in cluster.members.values() if row.node._sync.is_reader()]
        assert len(readers) == 2
        cluster.store.read_times.clear()
        await asyncio.sleep(8.0)
        assert len(cluster.store.read_times) <= 2 * (8.0 / 0.8 + 1)

    run_virtual(main)


# Reads that repeat overdue ones must not feed the shortage that makes responses late.
def test_slow_store_gets_few_more_reads() -> None:
    async def main() -> None:
        cluster, _ = InMemoryCluster(), RequestSender()
        cluster.store.faults.delay_s = 0.6
        settings = [make_settings(number) for number in range(1, 6)]
        await cluster.start(*settings)
        # each node reads the configuration and the nodes once
        assert cluster.store.calls.count("/log-newest") == 2 * len(settings)
        cluster.store.read_times.clear()
        await asyncio.sleep(9.0)
        # two readers, each poll takes 1.4 s, and one repeated read in 3 s
        assert len(cluster.store.read_times) <= 2 * (9.0 / 1.4 + 1) + 2 * (9.0 / 3.0 + 1)

    run_virtual(main)


def test_readers_do_not_poll_in_step_after_a_change() -> None:
    async def main() -> None:
        cluster, _ = InMemoryCluster(), RequestSender()
        await cluster.start(*(make_settings(number) for number in range(1, 6)))
        cluster.store.put("keyed.op", "config", make_config(2))
        await asyncio.sleep(0.1)
        times = cluster.store.read_times
        times.clear()
        await asyncio.sleep(2.4)
        gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
        assert len(times) >= 4
        assert min(gaps) > 0.3

    run_virtual(main)


def test_configuration_change_arrives_while_all_readers_stop() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(*(make_settings(number) for number in range(1, 6)))
        for member in list(cluster.members.values()):
            if member.node._sync.is_reader():
                member.node.stop()
        await asyncio.sleep(0.5)
        cluster.store.put("keyed.op", "config", make_config(2, new=make_route(path_prefix="/new/")))
        await asyncio.sleep(1.5)
        for member in cluster.members.values():
            assert (await send_request(member.cfg, "/new/1")).status == 200

    run_virtual(main)


def test_node_refused_by_the_store_gets_changes_from_peers() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(
            NODE_1, NODE_2, make_settings(4), make_settings(5)
        )
        readers = [m for m in cluster.members.values() if m.node._sync.is_reader()]
        cluster.store.faults.refused_hosts = {m.cfg.peer_address.split(":")[0] for m in readers}
        await asyncio.sleep(4.0)
        cluster.store.put("keyed.op", "config", make_config(2, new=make_route(path_prefix="/new/")))
        await asyncio.sleep(2.0)
        for member in readers:
            assert (await send_request(member.cfg, "/new/1")).status == 200

    run_virtual(main)


def test_stale_store_responses_do_not_revert_the_configuration() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_2)
        cluster.store.put("keyed.op", "config", make_config(2, new=make_route(path_prefix="/new/")))
        await asyncio.sleep(0.5)
        cluster.store.faults.hidden_records = 1
        cluster.store.compact("keyed.op")
        await asyncio.sleep(5.0)
        for cfg in (NODE_1, NODE_2):
            assert (await send_request(cfg, "/new/1")).status == 200

    run_virtual(main)


def test_node_started_during_a_store_outage_joins_the_mesh() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_2, NODE_3)
        member = cluster.kill(3)
        cluster.store.faults.silent = True
        await asyncio.sleep(0.5)
        await cluster.add(member.cfg, upstream=member.upstream)
        await asyncio.sleep(2.0)
        assert (await send_request(NODE_3)).status == 200

    run_virtual(main)


def test_reload_applies_only_the_reloadable_settings() -> None:
    async def main() -> None:
        cluster = InMemoryCluster()
        await cluster.start(NODE_1)
        node = cluster.members[1].node
        node.reload(NODE_1._replace(retry_ratio=0.0, retry_slack=0.0, caller_address="10.0.0.1:9"))
        assert not node._budget.try_acquire("desk", asyncio.get_running_loop().time())
        assert node._cfg.caller_address == NODE_1.caller_address

    run_virtual(main)


# A row that can't be read must neither take others down nor hand its requests to another route.
def test_requests_of_an_unreadable_route_are_refused_and_no_others() -> None:
    async def main() -> None:
        odd = make_route(path_prefix="/check/odd/", timeout="soon")
        _, send_request = await start_cluster(NODE_1, config=make_config(1, odd=odd))
        refused = await send_request(NODE_1, "/check/odd/1")
        assert refused.status == 503
        assert refused.headers[b"retry-after"]
        assert (await send_request(NODE_1, "/check/1")).status == 200

    run_virtual(main)
