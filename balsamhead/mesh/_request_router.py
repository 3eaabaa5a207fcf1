"""Route a caller's request: match its route, select an upstream, and retry where it is safe."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final

from balsamhead.mesh._account_admission import AccountAdmission, AccountRefusal
from balsamhead.mesh._account_gate import AccountGate
from balsamhead.mesh._caller_crash_view import CallerCrashView
from balsamhead.mesh._calls import Call, Outcome, OutcomeUnknown, Refused, UpstreamResponse
from balsamhead.mesh._crash_guard import TRIAL_RUNNING
from balsamhead.mesh._crash_registry import CRASHING_REQUEST
from balsamhead.mesh._fairness import PriorityFairness
from balsamhead.mesh._prior_attempts import PriorAttemptTime
from balsamhead.mesh._queue_timeout import compute_queue_timeout
from balsamhead.mesh._request_trace import MAX_LOAD_AGE_S, Attempt, RequestTrace
from balsamhead.mesh._response_times import ResponseTimes
from balsamhead.mesh._routes import RouteTable, WeightedRoundRobin
from balsamhead.mesh._server import Reply, Request
from balsamhead.mesh._upstream_selector import STOPPING_RETRY_AFTER_S, UpstreamSelector
from balsamhead.mesh.admission import (
    CALLED_SERVICE_BUSY,
    NESTED_PRIORITY,
    TriedNodes,
    is_late,
    shows_lack_of_room,
)
from balsamhead.mesh.balancing import is_even
from balsamhead.mesh.model import ROUTE_PRIORITIES, Config, Route, RouteKind
from balsamhead.platform.configuration import digest_key
from balsamhead.platform.headers import (
    drop_account_headers,
    encode_retry_after,
    get_dropped_request_headers,
    parse_caller_headers,
)
from balsamhead.util.http1 import FramingError

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from balsamhead.mesh._budget import RetryBudget
    from balsamhead.mesh._crash_registry import CrashRegistry
    from balsamhead.mesh._link_manager import LinkManager
    from balsamhead.mesh._metrics import MeshMetrics
    from balsamhead.mesh._quota_exchange import QuotaExchange
    from balsamhead.mesh._selection import Candidate, Selection
    from balsamhead.mesh._settings import MeshSettings
    from balsamhead.mesh._traffic_split import TrafficSplit
    from balsamhead.mesh._upstream import LocalUpstream
    from balsamhead.mesh._upstream_index import UpstreamIndex

__all__ = ("RequestRouter",)

logger = logging.getLogger(__name__)

#: deadline of a request that names none, in ms
_DEFAULT_DEADLINE_MS: Final = 10_000
#: maximum number of nodes that a request is sent to, not counting those that were full
_MAX_ATTEMPTED_NODES: Final = 3
#: Retry-After of a refusal when no better estimate is known, in s
_DEFAULT_RETRY_AFTER_S: Final = 0.1
#: Retry-After for a route that can't be read, in s; only a later configuration serves it
_UNREADABLE_RETRY_AFTER_S: Final = 1.0
#: how long a peer that could not reach its upstream is sent no calls, in s
_PEER_BACKOFF_S: Final = 0.3
#: codes of refusals after which no other upstream is tried
_FINAL_CODES: Final = (CRASHING_REQUEST, TRIAL_RUNNING)
#: codes of refusals by a rate limit, after which the next request is sent later
_RATE_CODES: Final = ("upstream-limited", "upstream-cold")
#: codes of refusals by an upstream that has no room at once, but may have some soon
_FULL_CODES: Final = ("upstream-full", *_RATE_CODES, CALLED_SERVICE_BUSY)
#: statuses of requests that may have run, by code
_STATUS_BY_CODE: Final = {
    "deadline-passed": 504,
    "body-too-large": 413,
    "request-malformed": 400,
}
#: statuses of requests that were not served for lack of capacity or time
_UNSERVED_STATUSES: Final = (503, 504)
#: one in this many responses is logged, besides those with a 5xx status
_RESPONSE_LOG_INTERVAL: Final = 200
#: fraction of the retry budget that may be used after a 5xx response; small, since the
#: calls that the upstream itself makes are retried, too
_FAILED_RESPONSE_FRACTION: Final = 0.2


class RequestRouter:
    """Handle the requests of the callers on this VM."""

    def __init__(
        self,
        cfg: MeshSettings,
        *,
        link_manager: LinkManager,
        local: LocalUpstream,
        budget: RetryBudget,
        traffic_split: TrafficSplit,
        upstream_index: UpstreamIndex,
        crash_registry: CrashRegistry,
        quotas: QuotaExchange,
        metrics: MeshMetrics,
        rng: random.Random,
        is_config_fresh: Callable[[], bool] = lambda: True,
    ) -> None:
        """Create a router without a configuration.

        :param is_config_fresh: returns whether the configuration is known to have been the newest
            a short time ago.
        """
        self._cfg = cfg
        self._accounts = AccountAdmission(
            AccountGate(digest_key=digest_key, is_fresh=is_config_fresh), quotas
        )
        self._link_manager = link_manager
        self._local = local
        self._budget = budget
        self._crash_view = CallerCrashView(crash_registry, service=cfg.service)
        self._selector = UpstreamSelector(
            upstream_index=upstream_index,
            traffic_split=traffic_split,
            crash_view=self._crash_view,
            rng=rng,
        )
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._round_robin = WeightedRoundRobin()
        self._route_table: RouteTable | None = None
        #: priorities of routes within one of an account; None without accounts
        self._priorities_per_account: int | None = None
        self._response_count = 0
        self._fairness = PriorityFairness()
        self._prior_attempt_time = PriorAttemptTime()
        self._response_times = ResponseTimes()
        self._stop_deadline: float | None = None
        self._timeouts: set[asyncio.Timeout] = set()
        #: new requests are refused, since the node would stop before they end
        self.stopping = False

    def set_config(self, config: Config) -> None:
        """Apply a configuration."""
        self._route_table = RouteTable(config)
        self._accounts.set_config(config)
        self._local.apply_config(config)
        self._priorities_per_account = None if config.accounts is None else ROUTE_PRIORITIES
        self._selector.set_even(is_even(self._cfg.load_balancing, config))

    def balances_evenly(self) -> bool:
        """Return whether calls are spread evenly, instead of by the least expected time."""
        return self._selector.is_even()

    def set_stop_deadline(self, stop_deadline: float) -> None:
        """Give each request a response before the node stops.

        :param stop_deadline: in s of the loop's clock.
        """
        self._stop_deadline = stop_deadline
        self._selector.stop_deadline = stop_deadline
        for timeout in self._timeouts:
            when = timeout.when()
            if when is not None and when > stop_deadline:
                timeout.reschedule(stop_deadline)

    def may_run_ahead(self, request: Request) -> bool:
        """Return whether a request may run while others before it on its connection run.

        Bulk responses are left out: one that waits would hold its slot at the upstream.
        """
        if self._route_table is None:
            return False
        route = self._route_table.find(request.head.host, request.head.path)
        return route is not None and route.kind is RouteKind.SAFE

    async def handle(self, request: Request) -> Reply:
        """Route a request and return the reply for its caller."""
        try:
            caller_headers = parse_caller_headers(request.head.headers)
        except FramingError:
            return Reply(400)
        trace = RequestTrace(caller_headers.request_id)
        route = self._find_route(request, caller_headers.keys, trace)
        if isinstance(route, Reply):
            return route
        if self._accounts.in_force:
            request = _without_account_headers(request)
        refusal_s = self._crash_view.get_refusal_time(request, self._loop.time())
        if refusal_s:
            return self._refuse(trace, CRASHING_REQUEST, refusal_s)
        if self._would_outlast_stop(route):
            return self._refuse(trace, "node-stopping", STOPPING_RETRY_AFTER_S)
        deadline_ms = caller_headers.deadline_ms
        caller_timeout_s = (_DEFAULT_DEADLINE_MS if deadline_ms is None else deadline_ms) / 1000
        deadline = request.received_at + min(caller_timeout_s, route.timeout_s)
        if self._stop_deadline is not None:
            deadline = min(deadline, self._stop_deadline)
        token = await self._accounts.acquire_token(deadline, trace)
        if isinstance(token, AccountRefusal):
            return self._refuse_for_account(trace, token)
        service = self._round_robin.next_service(route)
        self._budget.record_request(service, self._loop.time())
        self._set_objective(request, route, caller_timeout_s, trace)
        effective_route = self._prioritize(request, route, service, deadline, trace)
        try:
            reply = await self._forward_in_time(request, effective_route, service, deadline, trace)
        except TimeoutError:
            reply = self._fail(trace, "deadline-passed", 504)
        self._accounts.release_token(token, reply.status, trace)
        self._record_end(request, route, service, reply, trace)
        return reply

    def _set_objective(
        self, request: Request, route: Route, caller_timeout_s: float, trace: RequestTrace
    ) -> None:
        """Set when a request misses its latency objective, less the time of prior attempts."""
        trace.objective_deadline = (
            request.received_at
            + route.objective_s
            - self._prior_attempt_time.estimate(route.name, caller_timeout_s)
        )

    def _prioritize(
        self, request: Request, route: Route, service: str, deadline: float, trace: RequestTrace
    ) -> Route:
        """Set how long a request may wait, and return its route with the priority in effect."""
        trace.urgent = self._fairness.is_urgent(service, route.priority)
        trace.queue_deadline = request.received_at + compute_queue_timeout(
            objective_s=route.objective_s,
            caller_timeout_s=deadline - request.received_at,
            urgent=trace.urgent,
        )
        priority = self._fairness.get_effective_priority(
            service, route.priority, priorities_per_account=self._priorities_per_account
        )
        # The node of the upstream counts the turns of accounts, which its load doesn't show.
        trace.starved = self._priorities_per_account is not None and self._fairness.is_starved(
            service, route.priority
        )
        trace.nested = self._local.nested_routes.is_nested(route.name, self._loop.time())
        if trace.nested:
            priority = NESTED_PRIORITY
            trace.queue_deadline = deadline
            self._metrics.count("nested_calls", service)
            self._local.called_services.record_call()
        return route._replace(priority=priority)

    def _record_end(
        self, request: Request, route: Route, service: str, reply: Reply, trace: RequestTrace
    ) -> None:
        """Record whether a request was served, and how long it took."""
        served = reply.status not in _UNSERVED_STATUSES
        if trace.nested:
            late = is_late(self._loop.time() - request.received_at, route.objective_s)
            refused = not served and shows_lack_of_room(trace.failure_code)
            self._local.nested_call_limit.record_nested_call(service, failed=late or refused)
        else:
            self._fairness.record(service, route.priority, served=served)
        self._metrics.observe(
            "request_seconds", self._loop.time() - request.received_at, route.kind.value
        )

    def _find_route(
        self, request: Request, keys: Sequence[bytes], trace: RequestTrace
    ) -> Route | Reply:
        """Return the route of a request, or the reply to one that may use none.

        :param keys: values of the request's headers that hold a key.
        """
        if self._route_table is None:
            return self._refuse(trace, "config-unknown", _DEFAULT_RETRY_AFTER_S)
        if self.stopping:
            return self._refuse(trace, "node-stopping", STOPPING_RETRY_AFTER_S)
        route = self._route_table.find(request.head.host, request.head.path)
        if route is None:
            self._metrics.count("requests_unrouted")
            return Reply(404)
        trace.route = route.name
        if not route.served:
            return self._refuse(trace, "route-unreadable", _UNREADABLE_RETRY_AFTER_S)
        found = self._accounts.authenticate(route, keys, trace)
        if isinstance(found, AccountRefusal):
            return self._refuse_for_account(trace, found)
        return found

    def _would_outlast_stop(self, route: Route) -> bool:
        """Return whether the response to a new request may not be complete when the node stops."""
        if self._stop_deadline is None:
            return False
        remaining_s = self._stop_deadline - self._loop.time()
        return self._response_times.get_upper_bound(route.name) > remaining_s

    async def _forward_in_time(
        self, request: Request, route: Route, service: str, deadline: float, trace: RequestTrace
    ) -> Reply:
        async with asyncio.timeout_at(deadline) as timeout:
            self._timeouts.add(timeout)
            try:
                return await self._forward(request, route, service, deadline, trace)
            finally:
                self._timeouts.discard(timeout)

    async def _forward(
        self, request: Request, route: Route, service: str, deadline: float, trace: RequestTrace
    ) -> Reply:
        tried = TriedNodes()
        retry_after_s = _DEFAULT_RETRY_AFTER_S
        code = "no-upstream"
        failed_response: UpstreamResponse | None = None
        while len(trace.attempted_nodes) - tried.full_count < _MAX_ATTEMPTED_NODES:
            selection = self._select(request, route, service, tried, deadline, trace)
            if isinstance(selection, Refused):
                code, retry_after_s = selection.code, selection.retry_after_s or retry_after_s
                break
            node = selection.candidate.node
            may_wait = tried.may_wait(selection.wait_ms) or route.large_requests
            # A refusal for lack of room would come only after the body has crossed the link of the
            # node that refuses it, so large requests wait at the first one.
            sent_at = self._loop.time()
            outcome = await self._send(
                request, route, service, selection.candidate, deadline, trace, may_wait=may_wait
            )
            took_ms = (self._loop.time() - sent_at) * 1000
            trace.attempts.append(Attempt(node, took_ms, _describe_outcome(outcome)))
            if isinstance(outcome, Refused) and outcome.code in _FULL_CODES and not may_wait:
                # The refusal carried the upstream's load, so the next selection takes it into
                # account and selects another node or lets the request wait.
                tried.record_full(node, outcome.code)
                self._metrics.count("choice_full", "first" if tried.full_count == 1 else "later")
                continue
            if isinstance(outcome, UpstreamResponse):
                if not self._may_retry_failure(outcome, request, route, service, deadline, trace):
                    return self._deliver(request, route, outcome, trace)
                failed_response = outcome
                tried.excluded.add(node)
                continue
            tried.excluded.add(node)
            code = outcome.code
            if isinstance(outcome, Refused):
                retry_after_s = outcome.retry_after_s or retry_after_s
                if code in _FINAL_CODES or self._crash_view.is_on_trial(request):
                    break
                continue
            trace.deliveries += 1
            if isinstance(outcome, OutcomeUnknown):
                trace.may_have_run = True
            if not self._may_retry(outcome, request, route, service, trace):
                break
        if failed_response is not None:
            return self._deliver(request, route, failed_response, trace)
        if trace.may_have_run:
            return self._fail(trace, code, _STATUS_BY_CODE.get(code, 502))
        return self._refuse(trace, code, retry_after_s)

    def _select(
        self,
        request: Request,
        route: Route,
        service: str,
        tried: TriedNodes,
        deadline: float,
        trace: RequestTrace,
    ) -> Selection | Refused:
        while True:
            selection = self._selector.select(
                request,
                route,
                service,
                excluded=tried.list_excluded(),
                deadline=deadline,
                trace=trace,
            )
            if not isinstance(selection, Refused) or not tried.allow_queueing():
                break
        if isinstance(selection, Refused) and selection.code == "upstreams-excluded":
            return selection._replace(code=tried.held_back_code or selection.code)
        return selection

    def _may_retry(
        self, outcome: Outcome, request: Request, route: Route, service: str, trace: RequestTrace
    ) -> bool:
        if isinstance(outcome, OutcomeUnknown) and (
            route.kind is RouteKind.ONCE
            or outcome.code == "deadline-passed"
            or self._crash_view.is_suspected(request)
        ):
            return False
        if trace.deliveries >= route.max_attempts or not request.may_be_resent():
            return False
        return self._budget.try_acquire(service, self._loop.time())

    def _may_retry_failure(
        self,
        response: UpstreamResponse,
        request: Request,
        route: Route,
        service: str,
        deadline: float,
        trace: RequestTrace,
    ) -> bool:
        """Return whether a request is to be retried elsewhere after its response.

        Only 5xx responses are retried, and each retry is taken from the retry budget."""
        if (
            response.status < 500
            or response.body_stream is not None
            or route.kind is RouteKind.ONCE
            or not request.may_be_resent()
        ):
            return False
        trace.deliveries += 1
        trace.may_have_run = True
        remaining_ms = (deadline - self._loop.time()) * 1000
        if trace.deliveries >= route.max_attempts or remaining_ms < 2 * self._local.service_ms:
            return False
        return self._budget.try_acquire(
            service, self._loop.time(), fraction=_FAILED_RESPONSE_FRACTION
        )

    # -- calls -------------------------------------------------------------------------------

    async def _send(
        self,
        request: Request,
        route: Route,
        service: str,
        candidate: Candidate,
        deadline: float,
        trace: RequestTrace,
        *,
        may_wait: bool,
    ) -> Outcome:
        now = self._loop.time()
        trace.attempted_nodes.append(candidate.node)
        head = request.head
        call = Call(
            request_id=trace.request_id.encode("latin-1"),
            method=head.method,
            target=head.target,
            headers=head.forwarded,
            route=route.name,
            route_kind=route.kind,
            priority=route.priority,
            service=service,
            version=candidate.version,
            caller_service=self._cfg.service,
            remaining_ms=max(1, int((deadline - now) * 1000)),
            objective_ms=int((trace.objective_deadline - now) * 1000),
            queue_timeout_ms=int((trace.queue_deadline - now) * 1000) if may_wait else 0,
            urgent=trace.urgent,
            account=trace.account,
            nested=trace.nested,
        )
        self._selector.route_times.record_selection(route.name, candidate.service_ms)
        self._observe_load_age(candidate)
        outcome = await self._call_node(call, request, candidate)
        if not may_wait and _is_complete_success(outcome):
            took_ms = (self._loop.time() - now) * 1000
            service_ms = self._get_service_ms(candidate)
            self._selector.route_times.record_time(route.name, took_ms, service_ms)
        return outcome

    def _observe_load_age(self, candidate: Candidate) -> None:
        """Record how old the report was by which an upstream of a peer was selected."""
        if candidate.locality.same_vm:
            return
        source = "response" if candidate.load_is_private else "announcement"
        age_s = min(candidate.load_age_s, MAX_LOAD_AGE_S)
        self._metrics.observe("load_age_seconds", age_s, source)

    def _get_service_ms(self, candidate: Candidate) -> float:
        """Return the mean time of all requests at an upstream as last reported, in ms."""
        if candidate.locality.same_vm:
            return self._local.service_ms
        peer = self._link_manager.table.peers.get(candidate.node)
        return 0.0 if peer is None else peer.load.service_ms

    async def _call_node(self, call: Call, request: Request, candidate: Candidate) -> Outcome:
        if candidate.locality.same_vm:
            return await self._local.run(call, request.body, request.rest)
        peer = self._link_manager.table.peers.get(candidate.node)
        if peer is None or peer.link is None:
            return Refused("peer-gone")
        priority = call.priority
        peer.in_flight[priority] = peer.in_flight.get(priority, 0) + 1
        try:
            outcome = await peer.link.call(call, request.body, request.rest)
        finally:
            peer.in_flight[priority] -= 1
        if isinstance(outcome, Refused) and outcome.code in _RATE_CODES:
            peer.limited_until = self._loop.time() + outcome.retry_after_s
        if isinstance(outcome, Refused) and outcome.code in (
            "upstream-unreachable",
            "upstream-unavailable",
        ):
            peer.backoff_until = self._loop.time() + _PEER_BACKOFF_S
        return outcome

    # -- responses ---------------------------------------------------------------------------

    def _deliver(
        self, request: Request, route: Route, response: UpstreamResponse, trace: RequestTrace
    ) -> Reply:
        if response.body_stream is None:
            self._record_response_time(request, route)
        else:
            response.body_stream.on_finish = lambda: self._record_response_time(request, route)
        size_bytes = request.body_bytes + max(response.length, len(response.body))
        self._selector.record_size(route, size_bytes)
        self._metrics.count("requests_answered", f"{response.status // 100}xx")
        self._response_count += 1
        if response.status >= 500 or self._response_count % _RESPONSE_LOG_INTERVAL == 0:
            logger.info(
                "request-answered",
                extra={
                    "id": trace.request_id,
                    "route": route.name,
                    "status": response.status,
                    "tried": trace.attempted_nodes,
                    "attempts": trace.describe_attempts(),
                    "took_ms": round((self._loop.time() - request.received_at) * 1000, 1),
                    **trace.describe_account(),
                },
            )
        return Reply(
            status=response.status,
            body=response.body,
            headers=response.headers,
            reason=response.reason,
            length=response.length,
            body_stream=response.body_stream,
        )

    def _record_response_time(self, request: Request, route: Route) -> None:
        self._response_times.record(route.name, self._loop.time() - request.received_at)

    def _refuse(
        self, trace: RequestTrace, code: str, retry_after_s: float, *, status: int = 503
    ) -> Reply:
        self._log_failure(trace, code, status)
        return Reply(status, headers=encode_retry_after(retry_after_s))

    def _refuse_for_account(self, trace: RequestTrace, refusal: AccountRefusal) -> Reply:
        if refusal.retry_after_s is None:
            return self._fail(trace, refusal.code, refusal.status)
        return self._refuse(trace, refusal.code, refusal.retry_after_s, status=refusal.status)

    def _fail(self, trace: RequestTrace, code: str, status: int) -> Reply:
        self._log_failure(trace, code, status)
        return Reply(status)

    def _log_failure(self, trace: RequestTrace, code: str, status: int) -> None:
        trace.failure_code = code
        self._metrics.count("requests_failed", code)
        logger.info(
            "request-failed",
            extra={
                "id": trace.request_id,
                "route": trace.route,
                "status": status,
                "code": code,
                "tried": trace.attempted_nodes,
                "attempts": trace.describe_attempts(),
                "arrivals": trace.deliveries,
                "config": self._route_table.version if self._route_table is not None else None,
                "decided": (
                    trace.last_decision.describe() if trace.last_decision is not None else None
                ),
                **trace.describe_account(),
            },
        )


def _without_account_headers(request: Request) -> Request:
    """Return the request without headers about accounts if it was read before there were any."""
    if request.excluded_headers is get_dropped_request_headers(accounts=True):
        return request
    forwarded = drop_account_headers(request.head.forwarded)
    return request._replace(head=request.head._replace(forwarded=forwarded))


def _is_complete_success(outcome: Outcome) -> bool:
    return (
        isinstance(outcome, UpstreamResponse)
        and outcome.status < 500
        and outcome.body_stream is None
    )


def _describe_outcome(outcome: Outcome) -> str:
    return str(outcome.status) if isinstance(outcome, UpstreamResponse) else outcome.code
