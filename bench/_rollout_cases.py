"""Generate random rollout cases and the call counts of good and bad versions."""

from __future__ import annotations

import math
from enum import StrEnum
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.wire import CallCount

if TYPE_CHECKING:
    import random

__all__ = (
    "BAD_KINDS",
    "DEPLOYMENTS",
    "GOOD_KINDS",
    "Case",
    "CaseKind",
    "Deployment",
    "TrafficGenerator",
    "draw_case",
)


class CaseKind(StrEnum):
    """How a new version behaves, or what happens during its rollout."""

    GOOD_PLAIN = "good"
    GOOD_NOISY = "good-noisy"
    GOOD_SLOW_START = "good-cold"
    GOOD_SLIGHTLY_SLOWER = "good-little-slower"
    GOOD_LATE_START = "good-started-late"
    GOOD_FAULTY_VM = "good-one-sick-vm"
    GOOD_OVERLOAD = "good-overload"
    GOOD_REGION_PARTITION = "good-border-cut"
    GOOD_SLOW_BACK_END = "good-slow-back-end"
    GOOD_FEW_CALLS = "good-few-calls"
    BAD_ERRORS_AT_ONCE = "bad-errors-at-once"
    BAD_ERRORS_LATER = "bad-errors-later"
    BAD_SLOW_AT_ONCE = "bad-slow-at-once"
    BAD_SLOW_LATER = "bad-slow-later"
    BAD_UNDER_LOAD = "bad-under-load"
    BAD_ONE_ROUTE = "bad-one-route"
    BAD_CRASH_START = "bad-crash-on-start"
    BAD_CRASH_REQUEST = "bad-crash-on-request"
    BAD_LEAK = "bad-leak"
    BAD_ONE_DATA_CENTRE = "bad-one-data-centre"


GOOD_KINDS: Final = tuple(kind for kind in CaseKind if kind.startswith("good"))
BAD_KINDS: Final = tuple(kind for kind in CaseKind if kind.startswith("bad"))


class Deployment(NamedTuple):
    """Size of the service in one deployment."""

    name: str
    data_centres: tuple[str, ...]
    workers: int
    slots: int


DEPLOYMENTS: Final = (
    Deployment("trust", ("east-tbilisi", "east-telavi", "west-kutaisi", "west-batumi"), 9, 6),
    Deployment("association", ("bac-hanoi", "bac-haiphong", "nam-saigon", "nam-cantho"), 9, 15),
)

#: fraction of the calls on each route
ROUTE_SHARES: Final = {"lookup": 0.65, "submit": 0.35}
#: number of nodes from which the service is called
CALLER_NODES: Final = 8


class Case(NamedTuple):
    """Random parameters of one case, drawn before it runs."""

    kind: CaseKind
    deployment: Deployment
    #: calls per second to the service
    rate: float
    seed: int
    old_error_rate: float
    old_slow_rate: float
    #: fraction of calls that fail, or are slow, while the fault is visible
    severity: float
    #: start of the fault or the disturbance, as a fraction of the window; a disturbance that
    #: starts above 1 falls into the watch period
    onset: float
    #: duration of the disturbance, as a fraction of the window, 0 to 1
    duration_share: float
    #: traffic share of the new version from which a fault under load is visible
    fault_min_share: float
    #: factor on the shortest duration of the planned rollout; the product determines the due time
    window_factor: float

    @property
    def is_good(self) -> bool:
        """Return whether the version should be rolled out."""
        return self.kind in GOOD_KINDS


def draw_case(
    rng: random.Random,
    kind: CaseKind,
    deployment: Deployment,
    rate: float,
    *,
    is_window_short: bool,
) -> Case:
    """Draw a random case of a kind.

    :param is_window_short: the due time is too early to collect the required evidence.
    """
    return Case(
        kind=kind,
        deployment=deployment,
        rate=rate * (0.3 if kind is CaseKind.GOOD_FEW_CALLS else 1.0),
        seed=rng.randrange(1 << 30),
        old_error_rate=rng.uniform(0.0005, 0.003),
        old_slow_rate=rng.uniform(0.002, 0.008),
        severity=rng.choice((0.05, 0.1, 0.3, 1.0)),
        # good versions: the disturbance may also start in the watch period
        onset=rng.uniform(0.15, 1.1 if kind in GOOD_KINDS else 0.7),
        duration_share=rng.uniform(0.05, 0.25),
        fault_min_share=rng.uniform(0.3, 0.6),
        window_factor=rng.uniform(0.3, 0.8) if is_window_short else rng.uniform(1.5, 3.0),
    )


class _FailureRates(NamedTuple):
    errors: float
    slow: float
    crashes: float


class TrafficGenerator:
    """Generate the call counts of each period of one case."""

    def __init__(self, case: Case, rng: random.Random, *, window_s: float) -> None:
        self._case = case
        self._rng = rng
        self._window_s = window_s
        self._burst_until = -1.0
        self._new_calls = 0
        #: time of the first calls to the new version, in s after the start; None until then
        self.first_call_at: float | None = None
        #: whether the fault is visible in the calls of the current period
        self.is_fault_active = False
        #: failed, slow and crashing calls of the new version while the fault was visible
        self.failed_calls = 0
        self.faulty_calls = 0
        self.calls = 0

    @property
    def onset_at(self) -> float:
        """Return the start of the fault or the disturbance, in s after the start of the rollout."""
        return self._case.onset * self._window_s

    def count_ready_vms(self, elapsed_s: float) -> int:
        """Return the number of VMs of the new version that accept calls."""
        case = self._case
        if case.kind is CaseKind.GOOD_LATE_START and elapsed_s < 0.2 * self._window_s:
            return 0
        if case.kind is CaseKind.BAD_CRASH_START:
            return case.deployment.workers if elapsed_s < 1.0 else 0
        return case.deployment.workers

    def count_restarts(self, elapsed_s: float) -> tuple[int, ...]:
        """Return the number of restarts of each VM of the new version."""
        if self._case.kind is not CaseKind.BAD_CRASH_START:
            return (0,) * self._case.deployment.workers
        return (int(elapsed_s / 8.0),) * self._case.deployment.workers

    def is_unreachable(self, data_centre: str, elapsed_s: float) -> bool:
        """Return whether a data centre is cut off, so that its reports are delayed."""
        if self._case.kind is not CaseKind.GOOD_REGION_PARTITION:
            return False
        return (
            self._is_disturbance_active(elapsed_s)
            and data_centre in self._case.deployment.data_centres[2:]
        )

    def draw(
        self, data_centre: str, elapsed_s: float, period_s: float, share: float
    ) -> list[CallCount]:
        """Draw the call counts of one data centre over a period."""
        rows: list[CallCount] = []
        rng = self._rng
        self.is_fault_active = self._is_fault_visible(data_centre, "lookup", elapsed_s, share)
        for route, part in ROUTE_SHARES.items():
            mean = self._case.rate * part * period_s / len(self._case.deployment.data_centres)
            calls = draw_poisson(rng, mean)
            new = draw_binomial(rng, calls, share)
            if new and self.first_call_at is None:
                self.first_call_at = elapsed_s
            self.calls += calls
            self._new_calls += new
            rows += self._draw_version("v1", route, data_centre, calls - new, elapsed_s, share)
            rows += self._draw_version("v2", route, data_centre, new, elapsed_s, share)
        return [self._draw_dependency(sum(row.calls for row in rows), elapsed_s), *rows]

    def _draw_dependency(self, calls: int, elapsed_s: float) -> CallCount:
        is_slow = self._case.kind is CaseKind.GOOD_SLOW_BACK_END and self._is_disturbance_active(
            elapsed_s
        )
        slow = draw_binomial(self._rng, calls, 0.5 if is_slow else 0.002)
        return CallCount("back-end", "read", "v1", calls, 0, slow, 0, 0)

    def _draw_version(
        self, version: str, route: str, data_centre: str, calls: int, elapsed_s: float, share: float
    ) -> list[CallCount]:
        if not calls:
            return []
        rng = self._rng
        rates, shed_share = self._get_rates(version, elapsed_s)
        is_fault_visible = version == "v2" and self._is_fault_visible(
            data_centre, route, elapsed_s, share
        )
        if is_fault_visible:
            rates = self._apply_fault(rates, elapsed_s)
        errors = draw_binomial(rng, calls, rates.errors)
        slow = draw_binomial(rng, calls - errors, rates.slow)
        crashes = draw_binomial(rng, calls - errors, rates.crashes)
        shed = draw_binomial(rng, calls, shed_share)
        vms = self._case.deployment.workers
        if (
            version == "v2"
            and self._case.kind is CaseKind.GOOD_FAULTY_VM
            and elapsed_s > self.onset_at
        ):
            faulty_vm_calls = draw_binomial(rng, calls, 1.0 / vms)
            faulty_vm_errors = draw_binomial(rng, faulty_vm_calls, 0.5)
            attributed = (
                [_make_attributed_row(route, version, faulty_vm_errors, 0, 0, "vm-0", rng)]
                if faulty_vm_errors
                else []
            )
        else:
            faulty_vm_errors, attributed = 0, []
        if is_fault_visible:
            self.faulty_calls += calls
            self.failed_calls += errors + slow + crashes
        total = CallCount("svc", route, version, calls - faulty_vm_errors, 0, 0, shed, 0)
        for row_errors, row_slow, row_crashes in _split_failures(rng, errors, slow, crashes, vms):
            vm = f"vm-{rng.randrange(vms)}"
            attributed.append(
                _make_attributed_row(route, version, row_errors, row_slow, row_crashes, vm, rng)
            )
        attributed_calls = sum(row.calls for row in attributed) - faulty_vm_errors
        return [total._replace(calls=max(0, total.calls - attributed_calls)), *attributed]

    def _is_disturbance_active(self, elapsed_s: float) -> bool:
        return (
            self.onset_at <= elapsed_s < self.onset_at + self._case.duration_share * self._window_s
        )

    def _get_rates(self, version: str, elapsed_s: float) -> tuple[_FailureRates, float]:
        case = self._case
        errors, slow, shed = case.old_error_rate, case.old_slow_rate, 0.0
        age_s = elapsed_s - (self.first_call_at if self.first_call_at is not None else elapsed_s)
        match case.kind:
            case CaseKind.GOOD_NOISY:
                if elapsed_s > self._burst_until and self._rng.random() < 0.002:
                    self._burst_until = elapsed_s + self._rng.uniform(5.0, 20.0)
                if elapsed_s < self._burst_until:
                    errors, slow = 10.0 * errors, 5.0 * slow
            case CaseKind.GOOD_SLOW_START if version == "v2" and age_s < 20.0:
                slow = 0.6
            case CaseKind.GOOD_SLIGHTLY_SLOWER if version == "v2":
                slow = 1.6 * slow
            case CaseKind.GOOD_OVERLOAD if self._is_disturbance_active(elapsed_s):
                errors, slow, shed = errors + 0.03, 0.4, 0.2
            case CaseKind.GOOD_SLOW_BACK_END if self._is_disturbance_active(elapsed_s):
                errors, slow = errors + 0.02, 0.5
            case CaseKind.GOOD_REGION_PARTITION if 0.0 <= elapsed_s - self.onset_at < 5.0:
                errors = errors + 0.1
        return _FailureRates(errors, slow, 0.0), shed

    def _is_fault_visible(
        self, data_centre: str, route: str, elapsed_s: float, share: float
    ) -> bool:
        case = self._case
        if case.is_good or case.kind is CaseKind.BAD_CRASH_START:
            return False
        match case.kind:
            case CaseKind.BAD_ERRORS_LATER | CaseKind.BAD_SLOW_LATER:
                return elapsed_s >= self.onset_at
            case CaseKind.BAD_LEAK:
                return elapsed_s >= 0.5 * self.onset_at
            case CaseKind.BAD_UNDER_LOAD:
                return share >= case.fault_min_share
            case CaseKind.BAD_ONE_ROUTE:
                return route == "submit"
            case CaseKind.BAD_ONE_DATA_CENTRE:
                return data_centre == case.deployment.data_centres[case.seed % 4]
        return True

    def _apply_fault(self, rates: _FailureRates, elapsed_s: float) -> _FailureRates:
        case = self._case
        severity = case.severity
        match case.kind:
            case CaseKind.BAD_SLOW_AT_ONCE | CaseKind.BAD_SLOW_LATER:
                return rates._replace(slow=max(0.1, severity))
            case CaseKind.BAD_CRASH_REQUEST:
                return rates._replace(crashes=min(0.05, severity / 5.0))
            case CaseKind.BAD_LEAK:
                age = (elapsed_s - 0.5 * self.onset_at) / max(60.0, 0.1 * self._window_s)
                return rates._replace(slow=min(1.0, rates.slow + age))
        return rates._replace(errors=min(1.0, rates.errors + severity))


def _split_failures(
    rng: random.Random, errors: int, slow: int, crashes: int, vms: int
) -> list[tuple[int, int, int]]:
    """Split failures evenly into at most one row per VM."""
    row_count = min(vms, max(errors, slow, crashes))
    rows = []
    for index in range(row_count):
        left = row_count - index
        part = (errors // left, slow // left, crashes // left)
        errors, slow, crashes = errors - part[0], slow - part[1], crashes - part[2]
        rows.append(part)
    return rows


def _make_attributed_row(
    route: str, version: str, errors: int, slow: int, crashes: int, vm: str, rng: random.Random
) -> CallCount:
    caller = f"node-{rng.randrange(CALLER_NODES)}"
    calls = max(errors, slow, crashes)
    return CallCount("svc", route, version, calls, errors, slow, 0, crashes, vm, caller)


def draw_poisson(rng: random.Random, mean: float) -> int:
    """Draw from a Poisson distribution; large means use the normal approximation."""
    if mean > 30.0:
        return max(0, round(rng.gauss(mean, math.sqrt(mean))))
    limit = math.exp(-mean)
    count, product = 0, rng.random()
    while product > limit:
        count += 1
        product *= rng.random()
    return count


def draw_binomial(rng: random.Random, trials: int, probability: float) -> int:
    """Draw from a binomial distribution; large means use the normal approximation."""
    if trials <= 0 or probability <= 0.0:
        return 0
    if probability >= 1.0:
        return trials
    if probability > 0.5:
        return trials - draw_binomial(rng, trials, 1.0 - probability)
    mean = trials * probability
    if mean > 30.0:
        drawn = round(rng.gauss(mean, math.sqrt(mean * (1.0 - probability))))
        return min(trials, max(0, drawn))
    log_no_event = math.log1p(-probability)
    count, position = 0, 0
    while True:
        position += 1 + int(math.log(1.0 - rng.random()) / log_no_event)
        if position > trials:
            return count
        count += 1
