from __future__ import annotations

import random

from balsamhead.mesh._budget import RetryBudget
from balsamhead.mesh._choice import Candidate, Distance, choose, estimate_wait
from balsamhead.mesh._routes import RouteTable, WeightedParts
from balsamhead.mesh.model import Config, Limits, Part, Route, RouteKind

NEAR = Distance(False, True, True)
ZONE = Distance(False, False, True)
REGION = Distance(False, False, False)


def make(node: str, distance: Distance, *, busy: float = 0, service_ms: float = 60) -> Candidate:
    return Candidate(node, "v1", 4, busy, service_ms, False, distance)


def pick(*rows: Candidate, kind: RouteKind = RouteKind.SAFE, size: float = 1000.0) -> str:
    found = choose(rows, kind=kind, size_bytes=size, rng=random.Random(1))
    return found.candidate.node if found else ""


def make_route(prefix: str, *, parts: tuple[Part, ...] = (Part("desk", 1.0),)) -> Route:
    return Route(prefix, "a.example", prefix, RouteKind.SAFE, 1.0, 0.25, 2, 2, parts)


def test_nothing_is_chosen_from_nothing() -> None:
    assert pick() == ""


def test_free_upstream_nearby_goes_first() -> None:
    assert pick(make("near", NEAR, busy=2), make("far", ZONE)) == "near"


def test_long_wait_nearby_is_worth_a_border() -> None:
    assert pick(make("near", NEAR, busy=12), make("far", ZONE)) == "far"


def test_nearer_border_goes_first() -> None:
    assert pick(make("zone", ZONE), make("region", REGION)) == "zone"


def test_bulk_stays_in_its_data_centre_while_an_upstream_is_there() -> None:
    rows = (make("near", NEAR, busy=30), make("far", ZONE))
    assert pick(*rows, kind=RouteKind.BULK, size=90_000.0) == "near"
    assert pick(make("region", REGION), kind=RouteKind.BULK, size=90_000.0) == ""


def test_faster_of_two_equally_busy_goes_first() -> None:
    assert pick(make("slow", NEAR, service_ms=120), make("fast", NEAR, service_ms=60)) == "fast"


def test_wait_begins_when_all_slots_are_taken() -> None:
    assert estimate_wait(make("a", NEAR, busy=3)) == 0.0
    assert estimate_wait(make("a", NEAR, busy=7)) == 60.0


def test_longest_prefix_of_the_host_is_the_route() -> None:
    rows = [make_route("/"), make_route("/a/"), make_route("/a/b/")]
    limits = Limits(1, 1, 1.0, 1.0)
    table = RouteTable(Config(1, limits, ("desk",), {row.name: row for row in rows}))
    found = {path: table.find("A.example:80", path) for path in ("/a/b/c", "/a/bc", "/x")}
    names = {path: route.name if route else "" for path, route in found.items()}
    assert names == {"/a/b/c": "/a/b/", "/a/bc": "/a/", "/x": "/"}
    assert table.find("b.example", "/a/") is None


def test_parts_get_their_weights_to_the_call() -> None:
    route = make_route("/", parts=(Part("a", 70), Part("b", 20), Part("c", 10)))
    dealt = WeightedParts()
    names = [dealt.deal(route) for _ in range(50)]
    assert [names.count(name) for name in "abc"] == [35, 10, 5]


def test_repeats_stay_within_the_meshs_budget_in_any_window() -> None:
    nodes = 13
    budgets = [RetryBudget(ratio=0.2, slack=64, window_s=10.0) for _ in range(nodes)]
    taken: list[float] = []
    for budget in budgets:
        budget.nodes = nodes
    for step in range(6000):
        now = step * 0.005
        for budget in budgets:
            budget.count_request("desk", now)
            if budget.take("desk", now):
                taken.append(now)
    requests_in_window = nodes * 2000
    for start in range(20):
        inside = sum(start <= at < start + 10 for at in taken)
        assert inside <= 0.2 * requests_in_window + 64


def test_part_of_the_budget_leaves_the_rest_to_others() -> None:
    budget = RetryBudget(ratio=0.2, slack=0.0, window_s=10.0)
    for _ in range(100):
        budget.count_request("desk", 1.0)
    small = sum(budget.take("desk", 1.0, part=0.2) for _ in range(100))
    rest = sum(budget.take("desk", 1.0) for _ in range(100))
    assert (small, rest) == (2, 8)


def test_upstream_that_ran_nothing_yet_gets_work_beside_fast_ones() -> None:
    rows = (make("new", NEAR, service_ms=0), make("fast", NEAR, busy=2, service_ms=20))
    assert pick(*rows) == "new"


def test_free_slot_of_a_slow_upstream_goes_before_a_wait_at_a_fast_one() -> None:
    rows = (make("slow", NEAR, service_ms=120), make("fast", NEAR, busy=4, service_ms=60))
    assert pick(*rows) == "slow"


def test_upstream_that_fails_its_requests_goes_last() -> None:
    failing = make("failing", NEAR)._replace(faults=0.4)
    assert pick(failing, make("sound", NEAR, busy=3)) == "sound"
