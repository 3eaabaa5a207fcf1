"""Test one stream of failures for a change against the old version, at any time."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

__all__ = (
    "ONSET_AT_START",
    "RATIOS",
    "Increment",
    "SingleSource",
    "Stream",
    "count_needed_failures",
)

#: how many times more often than tolerated the new version may fail, one test for each
RATIOS: Final = (3.0, 10.0, 40.0, 200.0)
#: prior chance that a fault is there from the first call on, 0 to 1
ONSET_AT_START: Final = 0.5
#: increments with failures that are kept to test again without one VM
_MAX_HISTORY: Final = 400
#: bound on the statistic, so that it stays a finite float
_MAX_STATISTIC: Final = 1e200
_MAX_GAIN: Final = 400.0


class Increment(NamedTuple):
    """Hold the failures of one data centre in one period."""

    #: chance that a failure falls on the new version when both are equal, 0 to 1
    null_share: float
    new_failures: float
    old_failures: float
    #: failures of the new version by VM; those of unknown VMs are left out
    by_vm: tuple[tuple[str, int], ...] = ()
    #: failures of the new version by the caller's node
    by_caller: tuple[tuple[str, int], ...] = ()

    def without_vm(self, vm: str, vms: int) -> Increment:
        """Return the increment as if one VM of the new version took no calls."""
        failures = dict(self.by_vm).get(vm, 0)
        kept = self.null_share * (vms - 1) / vms
        null_share = kept / (kept + 1.0 - self.null_share)
        return self._replace(null_share=null_share, new_failures=self.new_failures - failures)

    def without_caller(self, caller: str, callers: int) -> Increment:
        """Return the increment as if one of the callers' nodes saw no failure of the version."""
        failures = dict(self.by_caller).get(caller, 0)
        return self._replace(new_failures=self.new_failures - failures)


class Stream:
    """Mix likelihood ratios over failure ratios and over the time at which a fault begins.

    :param spread_s: time over which the prior chance that a fault begins later is spread, in s.

    Each failure falls on the new version with a known chance when both versions are equal, so
    what is common to both cancels out. The statistic is an e-process: for equal versions it ever
    reaches ``1 / rate`` with a chance of at most ``rate``.
    """

    def __init__(self, *, spread_s: float, now: float) -> None:
        self._spread_s = spread_s
        self._weighed_at = now
        self._spent = 0.0
        self._mixture = [0.0] * len(RATIOS)
        self._history: deque[_Step] = deque(maxlen=_MAX_HISTORY)
        self._without_vm = _Without(Increment.without_vm)
        self._without_caller = _Without(Increment.without_caller)

    @property
    def statistic(self) -> float:
        """Return the evidence that the new version is worse; 1 / rate withdraws at that rate."""
        return sum(self._mixture) / len(RATIOS)

    def add(self, increments: Sequence[Increment], *, now: float) -> None:
        """Take in the failures of one period."""
        failing = tuple(inc for inc in increments if inc.new_failures or inc.old_failures)
        if not failing:
            return
        step = _Step(self._spend_weight(now), failing)
        _advance(self._mixture, step)
        self._history.append(step)
        for increment in failing:
            self._without_vm.count(increment.by_vm)
            self._without_caller.count(increment.by_caller)
        self._without_vm.add(step)
        self._without_caller.add(step)

    def measure_single_source(self, *, vms: int, callers: int) -> SingleSource:
        """Return the evidence that stays when the worst VM, or caller's node, is left out.

        :param vms: VMs of the new version; with one only, nothing is left out.
        :param callers: nodes whose callers call the service; with one only, nothing is left out.
        """
        without_vm = without_caller = self.statistic
        if vms > 1:
            without_vm = self._without_vm.measure(self._history, vms, self.statistic)
        if callers > 1:
            without_caller = self._without_caller.measure(self._history, callers, self.statistic)
        if without_vm <= without_caller:
            return SingleSource(without_vm, "one VM")
        return SingleSource(without_caller, "one node")

    def _spend_weight(self, now: float) -> float:
        start = ONSET_AT_START if self._spent == 0.0 else 0.0
        later = (1.0 - ONSET_AT_START) * (now - self._weighed_at) / self._spread_s
        weight = min(start + later, 1.0 - self._spent)
        self._weighed_at = now
        self._spent += weight
        return weight


class SingleSource(NamedTuple):
    """Hold the evidence without the source that shows most failures."""

    statistic: float
    #: what was left out, in words
    source: str


class _Step(NamedTuple):
    weight: float
    increments: tuple[Increment, ...]


class _Without:
    """Follow the evidence without the source with most failures."""

    def __init__(self, leave_out: Callable[[Increment, str, int], Increment]) -> None:
        self._leave_out = leave_out
        self._totals: dict[str, int] = {}
        self._worst = ""
        self._sources = 0
        self._mixture = [0.0] * len(RATIOS)

    def count(self, failures: Iterable[tuple[str, int]]) -> None:
        """Count failures by their source."""
        for name, number in failures:
            self._totals[name] = self._totals.get(name, 0) + number

    def add(self, step: _Step) -> None:
        """Take in a period without the source that is left out."""
        if self._worst:
            _advance(self._mixture, self._trim(step))

    def measure(self, history: Iterable[_Step], sources: int, statistic: float) -> float:
        """Return the evidence without the worst source, at most the whole."""
        worst = max(self._totals, key=lambda name: self._totals[name], default="")
        if not worst:
            return statistic
        if (worst, sources) != (self._worst, self._sources):
            self._worst, self._sources = worst, sources
            self._mixture = [0.0] * len(RATIOS)
            for step in history:
                _advance(self._mixture, self._trim(step))
        return min(statistic, sum(self._mixture) / len(RATIOS))

    def _trim(self, step: _Step) -> _Step:
        kept = (self._leave_out(inc, self._worst, self._sources) for inc in step.increments)
        return step._replace(increments=tuple(kept))


def count_needed_failures(threshold: float, null_share: float) -> int:
    """Return how many failures of the new version alone reach a threshold."""
    best = max(_log_gain(ratio, null_share) for ratio in RATIOS)
    if best <= 0.0:
        return _MAX_HISTORY
    return max(1, math.ceil(math.log(threshold * len(RATIOS) / ONSET_AT_START) / best))


def _advance(mixture: list[float], step: _Step) -> None:
    for index, ratio in enumerate(RATIOS):
        gain = sum(_log_likelihood_ratio(inc, ratio) for inc in step.increments)
        grown = (mixture[index] + step.weight) * math.exp(min(gain, _MAX_GAIN))
        mixture[index] = min(grown, _MAX_STATISTIC)


def _log_likelihood_ratio(inc: Increment, ratio: float) -> float:
    if not 0.0 < inc.null_share < 1.0:
        return 0.0
    on_new = _log_gain(ratio, inc.null_share)
    on_old = -math.log(ratio * inc.null_share + 1.0 - inc.null_share)
    return inc.new_failures * on_new + inc.old_failures * on_old


def _log_gain(ratio: float, null_share: float) -> float:
    return math.log(ratio) - math.log(ratio * null_share + 1.0 - null_share)
