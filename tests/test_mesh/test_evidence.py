from __future__ import annotations

import random

import pytest

from balsamhead.mesh._evidence import EvidenceRow, OutcomeCounts, VersionTest
from balsamhead.mesh._upstream import Result


def make_row(version: str, calls: int, failures: int = 0, *, bucket: int = 10) -> EvidenceRow:
    timed = calls - failures
    return EvidenceRow(version, "check", calls, failures, {bucket: timed} if timed else {})


def find_detection(
    rng: random.Random, *, rate: float, share: float, old_rate: float = 0.004
) -> int | None:
    """Return after how many calls of the new version it is taken back."""
    test = VersionTest("v2", 0.0)
    for period in range(100):
        new, old = round(100 * share), round(100 * (1 - share))
        new_bad = sum(rng.random() < rate for _ in range(new))
        old_bad = sum(rng.random() < old_rate for _ in range(old))
        test.add([make_row("v2", new, new_bad), make_row("v1", old, old_bad)], now=period * 0.2)
        if test.find_fault():
            return test.calls
    return None


@pytest.mark.parametrize("rate", [0.35, 0.5, 0.6])
@pytest.mark.parametrize("share", [0.04, 0.1, 0.5])
def test_bad_version_is_found_within_fifty_bad_answers(rate: float, share: float) -> None:
    for seed in range(40):
        calls = find_detection(random.Random(seed), rate=rate, share=share)
        assert calls is not None
        assert calls * rate <= 50 + 100 * share


@pytest.mark.parametrize("old_rate", [0.0, 0.004, 0.2])
def test_equal_version_is_not_taken_back(old_rate: float) -> None:
    found = [
        find_detection(random.Random(seed), rate=old_rate, share=0.1, old_rate=old_rate)
        for seed in range(100)
    ]
    assert found == [None] * 100


def test_several_times_slower_version_is_found() -> None:
    test = VersionTest("v2", 0.0)
    for period in range(10):
        rows = [make_row("v2", 5, bucket=15), make_row("v1", 95, bucket=10)]
        test.add(rows, now=period * 0.2)
    assert "slow" in test.find_fault()


def test_reports_of_one_side_wait_for_the_other() -> None:
    test = VersionTest("v2", 0.0)
    for period in range(200):
        # nodes of either version report in turn, both fail one call in five
        test.collect([make_row("v2" if period % 2 else "v1", 20, 4)])
        test.end_period(period * 0.2)
    assert test.find_fault() == ""


def test_counts_are_taken_once_and_cold_times_left_out() -> None:
    counts = OutcomeCounts()
    counts.add(Result("desk", "v2", "check", False, 80.0, True))
    counts.add(Result("desk", "v2", "check", True, 90.0, False))
    (row,) = counts.take()
    assert (row.calls, row.failures, row.times) == (2, 1, {})
    assert counts.take() == []
