"""Choose an upstream at random, with weights by the free slots to expect and the speed."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.mesh.balancing._expected_load import compute_confidence

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

__all__ = ("Option", "choose_by_room")

#: exponent of the expected free slots in the weight; above 1, many nodes that have the same report
#: overrun an upstream that it shows as free
_SHARED_EXPONENT: Final = 1.0
#: the same for a recent report that only this node has
_PRIVATE_EXPONENT: Final = 3.0
#: how much the exponent of the speed in the weight exceeds 1 while all slots are free, when faster
#: upstreams shorten responses and have room; it is 1 while none is free, which uses slots evenly
_SPEED_EXPONENT_OF_ROOM: Final = 6.0


class Option(NamedTuple):
    """An upstream to choose, and what to expect there."""

    slots: float
    #: expected number of requests ahead of the new one
    requests_ahead: float
    #: mean time of all requests, in ms
    service_ms: float
    #: time since the load was reported, in s
    age_s: float
    #: no other node has the report
    private: bool
    #: expected time of the request, in ms
    request_ms: float
    #: cost of the upstream besides the time of the request, as an equivalent delay in ms
    penalty_ms: float


def choose_by_room(options: Sequence[Option], rng: random.Random) -> int:
    """Return the index of an upstream, chosen at random with a weight by its free slots.

    While slots are short, upstreams get requests in proportion to their slots and speeds, so that
    their slots are used evenly; while many are free, faster upstreams get more.
    """
    free_slots = [max(0.0, option.slots - option.requests_ahead) for option in options]
    mean_free = sum(free_slots) / len(options)
    mean_ms = sum(option.request_ms for option in options) / len(options)
    if not mean_free or not mean_ms:
        return rng.randrange(len(options))
    free_share = sum(free_slots) / sum(option.slots for option in options)
    speed_exponent = 1.0 + _SPEED_EXPONENT_OF_ROOM * free_share
    weights = [
        (free / mean_free) ** _get_exponent(option)
        * (mean_ms / option.request_ms) ** speed_exponent
        * math.exp(-option.penalty_ms / mean_ms)
        for option, free in zip(options, free_slots, strict=True)
    ]
    if not sum(weights):
        return rng.randrange(len(options))
    return rng.choices(range(len(options)), weights)[0]


def _get_exponent(option: Option) -> float:
    if not option.private:
        return _SHARED_EXPONENT
    confidence = compute_confidence(option.age_s, option.service_ms)
    return _SHARED_EXPONENT + (_PRIVATE_EXPONENT - _SHARED_EXPONENT) * confidence
