"""Test load balancing under load, failures and slow start, and the circuit breaker."""

from __future__ import annotations

import itertools
import random
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from balsamhead.membership import Place
from balsamhead.routing import (
    SLOW_START_S,
    Endpoint,
    Load,
    Spillover,
    VersionBreaker,
    VersionEndpoints,
    choose_upstream,
)
from tests.test_routing.builders import make_member, make_snapshot


class Balancer:
    """Balancer under test: the endpoints of a version with their loads."""

    def __init__(self, places: list[Place]) -> None:
        members = [make_member(f"n{i}", place=place, slots=6) for i, place in enumerate(places)]
        self.version: VersionEndpoints = make_snapshot(members).services["desk"].versions["v1"]
        self.loads = {
            endpoint.node: Load(slots=6, now=0.0, slow_start=False)
            for tier in self.version.tiers
            for endpoint in tier
        }
        self.spill = Spillover()
        self.rng = random.Random(1)

    def get_load(self, endpoint: Endpoint) -> Load:
        return self.loads[endpoint.node]

    def choose(self, now: float = 1.0, excluded: tuple[Endpoint, ...] = ()) -> Endpoint | None:
        return choose_upstream(
            self.version, self.get_load, self.spill, self.rng, now, excluded=excluded
        )

    def count(self, calls: int = 1000, now: float = 1.0) -> Counter[str]:
        chosen = (self.choose(now) for _ in range(calls))
        return Counter(endpoint.node for endpoint in chosen if endpoint is not None)


EAST_A, EAST_B, WEST = Place("east-a", "east"), Place("east-b", "east"), Place("west-a", "west")
NEAR = [EAST_A] * 3


def test_nearest_tier_takes_all_calls_while_it_has_room() -> None:
    balancer = Balancer([EAST_A, EAST_B, WEST])
    assert balancer.count() == {"n0": 1000}


def test_calls_cross_the_border_only_when_the_region_is_full() -> None:
    balancer = Balancer([EAST_A, EAST_B, WEST])
    order = []
    while (endpoint := balancer.choose()) is not None:
        balancer.loads[endpoint.node].in_flight += 1
        order.append(endpoint.node)
    assert order == ["n0"] * 6 + ["n1"] * 6 + ["n2"] * 6


def test_spillover_changes_in_small_steps_both_ways() -> None:
    spill = Spillover()
    shares = []
    for _ in range(10):
        spill.record_shed(0)
        shares.append(spill.share(0))
    for _ in range(1000):
        spill.record_response(0)
        shares.append(spill.share(0))
    steps = [abs(b - a) for a, b in itertools.pairwise(shares)]
    assert max(steps) <= 0.051
    assert shares[-1] == 0.0


def test_upstream_with_fewer_calls_in_flight_is_chosen() -> None:
    balancer = Balancer(NEAR)
    balancer.loads["n0"].in_flight = 5
    counts = balancer.count()
    assert counts["n0"] == 0
    assert min(counts["n1"], counts["n2"]) > 300


def test_slow_upstream_is_avoided_until_its_latency_is_outdated() -> None:
    balancer = Balancer(NEAR)
    for name, latency in (("n0", 100.0), ("n1", 10.0), ("n2", 10.0)):
        balancer.loads[name].record_response(latency, failed=False, now=1.0)
    assert balancer.count(now=2.0)["n0"] == 0
    for name in ("n1", "n2"):
        balancer.loads[name].record_response(10.0, failed=False, now=30.0)
    assert balancer.count(now=30.0)["n0"] > 0


def test_failing_upstream_is_avoided_unless_most_fail() -> None:
    balancer = Balancer(NEAR)
    for _ in range(10):
        balancer.loads["n0"].record_response(1.0, failed=True, now=1.0)
    assert balancer.count()["n0"] == 0
    for _ in range(10):
        balancer.loads["n1"].record_response(1.0, failed=True, now=1.0)
    assert balancer.count()["n0"] > 100


def test_backoff_grows_with_each_refused_connection() -> None:
    load = Load(slots=6, now=0.0, slow_start=False)
    backoffs = []
    now = 1.0
    for _ in range(6):
        load.record_connect_failure(now)
        backoffs.append(load.backoff_until - now)
        now = load.backoff_until
    assert backoffs == sorted(backoffs)
    assert (backoffs[0], backoffs[-1]) == (0.5, 10.0)


def test_share_grows_during_slow_start() -> None:
    balancer = Balancer(NEAR)
    balancer.loads["n0"] = Load(slots=6, now=0.0, slow_start=True)
    shares = [balancer.count(now=now)["n0"] for now in (0.1, SLOW_START_S / 2, SLOW_START_S)]
    assert shares == sorted(shares)
    assert 0 < shares[0] < 100
    assert shares[2] > 250


def test_limit_falls_with_shed_calls_and_recovers_to_the_slots() -> None:
    load = Load(slots=10, now=0.0, slow_start=False)
    load.in_flight = 8
    load.record_shed(1.0)
    assert load.limit < 8
    for _ in range(500):
        load.record_response(5.0, failed=False, now=1.0)
    assert load.limit == 10.0


def test_limit_falls_when_latency_shows_queueing() -> None:
    load = Load(slots=50, now=0.0, slow_start=False)
    load.record_response(5.0, failed=False, now=1.0)
    load.in_flight = 50
    for _ in range(200):
        load.record_response(50.0, failed=False, now=1.0)
    assert load.limit < 45


@given(
    st.lists(st.sampled_from((EAST_A, EAST_B, WEST)), min_size=1, max_size=9),
    st.lists(st.integers(0, 7), min_size=9, max_size=9),
    st.integers(0, 2**32),
)
def test_chosen_upstream_has_capacity_and_was_not_tried(
    places: list[Place], in_flight: list[int], seed: int
) -> None:
    balancer = Balancer(places)
    balancer.rng.seed(seed)
    for load, count in zip(balancer.loads.values(), in_flight, strict=False):
        load.in_flight = count
    first = balancer.choose()
    used = [load for load in balancer.loads.values() if load.in_flight < 6]
    assert (first is None) == (not used)
    if first is not None:
        assert balancer.get_load(first).in_flight < 6
        assert balancer.choose(excluded=(first,)) != first


def test_breaker_blocks_a_failing_new_version_unless_the_old_one_fails_too() -> None:
    breaker = VersionBreaker()
    for _ in range(20):
        breaker.record("desk", "old", failed=False)
    for _ in range(5):
        breaker.record("desk", "new", failed=True)
    assert breaker.is_blocked("desk", "new", fallback="old", now=1.0)
    assert breaker.is_blocked("desk", "new", fallback="old", now=10.9)
    assert not breaker.is_blocked("desk", "new", fallback="old", now=11.1)

    common = VersionBreaker()
    for _ in range(20):
        common.record("desk", "old", failed=True)
        common.record("desk", "new", failed=True)
    assert not common.is_blocked("desk", "new", fallback="old", now=1.0)
