"""Ways to choose among upstreams that the model compares with those of the product."""

from __future__ import annotations

import math
import random

from balsamhead.mesh._selection import Candidate, Selection, estimate_wait, select_upstream
from balsamhead.mesh.model import RouteKind

SIZE_BYTES = 1800.0


def choose_least_wait(candidates: list[Candidate], rng: random.Random) -> Selection:
    """Choose the least expected time of all, as in the mode "least-wait"."""
    selection = select_upstream(candidates, kind=RouteKind.SAFE, size_bytes=SIZE_BYTES, rng=rng)
    assert selection is not None
    return selection


def choose_evenly(candidates: list[Candidate], rng: random.Random) -> Selection:
    """Choose as in the mode "even"."""
    selection = select_upstream(
        candidates, kind=RouteKind.SAFE, size_bytes=SIZE_BYTES, rng=rng, even=True
    )
    assert selection is not None
    return selection


def choose_better_of_two(candidates: list[Candidate], rng: random.Random) -> Selection:
    """Choose the lesser expected time of two random upstreams."""
    return choose_least_wait(rng.sample(candidates, min(2, len(candidates))), rng)


def add_sends_of_others(candidates: list[Candidate]) -> list[Candidate]:
    """Estimate what others have sent, and what has ended, since each report.

    The load moves from the reported one to the mean of all, within the time of a request.
    """
    slots = sum(row.slots for row in candidates)
    mean = sum(min(row.reported_ahead, row.slots) for row in candidates) / slots
    rows = []
    for row in candidates:
        confidence = math.exp(-row.load_age_s * 1000 / row.service_ms)
        assumed = min(mean * row.slots, row.slots - 1)
        ahead = confidence * row.reported_ahead + (1 - confidence) * assumed
        rows.append(row._replace(requests_ahead=ahead))
    return rows


def choose_least_with_others(candidates: list[Candidate], rng: random.Random) -> Selection:
    """Choose the least expected time with the estimated sends of others."""
    return choose_least_wait(add_sends_of_others(candidates), rng)


def choose_by_room(candidates: list[Candidate], rng: random.Random) -> Selection:
    """Choose at random with weights by the expected free slots, which flatten with the age."""
    rows = add_sends_of_others(candidates)
    weights = [max(row.slots - row.requests_ahead, 0.02) / row.service_ms for row in rows]
    row = rng.choices(rows, weights)[0]
    return Selection(row, estimate_wait(row))


def choose_by_held_weights(candidates: list[Candidate], rng: random.Random) -> Selection:
    """Choose at random with weights by slots and speed, which are held whatever the load."""
    row = rng.choices(candidates, [row.slots / row.service_ms for row in candidates])[0]
    return Selection(row, estimate_wait(row))
