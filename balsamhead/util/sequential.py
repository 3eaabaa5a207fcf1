"""Test sequentially whether a new version fails more often than the old one.

The test may be evaluated after every observation without raising its false-positive rate.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

__all__ = (
    "FAILURE_RATIOS",
    "PRIOR_ONSET_AT_START",
    "Increment",
    "LeaveOneOutEvidence",
    "SequentialTest",
    "count_needed_failures",
)

#: multiples of the tolerated failure rate at which a faulty new version may fail; the statistic
#: combines one test for each
FAILURE_RATIOS: Final = (3.0, 10.0, 40.0, 200.0)
#: prior probability that a fault is present from the first call, 0 to 1
PRIOR_ONSET_AT_START: Final = 0.5
#: periods with failures that are kept, to recompute the test without one VM or one node
_MAX_HISTORY_PERIODS: Final = 400
#: upper limit of the mixture's terms, so that the statistic stays a finite float
_MAX_STATISTIC: Final = 1e200
#: upper limit of one period's log-likelihood ratio, so that its exponential stays finite
_MAX_LOG_RATIO: Final = 400.0


class Increment(NamedTuple):
    """Failures of one data centre in one period."""

    #: probability that a failure is one of the new version under the null hypothesis, 0 to 1
    null_share: float
    new_failures: float
    old_failures: float
    #: failures of the new version by VM; without those of unknown VMs
    by_vm: tuple[tuple[str, int], ...] = ()
    #: failures of the new version by the node that received the call from its caller
    by_caller: tuple[tuple[str, int], ...] = ()

    def without_vm(self, vm: str, vms: int) -> Increment:
        """Return the increment as if one of ``vms`` VMs of the new version received no calls."""
        failures = dict(self.by_vm).get(vm, 0)
        kept = self.null_share * (vms - 1) / vms
        null_share = kept / (kept + 1.0 - self.null_share)
        return self._replace(null_share=null_share, new_failures=self.new_failures - failures)

    def without_caller(self, caller: str, callers: int) -> Increment:
        """Return the increment as if one of the callers' nodes saw no failure of the version."""
        failures = dict(self.by_caller).get(caller, 0)
        return self._replace(new_failures=self.new_failures - failures)


class SequentialTest:
    """Test a stream of failures against the null hypothesis that the new version is not worse.

    The statistic is a mixture of likelihood ratios over the ratios in ``FAILURE_RATIOS`` and over
    the onset time of a fault. Under the null hypothesis, each failure is one of the new version
    with a known probability, so causes that affect both versions cancel out. The statistic is
    an e-process: under the null hypothesis, the probability that it ever reaches ``1 / rate`` is
    at most ``rate``.

    :param onset_window_s: time over which the prior probability of a later onset is spread, in s.
    """

    def __init__(self, *, onset_window_s: float, now: float) -> None:
        self._onset_window_s = onset_window_s
        self._allocated_at = now
        self._allocated = 0.0
        self._mixture = [0.0] * len(FAILURE_RATIOS)
        self._history: deque[_Period] = deque(maxlen=_MAX_HISTORY_PERIODS)
        self._without_worst_vm = _LeaveOneOut(Increment.without_vm)
        self._without_worst_caller = _LeaveOneOut(Increment.without_caller)

    @property
    def statistic(self) -> float:
        """Return the evidence that the new version is worse.

        Rolling back when it reaches ``1 / rate`` gives a false-positive rate of at most ``rate``.
        """
        return sum(self._mixture) / len(FAILURE_RATIOS)

    def add(self, increments: Sequence[Increment], *, now: float) -> None:
        """Update the statistic with the failures of one period."""
        failing = tuple(inc for inc in increments if inc.new_failures or inc.old_failures)
        if not failing:
            return
        period = _Period(self._allocate_prior(now), failing)
        _update_mixture(self._mixture, period)
        self._history.append(period)
        for increment in failing:
            self._without_worst_vm.count(increment.by_vm)
            self._without_worst_caller.count(increment.by_caller)
        self._without_worst_vm.add(period)
        self._without_worst_caller.add(period)

    def compute_leave_one_out(self, *, vms: int, callers: int) -> LeaveOneOutEvidence:
        """Return the smaller of the evidence without the worst VM and without the worst node.

        :param vms: number of VMs of the new version; if it is 1, no VM is left out.
        :param callers: number of nodes whose callers call the service; if it is 1, no node is
            left out.
        """
        without_vm = without_caller = self.statistic
        if vms > 1:
            without_vm = self._without_worst_vm.measure(self._history, vms, self.statistic)
        if callers > 1:
            without_caller = self._without_worst_caller.measure(
                self._history, callers, self.statistic
            )
        if without_vm <= without_caller:
            return LeaveOneOutEvidence(without_vm, "one VM")
        return LeaveOneOutEvidence(without_caller, "one node")

    def _allocate_prior(self, now: float) -> float:
        start = PRIOR_ONSET_AT_START if self._allocated == 0.0 else 0.0
        later = (1.0 - PRIOR_ONSET_AT_START) * (now - self._allocated_at) / self._onset_window_s
        weight = min(start + later, 1.0 - self._allocated)
        self._allocated_at = now
        self._allocated += weight
        return weight


class LeaveOneOutEvidence(NamedTuple):
    """Evidence without the source that has the most failures."""

    statistic: float
    #: the kind of source that was left out, as text
    source: str


class _Period(NamedTuple):
    weight: float
    increments: tuple[Increment, ...]


class _LeaveOneOut:
    """Evidence without the source that has the most failures, updated with each period."""

    def __init__(self, exclude: Callable[[Increment, str, int], Increment]) -> None:
        self._exclude = exclude
        self._failures: dict[str, int] = {}
        self._worst = ""
        self._source_count = 0
        self._mixture = [0.0] * len(FAILURE_RATIOS)

    def count(self, failures: Iterable[tuple[str, int]]) -> None:
        """Add to the number of failures of each source."""
        for name, number in failures:
            self._failures[name] = self._failures.get(name, 0) + number

    def add(self, period: _Period) -> None:
        """Update the evidence with a period, without the source that is left out."""
        if self._worst:
            _update_mixture(self._mixture, self._exclude_worst(period))

    def measure(self, history: Iterable[_Period], sources: int, statistic: float) -> float:
        """Return the evidence without the worst source, or ``statistic`` if that is smaller."""
        worst = max(self._failures, key=lambda name: self._failures[name], default="")
        if not worst:
            return statistic
        if (worst, sources) != (self._worst, self._source_count):
            self._worst, self._source_count = worst, sources
            self._mixture = [0.0] * len(FAILURE_RATIOS)
            for period in history:
                _update_mixture(self._mixture, self._exclude_worst(period))
        return min(statistic, sum(self._mixture) / len(FAILURE_RATIOS))

    def _exclude_worst(self, period: _Period) -> _Period:
        kept = (self._exclude(inc, self._worst, self._source_count) for inc in period.increments)
        return period._replace(increments=tuple(kept))


def count_needed_failures(threshold: float, null_share: float) -> int:
    """Return how many failures of the new version, with none of the old one, reach a threshold.

    Returns 400 if such a failure adds no evidence, so that no number of them is enough.
    """
    max_log_ratio = max(_log_ratio_of_new_failure(ratio, null_share) for ratio in FAILURE_RATIOS)
    if max_log_ratio <= 0.0:
        return _MAX_HISTORY_PERIODS
    return max(
        1,
        math.ceil(math.log(threshold * len(FAILURE_RATIOS) / PRIOR_ONSET_AT_START) / max_log_ratio),
    )


def _update_mixture(mixture: list[float], period: _Period) -> None:
    for index, ratio in enumerate(FAILURE_RATIOS):
        log_ratio = sum(_log_likelihood_ratio(inc, ratio) for inc in period.increments)
        updated = (mixture[index] + period.weight) * math.exp(min(log_ratio, _MAX_LOG_RATIO))
        mixture[index] = min(updated, _MAX_STATISTIC)


def _log_likelihood_ratio(inc: Increment, ratio: float) -> float:
    if not 0.0 < inc.null_share < 1.0:
        return 0.0
    per_new_failure = _log_ratio_of_new_failure(ratio, inc.null_share)
    per_old_failure = -math.log(ratio * inc.null_share + 1.0 - inc.null_share)
    return inc.new_failures * per_new_failure + inc.old_failures * per_old_failure


def _log_ratio_of_new_failure(ratio: float, null_share: float) -> float:
    return math.log(ratio) - math.log(ratio * null_share + 1.0 - null_share)
