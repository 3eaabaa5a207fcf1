"""DRAIN: a departure that was acknowledged is forgotten when all nodes are killed at once."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from lib.case import BROKEN, HELD, NOT_RUN, run_case
from lib.deployment import Deployment, is_troubled
from lib.drain import count_late_arrivals

#: how late the last heartbeat arrives, in s
HEARTBEAT_DELAY_S = 4.5
#: time from the acknowledgement to the kill, and from there to the restart, in s
KILL_AFTER_S = 0.3
DOWN_S = 0.8
#: how long the worker goes on serving after the acknowledgement, in s
STAY_S = 12.0


async def play(deployment: Deployment) -> int:
    """Play the case and return the exit code."""
    await deployment.start(["desk", "desk", "desk", "desk", "registry", "registry"])
    if not await deployment.wait_until_ready():
        return NOT_RUN
    for machine in deployment.machines:
        deployment.start_clients(machine, "/look/1", 8.0)
        deployment.start_clients(machine, "/accept/1", 4.0)
    await asyncio.sleep(3.0)

    worker = deployment.workers[1]
    worker.stop_beats()
    late_heartbeat = worker.make_heartbeat()
    sent_at = time.monotonic()
    await asyncio.sleep(0.1)
    if await worker.leave() != 200:
        return NOT_RUN
    acknowledged_at = time.monotonic()
    deployment.log("leave-acknowledged", worker=worker.id)

    await asyncio.sleep(KILL_AFTER_S)
    if is_troubled():
        for machine in deployment.machines:
            deployment.kill_node(machine)
        await asyncio.sleep(DOWN_S)
        for machine in deployment.machines:
            deployment.start_node(machine)
    await asyncio.sleep(max(0.0, sent_at + HEARTBEAT_DELAY_S - time.monotonic()))
    status = await worker.put(late_heartbeat)
    deployment.log("late-heartbeat", worker=worker.id, status=status)
    await asyncio.sleep(max(0.0, acknowledged_at + STAY_S - time.monotonic()))

    count = count_late_arrivals(deployment, worker, acknowledged_at)
    deployment.log("result", late_arrivals=count)
    print(f"{count} requests reached the worker over 2 s after its leaving was acknowledged")
    return BROKEN if count else HELD


if __name__ == "__main__":
    run_case(play, Path(__file__).parent)
