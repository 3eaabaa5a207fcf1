from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from balsamhead.membership import (
    MemberStatus,
    UpstreamState,
    can_take_calls,
    find_aggregator,
    find_log_reader,
    find_role_holder,
    rank_border_nodes,
    rank_nodes,
)
from tests.test_membership.builders import EAST_B, WEST_A, build_member, build_upstream

NAMES = st.sets(st.text("abcdef0123456789", min_size=1, max_size=4), min_size=1, max_size=20)


@given(names=NAMES, key=st.text(max_size=8), data=st.data())
def test_loss_of_a_member_keeps_the_ranking_of_the_others(
    names: set[str], key: str, data: st.DataObject
) -> None:
    members = [build_member(name) for name in sorted(names)]
    shuffled = data.draw(st.permutations(members))
    ranked = rank_nodes(key, members)
    assert ranked == rank_nodes(key, shuffled)
    assert set(ranked) == names
    assert find_role_holder(key, shuffled) == ranked[0]

    removed = data.draw(st.sampled_from(sorted(names)))
    remaining = [member for member in members if member.node != removed]
    assert rank_nodes(key, remaining) == [name for name in ranked if name != removed]


def test_keys_are_distributed_evenly_over_the_members() -> None:
    members = [build_member(f"n{number}") for number in range(10)]
    counts = dict.fromkeys((member.node for member in members), 0)
    for number in range(2000):
        counts[find_role_holder(f"service-{number}", members)] += 1
    assert min(counts.values()) > 140
    assert max(counts.values()) < 260


def test_only_live_members_hold_roles() -> None:
    members = [
        build_member("a", status=MemberStatus.DEAD),
        build_member("b", status=MemberStatus.LEAVING),
        build_member("c", status=MemberStatus.LEFT),
        build_member("d", status=MemberStatus.SUSPECT),
    ]
    assert rank_nodes("key", members) == ["d"]
    assert find_role_holder("key", members[:3]) == ""


def test_roles_of_a_region_or_data_centre_go_to_its_own_nodes() -> None:
    east = [build_member(f"e{number}", place=EAST_B) for number in range(5)]
    west = [build_member(f"w{number}", place=WEST_A) for number in range(5)]
    members = east + west
    assert find_log_reader(members, "west").startswith("w")
    assert find_aggregator(members, "east-b").startswith("e")
    assert find_aggregator(members, "east-a") == ""
    assert set(rank_border_nodes(members, "east", "west")) == {member.node for member in east}


def test_calls_go_only_to_ready_upstreams_of_nodes_that_are_alive() -> None:
    ready = build_upstream()
    draining = build_upstream(state=UpstreamState.DRAINING)
    assert can_take_calls(build_member("a", upstream=ready))
    assert not can_take_calls(build_member("a"))
    assert not can_take_calls(build_member("a", upstream=draining))
    for status in set(MemberStatus) - {MemberStatus.ALIVE}:
        assert not can_take_calls(build_member("a", status=status, upstream=ready))
