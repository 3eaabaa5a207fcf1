from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.test_mesh.quota_builders import count_most, get_bound
from tests.test_mesh.quota_simulation import SimulatedMesh

DURATIONS = st.sampled_from([0.1, 0.3, 0.7, 1.5, 4.0])


class QuotaUnderFailures(RuleBasedStateMachine):
    """Admit requests of one account while nodes and links fail.

    The account asks for much more than its rate at all nodes, or pauses so that its burst is
    available.
    """

    @initialize(
        count=st.integers(2, 7),
        limit=st.sampled_from(
            [(5.0, 5.0), (5.0, 50.0), (40.0, 40.0), (200.0, 200.0), (200.0, 20.0)]
        ),
        seed=st.integers(0, 1000),
        remote=st.booleans(),
    )
    def start(self, count: int, limit: tuple[float, float], seed: int, remote: bool) -> None:
        rate, burst = limit
        self.bound = get_bound(rate, burst)
        self.mesh = SimulatedMesh(count=count, rate=rate, burst=burst, seed=seed, remote=remote)
        self.mesh.load_per_s = 9 * rate
        self.mesh.run(2.0)

    @rule(duration_s=DURATIONS)
    def run_loaded(self, duration_s: float) -> None:
        self.mesh.load_per_s = 9 * self.mesh.limit.rate_per_s
        self.mesh.run(duration_s)

    @rule(duration_s=DURATIONS)
    def run_idle(self, duration_s: float) -> None:
        self.mesh.load_per_s = 0.0
        self.mesh.run(duration_s)

    @rule(others=st.sets(st.integers(0, 6)))
    def cut(self, others: set[int]) -> None:
        for number, name in enumerate(self.mesh.names):
            self.mesh.sides[name] = int(number in others)

    @rule()
    def heal(self) -> None:
        self.mesh.sides = dict.fromkeys(self.mesh.names, 0)

    @rule(number=st.integers(0, 6))
    def restart(self, number: int) -> None:
        self.mesh.restart(self.mesh.names[number % len(self.mesh.names)])

    @rule()
    def restart_all(self) -> None:
        for name in self.mesh.names:
            self.mesh.restart(name)

    @rule(number=st.integers(0, 6), duration_s=DURATIONS)
    def pause(self, number: int, duration_s: float) -> None:
        self.mesh.pause(self.mesh.names[number % len(self.mesh.names)], duration_s)

    @rule(delay_s=st.sampled_from([0.002, 0.02, 0.1, 0.3]), copies=st.integers(1, 2))
    def disturb_messages(self, delay_s: float, copies: int) -> None:
        self.mesh.delay_s, self.mesh.copies = delay_s, copies

    @invariant()
    def admits_no_more_than_the_bound(self) -> None:
        if hasattr(self, "mesh"):
            assert count_most(self.mesh.admitted_at) <= self.bound


QuotaUnderFailures.TestCase.settings = settings(
    max_examples=40, stateful_step_count=12, deadline=None
)
TestQuotaUnderFailures = QuotaUnderFailures.TestCase
