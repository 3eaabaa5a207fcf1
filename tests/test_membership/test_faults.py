from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from balsamhead import events
from balsamhead.membership import MemberStatus, UpstreamState
from standin.membership_simulation import Faults, MembershipSimulation
from tests.test_membership.builders import EAST_A, EAST_B, WEST_A

#: region east has two data centres, so that the rings of data centre and region differ
PLACES = dict.fromkeys(("e0", "e1", "e2"), EAST_A) | dict.fromkeys(("e3", "e4"), EAST_B)
PLACES |= dict.fromkeys(("w0", "w1", "w2", "w3", "w4"), WEST_A)
SEEDS = ("e0", "w0")
NAMES = sorted(PLACES)

#: nodes of one region that may be down at once, so that enough are left to detect the failures
MAX_DOWN = 2

#: time after the last fault within which all live nodes agree, even if all seeds are dead, in s
AGREEMENT_S = 180.0


class MembershipMachine(RuleBasedStateMachine):
    """Inject faults into a small mesh; the simulation checks that no record version decreases."""

    def __init__(self) -> None:
        super().__init__()
        self.wire = MembershipSimulation(1)
        #: the state that each node last announced for its upstream, which is the expected state
        self.announced_states: dict[str, UpstreamState] = {}

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed: int) -> None:
        self.wire = MembershipSimulation(seed)
        for name in NAMES:
            self.wire.start(name, PLACES[name], seeds=SEEDS)
            self._announce(name, UpstreamState.READY)
        self.wire.run_until(self.wire.has_converged, AGREEMENT_S)

    def _announce(self, name: str, state: UpstreamState) -> None:
        self.wire.announce(name, state)
        self.announced_states[name] = state

    def _count_down(self, region: str) -> int:
        names = [name for name in NAMES if PLACES[name].region == region]
        running = [n for n in names if n in self.wire.nodes and not self.wire.nodes[n].is_paused]
        return len(names) - len(running)

    def _can_stop(self, name: str) -> bool:
        is_running = name in self.wire.nodes and not self.wire.nodes[name].is_paused
        return is_running and self._count_down(PLACES[name].region) < MAX_DOWN

    @rule(name=st.sampled_from(NAMES))
    def kill(self, name: str) -> None:
        if self._can_stop(name):
            self.wire.kill([name])

    @rule()
    def kill_many(self) -> None:
        killed = []
        for name in NAMES:
            if self._can_stop(name):
                self.wire.kill([name])
                killed.append(name)

    @rule(name=st.sampled_from(NAMES))
    def silence(self, name: str) -> None:
        if self._can_stop(name):
            self.wire.stop_vm(name)

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name: str) -> None:
        if name not in self.wire.nodes:
            self.wire.start(name, PLACES[name], seeds=SEEDS)
            self._announce(name, UpstreamState.READY)

    @rule(name=st.sampled_from(NAMES))
    def pause(self, name: str) -> None:
        if self._can_stop(name):
            self.wire.pause(name)

    @rule(name=st.sampled_from(NAMES))
    def wake(self, name: str) -> None:
        if name in self.wire.nodes and self.wire.nodes[name].is_paused:
            self.wire.resume(name)

    @rule(group=st.sets(st.sampled_from(NAMES), max_size=5))
    def cut(self, group: set[str]) -> None:
        self.wire.groups = [group, set(NAMES) - group]

    @rule()
    def cut_regions(self) -> None:
        east = {name for name in NAMES if PLACES[name].region == "east"}
        self.wire.groups = [east, set(NAMES) - east]

    @rule()
    def heal(self) -> None:
        self.wire.groups = []

    @rule(number=st.integers(0, 30))
    def mute_link(self, number: int) -> None:
        links = sorted(self.wire.links, key=sorted)
        if links:
            self.wire.blackholed_links.add(links[number % len(links)])

    @rule(
        loss=st.sampled_from((0.0, 0.1, 0.3)),
        repeat=st.sampled_from((0.0, 0.3)),
        delay=st.sampled_from((0.002, 0.05, 1.0)),
    )
    def disturb(self, loss: float, repeat: float, delay: float) -> None:
        self.wire.faults = Faults(loss, repeat, delay)

    @rule(name=st.sampled_from(NAMES), state=st.sampled_from(UpstreamState))
    def announce(self, name: str, state: UpstreamState) -> None:
        if name in self.wire.nodes:
            self._announce(name, state)

    @rule(name=st.sampled_from(NAMES))
    def lose_upstream(self, name: str) -> None:
        if name in self.wire.nodes:
            self.wire.post(name, events.UpstreamLost("process-ended"))
            self.announced_states[name] = UpstreamState.GONE

    @precondition(lambda self: self.wire.nodes)
    @rule(seconds=st.sampled_from((0.3, 1.5, 4.0, 15.0)))
    def run_for(self, seconds: float) -> None:
        self.wire.run(seconds)

    def teardown(self) -> None:
        """End all faults and check that all live nodes agree on the last announced states."""
        wire = self.wire
        wire.groups = []
        wire.blackholed_links = set()
        wire.faults = Faults()
        for name in list(wire.nodes):
            self.wake(name)
        if not wire.nodes:
            return
        wire.run_until(wire.has_converged, AGREEMENT_S)
        wire.run(10.0)
        assert wire.has_converged()
        for node in wire.nodes.values():
            for name in wire.nodes:
                member = node.tables.members[name]
                assert member.status is MemberStatus.ALIVE
                assert member.upstream is not None
                assert member.upstream.state is self.announced_states[name]


TestMembershipMachine = MembershipMachine.TestCase
TestMembershipMachine.settings = settings(max_examples=20, stateful_step_count=20, deadline=None)
