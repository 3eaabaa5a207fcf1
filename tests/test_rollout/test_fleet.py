from __future__ import annotations

import itertools
import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from balsamhead.fold import Accepted, RolloutPhase, StepRollout, encode_record
from balsamhead.membership import find_controller
from balsamhead.rollout import make_operator_record, plan_shares
from standin.rollout_simulation import NodeStub, RolloutSimulation
from tests.test_rollout.builders import (
    SERVICE,
    START,
    make_members,
    make_policy,
    make_rollout,
    make_service,
    make_state,
)

#: time within which every reachable node must stop calling a withdrawn version, in s
WITHDRAWAL_DELAY_S = 2.0
#: shortest time between two steps made by controllers, in s
MIN_STAGE_DURATION_S = 10.0


def make_fleet(
    seed: int, *, fails_from: float | None = None, share: float = 0.0
) -> RolloutSimulation:
    """Return eight nodes with 40 calls per second; the new version fails from ``fails_from`` on."""
    rng = random.Random(seed)

    def draw(version: str, calls: int, now: float) -> tuple[int, int, int]:
        is_failing = version == "v2" and fails_from is not None and now >= fails_from
        return (calls if rng.random() < (0.5 if is_failing else 0.002) else 0), 0, 0

    rollout = make_rollout(share=share, due_at=START + 300.0)
    state = make_state(rollout, make_service(due_at=START + 300.0))
    return RolloutSimulation(
        make_members(), state, seed=seed, start=START, calls_per_tick=0.5, draw_failures=draw
    )


def get_phase(fleet: RolloutSimulation) -> RolloutPhase:
    return fleet.rollout.phase


def find_controller_stub(fleet: RolloutSimulation) -> NodeStub:
    node = next(iter(fleet.nodes.values()))
    return fleet.nodes[find_controller(node.tables.members.values(), SERVICE)]


def list_steps(fleet: RolloutSimulation) -> list[tuple[float, float]]:
    return [
        (row.at, row.record.share)
        for row in fleet.log
        if isinstance(row.record, StepRollout) and isinstance(row.verdict, Accepted)
    ]


def check_withdrawal(fleet: RolloutSimulation) -> None:
    """Check that no reachable node calls the withdrawn version for longer than 2 s."""
    first = fleet.first_withdrawn_at
    if not first:
        return
    for name, at in fleet.new_calls:
        reachable_at = max(first, *(t for t in fleet.nodes[name].resumed_at if t <= at))
        assert at <= reachable_at + WITHDRAWAL_DELAY_S, (name, at - first)


@pytest.mark.parametrize("seed", range(3))
def test_failing_version_is_stopped_on_all_nodes_while_the_log_is_down(seed: int) -> None:
    fleet = make_fleet(seed, fails_from=START, share=0.2)
    fleet.is_log_up = False
    fleet.run(40)
    assert fleet.first_withdrawn_at
    check_withdrawal(fleet)
    assert get_phase(fleet) is RolloutPhase.SHIFTING

    fleet.is_log_up = True
    fleet.run(10)
    assert get_phase(fleet) is RolloutPhase.ROLLED_BACK
    assert fleet.has_converged()


def test_good_version_takes_all_calls_by_the_due_time() -> None:
    fleet = make_fleet(1)
    fleet.calls_per_tick = 3.0
    fleet.run(300)
    assert fleet.rollout.share == 1.0
    assert not fleet.first_withdrawn_at


def test_step_decided_before_an_operator_acted_is_refused() -> None:
    fleet = make_fleet(1)
    fleet.calls_per_tick = 0.0
    stale = fleet.rollout
    for action in ("pause", "resume"):
        record = make_operator_record(
            action,
            fleet.rollout,
            make_policy(),
            record_id=action,
            operator="mariam",
            now=fleet.now,
        )
        assert isinstance(fleet.append(encode_record(record)), Accepted)
    late = make_operator_record(
        "speed-up", stale, make_policy(), record_id="late", operator="node-9", now=fleet.now
    )
    assert not isinstance(fleet.append(encode_record(late)), Accepted)
    assert fleet.rollout.share == 0.0


class RolloutMachine(RuleBasedStateMachine):
    """Run a rollout while controllers pause, fail or are duplicated and the log is down."""

    @initialize(seed=st.integers(0, 1000), fails_after=st.none() | st.integers(0, 60))
    def begin(self, seed: int, fails_after: int | None) -> None:
        fails_from = None if fails_after is None else START + fails_after
        self.fleet = make_fleet(seed, fails_from=fails_from)
        self.fleet.calls_per_tick = 2.0
        self.stale = self.fleet.rollout
        self.operator_steps = 0

    @rule(seconds=st.integers(1, 15))
    def pass_time(self, seconds: int) -> None:
        self.fleet.run(seconds)

    @rule()
    def pause_controller(self) -> None:
        stub = find_controller_stub(self.fleet)
        if sum(self.fleet.is_reachable(node) for node in self.fleet.nodes.values()) > 4:
            stub.is_paused = True
            self.fleet.mark_dead(stub.tables.identity.node)

    @rule()
    def wake_all(self) -> None:
        for name, node in self.fleet.nodes.items():
            if node.is_paused:
                node.resume(self.fleet.now)
                self.fleet.mark_alive(name)

    @rule(index=st.integers(0, 7))
    def duplicate_controller(self, index: int) -> None:
        node = list(self.fleet.nodes.values())[index]
        node.rollouts._is_controller = lambda _: True

    @rule()
    def stop_log(self) -> None:
        self.fleet.is_log_up = False

    @rule()
    def start_log(self) -> None:
        self.fleet.is_log_up = True

    @precondition(lambda self: self.fleet.is_log_up)
    @rule(action=st.sampled_from(["pause", "resume", "speed-up", "take-back"]))
    def apply_operator_action(self, action: str) -> None:
        rollout = self.fleet.rollout
        if rollout.phase not in (RolloutPhase.SHIFTING, RolloutPhase.WATCHING):
            return
        if action == "speed-up" and rollout.share >= 1.0:
            return
        record = make_operator_record(
            action,
            rollout,
            make_policy(),
            record_id=f"operator-{len(self.fleet.log)}",
            operator="mariam",
            now=self.fleet.now,
        )
        verdict = self.fleet.append(encode_record(record))
        if action == "speed-up" and isinstance(verdict, Accepted):
            self.operator_steps += 1

    @rule()
    def remember_state(self) -> None:
        self.stale = self.fleet.rollout

    @precondition(lambda self: self.fleet.is_log_up)
    @rule()
    def append_step_decided_earlier(self) -> None:
        before = self.fleet.rollout
        if self.stale.share >= 1.0:
            return
        record = StepRollout(
            id=f"late-{len(self.fleet.log)}",
            base=self.stale.offset,
            written_at=self.fleet.now,
            writer="node-9",
            service=SERVICE,
            version="v2",
            share=plan_shares(make_policy(), self.stale.share)[0],
        )
        verdict = self.fleet.append(encode_record(record))
        if isinstance(verdict, Accepted):
            assert before.offset == self.stale.offset
            self.operator_steps += 1

    @invariant()
    def withdrawn_version_gets_no_calls(self) -> None:
        check_withdrawal(self.fleet)

    @invariant()
    def shares_rise_only_by_accepted_records(self) -> None:
        accepted = {0.0, *(share for _, share in list_steps(self.fleet))}
        for node in self.fleet.nodes.values():
            assert node.tables.config.rollouts[0].share in accepted

    @invariant()
    def shares_rise_in_one_sequence(self) -> None:
        steps = list_steps(self.fleet)
        shares = [share for _, share in steps]
        assert shares == sorted(set(shares))
        operator_steps = self.operator_steps
        gaps = [later[0] - earlier[0] for earlier, later in itertools.pairwise(steps)]
        assert sum(gap < MIN_STAGE_DURATION_S for gap in gaps) <= operator_steps

    @invariant()
    def no_record_is_accepted_after_the_end(self) -> None:
        ends = [i for i, row in enumerate(self.fleet.log) if row in self.fleet.list_rollbacks()]
        accepted = [i for i in ends if isinstance(self.fleet.log[i].verdict, Accepted)]
        assert len(accepted) <= 1
        for row in self.fleet.log[accepted[0] + 1 :] if accepted else ():
            assert not isinstance(row.verdict, Accepted)

    def teardown(self) -> None:
        if not hasattr(self, "fleet"):
            return
        self.fleet.is_log_up = True
        self.wake_all()
        self.fleet.run(12)
        check_withdrawal(self.fleet)
        if self.fleet.first_withdrawn_at:
            # the version may have been withdrawn only just before
            self.fleet.run(12)
            assert self.fleet.rollout.phase is RolloutPhase.ROLLED_BACK
            assert self.fleet.has_converged()


TestRollout = RolloutMachine.TestCase
TestRollout.settings = settings(max_examples=25, stateful_step_count=15)
