from __future__ import annotations

import pytest

from balsamhead import events
from balsamhead.membership import (
    Member,
    MemberStatus,
    Timing,
    UpstreamState,
    can_take_calls,
    is_live,
)
from balsamhead.membership._context import MAX_STEP_S, RunningClock
from standin.membership_simulation import MembershipSimulation
from tests.test_membership.builders import EAST_A, EAST_B, WEST_A, WEST_B

PLACES = (EAST_A, EAST_B, WEST_A, WEST_B)

#: time after the loss of a node within which its upstream gets its last new call, in s
LAST_CALL_S = 3.0


def build_mesh(count: int, *, seed: int = 1, timing: Timing | None = None) -> MembershipSimulation:
    """Start nodes, let them link to each other, and announce their upstreams."""
    wire = MembershipSimulation(seed, timing=timing)
    names = [f"n{number}" for number in range(count)]
    for number, name in enumerate(names):
        wire.start(name, PLACES[number % len(PLACES)], seeds=names[:4])
        wire.run(0.05)
    for name in names:
        wire.announce(name)
    wire.run_until(wire.has_converged, 30)
    wire.run(5)
    assert wire.has_converged()
    return wire


def can_take_calls_anywhere(wire: MembershipSimulation, name: str) -> bool:
    records = (node.tables.members.get(name) for node in wire.nodes.values())
    return any(member is not None and can_take_calls(member) for member in records)


def is_live_anywhere(wire: MembershipSimulation, name: str) -> bool:
    records = (node.tables.members.get(name) for node in wire.nodes.values())
    return any(member is not None and is_live(member) for member in records)


@pytest.mark.parametrize("seed", range(3))
def test_killed_nodes_get_no_calls_after_three_seconds(seed: int) -> None:
    wire = build_mesh(24, seed=seed)
    for name in ("n4", "n9", "n14"):
        wire.kill([name])
        wire.run(1.0)
        assert not can_take_calls_anywhere(wire, name)
        wire.run(LAST_CALL_S - 1.0)
        assert not is_live_anywhere(wire, name)


@pytest.mark.parametrize("seed", range(3))
def test_silent_nodes_get_no_calls_after_three_seconds(seed: int) -> None:
    wire = build_mesh(24, seed=seed)
    for name in ("n4", "n9", "n14"):
        wire.stop_vm(name)
        wire.run(LAST_CALL_S)
        assert not can_take_calls_anywhere(wire, name)
        assert not is_live_anywhere(wire, name)


def test_draining_upstreams_get_no_calls_at_once() -> None:
    wire = build_mesh(24)
    wire.announce("n5", UpstreamState.DRAINING)
    wire.run(1.0)
    assert not can_take_calls_anywhere(wire, "n5")
    wire.post("n6", events.UpstreamLost("process-ended"))
    wire.run(1.0)
    assert not can_take_calls_anywhere(wire, "n6")
    wire.announce("n5")
    wire.run(1.0)
    assert can_take_calls_anywhere(wire, "n5")


def test_stopping_node_announces_it_and_is_not_suspected() -> None:
    wire = build_mesh(12)
    wire.post("n5", events.StopRequested())
    assert wire.nodes["n5"].tables.stopping
    wire.run(1.0)
    assert not can_take_calls_anywhere(wire, "n5")
    for node in wire.nodes.values():
        assert node.tables.members["n5"].status is MemberStatus.LEAVING
    wire.post("n5", events.StopFinished())
    wire.run(0.01)
    wire.kill(["n5"])
    wire.run(10.0)
    for node in wire.nodes.values():
        assert node.tables.members["n5"].status is MemberStatus.LEFT


def test_new_process_of_an_upstream_raises_its_incarnation() -> None:
    wire = build_mesh(4)
    first = wire.nodes["n0"].tables.members["n0"].upstream
    fields = ("desk", "v2", "host-n0", 80, 6, 130, UpstreamState.STARTING)
    wire.post("n0", events.UpstreamAnnounced(*fields, process=8))
    wire.run(1.0)
    second = wire.nodes["n3"].tables.members["n0"].upstream
    assert first is not None
    assert second is not None
    assert second.incarnation > first.incarnation
    sequence = wire.nodes["n0"].tables.members["n0"].sequence
    wire.post("n0", events.UpstreamAnnounced(*fields, process=8))
    assert wire.nodes["n0"].tables.members["n0"].sequence == sequence


def test_silent_link_is_replaced_and_no_node_is_suspected() -> None:
    wire = build_mesh(12)
    before = list_own_records(wire)
    muted = sorted(wire.links, key=sorted)[::2]
    wire.blackholed_links.update(muted)
    wire.run(10.0)
    assert not wire.blackholed_links
    assert wire.has_converged()
    assert list_own_records(wire) == before


def list_own_records(wire: MembershipSimulation) -> list[Member]:
    """Return each node's record of itself; a refuted suspicion has raised its sequence."""
    return [node.tables.members[name] for name, node in wire.nodes.items()]


def test_node_that_some_peers_cannot_reach_is_not_suspected() -> None:
    wire = build_mesh(12)
    before = list_own_records(wire)
    same_region = [pair for pair in wire.links if not crosses_border(wire, pair)]
    wire.blocked.update(sorted(same_region, key=sorted)[::3])
    wire.run(30.0)
    assert list_own_records(wire) == before
    assert wire.has_converged()


def test_isolated_node_suspects_no_other_node() -> None:
    wire = build_mesh(12)
    before = list_own_records(wire)
    wire.groups = [{"n3"}, set(wire.nodes) - {"n3"}]
    wire.run(30.0)
    assert not is_live_on_other_nodes(wire, "n3")
    wire.groups = []
    wire.run_until(wire.has_converged, 60.0)
    changed = [
        old.node for old, new in zip(before, list_own_records(wire), strict=True) if old != new
    ]
    assert changed == ["n3"]


def test_nodes_that_were_paused_together_suspect_no_node() -> None:
    wire = build_mesh(12)
    before = list_own_records(wire)
    for name in wire.nodes:
        wire.pause(name)
    wire.run(60.0)
    for name in wire.nodes:
        wire.resume(name)
        wire.run(0.16)
    wire.run(10.0)
    assert list_own_records(wire) == before
    assert wire.has_converged()


def test_clock_stops_while_the_node_is_paused() -> None:
    clock = RunningClock(2.0)
    assert not clock.advance(100.0)
    assert not clock.advance(100.1)
    assert clock.now == pytest.approx(0.1)
    assert clock.advance(500.0)
    assert clock.now <= 0.1 + MAX_STEP_S
    assert clock.is_in_grace_period
    for step in range(21):
        clock.advance(500.1 + step / 10)
    assert not clock.is_in_grace_period


def test_resumed_node_suspects_no_node_and_rejoins() -> None:
    wire = build_mesh(12)
    wire.pause("n3")
    wire.run(60.0)
    assert not is_live_on_other_nodes(wire, "n3")
    wire.announce("n5", UpstreamState.DRAINING)
    wire.run(1.0)
    others = {n: wire.nodes["n0"].tables.members[n] for n in wire.nodes if n != "n3"}
    wire.resume("n3")
    wire.run(10.0)
    assert wire.has_converged()
    assert others == {n: wire.nodes["n0"].tables.members[n] for n in wire.nodes if n != "n3"}
    assert can_take_calls_anywhere(wire, "n3")


def is_live_on_other_nodes(wire: MembershipSimulation, name: str) -> bool:
    records = [node.tables.members[name] for other, node in wire.nodes.items() if other != name]
    return any(is_live(member) for member in records)


def test_regions_suspect_no_node_during_a_long_partition_and_agree_after_it() -> None:
    # the partition lasts for half of the time for which records of dead nodes are kept
    wire = build_mesh(16, timing=Timing(tombstone_retention=240.0))
    regions: dict[str, set[str]] = {"east": set(), "west": set()}
    for name, node in wire.nodes.items():
        regions[node.identity.place.region].add(name)
    wire.groups = list(regions.values())
    wire.run(60.0)
    wire.announce("n0", UpstreamState.DRAINING)
    wire.kill(["n5"])
    wire.start("n99", WEST_A, seeds=["n2"])
    wire.run(60.0)
    for node in wire.nodes.values():
        other_region = {
            n for n in node.tables.members if n not in regions[node.identity.place.region]
        }
        assert all(is_live(node.tables.members[n]) for n in other_region - {"n99", "n5"})
    wire.groups = []
    assert wire.run_until(wire.has_converged, 30.0) <= 20.0
    upstream = wire.nodes["n2"].tables.members["n0"].upstream
    assert upstream is not None
    assert upstream.state is UpstreamState.DRAINING


def test_restarted_node_replaces_its_former_record() -> None:
    wire = build_mesh(12)
    old = wire.nodes["n0"].tables.members["n7"]
    wire.kill(["n7"])
    wire.run(0.3)
    wire.start("n7", WEST_B, seeds=["n0"])
    wire.run_until(wire.has_converged, 10.0)
    assert wire.nodes["n0"].tables.members["n7"].incarnation > old.incarnation


def test_node_whose_clock_went_back_before_its_restart_rejoins() -> None:
    wire = build_mesh(8)
    wire.kill(["n7"])
    wire.run(5.0)
    later = wire.now
    wire.now = later - 1000.0
    wire.start("n7", WEST_B, seeds=["n0"])
    wire.now = later
    wire.run_until(wire.has_converged, 20.0)


def test_half_of_the_nodes_killed_at_once_rejoin_after_a_restart() -> None:
    wire = build_mesh(24)
    killed = [f"n{number}" for number in range(0, 24, 2)]
    places = {name: wire.nodes[name].identity.place for name in killed}
    wire.kill(killed)
    wire.run(1.0)
    for name in killed:
        wire.start(name, places[name], seeds=["n0", "n1", "n2", "n3"])
    assert wire.run_until(wire.has_converged, 30.0) < 15.0


def test_border_links_are_replaced_when_border_nodes_die() -> None:
    wire = build_mesh(32)
    wire.run(30.0)
    for _ in range(3):
        border_nodes = {name for pair in wire.links for name in pair if crosses_border(wire, pair)}
        assert border_nodes
        wire.kill(border_nodes)
        wire.run(15.0)
        assert any(crosses_border(wire, pair) for pair in wire.links)
        assert wire.has_converged()


def crosses_border(wire: MembershipSimulation, pair: frozenset[str]) -> bool:
    return len({wire.nodes[name].identity.place.region for name in pair}) == 2


def test_few_links_cross_the_border() -> None:
    wire = build_mesh(24)
    wire.run(30.0)
    assert 1 <= sum(crosses_border(wire, pair) for pair in wire.links) <= 4


def test_records_of_dead_nodes_are_removed_on_all_nodes() -> None:
    wire = build_mesh(6, timing=Timing(tombstone_retention=20.0))
    wire.kill(["n5"])
    wire.run(5.0)
    assert all("n5" in node.tables.members for node in wire.nodes.values())
    wire.run(25.0)
    assert all("n5" not in node.tables.members for node in wire.nodes.values())
    assert wire.has_converged()
