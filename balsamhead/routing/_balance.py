"""Load balancing over upstreams by calls in flight, latency and recent failures.

Each choice compares two upstreams drawn at random ("power of two choices").
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamhead.routing._snapshot import TIER_COUNT

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Sequence

    from balsamhead.routing._snapshot import Endpoint, VersionEndpoints

__all__ = ("SLOW_START_S", "Load", "Spillover", "choose_upstream")

#: duration of slow start, in which a new upstream's traffic ramps up to its full share, in s
SLOW_START_S = 10.0
#: smallest fraction of its full share that an upstream gets during slow start, 0 to 1
_MIN_SLOW_START_SHARE = 0.1
#: age of the last latency sample from which the mean decays and the next sample replaces it; also
#: the half-life of the decay, in s
_LATENCY_HALF_LIFE_S = 5.0
#: weight of a new sample in the moving averages of latency and failure rate, 0 to 1
_SAMPLE_WEIGHT = 0.2
#: failure rate above which an upstream is avoided, 0 to 1
_MAX_FAILURE_RATE = 0.5
#: initial back-off after a failed connection attempt, in s; it doubles up to the maximum
_INITIAL_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 10.0
#: longest back-off after an upstream sheds the only call in flight, in s
_MAX_SHED_BACKOFF_S = 0.2
#: factor applied to the limit of calls in flight when the upstream sheds a call
_LIMIT_DECREASE_FACTOR = 0.8
#: ratio of mean to minimum latency above which the upstream is assumed to queue calls
_QUEUEING_RATIO = 3.0
#: increase of a tier's spillover share for each call that the tier sheds
_SPILLOVER_INCREASE = 0.05
#: decrease of a tier's spillover share for each call that the tier answers
_SPILLOVER_DECREASE = 0.002


class Load:
    """Load and health of an upstream, as measured by this node's own calls."""

    __slots__ = (
        "_backoff_s",
        "_measured_at",
        "_min_latency_ms",
        "backoff_until",
        "failure_rate",
        "in_flight",
        "latency_ms",
        "limit",
        "slots",
        "slow_start_until",
    )

    def __init__(self, *, slots: int, now: float, slow_start: bool) -> None:
        self.slots = slots
        self.limit = float(slots)
        self.in_flight = 0
        self.latency_ms = 0.0
        self.failure_rate = 0.0
        #: the upstream gets no calls before this time, in s
        self.backoff_until = 0.0
        #: end of slow start, in s
        self.slow_start_until = now + SLOW_START_S if slow_start else now
        self._backoff_s = _INITIAL_BACKOFF_S
        self._min_latency_ms = 0.0
        self._measured_at = 0.0

    def has_capacity(self, now: float) -> bool:
        """Return whether the upstream may get another call now."""
        if now < self.backoff_until:
            return False
        limit = self.limit
        if now < self.slow_start_until:
            limit *= max(_MIN_SLOW_START_SHARE, 1.0 - (self.slow_start_until - now) / SLOW_START_S)
        return self.in_flight < max(1.0, limit)

    def is_unimpaired(self, now: float) -> bool:
        """Return whether the upstream is below its limit, warmed up, reachable and not failing."""
        return (
            self.in_flight < self.limit
            and now >= self.slow_start_until
            and now >= self.backoff_until
            and self.failure_rate <= _MAX_FAILURE_RATE
        )

    def is_failing(self) -> bool:
        """Return whether more than half of the recent calls failed."""
        return self.failure_rate > _MAX_FAILURE_RATE

    def estimate_cost(self, now: float) -> float:
        """Return the cost of one more call, calls in flight times latency; lower is better."""
        latency = self.latency_ms
        stale_s = now - self._measured_at - _LATENCY_HALF_LIFE_S
        if stale_s > 0:
            latency *= 0.5 ** (stale_s / _LATENCY_HALF_LIFE_S)
        return (self.in_flight + 1) * max(latency, 0.05)

    def record_response(self, latency_ms: float, *, failed: bool, now: float) -> None:
        """Record a response.

        :param failed: the response counts as a failure of the upstream.
        """
        self.failure_rate += _SAMPLE_WEIGHT * (failed - self.failure_rate)
        if failed:
            return
        self._backoff_s = _INITIAL_BACKOFF_S
        is_fresh = now - self._measured_at < _LATENCY_HALF_LIFE_S
        weight = _SAMPLE_WEIGHT if is_fresh else 1.0
        self.latency_ms += weight * (latency_ms - self.latency_ms)
        self._min_latency_ms = (
            min(self._min_latency_ms * 1.001, latency_ms) if self._min_latency_ms else latency_ms
        )
        self._measured_at = now
        self._adapt_limit()

    def record_shed(self, now: float) -> None:
        """Record that the upstream shed a call, which is still counted in ``in_flight``."""
        self.limit = max(1.0, min(self.limit, self.in_flight) * _LIMIT_DECREASE_FACTOR)
        if self.in_flight <= 1:
            # a slot of the upstream becomes free within about the duration of one call
            backoff_s = min(_MAX_SHED_BACKOFF_S, self.latency_ms / 1000)
            self.backoff_until = max(self.backoff_until, now + backoff_s)

    def record_failure(self, now: float) -> None:
        """Record a call that was lost or timed out."""
        self.failure_rate += _SAMPLE_WEIGHT * (1.0 - self.failure_rate)

    def record_connect_failure(self, now: float) -> None:
        """Record a failed connection attempt and back off exponentially."""
        self.record_failure(now)
        if now < self.backoff_until:
            return
        self.backoff_until = now + self._backoff_s
        self._backoff_s = min(_MAX_BACKOFF_S, 2 * self._backoff_s)

    def _adapt_limit(self) -> None:
        is_queueing = self.latency_ms > _QUEUEING_RATIO * self._min_latency_ms
        if is_queueing and self.in_flight >= 0.8 * self.limit:
            self.limit = max(1.0, self.limit * (1.0 - 0.1 / max(1.0, self.limit)))
            return
        self.limit = min(float(self.slots), self.limit + 0.5 / max(1.0, self.limit))


class Spillover:
    """Spillover of a version: the share of calls that goes from each tier to the next one.

    A tier's share rises with each call that the tier sheds and falls with each call that it
    answers. The steps are small, so that traffic doesn't oscillate between tiers.
    """

    __slots__ = ("_shares",)

    def __init__(self) -> None:
        self._shares = [0.0] * TIER_COUNT

    def share(self, tier: int) -> float:
        """Return the share of calls that spills over from a tier, 0 to 1."""
        return self._shares[tier]

    def record_shed(self, tier: int) -> None:
        """Record that a tier shed a call."""
        self._shares[tier] = min(1.0, self._shares[tier] + _SPILLOVER_INCREASE)

    def record_response(self, tier: int) -> None:
        """Record that a tier answered a call."""
        self._shares[tier] = max(0.0, self._shares[tier] - _SPILLOVER_DECREASE)


def _apply_slow_start(
    candidates: list[tuple[Endpoint, Load]], rng: random.Random, now: float
) -> list[tuple[Endpoint, Load]]:
    if all(now >= load.slow_start_until for _, load in candidates):
        return candidates
    kept = []
    for endpoint, load in candidates:
        ramp = 1.0 - (load.slow_start_until - now) / SLOW_START_S
        if ramp >= 1.0 or rng.random() < max(_MIN_SLOW_START_SHARE, ramp):
            kept.append((endpoint, load))
    return kept or candidates


def _filter_healthy(candidates: list[tuple[Endpoint, Load]]) -> list[tuple[Endpoint, Load]]:
    # if more than half of the upstreams fail or are suspect, the cause is probably not in the
    # upstreams, and avoiding them would only shift load
    healthy = [row for row in candidates if not row[1].is_failing() and not row[0].suspect]
    return healthy if 2 * len(healthy) >= len(candidates) and healthy else candidates


def _list_candidates(
    tier: Sequence[Endpoint],
    get_load: Callable[[Endpoint], Load],
    excluded: Collection[Endpoint],
    now: float,
) -> list[tuple[Endpoint, Load]]:
    candidates = [(endpoint, get_load(endpoint)) for endpoint in tier if endpoint not in excluded]
    candidates = _filter_healthy(candidates) if candidates else candidates
    return [row for row in candidates if row[1].has_capacity(now)]


def choose_upstream(
    version: VersionEndpoints,
    get_load: Callable[[Endpoint], Load],
    spillover: Spillover,
    rng: random.Random,
    now: float,
    *,
    excluded: Collection[Endpoint] = (),
) -> Endpoint | None:
    """Choose the less loaded of two random upstreams from the nearest tier with capacity.

    The share of calls given by ``spillover`` skips that tier if a later one has capacity.

    :param excluded: endpoints that this call has already tried.
    :returns: None if no upstream has capacity.
    """
    skipped: list[tuple[Endpoint, Load]] = []
    for index, tier in enumerate(version.tiers):
        if not tier:
            continue
        spills_over = not skipped and spillover.share(index) > rng.random()
        if (
            not spills_over
            and not excluded
            and (found := _choose_of_two_fast(tier, get_load, rng, now))
        ):
            return found
        candidates = _list_candidates(tier, get_load, excluded, now)
        if not candidates:
            continue
        if spills_over:
            skipped = candidates
            continue
        return _choose_of_two(candidates, rng, now)
    return _choose_of_two(skipped, rng, now) if skipped else None


def _choose_of_two_fast(
    tier: Sequence[Endpoint], get_load: Callable[[Endpoint], Load], rng: random.Random, now: float
) -> Endpoint | None:
    """Compare two random upstreams without filtering the tier first.

    Return None if the tier is too small or either of the two is impaired; the caller then
    filters the whole tier.
    """
    size = len(tier)
    if size < 2:
        return None
    first = int(rng.random() * size)
    second = (first + 1 + int(rng.random() * (size - 1))) % size
    one, other = tier[first], tier[second]
    load, other_load = get_load(one), get_load(other)
    if (
        not (load.is_unimpaired(now) and other_load.is_unimpaired(now))
        or one.suspect
        or other.suspect
    ):
        return None
    return one if load.estimate_cost(now) <= other_load.estimate_cost(now) else other


def _choose_of_two(
    candidates: list[tuple[Endpoint, Load]], rng: random.Random, now: float
) -> Endpoint:
    candidates = _apply_slow_start(candidates, rng, now)
    if len(candidates) == 1:
        return candidates[0][0]
    first = int(rng.random() * len(candidates))
    second = (first + 1 + int(rng.random() * (len(candidates) - 1))) % len(candidates)
    one, other = candidates[first], candidates[second]
    return one[0] if one[1].estimate_cost(now) <= other[1].estimate_cost(now) else other[0]
