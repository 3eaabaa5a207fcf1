from __future__ import annotations

import random

from balsamhead.mesh._budget import RetryBudget
from balsamhead.mesh._routes import RouteTable, WeightedRoundRobin
from balsamhead.mesh._selection import Candidate, Locality, estimate_wait, select_upstream
from balsamhead.mesh.model import Config, Limits, Route, RouteKind, WeightedService

NEARBY = Locality(False, True, True)
OTHER_DATA_CENTRE = Locality(False, False, True)
OTHER_REGION = Locality(False, False, False)


def make_candidate(
    node: str, locality: Locality, *, requests_ahead: float = 0, service_ms: float = 60
) -> Candidate:
    return Candidate(node, "v1", 4, requests_ahead, service_ms, False, locality)


def select_node(
    *candidates: Candidate, kind: RouteKind = RouteKind.SAFE, size: float = 1000.0
) -> str:
    selection = select_upstream(candidates, kind=kind, size_bytes=size, rng=random.Random(1))
    return selection.candidate.node if selection else ""


def make_route(
    prefix: str, *, parts: tuple[WeightedService, ...] = (WeightedService("desk", 1.0),)
) -> Route:
    return Route(prefix, "a.example", prefix, RouteKind.SAFE, 1.0, 0.25, 2, 2, parts)


def test_no_candidates_give_no_selection() -> None:
    assert select_node() == ""


def test_free_nearby_upstream_is_preferred() -> None:
    assert (
        select_node(
            make_candidate("near", NEARBY, requests_ahead=2),
            make_candidate("far", OTHER_DATA_CENTRE),
        )
        == "near"
    )


def test_remote_upstream_is_selected_when_the_nearby_wait_is_long() -> None:
    assert (
        select_node(
            make_candidate("near", NEARBY, requests_ahead=12),
            make_candidate("far", OTHER_DATA_CENTRE),
        )
        == "far"
    )


def test_same_region_is_preferred_to_another_region() -> None:
    assert (
        select_node(
            make_candidate("zone", OTHER_DATA_CENTRE), make_candidate("region", OTHER_REGION)
        )
        == "zone"
    )


def test_bulk_call_stays_in_its_data_centre_and_never_leaves_its_region() -> None:
    candidates = (
        make_candidate("near", NEARBY, requests_ahead=30),
        make_candidate("far", OTHER_DATA_CENTRE),
    )
    assert select_node(*candidates, kind=RouteKind.BULK, size=90_000.0) == "near"
    assert (
        select_node(make_candidate("region", OTHER_REGION), kind=RouteKind.BULK, size=90_000.0)
        == ""
    )


def test_faster_of_two_equally_loaded_upstreams_is_preferred() -> None:
    assert (
        select_node(
            make_candidate("slow", NEARBY, service_ms=120),
            make_candidate("fast", NEARBY, service_ms=60),
        )
        == "fast"
    )


def test_expected_wait_is_zero_while_a_slot_is_free() -> None:
    assert estimate_wait(make_candidate("a", NEARBY, requests_ahead=3)) == 0.0
    assert estimate_wait(make_candidate("a", NEARBY, requests_ahead=7)) == 60.0


def test_route_with_the_longest_matching_prefix_is_found() -> None:
    routes = [make_route("/"), make_route("/a/"), make_route("/a/b/")]
    limits = Limits(1, 1, 1.0, 1.0)
    table = RouteTable(Config(1, limits, ("desk",), {route.name: route for route in routes}))
    matches = {path: table.find("A.example:80", path) for path in ("/a/b/c", "/a/bc", "/x")}
    names = {path: match.name if match else "" for path, match in matches.items()}
    assert names == {"/a/b/c": "/a/b/", "/a/bc": "/a/", "/x": "/"}
    assert table.find("b.example", "/a/") is None


def test_calls_are_split_exactly_by_weight() -> None:
    route = make_route(
        "/", parts=(WeightedService("a", 70), WeightedService("b", 20), WeightedService("c", 10))
    )
    round_robin = WeightedRoundRobin()
    names = [round_robin.next_service(route) for _ in range(50)]
    assert [names.count(name) for name in "abc"] == [35, 10, 5]


def test_retries_of_all_nodes_stay_within_the_mesh_budget_in_any_window() -> None:
    nodes = 13
    budgets = [
        RetryBudget(ratio=0.2, slack=64, window_s=10.0, count_nodes=lambda: nodes)
        for _ in range(nodes)
    ]
    retry_times: list[float] = []
    for step in range(6000):
        now = step * 0.005
        for budget in budgets:
            budget.record_request("desk", now)
            if budget.try_acquire("desk", now):
                retry_times.append(now)
    requests_in_window = nodes * 2000
    for start in range(20):
        in_window = sum(start <= at < start + 10 for at in retry_times)
        assert in_window <= 0.2 * requests_in_window + 64


def test_limited_fraction_leaves_the_rest_of_the_budget_to_other_retries() -> None:
    budget = RetryBudget(ratio=0.2, slack=0.0, window_s=10.0, count_nodes=lambda: 1)
    for _ in range(100):
        budget.record_request("desk", 1.0)
    limited = sum(budget.try_acquire("desk", 1.0, fraction=0.2) for _ in range(100))
    unlimited = sum(budget.try_acquire("desk", 1.0) for _ in range(100))
    assert (limited, unlimited) == (2, 8)


def test_upstream_without_measured_times_is_selected_over_a_busy_fast_one() -> None:
    candidates = (
        make_candidate("new", NEARBY, service_ms=0),
        make_candidate("fast", NEARBY, requests_ahead=2, service_ms=20),
    )
    assert select_node(*candidates) == "new"


def test_free_slot_at_a_slow_upstream_is_preferred_to_waiting_at_a_fast_one() -> None:
    candidates = (
        make_candidate("slow", NEARBY, service_ms=120),
        make_candidate("fast", NEARBY, requests_ahead=4, service_ms=60),
    )
    assert select_node(*candidates) == "slow"


def test_failing_upstream_is_avoided() -> None:
    failing = make_candidate("failing", NEARBY)._replace(failure_rate=0.4)
    assert select_node(failing, make_candidate("sound", NEARBY, requests_ahead=3)) == "sound"
