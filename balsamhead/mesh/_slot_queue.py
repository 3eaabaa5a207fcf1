"""Grant the slots of an upstream within its rate limit, and queue requests by priority."""

from __future__ import annotations

import asyncio
import heapq
import logging
from collections import Counter
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.mesh._rate_limit import RateLimit
from balsamhead.mesh._slot_usage import SlotUsage

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamhead.mesh._metrics import MeshMetrics
    from balsamhead.mesh._slot_usage import SlotUsageSummary
    from balsamhead.mesh.warmup import ColdAdmission

__all__ = ("SlotHold", "SlotQueue")

logger = logging.getLogger(__name__)

#: time without a free slot after which the upstream is saturated, in s
_SATURATION_S: Final = 0.5
#: shortest delay of the timer that starts requests which wait for the rate limit, in s
_MIN_TIMER_S: Final = 0.001


class _Waiter(NamedTuple):
    priority: int
    #: order of arrival, which breaks ties between equal priorities
    arrival_number: int
    future: asyncio.Future[bool]


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
        self, *, count_slots: Callable[[], int], metrics: MeshMetrics, cold: ColdAdmission
    ) -> None:
        """Create an empty queue.

        :param count_slots: returns the number of slots; 0 while no request may start.
        :param cold: admits requests while the upstream is cold.
        """
        self._count_slots = count_slots
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._queue: list[_Waiter] = []
        self._last_arrival_number = 0
        #: when a slot was last known to be free, in s of the loop's clock
        self._last_free_at = self._loop.time()
        self._limit = RateLimit()
        self._cold = cold
        self._limit_timer: asyncio.TimerHandle | None = None
        self._usage = SlotUsage(self._loop.time())
        #: number of slots in use
        self.running = 0

    def __len__(self) -> int:
        return len(self._queue)

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
        return Counter(waiter.priority for waiter in self._queue)

    def count_ahead(self, priority: int) -> int:
        """Return the number of queued requests that go before a new one of this priority."""
        return sum(1 for waiter in self._queue if waiter.priority <= priority)

    def is_saturated(self) -> bool:
        """Return whether requests are queued and no slot has been free for some time."""
        return bool(self._queue) and self._loop.time() - self._last_free_at > _SATURATION_S

    def has_free_slot(self) -> bool:
        """Return whether a request would get a slot at once."""
        free = (
            not self._queue and self.running < self._count_slots() and self.get_limit_delay() <= 0.0
        )
        if free:
            self._last_free_at = self._loop.time()
        return free

    def acquire(self) -> None:
        """Use a free slot at once."""
        self._try_acquire_rate(self._loop.time())
        self._set_running(self.running + 1)
        self._record_wait(0.0, granted=True)

    async def wait(self, priority: int, *, max_wait_s: float) -> bool:
        """Wait for a slot and use it; return False if none was granted in time."""
        future: asyncio.Future[bool] = self._loop.create_future()
        self._last_arrival_number += 1
        waiter = _Waiter(priority, self._last_arrival_number, future)
        heapq.heappush(self._queue, waiter)
        started_at = self._loop.time()
        self.start_queued()
        timer = self._loop.call_later(max(0.0, max_wait_s), _deny, future)
        try:
            granted = await future
            self._record_wait(self._loop.time() - started_at, granted=granted)
            return granted
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and future.result():
                self.release()
            raise
        finally:
            timer.cancel()
            self._queue = [row for row in self._queue if row is not waiter]
            heapq.heapify(self._queue)

    def start_queued(self) -> None:
        """Grant free slots to queued requests, the highest priority first."""
        now, slots = self._loop.time(), self._count_slots()
        while self._queue and self.running < slots:
            if self._queue[0].future.done():
                heapq.heappop(self._queue)
                continue
            if not self._try_acquire_rate(now):
                self._schedule_start()
                return
            self._set_running(self.running + 1)
            heapq.heappop(self._queue).future.set_result(True)
        if self.running < slots and self.get_limit_delay() <= 0.0:
            self._last_free_at = now

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
        if self._queue:
            logger.info("waiting-refused", extra={"code": code, "requests": len(self._queue)})
        for waiter in self._queue:
            _deny(waiter.future)

    def release(self) -> None:
        """Release a slot in use."""
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
