from __future__ import annotations

import pytest

from balsamhead.mesh._prior_attempts import PriorAttemptTime


def test_shorter_deadline_counts_as_time_spent_on_earlier_attempts() -> None:
    prior_time = PriorAttemptTime()
    assert prior_time.estimate("check", 1.0) == 0.0
    assert prior_time.estimate("check", 0.7) == pytest.approx(0.3)
    assert prior_time.estimate("accept", 0.7) == 0.0


def test_usual_deadline_adapts_to_persistently_shorter_deadlines() -> None:
    prior_time = PriorAttemptTime()
    prior_time.estimate("check", 2.0)
    for _ in range(3000):
        prior_time.estimate("check", 1.0)
    assert prior_time.estimate("check", 1.0) < 0.01
