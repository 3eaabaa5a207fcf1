"""Compare statistical tests for a higher failure rate: ``python -m bench._rollout_tests``."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.rollout import Increment, SequentialTest
from bench._frame import percentile
from bench._rollout_cases import draw_binomial, draw_poisson

if TYPE_CHECKING:
    from collections.abc import Callable

SEED: Final = 20261204
#: permitted probability of rejecting a version with an equal failure rate
FALSE_POSITIVE_RATE: Final = 0.005
RUNS: Final = 300
PERIODS: Final = 400
#: calls to both versions in one period
CALLS_PER_PERIOD: Final = 200
NEW_VERSION_SHARE: Final = 0.05
OLD_FAILURE_RATE: Final = 0.002


class _Period(NamedTuple):
    new_calls: int
    old_calls: int
    new_failures: int
    old_failures: int


class _VersionTest:
    """Test after each period whether the new version fails more often."""

    def add(self, period: _Period) -> bool:
        """Add the counts of a period; return whether the new version is found worse."""
        raise NotImplementedError


class _RepeatedFixedHorizonTest(_VersionTest):
    """Two-proportion z-test for a fixed sample size, evaluated after every period."""

    critical_value: Final = 2.58

    def __init__(self) -> None:
        self._totals = _Period(0, 0, 0, 0)

    def add(self, period: _Period) -> bool:
        self._totals = _Period(*(a + b for a, b in zip(self._totals, period, strict=True)))
        new_calls, old_calls, new_failures, old_failures = self._totals
        if not new_calls or not old_calls or not new_failures + old_failures:
            return False
        pooled = (new_failures + old_failures) / (new_calls + old_calls)
        standard_error = math.sqrt(pooled * (1 - pooled) * (1 / new_calls + 1 / old_calls))
        return (
            new_failures / new_calls - old_failures / old_calls
        ) / standard_error > self.critical_value


class _FixedHorizonTest(_RepeatedFixedHorizonTest):
    """Two-proportion z-test for a fixed sample size, evaluated once after all periods."""

    def __init__(self) -> None:
        super().__init__()
        self._periods = 0

    def add(self, period: _Period) -> bool:
        self._periods += 1
        return super().add(period) and self._periods == PERIODS


class _LikelihoodRatioTest(_VersionTest):
    """Sequential probability ratio test (SPRT) against one fixed ratio of failure rates."""

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._log_ratio = 0.0

    def add(self, period: _Period) -> bool:
        log_expected = math.log(self._ratio * NEW_VERSION_SHARE + 1 - NEW_VERSION_SHARE)
        self._log_ratio += (
            period.new_failures * (math.log(self._ratio) - log_expected)
            - period.old_failures * log_expected
        )
        return self._log_ratio >= math.log(1 / FALSE_POSITIVE_RATE)


class _BayesianTest(_VersionTest):
    """Bayesian test with normal posteriors.

    It rejects the new version once its failure rate is higher with a probability above
    1 - FALSE_POSITIVE_RATE.
    """

    def __init__(self) -> None:
        self._totals = _Period(0, 0, 0, 0)

    def add(self, period: _Period) -> bool:
        self._totals = _Period(*(a + b for a, b in zip(self._totals, period, strict=True)))
        rates = []
        for calls, failed in (
            (self._totals[0], self._totals[2]),
            (self._totals[1], self._totals[3]),
        ):
            mean = (failed + 0.5) / (calls + 1)
            rates.append((mean, mean * (1 - mean) / (calls + 2)))
        (new_mean, new_variance), (old_mean, old_variance) = rates
        probability = 0.5 * math.erfc(
            (old_mean - new_mean) / math.sqrt(2 * (new_variance + old_variance))
        )
        return probability > 1 - FALSE_POSITIVE_RATE


class _MixtureTest(_VersionTest):
    """Mixture test over failure ratios and onsets, as the node uses it."""

    def __init__(self) -> None:
        self._stream = SequentialTest(onset_window_s=float(PERIODS), now=0.0)
        self._now = 0.0

    def add(self, period: _Period) -> bool:
        self._now += 1.0
        self._stream.add(
            [Increment(NEW_VERSION_SHARE, period.new_failures, period.old_failures)], now=self._now
        )
        return self._stream.statistic >= 1 / FALSE_POSITIVE_RATE


TESTS: Final[dict[str, Callable[[], _VersionTest]]] = {
    "fixed horizon, looked at once": _FixedHorizonTest,
    "fixed horizon, looked at each period": _RepeatedFixedHorizonTest,
    "Bayesian, looked at each period": _BayesianTest,
    "SPRT, ratio 3": lambda: _LikelihoodRatioTest(3.0),
    "SPRT, ratio 25": lambda: _LikelihoodRatioTest(25.0),
    "mixture (used)": _MixtureTest,
}


def _run(test: _VersionTest, rng: random.Random, failure_rate: float, onset: int) -> int | None:
    failed = 0
    for index in range(PERIODS):
        calls = draw_poisson(rng, CALLS_PER_PERIOD)
        new_calls = draw_binomial(rng, calls, NEW_VERSION_SHARE)
        rate = failure_rate if index >= onset else OLD_FAILURE_RATE
        new_failures = draw_binomial(rng, new_calls, rate)
        old_failures = draw_binomial(rng, calls - new_calls, OLD_FAILURE_RATE)
        failed += new_failures if index >= onset else 0
        if test.add(_Period(new_calls, calls - new_calls, new_failures, old_failures)):
            return failed
    return None


def main() -> None:
    """Print, for each test, its error rates and the failed calls until it detects a bad version."""
    print("test | blamed equal | 5% at once: missed, p50, p99 | 5% later | 1% at once")
    for name, make_test in TESTS.items():
        cells = []
        for failure_rate, onset in ((OLD_FAILURE_RATE, 0), (0.05, 0), (0.05, 200), (0.01, 0)):
            rng = random.Random(SEED)
            results = [_run(make_test(), rng, failure_rate, onset) for _ in range(RUNS)]
            detections = [end for end in results if end is not None]
            if failure_rate == OLD_FAILURE_RATE:
                cells.append(f"{len(detections) / RUNS:.3f}")
                continue
            figures = (
                f"{percentile(detections, 0.5):.0f}, {percentile(detections, 0.99):.0f}"
                if detections
                else "-"
            )
            cells.append(f"{1 - len(detections) / RUNS:.3f}, {figures}")
        print(" | ".join((name, *cells)))


if __name__ == "__main__":
    main()
