"""Check the invariants of the soak test, count the checks and collect the violations."""

from __future__ import annotations

import threading
from collections import Counter
from enum import StrEnum
from typing import Final, NamedTuple

__all__ = ("Call", "Invariant", "InvariantChecker", "Outcome")

#: number of violations of one invariant that the report lists
MAX_REPORTED_VIOLATIONS: Final = 5


class Invariant(StrEnum):
    """Invariants that are checked; each value is the condition as the report prints it."""

    VERSION_NEVER_DECREASES = "the version in force on a node never falls"
    RESTART_KEEPS_VERSION = "a restarted node is not put on an older version"
    RESPONSE_IS_COMPLETE = "an answer is complete and belongs to its request"
    RUNS_AT_MOST_ONCE = "a non-idempotent request runs at most once"
    NOT_RUN_IS_CORRECT = "a request refused as not run did not run"
    STOP_IS_CLEAN = "a planned stop ends with exit code 0"
    STOP_ABORTS_NO_CALL = "a planned stop cuts no call in flight"
    CONVERGED = "after the last fault all nodes run the same highest version"


class Outcome(StrEnum):
    """Result of a call as its caller sees it."""

    #: a response arrived that has no outcome header
    ANSWERED = "answered"
    #: the node reports that no upstream executed the request
    NOT_RUN = "not-run"
    #: the node reports that an upstream may have executed the request
    UNKNOWN = "unknown"
    #: the connection to the node failed or timed out
    CONNECTION_FAILED = "lost"


class Call(NamedTuple):
    """One call as its caller sees it; times are in s of the monotonic clock."""

    request_id: str
    node: str
    is_idempotent: bool
    outcome: Outcome
    started_at: float
    ended_at: float


class InvariantChecker:
    """Record checks, calls, stops and run counts from all threads, and check the calls."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._checks: Counter[Invariant] = Counter()
        self._violations: dict[Invariant, list[str]] = {}
        self._calls: list[Call] = []
        self._run_counts: dict[str, dict[str, int]] = {}
        self._stops: list[tuple[str, float]] = []

    def check(self, invariant: Invariant, *, holds: bool, detail: str) -> None:
        """Count one check of an invariant, and record its detail if the invariant is violated."""
        with self._lock:
            self._checks[invariant] += 1
            if not holds:
                self._violations.setdefault(invariant, []).append(detail)

    def record_call(self, call: Call) -> None:
        """Record a call for :meth:`check_calls`."""
        with self._lock:
            self._calls.append(call)

    def record_run_counts(self, process: str, run_counts: dict[str, int]) -> None:
        """Record how often one upstream process ran each request, replacing its earlier counts."""
        with self._lock:
            self._run_counts[process] = run_counts

    def record_stop(self, process: str, stop_requested_at: float) -> None:
        """Record when a process was asked to stop, in s of the monotonic clock."""
        with self._lock:
            self._stops.append((process, stop_requested_at))

    def check_calls(self) -> None:
        """Check the recorded calls against the upstreams' run counts and the planned stops."""
        totals: Counter[str] = Counter()
        for run_counts in self._run_counts.values():
            totals.update(run_counts)
        for call in self._calls:
            count = totals[call.request_id]
            detail = f"{call.request_id}: {count} runs, {call.outcome}"
            if not call.is_idempotent:
                self.check(Invariant.RUNS_AT_MOST_ONCE, holds=count <= 1, detail=detail)
            if call.outcome is Outcome.NOT_RUN:
                self.check(Invariant.NOT_RUN_IS_CORRECT, holds=count == 0, detail=detail)
        for process, stop_requested_at in self._stops:
            self._check_stop(process, stop_requested_at)

    def count_outcomes(self) -> Counter[Outcome]:
        """Return the number of calls with each outcome."""
        return Counter(call.outcome for call in self._calls)

    def render_report(self) -> str:
        """Return the report: one line per invariant, followed by its first violations."""
        lines = []
        for invariant in Invariant:
            violations = self._violations.get(invariant, [])
            lines.append(
                f"{'BREACH' if violations else 'ok':6} {invariant}: "
                f"{self._checks[invariant]} checks, {len(violations)} breaches"
            )
            lines.extend(f"       {detail}" for detail in violations[:MAX_REPORTED_VIOLATIONS])
        return "\n".join(lines)

    def has_passed(self) -> bool:
        """Return whether each invariant was checked at least once and none was violated."""
        return not self._violations and all(self._checks[invariant] for invariant in Invariant)

    def _check_stop(self, process: str, stop_requested_at: float) -> None:
        # stops of upstreams match no call, because calls are recorded by node
        for call in self._calls:
            if call.node == process and call.started_at < stop_requested_at < call.ended_at:
                self.check(
                    Invariant.STOP_ABORTS_NO_CALL,
                    holds=call.outcome is not Outcome.CONNECTION_FAILED,
                    detail=f"{call.request_id} through {process}",
                )
