from __future__ import annotations

import asyncio
import time

import pytest

from tests.test_mesh.builders import (
    NODE_1,
    NODE_2,
    NODE_3,
    FakeUpstream,
    InMemoryCluster,
    RequestSender,
    run_virtual,
    start_cluster,
)


async def restart_node(cluster: InMemoryCluster, *, announcing: bool) -> None:
    """Kill the node of the first upstream and start it again beside the same upstream."""
    upstream = cluster.members[1].upstream
    if not announcing:
        assert upstream._announcing is not None
        upstream._announcing.cancel()
    cluster.kill(1)
    await asyncio.sleep(1.0)
    await cluster.add(NODE_1, upstream=upstream)
    await asyncio.sleep(2.0)


async def restart_all_nodes(cluster: InMemoryCluster) -> None:
    """Restart all nodes at once, and wait until they are linked."""
    await cluster.restart_all()
    await asyncio.sleep(1.0)


def stop_announcing(upstream: FakeUpstream) -> None:
    """Let an upstream announce itself no more."""
    assert upstream._announcing is not None
    upstream._announcing.cancel()


async def receive_late_heartbeat(upstream: FakeUpstream) -> None:
    """Send a heartbeat that the upstream made before it left."""
    upstream.state = "ready"
    upstream.sequence -= 1
    await upstream.announce()


async def count_arrivals(cluster: InMemoryCluster, send_request: RequestSender) -> int:
    """Send requests through the other nodes; return how many reached the first upstream."""
    upstream = cluster.members[1].upstream
    before = len(upstream.requests)
    for _ in range(10):
        responses = await asyncio.gather(*(send_request(cfg) for cfg in (NODE_2, NODE_3)))
        assert [response.status for response in responses] == [200, 200]
    return len(upstream.requests) - before


# DRAIN: a node that had restarted acknowledged a departure, then took a late heartbeat for a start.
def test_departure_acknowledged_before_any_heartbeat_is_remembered() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_2, NODE_3)
        upstream = cluster.members[1].upstream
        await restart_node(cluster, announcing=False)
        assert (await upstream.leave()).status == 200
        upstream.sequence -= 1
        await upstream.announce()
        assert await count_arrivals(cluster, send_request) == 0

    run_virtual(main)


def test_upstream_that_starts_again_under_its_id_gets_requests() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_2, NODE_3)
        upstream = cluster.members[1].upstream
        await restart_node(cluster, announcing=False)
        await upstream.leave()
        upstream.born, upstream.sequence = time.time_ns() // 1_000_000 + 1000, 0
        await upstream.announce()
        assert await count_arrivals(cluster, send_request) > 0

    run_virtual(main)


# DRAIN: a late heartbeat after the restart of its node made a draining upstream ready again.
def test_peers_remember_that_an_upstream_leaves_when_its_node_restarts() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_2, NODE_3)
        upstream = cluster.members[1].upstream
        upstream.state = "draining"
        await upstream.announce()
        await restart_node(cluster, announcing=False)
        upstream.state = "ready"
        upstream.sequence -= 1
        await upstream.announce()
        assert await count_arrivals(cluster, send_request) == 0
        assert not cluster.members[1].node._local_upstream.accepts_requests()

    run_virtual(main)


# DRAIN: an upstream that said in its responses that it leaves went on getting requests.
def test_upstream_that_says_in_a_response_that_it_leaves_gets_no_more_requests() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_2, NODE_3)
        upstream = cluster.members[1].upstream
        upstream.extra_headers = b"Server-Leaving: 1\r\n"
        while not upstream.requests:
            await send_request(NODE_1)
        await asyncio.sleep(0.1)
        assert await count_arrivals(cluster, send_request) == 0
        await restart_node(cluster, announcing=True)
        assert await count_arrivals(cluster, send_request) == 0

    run_virtual(main)


# DRAIN: a node that restarted twice before it was linked forgot an acknowledged departure.
def test_departure_is_not_acknowledged_before_a_peer_can_remember_it() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_2, NODE_3)
        upstream = cluster.members[1].upstream
        assert upstream._announcing is not None
        upstream._announcing.cancel()
        cluster.kill(1)
        await asyncio.sleep(1.0)
        cluster.network.hold("10.0.0.1")
        await cluster.add(NODE_1, upstream=upstream)
        await asyncio.sleep(0.2)
        upstream.state = "draining"
        assert (await upstream.announce()).status == 503
        assert (await upstream.leave()).status == 503
        cluster.network.release()
        await asyncio.sleep(1.5)
        assert (await upstream.announce()).status == 200
        await restart_node(cluster, announcing=False)
        upstream.state = "ready"
        upstream.sequence -= 1
        await upstream.announce()
        assert await count_arrivals(cluster, send_request) == 0

    run_virtual(main)


def test_node_without_peers_acknowledges_a_departure_in_time() -> None:
    async def main() -> None:
        cluster = InMemoryCluster()
        await cluster.start(NODE_1)
        upstream = cluster.members[1].upstream
        cluster.kill(1)
        await asyncio.sleep(1.0)
        cluster.network.hold("10.0.0.1")
        await cluster.add(NODE_1, upstream=upstream)
        await asyncio.sleep(2.6)
        assert (await upstream.leave()).status == 200

    run_virtual(main)


# A late heartbeat of an earlier incarnation, after the restart of its node, revived that one.
def test_late_heartbeat_of_an_earlier_incarnation_revives_nothing_after_a_restart() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_2, NODE_3)
        upstream = cluster.members[1].upstream
        upstream.born += 1000
        await upstream.announce()
        upstream.born -= 1000
        await restart_node(cluster, announcing=False)
        await upstream.announce()
        assert await count_arrivals(cluster, send_request) == 0
        upstream.born += 1000
        await upstream.announce()
        assert await count_arrivals(cluster, send_request) > 0

    run_virtual(main)


# DRAIN: a departure that was acknowledged was forgotten when all nodes were killed at once.
@pytest.mark.parametrize("draining", [True, False])
def test_departure_outlives_the_end_of_all_nodes(draining: bool) -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_2, NODE_3)
        upstream = cluster.members[1].upstream
        stop_announcing(upstream)
        upstream.state = "draining" if draining else "ready"
        response = await (upstream.announce() if draining else upstream.leave())
        assert response.status == 200
        await restart_all_nodes(cluster)
        await receive_late_heartbeat(upstream)
        assert await count_arrivals(cluster, send_request) == 0

    run_virtual(main)


# DRAIN: a departure of an upstream that its node didn't know yet was told to no one.
@pytest.mark.parametrize("kill_all", [True, False])
def test_departure_before_any_heartbeat_outlives_its_node(kill_all: bool) -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_2, NODE_3)
        upstream = cluster.members[1].upstream
        await restart_node(cluster, announcing=False)
        assert (await upstream.leave()).status == 200
        if kill_all:
            await restart_all_nodes(cluster)
        else:
            await restart_node(cluster, announcing=False)
        await receive_late_heartbeat(upstream)
        assert await count_arrivals(cluster, send_request) == 0

    run_virtual(main)


def test_departure_outlives_the_end_of_all_nodes_again_and_again() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_2, NODE_3)
        upstream = cluster.members[1].upstream
        stop_announcing(upstream)
        await upstream.leave()
        for _ in range(3):
            await restart_all_nodes(cluster)
        await receive_late_heartbeat(upstream)
        assert await count_arrivals(cluster, send_request) == 0

    run_virtual(main)


def test_departure_whose_write_gets_no_response_is_acknowledged_and_remembered() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_2, NODE_3)
        upstream = cluster.members[1].upstream
        stop_announcing(upstream)
        cluster.store.faults.lost_responses = 1
        assert (await upstream.leave()).status == 200
        await restart_all_nodes(cluster)
        await receive_late_heartbeat(upstream)
        assert await count_arrivals(cluster, send_request) == 0

    run_virtual(main)


def test_departure_is_acknowledged_while_the_store_is_away_and_written_after_its_return() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_2, NODE_3)
        upstream = cluster.members[1].upstream
        stop_announcing(upstream)
        cluster.store.faults.status = 503
        assert (await upstream.leave()).status == 200
        await restart_node(cluster, announcing=False)
        cluster.store.faults.status = 0
        await asyncio.sleep(2.0)
        await restart_all_nodes(cluster)
        await receive_late_heartbeat(upstream)
        assert await count_arrivals(cluster, send_request) == 0

    run_virtual(main)


def test_departure_lost_by_a_restored_store_is_written_again() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_2, NODE_3)
        upstream = cluster.members[1].upstream
        stop_announcing(upstream)
        topics = cluster.store.copy()
        assert (await upstream.leave()).status == 200
        cluster.store.restore(topics)
        await asyncio.sleep(4.0)
        await restart_all_nodes(cluster)
        await receive_late_heartbeat(upstream)
        assert await count_arrivals(cluster, send_request) == 0

    run_virtual(main)


def test_later_upstream_of_the_vm_gets_requests_after_the_end_of_all_nodes() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_2, NODE_3)
        upstream = cluster.members[1].upstream
        stop_announcing(upstream)
        await upstream.leave()
        await restart_all_nodes(cluster)
        upstream.id, upstream.sequence = "i-later", 0
        upstream.born = time.time_ns() // 1_000_000
        await upstream.announce()
        assert await count_arrivals(cluster, send_request) > 0

    run_virtual(main)


def test_departure_is_written_to_the_store_once() -> None:
    async def main() -> None:
        cluster, _ = await start_cluster(NODE_1, NODE_2, NODE_3)
        upstream = cluster.members[1].upstream
        stop_announcing(upstream)
        before = cluster.store.calls.count("/log-append")
        upstream.state = "draining"
        for _ in range(3):
            await upstream.announce()
        await upstream.leave()
        await restart_all_nodes(cluster)
        assert cluster.store.calls.count("/log-append") - before == 1 + len(cluster.members)

    run_virtual(main)


def test_departure_with_an_id_that_no_upstream_can_have_is_refused() -> None:
    async def main() -> None:
        cluster, _ = await start_cluster(NODE_1)
        upstream = cluster.members[1].upstream
        upstream.id = "i" * 129
        assert (await upstream.leave()).status == 400

    run_virtual(main)
