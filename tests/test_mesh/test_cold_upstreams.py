from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence
from typing import Any

import pytest

from balsamhead.mesh._metrics import MeshMetrics
from balsamhead.mesh._peers import Peer
from balsamhead.mesh._server import HttpServer
from balsamhead.mesh._settings import MeshSettings
from balsamhead.mesh._slot_queue import SlotQueue
from balsamhead.mesh.model import ColdStart
from balsamhead.mesh.warmup import ColdAdmission, ColdReason
from standin.virtual_network import CURRENT_HOST
from tests.test_mesh.builders import (
    LIMITS,
    NODE_1,
    NODE_2,
    NODE_3,
    RequestSender,
    make_config,
    run_virtual,
    send,
    start_cluster,
)

RATE_PER_S = 5.5
#: most requests in a second that a cold upstream bears
ALLOWED = RATE_PER_S * 1.5 + 8


def make_cold_config() -> dict[str, Any]:
    config = make_config()
    cold = {"cold_start": "3000ms", "cold_per_s": RATE_PER_S}
    config["services"]["desk"] = {**config["services"]["desk"], **cold}
    return config


def count_most_per_s(times: Sequence[float], *, since: float, until: float) -> int:
    counted = [time for time in times if since <= time <= until]
    return max((sum(t <= row <= t + 1.0 for row in counted) for t in counted), default=0)


def is_cold(peer: Peer) -> bool:
    """Return whether a node believes that the upstream of a peer is cold."""
    return peer.upstream is not None and peer.upstream.in_slow_start


async def send_for(
    send_request: RequestSender, rate_per_s: float, duration_s: float, *callers: MeshSettings
) -> list[int]:
    """Send requests to the callers' nodes in turn, and return the statuses; 0 for no response."""

    async def send_one(cfg: MeshSettings) -> int:
        try:
            return (await send_request(cfg)).status
        except (OSError, EOFError):
            return 0

    tasks = []
    for number in range(int(rate_per_s * duration_s)):
        tasks.append(asyncio.ensure_future(send_one(callers[number % len(callers)])))
        await asyncio.sleep(1 / rate_per_s)
    return list(await asyncio.gather(*tasks))


def test_cold_upstream_gets_its_rate_and_all_requests_once_it_is_warm() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_3, config=make_cold_config())
        loop, upstream = asyncio.get_running_loop(), cluster.members[1].upstream
        upstream.cold_ends_at = loop.time() + 4.0
        await upstream.announce()
        began_at = loop.time()
        await send_for(send_request, 50, 4.0, NODE_3, NODE_1)
        times = upstream.arrival_times
        assert count_most_per_s(times, since=began_at, until=upstream.cold_ends_at) <= ALLOWED
        assert len(times) >= RATE_PER_S * 3
        before = len(times)
        await asyncio.sleep(1.0)
        statuses = await send_for(send_request, 50, 3.0, NODE_3, NODE_1)
        assert statuses == [200] * 150
        assert len(times) == before + 150

    run_virtual(main)


# An upstream that was started again got all requests until its first heartbeat.
@pytest.mark.parametrize("down_s", [0.02, 0.2, 1.6])
def test_upstream_that_returns_before_its_first_heartbeat_is_treated_as_cold(
    down_s: float,
) -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_3, config=make_cold_config())
        loop, upstream = asyncio.get_running_loop(), cluster.members[1].upstream
        sending = asyncio.ensure_future(send_for(send_request, 60, 7.0, NODE_3, NODE_1))
        await asyncio.sleep(1.0)
        upstream.crash()
        await asyncio.sleep(down_s)
        upstream._server = HttpServer(upstream._run, get_limits=lambda: LIMITS)
        CURRENT_HOST.set(NODE_1.upstream_address.split(":")[0])
        await upstream._server.start(NODE_1.upstream_address)
        returned_at = loop.time()
        await asyncio.sleep(1.4)
        upstream.born, upstream.sequence = upstream.born + 1, 0
        upstream.cold_ends_at = returned_at + 4.0
        await upstream.announce()
        await sending
        times = upstream.arrival_times
        assert count_most_per_s(times, since=returned_at, until=returned_at + 4.0) <= ALLOWED
        assert sum(returned_at <= row <= returned_at + 4.0 for row in times) >= RATE_PER_S

    run_virtual(main)


def test_node_that_restarts_beside_a_cold_upstream_stays_below_the_bound() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_3, config=make_cold_config())
        loop, upstream = asyncio.get_running_loop(), cluster.members[1].upstream
        began_at = loop.time()
        upstream.cold_ends_at = began_at + 9.0
        await upstream.announce()
        sending = asyncio.ensure_future(send_for(send_request, 60, 8.0, NODE_3))
        for _ in range(3):
            await asyncio.sleep(1.5)
            cluster.kill(1)
            await asyncio.sleep(0.1)
            await cluster.add(NODE_1, upstream=upstream)
        await sending
        times = upstream.arrival_times
        assert count_most_per_s(times, since=began_at, until=began_at + 9.0) <= ALLOWED
        assert len(times) >= RATE_PER_S * 2

    run_virtual(main)


@pytest.mark.parametrize("value", [3, None, "soon", "-1s", ["1s"]])
def test_heartbeat_with_an_odd_cold_time_is_rejected_whole(value: object) -> None:
    async def main() -> None:
        cluster, _ = await start_cluster(NODE_1, config=make_cold_config())
        loop, member = asyncio.get_running_loop(), cluster.members[1]
        member.upstream.cold_ends_at = loop.time() + 5.0
        assert (await member.upstream.announce()).status == 200
        record = member.node._local_upstream.record
        response = await member.upstream.announce(cold_left=value, slots=9)
        assert response.status == 400
        assert member.node._local_upstream.record == record
        assert member.node._local_upstream.is_in_slow_start()

    run_virtual(main)


# An upstream in slow start must get what it got before if its service has no cold phase.
def test_nothing_changes_where_the_configuration_has_no_cold_starts() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_3)
        loop, member = asyncio.get_running_loop(), cluster.members[1]
        member.upstream.cold_ends_at = loop.time() + 60.0
        await member.upstream.announce()
        statuses = await send_for(send_request, 60, 3.0, NODE_3)
        assert statuses == [200] * 180
        assert len(member.upstream.arrival_times) == 180
        member.upstream.cold_ends_at = 0.0
        await member.upstream.announce()
        member.node._local_upstream.assume_cold(ColdReason.EVACUATION)
        assert not member.node._local_upstream.is_in_slow_start()
        assert await send_for(send_request, 60, 1.0, NODE_3) == [200] * 60

    run_virtual(main)


def test_warm_upstream_with_room_takes_what_a_cold_one_cannot() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(
            NODE_1, NODE_2, NODE_3, config=make_cold_config()
        )
        loop, cold = asyncio.get_running_loop(), cluster.members[1].upstream
        began_at = loop.time()
        cold.cold_ends_at = began_at + 6.0
        await cold.announce()
        statuses = await send_for(send_request, 60, 5.0, NODE_3)
        assert statuses == [200] * 300
        times = cold.arrival_times
        assert count_most_per_s(times, since=began_at, until=began_at + 5.0) <= ALLOWED
        # it is not avoided
        assert len(times) >= RATE_PER_S

    run_virtual(main)


def test_peers_learn_that_an_upstream_is_assumed_to_be_cold(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def main() -> None:
        cluster, _ = await start_cluster(NODE_1, NODE_3, config=make_cold_config())
        local = cluster.members[1].node._local_upstream
        peer = cluster.members[3].node._link_manager.table.peers["node-1"]
        await asyncio.sleep(2.0)
        assert not is_cold(peer)
        with caplog.at_level(logging.INFO):
            local.assume_cold(ColdReason.EVACUATION)
            await asyncio.sleep(0.1)
            assert is_cold(peer)
            await asyncio.sleep(2.0)
        assert not is_cold(peer)
        events = [
            (row.getMessage(), getattr(row, "reason", None), getattr(row, "rate_per_s", None))
            for row in caplog.records
            if row.getMessage() in ("upstream-cold", "upstream-warm")
        ]
        assert events == [
            ("upstream-cold", "evacuation", RATE_PER_S),
            ("upstream-warm", None, None),
        ]

    run_virtual(main)


# After a pause of the process, the upstream may have started again, and heartbeats that were
# received during the pause are read first.
def test_upstream_is_assumed_to_be_cold_after_a_pause_of_the_node() -> None:
    async def main() -> None:
        suspended_s = 0.0
        loop = asyncio.get_running_loop()
        cluster, send_request = await start_cluster(NODE_3, config=make_cold_config())
        member = await cluster.add(NODE_1, read_boot_time=lambda: loop.time() + suspended_s)
        await asyncio.sleep(3.0)
        assert not member.node._local_upstream.is_in_slow_start()
        suspended_s = 7.0
        resumed_at = loop.time()
        await member.upstream.announce()
        await send_for(send_request, 60, 0.9, NODE_3, NODE_1)
        times = member.upstream.arrival_times
        assert count_most_per_s(times, since=resumed_at, until=resumed_at + 1.0) <= ALLOWED
        await asyncio.sleep(1.5)
        assert not member.node._local_upstream.is_in_slow_start()

    run_virtual(main)


def test_held_back_requests_are_counted() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, config=make_cold_config())
        upstream = cluster.members[1].upstream
        upstream.cold_ends_at = asyncio.get_running_loop().time() + 9.0
        await upstream.announce()
        await send_for(send_request, 60, 2.0, NODE_1)
        metrics = (await send("10.0.0.1:8005", "GET", "/metrics")).body
        assert b'balsamhead_cold_admissions_held_total{kind="queued"}' in metrics

    run_virtual(main)


# Under full load, all upstreams of a data centre are cold at once after its evacuation has ended.
def test_queued_requests_of_cold_upstreams_are_granted_by_priority() -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        cold = ColdAdmission(silence_s=3.0, now=loop.time())
        queue = SlotQueue(count_slots=lambda: 5, metrics=MeshMetrics(), cold=cold)
        cold.set_cold_start(ColdStart(3.0, RATE_PER_S), loop.time())
        granted: list[tuple[float, int]] = []

        async def request(priority: int) -> None:
            if await queue.wait(priority, max_wait_s=4.0):
                cold.try_send(loop.time())
                granted.append((loop.time(), priority))
                await asyncio.sleep(0.05)
                queue.release()

        started_at = loop.time()
        await asyncio.gather(*(request(number % 5) for number in range(200)))
        priorities = [priority for _, priority in granted]
        assert priorities == [0] * len(priorities)
        times = [time for time, _ in granted]
        assert count_most_per_s(times, since=0.0, until=started_at + 9.0) <= RATE_PER_S + 3
        assert len(granted) >= RATE_PER_S * 3

    run_virtual(main)
