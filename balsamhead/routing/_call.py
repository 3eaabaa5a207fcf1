"""Retry policy: decide after each attempt whether to answer, retry or refuse a call."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from balsamhead.routing._refusal import Refusal, make_refusal

__all__ = (
    "MAX_ATTEMPTS",
    "AttemptOutcome",
    "Call",
    "CallPolicy",
    "PassThrough",
    "Retry",
    "RetryBudget",
)

#: attempts per call, including the first
MAX_ATTEMPTS = 3
#: number of calls that together add one retry to the budget
_CALLS_PER_RETRY = 10.0
#: cost of retrying a request that no upstream ran, in retries; one that may have run costs 1
_NOT_RUN_COST = 0.5
#: largest budget, in retries
_MAX_BUDGET = 10.0
#: budget of a node that has handled no calls yet, in retries
_INITIAL_BUDGET = 3.0


class AttemptOutcome(StrEnum):
    """Result of an attempt to run a request on an upstream."""

    #: the complete head of a response arrived; the body may follow
    ANSWERED = "answered"
    #: the upstream shed the request without running it
    SHED = "shed"
    #: no byte of the request was written to a connection
    NOT_SENT = "not-sent"
    #: the connection was lost after a byte was sent and before the response was complete
    LOST = "lost"
    #: what the upstream sent is not a valid HTTP response
    MALFORMED = "malformed"
    #: the deadline passed after a byte was sent
    TIMED_OUT = "timed-out"
    #: the caller closed its connection
    CALLER_LEFT = "caller-left"


class CallPolicy(NamedTuple):
    """Properties of a route and a request that determine whether the request may be retried."""

    idempotent: bool
    #: the whole request is buffered, so that it can be sent again
    replayable: bool
    #: the request came through another node, and only that node may retry it once it may have run
    forwarded: bool
    #: deadline of the call on the monotonic clock, in s
    deadline_at: float


class PassThrough(NamedTuple):
    """Verdict: pass the upstream's response to the caller."""


class Retry(NamedTuple):
    """Verdict: try another upstream."""

    #: code of the refusal if no other upstream is available
    code: str


Verdict = PassThrough | Retry | Refusal

_MAY_HAVE_RUN_CODES = {
    AttemptOutcome.LOST: "connection-lost",
    AttemptOutcome.MALFORMED: "answer-malformed",
    AttemptOutcome.TIMED_OUT: "deadline-passed",
    AttemptOutcome.CALLER_LEFT: "connection-lost",
}

_NOT_RUN_CODES = {
    AttemptOutcome.SHED: "upstream-shed",
    AttemptOutcome.NOT_SENT: "connect-failed",
}


class RetryBudget:
    """Limit retries to a fraction of the calls, so that retries can't amplify a failure."""

    def __init__(self) -> None:
        self._balance = _INITIAL_BUDGET

    def earn(self) -> None:
        """Add the share of a retry that one call earns."""
        self._balance = min(_MAX_BUDGET, self._balance + 1.0 / _CALLS_PER_RETRY)

    def spend(self, cost: float = 1.0) -> bool:
        """Deduct a cost in retries, or return False if the budget is too low."""
        if self._balance < cost:
            return False
        self._balance -= cost
        return True


class Call:
    """State of one request over its attempts.

    A request that may have run is retried only if its route declares it idempotent. Once any
    attempt may have run, no refusal has the outcome "not-run".
    """

    def __init__(self, policy: CallPolicy, budget: RetryBudget) -> None:
        self.policy = policy
        self.may_have_run = False
        self.attempts = 0
        self._budget = budget
        budget.earn()

    def begin_attempt(self) -> None:
        """Count an attempt that starts."""
        self.attempts += 1

    def decide(self, end: AttemptOutcome, now: float) -> Verdict:
        """Decide what to do after an attempt that ended at ``now``, in s."""
        if end is AttemptOutcome.ANSWERED:
            return PassThrough()

        if end in _MAY_HAVE_RUN_CODES:
            self.may_have_run = True
        code = _MAY_HAVE_RUN_CODES.get(end) or _NOT_RUN_CODES[end]
        return Retry(code) if self._may_retry(end, now) else self.make_refusal(code)

    def make_refusal(self, code: str, *, retry_after_s: float = 0.0) -> Refusal:
        """Return a refusal whose outcome covers all attempts so far."""
        return make_refusal(code, may_have_run=self.may_have_run, retry_after_s=retry_after_s)

    def _may_retry(self, end: AttemptOutcome, now: float) -> bool:
        policy = self.policy
        if (
            end in (AttemptOutcome.CALLER_LEFT, AttemptOutcome.TIMED_OUT)
            or now >= policy.deadline_at
        ):
            return False
        if not policy.replayable or self.attempts >= MAX_ATTEMPTS:
            return False
        if end in _MAY_HAVE_RUN_CODES and (policy.forwarded or not policy.idempotent):
            return False
        return self._budget.spend(_NOT_RUN_COST if end in _NOT_RUN_CODES else 1.0)
