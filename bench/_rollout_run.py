"""Run one rollout case through the decision parts, or through fixed steps."""

from __future__ import annotations

import math
import random
from collections import deque
from typing import TYPE_CHECKING, Final, NamedTuple, Protocol

from balsamhead.document import Document, Objective, Region, RolloutPolicy, Route, Service
from balsamhead.fold import FinishRollout, Rollout, RolloutPhase, StepRollout, empty_state, fold
from balsamhead.membership import Member, MemberStatus, Place, Upstream, UpstreamState
from balsamhead.rollout import Finish, Late, RollBack, RolloutTracker, Step, plan_rollout
from bench._rollout_cases import ROUTES, Case, Kind, Traffic

if TYPE_CHECKING:
    from balsamhead.rollout import Verdict
    from balsamhead.wire import CallCount

__all__ = ("Outcome", "run_case")

#: start of the virtual clock, in s since the epoch
START: Final = 1_000_000.0
#: length of one period by calls per second, in s
_PERIODS: Final = ((5.0, 20.0), (60.0, 4.0), (500.0, 1.0))
#: length of one period at higher rates, in s
_SHORT_PERIOD_S: Final = 0.5
#: time from a call until every node obeys a verdict to which it led, in s
STOP_DELAY_S: Final = 2.0
#: part of the watch period that is run for a version that is good
_WATCH_PART: Final = 0.5
#: time after acceptance in which a rollout that can't be met must be said late, in s
EARLY_S: Final = 60.0


class Outcome(NamedTuple):
    """Hold what became of one case."""

    case: Case
    preset: str
    #: time from acceptance to the time due, in s
    window_s: float
    #: when all calls went to the new version, in s after acceptance; inf when never
    done_s: float
    #: when it was first said that the time due won't be met, in s; inf when never
    said_late_s: float
    is_taken_back: bool
    reason: str
    #: the fault showed in some call
    was_faulty: bool
    #: calls of the new version that failed by its fault
    failed_calls: int
    #: share of all calls up to the end that met the fault
    faulty_share: float
    #: largest share in force while the fault was there and not yet blamed
    share_at_fault: float
    #: the plan, knowing the rates, said that the time due could be met
    could_be_met: bool

    @property
    def is_on_time(self) -> bool:
        """Tell whether all calls went to the new version by the time due."""
        return self.done_s <= self.window_s

    @property
    def is_said_early(self) -> bool:
        """Tell whether it was said on acceptance that the time due can't be met."""
        ready_at = 0.2 * self.window_s if self.case.kind is Kind.GOOD_LATE_START else 0.0
        return self.said_late_s <= ready_at + EARLY_S


class Controller(Protocol):
    """Decide on a rollout from the counts of each period."""

    def add(self, rollout: Rollout, rows: list[CallCount], data_centre: str, now: float) -> None:
        """Take in the counts of a data centre."""

    def decide(self, rollout: Rollout, members: list[Member], now: float) -> Verdict | None:
        """Return what to do now."""


class Planned:
    """Decide by the decision parts of the node."""

    def __init__(self, rollout: Rollout, document: Document) -> None:
        self._track = RolloutTracker(rollout, document.services[0], document, START)

    def add(self, rollout: Rollout, rows: list[CallCount], data_centre: str, now: float) -> None:
        """Take in the counts of a data centre."""
        self._track.update_share(rollout, now)
        source = f"{data_centre}/a"
        self._track.add(rollout, rows, data_centre=data_centre, source=source, callers=2, now=now)

    def decide(self, rollout: Rollout, members: list[Member], now: float) -> Verdict | None:
        """Return the verdict of the decision parts."""
        return self._track.decide(rollout, members, now)


class FixedSteps:
    """Raise the share at fixed times, and take back beyond a threshold: the baseline."""

    SHARES: Final = (0.05, 0.25, 0.5, 1.0)
    WINDOW_S: Final = 60.0
    MIN_CALLS: Final = 20

    def __init__(self, rollout: Rollout) -> None:
        self._window_s = rollout.due_at - START
        self._recent: deque[tuple[float, int, int, int, int, int, int]] = deque()

    def add(self, rollout: Rollout, rows: list[CallCount], data_centre: str, now: float) -> None:
        """Take in the counts of a data centre."""
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
        """Return the next fixed step, or take back."""
        sums = [sum(item[index] for item in self._recent) for index in range(1, 7)]
        if sums[3] >= self.MIN_CALLS:
            old_calls = max(1, sums[0])
            is_failing = sums[4] / sums[3] > 2.0 * sums[1] / old_calls + 0.01
            is_slow = sums[5] / sums[3] > 3.0 * sums[2] / old_calls + 0.05
            if is_failing or is_slow:
                return RollBack("beyond the threshold", None)
        if rollout.phase is RolloutPhase.WATCHING:
            return Finish() if now >= rollout.stepped_at + 300.0 else None
        passed = (now - START) / self._window_s
        for index, share in enumerate(self.SHARES):
            if passed >= 0.25 * index and rollout.share < share:
                return Step(share)
        return None


def run_case(case: Case, policy: RolloutPolicy, *, is_baseline: bool) -> Outcome:
    """Run a case until it is done, taken back, or far too late."""
    rates = {route: case.rate * part for route, part in ROUTES.items()}
    plan = plan_rollout(policy, rates, share=0.0, now=START, due_at=START + 1e7)
    window_s = case.window_factor * (plan.earliest_done_at - START) + 60.0
    meant = plan_rollout(policy, rates, share=0.0, now=START, due_at=START + window_s)
    document = _make_document(case, policy, START + window_s)
    rollout = _make_rollout(START + window_s)
    controller: Controller = FixedSteps(rollout) if is_baseline else Planned(rollout, document)
    run = _Run(case, rollout, document, controller, window_s)
    run.go(policy)
    total = max(1, run.traffic.calls)
    return Outcome(
        case=case,
        preset=policy.preset,
        window_s=window_s,
        done_s=run.done_s,
        said_late_s=run.said_late_s,
        is_taken_back=run.is_taken_back,
        reason=run.reason,
        was_faulty=run.traffic.faulty_calls > 0 or case.kind is Kind.BAD_CRASH_START,
        failed_calls=run.traffic.failed_calls,
        faulty_share=run.traffic.faulty_calls / total,
        share_at_fault=run.share_at_fault,
        could_be_met=meant.meets_due_time,
    )


class _Run:
    """Hold the state of one run."""

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
        self.traffic = Traffic(case, random.Random(case.seed), window_s=window_s)
        self.done_s = math.inf
        self.said_late_s = math.inf
        self.is_taken_back = False
        self.reason = ""
        self.share_at_fault = 0.0
        self._late_reports: list[tuple[str, list[CallCount]]] = []
        self._offset = 1
        self._share = 0.0

    @property
    def rollout(self) -> Rollout:
        return self.state.rollouts[0]

    def go(self, policy: RolloutPolicy) -> None:
        span = next((s for rate, s in _PERIODS if self.case.rate <= rate), _SHORT_PERIOD_S)
        at = 0.0
        while at < 1.6 * self.window_s + 4.0 * policy.watch_s:
            at += span
            self._share = self.rollout.share
            self._draw(at, span)
            verdict = self.controller.decide(self.rollout, self._list_members(at), START + at)
            if self._carry_out(verdict, at):
                return
            if at > self.done_s + _WATCH_PART * policy.watch_s and self.case.is_good:
                return

    def _draw(self, at: float, span: float) -> None:
        for data_centre in self.case.shape.data_centres:
            share = self._share
            rows = self.traffic.draw(data_centre, at, span, share)
            if self.traffic.is_fault_active:
                self.share_at_fault = max(self.share_at_fault, share)
            if self.traffic.is_cut(data_centre, at):
                self._late_reports.append((data_centre, rows))
                continue
            while self._late_reports and self._late_reports[0][0] == data_centre:
                place, late = self._late_reports.pop(0)
                self.controller.add(self.rollout, late, place, START + at)
            self.controller.add(self.rollout, rows, data_centre, START + at)

    def _carry_out(self, verdict: Verdict | None, at: float) -> bool:
        match verdict:
            case RollBack(reason):
                self.is_taken_back = True
                self.reason = reason
                for data_centre in self.case.shape.data_centres:
                    self.traffic.draw(data_centre, at + STOP_DELAY_S, STOP_DELAY_S, self._share)
                return True
            case Step(share):
                self._offset += 1
                fields = {"id": "r", "base": self.rollout.offset, "written_at": START + at}
                record = StepRollout(
                    **fields, writer="n", service="svc", version="v2", share=share  # type: ignore[arg-type]
                )
                self.state = fold(self.state, self._offset, record).state
                if share >= 1.0:
                    self.done_s = at
            case Finish():
                self._offset += 1
                fields = {"id": "r", "base": self.rollout.offset, "written_at": START + at}
                record = FinishRollout(**fields, writer="n", service="svc", version="v2")  # type: ignore[arg-type,assignment]
                self.state = fold(self.state, self._offset, record).state
                return True
            case Late():
                self.said_late_s = min(self.said_late_s, at)
        return False

    def _list_members(self, at: float) -> list[Member]:
        ready = self.traffic.count_ready(at)
        restarts = self.traffic.list_restarts(at)
        place = Place(self.case.shape.data_centres[0], "east")
        members = []
        for index, restarted in enumerate(restarts):
            state = UpstreamState.READY if index < ready else UpstreamState.STARTING
            for version, is_state, count in (
                ("v1", UpstreamState.READY, 1),
                ("v2", state, 1 + restarted),
            ):
                upstream = Upstream(
                    "svc", version, "127.0.0.1", 1, self.case.shape.slots, 130, is_state, count
                )
                node = f"{version}-{index}"
                members.append(Member(node, 1, 1, MemberStatus.ALIVE, place, node, upstream))
        return members


def _make_document(case: Case, policy: RolloutPolicy, due_at: float) -> Document:
    service = Service(
        name="svc",
        workers=case.shape.workers,
        slots=case.shape.slots,
        connections=130,
        depends_on=("back-end",),
        version="v2",
        due_at=due_at,
        objective=Objective(0.995, 100.0, 0.99),
        rollout=policy,
    )
    region = Region("all", case.shape.data_centres)
    routes = tuple(
        Route(name, "svc", "h", f"/{name}", ("GET",), 1000, True, False) for name in ROUTES
    )
    return Document("bench", (region,), (service,), routes)


def _make_rollout(due_at: float) -> Rollout:
    return Rollout(
        service="svc",
        offset=1,
        document_offset=1,
        old="v1",
        new="v2",
        share=0.0,
        phase=RolloutPhase.SHIFTING,
        paused=False,
        due_at=due_at,
        started_at=START,
        reason="",
        stepped_at=START,
    )
