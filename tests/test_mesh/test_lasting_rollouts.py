"""What rollouts decided holds after the node that decided it, or all nodes, have ended."""

from __future__ import annotations

import asyncio
import logging

import pytest

from balsamhead.mesh._traffic_split import TrafficSplit
from balsamhead.mesh.model import Phase, Rollout, WithdrawnVersion
from tests.test_mesh.builders import (
    NODE_1,
    InMemoryCluster,
    Member,
    RequestSender,
    get_statuses,
    make_settings,
    run_virtual,
)
from tests.test_mesh.rollout_builders import (
    OLD,
    answer_500,
    get_status,
    send_load,
    start_rollout,
)

#: nodes beside upstreams of the version that is ordered last
NEWEST = [make_settings(6), make_settings(7)]


def order(fleet: InMemoryCluster, version: str) -> None:
    row = {"service": "desk", "target_version": version, "duration": "30s"}
    fleet.store.put("keyed.op", "rollout/desk", row)


def count_requests(members: list[Member]) -> int:
    return sum(len(member.upstream.requests) for member in members)


# Duty: a rollback whose coordinator ended before the status was written was never written.
def test_rollback_whose_coordinator_ends_is_written_by_another_one() -> None:
    async def main() -> None:
        fleet, ask = InMemoryCluster(), RequestSender()
        new = await start_rollout(fleet)
        await send_load(ask, 2.0, [])
        fleet.store.faults.status = 503
        for member in new:
            member.upstream.make_custom_reply = answer_500
        await send_load(ask, 3.0, [])
        assert get_status(fleet).get("state") != "rolled_back"
        coordinator = fleet.members[1].node._rollouts._find_coordinator("desk")
        fleet.kill(int(coordinator.split("-")[1]))
        fleet.store.faults.status = 0
        await asyncio.sleep(4.0)
        assert get_status(fleet)["state"] == "rolled_back"

    run_virtual(main)


def test_end_of_a_rollout_is_looked_up_once_by_each_coordinator() -> None:
    async def main() -> None:
        fleet, ask = InMemoryCluster(), RequestSender()
        new = await start_rollout(fleet)
        for member in new:
            member.upstream.make_custom_reply = answer_500
        await send_load(ask, 5.0, [])
        calls_before = len([call for call in fleet.store.calls if call != "/log-read"])
        await asyncio.sleep(20.0)
        calls = len([call for call in fleet.store.calls if call != "/log-read"])
        assert calls == calls_before

    run_virtual(main)


# A version whose order was replaced got requests again after the end of all nodes.
@pytest.mark.parametrize("kill_all", [True, False])
def test_version_whose_order_was_replaced_stays_away_after_restarts(kill_all: bool) -> None:
    async def main() -> None:
        fleet, ask = InMemoryCluster(), RequestSender()
        replaced = await start_rollout(fleet)
        await send_load(ask, 1.0, [])
        order(fleet, "v3")
        await asyncio.sleep(2.0)
        for cfg in NEWEST:
            await fleet.add(cfg, version="v3")
        await asyncio.sleep(1.0)
        if kill_all:
            await fleet.restart_all()
            await asyncio.sleep(2.0)
        else:
            member = fleet.kill(3)
            await fleet.add(OLD[2], upstream=member.upstream)
            await asyncio.sleep(2.0)
        before = count_requests(replaced)
        statuses: list[int] = []
        await send_load(ask, 3.0, statuses)
        assert set(statuses) == {200}
        assert count_requests(replaced) == before

    run_virtual(main)


def test_withdrawn_versions_are_listed_and_restored() -> None:
    shares, other = TrafficSplit(), TrafficSplit()
    shares.apply_state(Rollout("desk", "v2", 1, Phase.ROLLED_BACK, 1, 0.0))
    shares.apply_state(Rollout("desk", "v3", 2, Phase.RUNNING, 0, 0.0))
    shares.apply_state(Rollout("desk", "v4", 3, Phase.RUNNING, 0, 0.0))
    rows = shares.list_withdrawn("desk")
    assert rows == (
        WithdrawnVersion("v2", 1, rolled_back=True),
        WithdrawnVersion("v3", 2, rolled_back=False),
    )
    other.apply_state(Rollout("desk", "v4", 3, Phase.RUNNING, 0, 0.0))
    other.restore_withdrawn("desk", rows)
    assert other.select_versions("desk", {"v1": 1, "v2": 5, "v3": 5}) == ["v1"]


# A node whose metrics have the port of another of its addresses didn't start.
def test_node_starts_without_metrics_if_their_port_is_taken(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def main() -> None:
        cluster = InMemoryCluster()
        await cluster.start(NODE_1._replace(metrics_port=8004))
        assert await get_statuses(cluster, RequestSender(), "/check/1") == [200]

    caplog.set_level(logging.ERROR)
    run_virtual(main)
    (row,) = (row for row in caplog.records if row.message == "metrics-port-taken")
    assert (row.metrics_port, row.taken_by) == (8004, ["peer_address"])  # type: ignore[attr-defined]
