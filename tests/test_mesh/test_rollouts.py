from __future__ import annotations

import asyncio
from typing import Any

from balsamhead.mesh._server import Reply, Request
from tests.test_mesh.builders import (
    InMemoryCluster,
    RequestSender,
    run_virtual,
)
from tests.test_mesh.rollout_builders import (
    NEW,
    OLD,
    answer_500,
    get_status,
    send_load,
    start_rollout,
)


def test_good_version_is_completed_in_time_without_failed_requests() -> None:
    async def main() -> None:
        fleet, ask = InMemoryCluster(), RequestSender()
        new = await start_rollout(fleet)
        statuses: list[int] = []
        await send_load(ask, 2.0, statuses)
        assert get_status(fleet)["state"] == "running"
        await send_load(ask, 13.0, statuses)
        assert get_status(fleet) | {"order": 0} == {
            "state": "completed",
            "target_version": "v2",
            "order": 0,
        }
        counts_before = [len(fleet.members[number].upstream.requests) for number in (1, 2)]
        await send_load(ask, 1.0, statuses)
        assert [len(fleet.members[number].upstream.requests) for number in (1, 2)] == counts_before
        assert sum(len(member.upstream.requests) for member in new) > 100
        assert set(statuses) == {200}

    run_virtual(main)


def test_failing_version_is_rolled_back_after_few_calls() -> None:
    async def main() -> None:
        fleet, ask = InMemoryCluster(), RequestSender()
        new = await start_rollout(fleet)
        for member in new:
            member.upstream.make_custom_reply = answer_500
        statuses: list[int] = []
        await send_load(ask, 5.0, statuses)
        assert get_status(fleet)["state"] == "rolled_back"
        seen = sum(len(member.upstream.requests) for member in new)
        assert seen <= 0.1 * 16 * 100
        await send_load(ask, 3.0, statuses)
        assert sum(len(member.upstream.requests) for member in new) == seen

    run_virtual(main)


def test_version_that_starts_to_fail_later_is_rolled_back() -> None:
    async def main() -> None:
        fleet, ask = InMemoryCluster(), RequestSender()
        new = await start_rollout(fleet)
        statuses: list[int] = []
        await send_load(ask, 4.5, statuses)
        for member in new:
            member.upstream.make_custom_reply = answer_500
        await send_load(ask, 4.0, statuses)
        assert get_status(fleet)["state"] == "rolled_back"
        assert sum(len(member.upstream.requests) for member in new) <= 0.1 * 16 * 100 + 50

    run_virtual(main)


def test_slow_version_is_rolled_back() -> None:
    async def main() -> None:
        fleet, ask = InMemoryCluster(), RequestSender()
        new = await start_rollout(fleet)
        for member in new:
            member.upstream.service_time_s = 0.4
        await send_load(ask, 6.0, [])
        assert get_status(fleet)["state"] == "rolled_back"

    run_virtual(main)


def test_equal_failures_of_both_versions_cause_no_rollback() -> None:
    async def main() -> None:
        fleet, ask = InMemoryCluster(), RequestSender()
        new = await start_rollout(fleet)
        for member in [*fleet.members.values(), *new]:
            upstream = member.upstream

            def answer(request: Request, upstream: Any = upstream) -> Reply | None:
                return answer_500(request) if len(upstream.seen) % 5 == 0 else None

            upstream.make_custom_reply = answer
        await send_load(ask, 15.0, [])
        assert get_status(fleet)["state"] == "completed"

    run_virtual(main)


def test_rollback_during_a_store_outage_takes_effect_and_is_written_afterwards() -> None:
    async def main() -> None:
        fleet, ask = InMemoryCluster(), RequestSender()
        new = await start_rollout(fleet)
        await send_load(ask, 2.0, [])
        fleet.store.faults.status = 503
        for member in new:
            member.upstream.make_custom_reply = answer_500
        await send_load(ask, 2.0, [])
        seen = sum(len(member.upstream.requests) for member in new)
        await send_load(ask, 2.0, [])
        assert sum(len(member.upstream.requests) for member in new) == seen
        fleet.store.faults.status = 0
        await send_load(ask, 2.0, [])
        assert get_status(fleet)["state"] == "rolled_back"

    run_virtual(main)


def test_rollout_continues_after_its_coordinator_is_killed() -> None:
    async def main() -> None:
        fleet, ask = InMemoryCluster(), RequestSender()
        await start_rollout(fleet)
        await send_load(ask, 3.0, [])
        coordinator = fleet.members[1].node._rollouts._find_coordinator("desk")
        number = int(coordinator.split("-")[1])
        if number != 3:
            fleet.kill(number)
            await send_load(ask, 12.0, [])
            assert get_status(fleet)["state"] == "completed"

    run_virtual(main)


def test_rollback_survives_a_restart_of_all_nodes() -> None:
    async def main() -> None:
        fleet, ask = InMemoryCluster(), RequestSender()
        new = await start_rollout(fleet)
        for member in new:
            member.upstream.make_custom_reply = answer_500
        await send_load(ask, 5.0, [])
        assert get_status(fleet)["state"] == "rolled_back"
        await fleet.restart_all(down_s=0.5)
        await asyncio.sleep(2.5)
        seen = sum(len(member.upstream.requests) for member in new)
        await send_load(ask, 2.0, [])
        assert sum(len(member.upstream.requests) for member in new) == seen

    run_virtual(main)


# Nobody was served: the version in use was ordered again, and another one before that had ended.
def test_requests_are_served_when_an_order_for_the_version_in_use_is_replaced() -> None:
    async def main() -> None:
        fleet, ask = InMemoryCluster(), RequestSender()
        await fleet.start(*OLD)
        for version in ("v1", "v2"):
            order = {"service": "desk", "target_version": version, "duration": "16s"}
            fleet.store.put("keyed.op", "rollout/desk", order)
            await asyncio.sleep(1.0)
        for cfg in NEW:
            await fleet.add(cfg, version="v2")
        statuses: list[int] = []
        await send_load(ask, 15.0, statuses)
        assert set(statuses) == {200}
        assert get_status(fleet)["state"] == "completed"

    run_virtual(main)
