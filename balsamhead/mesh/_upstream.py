"""Admit requests to the VM's own upstream: its slots, its waiting line, its record and its load."""

from __future__ import annotations

import asyncio
import heapq
import logging
from collections import Counter
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.mesh._calls import Answer, Call, Lost, Outcome, Refused, Rejected
from balsamhead.mesh._exchange import UpstreamConnection
from balsamhead.mesh._patience import get_room
from balsamhead.mesh.model import Load, RouteKind, UpstreamRecord, UpstreamState

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("LocalUpstream", "Result")

logger = logging.getLogger(__name__)

#: longest wait for a connection to the upstream, in s
_CONNECT_TIMEOUT_S: Final = 0.3
#: weight of a new sample in the mean time of a request
_SAMPLE_WEIGHT: Final = 0.05
#: weight of a new outcome in the share of faults
_FAULT_WEIGHT: Final = 0.1
#: mean time of a request that is assumed at first, in ms
_FIRST_SERVICE_MS: Final = 60.0
#: how long an upstream that refuses connections gets no work, in s, unless it announces itself
_DOWN_S: Final = 1.0
#: announcements that may be missed before the upstream counts as gone
_MISSED_ANNOUNCEMENTS: Final = 3
#: idle time from which a connection isn't trusted with a request that runs at most once, in s
_TRUSTED_IDLE_S: Final = 0.2
#: time without a free slot from which requests wait no longer than their objective allows, in s
_SATURATED_S: Final = 0.5
#: longest time to come back that a refusal names, in s
_MAX_RETRY_AFTER_S: Final = 0.3
#: shortest one
_MIN_RETRY_AFTER_S: Final = 0.03


class Result(NamedTuple):
    """Hold what became of a request at the upstream, for those who judge versions."""

    service: str
    version: str
    route: str
    #: the upstream failed it
    failed: bool
    #: time at the upstream, in ms
    took_ms: float
    #: the upstream had just started
    cold: bool


class _Waiter(NamedTuple):
    priority: int
    number: int
    future: asyncio.Future[bool]


class _Slot:
    """Free a slot once."""

    def __init__(self, release: Callable[[], None]) -> None:
        self._release: Callable[[], None] | None = release

    def release(self) -> None:
        """Free the slot, unless that was done."""
        release, self._release = self._release, None
        if release is not None:
            release()


class LocalUpstream:
    """Run requests on the upstream beside this node, never more than its slots at once."""

    def __init__(
        self,
        *,
        address: str,
        service: str,
        announce_interval_s: float,
        on_change: Callable[[], None],
        on_result: Callable[[Result], None],
    ) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._service = service
        self._silence_s = announce_interval_s * _MISSED_ANNOUNCEMENTS + 0.5
        self._on_change = on_change
        self._on_result = on_result
        self._loop = asyncio.get_running_loop()
        self._idle: list[UpstreamConnection] = []
        self._active: set[UpstreamConnection] = set()
        self._queue: list[_Waiter] = []
        self._number = 0
        self._heard_at = 0.0
        self._cold_until = 0.0
        self._down_until = 0.0
        self._gone: dict[tuple[str, int], int] = {}
        self._tasks: set[asyncio.Task[Outcome]] = set()
        self.record: UpstreamRecord | None = None
        self.running = 0
        self.service_ms = _FIRST_SERVICE_MS
        self._samples = 0
        self._faults = 0.0
        #: when a slot was free last
        self._free_at = self._loop.time()
        #: the node stops and its upstream takes nothing more from it
        self.stopping = False

    # -- record ------------------------------------------------------------------------------

    def accept_record(self, record: UpstreamRecord) -> bool:
        """Take in an announcement; tell whether it was new."""
        known = self.record
        key = (record.id, record.born_ms)
        if record.service != self._service or self._gone.get(key, -1) >= record.sequence:
            return False
        if known is not None and (record.born_ms, record.sequence) <= (
            known.born_ms,
            known.sequence,
        ):
            return False
        if key in self._gone:
            # it said that it leaves, and doesn't come back
            record = record._replace(state=UpstreamState.DRAINING)
        replaced = known is None or (known.id, known.born_ms) != key
        if replaced:
            self._drop_connections()
            self.service_ms = _FIRST_SERVICE_MS
            self._samples = 0
            self._faults = 0.0
        now = self._loop.time()
        self.record = record
        self._heard_at = now
        self._cold_until = now + record.cold_s
        if self._down_until:
            self._down_until = 0.0
            replaced = True
        if replaced or known is None or known.state is not record.state:
            logger.info(
                "upstream-announced",
                extra={"upstream": record.id, "version": record.version, "state": record.state},
            )
            self._on_change()
        if record.state is UpstreamState.DRAINING:
            self._refuse_waiting("upstream-draining")
        self._start_waiting()
        return True

    def leave(self, upstream_id: str) -> bool:
        """Take in that the upstream takes no more work; tell whether it is the one known."""
        known = self.record
        if known is None or known.id != upstream_id:
            return False
        self._gone[(known.id, known.born_ms)] = known.sequence
        if known.state is not UpstreamState.DRAINING:
            self.record = known._replace(state=UpstreamState.DRAINING)
            logger.info("upstream-left", extra={"upstream": upstream_id})
            self._on_change()
        self._refuse_waiting("upstream-draining")
        return True

    def accepts(self) -> bool:
        """Answer whether new work may go to the upstream."""
        record = self.record
        now = self._loop.time()
        return (
            record is not None
            and record.state is UpstreamState.READY
            and now >= self._down_until
            and now - self._heard_at < self._silence_s
            and not self.stopping
        )

    def is_cold(self) -> bool:
        """Answer whether the upstream has just started and is slow."""
        return self._loop.time() < self._cold_until

    def get_load(self) -> Load:
        """Return how busy the upstream is."""
        ranks = Counter(waiter.priority for waiter in self._queue)
        service_ms = self.service_ms if self._samples else 0.0
        return Load(
            self.running,
            service_ms,
            tuple(ranks.items()),
            self.is_saturated(),
            round(self._faults, 2),
        )

    def is_saturated(self) -> bool:
        """Answer whether no slot has been free for some time."""
        return bool(self._queue) and self._loop.time() - self._free_at > _SATURATED_S

    # -- calls -------------------------------------------------------------------------------

    async def run(self, call: Call, body: bytes) -> Outcome:
        """Run a request on the upstream, or refuse it unrun."""
        ends_at = self._loop.time() + call.left_ms / 1000
        refused = self._find_refusal(call)
        if refused is not None:
            return refused
        assert self.record is not None
        if self.running >= self.record.slots or self._queue:
            granted = await self._wait(call)
            if not granted:
                return self._refuse("upstream-busy")
        else:
            self.running += 1
        if call.kind is RouteKind.ONCE:
            # what runs at most once is not broken off when its caller leaves
            task = self._loop.create_task(self._exchange(call, body, ends_at))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return await asyncio.shield(task)
        return await self._exchange(call, body, ends_at)

    def _find_refusal(self, call: Call) -> Refused | None:
        record = self.record
        if record is None or not self.accepts():
            return self._refuse("upstream-unavailable")
        if record.service != call.service or (call.version and call.version != record.version):
            return self._refuse("upstream-other")
        if self.running < record.slots and not self._queue:
            self._free_at = self._loop.time()
            return None
        if call.patience_ms <= 0:
            return self._refuse("upstream-full")
        ahead = sum(1 for waiter in self._queue if waiter.priority <= call.priority)
        wait_ms = (ahead + 1) * self.service_ms / record.slots
        if wait_ms > self._get_room(call):
            return self._refuse("upstream-busy")
        return None

    def _get_room(self, call: Call) -> float:
        return get_room(
            objective_ms=call.objective_ms,
            patience_ms=call.patience_ms,
            left_ms=call.left_ms,
            run_ms=self.service_ms,
            bound_by_objective=self.is_saturated() and not call.urgent,
        )

    def _refuse(self, code: str) -> Refused:
        slots = self.record.slots if self.record else 1
        wait_s = (len(self._queue) + 1) * self.service_ms / slots / 1000
        retry_after_s = min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait_s))
        return Refused(code, retry_after_s, self.get_load())

    async def _wait(self, call: Call) -> bool:
        future: asyncio.Future[bool] = self._loop.create_future()
        self._number += 1
        waiter = _Waiter(call.priority, self._number, future)
        heapq.heappush(self._queue, waiter)
        timer = self._loop.call_later(max(0.0, self._get_room(call)) / 1000, _give_up, future)
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and future.result():
                self._release()
            raise
        finally:
            timer.cancel()
            self._queue = [row for row in self._queue if row is not waiter]
            heapq.heapify(self._queue)

    def _start_waiting(self) -> None:
        slots = self.record.slots if self.record is not None else 0
        while self._queue and self.running < slots and self.accepts():
            waiter = heapq.heappop(self._queue)
            if not waiter.future.done():
                self.running += 1
                waiter.future.set_result(True)
        if self.running < slots:
            self._free_at = self._loop.time()

    def _refuse_waiting(self, code: str) -> None:
        if self._queue:
            logger.info("waiting-refused", extra={"code": code, "requests": len(self._queue)})
        for waiter in self._queue:
            _give_up(waiter.future)

    def _release(self) -> None:
        self.running -= 1
        self._start_waiting()

    async def _exchange(self, call: Call, body: bytes, ends_at: float) -> Outcome:
        slot = _Slot(self._release)
        try:
            conn = await self._connect(call)
            if conn is None:
                outcome: Outcome = self._refuse("upstream-unreachable")
            else:
                outcome = await self._send(conn, call, body, ends_at, slot)
        except BaseException:
            slot.release()
            raise
        if not isinstance(outcome, Answer) or outcome.rest is None:
            # a long answer keeps its slot until it has been read
            slot.release()
        return outcome

    async def _send(
        self,
        conn: UpstreamConnection,
        call: Call,
        body: bytes,
        ends_at: float,
        slot: _Slot,
    ) -> Outcome:
        record = self.record
        if record is None or not self._may_still_send(call, record):
            self._keep(conn)
            return self._refuse("upstream-draining")
        began = self._loop.time()
        left_s = ends_at - began
        if left_s <= 0:
            self._keep(conn)
            return self._refuse("deadline-passed")

        def finish() -> None:
            self._active.discard(conn)
            self._keep(conn)
            slot.release()

        self._active.add(conn)
        future = conn.send(
            call, body, upstream_id=record.id, left_ms=max(1, int(left_s * 1000)), done=finish
        )
        timer = self._loop.call_at(ends_at, conn.give_up, "deadline-passed")
        try:
            outcome = await future
        except asyncio.CancelledError:
            conn.give_up("caller-left")
            raise
        finally:
            timer.cancel()
        if isinstance(outcome, Answer) and outcome.rest is not None:
            outcome.rest.on_abandon = lambda: conn.give_up("caller-left")
        self._judge(call, record, outcome, (self._loop.time() - began) * 1000)
        return outcome

    def _note_fault(self, *, failed: bool) -> None:
        self._faults += _FAULT_WEIGHT * (failed - self._faults)

    def _may_still_send(self, call: Call, record: UpstreamRecord) -> bool:
        return self.accepts() and (not call.version or call.version == record.version)

    async def _connect(self, call: Call) -> UpstreamConnection | None:
        now = self._loop.time()
        while self._idle:
            conn = self._idle.pop()
            idle_s = now - conn.answered_at
            trusted = call.kind is not RouteKind.ONCE or idle_s < _TRUSTED_IDLE_S
            if conn.is_usable(now) and trusted:
                return conn
            conn.close()
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                _, conn = await self._loop.create_connection(
                    UpstreamConnection, self._host, self._port
                )
        except OSError as exc:
            self._mark_down(exc)
            return None
        return conn

    def _keep(self, conn: UpstreamConnection) -> None:
        if conn.is_usable(self._loop.time()):
            self._idle.append(conn)

    def _mark_down(self, exc: OSError) -> None:
        logger.warning("upstream-unreachable", extra={"error": repr(exc)})
        self._down_until = self._loop.time() + _DOWN_S
        self._refuse_waiting("upstream-unreachable")
        self._on_change()

    def _drop_connections(self) -> None:
        for conn in self._idle:
            conn.close()
        self._idle.clear()

    def _judge(self, call: Call, record: UpstreamRecord, outcome: Outcome, took_ms: float) -> None:
        match outcome:
            case Answer(status=status):
                self._samples += 1
                weight = max(_SAMPLE_WEIGHT, 1.0 / self._samples)
                self.service_ms += weight * (took_ms - self.service_ms)
                failed = status >= 500
            case Lost(code=code):
                logger.info(
                    "exchange-lost",
                    extra={
                        "id": call.request_id.decode("latin-1"),
                        "code": code,
                        "upstream": record.id,
                        "took_ms": round(took_ms, 1),
                    },
                )
                failed = code != "caller-left"
            case Rejected(code=code):
                logger.info(
                    "exchange-rejected",
                    extra={"id": call.request_id.decode("latin-1"), "code": code},
                )
                self._note_fault(failed=True)
                if code == "upstream-replaced":
                    self._down_until = self._loop.time() + _DOWN_S
                    self._on_change()
                return
            case _:
                return
        if not isinstance(outcome, Lost) or outcome.code != "caller-left":
            self._note_fault(failed=failed)
        cold = self._loop.time() < self._cold_until
        self._on_result(Result(record.service, record.version, call.route, failed, took_ms, cold))


def _give_up(future: asyncio.Future[bool]) -> None:
    if not future.done():
        future.set_result(False)
