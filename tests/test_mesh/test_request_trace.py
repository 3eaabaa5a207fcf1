from __future__ import annotations

from balsamhead.mesh._request_trace import Attempt, RequestTrace


def test_attempts_show_time_and_outcome_and_the_unfinished_one() -> None:
    trace = RequestTrace(b"r1")
    trace.attempted_nodes += ["node-1", "node-2"]
    trace.attempts.append(Attempt("node-1", 12.34, "upstream-full"))
    assert trace.describe_attempts() == ["node-1 12.3 upstream-full", "node-2 unfinished"]
