"""Test that calls of a route that names regions only get endpoints in these regions."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamhead.membership import Place
from balsamhead.proxy import ProxyConfig
from balsamhead.proxy._dispatch import Dispatcher, Slot, Target
from balsamhead.routing import Endpoint, Refusal, Snapshot, pick_version
from tests.test_routing.builders import (
    READ,
    make_config,
    make_member,
    make_rollout,
    make_route,
    make_snapshot,
)

EAST, OTHER_EAST, WEST = Place("east-a", "east"), Place("east-b", "east"), Place("west-a", "west")
LOCAL = make_route("local", path="/local/{id}", regions=("west",))
BOTH = make_route("both", path="/both/{id}", regions=("east", "west"))
CONFIG = make_config((READ, LOCAL, BOTH))


def make_dispatcher(snapshot: Snapshot) -> Dispatcher:
    cfg = ProxyConfig("127.0.0.1", 0, worker_threads=12, reserved_threads=4)
    dispatcher = Dispatcher(cfg, random.Random(1), clock=lambda: 100.0)
    dispatcher.update_snapshot(snapshot)
    return dispatcher


def choose(dispatcher: Dispatcher, route_path: str = "/local/1") -> Target:
    match = dispatcher.snapshot.routes.match(host="mesh.test", path=route_path, method="GET")
    assert match.route is not None
    target = dispatcher.choose_target(match.route)
    assert isinstance(target, Target)
    return target


def list_nodes(snapshot: Snapshot, route: str) -> set[str]:
    tiers = snapshot.services["desk"].get_endpoints("v1", route).tiers
    return {endpoint.node for tier in tiers for endpoint in tier}


def test_route_gets_the_endpoints_of_its_regions() -> None:
    members = [make_member(f"n{i}", place=p) for i, p in enumerate((EAST, OTHER_EAST, WEST))]
    snapshot = make_snapshot(members, config=CONFIG)
    assert list_nodes(snapshot, "read") == {"n0", "n1", "n2"}
    assert list_nodes(snapshot, "local") == {"n2"}
    assert list_nodes(snapshot, "both") == {"n0", "n1", "n2"}
    assert snapshot.services["desk"].restricted.keys() == {"local", "both"}


# The subset of all regions may hold no endpoint of the region, though the region has some.
def test_subset_is_drawn_among_the_endpoints_of_the_regions() -> None:
    south = Place("south-a", "south")
    members = [make_member(f"n{i:03}", place=south) for i in range(300)]
    members += [make_member("west-1", place=WEST), make_member("west-2", place=WEST)]
    snapshot = make_snapshot(members, config=CONFIG)
    assert list_nodes(snapshot, "local") == {"west-1", "west-2"}


@pytest.mark.parametrize(
    "place", [Place("west-a", "east"), Place("east-a", "west"), Place("west-z", "west")]
)
def test_node_whose_settings_contradict_the_document_is_in_no_region(place: Place) -> None:
    snapshot = make_snapshot([make_member("n", place=place)], config=CONFIG)
    assert list_nodes(snapshot, "local") == set()
    assert list_nodes(snapshot, "read") == {"n"}


def test_old_version_gets_the_calls_of_a_new_one_without_endpoints_in_the_regions() -> None:
    config = make_config((READ, LOCAL), rollouts=(make_rollout(1.0),))
    members = [make_member("new", version="v2"), make_member("old", place=WEST)]
    service = make_snapshot(members, config=config).services["desk"]
    assert pick_version(service, random.Random(1), route="local") == "v1"
    assert pick_version(service, random.Random(1), route="read") == "v2"


@given(st.lists(st.sampled_from((EAST, OTHER_EAST, WEST)), max_size=8), st.integers(0, 2**32))
def test_no_attempt_leaves_the_regions(places: list[Place], seed: int) -> None:
    members = [make_member(f"n{i}", place=p, slots=1) for i, p in enumerate(places)]
    snapshot = make_snapshot(members, config=CONFIG)
    dispatcher = make_dispatcher(snapshot)
    dispatcher._rng.seed(seed)
    target = choose(dispatcher)
    tried: list[Endpoint] = []
    while isinstance(slot := dispatcher.acquire(target, tried, 100.0), Slot):
        tried.append(slot.endpoint)
    assert {e.node for e in tried} == {m.node for m in members if m.place == WEST}


def test_refusal_has_its_own_code_and_is_true() -> None:
    members = [make_member("n", place=EAST)]
    dispatcher = make_dispatcher(make_snapshot(members, config=CONFIG))
    refusal = dispatcher.acquire(choose(dispatcher), [], 200.0)
    assert isinstance(refusal, Refusal)
    assert (refusal.code, refusal.outcome, refusal.kind.status) == (
        "no-upstream-in-regions",
        "not-run",
        503,
    )
    assert refusal.retry_after_s >= 1
    assert isinstance(dispatcher.acquire(choose(dispatcher, "/read/1"), [], 200.0), Slot)


# A call that waited for a slot went where the route allowed calls when it came.
@pytest.mark.parametrize("regions", [(), ("east",)])
def test_changed_regions_hold_for_calls_that_have_begun(regions: tuple[str, ...]) -> None:
    route = LOCAL._replace(regions=regions)
    members = [make_member("n", place=EAST)]
    dispatcher = make_dispatcher(make_snapshot(members, config=make_config((READ, route))))
    target = choose(dispatcher)
    dispatcher.update_snapshot(make_snapshot(members, config=CONFIG))
    refusal = dispatcher.acquire(target, [], 200.0)
    assert isinstance(refusal, Refusal)
    assert refusal.code == "no-upstream-in-regions"


def test_removed_route_keeps_its_regions_for_calls_that_have_begun() -> None:
    members = [make_member("n", place=EAST)]
    dispatcher = make_dispatcher(make_snapshot(members, config=CONFIG))
    target = choose(dispatcher)
    dispatcher.update_snapshot(make_snapshot(members, config=make_config((READ,))))
    assert isinstance(dispatcher.acquire(target, [], 200.0), Refusal)
