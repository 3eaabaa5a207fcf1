from __future__ import annotations

import random
from collections.abc import Iterator

import pytest

from balsamhead.mesh.model import Account, Config, Limits, Route, RouteKind, WeightedService
from balsamhead.mesh.residency import (
    Residency,
    UpstreamRoom,
    compute_yield_probability,
    explain_absence,
    is_region_allowed,
    list_yielding,
)


def make_route(name: str, *regions: str, served: bool = True) -> Route:
    parts = (WeightedService("desk", 1.0),)
    return Route(
        name, "a", f"/{name}/", RouteKind.SAFE, 1.0, 0.2, 2, 2, parts, regions, served=served
    )


def make_config(*routes: Route, accounts: dict[str, tuple[str, ...]] | None = None) -> Config:
    rows = {
        name: Account(name, 0, 0.0, 0.0, (), regions) for name, regions in (accounts or {}).items()
    }
    limits = Limits(1, 1, 1.0, 1.0)
    return Config(1, limits, ("desk",), {route.name: route for route in routes}, rows or None)


# A deployment that binds nothing must not be told apart from one without the feature.
def test_nothing_is_bound_without_regions() -> None:
    residency = Residency(make_config(make_route("a"), accounts={"x": ()}))
    assert not residency.restricted
    assert residency.get_regions("a", "x") is None
    assert residency.get_regions("unknown", "unknown") is None
    assert residency.get_carrying_regions("desk") == frozenset()


@pytest.mark.parametrize(
    ("route", "account", "expected"),
    [
        ("free", "", None),
        ("bound", "", {"east", "west"}),
        ("free", "eastern", {"east"}),
        ("bound", "eastern", {"east"}),
        ("bound", "northern", set()),
        ("free", "anyone", None),
        ("unknown", "", set()),
        ("free", "unknown", set()),
        ("unreadable", "", set()),
    ],
)
def test_regions_of_route_and_account_both_apply(
    route: str, account: str, expected: set[str] | None
) -> None:
    residency = Residency(
        make_config(
            make_route("free"),
            make_route("bound", "east", "west"),
            make_route("unreadable", served=False),
            accounts={"eastern": ("east",), "northern": ("north",), "anyone": ()},
        )
    )
    assert residency.get_regions(route, account) == expected


def test_no_region_is_allowed_by_an_empty_intersection() -> None:
    assert is_region_allowed(None, "east")
    assert is_region_allowed(frozenset({"east"}), "east")
    assert not is_region_allowed(frozenset(), "east")


def test_regions_without_a_node_are_found_with_what_names_them() -> None:
    config = make_config(make_route("a", "north", "east"), accounts={"x": ("north",)})
    assert Residency(config).find_unknown({"east"}) == {"north": ["a", "x"]}


@pytest.mark.parametrize(
    ("bound", "known", "evacuated", "code"),
    [
        (False, True, False, "no-upstream"),
        (False, False, False, "no-upstream"),
        (True, True, False, "no-upstream-in-region"),
        (True, False, False, "no-upstream-in-region"),
        (True, True, True, "no-upstream-in-region"),
        (True, False, True, "upstreams-evacuated"),
        (False, False, True, "upstreams-evacuated"),
    ],
)
def test_each_absence_has_its_code(bound: bool, known: bool, evacuated: bool, code: str) -> None:
    assert explain_absence(bound=bound, known=known, evacuated=evacuated).code == code


# A client that returns before an upstream can be known is refused again.
def test_retry_after_is_longer_if_no_upstream_of_the_regions_is_known() -> None:
    passing = explain_absence(bound=True, known=True, evacuated=False)
    lasting = explain_absence(bound=True, known=False, evacuated=False)
    assert 0.0 < passing.retry_after_s < lasting.retry_after_s


def make_room(region: str, requests: float, *, slots: float = 5.0) -> UpstreamRoom:
    return UpstreamRoom(region, slots, requests, has_room=requests < slots)


def test_unbound_requests_stay_while_the_carrying_region_has_room() -> None:
    rooms = [make_room("east", 3.0), make_room("west", 0.0)]
    assert list_yielding(rooms, carrying={"east"}, draw=0.0) == []


def test_unbound_requests_leave_a_crowded_carrying_region() -> None:
    rooms = [make_room("east", 4.5), make_room("west", 2.0), make_room("east", 4.6)]
    assert list_yielding(rooms, carrying={"east"}, draw=0.99) == [0, 2]


# Requests that leave for upstreams without room would wait there instead, for nothing.
def test_unbound_requests_stay_if_the_other_regions_have_no_room() -> None:
    rooms = [make_room("east", 4.9), make_room("west", 5.0)]
    assert list_yielding(rooms, carrying={"east"}, draw=0.0) == []


def test_unbound_requests_stay_in_a_crowded_region_that_carries_nothing() -> None:
    rooms = [make_room("east", 4.9), make_room("west", 1.0)]
    assert list_yielding(rooms, carrying={"west"}, draw=0.0) == []


def test_of_two_carrying_regions_the_less_crowded_one_gets_unbound_requests() -> None:
    rooms = [make_room("east", 4.9), make_room("west", 2.0)]
    assert list_yielding(rooms, carrying={"east", "west"}, draw=0.0) == [0]


def iterate_demand(
    *, bound: float, unbound: float, delay: int, yields: bool
) -> Iterator[tuple[float, float]]:
    """Yield the utilisation that each step brings to a carrying region, and to another one.

    Requests of a step are decided on the utilisation some steps before.
    """
    rng = random.Random(7)
    past = [bound + unbound] * (delay + 1)
    while True:
        rooms = [
            make_room("east", 100 * past[-1 - delay], slots=100.0),
            make_room("west", 30.0, slots=100.0),
        ]
        stays = 0
        for _ in range(200):
            left = list_yielding(rooms, carrying={"east"}, draw=rng.random()) if yields else []
            stays += not left
        east = 0.8 * past[-1] + 0.2 * (bound + unbound * stays / 200)
        past.append(east)
        yield east, 0.3 + unbound - unbound * stays / 200


# Load: a region with room for 100 requests at once carries 75 of a bound route, and 40 of an
# unbound one enter there; without yielding it needs 115, and the bound ones wait with the others.
@pytest.mark.parametrize("delay", [0, 2, 5])
def test_carrying_region_keeps_room_for_its_bound_requests(delay: int) -> None:
    demand = iterate_demand(bound=0.75, unbound=0.4, delay=delay, yields=True)
    settled = [next(demand) for _ in range(200)][100:]
    assert max(east for east, _ in settled) < 0.98
    assert max(west for _, west in settled) < 0.98
    without = iterate_demand(bound=0.75, unbound=0.4, delay=delay, yields=False)
    assert [next(without) for _ in range(200)][-1][0] > 1.1


# All nodes that decide at one threshold would move all unbound requests to and fro.
def test_share_that_leaves_grows_with_the_utilisation() -> None:
    shares = [compute_yield_probability(percent / 100) for percent in range(60, 101, 5)]
    assert shares[:3] == [0.0, 0.0, 0.0]
    assert shares == sorted(shares)
    assert 0.2 < compute_yield_probability(0.8) < 0.8
    assert shares[-1] == 1.0
