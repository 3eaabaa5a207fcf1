from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from balsamhead.mesh._rate_limit import RateLimit

#: length of the windows in which admitted requests are counted, in s
WINDOW_S = 4.0
LIMITS = st.one_of(st.just(0.0), st.floats(0.01, 5.0), st.floats(5.0, 400.0))


class LimitChanges(RuleBasedStateMachine):
    """Send requests at any rate, while the limit changes, ends and comes back."""

    def __init__(self) -> None:
        super().__init__()
        self.limit = RateLimit()
        self.now = 100.0
        self.admitted: list[float] = []
        #: the limits in force, each with the time from which it was, the oldest first
        self.changes: list[tuple[float, float | None]] = []

    @initialize(limit_per_s=LIMITS)
    def name_first_limit(self, limit_per_s: float) -> None:
        self.change_limit(limit_per_s)

    @rule(limit_per_s=st.one_of(st.none(), LIMITS))
    def change_limit(self, limit_per_s: float | None) -> None:
        self.limit.set_limit(limit_per_s, self.now)
        self.changes.append((self.now, limit_per_s))

    @rule(seconds=st.floats(0.001, 9.0), tries=st.integers(1, 60))
    def send_steadily(self, seconds: float, tries: int) -> None:
        for _ in range(tries):
            self.now += seconds / tries
            self.send()

    @rule(tries=st.integers(1, 300))
    def send_at_once(self, tries: int) -> None:
        for _ in range(tries):
            self.send()

    @rule(ahead=st.integers(0, 20))
    def wait_for_turn(self, ahead: int) -> None:
        """Check that a request's stated delay passes while those ahead of it are admitted."""
        expected_at = self.now + self.limit.get_delay(self.now, ahead=ahead)
        if expected_at > self.now + 60.0:
            return
        for _ in range(ahead + 1):
            self.now += self.limit.get_delay(self.now) + 1e-9
            assert self.limit.try_acquire(self.now)
            self.admitted.append(self.now)
        assert abs(self.now - expected_at) < 1e-6

    def send(self) -> None:
        if self.limit.try_acquire(self.now):
            self.admitted.append(self.now)

    @invariant()
    def no_window_exceeds_the_highest_limit_in_it(self) -> None:
        """Check the last window; the earlier ones were checked as the last ones."""
        start = self.now - WINDOW_S
        before = [limit for time, limit in self.changes if time <= start][-1:]
        limits = before + [limit for time, limit in self.changes if time > start]
        if not limits or None in limits:
            return
        highest = max(limit for limit in limits if limit is not None)
        count = sum(time > start for time in self.admitted)
        assert count <= 1.5 * highest * WINDOW_S + 5


TestLimitChanges = LimitChanges.TestCase
TestLimitChanges.settings = settings(max_examples=80, stateful_step_count=30, deadline=None)


def test_without_a_limit_each_request_is_admitted() -> None:
    limit = RateLimit()
    assert all(limit.try_acquire(1.0) for _ in range(10_000))
    assert limit.get_delay(1.0, ahead=500) == 0.0


def test_limit_of_zero_still_lets_a_request_through_now_and_then() -> None:
    limit = RateLimit()
    limit.set_limit(0.0, 0.0)
    admitted = sum(limit.try_acquire(number / 10) for number in range(200))
    assert 5 <= admitted <= 12
