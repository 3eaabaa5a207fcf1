from __future__ import annotations

from balsamhead.mesh._queue_timeout import compute_max_wait, compute_queue_timeout


def max_wait(
    *,
    objective: float = 250,
    queue_timeout: float = 400,
    service: float = 60,
    saturated: bool = False,
) -> float:
    return compute_max_wait(
        objective_ms=objective,
        queue_timeout_ms=queue_timeout,
        remaining_ms=1000,
        service_ms=service,
        bound_by_objective=saturated,
    )


def test_wait_may_exceed_the_objective_while_slots_become_free() -> None:
    assert max_wait() == 340


def test_wait_keeps_the_objective_at_a_saturated_upstream() -> None:
    assert max_wait(saturated=True) == 160
    assert max_wait(objective=50, saturated=True) < 0


def test_time_waited_elsewhere_reduces_the_max_wait() -> None:
    assert max_wait(queue_timeout=100) == 40


def test_urgent_request_may_wait_for_most_of_the_caller_timeout() -> None:
    assert compute_queue_timeout(objective_s=0.25, caller_timeout_s=1.0, urgent=True) == 0.8
    assert compute_queue_timeout(objective_s=0.25, caller_timeout_s=1.0, urgent=False) == 0.4
    assert compute_queue_timeout(objective_s=0.5, caller_timeout_s=1.0, urgent=False) == 0.5
