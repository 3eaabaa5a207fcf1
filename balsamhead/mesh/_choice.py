"""Choose the upstream of a call by its expected wait, its distance and what the bytes cost."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.mesh.model import RouteKind

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

__all__ = ("Candidate", "Distance", "choose")

#: what a kB over the border of a data centre costs, as a wait in ms
_ZONE_MS_PER_KB: Final = 10.0
#: what a kB over the border of a region costs besides, as a wait in ms
_REGION_MS_PER_KB: Final = 10.0
#: assumed time there and back within a region and between regions, in ms
_ZONE_RTT_MS: Final = 2.0
_REGION_RTT_MS: Final = 17.0
#: cost of the hop to another VM, in ms
_HOP_MS: Final = 1.0
#: how much more a wait counts than time in a slot, since it delays those who come after too
_WAIT_WEIGHT: Final = 3.0
#: part of its time by which a request is slower where all slots are taken
_CROWDING: Final = 0.5
#: what a fault costs, as a wait in ms, where their share is above the usual one
_FAULT_MS: Final = 600.0
_USUAL_FAULTS: Final = 0.15
#: share by which the score of equal upstreams varies, so that nodes don't move as one
_JITTER: Final = 0.15
#: time of a request that is assumed when it isn't known of any upstream, in ms
_USUAL_SERVICE_MS: Final = 60.0
#: factor on the time of an upstream that has just started
_COLD_FACTOR: Final = 1.5


class Distance(NamedTuple):
    """Say how far an upstream is."""

    own: bool
    same_data_centre: bool
    same_region: bool


class Candidate(NamedTuple):
    """Hold an upstream that could run a call."""

    #: name of its node
    node: str
    version: str
    slots: int
    #: requests that run there, or wait there and go first
    busy: float
    #: mean time of a request, in ms; 0 when it isn't known
    service_ms: float
    cold: bool
    distance: Distance
    #: none of its slots has been free for some time
    saturated: bool = False
    #: share of its last requests that it failed, lost or shed, 0 to 1
    faults: float = 0.0
    #: age of what is known of its load, in s
    age_s: float = 0.0


class Choice(NamedTuple):
    """Hold the chosen upstream and the wait that is expected there."""

    candidate: Candidate
    wait_ms: float


def estimate_wait(candidate: Candidate) -> float:
    """Estimate the wait for a slot, in ms."""
    over = candidate.busy + 1 - candidate.slots
    return max(0.0, over) * candidate.service_ms / candidate.slots


def choose(
    candidates: Iterable[Candidate],
    *,
    kind: RouteKind,
    size_bytes: float,
    rng: random.Random,
) -> Choice | None:
    """Choose the upstream with the least expected time and cost.

    :param size_bytes: bytes of the request and its answer that are expected.
    :returns: None when there is no candidate.
    """
    rows = _assume_times(list(candidates))
    if kind is RouteKind.BULK:
        rows = _keep_near(rows)
    best: Choice | None = None
    best_score = 0.0
    for row in rows:
        wait_ms = estimate_wait(row)
        time_ms = row.service_ms * (_COLD_FACTOR if row.cold else 1.0)
        # the part of the slots in use lets equal upstreams share the work
        spread_ms = time_ms * _CROWDING * min(1.0, row.busy / row.slots)
        varied_ms = (time_ms + spread_ms) * (1.0 + _JITTER * rng.random())
        score = (
            _WAIT_WEIGHT * wait_ms + varied_ms + _FAULT_MS * max(0.0, row.faults - _USUAL_FAULTS)
        )
        score += _measure_cost(row.distance, size_bytes)
        if best is None or score < best_score:
            best, best_score = Choice(row, wait_ms), score
    return best


def _assume_times(rows: list[Candidate]) -> list[Candidate]:
    """Take upstreams that ran nothing yet for as fast as the fastest, so that they get work."""
    known = [row.service_ms for row in rows if row.service_ms]
    if len(known) == len(rows):
        return rows
    assumed_ms = min(known, default=_USUAL_SERVICE_MS)
    return [row if row.service_ms else row._replace(service_ms=assumed_ms) for row in rows]


def _keep_near(rows: list[Candidate]) -> list[Candidate]:
    near = [row for row in rows if row.distance.same_data_centre]
    return near or [row for row in rows if row.distance.same_region]


def _measure_cost(distance: Distance, size_bytes: float) -> float:
    if distance.own:
        return 0.0
    if distance.same_data_centre:
        return _HOP_MS
    cost_ms = _ZONE_RTT_MS + _ZONE_MS_PER_KB * size_bytes / 1000
    if not distance.same_region:
        cost_ms += _REGION_RTT_MS + _REGION_MS_PER_KB * size_bytes / 1000
    return cost_ms
