from __future__ import annotations

import asyncio

import pytest

from standin.virtual_network import CURRENT_HOST
from tests.test_mesh.builders import make_config, make_route, make_settings, run_virtual, send
from tests.test_mesh.crash_builders import (
    ALLOWED_ARRIVALS,
    FATAL_BODY,
    NODES,
    SENDINGS,
    count_late_arrivals,
    crash_repeatedly,
    get_registries,
    list_fatal_arrivals,
    start_fatal_cluster,
)


# BUDGET: a request under which three upstreams had crashed was sent to upstreams ever again.
@pytest.mark.parametrize("interval_s", [0.5, 5.0])
@pytest.mark.parametrize("path", ["/check/1", "/accept/1"])
def test_request_that_crashes_upstreams_is_refused_after_the_third_crash(
    path: str, interval_s: float
) -> None:
    async def main() -> None:
        cluster, send_request = await start_fatal_cluster()
        statuses = []
        for number in range(SENDINGS):
            cfg = NODES[number % len(NODES)]
            response = await send_request(cfg, path, method="POST", body=FATAL_BODY)
            statuses.append(response.status)
            await asyncio.sleep(interval_s)
        arrivals = list_fatal_arrivals(cluster)
        assert count_late_arrivals(arrivals) <= ALLOWED_ARRIVALS
        assert set(statuses) <= {502, 503}
        assert statuses[-1] == 503

    run_virtual(main)


def test_refusal_says_that_the_request_has_not_run_and_when_to_come_back() -> None:
    async def main() -> None:
        cluster, send_request = await start_fatal_cluster()
        await crash_repeatedly(cluster, send_request)
        before = len(list_fatal_arrivals(cluster))
        for cfg in NODES:
            response = await send_request(cfg, "/accept/1", method="POST", body=FATAL_BODY)
            assert response.status == 503
            assert 50.0 < float(response.headers[b"retry-after"][0]) <= 60.0
        assert len(list_fatal_arrivals(cluster)) == before <= 3

    run_virtual(main)


def test_request_is_refused_at_the_node_of_the_only_upstream_that_it_crashes() -> None:
    async def main() -> None:
        callers = [make_settings(number, service="registry") for number in (2, 3)]
        cluster, send_request = await start_fatal_cluster(NODES[0], *callers)
        for number in range(6):
            await send_request(callers[number % 2], "/check/1", method="POST", body=FATAL_BODY)
            await asyncio.sleep(5.0)
        assert len(list_fatal_arrivals(cluster)) <= 3

    run_virtual(main)


# The same path with another body, method, query or host is another request, however popular.
def test_requests_that_differ_in_path_body_method_or_host_are_not_refused() -> None:
    async def main() -> None:
        other_host = make_route(host="other.example", path_prefix="/accept/", kind="unsafe")
        cluster, send_request = await start_fatal_cluster(config=make_config(other=other_host))
        await crash_repeatedly(cluster, send_request)
        for member in cluster.members.values():
            member.upstream.is_fatal = lambda request: False
        await asyncio.sleep(3.0)
        responses = [
            await send_request(NODES[0], "/accept/1", method="POST", body=FATAL_BODY + b"!"),
            await send_request(NODES[1], "/accept/1", method="PUT", body=FATAL_BODY),
            await send_request(NODES[2], "/accept/2", method="POST", body=FATAL_BODY),
            await send_request(NODES[3], "/accept/1?x", method="POST", body=FATAL_BODY),
            await send(
                NODES[4].caller_address,
                "POST",
                "/accept/1",
                FATAL_BODY,
                headers="Request-Id: other\r\nDeadline-Ms: 1000\r\n",
                host="other.example",
            ),
        ]
        assert [response.status for response in responses] == [200] * 5
        refused = await send_request(NODES[0], "/accept/1", method="POST", body=FATAL_BODY)
        assert refused.status == 503

    run_virtual(main)


# DENIED, or credit lost: popular requests are on many upstreams that crash under another one.
def test_requests_beside_the_one_that_crashes_upstreams_are_not_refused() -> None:
    async def main() -> None:
        cluster, send_request = await start_fatal_cluster()
        statuses: list[int] = []

        async def send_innocent(number: int) -> None:
            cfg = NODES[number % len(NODES)]
            response = await send_request(cfg, f"/check/{number % 4}", deadline_ms=1000)
            statuses.append(response.status)

        tasks = []
        for number in range(600):
            tasks.append(asyncio.ensure_future(send_innocent(number)))
            if number % 25 == 0:
                cfg = NODES[number // 25 % len(NODES)]
                coro = send_request(cfg, "/accept/1", method="POST", body=FATAL_BODY)
                tasks.append(asyncio.ensure_future(coro))  # type: ignore[arg-type]
            await asyncio.sleep(0.02)
        await asyncio.gather(*tasks)
        assert 503 not in statuses
        assert statuses.count(200) >= 595
        assert len(list_fatal_arrivals(cluster)) <= 3
        await asyncio.sleep(1.0)
        assert [registry.count_refused() for registry in get_registries(cluster)] == [1] * 8

    run_virtual(main)


# Upstreams that crash together for another reason must not make their popular requests refused.
def test_request_that_runs_on_many_upstreams_of_a_failed_rack_is_not_refused() -> None:
    async def main() -> None:
        cluster, send_request = await start_fatal_cluster()
        for round_number in range(3):
            tasks = [
                asyncio.ensure_future(send_request(cfg, "/accept/7", method="POST"))
                for cfg in NODES
                for _ in range(3)
            ]
            await asyncio.sleep(0.02)
            rack = list(cluster.members.values())[round_number : round_number + 4]
            for member in rack:
                assert member.upstream.running
                member.upstream.crash_and_restart()
            statuses = [response.status for response in await asyncio.gather(*tasks)]
            assert 503 not in statuses
            assert 200 in statuses
            await asyncio.sleep(5.0)
        for cfg in NODES:
            assert (await send_request(cfg, "/accept/7", method="POST")).status == 200
        assert [len(registry) for registry in get_registries(cluster)] == [0] * 8

    run_virtual(main)


# BUDGET: nodes that restart one after the other would forget the request between them.
def test_refusal_outlives_the_restart_of_every_node_in_turn() -> None:
    async def main() -> None:
        cluster, send_request = await start_fatal_cluster()
        await crash_repeatedly(cluster, send_request)
        before = len(list_fatal_arrivals(cluster))
        await asyncio.sleep(3.0)
        for number, cfg in enumerate(NODES, start=1):
            upstream = cluster.kill(number).upstream
            await asyncio.sleep(0.5)
            await cluster.add(cfg, upstream=upstream)
            await asyncio.sleep(2.0)
        for cfg in NODES:
            response = await send_request(cfg, "/accept/1", method="POST", body=FATAL_BODY)
            assert response.status == 503
        assert len(list_fatal_arrivals(cluster)) == before

    run_virtual(main)


def test_node_that_was_cut_off_learns_of_the_crashes_when_it_is_linked_again() -> None:
    async def main() -> None:
        cluster, send_request = await start_fatal_cluster()
        CURRENT_HOST.set("10.0.0.1")
        cluster.network.hold("10.0.0.8")
        await asyncio.sleep(4.0)
        await crash_repeatedly(cluster, send_request)
        assert len(cluster.members[8].node._crash_registry) == 0
        cluster.network.release()
        await asyncio.sleep(6.0)
        assert cluster.members[8].node._crash_registry.count_refused() == 1

    run_virtual(main)


def test_request_is_tried_again_after_its_refusal_and_one_crash_renews_it() -> None:
    async def main() -> None:
        cluster, send_request = await start_fatal_cluster()
        await crash_repeatedly(cluster, send_request)
        before = len(list_fatal_arrivals(cluster))
        await asyncio.sleep(61.0)
        for cfg in NODES[:4]:
            await send_request(cfg, "/accept/1", method="POST", body=FATAL_BODY)
            await asyncio.sleep(0.5)
        assert len(list_fatal_arrivals(cluster)) == before + 1
        await asyncio.sleep(100.0)
        assert (
            await send_request(NODES[5], "/accept/1", method="POST", body=FATAL_BODY)
        ).status == 503

    run_virtual(main)


def test_request_that_an_upstream_completes_again_is_no_longer_suspected() -> None:
    async def main() -> None:
        cluster, send_request = await start_fatal_cluster()
        await crash_repeatedly(cluster, send_request)
        for member in cluster.members.values():
            member.upstream.is_fatal = lambda request: False
        await asyncio.sleep(61.0)
        response = await send_request(NODES[0], "/accept/1", method="POST", body=FATAL_BODY)
        assert response.status == 200
        await asyncio.sleep(0.5)
        assert [len(registry) for registry in get_registries(cluster)] == [0] * 8

    run_virtual(main)
