"""Test route look-up, version shares, locality tiers and subsetting."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamhead.fold import RolloutPhase
from balsamhead.membership import MemberStatus, Place, UpstreamState
from balsamhead.routing import (
    compute_connection_budget,
    pick_version,
    rank_by_rendezvous,
    select_subset,
)
from tests.test_routing.builders import (
    HOST,
    make_config,
    make_member,
    make_rollout,
    make_route,
    make_snapshot,
)


@pytest.mark.parametrize(
    ("path", "method", "name"),
    [
        ("/a/b", "GET", "literal"),
        ("/a/c", "GET", "variable"),
        ("/a/c/d", "GET", "rest"),
        ("/a/", "GET", "rest"),
        ("/a/b", "POST", "post"),
        ("/b", "GET", None),
        ("/a/%62", "GET", "literal"),
    ],
)
def test_most_specific_route_wins(path: str, method: str, name: str | None) -> None:
    routes = [
        make_route("rest", path="/a/**", methods=("GET",)),
        make_route("variable", path="/a/{id}", methods=("GET",)),
        make_route("literal", path="/a/b", methods=("GET",)),
        make_route("post", path="/a/{id}", methods=("POST",)),
    ]
    table = make_snapshot([], config=make_config(routes)).routes
    for _ in range(2):
        found = table.match(host=HOST, path=path, method=method).route
        assert (found and found.name) == name


def test_other_host_does_not_match() -> None:
    table = make_snapshot([]).routes
    assert table.match(host="other.test", path="/read/1", method="GET").route is None


@given(
    st.sampled_from(MemberStatus),
    st.sampled_from(UpstreamState),
    st.sampled_from(("v1", "v0")),
)
def test_only_ready_upstreams_of_live_nodes_get_calls(
    status: MemberStatus, state: UpstreamState, version: str
) -> None:
    member = make_member("n", status=status, state=state, version=version)
    tiers = make_snapshot([member]).services["desk"].versions["v1"].tiers
    is_usable = (
        status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)
        and state is UpstreamState.READY
        and version == "v1"
    )
    assert any(tiers) == is_usable


def test_endpoints_are_grouped_by_locality() -> None:
    places = [Place("east-a", "east"), Place("east-b", "east"), Place("west-a", "west")]
    members = [make_member(f"n{i}", place=place) for i, place in enumerate(places)]
    tiers = make_snapshot(members).services["desk"].versions["v1"].tiers
    assert [[e.node for e in tier] for tier in tiers] == [["n0"], ["n1"], ["n2"]]


@given(st.floats(0, 1), st.sampled_from(RolloutPhase), st.booleans(), st.integers(0, 2**32))
def test_share_of_the_new_version_is_never_exceeded(
    share: float, phase: RolloutPhase, withdrawn: bool, seed: int
) -> None:
    config = make_config(rollouts=(make_rollout(share, phase),))
    reasons = {("desk", "v2", 1): "errors"} if withdrawn else {}
    members = [make_member("old"), make_member("new", version="v2")]
    service = make_snapshot(members, config=config, withdrawn=reasons).services["desk"]
    rng = random.Random(seed)
    drawn = Counter(pick_version(service, rng) for _ in range(400))
    if withdrawn or phase is RolloutPhase.ROLLED_BACK:
        assert drawn["v2"] == 0
    elif phase is RolloutPhase.SHIFTING:
        assert abs(drawn["v2"] / 400 - share) < 0.13
    else:
        assert drawn["v2"] == 400


def test_old_version_gets_the_calls_of_a_new_version_without_upstreams() -> None:
    config = make_config(rollouts=(make_rollout(1.0),))
    service = make_snapshot([make_member("old")], config=config).services["desk"]
    assert pick_version(service, random.Random(1)) == "v1"


def test_old_version_without_upstreams_does_not_raise_the_new_share() -> None:
    config = make_config(rollouts=(make_rollout(0.1),))
    service = make_snapshot([make_member("n", version="v2")], config=config).services["desk"]
    rng = random.Random(1)
    drawn = Counter(pick_version(service, rng) for _ in range(1000))
    assert 60 < drawn["v2"] < 140


def test_only_version_gets_no_calls_once_withdrawn() -> None:
    snapshot = make_snapshot([make_member("n")], withdrawn={("desk", "v1", 1): "errors"})
    assert pick_version(snapshot.services["desk"], random.Random(1)) == ""


def test_old_version_gets_the_calls_of_a_blocked_version() -> None:
    config = make_config(rollouts=(make_rollout(1.0),))
    members = [make_member("old"), make_member("new", version="v2")]
    service = make_snapshot(members, config=config).services["desk"]
    assert pick_version(service, random.Random(1), blocked=frozenset({"v2"})) == "v1"


NAMES = st.lists(st.text("abcdefgh", min_size=1, max_size=6), min_size=4, unique=True, max_size=20)


@given(NAMES, st.data())
def test_removing_an_upstream_affects_only_the_nodes_that_used_it(
    names: list[str], data: st.DataObject
) -> None:
    removed = data.draw(st.sampled_from(names))
    rest = [name for name in names if name != removed]
    for node in ("n1", "n2", "n3", "n4"):
        before = select_subset(node, names, str, size=3)
        after = select_subset(node, rest, str, size=3)
        if removed not in before:
            assert before == after
        else:
            assert set(before) - {removed} <= set(after)
        assert rank_by_rendezvous(node, names, str)[:3] == before


def test_kept_connections_stay_under_the_limit_when_all_nodes_call() -> None:
    nodes, names = 2900, [f"u{i}" for i in range(29)]
    budget = compute_connection_budget(connections=130, upstreams=len(names), nodes=nodes)
    kept = Counter(
        name for n in range(nodes) for name in select_subset(f"n{n}", names, str, size=3)[:budget]
    )
    assert max(kept.values()) <= 130
