"""When a configuration counts as the newest, without a network and under any order of events."""

from __future__ import annotations

import math
from typing import NamedTuple

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from balsamhead.mesh.freshness import FRESHNESS_MARGIN_S, FreshnessLease, Proof
from balsamhead.util.boot_clock import read_boot_time
from balsamhead.util.positions import make_position

LEASE_S = 5.0


def make_lease(position: int = 3) -> FreshnessLease:
    lease = FreshnessLease(lease_s=LEASE_S)
    lease.set_position(position)
    return lease


def test_node_without_a_proof_is_not_fresh() -> None:
    lease = make_lease()
    assert not lease.is_fresh(0.0)
    assert lease.get_age(0.0) == math.inf


def test_proof_counts_until_the_margin_before_the_end_of_the_lease() -> None:
    lease = make_lease()
    lease.add(Proof(3, 100.0))
    assert lease.is_fresh(100.0 + LEASE_S - FRESHNESS_MARGIN_S)
    assert not lease.is_fresh(100.0 + LEASE_S - FRESHNESS_MARGIN_S + 0.001)


# A node whose configuration lags behind would accept a key that the missing change revokes.
def test_proof_of_a_later_position_counts_once_the_node_has_caught_up() -> None:
    lease = make_lease(3)
    lease.add(Proof(5, 100.0))
    assert not lease.is_fresh(100.5)
    lease.set_position(4)
    assert not lease.is_fresh(100.5)
    lease.set_position(5)
    assert lease.is_fresh(100.5)
    assert lease.newest == Proof(5, 100.0)


# Responses may arrive in another order than their requests were sent.
def test_earlier_proof_does_not_replace_a_later_one() -> None:
    lease = make_lease()
    lease.add(Proof(3, 102.0))
    lease.add(Proof(2, 101.0))
    assert lease.get_age(103.0) == 1.0


# The holder of a state from before the store was restored lacks records of the restored store.
def test_proof_from_another_generation_of_the_store_does_not_count() -> None:
    carried, read = (make_position(1, 4, carried=flag) for flag in (True, False))
    lease = make_lease(carried)
    lease.add(Proof(read, 100.0))
    assert not lease.is_fresh(100.0)


def test_later_proofs_stay_known_while_many_are_pending() -> None:
    lease = make_lease(0)
    for number in range(1, 100):
        lease.add(Proof(number, 100.0 + number / 100))
    lease.set_position(99)
    assert lease.newest == Proof(99, 100.99)


def test_lease_no_longer_than_the_margin_never_begins() -> None:
    lease = FreshnessLease(lease_s=FRESHNESS_MARGIN_S / 2)
    lease.set_position(1)
    lease.add(Proof(1, 100.0))
    assert not lease.is_fresh(100.0)


def test_boot_clock_runs_on() -> None:
    first = read_boot_time()
    assert 0.0 <= first <= read_boot_time()


class _Read(NamedTuple):
    """Request of a node to the store; its response holds the end at some time after it was sent."""

    node: int
    sent_at: float
    end: int


class _Answer(NamedTuple):
    """Response of a peer to a query."""

    node: int
    sent_at: float
    position: int
    age_s: float


class _Delta(NamedTuple):
    node: int
    position: int


NODES = st.integers(0, 2)
DURATIONS = st.floats(0.0, 6.0, allow_nan=False)


class LeaseMachine(RuleBasedStateMachine):
    """Three nodes with clocks that don't agree, and a store whose newest record revokes a key.

    Messages wait until they are delivered, in any order, or for ever. Time passes between any two
    steps, so each step may be delayed, and a node that does nothing for long is paused.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        #: when each record of the store was acknowledged
        self.acknowledged: list[float] = []
        #: how far each node's clock is ahead; it has changed if the machine has restarted
        self.ahead = [0.0, 1000.0, -3.0]
        self.positions = [0, 0, 0]
        self.leases = [self.make_lease() for _ in range(3)]
        self.messages: list[_Read | _Answer | _Delta] = []
        #: queries that their receivers haven't answered: asker, time on its clock, receiver
        self.queries: list[tuple[int, float, int]] = []
        self.reads: list[tuple[int, float]] = []

    def make_lease(self) -> FreshnessLease:
        lease = FreshnessLease(lease_s=LEASE_S)
        lease.set_position(0)
        return lease

    def read_clock(self, node: int) -> float:
        return self.now + self.ahead[node]

    @rule(duration_s=DURATIONS)
    def wait(self, duration_s: float) -> None:
        self.now += duration_s

    @rule()
    def revoke(self) -> None:
        self.acknowledged.append(self.now)

    @rule(node=NODES)
    def send_read(self, node: int) -> None:
        self.reads.append((node, self.read_clock(node)))

    @rule(data=st.data())
    def process_read(self, data: st.DataObject) -> None:
        if self.reads:
            node, sent_at = self.reads.pop(data.draw(st.integers(0, len(self.reads) - 1)))
            self.messages.append(_Read(node, sent_at, len(self.acknowledged)))

    @rule(node=NODES, peer=NODES)
    def send_query(self, node: int, peer: int) -> None:
        self.queries.append((node, self.read_clock(node), peer))

    @rule(data=st.data())
    def answer_query(self, data: st.DataObject) -> None:
        if not self.queries:
            return
        node, sent_at, peer = self.queries.pop(data.draw(st.integers(0, len(self.queries) - 1)))
        proof = self.leases[peer].newest
        if proof is not None:
            age_s = math.ceil((self.read_clock(peer) - proof.as_of) * 1000) / 1000
            self.messages.append(_Answer(node, sent_at, proof.position, age_s))

    @rule(node=NODES, peer=NODES)
    def send_delta(self, node: int, peer: int) -> None:
        self.messages.append(_Delta(node, self.positions[peer]))

    @rule(data=st.data())
    def deliver(self, data: st.DataObject) -> None:
        if not self.messages:
            return
        match self.messages.pop(data.draw(st.integers(0, len(self.messages) - 1))):
            case _Read(node, sent_at, end):
                self.leases[node].add(Proof(end, sent_at))
                self.advance(node, end)
            case _Answer(node, sent_at, position, age_s):
                self.leases[node].add(Proof(position, sent_at - age_s))
            case _Delta(node, position):
                self.advance(node, position)

    def advance(self, node: int, position: int) -> None:
        self.positions[node] = max(self.positions[node], position)
        self.leases[node].set_position(self.positions[node])

    @rule(node=NODES, peer=NODES, ahead=st.floats(-1e4, 1e4, allow_nan=False))
    def restart(self, node: int, peer: int, ahead: float) -> None:
        """Start a node again, with another clock and the state of a peer, which may be old."""
        self.reads = [row for row in self.reads if row[0] != node]
        self.queries = [row for row in self.queries if row[0] != node]
        self.messages = [row for row in self.messages if row.node != node]
        self.ahead[node] = ahead
        self.positions[node] = self.positions[peer]
        self.leases[node] = self.make_lease()
        self.leases[node].set_position(self.positions[node])

    @invariant()
    def no_node_accepts_keys_that_were_revoked_a_lease_ago(self) -> None:
        for node, lease in enumerate(self.leases):
            if lease.is_fresh(self.read_clock(node)):
                missing = self.acknowledged[self.positions[node] :]
                assert all(self.now - time_s < LEASE_S for time_s in missing)


LeaseMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None, derandomize=True
)
TestLeaseMachine = LeaseMachine.TestCase


# A bound that holds since no node is ever fresh would show nothing.
@pytest.mark.parametrize("delay_s", [0.0, 0.4, 1.2])
def test_nodes_in_touch_stay_fresh(delay_s: float) -> None:
    reader, other = make_lease(0), make_lease(0)
    now = 0.0
    for _ in range(20):
        sent_at, now = now, now + 0.8 + delay_s
        reader.add(Proof(0, sent_at))
        proof = reader.newest
        assert proof is not None
        other.add(Proof(0, now - (now + delay_s - proof.as_of)))
        assert reader.is_fresh(now)
        assert other.is_fresh(now + delay_s)
