"""Select upstreams for calls, from state that all calls of a node share."""

from __future__ import annotations

import threading
import time
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from balsamhead.events import CrashObserved, SuspectRequestAnswered
from balsamhead.proxy._counts import CallCounter, CallKey
from balsamhead.routing import (
    Admission,
    AdmissionConfig,
    Load,
    Refusal,
    RetryBudget,
    RouteTable,
    Snapshot,
    Spillover,
    VersionBreaker,
    choose_upstream,
    make_refusal,
    pick_version,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from balsamhead.document import Route
    from balsamhead.proxy._config import ProxyConfig
    from balsamhead.proxy._pool import UpstreamConnection
    from balsamhead.routing import Endpoint, ServiceRoutes, VersionEndpoints
    from balsamhead.wire import CallCount

__all__ = ("Dispatcher", "Slot", "Target")

#: maximum number of crash events kept between two drains; above it, the oldest are dropped
_MAX_CRASH_EVENTS = 256
#: maximum number of cancelled calls that hold slots; above it, the oldest release theirs
_MAX_CANCELLED_CALLS = 512
#: smallest Retry-After given to a refused caller, in s
_MIN_RETRY_AFTER_S = 1.0


class Target(NamedTuple):
    """Service version that a call is sent to, and the route of the call."""

    service: ServiceRoutes
    route: Route
    version: str

    def make_counter_key(self, endpoint: Endpoint) -> CallKey:
        """Return the counter key of a call to an endpoint."""
        return CallKey(self.service.name, self.route.name, self.version, endpoint.node)

    @property
    def endpoints(self) -> VersionEndpoints:
        """Return the endpoints that serve the version and may run calls of the route."""
        return self.service.get_endpoints(self.version, self.route.name)


class Slot(NamedTuple):
    """One unit of an upstream's concurrency, held by a call."""

    endpoint: Endpoint
    load: Load


class _CancelledCall(NamedTuple):
    conn: UpstreamConnection
    load: Load
    release_at: float


class Dispatcher:
    """Choose upstreams for calls and record the results of calls.

    All methods are thread-safe.
    """

    def __init__(
        self,
        cfg: ProxyConfig,
        rng: random.Random,
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.snapshot = Snapshot(-1, RouteTable(()), {})
        self.retry_budget = RetryBudget()
        self._cfg = cfg
        self._rng = rng
        self._clock = clock
        self._lock = threading.Lock()
        self._state_changed = threading.Condition(self._lock)
        calls = max(1, cfg.worker_threads - cfg.reserved_threads)
        self._admission = Admission(
            AdmissionConfig(max_calls=calls, max_waiting=cfg.max_waiting_calls)
        )
        self._breaker = VersionBreaker()
        self._counter = CallCounter(cfg.node)
        self._loads: dict[tuple[str, int], Load] = {}
        self._spillovers: dict[tuple[str, str], Spillover] = {}
        self._crash_events: deque[CrashObserved | SuspectRequestAnswered] = deque(
            maxlen=_MAX_CRASH_EVENTS
        )
        self._cancelled_calls: list[_CancelledCall] = []
        self._waiting_calls = 0

    @property
    def running(self) -> int:
        """Return the number of running calls."""
        return self._admission.running

    def update_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the routing snapshot that new calls use."""
        is_first = self.snapshot.offset < 0
        with self._lock:
            self._update_loads(snapshot, cold=not is_first)
            self.snapshot = snapshot
            self._state_changed.notify_all()

    def _update_loads(self, snapshot: Snapshot, *, cold: bool) -> None:
        now = self._clock()
        loads: dict[tuple[str, int], Load] = {}
        for service in snapshot.services.values():
            for endpoint in service.list_endpoints():
                key = endpoint[:2]
                load = self._loads.get(key) or loads.get(key)
                loads[key] = load or Load(slots=endpoint.slots, now=now, slow_start=cold)
        # running calls keep a reference to the load of an endpoint that was removed
        self._loads = loads

    def _get_load(self, endpoint: Endpoint) -> Load:
        load = self._loads.get(endpoint[:2])
        if load is None:
            load = Load(slots=endpoint.slots, now=self._clock(), slow_start=False)
            self._loads[endpoint[:2]] = load
        return load

    def _get_spillover(self, target: Target) -> Spillover:
        key = (target.service.name, target.version)
        spillover = self._spillovers.get(key)
        if spillover is None:
            spillover = self._spillovers[key] = Spillover()
        return spillover

    def admit_call(self, route: Route) -> bool:
        """Admit a call; return False if the node or the route is at its limit."""
        with self._lock:
            return self._admission.try_admit(route.name, bulk=route.bulk)

    def finish_call(self, route: Route) -> None:
        """Record the end of an admitted call."""
        with self._lock:
            self._admission.release(route.name, bulk=route.bulk)
            if self._waiting_calls or not self._admission.running:
                self._state_changed.notify_all()

    def wait_until_idle(self, deadline_at: float) -> int:
        """Wait until no call is running and return how many still run at the deadline.

        :param deadline_at: deadline on the monotonic clock, in s.
        """
        with self._lock:
            while self._admission.running:
                remaining_s = deadline_at - self._clock()
                if remaining_s <= 0:
                    break
                self._state_changed.wait(remaining_s)
            return self._admission.running

    def choose_target(self, route: Route) -> Target | Refusal:
        """Choose the version for a call, at random by the shares of the versions."""
        snapshot = self.snapshot
        service = snapshot.services.get(route.service)
        if service is None:
            return make_refusal("no-upstream", retry_after_s=_MIN_RETRY_AFTER_S)
        if service.fallback:
            with self._lock:
                blocked = self._find_blocked_versions(service)
            version = pick_version(service, self._rng, blocked=blocked, route=route.name)
        else:
            version = service.shares[0].version if service.shares else ""
        if not version:
            return make_refusal("version-withdrawn", retry_after_s=_MIN_RETRY_AFTER_S)
        return Target(service, route, version)

    def _find_blocked_versions(self, service: ServiceRoutes) -> frozenset[str]:
        now = self._clock()
        return frozenset(
            share.version
            for share in service.shares
            if share.version != service.fallback
            and self._breaker.is_blocked(
                service.name, share.version, fallback=service.fallback, now=now
            )
        )

    def acquire(
        self, target: Target, excluded: list[Endpoint], deadline_at: float
    ) -> Slot | Refusal:
        """Acquire a slot at an upstream, waiting if one is likely to be free in time.

        :param excluded: endpoints that this call has already tried.
        :param deadline_at: deadline of the call on the monotonic clock, in s.
        """
        with self._lock:
            slot = self._try_acquire(target, excluded)
            if slot is not None:
                return slot
            target = self._update_restriction(target)
            if not any(target.endpoints.tiers):
                is_restricted = target.route.name in target.service.restricted
                code = "no-upstream-in-regions" if is_restricted else "no-upstream"
                return make_refusal(code, retry_after_s=_MIN_RETRY_AFTER_S)
            return self._wait_for_slot(target, excluded, deadline_at)

    def _update_restriction(self, target: Target) -> Target:
        """Return the target with the regions that its route names now.

        They may have changed while the call waited for a slot or ran its first attempt. A route
        that is no longer in force keeps its regions for the calls that have begun.
        """
        service = self.snapshot.services.get(target.service.name)
        if service is None or target.route.name not in service.restricted:
            return target
        return target._replace(service=service)

    def _try_acquire(self, target: Target, excluded: list[Endpoint]) -> Slot | None:
        target = self._update_restriction(target)
        endpoint = choose_upstream(
            target.endpoints,
            self._get_load,
            self._get_spillover(target),
            self._rng,
            self._clock(),
            excluded=excluded,
        )
        if endpoint is None:
            return None
        load = self._get_load(endpoint)
        load.in_flight += 1
        return Slot(endpoint, load)

    def _estimate_wait_s(self, target: Target, excluded: list[Endpoint]) -> float:
        loads = [
            self._get_load(endpoint)
            for tier in target.endpoints.tiers
            for endpoint in tier
            if endpoint not in excluded
        ]
        if not loads:
            return float("inf")
        limit = sum(max(1.0, load.limit) for load in loads)
        latency_ms = sum(load.latency_ms for load in loads) / len(loads)
        queue_position = self._admission.count_waiting(target.service.name) + 1
        return queue_position * latency_ms / limit / 1000

    def _wait_for_slot(
        self, target: Target, excluded: list[Endpoint], deadline_at: float
    ) -> Slot | Refusal:
        name = target.service.name
        time_left_s = deadline_at - self._clock()
        expected_s = self._estimate_wait_s(target, excluded)
        retry_after_s = max(_MIN_RETRY_AFTER_S, min(expected_s, 30.0))
        overloaded = make_refusal("overloaded", retry_after_s=retry_after_s)
        if target.route.bulk and self._admission.count_waiting(name):
            return overloaded
        if not self._admission.may_wait(name, time_left_s=time_left_s, expected_wait_s=expected_s):
            return overloaded

        wait_until = self._clock() + self._admission.compute_max_wait_s(time_left_s)
        self._admission.begin_wait(name)
        self._waiting_calls += 1
        try:
            while (remaining_s := wait_until - self._clock()) > 0:
                # nothing signals the end of an upstream's back-off, so waits are short
                self._state_changed.wait(min(remaining_s, 0.1))
                slot = self._try_acquire(target, excluded)
                if slot is not None:
                    return slot
            return overloaded
        finally:
            self._admission.end_wait(name)
            self._waiting_calls -= 1

    def _free_slot(self, load: Load) -> None:
        load.in_flight -= 1
        if self._waiting_calls:
            self._state_changed.notify()

    def release(self, slot: Slot) -> None:
        """Release a slot."""
        with self._lock:
            self._free_slot(slot.load)

    def record_response(
        self, target: Target, slot: Slot, *, latency_ms: float, failed: bool
    ) -> None:
        """Record the status and latency of a response.

        The slot is not released.
        """
        with self._lock:
            now = self._clock()
            slot.load.record_response(latency_ms, failed=failed, now=now)
            self._get_spillover(target).record_response(slot.endpoint.tier)
            self._breaker.record(target.service.name, target.version, failed=failed)
            is_slow = latency_ms > target.service.latency_objective_ms
            self._counter.add(
                target.make_counter_key(slot.endpoint), calls=1, errors=failed, slow=is_slow
            )

    def record_shed(self, target: Target, slot: Slot) -> None:
        """Record that an upstream refused a call without running it."""
        with self._lock:
            slot.load.record_shed(self._clock())
            self._get_spillover(target).record_shed(slot.endpoint.tier)
            self._counter.add(target.make_counter_key(slot.endpoint), shed=1)

    def record_refused_connection(self, slot: Slot) -> None:
        """Record that connecting to an upstream failed."""
        with self._lock:
            slot.load.record_connect_failure(self._clock())

    def record_failure(self, target: Target, slot: Slot, *, crashed: bool) -> None:
        """Record an attempt that lost its connection, got a malformed response or timed out.

        :param crashed: whether the upstream no longer accepts connections.
        """
        with self._lock:
            now = self._clock()
            slot.load.record_failure(now)
            if crashed:
                slot.load.record_connect_failure(now)
            self._breaker.record(target.service.name, target.version, failed=True)
            self._counter.add(
                target.make_counter_key(slot.endpoint), calls=1, errors=1, crashes=crashed
            )

    def record_crash(self, slot: Slot, fingerprint: bytes) -> None:
        """Record the request that was in flight when an upstream closed the connection."""
        endpoint = slot.endpoint
        self._crash_events.append(CrashObserved(fingerprint, endpoint.node, endpoint.incarnation))

    def record_suspect_answered(self, fingerprint: bytes) -> None:
        """Record that a request suspected of crashing upstreams was answered."""
        self._crash_events.append(SuspectRequestAnswered(fingerprint))

    def cancel_call(self, slot: Slot, conn: UpstreamConnection) -> None:
        """Cancel a call at its upstream.

        Its slot is released when the upstream closes the connection, or after
        ``max_cancelled_s``.
        """
        conn.cancel()
        release_at = self._clock() + self._cfg.max_cancelled_s
        with self._lock:
            self._cancelled_calls.append(_CancelledCall(conn, slot.load, release_at))
            is_over_limit = len(self._cancelled_calls) > _MAX_CANCELLED_CALLS
        if is_over_limit:
            self.release_finished_calls()

    def release_finished_calls(self) -> None:
        """Release the slots of cancelled calls that have ended or timed out."""
        now = self._clock()
        with self._lock:
            cancelled, self._cancelled_calls = self._cancelled_calls, []
        still_open: list[_CancelledCall] = []
        for call in cancelled[-_MAX_CANCELLED_CALLS:]:
            if call.release_at > now and not call.conn.is_closed_by_upstream():
                still_open.append(call)
        finished = [call for call in cancelled if call not in still_open]
        with self._lock:
            self._cancelled_calls.extend(still_open)
            for call in finished:
                self._free_slot(call.load)
        for call in finished:
            call.conn.close()

    def list_endpoints(self) -> set[Endpoint]:
        """Return all endpoints of the current snapshot."""
        return {
            endpoint
            for service in self.snapshot.services.values()
            for endpoint in service.list_endpoints()
        }

    def drain_counts(self) -> tuple[CallCount, ...]:
        """Return and reset the call counts accumulated since the last drain."""
        with self._lock:
            return self._counter.drain()

    def drain_crash_events(self) -> tuple[CrashObserved | SuspectRequestAnswered, ...]:
        """Return and clear the crashes and answered suspects recorded since the last drain."""
        with self._lock:
            events = tuple(self._crash_events)
            self._crash_events.clear()
        return events
