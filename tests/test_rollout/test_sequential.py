from __future__ import annotations

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamhead.rollout import Evidence, Finding, Increment, SequentialTest
from tests.test_rollout.builders import START, make_count, make_policy, make_service


def compute_rate_bound(rate: float, runs: int) -> float:
    """Return the share of runs that a true rate exceeds with a probability of one in a thousand."""
    return rate + 3.1 * math.sqrt(rate * (1.0 - rate) / runs)


def simulate_stream(rng: random.Random, share: float, periods: int) -> float:
    """Return the largest statistic that two equal versions reach in a run."""
    stream = SequentialTest(onset_window_s=float(periods), now=0.0)
    largest = 0.0
    for period in range(periods):
        failures = rng.choice((0, 1, 1, 2, 8))
        new = sum(rng.random() < share for _ in range(failures))
        stream.add([Increment(share, new, failures - new)], now=float(period))
        largest = max(largest, stream.statistic)
    return largest


@pytest.mark.parametrize("share", [0.01, 0.05, 0.2, 0.5])
@pytest.mark.parametrize("rate", [0.05, 0.2])
def test_equal_versions_reach_the_threshold_at_most_at_its_rate(share: float, rate: float) -> None:
    rng = random.Random(int(1000 * share))
    runs = 400
    reached = sum(simulate_stream(rng, share, 120) >= 1.0 / rate for _ in range(runs))
    assert reached / runs <= compute_rate_bound(rate, runs)


def test_onset_weights_sum_to_at_most_one() -> None:
    stream = SequentialTest(onset_window_s=100.0, now=0.0)
    # with a null share of 1, every likelihood ratio stays 1, so the statistic is the sum of weights
    for index in range(500):
        stream.add([Increment(1.0, 1, 0)], now=float(index))
    assert 0.5 <= stream.statistic <= 1.0 + 1e-9


def simulate_equal_versions(rng: random.Random, rate: float) -> bool:
    """Return whether equal versions with a common burst of failures yield a finding."""
    policy = make_policy()._replace(false_positive_rate=rate)
    evidence = Evidence(
        service="plot-registry",
        old="v1",
        new="v2",
        policy=policy,
        objective=make_service().objective,
        routes=1,
        data_centres=1,
        onset_window_s=1800.0,
        now=START,
    )
    for period in range(100):
        chance = 0.2 if 40 <= period < 50 else 0.01
        calls = {"v1": 80, "v2": 20}
        counts = [
            make_count(
                version,
                number,
                sum(rng.random() < chance for _ in range(number)),
                upstream=f"vm-{rng.randrange(4)}",
                caller=f"node-{rng.randrange(3)}",
            )
            for version, number in calls.items()
        ]
        evidence.add(
            counts,
            data_centre="east-tbilisi",
            source="east-tbilisi/a",
            callers=3,
            share=0.2,
            watching=False,
            now=START + period,
        )
        if isinstance(evidence.evaluate(vms=4), Finding):
            return True
    return False


def test_false_positives_stay_within_the_policy_rate() -> None:
    rng = random.Random(7)
    runs = 200
    blamed = sum(simulate_equal_versions(rng, 0.05) for _ in range(runs))
    assert blamed / runs <= compute_rate_bound(0.05, runs)


def test_statistic_grows_with_failures_of_the_new_version() -> None:
    stream = SequentialTest(onset_window_s=1800.0, now=0.0)
    grown = [0.0]
    for index in range(6):
        stream.add([Increment(0.05, 1, 0)], now=float(index))
        grown.append(stream.statistic)
    assert grown == sorted(set(grown))
    assert stream.statistic > 1e5


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 9)), max_size=30))
def test_leaving_out_a_source_never_raises_the_statistic(failures: list[tuple[int, int]]) -> None:
    stream = SequentialTest(onset_window_s=1800.0, now=0.0)
    for index, (new, old) in enumerate(failures):
        by_vm = ((f"vm-{index % 3}", new),) if new else ()
        stream.add([Increment(0.1, new, old, by_vm, by_vm)], now=float(index))
    single = stream.compute_leave_one_out(vms=3, callers=3)
    assert single.statistic <= stream.statistic


def test_failures_of_a_single_vm_leave_no_evidence_without_it() -> None:
    stream = SequentialTest(onset_window_s=1800.0, now=0.0)
    for index in range(20):
        stream.add([Increment(0.1, 1, 0, (("vm-1", 1),), (("n", 1),))], now=float(index))
    assert stream.compute_leave_one_out(vms=4, callers=1).statistic < 1.0
    assert stream.compute_leave_one_out(vms=1, callers=1).statistic == stream.statistic
