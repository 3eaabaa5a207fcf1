"""Check of the rule DRAIN."""

from __future__ import annotations

from lib.deployment import DRAIN_S, Deployment
from lib.worker import Worker


def count_late_arrivals(deployment: Deployment, worker: Worker, acknowledged_at: float) -> int:
    """Count the requests that a worker ran later than `drain` after an acknowledgement.

    Only those count whose both machines, that of the client and that of the worker, were in touch.
    """
    own = next(row for row in deployment.machines if deployment.workers[row.number] is worker)
    count = 0
    for run in worker.runs:
        attempt = deployment.attempts[run.request_id]
        client = deployment.machines[attempt.machine - 1]
        in_touch = deployment.was_in_touch(client, attempt.sent_at) and deployment.was_in_touch(
            own, attempt.sent_at
        )
        if run.time > acknowledged_at + DRAIN_S and attempt.sent_at > acknowledged_at and in_touch:
            count += 1
            deployment.log("late-arrival", request=run.request_id, worker=worker.id)
    return count
