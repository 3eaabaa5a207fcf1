"""Admit and run requests on the upstream of this VM: its slots, queue, connections and load."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.mesh._announcement_order import AnnouncementOrder
from balsamhead.mesh._calls import (
    BodyRest,
    Call,
    NotExecuted,
    Outcome,
    OutcomeUnknown,
    Refused,
    ResponseNotices,
    UpstreamResponse,
)
from balsamhead.mesh._cold_guard import ColdGuard
from balsamhead.mesh._connection_pool import ConnectionPool
from balsamhead.mesh._crash_guard import TRIAL_CODES, CrashGuard
from balsamhead.mesh._departures import Departures
from balsamhead.mesh._nested_call_limit import NestedCallLimit
from balsamhead.mesh._peers import merge_notices
from balsamhead.mesh._placement_guard import PlacementGuard
from balsamhead.mesh._queue_timeout import compute_max_wait
from balsamhead.mesh._slot_queue import SlotHold, SlotQueue
from balsamhead.mesh._upstream_statistics import UpstreamStatistics
from balsamhead.mesh.admission import compute_nested_wait
from balsamhead.mesh.model import Load, RouteKind, UpstreamNotice, UpstreamRecord, UpstreamState
from balsamhead.mesh.warmup import ColdReason

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from balsamhead.mesh._crash_registry import CrashRegistry
    from balsamhead.mesh._metrics import MeshMetrics
    from balsamhead.mesh._upstream_connection import UpstreamConnection
    from balsamhead.mesh.model import Config, Departure

__all__ = ("CallResult", "LocalUpstream")

logger = logging.getLogger(__name__)

#: how long an upstream is sent no requests after a failed connection or after another instance
#: responded in its place, in s; a new announcement ends it
_UNAVAILABLE_S: Final = 1.0
#: announcements that may be missed before the upstream is considered unavailable
_MISSED_ANNOUNCEMENTS: Final = 3
#: announcements without which the newest one counts no longer, if older ones go on
_SILENT_ANNOUNCEMENTS: Final = 2
#: time after the deadline of a call at which its streamed response is cut, in s
_STREAM_GRACE_S: Final = 0.5
#: upper bound of a refusal's Retry-After, in s
_MAX_RETRY_AFTER_S: Final = 0.3
#: lower bound of a refusal's Retry-After, in s
_MIN_RETRY_AFTER_S: Final = 0.03
#: the upper bound where a called service has no room, in s; it takes longer to get some
_MAX_BUSY_RETRY_AFTER_S: Final = 1.0


class CallResult(NamedTuple):
    """Result of a request at the upstream, as evidence for or against its version."""

    service: str
    version: str
    route: str
    #: the upstream responded with a 5xx status, or its response was lost while the caller waited
    failed: bool
    #: time at the upstream, in ms
    took_ms: float
    #: the upstream was in slow start
    in_slow_start: bool


class LocalUpstream:
    """Run requests on the upstream of this VM, never more at once than it has slots."""

    def __init__(
        self,
        *,
        address: str,
        service: str,
        announce_interval_s: float,
        on_change: Callable[[], None],
        on_result: Callable[[CallResult], None],
        metrics: MeshMetrics,
        crash_registry: CrashRegistry,
        read_boot_time: Callable[[], float] | None = None,
    ) -> None:
        """Create an upstream without an announcement.

        :param read_boot_time: returns a clock that runs on while the machine is suspended, in s;
            None for the event loop's clock.
        """
        self._connections = ConnectionPool(address)
        self._service = service
        self._announcement_timeout_s = announce_interval_s * _MISSED_ANNOUNCEMENTS + 0.5
        self._on_change = on_change
        self._on_result = on_result
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self.cold_guard = ColdGuard(
            silence_s=announce_interval_s * _SILENT_ANNOUNCEMENTS,
            get_record=lambda: self.record,
            on_change=self._cold_state_changed,
            metrics=metrics,
            read_boot_time=read_boot_time,
        )
        self.nested_call_limit = NestedCallLimit(
            count_slots=self._count_slots,
            count_running_limited=lambda: self._slots.running_limited,
            metrics=metrics,
        )
        self.called_services = self.nested_call_limit.called_services
        self.nested_routes = self.nested_call_limit.nested_routes
        self._slots = SlotQueue(
            count_slots=self._count_slots,
            metrics=metrics,
            cold=self.cold_guard.admission,
            get_new_limit=self.get_new_limit,
        )
        self._announced_at = 0.0
        self._slow_start_ends_at = 0.0
        self._unavailable_until = 0.0
        self.departures = Departures()
        self._order = AnnouncementOrder(silence_s=announce_interval_s * _SILENT_ANNOUNCEMENTS)
        #: notice of an upstream here that a peer has kept from the previous run of this node
        self._recalled: UpstreamNotice | None = None
        #: this incarnation of the upstream has responded to this run of the node
        self._heard_notices = False
        self._tasks: set[asyncio.Task[Outcome]] = set()
        self.record: UpstreamRecord | None = None
        self.crash_guard = CrashGuard(
            crash_registry,
            connections=self._connections,
            get_record=lambda: self.record,
            on_crash=lambda: self.assume_cold(ColdReason.CRASH),
        )
        self._statistics = UpstreamStatistics()
        #: the node stops and sends no more requests to the upstream
        self.stopping = False
        self.placement_guard = PlacementGuard()

    def apply_config(self, config: Config) -> None:
        """Apply what a configuration says about nested calls and client accounts."""
        self.nested_routes.set_config(config)
        self._slots.set_fair(config.accounts is not None)

    # -- record ------------------------------------------------------------------------------

    def apply_announcement(self, record: UpstreamRecord) -> bool:
        """Apply an announcement of the upstream.

        :returns: False if it is for another service, or not newer than the last one.
        """
        current = self.record
        key = (record.id, record.started_at_ms)
        if record.service != self._service or self.departures.is_outdated(record):
            return False
        now = self._loop.time()
        if self._precedes_recalled(record) or not self._order.accept(record, now):
            return False
        self.cold_guard.check_pause()
        if self.departures.has_left(record):
            record = record._replace(state=UpstreamState.DRAINING)
        elif record.state is UpstreamState.DRAINING:
            self.departures.add(record)
        changed = current is None or (current.id, current.started_at_ms) != key
        if changed:
            if current is None or current.state is UpstreamState.DRAINING:
                self.crash_guard.detector.reset()
            else:
                self.crash_guard.detector.confirm_restart()
            self._connections.close_idle()
            self._statistics = UpstreamStatistics()
            self._slots.set_limit(None)
            self._heard_notices = False
            self._adopt_recalled_limit(record)
        self.record = record
        self._announced_at = now
        self._slow_start_ends_at = now + record.slow_start_s
        self.cold_guard.apply_heartbeat(record, now)
        if self._unavailable_until:
            self._unavailable_until = 0.0
            changed = True
        if changed or current is None or current.state is not record.state:
            logger.info(
                "upstream-announced",
                extra={"upstream": record.id, "version": record.version, "state": record.state},
            )
            self._on_change()
        if record.state is UpstreamState.DRAINING:
            self._slots.deny_all("upstream-draining")
        self._slots.start_queued()
        return True

    def is_known_to_leave(self, record: UpstreamRecord) -> bool:
        """Return whether no request will be sent to the upstream of an announcement."""
        if record.service != self._service:
            return False
        current = self.record
        is_other = current is not None and current.id != record.id
        return is_other or self.departures.has_left(record)

    def deregister(self, upstream_id: str) -> bool:
        """Deregister the upstream, so that it gets no more requests.

        :returns: False if the id is not that of the announced upstream.
        """
        current = self.record
        if current is None or current.id != upstream_id:
            # A node that has just started knows no upstream yet. An announcement may still arrive
            # that was sent before this message.
            self.departures.add_unannounced(upstream_id, time.time_ns() // 1_000_000)
            logger.info("upstream-left", extra={"upstream": upstream_id, "announced": False})
            return False
        self._remove(current, extra={"announced": True})
        return True

    def restore_departures(self, departures: Iterable[Departure]) -> None:
        """Adopt the departures that an earlier run of this node has kept in the store."""
        self.departures.restore(departures)
        if self.record is not None and self.departures.has_left(self.record):
            self._remove(self.record, extra={"source": "store"})

    def recall_notice(self, notice: UpstreamNotice) -> None:
        """Adopt a notice that a peer has kept from this node's previous run."""
        if notice.leaving:
            self.departures.add_incarnation(notice.upstream_id, notice.started_at_ms)
        self._recalled = merge_notices(self._recalled, notice)
        current = self.record
        if current is None:
            # a peer that has restarted doesn't know the notice any more
            self._on_change()
            return
        self._adopt_recalled_limit(current)
        if self._precedes_recalled(current):
            self.departures.add(current)
        if self.departures.has_left(current):
            self._remove(current, extra={"source": "peer"})

    def _precedes_recalled(self, record: UpstreamRecord) -> bool:
        """Return whether a peer knows a later incarnation than that of a record."""
        return self._recalled is not None and record.started_at_ms < self._recalled.started_at_ms

    def _adopt_recalled_limit(self, record: UpstreamRecord) -> None:
        """Use the limit that a peer has kept until the upstream's first response."""
        recalled = self._recalled
        if (
            recalled is not None
            and not self._heard_notices
            and (recalled.upstream_id, recalled.started_at_ms) == (record.id, record.started_at_ms)
        ):
            self._slots.set_limit(recalled.limit_per_s)

    def _remove(self, current: UpstreamRecord, *, extra: dict[str, object]) -> None:
        """Send the announced upstream no more requests."""
        self.departures.add(current)
        if current.state is not UpstreamState.DRAINING:
            self.record = current._replace(state=UpstreamState.DRAINING)
            logger.info("upstream-left", extra={"upstream": current.id, **extra})
            self._on_change()
        self._slots.deny_all("upstream-draining")

    def accepts_requests(self) -> bool:
        """Return whether the upstream may be sent new requests."""
        record = self.record
        now = self._loop.time()
        return (
            record is not None
            and record.state is UpstreamState.READY
            and now >= self._unavailable_until
            and now - self._announced_at < self._announcement_timeout_s
            and not self.stopping
            and not self.placement_guard.is_held()
        )

    def apply_placement(self) -> None:
        """Deny the queued calls that may not be served here any more; running ones go on."""
        self.placement_guard.deny_misplaced()
        self._on_change()
        self._slots.start_queued()

    def _count_slots(self) -> int:
        return self.record.slots if self.record is not None and self.accepts_requests() else 0

    @property
    def running(self) -> int:
        """Return the number of requests that are running."""
        return self._slots.running

    @property
    def service_ms(self) -> float:
        """Return the mean time of a request, in ms; a default before one was measured."""
        return self._statistics.service_ms

    def is_in_slow_start(self) -> bool:
        """Return whether the upstream is in slow start, or treated as cold."""
        return self._loop.time() < self._slow_start_ends_at or self.cold_guard.is_cold()

    def assume_cold(self, reason: ColdReason) -> None:
        """Treat the upstream as cold until its next heartbeat, since it may have started again."""
        self.cold_guard.assume_cold(reason)

    def _cold_state_changed(self) -> None:
        self._on_change()
        self._slots.start_queued()

    def _refuse_cold(self, stage: str) -> Refused:
        self.cold_guard.count_held(stage)
        return self._refuse("upstream-cold")

    def get_load(self) -> Load:
        """Return the current load of the upstream."""
        return Load(
            self.running,
            _shorten(self._statistics.measured_service_ms, digits=0 if self.service_ms > 10 else 1),
            tuple(self._slots.count_by_priority().items()),
            self._slots.is_saturated(),
            _shorten(self._statistics.failure_rate, digits=2),
        )

    def get_limit_wait(self) -> float:
        """Return how long the rate limit of the upstream delays a new request, in s."""
        return self._slots.get_limit_delay(ahead=len(self._slots))

    def get_notice(self) -> UpstreamNotice | None:
        """Return what the upstream says of itself in its responses; None if nothing is known.

        Before the first announcement, that is what a peer has kept from this node's previous run.
        """
        record = self.record
        if record is None:
            return self._recalled
        leaving = self.departures.has_left(record)
        return UpstreamNotice(record.id, record.started_at_ms, self._slots.limit_per_s, leaving)

    def get_limit(self) -> float | None:
        """Return the rate limit that the upstream names, in requests per s; None for none."""
        return self._slots.limit_per_s

    def log_slot_usage(self) -> None:
        """Log the use of the slots since the last call, if there were requests."""
        usage = self._slots.drain_usage()
        if self.record is None or not (usage.granted or usage.denied):
            return
        logger.info(
            "slot-usage",
            extra={
                "upstream": self.record.id,
                "slots": self.record.slots,
                "service_ms": round(self.service_ms, 1),
                "limit_per_s": self._slots.limit_per_s,
                "queued": len(self._slots),
                **usage._asdict(),
            },
        )

    # -- calls -------------------------------------------------------------------------------

    async def run(self, call: Call, body: bytes, rest: BodyRest | None = None) -> Outcome:
        """Run a request on the upstream, or refuse it without running it.

        :param body: the whole body, or its first part.
        :param rest: the rest of the body, if it is still arriving.
        """
        now = self._loop.time()
        deadline = now + call.remaining_ms / 1000
        call = self.nested_call_limit.classify(call)
        limited = self.nested_call_limit.is_limited(call)
        if call.nested and not self._slots.has_free_slot():
            self.called_services.record_wait(now)
        refusal = self._check_admission(call) or self._check_crashes(call, body)
        if refusal is not None:
            return refusal
        if self._slots.has_free_slot(limited=limited):
            self._slots.acquire(limited=limited)
        elif not await self._wait_for_slot(call, limited=limited):
            misplacement = self.placement_guard.find_misplacement(call)
            if misplacement:
                return self._refuse(misplacement)
            return self._refuse_for_room("upstream-busy", call)
        if call.route_kind is RouteKind.ONCE:
            # A request that must run at most once is not cancelled when its caller disconnects.
            task = self._loop.create_task(self._exchange(call, body, rest, deadline, limited))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return await asyncio.shield(task)
        return await self._exchange(call, body, rest, deadline, limited)

    def _check_admission(self, call: Call) -> Refused | None:
        self.cold_guard.check_pause()
        record = self.record
        misplacement = self.placement_guard.find_misplacement(call)
        if misplacement:
            return self._refuse(misplacement)
        if record is None or not self.accepts_requests():
            return self._refuse("upstream-unavailable")
        if record.service != call.service or (call.version and call.version != record.version):
            return self._refuse("upstream-other")
        if self._slots.has_free_slot(limited=self.nested_call_limit.is_limited(call)):
            return None
        limited = self.running < record.slots and self._slots.get_limit_delay() > 0.0
        held = self.running < record.slots and self._slots.is_held_by_cold()
        if call.queue_timeout_ms <= 0:
            if held:
                return self._refuse_cold("refused")
            return self._refuse_for_room("upstream-limited" if limited else "upstream-full", call)
        ahead = self._slots.count_ahead(call.priority, call.account)
        if self._estimate_wait(ahead, call) > self._compute_max_wait(call):
            if held:
                return self._refuse_cold("refused")
            return self._refuse_for_room("upstream-busy", call)
        if held:
            self.cold_guard.count_held("queued")
        return None

    def get_new_limit(self) -> float:
        """Return how many requests of calling routes may run at once; infinite for no limit."""
        return self.nested_call_limit.get_new_limit()

    def _refuse_for_room(self, code: str, call: Call) -> Refused:
        """Refuse a call for lack of room here, or at a service that it would call."""
        if not self.nested_call_limit.is_limited(call) or self._slots.has_limited_room():
            return self._refuse(code)
        busy_code = self.nested_call_limit.record_refusal(call)
        wait_s = self._estimate_wait(len(self._slots), call) / 1000
        retry_after_s = min(_MAX_BUSY_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait_s))
        return Refused(busy_code, retry_after_s, self.get_load())

    def _check_crashes(self, call: Call, body: bytes) -> Refused | None:
        refusal = self.crash_guard.check(call, body)
        if refusal is not None and refusal.code in TRIAL_CODES:
            refusal = refusal._replace(
                retry_after_s=max(_MIN_RETRY_AFTER_S, self.service_ms / 1000)
            )
        return refusal and refusal._replace(load=self.get_load())

    def _estimate_wait(self, ahead: int, call: Call | None = None) -> float:
        """Return the expected wait of a request for a slot behind others, in ms."""
        slots: float = self.record.slots if self.record else 1
        if call is not None and self.nested_call_limit.is_limited(call):
            slots = min(slots, max(1.0, self.get_new_limit()))
        slot_wait_ms = (ahead + 1) * self.service_ms / slots
        return max(slot_wait_ms, self._slots.get_limit_delay(ahead=ahead) * 1000)

    def _compute_max_wait(self, call: Call) -> float:
        if call.nested:
            return compute_nested_wait(
                remaining_ms=call.remaining_ms,
                service_ms=self._statistics.get_route_ms(call.route),
            )
        return compute_max_wait(
            objective_ms=call.objective_ms,
            queue_timeout_ms=call.queue_timeout_ms,
            remaining_ms=call.remaining_ms,
            service_ms=self._statistics.get_route_ms(call.route),
            bound_by_objective=not call.urgent
            and (
                self._slots.is_saturated()
                or (self.nested_call_limit.is_limited(call) and not self._slots.has_limited_room())
            ),
        )

    def _refuse(self, code: str) -> Refused:
        wait_s = self._estimate_wait(len(self._slots)) / 1000
        retry_after_s = min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait_s))
        return Refused(code, retry_after_s, self.get_load())

    async def _wait_for_slot(self, call: Call, *, limited: bool) -> bool:
        max_wait_s = self._compute_max_wait(call) / 1000
        slot = self._slots.wait(
            call.priority, max_wait_s=max_wait_s, account=call.account, limited=limited
        )
        return await self.placement_guard.wait(call, slot)

    async def _exchange(
        self, call: Call, body: bytes, rest: BodyRest | None, deadline: float, limited: bool
    ) -> Outcome:
        slot_hold = SlotHold(lambda: self._slots.release(limited=limited))
        try:
            conn = await self._connect(call)
            if conn is None:
                outcome: Outcome = self._refuse("upstream-unreachable")
            else:
                outcome = await self._send(conn, call, body, rest, deadline, slot_hold)
        except BaseException:
            slot_hold.release()
            raise
        if not isinstance(outcome, UpstreamResponse) or outcome.body_stream is None:
            # A streamed response holds its slot until it has been read.
            slot_hold.release()
        return outcome

    async def _send(
        self,
        conn: UpstreamConnection,
        call: Call,
        body: bytes,
        rest: BodyRest | None,
        deadline: float,
        slot_hold: SlotHold,
    ) -> Outcome:
        record = self.record
        if record is None or not self._may_still_send(call, record):
            self._connections.release(conn)
            return self._refuse(self.placement_guard.find_misplacement(call) or "upstream-draining")
        started_at = self._loop.time()
        remaining_s = deadline - started_at
        if remaining_s <= 0:
            self._connections.release(conn)
            return self._refuse("deadline-passed")
        refusal = self._check_crashes(call, body)
        if refusal is not None:
            self._connections.release(conn)
            return refusal
        self.cold_guard.check_pause()
        if not self.cold_guard.admission.try_send(started_at):
            self._connections.release(conn)
            return self._refuse_cold("unsent")

        timer = self._loop.call_at(deadline, conn.cancel, call, "deadline-passed")

        running = self.crash_guard.start(call, body)
        fresh = conn.last_response_at == 0.0
        calls_before = self.called_services.call_count

        def finish(outcome: Outcome) -> None:
            timer.cancel()
            self._connections.release(conn)
            slot_hold.release()
            self.crash_guard.finish(running, outcome)
            self.cold_guard.check_loss(outcome, fresh=fresh)
            if not call.nested:
                self.called_services.record_request(call.route, calls_before=calls_before)

        future = conn.send(
            call,
            body,
            rest=rest,
            upstream_id=record.id,
            remaining_ms=max(1, int(remaining_s * 1000)),
            on_complete=finish,
            on_notices=lambda notices: self._apply_notices(call, record, notices),
        )
        try:
            outcome = await future
        except asyncio.CancelledError:
            conn.cancel(call, "caller-left")
            raise
        if isinstance(outcome, UpstreamResponse) and outcome.body_stream is not None:
            outcome.body_stream.on_cancel = lambda: conn.cancel(call, "caller-left")
            timer.cancel()
            timer = self._loop.call_at(deadline + _STREAM_GRACE_S, conn.cancel, call, "stream-late")
        took_s = self._loop.time() - started_at
        self._metrics.observe("exchange_seconds", took_s, call.route_kind.value)
        self._record_outcome(call, record, outcome, took_s * 1000)
        return outcome

    def _apply_notices(self, call: Call, record: UpstreamRecord, notices: ResponseNotices) -> None:
        if self.record is None or self.record.started_at_ms != record.started_at_ms:
            # the response is of an earlier incarnation
            return
        self._heard_notices = True
        if notices.limit_per_s != self._slots.limit_per_s:
            logger.info(
                "upstream-limit-changed",
                extra={
                    "upstream": record.id,
                    "limit_per_s": notices.limit_per_s,
                    "previous_per_s": self._slots.limit_per_s,
                    "request": call.request_id.decode("latin-1"),
                    "running": self.running,
                },
            )
            self._slots.set_limit(notices.limit_per_s)
            self._on_change()
        if notices.leaving:
            self._remove(self.record, extra={"request": call.request_id.decode("latin-1")})

    def _may_still_send(self, call: Call, record: UpstreamRecord) -> bool:
        return (
            self.accepts_requests()
            and (not call.version or call.version == record.version)
            and not self.placement_guard.find_misplacement(call)
        )

    async def _connect(self, call: Call) -> UpstreamConnection | None:
        try:
            return await self._connections.acquire(call.route_kind)
        except OSError as exc:
            if isinstance(exc, ConnectionRefusedError):
                # peers learn of the crash before they select another upstream
                self.crash_guard.detector.confirm_refusal()
            self._mark_unavailable(exc)
            return None

    def _mark_unavailable(self, exc: OSError) -> None:
        logger.warning("upstream-unreachable", extra={"error": repr(exc)})
        self._unavailable_until = self._loop.time() + _UNAVAILABLE_S
        self.assume_cold(ColdReason.UNREACHABLE)
        self._slots.deny_all("upstream-unreachable")
        self._on_change()

    def _record_outcome(
        self, call: Call, record: UpstreamRecord, outcome: Outcome, took_ms: float
    ) -> None:
        match outcome:
            case UpstreamResponse(status=status):
                self._statistics.record_time(call.route, took_ms)
                failed = status >= 500
            case OutcomeUnknown(code=code):
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
            case NotExecuted(code=code):
                logger.info(
                    "exchange-rejected",
                    extra={"id": call.request_id.decode("latin-1"), "code": code},
                )
                self._statistics.record_result(failed=True)
                if code == "upstream-replaced":
                    self._unavailable_until = self._loop.time() + _UNAVAILABLE_S
                    self.assume_cold(ColdReason.REPLACED)
                    self._on_change()
                return
            case _:
                return
        if not isinstance(outcome, OutcomeUnknown) or outcome.code != "caller-left":
            self._statistics.record_result(failed=failed)
        in_slow_start = self.is_in_slow_start()
        self._on_result(
            CallResult(record.service, record.version, call.route, failed, took_ms, in_slow_start)
        )


def _shorten(number: float, *, digits: int) -> float:
    """Round a number for a message; a whole one takes 1 to 3 bytes there, another one 9."""
    rounded = round(number, digits)
    return int(rounded) if rounded == int(rounded) else rounded
