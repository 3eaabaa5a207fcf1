from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence

import pytest

from balsamhead.mesh._calls import ResponseNotices
from standin.virtual_network import CURRENT_HOST
from tests.test_mesh.builders import (
    NODE_1,
    NODE_2,
    NODE_3,
    FakeUpstream,
    InMemoryCluster,
    RequestSender,
    Response,
    make_settings,
    run_virtual,
    start_cluster,
)
from tests.test_mesh.connection_builders import CALL, connect

#: length of the window in which the requests of an upstream are counted, in s
WINDOW_S = 4.0
#: time from the first response with a limit until the limit binds, in s
NOTICE_S = 3.0


def count_most_in_window(times: Sequence[float], *, since: float) -> int:
    """Return the largest number of times within a window that begins at ``since`` or later."""
    counted = [time for time in times if time >= since]
    return max(
        (sum(start <= t < start + WINDOW_S for t in counted) for start in counted), default=0
    )


def get_allowed(limit_per_s: float) -> float:
    return 1.5 * limit_per_s * WINDOW_S + 5


async def send_steadily(
    send_request: RequestSender, rate_per_s: float, duration_s: float, *callers: object
) -> list[Response]:
    """Send requests to the callers' nodes in turn; return the responses."""
    tasks = []
    for number in range(int(rate_per_s * duration_s)):
        cfg = callers[number % len(callers)]
        tasks.append(asyncio.ensure_future(send_request(cfg)))  # type: ignore[arg-type]
        await asyncio.sleep(1 / rate_per_s)
    return list(await asyncio.gather(*tasks))


# LIMIT: an upstream got more requests from all nodes together than it had named.
def test_upstream_gets_no_more_than_the_limit_that_it_names() -> None:
    async def main() -> None:
        for limit_per_s in (0, 3, 20):
            cluster, send_request = InMemoryCluster(), RequestSender()
            other_caller = make_settings(4, service="registry", place="west-a")
            await cluster.start(NODE_1, NODE_2, NODE_3, other_caller)
            limited = cluster.members[1].upstream
            limited.extra_headers = b"Server-Limit: %d\r\n" % limit_per_s
            loop = asyncio.get_running_loop()
            since = loop.time() + NOTICE_S
            await send_steadily(send_request, 80, 12.0, NODE_3, other_caller, NODE_1)
            most = count_most_in_window(limited.arrival_times, since=since)
            assert most <= get_allowed(limit_per_s), limit_per_s
            assert most >= limit_per_s * WINDOW_S * 0.5
            for number in list(cluster.members):
                cluster.members.pop(number).node.kill()
            cluster.network.listeners.clear()

    run_virtual(main)


def test_requests_beyond_the_limit_of_one_upstream_are_served_by_others() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_2, NODE_3)
        cluster.members[1].upstream.extra_headers = b"Server-Limit: 9.5\r\n"
        responses = await send_steadily(send_request, 60, 10.0, NODE_3, NODE_1)
        statuses = Counter(response.status for response in responses)
        assert statuses[200] >= 0.99 * len(responses)

    run_virtual(main)


def test_limit_ends_with_the_first_response_that_names_none() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_3)
        upstream = cluster.members[1].upstream
        upstream.extra_headers = b"Server-Limit: 3\r\n"
        await send_steadily(send_request, 20, 4.0, NODE_3)
        upstream.extra_headers = b""
        await asyncio.sleep(0.5)
        await send_request(NODE_3)
        responses = await send_steadily(send_request, 40, 4.0, NODE_3)
        assert Counter(response.status for response in responses)[200] >= 0.98 * len(responses)

    run_virtual(main)


def test_requests_of_higher_priority_go_first_within_a_limit() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_3)
        cluster.members[1].upstream.extra_headers = b"Server-Limit: 15\r\n"
        checks, accepts = [], []
        for _ in range(200):
            checks.append(asyncio.ensure_future(send_request(NODE_3)))
            if len(checks) % 4 == 0:
                accepts.append(
                    asyncio.ensure_future(send_request(NODE_3, "/accept/1", method="POST"))
                )
            await asyncio.sleep(0.03)
        served_accepts = [r for r in await asyncio.gather(*accepts) if r.status == 200]
        refused_checks = [r for r in await asyncio.gather(*checks) if r.status == 503]
        assert refused_checks
        served_checks = 1 - len(refused_checks) / len(checks)
        assert len(served_accepts) / len(accepts) >= 1.5 * served_checks
        assert all(b"retry-after" in response.headers for response in refused_checks)

    run_virtual(main)


# LIMIT: a node that restarted had forgotten the limit, and filled all slots before it heard of it.
def test_limit_holds_across_a_restart_of_the_node() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_2, NODE_3)
        limited = FakeUpstream(NODE_1, slots=13)
        limited.service_time_s = 0.3
        limited.extra_headers = b"Server-Limit: 1\r\n"
        await limited.start()
        await cluster.add(NODE_1, upstream=limited)
        loop = asyncio.get_running_loop()
        since = loop.time() + NOTICE_S

        async def restart() -> None:
            await asyncio.sleep(5.0)
            cluster.kill(1)
            await asyncio.sleep(1.0)
            await cluster.add(NODE_1, upstream=limited)

        # callers are on another host than the node that is killed
        CURRENT_HOST.set("10.8.0.1")
        restarting = asyncio.ensure_future(restart())
        await send_steadily(send_request, 80, 12.0, NODE_3, NODE_2)
        await restarting
        assert limited.arrival_times[-1] > loop.time() - 2.0
        assert count_most_in_window(limited.arrival_times, since=since) <= get_allowed(1)

    run_virtual(main)


# LIMIT: a response by another upstream at the same address ended the limit of the addressed one.
@pytest.mark.parametrize(
    ("status_line", "notices"),
    [
        (b"503 Full\r\nNot-Executed: 1\r\n", [ResponseNotices(7.5, leaving=True)]),
        (b"421 Misdirected\r\n", []),
        (b"200 OK\r\n", []),
    ],
)
def test_only_the_addressed_upstream_changes_its_limit(
    status_line: bytes, notices: list[ResponseNotices]
) -> None:
    async def main() -> None:
        conn, upstream = await connect()
        heard: list[ResponseNotices] = []
        future = conn.send(
            CALL,
            b"",
            upstream_id="i-1",
            remaining_ms=900,
            on_complete=lambda outcome: None,
            on_notices=heard.append,
        )
        upstream.transport.write(
            b"HTTP/1.1 %bRequest-Id: r1\r\nServer-Limit: 7.5\r\nServer-Leaving: 1\r\n"
            b"Content-Length: 0\r\n\r\n" % status_line
        )
        await future
        assert heard == notices

    run_virtual(main)
