"""Run one rollout case with the node's decision logic or with fixed steps."""

from __future__ import annotations

import math
import random
from collections import deque
from typing import TYPE_CHECKING, Final, NamedTuple, Protocol

from balsamhead.document import Document, Objective, Region, RolloutPolicy, Route, Service
from balsamhead.fold import FinishRollout, Rollout, RolloutPhase, StepRollout, empty_state, fold
from balsamhead.membership import Member, MemberStatus, Place, Upstream, UpstreamState
from balsamhead.rollout import Finish, Late, RollBack, RolloutTracker, Step, plan_rollout
from bench._rollout_cases import ROUTE_SHARES, Case, CaseKind, TrafficGenerator
from bench._rollout_start import START, make_rollout

if TYPE_CHECKING:
    from balsamhead.rollout import Verdict
    from balsamhead.wire import CallCount

__all__ = ("Outcome", "run_case")

#: largest rate of calls per second, and the length of a period up to that rate, in s
_PERIODS_BY_RATE: Final = ((5.0, 20.0), (60.0, 4.0), (500.0, 1.0))
#: length of a period at higher rates, in s
_SHORT_PERIOD_S: Final = 0.5
#: time from a call until every node has applied the rollback that the call causes, in s
ROLLBACK_DELAY_S: Final = 2.0
#: fraction of the watch period that is simulated for a good version
_WATCH_FRACTION: Final = 0.5
#: time after acceptance within which an unreachable due time must be reported, in s
EARLY_REPORT_S: Final = 60.0


class Outcome(NamedTuple):
    """Result of one case."""

    case: Case
    preset: str
    #: time from acceptance to the due time, in s
    window_s: float
    #: time at which the new version received all calls, in s after acceptance; inf if never
    done_s: float
    #: time of the first report that the due time won't be met, in s after acceptance; inf if none
    reported_late_s: float
    is_rolled_back: bool
    reason: str
    #: whether the fault affected any call
    had_fault: bool
    #: failed, slow and crashing calls of the new version while its fault was visible
    failed_calls: int
    #: fraction of all calls that the fault affected
    faulty_share: float
    #: largest traffic share of the new version while the fault was visible
    max_share_during_fault: float
    #: whether a plan made with the true call rates meets the due time
    is_feasible: bool

    @property
    def is_on_time(self) -> bool:
        """Return whether the new version received all calls by the due time."""
        return self.done_s <= self.window_s

    @property
    def is_reported_early(self) -> bool:
        """Return whether an unreachable due time was reported within EARLY_REPORT_S.

        The time counts from acceptance, or from the start of the VMs if they start late.
        """
        ready_at = 0.2 * self.window_s if self.case.kind is CaseKind.GOOD_LATE_START else 0.0
        return self.reported_late_s <= ready_at + EARLY_REPORT_S


class Controller(Protocol):
    """Decides on a rollout from the call counts of each period."""

    def add(self, rollout: Rollout, rows: list[CallCount], data_centre: str, now: float) -> None:
        """Add the call counts of a data centre."""

    def decide(self, rollout: Rollout, members: list[Member], now: float) -> Verdict | None:
        """Return the action to take now, or None."""


class TrackerController:
    """Controller that uses the node's decision logic."""

    def __init__(self, rollout: Rollout, document: Document) -> None:
        self._tracker = RolloutTracker(rollout, document.services[0], document, START)

    def add(self, rollout: Rollout, rows: list[CallCount], data_centre: str, now: float) -> None:
        """Add the call counts of a data centre."""
        self._tracker.update_share(rollout, now)
        source = f"{data_centre}/a"
        self._tracker.add(rollout, rows, data_centre=data_centre, source=source, callers=2, now=now)

    def decide(self, rollout: Rollout, members: list[Member], now: float) -> Verdict | None:
        """Return the verdict of the decision logic."""
        return self._tracker.decide(rollout, members, now)


class FixedStepController:
    """Baseline controller: fixed steps at fixed times, and rollback above fixed thresholds."""

    SHARES: Final = (0.05, 0.25, 0.5, 1.0)
    WINDOW_S: Final = 60.0
    MIN_CALLS: Final = 20

    def __init__(self, rollout: Rollout) -> None:
        self._window_s = rollout.due_at - START
        self._recent: deque[tuple[float, int, int, int, int, int, int]] = deque()

    def add(self, rollout: Rollout, rows: list[CallCount], data_centre: str, now: float) -> None:
        """Add the call counts of a data centre."""
        sums = [0] * 6
        for row in rows:
            if row.service != rollout.service:
                continue
            base = 3 if row.version == rollout.new else 0
            sums[base] += row.calls
            sums[base + 1] += row.errors + row.crashes
            sums[base + 2] += row.slow
        self._recent.append((now, sums[0], sums[1], sums[2], sums[3], sums[4], sums[5]))
        while self._recent[0][0] < now - self.WINDOW_S:
            self._recent.popleft()

    def decide(self, rollout: Rollout, members: list[Member], now: float) -> Verdict | None:
        """Return the next fixed step, a rollback above a threshold, or None."""
        sums = [sum(item[index] for item in self._recent) for index in range(1, 7)]
        if sums[3] >= self.MIN_CALLS:
            old_calls = max(1, sums[0])
            is_failing = sums[4] / sums[3] > 2.0 * sums[1] / old_calls + 0.01
            is_slow = sums[5] / sums[3] > 3.0 * sums[2] / old_calls + 0.05
            if is_failing or is_slow:
                return RollBack("beyond the threshold", None)
        if rollout.phase is RolloutPhase.WATCHING:
            return Finish() if now >= rollout.stepped_at + 300.0 else None
        elapsed_fraction = (now - START) / self._window_s
        for index, share in enumerate(self.SHARES):
            if elapsed_fraction >= 0.25 * index and rollout.share < share:
                return Step(share)
        return None


def run_case(case: Case, policy: RolloutPolicy, *, is_baseline: bool) -> Outcome:
    """Run a case until it is complete, rolled back, or far beyond its due time."""
    rates = {route: case.rate * part for route, part in ROUTE_SHARES.items()}
    plan = plan_rollout(policy, rates, share=0.0, now=START, due_at=START + 1e7)
    window_s = case.window_factor * (plan.earliest_done_at - START) + 60.0
    feasibility_plan = plan_rollout(policy, rates, share=0.0, now=START, due_at=START + window_s)
    document = _make_document(case, policy, START + window_s)
    rollout = make_rollout(due_at=START + window_s)
    controller: Controller = (
        FixedStepController(rollout) if is_baseline else TrackerController(rollout, document)
    )
    run = _CaseRun(case, rollout, document, controller, window_s)
    run.execute(policy)
    total = max(1, run.traffic.calls)
    return Outcome(
        case=case,
        preset=policy.preset,
        window_s=window_s,
        done_s=run.done_s,
        reported_late_s=run.reported_late_s,
        is_rolled_back=run.is_rolled_back,
        reason=run.reason,
        had_fault=run.traffic.faulty_calls > 0 or case.kind is CaseKind.BAD_CRASH_START,
        failed_calls=run.traffic.failed_calls,
        faulty_share=run.traffic.faulty_calls / total,
        max_share_during_fault=run.max_share_during_fault,
        is_feasible=feasibility_plan.meets_due_time,
    )


class _CaseRun:
    """State of one run."""

    def __init__(
        self,
        case: Case,
        rollout: Rollout,
        document: Document,
        controller: Controller,
        window_s: float,
    ) -> None:
        self.case = case
        self.state = empty_state()._replace(
            offset=1, document_offset=1, document=document, rollouts=(rollout,)
        )
        self.controller = controller
        self.window_s = window_s
        self.traffic = TrafficGenerator(case, random.Random(case.seed), window_s=window_s)
        self.done_s = math.inf
        self.reported_late_s = math.inf
        self.is_rolled_back = False
        self.reason = ""
        self.max_share_during_fault = 0.0
        self._delayed_reports: list[tuple[str, list[CallCount]]] = []
        self._offset = 1
        self._share = 0.0

    @property
    def rollout(self) -> Rollout:
        return self.state.rollouts[0]

    def execute(self, policy: RolloutPolicy) -> None:
        period_s = next(
            (s for rate, s in _PERIODS_BY_RATE if self.case.rate <= rate), _SHORT_PERIOD_S
        )
        elapsed_s = 0.0
        while elapsed_s < 1.6 * self.window_s + 4.0 * policy.watch_s:
            elapsed_s += period_s
            self._share = self.rollout.share
            self._draw(elapsed_s, period_s)
            verdict = self.controller.decide(
                self.rollout, self._list_members(elapsed_s), START + elapsed_s
            )
            if self._apply(verdict, elapsed_s):
                return
            if elapsed_s > self.done_s + _WATCH_FRACTION * policy.watch_s and self.case.is_good:
                return

    def _draw(self, elapsed_s: float, period_s: float) -> None:
        for data_centre in self.case.deployment.data_centres:
            share = self._share
            rows = self.traffic.draw(data_centre, elapsed_s, period_s, share)
            if self.traffic.is_fault_active:
                self.max_share_during_fault = max(self.max_share_during_fault, share)
            if self.traffic.is_unreachable(data_centre, elapsed_s):
                self._delayed_reports.append((data_centre, rows))
                continue
            while self._delayed_reports and self._delayed_reports[0][0] == data_centre:
                place, delayed_rows = self._delayed_reports.pop(0)
                self.controller.add(self.rollout, delayed_rows, place, START + elapsed_s)
            self.controller.add(self.rollout, rows, data_centre, START + elapsed_s)

    def _apply(self, verdict: Verdict | None, elapsed_s: float) -> bool:
        match verdict:
            case RollBack(reason):
                self.is_rolled_back = True
                self.reason = reason
                for data_centre in self.case.deployment.data_centres:
                    self.traffic.draw(
                        data_centre, elapsed_s + ROLLBACK_DELAY_S, ROLLBACK_DELAY_S, self._share
                    )
                return True
            case Step(share):
                self._offset += 1
                fields = {"id": "r", "base": self.rollout.offset, "written_at": START + elapsed_s}
                record = StepRollout(
                    **fields, writer="n", service="svc", version="v2", share=share  # type: ignore[arg-type]
                )
                self.state = fold(self.state, self._offset, record).state
                if share >= 1.0:
                    self.done_s = elapsed_s
            case Finish():
                self._offset += 1
                fields = {"id": "r", "base": self.rollout.offset, "written_at": START + elapsed_s}
                record = FinishRollout(**fields, writer="n", service="svc", version="v2")  # type: ignore[arg-type,assignment]
                self.state = fold(self.state, self._offset, record).state
                return True
            case Late():
                self.reported_late_s = min(self.reported_late_s, elapsed_s)
        return False

    def _list_members(self, elapsed_s: float) -> list[Member]:
        ready = self.traffic.count_ready_vms(elapsed_s)
        restarts = self.traffic.count_restarts(elapsed_s)
        place = Place(self.case.deployment.data_centres[0], "east")
        members = []
        for index, restarted in enumerate(restarts):
            state = UpstreamState.READY if index < ready else UpstreamState.STARTING
            for version, upstream_state, count in (
                ("v1", UpstreamState.READY, 1),
                ("v2", state, 1 + restarted),
            ):
                upstream = Upstream(
                    "svc",
                    version,
                    "127.0.0.1",
                    1,
                    self.case.deployment.slots,
                    130,
                    upstream_state,
                    count,
                )
                node = f"{version}-{index}"
                members.append(Member(node, 1, 1, MemberStatus.ALIVE, place, node, upstream))
        return members


def _make_document(case: Case, policy: RolloutPolicy, due_at: float) -> Document:
    service = Service(
        name="svc",
        workers=case.deployment.workers,
        slots=case.deployment.slots,
        connections=130,
        depends_on=("back-end",),
        version="v2",
        due_at=due_at,
        objective=Objective(0.995, 100.0, 0.99),
        rollout=policy,
    )
    region = Region("all", case.deployment.data_centres)
    routes = tuple(
        Route(name, "svc", "h", f"/{name}", ("GET",), 1000, True, False) for name in ROUTE_SHARES
    )
    return Document("bench", (region,), (service,), routes)
