from __future__ import annotations

import asyncio

import pytest

from balsamhead.mesh._server import Reply, Request
from standin.virtual import RUNNING_AS
from tests.test_mesh.builders import (
    FakeUpstream,
    FleetInMemory,
    Sender,
    make_config,
    make_route,
    make_settings,
    run_virtual,
    send,
)

ONE, TWO, THREE = make_settings(1), make_settings(2), make_settings(3, service="registry")


def test_request_is_answered_by_an_upstream_of_its_service() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(ONE, THREE)
        response = await ask(THREE)
        assert (response.status, response.body) == (200, b"from i-node-1")
        seen = fleet.members[1].upstream.seen[0].start
        assert seen.values[b"caller-service"] == [b"registry"]
        assert int(seen.values[b"deadline-ms"][0]) <= 1000
        assert response.headers[b"server-stamp"] == [b"i-node-1"]

    run_virtual(main)


def test_caller_service_of_the_caller_is_replaced() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(ONE)
        await ask(ONE, headers="Caller-Service: forged\r\n")
        seen = fleet.members[1].upstream.seen[0].start
        assert seen.values[b"caller-service"] == [b"desk"]

    run_virtual(main)


def test_path_without_route_is_not_found() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(ONE)
        assert (await ask(ONE, "/nowhere/1")).status == 404

    run_virtual(main)


def test_node_without_configuration_says_not_run_and_is_not_ready() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        fleet.store.faults.status = 503
        await fleet.start(ONE)
        response = await ask(ONE)
        assert response.status == 503
        assert b"retry-after" in response.headers
        assert (await send(ONE.ready_address, "GET", "/")).status == 503

    run_virtual(main)


def test_upstream_never_gets_more_than_its_slots() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(ONE, TWO)
        await asyncio.gather(*(ask(cfg) for cfg in (ONE, TWO) for _ in range(40)))
        for member in fleet.members.values():
            assert member.upstream.most_running <= member.upstream.slots

    run_virtual(main)


def test_excess_is_refused_early_with_a_time_to_come_back() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(ONE)
        loop = asyncio.get_running_loop()
        began = loop.time()

        async def ask_and_time() -> tuple[int, float]:
            response = await ask(ONE)
            return response.status, loop.time() - began

        rows = await asyncio.gather(*(ask_and_time() for _ in range(100)))
        refused = [took for status, took in rows if status == 503]
        assert refused
        assert {status for status, _ in rows} == {200, 503}
        assert min(refused) < 0.02

    run_virtual(main)


def test_change_is_in_force_everywhere_at_once_and_by_few_reads() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        many = [make_settings(number) for number in range(1, 8)]
        await fleet.start(*many)
        before = len(fleet.store.calls)
        fleet.store.put("keyed.op", "config", make_config(2, new=make_route(path_prefix="/new/")))
        await asyncio.sleep(0.1)
        for cfg in many:
            assert (await ask(cfg, "/new/1")).status == 200
        assert len(fleet.store.calls) - before <= 4

    run_virtual(main)


def test_change_arrives_when_a_reader_is_killed() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(*(make_settings(number) for number in range(1, 6)))
        readers = [
            number for number, member in fleet.members.items() if member.node._sync.is_reader()
        ]
        for number in readers:
            fleet.kill(number)
        fleet.store.put("keyed.op", "config", make_config(2, new=make_route(path_prefix="/new/")))
        await asyncio.sleep(1.8)
        for member in fleet.members.values():
            assert (await ask(member.cfg, "/new/1")).status == 200

    run_virtual(main)


def test_change_arrives_while_all_readers_stop() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(*(make_settings(number) for number in range(1, 6)))
        for member in list(fleet.members.values()):
            if member.node._sync.is_reader():
                member.node.stop()
        await asyncio.sleep(0.5)
        fleet.store.put("keyed.op", "config", make_config(2, new=make_route(path_prefix="/new/")))
        await asyncio.sleep(1.5)
        for member in fleet.members.values():
            assert (await ask(member.cfg, "/new/1")).status == 200

    run_virtual(main)


def test_node_that_the_store_turns_away_gets_changes_from_peers() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(ONE, TWO, make_settings(4), make_settings(5))
        readers = [m for m in fleet.members.values() if m.node._sync.is_reader()]
        fleet.store.faults.refused_hosts = {m.cfg.peer_address.split(":")[0] for m in readers}
        await asyncio.sleep(4.0)
        fleet.store.put("keyed.op", "config", make_config(2, new=make_route(path_prefix="/new/")))
        await asyncio.sleep(2.0)
        for member in readers:
            assert (await ask(member.cfg, "/new/1")).status == 200

    run_virtual(main)


def test_stale_answers_of_the_store_set_nobody_back() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(ONE, TWO)
        fleet.store.put("keyed.op", "config", make_config(2, new=make_route(path_prefix="/new/")))
        await asyncio.sleep(0.5)
        fleet.store.faults.stale_records = 1
        fleet.store.forget_history("keyed.op")
        await asyncio.sleep(5.0)
        for cfg in (ONE, TWO):
            assert (await ask(cfg, "/new/1")).status == 200

    run_virtual(main)


def test_node_that_starts_while_the_store_is_away_is_found_by_its_peers() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(ONE, TWO, THREE)
        member = fleet.kill(3)
        fleet.store.faults.silent = True
        await asyncio.sleep(0.5)
        await fleet.add(member.cfg, upstream=member.upstream)
        await asyncio.sleep(2.0)
        assert (await ask(THREE)).status == 200

    run_virtual(main)


def test_nothing_new_goes_to_an_upstream_that_drains() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(ONE, TWO, THREE)
        upstream = fleet.members[1].upstream
        upstream.state = "draining"
        assert (await upstream.announce()).status == 200
        before = len(upstream.seen)
        rows = await asyncio.gather(*(ask(cfg) for cfg in (ONE, TWO, THREE) for _ in range(4)))
        assert [row.status for row in rows] == [200] * 12
        assert len(upstream.seen) == before

    run_virtual(main)


def test_nothing_new_goes_to_an_upstream_that_left_without_draining() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(ONE, TWO)
        upstream = fleet.members[1].upstream
        assert (await upstream.leave()).status == 200
        before = len(upstream.seen)
        # a heartbeat that was sent before may come later
        upstream.sequence -= 1
        await upstream.announce()
        rows = await asyncio.gather(*(ask(cfg) for cfg in (ONE, TWO) for _ in range(2)))
        assert [row.status for row in rows] == [200] * 4
        assert len(upstream.seen) == before

    run_virtual(main)


def test_late_heartbeat_of_an_earlier_upstream_changes_nothing() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(ONE)
        upstream = fleet.members[1].upstream
        upstream.id, upstream.born, upstream.sequence = "i-new", 2000, 0
        await upstream.announce()
        upstream.id, upstream.born, upstream.sequence = "i-node-1", 1000, 90
        await upstream.announce()
        upstream.id = "i-new"
        assert (await ask(ONE)).status == 200

    run_virtual(main)


def test_malformed_heartbeat_names_nobody_and_harms_nobody() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(ONE)
        for body in (b"\xff", b"{}", b'{"service": 3}', b"[]"):
            address = ONE.announce_address
            assert (await send(address, "PUT", "/instances/i-foreign", body)).status == 400
        assert (await ask(ONE)).status == 200

    run_virtual(main)


def test_request_that_runs_at_most_once_is_not_repeated_after_a_lost_answer() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(ONE, TWO, THREE)
        for number in (1, 2):
            fleet.members[number].upstream.answer = lambda request: Reply(0, cut=True)
        response = await ask(THREE, "/accept/1", method="POST", body=b"x" * 5000)
        assert response.status == 502
        ran = fleet.members[1].upstream.ran + fleet.members[2].upstream.ran
        assert ran["r1"] == 1

    run_virtual(main)


def test_idempotent_request_is_repeated_elsewhere_after_a_lost_answer() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(ONE, TWO, THREE)
        fleet.members[1].upstream.answer = lambda request: Reply(0, cut=True)
        rows = [await ask(THREE) for _ in range(6)]
        assert [row.status for row in rows] == [200] * 6

    run_virtual(main)


def test_answer_that_is_cut_short_never_looks_complete() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(ONE)

        def cut_short(request: Request) -> Reply:
            headers = (
                b"Request-Id: %b\r\nServer-Stamp: s\r\n" % request.start.values[b"request-id"][0]
            )
            return Reply(200, b"half", headers, length=8)

        fleet.members[1].upstream.answer = cut_short
        response = await ask(ONE, "/accept/1", method="POST", deadline_ms=400)
        assert response.status in (502, 504)

    run_virtual(main)


def test_answer_to_another_request_is_not_delivered() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(ONE)
        fleet.members[1].upstream.answer = lambda request: Reply(
            200, b"wrong", b"Request-Id: another\r\nServer-Stamp: s\r\n"
        )
        response = await ask(ONE, "/accept/1", method="POST", deadline_ms=300)
        assert response.status in (502, 504)
        assert response.body == b""

    run_virtual(main)


def test_success_without_signature_is_no_success() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(ONE)
        fleet.members[1].upstream.answer = lambda request: Reply(
            200, b"?", b"Request-Id: %b\r\n" % request.start.values[b"request-id"][0]
        )
        assert (await ask(ONE, "/accept/1", method="POST")).status == 502

    run_virtual(main)


def test_links_that_go_silent_are_replaced() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(ONE, THREE)
        fleet.network.cut("10.0.0.3", silent=True)
        await asyncio.sleep(2.5)
        assert (await ask(THREE)).status == 200

    run_virtual(main)


def test_stopping_node_cuts_nothing_and_gets_nothing_new() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(ONE, TWO, THREE)
        fleet.members[1].upstream.work_s = 0.6
        running = [asyncio.ensure_future(ask(ONE)) for _ in range(3)]
        await asyncio.sleep(0.05)
        fleet.members[1].node.stop()
        assert (await send(ONE.ready_address, "GET", "/")).status == 503
        await asyncio.sleep(0.02)
        before = len(fleet.members[1].upstream.seen)
        rows = await asyncio.gather(*(ask(cfg) for cfg in (ONE, THREE) for _ in range(4)))
        assert [row.status for row in rows] == [200] * 8
        assert len(fleet.members[1].upstream.seen) == before
        assert [row.status for row in await asyncio.gather(*running)] == [200] * 3
        await asyncio.wait_for(fleet.members[1].task, 6.0)

    run_virtual(main)


def test_all_nodes_are_back_soon_after_all_were_killed() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(ONE, TWO, THREE)
        members = [fleet.kill(number) for number in (1, 2, 3)]
        await asyncio.sleep(1.0)
        for member in members:
            await fleet.add(member.cfg, upstream=member.upstream)
        await asyncio.sleep(2.0)
        for cfg in (ONE, TWO, THREE):
            assert (await ask(cfg)).status == 200

    run_virtual(main)


def test_caller_that_leaves_ends_an_idempotent_request_at_the_upstream() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(ONE, THREE)
        upstream = fleet.members[1].upstream
        upstream.work_s = 5.0
        task = asyncio.ensure_future(ask(THREE, deadline_ms=900))
        await asyncio.sleep(0.1)
        assert upstream.running == 1
        task.cancel()
        await asyncio.sleep(0.1)
        assert upstream.running == 0

    run_virtual(main)


def test_request_is_not_held_past_its_routes_timeout() -> None:
    async def main() -> None:
        config = make_config(check=make_route(timeout="300ms"))
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(ONE, config=config)
        fleet.members[1].upstream.work_s = 5.0
        loop = asyncio.get_running_loop()
        began = loop.time()
        assert (await ask(ONE)).status == 504
        assert loop.time() - began < 0.4

    run_virtual(main)


def test_long_answer_arrives_whole_over_a_link() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(ONE, THREE)
        body = bytes(range(256)) * 8000

        def answer(request: Request) -> Reply:
            request_id = request.start.values[b"request-id"][0]
            return Reply(200, body, b"Request-Id: %b\r\nServer-Stamp: s\r\n" % request_id)

        fleet.members[1].upstream.answer = answer
        response = await ask(THREE)
        assert response.body == body

    run_virtual(main)


def test_urgent_request_goes_before_those_that_wait() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(ONE, THREE)
        upstream = fleet.members[1].upstream
        waiting = [asyncio.ensure_future(ask(THREE, deadline_ms=2000)) for _ in range(16)]
        await asyncio.sleep(0.01)
        loop = asyncio.get_running_loop()
        began = loop.time()
        # rank 1 against rank 2 of those that wait
        assert (await ask(THREE, "/accept/1", method="POST")).status == 200
        assert loop.time() - began < 2.5 * upstream.work_s
        await asyncio.gather(*waiting)

    run_virtual(main)


def test_urgent_request_is_not_refused_for_those_that_wait_behind_it() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        tight = make_route(
            path_prefix="/tight/", priority=1, target_latency="120ms", timeout="250ms"
        )
        await fleet.start(ONE, THREE, config=make_config(tight=tight))
        waiting = [asyncio.ensure_future(ask(THREE, deadline_ms=2000)) for _ in range(16)]
        await asyncio.sleep(0.01)
        rows = [await ask(THREE, "/tight/1", deadline_ms=250) for _ in range(3)]
        assert [row.status for row in rows] == [200] * 3
        await asyncio.gather(*waiting)

    run_virtual(main)


def test_call_that_was_held_up_does_not_run_after_it_was_given_up() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(ONE, THREE)
        fleet.network.hold("10.0.0.3")
        RUNNING_AS.set("10.0.0.3")
        response = await ask(THREE, "/accept/1", method="POST", deadline_ms=800)
        assert response.status in (502, 504)
        await asyncio.sleep(3.0)
        fleet.network.release()
        await asyncio.sleep(2.0)
        assert fleet.members[1].upstream.ran["r1"] == 0
        assert (await ask(THREE)).status == 200

    run_virtual(main)


def test_request_that_comes_late_in_a_stop_is_refused_and_none_is_cut() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(ONE, TWO, THREE)
        for number in (1, 2):
            fleet.members[number].upstream.work_s = 0.7
        fleet.members[3].node.stop()
        statuses: list[int] = []

        async def ask_one() -> None:
            try:
                response = await ask(THREE, "/accept/1", method="POST", deadline_ms=1500)
            except ConnectionRefusedError:
                return
            statuses.append(response.status)
            if response.status == 503:
                assert response.headers[b"connection"] == [b"close"]

        tasks = []
        for _ in range(60):
            tasks.append(asyncio.ensure_future(ask_one()))
            await asyncio.sleep(0.1)
        await asyncio.gather(*tasks)
        assert set(statuses) == {200, 503}
        await asyncio.wait_for(fleet.members[3].task, 1.0)

    run_virtual(main)


def test_lower_rank_is_served_too_when_a_higher_one_takes_all_slots() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        urgent = make_route(path_prefix="/urgent/", priority=1, target_latency="100ms")
        await fleet.start(ONE, THREE, config=make_config(urgent=urgent))
        results: dict[str, list[int]] = {"/urgent/1": [], "/check/1": []}

        async def press(path: str) -> None:
            results[path].append((await ask(THREE, path)).status)

        tasks = []
        for number in range(300):
            tasks.append(asyncio.ensure_future(press("/urgent/1")))
            if number % 4 == 0:
                tasks.append(asyncio.ensure_future(press("/check/1")))
            await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)
        for statuses in results.values():
            assert statuses.count(200) > 0.3 * len(statuses)

    run_virtual(main)


def test_bulk_crosses_a_border_only_when_its_data_centre_stays_without_upstream() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        bulk = make_route(path_prefix="/bulk/", kind="download")
        other = make_settings(2, place="east-b")
        await fleet.start(ONE, other, THREE, config=make_config(bulk=bulk))
        assert (await ask(THREE, "/bulk/1")).body == b"from i-node-1"
        await fleet.members[1].upstream.leave()
        response = await ask(THREE, "/bulk/1")
        assert response.status == 503
        assert b"retry-after" in response.headers
        assert (await ask(THREE)).body == b"from i-node-2"
        await asyncio.sleep(6.0)
        assert (await ask(THREE, "/bulk/1")).body == b"from i-node-2"

    run_virtual(main)


def test_reload_takes_over_what_a_running_node_can_change() -> None:
    async def main() -> None:
        fleet = FleetInMemory()
        await fleet.start(ONE)
        node = fleet.members[1].node
        node.reload(ONE._replace(retry_ratio=0.0, retry_slack=0.0, caller_address="10.0.0.1:9"))
        assert not node._budget.take("desk", asyncio.get_running_loop().time())
        assert node._cfg.caller_address == ONE.caller_address

    run_virtual(main)


def test_call_that_finds_an_upstream_full_goes_to_a_free_one() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start()
        callers = [make_settings(number, service="registry") for number in range(1, 5)]
        for cfg in callers:
            await fleet.add(cfg)
        for number in range(5, 9):
            cfg = make_settings(number)
            upstream = FakeUpstream(cfg, slots=1)
            await upstream.start()
            await fleet.add(cfg, upstream=upstream)
        await asyncio.sleep(3.0)
        loop = asyncio.get_running_loop()
        for _ in range(8):
            began = loop.time()
            rows = await asyncio.gather(*(ask(cfg) for cfg in callers))
            assert [row.status for row in rows] == [200] * 4
            assert loop.time() - began < 2 * upstream.work_s
            await asyncio.sleep(0.5)

    run_virtual(main)


def test_request_waits_at_several_nodes_no_longer_than_at_one() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start()
        for number in (1, 2):
            cfg = make_settings(number)
            upstream = FakeUpstream(cfg, slots=1)
            upstream.work_s = 5.0
            await upstream.start()
            await fleet.add(cfg, upstream=upstream)
        await fleet.add(THREE)
        await asyncio.sleep(3.0)
        hogs = [asyncio.create_task(ask(cfg, deadline_ms=6000)) for cfg in (ONE, TWO)]
        await asyncio.sleep(0.1)
        loop = asyncio.get_running_loop()
        began = loop.time()
        response = await ask(THREE)
        assert response.status == 503
        assert loop.time() - began < 0.45
        await asyncio.gather(*hogs)

    run_virtual(main)


def test_request_that_runs_at_most_once_goes_on_no_connection_that_was_idle() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(ONE)
        for pause_s in (0.0, 0.05, 0.3):
            await asyncio.sleep(pause_s)
            assert (await ask(ONE, "/accept/1", method="POST")).status == 200
        first, second, third = [row.peer for row in fleet.members[1].upstream.seen]
        assert first == second
        assert third != second

    run_virtual(main)


def test_line_of_a_refusal_holds_what_it_was_decided_from(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO")

    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(ONE)
        await asyncio.gather(*(ask(ONE) for _ in range(100)))

    run_virtual(main)
    rows = [row for row in caplog.records if row.message == "request-failed"]
    line = next(vars(row) for row in rows if vars(row)["code"] == "upstreams-busy")
    assert line["config"] == 1
    assert line["decided"]["node"] == "node-1"
    assert line["decided"]["wait_ms"] > line["decided"]["room_ms"]
    assert line["decided"]["load_age_s"] == 0.0


def test_upstream_that_joins_gets_calls_of_other_nodes_beside_a_fast_one() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(ONE, THREE)
        fleet.members[1].upstream.work_s = 0.01
        for _ in range(60):
            await ask(THREE)
        joined = await fleet.add(TWO)
        await asyncio.sleep(3.0)
        for _ in range(10):
            await ask(THREE)
        assert joined.upstream.seen

    run_virtual(main)
