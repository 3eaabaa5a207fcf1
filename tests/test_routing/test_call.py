"""Test which attempts are retried and which outcome a refusal reports."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamhead.routing import (
    MAX_ATTEMPTS,
    AttemptOutcome,
    Call,
    CallPolicy,
    Outcome,
    PassThrough,
    Refusal,
    Retry,
    RetryBudget,
)

NOT_RUN_ENDS = (AttemptOutcome.SHED, AttemptOutcome.NOT_SENT)
ENDS = st.lists(st.sampled_from(AttemptOutcome), min_size=MAX_ATTEMPTS, max_size=MAX_ATTEMPTS)


@given(ENDS, st.booleans(), st.booleans(), st.booleans(), st.lists(st.floats(0, 3)))
def test_verdicts_report_the_right_outcome_within_the_attempt_limit(
    ends: list[AttemptOutcome], idempotent: bool, replayable: bool, nested: bool, times: list[float]
) -> None:
    call = Call(CallPolicy(idempotent, replayable, nested, deadline_at=2.0), RetryBudget())
    clock = iter(sorted(times))
    may_have_run = 0
    for end in ends:
        now = next(clock, 3.0)
        call.begin_attempt()
        may_have_run += end not in NOT_RUN_ENDS
        verdict = call.decide(end, now)
        if isinstance(verdict, Retry):
            assert replayable
            assert now < 2.0
            assert idempotent or may_have_run == 0
            assert not (nested and may_have_run)
            continue
        if isinstance(verdict, Refusal):
            is_not_run = verdict.outcome is Outcome.NOT_RUN
            assert is_not_run == (may_have_run == 0)
        else:
            assert isinstance(verdict, PassThrough)
            assert end is AttemptOutcome.ANSWERED
        assert idempotent or may_have_run <= 1
        return
    assert call.attempts <= MAX_ATTEMPTS


@pytest.mark.parametrize(
    ("end", "most"), [(AttemptOutcome.LOST, 1.11), (AttemptOutcome.SHED, 1.21)]
)
def test_retries_stay_within_the_budget_when_all_attempts_fail(
    end: AttemptOutcome, most: float
) -> None:
    budget = RetryBudget()
    attempts = 0
    for _ in range(2000):
        call = Call(CallPolicy(True, True, forwarded=False, deadline_at=9.0), budget)
        verdict: object = Retry("")
        while isinstance(verdict, Retry):
            call.begin_attempt()
            attempts += 1
            verdict = call.decide(end, 0.0)
    assert attempts / 2000 < most
