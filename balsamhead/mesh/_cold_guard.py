"""Notice signs that the upstream is cold, and limit the requests that it gets until it is warm."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final

from balsamhead.mesh._calls import Outcome, OutcomeUnknown
from balsamhead.mesh.warmup import ColdAdmission, ColdReason, LossSigns
from balsamhead.util.pauses import PauseDetector

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamhead.mesh._metrics import MeshMetrics
    from balsamhead.mesh.model import ColdStart, UpstreamRecord

__all__ = ("ColdGuard",)

logger = logging.getLogger(__name__)

#: codes of the loss of a connection before and after the first byte of the response
_UNHEARD_LOSS: Final = "connection-lost-unheard"
_LOSS_CODES: Final = (_UNHEARD_LOSS, "connection-lost")
#: longest time between two checks for a pause of the process, in s
_PAUSE_CHECK_INTERVAL_S: Final = 0.3


class ColdGuard:
    """Keep track of whether the upstream of this VM is treated as cold, and log it."""

    def __init__(
        self,
        *,
        silence_s: float,
        get_record: Callable[[], UpstreamRecord | None],
        on_change: Callable[[], None],
        metrics: MeshMetrics,
        read_boot_time: Callable[[], float] | None = None,
    ) -> None:
        """Create a guard of an upstream without an announcement.

        :param silence_s: time without announcements after which the newest one counts no longer.
        :param on_change: called when the upstream becomes cold or warm.
        :param read_boot_time: returns a clock that runs on while the machine is suspended, in s;
            None for the event loop's clock.
        """
        self._get_record = get_record
        self._on_change = on_change
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self.admission = ColdAdmission(silence_s=silence_s, now=self._loop.time())
        #: the reason that was logged last
        self._reason: ColdReason | None = None
        self._loss_signs = LossSigns()
        self._pauses = PauseDetector(
            read_boot_time=read_boot_time or self._loop.time,
            get_time=self._loop.time,
            interval_s=_PAUSE_CHECK_INTERVAL_S,
        )

    def is_cold(self) -> bool:
        """Return whether the upstream is treated as cold."""
        return self.admission.is_cold(self._loop.time())

    def set_cold_start(self, cold_start: ColdStart | None) -> None:
        """Change what the upstream takes while cold; None if its service has no cold phase."""
        self.admission.set_cold_start(cold_start, self._loop.time())
        self.update()

    def apply_heartbeat(self, record: UpstreamRecord, now: float) -> None:
        """Apply what an announcement says about the rest of the cold phase."""
        self.admission.apply_heartbeat(
            started_at_ms=record.started_at_ms, cold_s=record.slow_start_s, now=now
        )
        self.update()

    def assume_cold(self, reason: ColdReason) -> None:
        """Treat the upstream as cold until its next heartbeat, since it may have started again."""
        self.admission.assume_cold(reason, self._loop.time())
        self.update()

    def check_loss(self, outcome: Outcome, *, fresh: bool) -> None:
        """Assume that the upstream is cold if connections are lost as in a crash.

        :param fresh: the connection had received no response before.
        """
        if not isinstance(outcome, OutcomeUnknown) or outcome.code not in _LOSS_CODES:
            return
        heard = outcome.code != _UNHEARD_LOSS
        if self._loss_signs.record_loss(self._loop.time(), fresh=fresh, heard=heard):
            self.assume_cold(ColdReason.CRASH)

    def check_pause(self) -> None:
        """Assume that the upstream is cold if the process did not run for some time."""
        pause_s = self._pauses.check()
        if not pause_s:
            return
        self.admission.assume_cold(ColdReason.PAUSE, self._loop.time())
        if self.admission.cold_start is not None:
            logger.warning("process-paused", extra={"pause_s": round(pause_s, 2)})

    def update(self) -> None:
        """Log whether the upstream is treated as cold if that has changed, and tell the peers."""
        self.check_pause()
        previous, reason = self._reason, self.admission.get_reason(self._loop.time())
        if reason is previous:
            return
        self._reason = reason
        record = self._get_record()
        upstream_id = record.id if record is not None else ""
        if reason is None:
            logger.info("upstream-warm", extra={"upstream": upstream_id})
        else:
            cold_start = self.admission.cold_start
            logger.info(
                "upstream-cold",
                extra={
                    "upstream": upstream_id,
                    "reason": reason,
                    "rate_per_s": cold_start.rate_per_s if cold_start is not None else None,
                },
            )
        if previous is None or reason is None:
            self._on_change()

    def count_held(self, stage: str) -> None:
        """Count a request that a cold upstream could not take at once.

        :param stage: ``queued``, ``refused``, or ``unsent`` for one that already had a slot.
        """
        self._metrics.count("cold_admissions_held", stage)
