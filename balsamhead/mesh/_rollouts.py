"""Shift traffic to the ordered version in steps, roll a bad one back, and record the outcome."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.errors import LogConflictError, LogError
from balsamhead.mesh._evidence import EvidenceRow, VersionComparison
from balsamhead.mesh.model import Order, Phase, Rollout
from balsamhead.util.positions import get_era

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable

    from balsamhead.mesh._records import RolloutStore
    from balsamhead.mesh._traffic_split import TrafficSplit

__all__ = ("RolloutController", "UpstreamSummary")

logger = logging.getLogger(__name__)


class _ScheduleStep(NamedTuple):
    #: fraction of the rollout's duration from which the step may be taken, 0 to 1
    earliest_fraction: float
    #: share of the calls for the new version, 0 to 1
    share: float


#: shares of the new version over the duration of a rollout
_SCHEDULE: Final = (
    _ScheduleStep(0.0, 0.04),
    _ScheduleStep(0.22, 0.1),
    _ScheduleStep(0.32, 0.25),
    _ScheduleStep(0.4, 0.5),
    _ScheduleStep(0.48, 0.9),
    _ScheduleStep(0.57, 1.0),
)
#: calls of the new version that are required at each step before the next one
_MIN_CALLS_PER_STEP: Final = 12
#: minimum time at the full share before the rollout is completed, in s
_FULL_SHARE_S: Final = 1.0
#: time for which an order of a new era of the store is not acted on, in s
_REWRITE_S: Final = 1.0
#: delay between attempts to write to the store, in s
_WRITE_RETRY_S: Final = 0.4


class UpstreamSummary(NamedTuple):
    """State of a service's upstreams, on which the decisions on its rollout are based."""

    #: number of upstreams of the new version that accept calls
    new_ready: int
    #: number of requests that are running or queued at upstreams of other versions
    old_busy: int
    #: every live node has applied the last step
    converged: bool


class RolloutController:
    """Control the rollouts that this node is responsible for."""

    def __init__(
        self,
        traffic_split: TrafficSplit,
        records: RolloutStore,
        *,
        publish: Callable[[Rollout], None],
    ) -> None:
        self._traffic_split = traffic_split
        self._records = records
        self._publish = publish
        self._loop = asyncio.get_running_loop()
        self._started: dict[str, tuple[int, float]] = {}
        self._comparisons: dict[str, tuple[int, VersionComparison]] = {}
        self._last_step_at: dict[str, float] = {}
        self._calls_at_last_step: dict[str, int] = {}
        self._writing_ends: set[str] = set()
        #: order of the last rollout of each service whose end is known to be written
        self._written_ends: dict[str, int] = {}
        #: services whose rollout has to be written again
        self._rewrites_due: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def stop(self) -> None:
        """Cancel the writes that are in progress or due."""
        for task in self._tasks:
            task.cancel()

    def record_order(self, order: Order) -> None:
        """Record when an order was first received; a newer order replaces an older one."""
        known = self._started.get(order.service)
        if known is None or known[0] < order.offset:
            self._started[order.service] = (order.offset, self._loop.time())

    def renumber_order(self, order: Order, previous: int) -> None:
        """Continue a rollout whose order was recorded again after the store was restored.

        Its state has to be written again, too, since the restoration may have lost it.

        :param previous: previous position of the order.
        """
        started = self._started.get(order.service)
        if started is not None and started[0] == previous:
            self._started[order.service] = (order.offset, started[1])
        comparison = self._comparisons.get(order.service)
        if comparison is not None and comparison[0] == previous:
            self._comparisons[order.service] = (order.offset, comparison[1])
        self._rewrites_due.add(order.service)

    def record_elapsed(self, rollout: Rollout, elapsed_s: float) -> None:
        """Adopt the start time of a rollout from a peer if it is earlier or the order is newer."""
        started_at = self._loop.time() - elapsed_s
        known = self._started.get(rollout.service)
        if known is None or known[0] < rollout.order or known[1] > started_at:
            self._started[rollout.service] = (rollout.order, started_at)

    def get_elapsed(self, service: str) -> float:
        """Return the time since the rollout of a service started, in s; 0 if there is none."""
        known = self._started.get(service)
        return self._loop.time() - known[1] if known else 0.0

    def add_evidence(self, service: str, rows: Iterable[EvidenceRow]) -> None:
        """Add reported call results of a service; ignored unless its rollout is running."""
        rollout = self._traffic_split.rollouts.get(service)
        if rollout is None or rollout.phase is not Phase.RUNNING:
            return
        self._get_comparison(rollout).add_report(rows)

    def advance(self, order: Order, view: UpstreamSummary) -> None:
        """Start, advance, complete or roll back the rollout of an order, whichever is due."""
        now = self._loop.time()
        self.record_order(order)
        rollout = self._traffic_split.rollouts.get(order.service)
        if rollout is None or rollout.order < order.offset:
            if not self._may_be_superseded(order, rollout):
                self._start(order)
            return
        if order.service in self._rewrites_due:
            self._rewrites_due.discard(order.service)
            self._write_again(rollout)
        if rollout.phase is not Phase.RUNNING:
            self._finish_end(rollout)
            return
        comparison = self._get_comparison(rollout)
        comparison.end_period(now)
        regression = comparison.find_regression()
        if regression:
            self._roll_back(rollout, regression)
        elif rollout.share >= 1.0:
            if (
                view.converged
                and not view.old_busy
                and now - self._get_last_step_at(order) >= _FULL_SHARE_S
            ):
                self._write_end(rollout._replace(phase=Phase.COMPLETED, step=rollout.step + 1))
        elif view.new_ready:
            self._raise_share(order, rollout, comparison)

    def _may_be_superseded(self, order: Order, rollout: Rollout | None) -> bool:
        """Return whether a lost order may have been written again, with a later one to follow."""
        in_new_era = rollout is not None and get_era(rollout.order) < get_era(order.offset)
        return in_new_era and self.get_elapsed(order.service) < _REWRITE_S

    def _start(self, order: Order) -> None:
        rollout = Rollout(order.service, order.version, order.offset, Phase.RUNNING, 0, 0.0)
        logger.info(
            "rollout-begun",
            extra={
                "service": order.service,
                "version": order.version,
                "duration_s": order.duration_s,
            },
        )
        self._publish(rollout)
        self._spawn(self._write(rollout, final=False))

    def _write_again(self, rollout: Rollout) -> None:
        logger.info(
            "rollout-rewritten",
            extra={
                "service": rollout.service,
                "version": rollout.version,
                "phase": rollout.phase.value,
            },
        )
        if rollout.phase is Phase.RUNNING:
            self._spawn(self._write(rollout, final=False))
        else:
            self._write_end(rollout)

    def _raise_share(self, order: Order, rollout: Rollout, comparison: VersionComparison) -> None:
        elapsed_fraction = self.get_elapsed(order.service) / max(0.1, order.duration_s)
        due_step = max(
            (step for step in _SCHEDULE if elapsed_fraction >= step.earliest_fraction),
            key=lambda step: step.earliest_fraction,
        )
        if due_step.share <= rollout.share:
            return
        calls_since_step = comparison.calls - self._calls_at_last_step.get(order.service, 0)
        if rollout.share > 0.0 and calls_since_step < _MIN_CALLS_PER_STEP:
            return
        next_step = next(step for step in _SCHEDULE if step.share > rollout.share)
        self._last_step_at[order.service] = self._loop.time()
        self._calls_at_last_step[order.service] = comparison.calls
        logger.info(
            "rollout-step",
            extra={
                "service": order.service,
                "version": order.version,
                "share": next_step.share,
                "calls": comparison.calls,
            },
        )
        self._publish(rollout._replace(step=rollout.step + 1, share=next_step.share))

    def _roll_back(self, rollout: Rollout, reason: str) -> None:
        rolled_back = rollout._replace(
            phase=Phase.ROLLED_BACK, step=rollout.step + 1, share=0.0, reason=reason
        )
        logger.warning(
            "rollout-taken-back",
            extra={"service": rollout.service, "version": rollout.version, "reason": reason},
        )
        self._publish(rolled_back)
        self._write_end(rolled_back)

    def _finish_end(self, rollout: Rollout) -> None:
        """Write the end of a rollout that another node has rolled back, unless it is written.

        That node may have ended before it could write it; a completed rollout is announced later.
        """
        is_written = self._written_ends.get(rollout.service, -1) >= rollout.order
        if rollout.phase is Phase.ROLLED_BACK and not is_written:
            self._write_end(rollout)

    def _write_end(self, rollout: Rollout) -> None:
        if rollout.service not in self._writing_ends:
            self._writing_ends.add(rollout.service)
            self._spawn(self._write(rollout, final=True))

    async def _write(self, rollout: Rollout, *, final: bool) -> None:
        try:
            while self._is_current(rollout, final=final):
                try:
                    recorded = await self._records.write_rollout(rollout)
                except LogConflictError:
                    continue
                except LogError as exc:
                    logger.warning("status-not-written", extra={"error": str(exc)})
                    await asyncio.sleep(_WRITE_RETRY_S)
                    continue
                if recorded.phase is not Phase.RUNNING:
                    self._written_ends[recorded.service] = recorded.order
                    logger.info(
                        "rollout-ended",
                        extra={"service": recorded.service, "phase": recorded.phase.value},
                    )
                    self._publish(recorded)
                return
        finally:
            if final:
                self._writing_ends.discard(rollout.service)

    def _is_current(self, rollout: Rollout, *, final: bool) -> bool:
        known = self._traffic_split.rollouts.get(rollout.service)
        if known is None or known.order > rollout.order:
            return False
        if final:
            return known.phase is not Phase.ROLLED_BACK or rollout.phase is Phase.ROLLED_BACK
        return known.phase is Phase.RUNNING

    def _get_comparison(self, rollout: Rollout) -> VersionComparison:
        known = self._comparisons.get(rollout.service)
        if known is None or known[0] != rollout.order:
            known = (rollout.order, VersionComparison(rollout.version, self._loop.time()))
            self._comparisons[rollout.service] = known
            self._calls_at_last_step[rollout.service] = 0
        return known[1]

    def _get_last_step_at(self, order: Order) -> float:
        return self._last_step_at.setdefault(order.service, self._loop.time())

    def _spawn(self, coro: Coroutine[None, None, None]) -> None:
        task = self._loop.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
