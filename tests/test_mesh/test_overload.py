from __future__ import annotations

import asyncio
from typing import NamedTuple

from balsamhead.mesh._server import Reply, Request
from tests.test_mesh.builders import InMemoryCluster, RequestSender, make_settings, run_virtual

ONE, TWO, THREE = make_settings(1), make_settings(2), make_settings(3, service="registry")
#: latency objective of the routes in the builders' configuration, in s
OBJECTIVE_S = 0.25


class Sample(NamedTuple):
    path: str
    status: int
    took_s: float


async def send_load(
    ask: RequestSender, *, seconds: float, check_rate: int, accept_rate: int
) -> list[Sample]:
    """Send requests of two priorities at constant rates, each given per second."""
    loop = asyncio.get_running_loop()

    async def send(path: str, method: str, delay_s: float) -> Sample:
        await asyncio.sleep(delay_s)
        started_at = loop.time()
        response = await ask(THREE, path, method=method)
        return Sample(path, response.status, loop.time() - started_at)

    kinds = [("/check/1", "GET", check_rate), ("/accept/1", "POST", accept_rate)]
    return await asyncio.gather(
        *(
            send(path, method, number / rate)
            for path, method, rate in kinds
            for number in range(int(seconds * rate))
        )
    )


def test_responses_meet_the_objective_and_all_urgent_requests_are_served_under_overload() -> None:
    async def main() -> None:
        fleet, ask = InMemoryCluster(), RequestSender()
        await fleet.start(ONE, THREE)
        # 4 slots of 50 ms serve 80 requests a second; 130 are sent.
        samples = await send_load(ask, seconds=8.0, check_rate=100, accept_rate=30)
        accepted = [sample for sample in samples if sample.path == "/accept/1"]
        assert all(sample.status == 200 for sample in accepted)
        late = [
            sample for sample in samples if sample.status == 200 and sample.took_s > OBJECTIVE_S
        ]
        served = [sample for sample in samples if sample.status == 200]
        assert len(served) >= 0.9 * 80 * 8.0
        # Requests that were admitted before the overload was detected may be late.
        assert len(late) <= 0.1 * len(served)

    run_virtual(main)


def test_failing_upstream_gets_fewer_requests() -> None:
    async def main() -> None:
        fleet, ask = InMemoryCluster(), RequestSender()
        await fleet.start(ONE, TWO, THREE)
        failing, healthy = fleet.members[1].upstream, fleet.members[2].upstream

        def answer_500(request: Request) -> Reply:
            request_id = request.head.headers[b"request-id"][0]
            return Reply(500, headers=b"Request-Id: %b\r\nServer-Stamp: s\r\n" % request_id)

        failing.make_custom_reply = answer_500
        for _ in range(60):
            await ask(THREE, "/accept/1", method="POST")
        assert len(failing.requests) < len(healthy.requests) / 2

    run_virtual(main)
