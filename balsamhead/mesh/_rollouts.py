"""Move traffic to an ordered version step by step, take a bad one back, and record both."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.errors import LogConflictError, LogError
from balsamhead.mesh._evidence import EvidenceRow, VersionTest
from balsamhead.mesh.model import Order, Phase, Rollout

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable

    from balsamhead.mesh._records import StatusRecords
    from balsamhead.mesh._shares import Shares

__all__ = ("RolloutController", "RolloutView")

logger = logging.getLogger(__name__)


class _Step(NamedTuple):
    #: part of the rollout's time from which the step may begin, 0 to 1
    begins: float
    share: float


#: the shares of a new version over a rollout's time
_PLAN: Final = (
    _Step(0.0, 0.04),
    _Step(0.22, 0.1),
    _Step(0.32, 0.25),
    _Step(0.4, 0.5),
    _Step(0.48, 0.9),
    _Step(0.57, 1.0),
)
#: calls of the version that each step needs before the next one
_MIN_CALLS: Final = 12
#: time at the full share before the rollout is done, in s
_FULL_S: Final = 1.0
#: pause between attempts to write to the store, in s
_RETRY_S: Final = 0.4


class RolloutView(NamedTuple):
    """Hold what the controller needs to know of the service's upstreams."""

    #: upstreams of the new version that take work
    new_ready: int
    #: requests that run at or wait for upstreams of other versions
    old_busy: int
    #: each live node holds the last step
    in_force: bool


class RolloutController:
    """Decide the rollouts that this node is in charge of."""

    def __init__(
        self,
        shares: Shares,
        records: StatusRecords,
        *,
        publish: Callable[[Rollout], None],
    ) -> None:
        self._shares = shares
        self._records = records
        self._publish = publish
        self._loop = asyncio.get_running_loop()
        self._heard: dict[str, tuple[int, float]] = {}
        self._tests: dict[str, tuple[int, VersionTest]] = {}
        self._step_at: dict[str, float] = {}
        self._step_calls: dict[str, int] = {}
        self._writing: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def hear_order(self, order: Order) -> None:
        """Note when an order was heard first."""
        known = self._heard.get(order.service)
        if known is None or known[0] < order.offset:
            self._heard[order.service] = (order.offset, self._loop.time())

    def hear_elapsed(self, rollout: Rollout, elapsed_s: float) -> None:
        """Take in from a peer since when a rollout runs."""
        at = self._loop.time() - elapsed_s
        known = self._heard.get(rollout.service)
        if known is None or known[0] < rollout.order or known[1] > at:
            self._heard[rollout.service] = (rollout.order, at)

    def get_elapsed(self, service: str) -> float:
        """Return for how long a rollout runs, in s."""
        known = self._heard.get(service)
        return self._loop.time() - known[1] if known else 0.0

    def add_evidence(self, service: str, rows: Iterable[EvidenceRow]) -> None:
        """Take in what became of calls of a service."""
        rollout = self._shares.rollouts.get(service)
        if rollout is None or rollout.phase is not Phase.RUNNING:
            return
        self._get_test(rollout).collect(rows)

    def decide(self, order: Order, view: RolloutView) -> None:
        """Take the next step of a rollout, if it is due."""
        now = self._loop.time()
        self.hear_order(order)
        rollout = self._shares.rollouts.get(order.service)
        if rollout is None or rollout.order < order.offset:
            self._begin(order)
            return
        if rollout.phase is not Phase.RUNNING:
            return
        test = self._get_test(rollout)
        test.end_period(now)
        fault = test.find_fault()
        if fault:
            self._take_back(rollout, fault)
        elif rollout.share >= 1.0:
            if view.in_force and not view.old_busy and now - self._get_step_at(order) >= _FULL_S:
                self._finish(rollout._replace(phase=Phase.COMPLETED, step=rollout.step + 1))
        elif view.new_ready:
            self._raise_share(order, rollout, test)

    def _begin(self, order: Order) -> None:
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

    def _raise_share(self, order: Order, rollout: Rollout, test: VersionTest) -> None:
        part = self.get_elapsed(order.service) / max(0.1, order.duration_s)
        due = max((step for step in _PLAN if part >= step.begins), key=lambda step: step.begins)
        if due.share <= rollout.share:
            return
        calls = test.calls - self._step_calls.get(order.service, 0)
        if rollout.share > 0.0 and calls < _MIN_CALLS:
            return
        following = next(step for step in _PLAN if step.share > rollout.share)
        self._step_at[order.service] = self._loop.time()
        self._step_calls[order.service] = test.calls
        logger.info(
            "rollout-step",
            extra={
                "service": order.service,
                "version": order.version,
                "share": following.share,
                "calls": test.calls,
            },
        )
        self._publish(rollout._replace(step=rollout.step + 1, share=following.share))

    def _take_back(self, rollout: Rollout, reason: str) -> None:
        back = rollout._replace(
            phase=Phase.ROLLED_BACK, step=rollout.step + 1, share=0.0, reason=reason
        )
        logger.warning(
            "rollout-taken-back",
            extra={"service": rollout.service, "version": rollout.version, "reason": reason},
        )
        self._publish(back)
        self._finish(back)

    def _finish(self, rollout: Rollout) -> None:
        if rollout.service not in self._writing:
            self._writing.add(rollout.service)
            self._spawn(self._write(rollout, final=True))

    async def _write(self, rollout: Rollout, *, final: bool) -> None:
        try:
            while self._is_wanted(rollout, final=final):
                try:
                    settled = await self._records.record(rollout)
                except LogConflictError:
                    continue
                except LogError as exc:
                    logger.warning("status-not-written", extra={"error": str(exc)})
                    await asyncio.sleep(_RETRY_S)
                    continue
                if settled.phase is not Phase.RUNNING:
                    logger.info(
                        "rollout-ended",
                        extra={"service": settled.service, "phase": settled.phase.value},
                    )
                    self._publish(settled)
                return
        finally:
            if final:
                self._writing.discard(rollout.service)

    def _is_wanted(self, rollout: Rollout, *, final: bool) -> bool:
        known = self._shares.rollouts.get(rollout.service)
        if known is None or known.order > rollout.order:
            return False
        if final:
            return known.phase is not Phase.ROLLED_BACK or rollout.phase is Phase.ROLLED_BACK
        return known.phase is Phase.RUNNING

    def _get_test(self, rollout: Rollout) -> VersionTest:
        known = self._tests.get(rollout.service)
        if known is None or known[0] != rollout.order:
            known = (rollout.order, VersionTest(rollout.version, self._loop.time()))
            self._tests[rollout.service] = known
            self._step_calls[rollout.service] = 0
        return known[1]

    def _get_step_at(self, order: Order) -> float:
        return self._step_at.setdefault(order.service, self._loop.time())

    def _spawn(self, coro: Coroutine[None, None, None]) -> None:
        task = self._loop.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
