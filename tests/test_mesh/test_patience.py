from __future__ import annotations

from balsamhead.mesh._patience import get_patience, get_room


def room(
    *, objective: float = 250, patience: float = 400, run: float = 60, bound: bool = False
) -> float:
    return get_room(
        objective_ms=objective,
        patience_ms=patience,
        left_ms=1000,
        run_ms=run,
        bound_by_objective=bound,
    )


def test_wait_may_pass_the_objective_while_slots_get_free() -> None:
    assert room() == 340


def test_wait_ends_in_time_for_the_objective_where_no_slot_gets_free() -> None:
    assert room(bound=True) == 160
    assert room(objective=50, bound=True) < 0


def test_request_that_has_waited_elsewhere_has_less_room() -> None:
    assert room(patience=100) == 40


def test_urgent_request_may_wait_for_most_of_its_time() -> None:
    assert get_patience(objective_s=0.25, wait_s=1.0, urgent=True) == 0.8
    assert get_patience(objective_s=0.25, wait_s=1.0, urgent=False) == 0.4
    assert get_patience(objective_s=0.5, wait_s=1.0, urgent=False) == 0.5
