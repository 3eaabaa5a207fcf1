from __future__ import annotations

import asyncio
from typing import NamedTuple

from balsamhead.mesh._server import Reply, Request
from tests.test_mesh.builders import FleetInMemory, Sender, make_settings, run_virtual

ONE, TWO, THREE = make_settings(1), make_settings(2), make_settings(3, service="registry")
#: objective of the routes in the builders' configuration, in s
OBJECTIVE_S = 0.25


class Row(NamedTuple):
    path: str
    status: int
    took_s: float


async def press(ask: Sender, *, seconds: float, checks: int, accepts: int) -> list[Row]:
    """Send requests of two ranks at an even pace; both numbers are a second's."""
    loop = asyncio.get_running_loop()

    async def send(path: str, method: str, after_s: float) -> Row:
        await asyncio.sleep(after_s)
        began = loop.time()
        response = await ask(THREE, path, method=method)
        return Row(path, response.status, loop.time() - began)

    rows = [("/check/1", "GET", checks), ("/accept/1", "POST", accepts)]
    return await asyncio.gather(
        *(
            send(path, method, number / rate)
            for path, method, rate in rows
            for number in range(int(seconds * rate))
        )
    )


def test_answers_come_in_time_and_urgent_requests_first_while_no_slot_gets_free() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(ONE, THREE)
        # 4 slots of 50 ms carry 80 requests a second; 130 come
        rows = await press(ask, seconds=8.0, checks=100, accepts=30)
        accepts = [row for row in rows if row.path == "/accept/1"]
        assert all(row.status == 200 for row in accepts)
        late = [row for row in rows if row.status == 200 and row.took_s > OBJECTIVE_S]
        served = [row for row in rows if row.status == 200]
        assert len(served) >= 0.9 * 80 * 8.0
        # those that were admitted before the overload was known may be late
        assert len(late) <= 0.1 * len(served)

    run_virtual(main)


def test_upstream_that_fails_its_requests_gets_fewer() -> None:
    async def main() -> None:
        fleet, ask = FleetInMemory(), Sender()
        await fleet.start(ONE, TWO, THREE)
        failing, sound = fleet.members[1].upstream, fleet.members[2].upstream

        def fail(request: Request) -> Reply:
            request_id = request.start.values[b"request-id"][0]
            return Reply(500, headers=b"Request-Id: %b\r\nServer-Stamp: s\r\n" % request_id)

        failing.answer = fail
        for _ in range(60):
            await ask(THREE, "/accept/1", method="POST")
        assert len(failing.seen) < len(sound.seen) / 2

    run_virtual(main)
