from __future__ import annotations

import asyncio

import pytest

from balsamhead.mesh._server import Reply, Request
from standin.virtual_network import CURRENT_HOST
from tests.test_mesh.builders import (
    FakeUpstream,
    InMemoryCluster,
    RequestSender,
    make_config,
    make_route,
    make_settings,
    run_virtual,
    send,
)

NODE_1, NODE_2, NODE_3 = make_settings(1), make_settings(2), make_settings(3, service="registry")


def test_request_is_answered_by_an_upstream_of_its_service() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(NODE_1, NODE_3)
        response = await send_request(NODE_3)
        assert (response.status, response.body) == (200, b"from i-node-1")
        seen = cluster.members[1].upstream.requests[0].head
        assert seen.headers[b"caller-service"] == [b"registry"]
        assert int(seen.headers[b"deadline-ms"][0]) <= 1000
        assert response.headers[b"server-stamp"] == [b"i-node-1"]

    run_virtual(main)


def test_caller_service_header_of_a_caller_is_overwritten() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(NODE_1)
        await send_request(NODE_1, headers="Caller-Service: forged\r\n")
        seen = cluster.members[1].upstream.requests[0].head
        assert seen.headers[b"caller-service"] == [b"desk"]

    run_virtual(main)


def test_path_without_route_gets_404() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(NODE_1)
        assert (await send_request(NODE_1, "/nowhere/1")).status == 404

    run_virtual(main)


def test_node_without_configuration_answers_503_and_is_not_ready() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        cluster.store.faults.status = 503
        await cluster.start(NODE_1)
        response = await send_request(NODE_1)
        assert response.status == 503
        assert b"retry-after" in response.headers
        assert (await send(NODE_1.ready_address, "GET", "/")).status == 503

    run_virtual(main)


def test_upstream_concurrency_never_exceeds_its_slots() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(NODE_1, NODE_2)
        await asyncio.gather(*(send_request(cfg) for cfg in (NODE_1, NODE_2) for _ in range(40)))
        for member in cluster.members.values():
            assert member.upstream.max_running <= member.upstream.slots

    run_virtual(main)


def test_excess_requests_are_refused_early_with_retry_after() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(NODE_1)
        loop = asyncio.get_running_loop()
        started_at = loop.time()

        async def send_timed_request() -> tuple[int, float]:
            response = await send_request(NODE_1)
            return response.status, loop.time() - started_at

        responses = await asyncio.gather(*(send_timed_request() for _ in range(100)))
        refused = [took for status, took in responses if status == 503]
        assert refused
        assert {status for status, _ in responses} == {200, 503}
        assert min(refused) < 0.02

    run_virtual(main)


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
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(NODE_1, NODE_2, make_settings(4), make_settings(5))
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
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(NODE_1, NODE_2)
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
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(NODE_1, NODE_2, NODE_3)
        member = cluster.kill(3)
        cluster.store.faults.silent = True
        await asyncio.sleep(0.5)
        await cluster.add(member.cfg, upstream=member.upstream)
        await asyncio.sleep(2.0)
        assert (await send_request(NODE_3)).status == 200

    run_virtual(main)


def test_draining_upstream_gets_no_new_requests() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(NODE_1, NODE_2, NODE_3)
        upstream = cluster.members[1].upstream
        upstream.state = "draining"
        assert (await upstream.announce()).status == 200
        before = len(upstream.requests)
        responses = await asyncio.gather(
            *(send_request(cfg) for cfg in (NODE_1, NODE_2, NODE_3) for _ in range(4))
        )
        assert [response.status for response in responses] == [200] * 12
        assert len(upstream.requests) == before

    run_virtual(main)


def test_upstream_that_left_without_draining_gets_no_new_requests() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(NODE_1, NODE_2)
        upstream = cluster.members[1].upstream
        assert (await upstream.leave()).status == 200
        before = len(upstream.requests)
        # a heartbeat that was sent before the departure may arrive after it
        upstream.sequence -= 1
        await upstream.announce()
        responses = await asyncio.gather(
            *(send_request(cfg) for cfg in (NODE_1, NODE_2) for _ in range(2))
        )
        assert [response.status for response in responses] == [200] * 4
        assert len(upstream.requests) == before

    run_virtual(main)


def test_late_heartbeat_of_a_replaced_upstream_is_ignored() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(NODE_1)
        upstream = cluster.members[1].upstream
        upstream.id, upstream.born, upstream.sequence = "i-new", 2000, 0
        await upstream.announce()
        upstream.id, upstream.born, upstream.sequence = "i-node-1", 1000, 90
        await upstream.announce()
        upstream.id = "i-new"
        assert (await send_request(NODE_1)).status == 200

    run_virtual(main)


def test_malformed_heartbeat_is_rejected_and_has_no_effect() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(NODE_1)
        for body in (b"\xff", b"{}", b'{"service": 3}', b"[]"):
            address = NODE_1.announce_address
            assert (await send(address, "PUT", "/instances/i-foreign", body)).status == 400
        assert (await send_request(NODE_1)).status == 200

    run_virtual(main)


def test_at_most_once_request_is_not_retried_after_a_lost_response() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(NODE_1, NODE_2, NODE_3)
        for number in (1, 2):
            cluster.members[number].upstream.make_custom_reply = lambda request: Reply(
                0, abort=True
            )
        response = await send_request(NODE_3, "/accept/1", method="POST", body=b"x" * 5000)
        assert response.status == 502
        run_counts = cluster.members[1].upstream.run_counts + cluster.members[2].upstream.run_counts
        assert run_counts["r1"] == 1

    run_virtual(main)


def test_idempotent_request_is_retried_on_another_node_after_a_lost_response() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(NODE_1, NODE_2, NODE_3)
        cluster.members[1].upstream.make_custom_reply = lambda request: Reply(0, abort=True)
        responses = [await send_request(NODE_3) for _ in range(6)]
        assert [response.status for response in responses] == [200] * 6

    run_virtual(main)


def test_truncated_response_is_not_delivered_as_complete() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(NODE_1)

        def reply_truncated(request: Request) -> Reply:
            headers = (
                b"Request-Id: %b\r\nServer-Stamp: s\r\n" % request.head.headers[b"request-id"][0]
            )
            return Reply(200, b"half", headers, length=8)

        cluster.members[1].upstream.make_custom_reply = reply_truncated
        response = await send_request(NODE_1, "/accept/1", method="POST", deadline_ms=400)
        assert response.status in (502, 504)

    run_virtual(main)


def test_response_to_another_request_is_not_delivered() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(NODE_1)
        cluster.members[1].upstream.make_custom_reply = lambda request: Reply(
            200, b"wrong", b"Request-Id: another\r\nServer-Stamp: s\r\n"
        )
        response = await send_request(NODE_1, "/accept/1", method="POST", deadline_ms=300)
        assert response.status in (502, 504)
        assert response.body == b""

    run_virtual(main)


def test_success_response_without_server_stamp_becomes_502() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(NODE_1)
        cluster.members[1].upstream.make_custom_reply = lambda request: Reply(
            200, b"?", b"Request-Id: %b\r\n" % request.head.headers[b"request-id"][0]
        )
        assert (await send_request(NODE_1, "/accept/1", method="POST")).status == 502

    run_virtual(main)


def test_silent_links_are_replaced() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(NODE_1, NODE_3)
        cluster.network.disconnect("10.0.0.3", blackhole=True)
        await asyncio.sleep(2.5)
        assert (await send_request(NODE_3)).status == 200

    run_virtual(main)


def test_stopping_node_finishes_running_requests_and_gets_no_new_ones() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(NODE_1, NODE_2, NODE_3)
        cluster.members[1].upstream.service_time_s = 0.6
        running = [asyncio.ensure_future(send_request(NODE_1)) for _ in range(3)]
        await asyncio.sleep(0.05)
        cluster.members[1].node.stop()
        assert (await send(NODE_1.ready_address, "GET", "/")).status == 503
        await asyncio.sleep(0.02)
        before = len(cluster.members[1].upstream.requests)
        responses = await asyncio.gather(
            *(send_request(cfg) for cfg in (NODE_1, NODE_3) for _ in range(4))
        )
        assert [response.status for response in responses] == [200] * 8
        assert len(cluster.members[1].upstream.requests) == before
        assert [response.status for response in await asyncio.gather(*running)] == [200] * 3
        await asyncio.wait_for(cluster.members[1].task, 6.0)

    run_virtual(main)


def test_mesh_recovers_after_all_nodes_were_killed() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(NODE_1, NODE_2, NODE_3)
        members = [cluster.kill(number) for number in (1, 2, 3)]
        await asyncio.sleep(1.0)
        for member in members:
            await cluster.add(member.cfg, upstream=member.upstream)
        await asyncio.sleep(2.0)
        for cfg in (NODE_1, NODE_2, NODE_3):
            assert (await send_request(cfg)).status == 200

    run_virtual(main)


def test_caller_disconnect_cancels_an_idempotent_request_at_the_upstream() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(NODE_1, NODE_3)
        upstream = cluster.members[1].upstream
        upstream.service_time_s = 5.0
        task = asyncio.ensure_future(send_request(NODE_3, deadline_ms=900))
        await asyncio.sleep(0.1)
        assert upstream.running == 1
        task.cancel()
        await asyncio.sleep(0.1)
        assert upstream.running == 0

    run_virtual(main)


def test_request_is_answered_within_the_timeout_of_its_route() -> None:
    async def main() -> None:
        config = make_config(check=make_route(timeout="300ms"))
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(NODE_1, config=config)
        cluster.members[1].upstream.service_time_s = 5.0
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        assert (await send_request(NODE_1)).status == 504
        assert loop.time() - started_at < 0.4

    run_virtual(main)


def test_large_response_arrives_complete_over_a_link() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(NODE_1, NODE_3)
        body = bytes(range(256)) * 8000

        def answer(request: Request) -> Reply:
            request_id = request.head.headers[b"request-id"][0]
            return Reply(200, body, b"Request-Id: %b\r\nServer-Stamp: s\r\n" % request_id)

        cluster.members[1].upstream.make_custom_reply = answer
        response = await send_request(NODE_3)
        assert response.body == body

    run_virtual(main)


def test_high_priority_request_overtakes_waiting_ones() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(NODE_1, NODE_3)
        upstream = cluster.members[1].upstream
        waiting = [asyncio.ensure_future(send_request(NODE_3, deadline_ms=2000)) for _ in range(16)]
        await asyncio.sleep(0.01)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        # priority 1; the waiting requests have priority 2
        assert (await send_request(NODE_3, "/accept/1", method="POST")).status == 200
        assert loop.time() - started_at < 2.5 * upstream.service_time_s
        await asyncio.gather(*waiting)

    run_virtual(main)


def test_high_priority_request_is_not_refused_because_of_a_low_priority_queue() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        tight = make_route(
            path_prefix="/tight/", priority=1, target_latency="120ms", timeout="250ms"
        )
        await cluster.start(NODE_1, NODE_3, config=make_config(tight=tight))
        waiting = [asyncio.ensure_future(send_request(NODE_3, deadline_ms=2000)) for _ in range(16)]
        await asyncio.sleep(0.01)
        responses = [await send_request(NODE_3, "/tight/1", deadline_ms=250) for _ in range(3)]
        assert [response.status for response in responses] == [200] * 3
        await asyncio.gather(*waiting)

    run_virtual(main)


def test_delayed_call_is_not_executed_after_its_sender_gave_up() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(NODE_1, NODE_3)
        cluster.network.hold("10.0.0.3")
        CURRENT_HOST.set("10.0.0.3")
        response = await send_request(NODE_3, "/accept/1", method="POST", deadline_ms=800)
        assert response.status in (502, 504)
        await asyncio.sleep(3.0)
        cluster.network.release()
        await asyncio.sleep(2.0)
        assert cluster.members[1].upstream.run_counts["r1"] == 0
        assert (await send_request(NODE_3)).status == 200

    run_virtual(main)


def test_requests_late_in_a_stop_are_refused_and_none_is_aborted() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(NODE_1, NODE_2, NODE_3)
        for number in (1, 2):
            cluster.members[number].upstream.service_time_s = 0.7
        cluster.members[3].node.stop()
        statuses: list[int] = []

        async def send_one_request() -> None:
            try:
                response = await send_request(NODE_3, "/accept/1", method="POST", deadline_ms=1500)
            except ConnectionRefusedError:
                return
            statuses.append(response.status)
            if response.status == 503:
                assert response.headers[b"connection"] == [b"close"]

        tasks = []
        for _ in range(60):
            tasks.append(asyncio.ensure_future(send_one_request()))
            await asyncio.sleep(0.1)
        await asyncio.gather(*tasks)
        assert set(statuses) == {200, 503}
        await asyncio.wait_for(cluster.members[3].task, 1.0)

    run_virtual(main)


def test_low_priority_is_not_starved_by_high_priority_load() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        urgent = make_route(path_prefix="/urgent/", priority=1, target_latency="100ms")
        await cluster.start(NODE_1, NODE_3, config=make_config(urgent=urgent))
        results: dict[str, list[int]] = {"/urgent/1": [], "/check/1": []}

        async def send_and_record(path: str) -> None:
            results[path].append((await send_request(NODE_3, path)).status)

        tasks = []
        for number in range(300):
            tasks.append(asyncio.ensure_future(send_and_record("/urgent/1")))
            if number % 4 == 0:
                tasks.append(asyncio.ensure_future(send_and_record("/check/1")))
            await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)
        for statuses in results.values():
            assert statuses.count(200) > 0.3 * len(statuses)

    run_virtual(main)


def test_bulk_leaves_its_data_centre_only_after_a_lasting_lack_of_upstreams() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        bulk = make_route(path_prefix="/bulk/", kind="download")
        other = make_settings(2, place="east-b")
        await cluster.start(NODE_1, other, NODE_3, config=make_config(bulk=bulk))
        assert (await send_request(NODE_3, "/bulk/1")).body == b"from i-node-1"
        await cluster.members[1].upstream.leave()
        response = await send_request(NODE_3, "/bulk/1")
        assert response.status == 503
        assert b"retry-after" in response.headers
        assert (await send_request(NODE_3)).body == b"from i-node-2"
        await asyncio.sleep(6.0)
        assert (await send_request(NODE_3, "/bulk/1")).body == b"from i-node-2"

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


def test_call_refused_by_a_full_upstream_is_sent_to_a_free_one() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start()
        callers = [make_settings(number, service="registry") for number in range(1, 5)]
        for cfg in callers:
            await cluster.add(cfg)
        for number in range(5, 9):
            cfg = make_settings(number)
            upstream = FakeUpstream(cfg, slots=1)
            await upstream.start()
            await cluster.add(cfg, upstream=upstream)
        await asyncio.sleep(3.0)
        loop = asyncio.get_running_loop()
        for _ in range(8):
            started_at = loop.time()
            responses = await asyncio.gather(*(send_request(cfg) for cfg in callers))
            assert [response.status for response in responses] == [200] * 4
            assert loop.time() - started_at < 2 * upstream.service_time_s
            await asyncio.sleep(0.5)

    run_virtual(main)


def test_queue_timeout_covers_the_waits_at_all_nodes_together() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start()
        for number in (1, 2):
            cfg = make_settings(number)
            upstream = FakeUpstream(cfg, slots=1)
            upstream.service_time_s = 5.0
            await upstream.start()
            await cluster.add(cfg, upstream=upstream)
        await cluster.add(NODE_3)
        await asyncio.sleep(3.0)
        blockers = [
            asyncio.create_task(send_request(cfg, deadline_ms=6000)) for cfg in (NODE_1, NODE_2)
        ]
        await asyncio.sleep(0.1)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        response = await send_request(NODE_3)
        assert response.status == 503
        assert loop.time() - started_at < 0.45
        await asyncio.gather(*blockers)

    run_virtual(main)


def test_at_most_once_request_does_not_reuse_an_idle_connection() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(NODE_1)
        for pause_s in (0.0, 0.05, 0.3):
            await asyncio.sleep(pause_s)
            assert (await send_request(NODE_1, "/accept/1", method="POST")).status == 200
        first, second, third = [request.peer for request in cluster.members[1].upstream.requests]
        assert first == second
        assert third != second

    run_virtual(main)


def test_log_line_of_a_refusal_holds_the_inputs_of_the_decision(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO")

    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(NODE_1)
        await asyncio.gather(*(send_request(NODE_1) for _ in range(100)))

    run_virtual(main)
    records = [row for row in caplog.records if row.message == "request-failed"]
    line = next(vars(row) for row in records if vars(row)["code"] == "upstreams-busy")
    assert line["config"] == 1
    assert line["decided"]["node"] == "node-1"
    assert line["decided"]["wait_ms"] > line["decided"]["room_ms"]
    assert line["decided"]["load_age_s"] == 0.0


def test_new_upstream_gets_calls_of_other_nodes_despite_a_faster_one() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        await cluster.start(NODE_1, NODE_3)
        cluster.members[1].upstream.service_time_s = 0.01
        for _ in range(60):
            await send_request(NODE_3)
        joined = await cluster.add(NODE_2)
        await asyncio.sleep(3.0)
        for _ in range(10):
            await send_request(NODE_3)
        assert joined.upstream.requests

    run_virtual(main)
