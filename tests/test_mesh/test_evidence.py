from __future__ import annotations

import random

import pytest

from balsamhead.mesh._evidence import CallCounter, EvidenceRow, VersionComparison
from balsamhead.mesh._upstream import CallResult


def make_row(version: str, calls: int, failures: int = 0, *, bucket: int = 10) -> EvidenceRow:
    timed = calls - failures
    return EvidenceRow(version, "check", calls, failures, {bucket: timed} if timed else {})


def count_calls_until_regression(
    rng: random.Random, *, failure_rate: float, share: float, old_failure_rate: float = 0.004
) -> int | None:
    """Return the number of calls until the new version is found worse, or None if it is not."""
    comparison = VersionComparison("v2", 0.0)
    for period in range(100):
        new, old = round(100 * share), round(100 * (1 - share))
        new_failures = sum(rng.random() < failure_rate for _ in range(new))
        old_failures = sum(rng.random() < old_failure_rate for _ in range(old))
        comparison.add(
            [make_row("v2", new, new_failures), make_row("v1", old, old_failures)], now=period * 0.2
        )
        if comparison.find_regression():
            return comparison.calls
    return None


@pytest.mark.parametrize("failure_rate", [0.35, 0.5, 0.6])
@pytest.mark.parametrize("share", [0.04, 0.1, 0.5])
def test_failing_version_is_detected_within_fifty_failures(
    failure_rate: float, share: float
) -> None:
    for seed in range(40):
        calls = count_calls_until_regression(
            random.Random(seed), failure_rate=failure_rate, share=share
        )
        assert calls is not None
        assert calls * failure_rate <= 50 + 100 * share


@pytest.mark.parametrize("old_failure_rate", [0.0, 0.004, 0.2])
def test_version_with_equal_failure_rate_is_not_rolled_back(old_failure_rate: float) -> None:
    detections = [
        count_calls_until_regression(
            random.Random(seed),
            failure_rate=old_failure_rate,
            share=0.1,
            old_failure_rate=old_failure_rate,
        )
        for seed in range(100)
    ]
    assert detections == [None] * 100


def test_much_slower_version_is_detected() -> None:
    comparison = VersionComparison("v2", 0.0)
    for period in range(10):
        rows = [make_row("v2", 5, bucket=15), make_row("v1", 95, bucket=10)]
        comparison.add(rows, now=period * 0.2)
    assert "slow" in comparison.find_regression()


def test_reports_of_one_version_wait_for_those_of_the_other() -> None:
    comparison = VersionComparison("v2", 0.0)
    for period in range(200):
        # Nodes of the two versions report alternately; both versions fail one call in five.
        comparison.add_report([make_row("v2" if period % 2 else "v1", 20, 4)])
        comparison.end_period(period * 0.2)
    assert comparison.find_regression() == ""


def test_counts_are_returned_once_without_latencies_of_slow_start_and_failures() -> None:
    counts = CallCounter()
    counts.add(CallResult("desk", "v2", "check", False, 80.0, True))
    counts.add(CallResult("desk", "v2", "check", True, 90.0, False))
    (row,) = counts.drain()
    assert (row.calls, row.failures, row.latency_histogram) == (2, 1, {})
    assert counts.drain() == []
