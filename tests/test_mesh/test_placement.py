from __future__ import annotations

import asyncio
import functools
import json
import logging
from unittest import mock

import pytest

from balsamhead.mesh._calls import Call, Refused
from balsamhead.mesh._server import Reply
from balsamhead.mesh._upstream_connection import UpstreamConnection
from balsamhead.platform.configuration import decode_config
from standin.virtual_network import CURRENT_HOST
from tests.test_mesh.builders import (
    InMemoryCluster,
    RequestSender,
    get_statuses,
    make_call,
    make_config,
    make_route,
    run_virtual,
    start_cluster,
)
from tests.test_mesh.crash_builders import (
    FATAL_BODY,
    crash_repeatedly,
    list_fatal_arrivals,
    start_fatal_cluster,
)
from tests.test_mesh.cut_builders import divide, list_region_hosts
from tests.test_mesh.placement_builders import (
    EAST,
    NODES,
    WEST,
    evacuate,
    forget_requests,
    get_failures,
    lift,
    list_served,
    make_bound_config,
    set_config,
    start_bound_cluster,
)

HEADERS = b"Host: plots.example\r\nRequest-Id: r1\r\n"


async def send_from_all(
    cluster: InMemoryCluster, send_request: RequestSender, path: str, *, rounds: int = 5
) -> set[int]:
    """Send requests to all nodes, and return the statuses that came back."""
    statuses: set[int] = set()
    for _ in range(rounds):
        statuses.update(await get_statuses(cluster, send_request, path))
    return statuses


async def start_queued_request(cluster: InMemoryCluster, path: str) -> asyncio.Task[int]:
    """Fill the upstream of node 1 for 2 s, and queue a request there that entered at it."""
    upstream = cluster.members[1].upstream
    upstream.slots = 1
    upstream.service_time_s = 2.0
    await upstream.announce()
    node = cluster.members[1].node
    running = node._local_upstream.run(make_call(b"first", headers=HEADERS, remaining_ms=3000), b"")
    task = asyncio.create_task(running)
    await asyncio.sleep(0.01)
    assert node._local_upstream.running == 1

    async def send_one() -> int:
        call = make_call(
            b"second",
            headers=HEADERS,
            target=path.encode(),
            route=path.split("/")[1],
            remaining_ms=3000,
            queue_timeout_ms=2500,
            objective_ms=3000,
        )
        node._local_upstream._statistics.record_time("check", 10.0)
        outcome = await node._local_upstream.run(call, b"")
        await task
        return 503 if isinstance(outcome, Refused) else 200

    queued = asyncio.create_task(send_one())
    await asyncio.sleep(0.01)
    assert len(node._local_upstream._slots) == 1
    return queued


# -- residency ---------------------------------------------------------------------------------


@pytest.mark.parametrize("path", ["/bound/1", "/once/1"])
def test_bound_requests_are_served_only_in_their_region(path: str) -> None:
    async def main() -> None:
        cluster, send_request = await start_bound_cluster()
        assert await send_from_all(cluster, send_request, path) == {200}
        assert set(list_served(cluster)) <= set(EAST)
        forget_requests(cluster)
        await send_from_all(cluster, send_request, "/check/1")
        assert set(list_served(cluster)) == {1, 2, 3, 4}

    run_virtual(main)


def test_bound_bulk_requests_go_to_their_region_at_once() -> None:
    async def main() -> None:
        cluster, send_request = await start_bound_cluster(make_bound_config(1, kind="download"))
        assert await send_from_all(cluster, send_request, "/bound/1") == {200}
        assert set(list_served(cluster)) <= set(EAST)

    run_virtual(main)


# A retry must not be sent where the first attempt wasn't allowed.
def test_retries_of_bound_requests_stay_in_their_region() -> None:
    async def main() -> None:
        cluster, send_request = await start_bound_cluster()
        for number in EAST:
            cluster.members[number].upstream.make_custom_reply = lambda request: Reply(500)
        await send_from_all(cluster, send_request, "/bound/1")
        served = list_served(cluster)
        assert set(served) == set(EAST)
        assert sum(served.values()) > 20

    run_virtual(main)


def test_bound_requests_are_refused_if_the_upstreams_of_their_region_are_gone() -> None:
    async def main() -> None:
        cluster, send_request = await start_bound_cluster()
        for number in EAST:
            await cluster.members[number].upstream.leave()
        await asyncio.sleep(0.1)
        for member in cluster.members.values():
            response = await send_request(member.cfg, "/bound/1")
            assert response.status == 503
            assert response.headers[b"retry-after"] == [b"0.300"]
            assert get_failures(member) == {"no-upstream-in-region": 1}
        assert list_served(cluster, "/bound/") == {}
        assert await send_from_all(cluster, send_request, "/check/1") == {200}

    run_virtual(main)


def test_bound_requests_are_refused_across_a_cut_between_regions() -> None:
    async def main() -> None:
        cluster, send_request = await start_bound_cluster()
        cluster.network.is_cut = divide(list_region_hosts(cluster, "west"))
        await asyncio.sleep(5.0)
        for number, member in cluster.members.items():
            expected = 200 if number in EAST else 503
            CURRENT_HOST.set(member.cfg.peer_address.split(":")[0])
            assert (await send_request(member.cfg, "/bound/1")).status == expected
            assert (await send_request(member.cfg, "/check/1")).status == 200
        assert set(list_served(cluster, "/bound/")) <= set(EAST)
        cluster.network.is_cut = lambda host, peer: False
        await asyncio.sleep(10.0)
        assert await send_from_all(cluster, send_request, "/bound/1") == {200}

    run_virtual(main)


def test_change_of_regions_moves_the_requests() -> None:
    async def main() -> None:
        cluster, send_request = await start_bound_cluster()
        set_config(cluster, make_bound_config(2, "west"))
        await asyncio.sleep(3.0)
        assert await send_from_all(cluster, send_request, "/bound/1") == {200}
        assert set(list_served(cluster)) <= set(WEST)

    run_virtual(main)


# A node whose configuration is older would send the request to a place that is forbidden by now.
@pytest.mark.parametrize("route", ["bound", "unknown"])
def test_upstreams_node_refuses_calls_that_its_own_configuration_forbids(route: str) -> None:
    async def main() -> None:
        cluster, _ = await start_bound_cluster()
        outcome = await cluster.members[3].node._local_upstream.run(make_call(route=route), b"")
        assert isinstance(outcome, Refused)
        assert outcome.code == "region-not-allowed"
        assert list_served(cluster) == {}

    run_virtual(main)


# The caller's node may take a request of an account without knowing the account's regions yet.
def test_upstreams_node_refuses_calls_of_an_account_that_is_bound_to_another_region() -> None:
    async def main() -> None:
        config = make_config()
        config["tenants"] = {"eastern": {"api_keys": ["k"], "allowed_regions": ["east"]}}
        cluster, _ = await start_bound_cluster(config)
        call = make_call(headers=HEADERS, account="eastern")
        outcomes = [
            await member.node._local_upstream.run(call, b"") for member in cluster.members.values()
        ]
        assert [isinstance(outcome, Refused) for outcome in outcomes] == [False, False, True, True]
        assert set(list_served(cluster)) == set(EAST)

    run_virtual(main)


# A change may arrive after admission, while the connection to the upstream is being opened.
@pytest.mark.parametrize("code", ["region-not-allowed", "data-centre-evacuated"])
def test_admitted_call_is_checked_again_before_it_is_sent(code: str) -> None:
    async def main() -> None:
        cluster, _ = await start_bound_cluster()
        node = cluster.members[1].node
        connect = node._local_upstream._connect

        async def connect_during_change(call: Call) -> UpstreamConnection | None:
            conn = await connect(call)
            state = node._sync.state
            if code == "data-centre-evacuated":
                node._apply_state(state._replace(evacuated=("east-a",)))
            else:
                config = decode_config(json.dumps(make_bound_config(2, "west")).encode())
                node._apply_state(state._replace(config=config))
            return conn

        call = make_call(headers=HEADERS, route="bound")
        with mock.patch.object(node._local_upstream, "_connect", connect_during_change):
            outcome = await node._local_upstream.run(call, b"")
        assert isinstance(outcome, Refused)
        assert outcome.code == code
        assert list_served(cluster) == {}
        assert node._local_upstream.running == 0

    run_virtual(main)


def test_queued_request_is_refused_when_its_region_is_forbidden() -> None:
    async def main() -> None:
        cluster, _ = await start_bound_cluster()
        queued = await start_queued_request(cluster, "/bound/1")
        set_config(cluster, make_bound_config(2, "west"))
        await asyncio.sleep(1.0)
        assert len(cluster.members[1].node._local_upstream._slots) == 0
        assert await queued == 503
        assert list_served(cluster, "/bound/") == {}

    run_virtual(main)


def test_request_on_trial_after_a_crash_stays_in_its_region() -> None:
    async def main() -> None:
        cluster, send_request = await start_fatal_cluster(config=make_bound_config())
        await crash_repeatedly(cluster, send_request, path="/once/1")
        for _ in range(3):
            await send_from_all(cluster, send_request, "/once/1", rounds=1)
            for member in cluster.members.values():
                await send_request(member.cfg, "/once/1", method="POST", body=FATAL_BODY)
            await asyncio.sleep(3.5)
        assert 0 < len(list_fatal_arrivals(cluster)) <= 3
        regions = {
            member.cfg.region for member in cluster.members.values() if member.upstream.requests
        }
        assert regions == {"east"}

    run_virtual(main)


def test_unknown_region_is_logged_and_its_requests_are_refused(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def main() -> None:
        with caplog.at_level(logging.WARNING):
            cluster, send_request = await start_bound_cluster(make_bound_config(1, "north"))
            for cfg in NODES:
                response = await send_request(cfg, "/bound/1")
                assert response.status == 503
                assert response.headers[b"retry-after"] == [b"1.500"]
        assert list_served(cluster) == {}
        rows = [row.__dict__ for row in caplog.records if row.message == "region-unknown"]
        assert [row["region"] for row in rows] == ["north"] * len(NODES)

    run_virtual(main)


# Requests that can go elsewhere must not take the slots of a region that carries a bound route.
def test_unbound_requests_leave_a_crowded_region_to_bound_ones() -> None:
    async def main() -> None:
        cluster, send_request = await start_bound_cluster()
        bound = [
            asyncio.create_task(send_request(NODES[number % 2], "/bound/1")) for number in range(7)
        ]
        await asyncio.sleep(0.02)
        # one of the eight slots of the region is free, so that they could get one there in turn
        response = await send_request(NODES[0], "/check/1")
        assert response.status == 200
        assert {response.status for response in await asyncio.gather(*bound)} == {200}
        assert set(list_served(cluster, "/check/")) <= set(WEST)

    run_virtual(main)


# -- evacuation --------------------------------------------------------------------------------


def test_requests_leave_an_evacuated_data_centre_until_it_is_lifted() -> None:
    async def main() -> None:
        cluster, send_request = await start_bound_cluster()
        evacuate(cluster, "east-a")
        await asyncio.sleep(2.0)
        for path in ("/check/1", "/bound/1", "/once/1", "/images/1"):
            assert await send_from_all(cluster, send_request, path) == {200}
        assert 1 not in list_served(cluster)
        gauges = cluster.members[4].node._metrics._gauges
        assert gauges["data_centres_evacuated"]() == {"": 1}
        lift(cluster, "east-a")
        await asyncio.sleep(2.0)
        await send_from_all(cluster, send_request, "/check/1")
        assert 1 in list_served(cluster)

    run_virtual(main)


def test_running_request_completes_during_an_evacuation() -> None:
    async def main() -> None:
        cluster, _ = await start_bound_cluster()
        cluster.members[1].upstream.service_time_s = 3.0
        running = asyncio.create_task(
            cluster.members[1].node._local_upstream.run(
                make_call(headers=HEADERS, remaining_ms=5000), b""
            )
        )
        await asyncio.sleep(0.1)
        evacuate(cluster, "east-a")
        outcome = await running
        assert not isinstance(outcome, Refused)
        assert cluster.members[1].upstream.run_counts == {"r1": 1}

    run_virtual(main)


def test_queued_request_is_refused_when_its_data_centre_is_evacuated() -> None:
    async def main() -> None:
        cluster, _ = await start_bound_cluster()
        queued = await start_queued_request(cluster, "/check/9")
        evacuate(cluster, "east-a")
        await asyncio.sleep(1.0)
        assert len(cluster.members[1].node._local_upstream._slots) == 0
        assert await queued == 503
        assert list_served(cluster, "/check/9") == {}

    run_virtual(main)


# A caller's node that has not heard of the evacuation still sends calls.
def test_upstreams_node_refuses_calls_during_an_evacuation() -> None:
    async def main() -> None:
        cluster, _ = await start_bound_cluster()
        evacuate(cluster, "west-a")
        await asyncio.sleep(1.0)
        outcome = await cluster.members[3].node._local_upstream.run(make_call(), b"")
        assert isinstance(outcome, Refused)
        assert outcome.code == "data-centre-evacuated"

    run_virtual(main)


# The node of an evacuated upstream may be slower to learn of the evacuation than its callers.
def test_callers_node_leaves_out_an_evacuated_data_centre_by_itself() -> None:
    async def main() -> None:
        cluster, send_request = await start_bound_cluster()
        for number in (1, 2, 4):
            await cluster.members[number].upstream.leave()
        await asyncio.sleep(0.1)
        assert (await send_request(NODES[0], "/check/1")).status == 200
        node = cluster.members[1].node
        node._apply_state(node._sync.state._replace(evacuated=("west-a",)))
        assert (await send_request(NODES[0], "/check/2")).status == 503
        assert get_failures(cluster.members[1]) == {"no-upstream": 1}
        assert list_served(cluster) == {3: 1}

    run_virtual(main)


@pytest.mark.parametrize("evacuated", [("east-a", "east-b"), ("east-a",)])
def test_bulk_requests_leave_a_region_without_upstreams_for_an_evacuation(
    evacuated: tuple[str, ...],
) -> None:
    async def main() -> None:
        cluster, send_request = await start_bound_cluster()
        assert await send_from_all(cluster, send_request, "/images/1") == {200}
        forget_requests(cluster)
        evacuate(cluster, *evacuated)
        if "east-b" not in evacuated:
            await cluster.members[2].upstream.leave()
            # bulk requests stay in the data centre that isn't evacuated for 5 s, as before
            await asyncio.sleep(5.0)
        await asyncio.sleep(1.0)
        assert await send_from_all(cluster, send_request, "/images/1") == {200}
        assert set(list_served(cluster)) <= set(WEST)

    run_virtual(main)


def test_bulk_requests_stay_in_the_region_of_an_evacuated_data_centre() -> None:
    async def main() -> None:
        cluster, send_request = await start_bound_cluster()
        evacuate(cluster, "east-a")
        await asyncio.sleep(1.0)
        for _ in range(10):
            assert (await send_request(NODES[0], "/images/1")).status == 200
        assert set(list_served(cluster)) == {2}

    run_virtual(main)


def test_bound_requests_are_refused_if_all_their_data_centres_are_evacuated() -> None:
    async def main() -> None:
        cluster, send_request = await start_bound_cluster()
        evacuate(cluster, "east-a", "east-b")
        await asyncio.sleep(1.0)
        assert await send_from_all(cluster, send_request, "/bound/1", rounds=1) == {503}
        assert get_failures(cluster.members[3]) == {"upstreams-evacuated": 1}
        assert list_served(cluster) == {}
        lift(cluster, "east-b")
        await asyncio.sleep(1.0)
        assert await send_from_all(cluster, send_request, "/bound/1") == {200}
        assert set(list_served(cluster)) == {2}

    run_virtual(main)


def test_evacuation_holds_while_the_store_is_away() -> None:
    async def main() -> None:
        cluster, send_request = await start_bound_cluster()
        evacuate(cluster, "west-a")
        await asyncio.sleep(0.5)
        cluster.store.faults.status = 503
        await asyncio.sleep(20.0)
        assert await send_from_all(cluster, send_request, "/check/1") == {200}
        assert 3 not in list_served(cluster)

    run_virtual(main)


def test_evacuation_holds_after_all_nodes_have_ended() -> None:
    async def main() -> None:
        cluster, send_request = await start_bound_cluster()
        evacuate(cluster, "west-a")
        await asyncio.sleep(1.0)
        await cluster.restart_all()
        for _ in range(20):
            await asyncio.sleep(0.1)
            await send_from_all(cluster, send_request, "/check/1", rounds=1)
        assert await send_from_all(cluster, send_request, "/check/1") == {200}
        assert 3 not in list_served(cluster)

    run_virtual(main)


# A node that has lost its state learns of the evacuation before its upstream gets a request.
def test_restarted_node_learns_of_an_evacuation_from_its_peers() -> None:
    async def main() -> None:
        cluster, send_request = await start_bound_cluster()
        evacuate(cluster, "west-a")
        await asyncio.sleep(1.0)
        cluster.store.faults.status = 503
        member = cluster.kill(3)
        await asyncio.sleep(2.0)
        again = await cluster.add(member.cfg, upstream=member.upstream)
        outcome = await again.node._local_upstream.run(make_call(), b"")
        assert isinstance(outcome, Refused)
        assert outcome.code == "config-unknown"
        for _ in range(30):
            await asyncio.sleep(0.2)
            await send_from_all(cluster, send_request, "/check/1", rounds=1)
        assert again.node._placement.evacuation.own_evacuated
        assert 3 not in list_served(cluster)

    run_virtual(main)


def test_newcomer_in_an_evacuated_data_centre_gets_no_requests() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(*NODES[:3], config=make_bound_config())
        evacuate(cluster, "west-b")
        await asyncio.sleep(1.0)
        await cluster.add(NODES[3])
        for _ in range(20):
            await asyncio.sleep(0.1)
            await send_from_all(cluster, send_request, "/check/1", rounds=1)
        assert await send_from_all(cluster, send_request, "/check/1") == {200}
        assert 4 not in list_served(cluster)

    run_virtual(main)


def test_end_of_the_own_evacuation_is_announced_before_requests_arrive() -> None:
    async def main() -> None:
        cluster, _ = await start_bound_cluster()
        ended: list[tuple[int, bool]] = []

        def record_end(number: int) -> None:
            upstream = cluster.members[number].node._local_upstream
            ended.append((number, upstream.accepts_requests()))

        for number, member in cluster.members.items():
            placement = member.node._placement
            placement.on_own_evacuation_ended = functools.partial(record_end, number)
        evacuate(cluster, "west-a")
        await asyncio.sleep(1.0)
        assert ended == []
        lift(cluster, "west-a")
        await asyncio.sleep(1.0)
        assert ended == [(3, False)]
        assert cluster.members[3].node._local_upstream.accepts_requests()

    run_virtual(main)


def test_unknown_data_centre_is_logged_and_changes_nothing(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def main() -> None:
        cluster, send_request = await start_bound_cluster()
        with caplog.at_level(logging.INFO):
            evacuate(cluster, "north-a")
            await asyncio.sleep(2.0)
        events = [row.message for row in caplog.records]
        assert events.count("evacuation-unknown") == len(NODES)
        assert events.count("evacuation-begun") == len(NODES)
        await send_from_all(cluster, send_request, "/check/1")
        assert set(list_served(cluster)) == {1, 2, 3, 4}

    run_virtual(main)


# Drains of upstreams in an evacuated data centre go on, and hold after the evacuation.
def test_upstream_can_leave_during_an_evacuation() -> None:
    async def main() -> None:
        cluster, send_request = await start_bound_cluster()
        evacuate(cluster, "west-a")
        await asyncio.sleep(1.0)
        assert (await cluster.members[3].upstream.announce()).status in (200, 204)
        assert (await cluster.members[3].upstream.leave()).status in (200, 204)
        lift(cluster, "west-a")
        await asyncio.sleep(4.0)
        assert await send_from_all(cluster, send_request, "/check/1") == {200}
        assert 3 not in list_served(cluster)

    run_virtual(main)


def test_nothing_changes_for_deployments_that_bind_nothing() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(
            *NODES,
            config=make_config(1, images=make_route(path_prefix="/images/", kind="download")),
        )
        assert await send_from_all(cluster, send_request, "/images/1") == {200}
        for member in cluster.members.values():
            assert not member.node._placement.residency.restricted

    run_virtual(main)
