"""Compute how long a request may wait for a slot of an upstream."""

from __future__ import annotations

from typing import Final

__all__ = ("SERVICE_TIME_MARGIN", "compute_max_wait", "compute_queue_timeout")

#: fraction of the caller's timeout that a request may be queued for; if its latency objective is
#: longer, that applies instead
_QUEUE_FRACTION: Final = 0.4
#: the same fraction for an urgent request, which overtakes less urgent ones
_URGENT_QUEUE_FRACTION: Final = 0.8
#: multiple of the mean service time within which most requests end
SERVICE_TIME_MARGIN: Final = 1.5
#: upper bound of the assumed service time if the latency objective does not bound the wait, as a
#: fraction of the time until the objective is missed
_MAX_SERVICE_FRACTION: Final = 0.5


def compute_queue_timeout(*, objective_s: float, caller_timeout_s: float, urgent: bool) -> float:
    """Return how long after its arrival a request may wait for a slot, in s.

    :param caller_timeout_s: how long the caller waits, from the arrival of its request.
    :param urgent: requests with a lower priority are sent to the same service.
    """
    return (
        caller_timeout_s * _URGENT_QUEUE_FRACTION
        if urgent
        else max(objective_s, caller_timeout_s * _QUEUE_FRACTION)
    )


def compute_max_wait(
    *,
    objective_ms: float,
    queue_timeout_ms: float,
    remaining_ms: float,
    service_ms: float,
    bound_by_objective: bool,
) -> float:
    """Return how long a request may wait for a slot from now, in ms; 0 or less if not at all.

    At a saturated upstream each admitted request waits for as long as it is allowed to. The wait
    is therefore bounded by the latency objective there; otherwise every response would miss it.

    :param objective_ms: time until the latency objective is missed.
    :param queue_timeout_ms: what is left of the queue timeout.
    :param remaining_ms: how long the caller still waits.
    :param service_ms: expected time of the request at the upstream, without a wait.
    :param bound_by_objective: the upstream is saturated and the request is not urgent.
    """
    if bound_by_objective:
        return min(objective_ms, remaining_ms) - service_ms * SERVICE_TIME_MARGIN
    service_ms = min(service_ms, max(objective_ms, 0.0) * _MAX_SERVICE_FRACTION)
    return min(queue_timeout_ms, remaining_ms) - service_ms
