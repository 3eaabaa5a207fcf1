"""Select the upstream for a call by expected wait, request time, failure rate and network cost."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.mesh._queue_timeout import SERVICE_TIME_MARGIN
from balsamhead.mesh.balancing import Option, choose_by_room
from balsamhead.mesh.model import RouteKind

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

__all__ = (
    "DEFAULT_SERVICE_MS",
    "Candidate",
    "Locality",
    "estimate_concurrency",
    "estimate_wait",
    "is_in_time",
    "select_upstream",
)

#: cost of transferring a kB between data centres, as an equivalent delay in ms
_CROSS_DATA_CENTRE_MS_PER_KB: Final = 10.0
#: additional cost of transferring a kB between regions, as an equivalent delay in ms
_CROSS_REGION_MS_PER_KB: Final = 10.0
#: assumed round-trip time between data centres of a region, in ms
_CROSS_DATA_CENTRE_RTT_MS: Final = 2.0
#: additional round-trip time between regions, in ms
_CROSS_REGION_RTT_MS: Final = 17.0
#: cost of a call to another VM of the same data centre, in ms
_REMOTE_VM_MS: Final = 1.0
#: weight of waiting relative to running: a queued request also delays the requests behind it
_WAIT_WEIGHT: Final = 3.0
#: fraction by which a request is assumed to slow down when all slots are in use
_CONTENTION: Final = 0.5
#: cost of a failed request, as an equivalent delay in ms; it is weighted with the part of the
#: failure rate above the tolerated one
_FAILURE_PENALTY_MS: Final = 600.0
_TOLERATED_FAILURE_RATE: Final = 0.15
#: maximum random increase of the time of a request, as a fraction, so that nodes that see the
#: same load don't all select the same upstream
_JITTER: Final = 0.15
#: time of a request that is assumed when no upstream has a measured one, in ms
DEFAULT_SERVICE_MS: Final = 60.0
#: factor on the time of a request at an upstream in slow start
_SLOW_START_FACTOR: Final = 1.5


class Locality(NamedTuple):
    """Whether an upstream is on this VM, in this data centre and in this region."""

    same_vm: bool
    same_data_centre: bool
    same_region: bool


class Candidate(NamedTuple):
    """An upstream that could run a call."""

    #: name of the upstream's node
    node: str
    version: str
    #: number of requests that the upstream can run at once, within its rate limit
    slots: float
    #: requests that are running there, or are queued there ahead of the call
    requests_ahead: float
    #: mean time of all requests there, in ms; 0 if unknown
    service_ms: float
    #: the upstream is in slow start
    in_slow_start: bool
    locality: Locality
    #: no slot has been free for some time
    saturated: bool = False
    #: moving average of the share of requests that failed, were lost or were shed, 0 to 1
    failure_rate: float = 0.0
    #: time since the load was reported, in s
    load_age_s: float = 0.0
    #: how long the rate limit delays the next request, in ms
    limit_wait_ms: float = 0.0
    #: ratio of the expected time of the request to the mean of all requests there
    time_ratio: float = 1.0
    #: requests ahead by the last report, whatever its age, with those sent by this node since
    reported_ahead: float = 0.0
    #: no other node has the last report, since it came with the outcome of a call of this node
    load_is_private: bool = False

    @property
    def request_ms(self) -> float:
        """Return the expected time of the request there, without a wait, in ms; 0 if unknown."""
        return self.service_ms * self.time_ratio


class Selection(NamedTuple):
    """The selected upstream and the expected wait for a slot, in ms."""

    candidate: Candidate
    wait_ms: float


def estimate_wait(candidate: Candidate) -> float:
    """Return the expected wait for a slot, in ms."""
    excess = candidate.requests_ahead + 1 - candidate.slots
    slot_wait_ms = max(0.0, excess) * candidate.service_ms / candidate.slots
    return max(slot_wait_ms, candidate.limit_wait_ms)


def is_in_time(candidate: Candidate, objective_ms: float) -> bool:
    """Return whether a request would get a slot at once, and most likely end in time.

    :param objective_ms: time until the latency objective is missed; one that is missed already
        doesn't count.
    """
    expected_ms = candidate.request_ms * SERVICE_TIME_MARGIN
    return estimate_wait(candidate) <= 0.0 and (objective_ms <= 0.0 or expected_ms <= objective_ms)


def estimate_concurrency(slots: int, *, limit_per_s: float | None, service_ms: float) -> float:
    """Return how many requests an upstream can run at once without exceeding its rate limit.

    By Little's law, a rate keeps that rate times the service time in use. At least one request can
    always run.

    :param service_ms: mean time of a request there, in ms; 0 if unknown.
    """
    if limit_per_s is None or not service_ms:
        return slots
    return max(1.0, min(slots, limit_per_s * service_ms / 1000))


def select_upstream(
    candidates: Iterable[Candidate],
    *,
    kind: RouteKind,
    size_bytes: float,
    rng: random.Random,
    may_leave_region: bool = False,
    even: bool = False,
) -> Selection | None:
    """Select the upstream with the lowest expected time and cost.

    :param may_leave_region: bulk calls may leave the region if no candidate is in it.
    :param size_bytes: expected size of the request and its response.
    :param even: spread calls over the upstreams that are as near as that one.
    :returns: None if no candidate is eligible.
    """
    eligible = _fill_in_service_times(list(candidates))
    if kind is RouteKind.BULK:
        eligible = _restrict_to_nearby(eligible) or (eligible if may_leave_region else [])
    if even and len({row.locality[1:] for row in eligible}) == 1:
        selection = _select_evenly(eligible[0], eligible, rng)
        if selection is not None:
            return selection
    best: Selection | None = None
    best_score = 0.0
    for candidate in eligible:
        wait_ms = estimate_wait(candidate)
        time_ms = _compute_time(candidate)
        # Contention grows with the slots in use, which spreads calls over equal upstreams.
        contention_ms = time_ms * _CONTENTION * min(1.0, candidate.requests_ahead / candidate.slots)
        jittered_ms = (time_ms + contention_ms) * (1.0 + _JITTER * rng.random())
        score = _WAIT_WEIGHT * wait_ms + jittered_ms + _compute_failure_penalty(candidate)
        score += _compute_network_cost(candidate.locality, size_bytes)
        if best is None or score < best_score:
            best, best_score = Selection(candidate, wait_ms), score
    return _select_evenly(best.candidate, eligible, rng) or best if even and best else best


def _select_evenly(
    best: Candidate, eligible: list[Candidate], rng: random.Random
) -> Selection | None:
    """Select among the upstreams that are as near as the best one, by free slots and speed.

    The request waits at none of them: if the slots turn out to be in use, the refusal carries the
    current load, and the next selection takes it into account.

    :returns: None if all of them are expected to have no free slot.
    """
    equal = [
        row
        for row in eligible
        if row.locality[1:] == best.locality[1:] and row.limit_wait_ms <= 0.0
    ]
    if all(estimate_wait(row) > 0.0 for row in equal):
        return None
    options = [
        Option(
            slots=row.slots,
            requests_ahead=row.requests_ahead,
            service_ms=row.service_ms,
            age_s=row.load_age_s,
            private=row.load_is_private,
            request_ms=_compute_time(row),
            penalty_ms=_compute_failure_penalty(row),
        )
        for row in equal
    ]
    return Selection(equal[choose_by_room(options, rng)], 0.0)


def _compute_time(candidate: Candidate) -> float:
    """Return the expected time of the request without a wait, in ms."""
    return candidate.request_ms * (_SLOW_START_FACTOR if candidate.in_slow_start else 1.0)


def _compute_failure_penalty(candidate: Candidate) -> float:
    return _FAILURE_PENALTY_MS * max(0.0, candidate.failure_rate - _TOLERATED_FAILURE_RATE)


def _fill_in_service_times(eligible: list[Candidate]) -> list[Candidate]:
    """Give upstreams without a measured time the lowest known one, so that they receive calls."""
    known_ms = [candidate.service_ms for candidate in eligible if candidate.service_ms]
    if len(known_ms) == len(eligible):
        return eligible
    assumed_ms = min(known_ms, default=DEFAULT_SERVICE_MS)
    return [
        candidate if candidate.service_ms else candidate._replace(service_ms=assumed_ms)
        for candidate in eligible
    ]


def _restrict_to_nearby(eligible: list[Candidate]) -> list[Candidate]:
    nearby = [candidate for candidate in eligible if candidate.locality.same_data_centre]
    return nearby or [candidate for candidate in eligible if candidate.locality.same_region]


def _compute_network_cost(locality: Locality, size_bytes: float) -> float:
    if locality.same_vm:
        return 0.0
    if locality.same_data_centre:
        return _REMOTE_VM_MS
    cost_ms = _CROSS_DATA_CENTRE_RTT_MS + _CROSS_DATA_CENTRE_MS_PER_KB * size_bytes / 1000
    if not locality.same_region:
        cost_ms += _CROSS_REGION_RTT_MS + _CROSS_REGION_MS_PER_KB * size_bytes / 1000
    return cost_ms
