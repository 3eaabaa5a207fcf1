"""Grant the slots of an upstream within its rate limit, and queue requests by priority."""

from __future__ import annotations

import asyncio
import logging
import math
from typing import TYPE_CHECKING, Final

from balsamhead.mesh._rate_limit import RateLimit
from balsamhead.mesh._slot_usage import SlotUsage
from balsamhead.mesh.admission import AdmissionQueue, QueuedRequest
from balsamhead.mesh.warmup import ColdAdmission

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable

    from balsamhead.mesh._metrics import MeshMetrics
    from balsamhead.mesh._slot_usage import SlotUsageSummary

__all__ = ("SlotHold", "SlotQueue")

logger = logging.getLogger(__name__)

#: time without a free slot after which the upstream is saturated, in s
_SATURATION_S: Final = 0.5
#: shortest delay of the timer that starts requests which wait for the rate limit, in s
_MIN_TIMER_S: Final = 0.001
#: interval at which free slots are offered to requests that wait for the limit of new requests, in
#: s; the limit grows by a request in about 0.4 s
_LIMIT_CHECK_S: Final = 0.05


class SlotHold:
    """A slot of the upstream in use, which is released at most once."""

    def __init__(self, release: Callable[[], None]) -> None:
        self._release_slot: Callable[[], None] | None = release

    def release(self) -> None:
        """Release the slot; later calls have no effect."""
        release, self._release_slot = self._release_slot, None
        if release is not None:
            release()


class SlotQueue:
    """Count the slots in use, and start queued requests as slots are released."""

    def __init__(
        self,
        *,
        count_slots: Callable[[], int],
        metrics: MeshMetrics,
        cold: ColdAdmission | None = None,
        get_new_limit: Callable[[], float] = lambda: math.inf,
    ) -> None:
        """Create an empty queue.

        :param count_slots: returns the number of slots; 0 while no request may start.
        :param cold: admits requests while the upstream is cold; None if it never is.
        :param get_new_limit: returns how many limited requests may run at once.
        """
        self._get_new_limit = get_new_limit
        self._count_slots = count_slots
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._order = AdmissionQueue()
        self._futures: dict[QueuedRequest, asyncio.Future[bool]] = {}
        self._limit_check: asyncio.TimerHandle | None = None
        #: when a slot was last known to be free, in s of the loop's clock
        self._last_free_at = self._loop.time()
        self._limit = RateLimit()
        self._cold = cold or ColdAdmission(silence_s=math.inf, now=self._loop.time())
        self._limit_timer: asyncio.TimerHandle | None = None
        self._usage = SlotUsage(self._loop.time())
        #: number of slots in use
        self.running = 0
        #: number of those that limited requests use
        self.running_limited = 0

    def __len__(self) -> int:
        return len(self._order)

    def set_fair(self, fair: bool) -> None:
        """Set whether client accounts take turns."""
        self._order.fair = fair

    @property
    def limit_per_s(self) -> float | None:
        """Return the rate limit of the upstream, in requests per s; None for no limit."""
        return self._limit.limit_per_s

    def set_limit(self, limit_per_s: float | None) -> None:
        """Change the rate limit of the upstream, in requests per s; None for no limit."""
        self._limit.set_limit(limit_per_s, self._loop.time())
        self.start_queued()

    def get_limit_delay(self, *, ahead: int = 0) -> float:
        """Return the time until the rate limits admit a request, in s.

        :param ahead: number of requests that go before it.
        """
        now = self._loop.time()
        return max(self._limit.get_delay(now, ahead=ahead), self.get_cold_delay(ahead=ahead))

    def get_cold_delay(self, *, ahead: int = 0) -> float:
        """Return the time until a cold upstream admits a request, in s; 0 for one that is warm.

        :param ahead: number of requests that go before it.
        """
        return self._cold.get_delay(self._loop.time(), ahead=ahead)

    def is_held_by_cold(self) -> bool:
        """Return whether the next request waits for a cold upstream, longer than for the limit."""
        cold_delay_s = self.get_cold_delay()
        return cold_delay_s > self._limit.get_delay(self._loop.time())

    def count_by_priority(self) -> Counter[int]:
        """Return the number of queued requests by priority."""
        return self._order.count_by_priority()

    def count_ahead(self, priority: int, account: str = "") -> int:
        """Return the number of queued requests that go before a new one."""
        return self._order.count_ahead(priority, account)

    def is_saturated(self) -> bool:
        """Return whether requests are queued and no slot has been free for some time."""
        return len(self._order) > 0 and self._loop.time() - self._last_free_at > _SATURATION_S

    def has_limited_room(self) -> bool:
        """Return whether the limit of new requests has room for another one."""
        # a fraction of a request is not enough, except that one may always run
        return self.running_limited + 1 <= max(1.0, self._get_new_limit())

    def has_free_slot(self, *, limited: bool = False) -> bool:
        """Return whether a request would get a slot at once."""
        limited_room = self.has_limited_room()
        free = (
            self._order.find_next(limited_room=limited_room) is None
            and self.running < self._count_slots()
            and self.get_limit_delay() <= 0.0
        )
        if free:
            self._last_free_at = self._loop.time()
        return free and (limited_room or not limited)

    def acquire(self, *, limited: bool = False) -> None:
        """Use a free slot at once."""
        self._try_acquire_rate(self._loop.time())
        self.running_limited += limited
        self._set_running(self.running + 1)
        self._record_wait(0.0, granted=True)

    async def wait(
        self, priority: int, *, max_wait_s: float, account: str = "", limited: bool = False
    ) -> bool:
        """Wait for a slot and use it; return False if none was granted in time."""
        future: asyncio.Future[bool] = self._loop.create_future()
        request = self._order.add(priority, account=account, limited=limited)
        self._futures[request] = future
        started_at = self._loop.time()
        self.start_queued()
        timer = self._loop.call_later(max(0.0, max_wait_s), _deny, future)
        try:
            granted = await future
            self._record_wait(self._loop.time() - started_at, granted=granted)
            return granted
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and future.result():
                self.release(limited=limited)
            raise
        finally:
            timer.cancel()
            self._order.remove(request)
            self._futures.pop(request, None)

    def start_queued(self) -> None:
        """Grant free slots to queued requests, in their order."""
        now, slots = self._loop.time(), self._count_slots()
        while self.running < slots:
            request = self._order.find_next(limited_room=self.has_limited_room())
            if request is None:
                break
            future = self._futures[request]
            if future.done():
                self._order.remove(request)
                continue
            if not self._try_acquire_rate(now):
                self._schedule_start()
                return
            self.running_limited += request.limited
            self._set_running(self.running + 1)
            self._order.grant(request)
            future.set_result(True)
        if self.running < slots and self.get_limit_delay() <= 0.0:
            self._last_free_at = now
            if len(self._order) and self._limit_check is None:
                self._limit_check = self._loop.call_later(_LIMIT_CHECK_S, self._check_limit)

    def _check_limit(self) -> None:
        """Start limited requests once the limit has grown."""
        self._limit_check = None
        self.start_queued()

    def _try_acquire_rate(self, now: float) -> bool:
        """Use the allowance of both rate limits for a request, or of neither."""
        return self._cold.get_delay(now) <= 0.0 and (
            self._limit.try_acquire(now) and self._cold.try_acquire(now)
        )

    def _schedule_start(self) -> None:
        if self._limit_timer is None:
            delay_s = max(self.get_limit_delay(), _MIN_TIMER_S)
            self._limit_timer = self._loop.call_later(delay_s, self._limit_passed)

    def _limit_passed(self) -> None:
        self._limit_timer = None
        self.start_queued()

    def deny_all(self, code: str) -> None:
        """Deny a slot to all queued requests."""
        if len(self._order):
            logger.info("waiting-refused", extra={"code": code, "requests": len(self._order)})
        for future in self._futures.values():
            _deny(future)

    def release(self, *, limited: bool = False) -> None:
        """Release a slot in use."""
        self.running_limited -= limited
        self._set_running(self.running - 1)
        self.start_queued()

    def drain_usage(self) -> SlotUsageSummary:
        """Return the use of the slots since the last call."""
        return self._usage.drain(self._loop.time())

    def _set_running(self, running: int) -> None:
        self.running = running
        self._usage.set_in_use(running, self._loop.time())

    def _record_wait(self, wait_s: float, *, granted: bool) -> None:
        self._usage.record_wait(wait_s, granted=granted)
        self._metrics.observe("slot_wait_seconds", wait_s, "granted" if granted else "denied")


def _deny(future: asyncio.Future[bool]) -> None:
    if not future.done():
        future.set_result(False)
