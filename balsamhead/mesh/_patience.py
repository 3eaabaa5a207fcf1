"""Decide how long a request may wait for a slot."""

from __future__ import annotations

from typing import Final

__all__ = ("get_patience", "get_room")

#: part of a caller's time that a request may spend before it runs, when that passes its objective
_PATIENCE: Final = 0.4
#: the same for a request that goes before less urgent ones
_URGENT_PATIENCE: Final = 0.8
#: factor on the mean time of a request within which most end
_RUN_MARGIN: Final = 1.5
#: part of its objective that a request is assumed to run at most, while slots get free
_RUN_PART: Final = 0.5


def get_patience(*, objective_s: float, wait_s: float, urgent: bool) -> float:
    """Return how long after its arrival a request may still wait for a slot, in s.

    :param wait_s: how long the caller waits in all.
    :param urgent: less urgent requests go to the same service.
    """
    return wait_s * _URGENT_PATIENCE if urgent else max(objective_s, wait_s * _PATIENCE)


def get_room(
    *,
    objective_ms: float,
    patience_ms: float,
    left_ms: float,
    run_ms: float,
    bound_by_objective: bool,
) -> float:
    """Return how long a request may wait, in ms; 0 or less for not at all.

    Where no slot gets free for long, all that are admitted wait as long as they may. So the wait
    is bounded by the objective there, else each answer would miss it.

    :param objective_ms: what is left of the time within which the answer has its full worth.
    :param patience_ms: what is left of the time in which it may wait.
    :param left_ms: how long the caller still waits.
    :param run_ms: mean time of a request at the upstream.
    """
    if bound_by_objective:
        return min(objective_ms, left_ms) - run_ms * _RUN_MARGIN
    run_ms = min(run_ms, max(objective_ms, 0.0) * _RUN_PART)
    return min(patience_ms, left_ms) - run_ms
