"""Measure the processor time of a request over two nodes, in memory and on a virtual clock."""

from __future__ import annotations

import time

from tests.test_mesh.builders import (
    NODE_1,
    NODE_3,
    RequestSender,
    run_virtual,
    start_cluster,
)

__all__ = ("measure_request",)


def measure_request(body_bytes: int, *, count: int) -> float:
    """Return the mean processor time of a request, in ms, with its fake client and upstream.

    :param body_bytes: size of its body.
    :param count: number of requests.
    """
    times: list[float] = []

    async def main() -> None:
        _, send_request = await start_cluster(NODE_1, NODE_3)
        await _send(send_request, body_bytes, count // 10)
        started_at = time.process_time()
        await _send(send_request, body_bytes, count)
        times.append((time.process_time() - started_at) * 1000 / count)

    run_virtual(main)
    return times[0]


async def _send(send_request: RequestSender, body_bytes: int, count: int) -> None:
    body = bytes(body_bytes)
    for _ in range(count):
        response = await send_request(NODE_3, "/accept/1", method="POST", body=body)
        assert response.status == 200
