"""Carry a caller's request: find its route, choose an upstream, repeat what may be repeated."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final

from balsamhead.mesh._attempts import SpentTime
from balsamhead.mesh._calls import Answer, Call, Lost, Outcome, Refused
from balsamhead.mesh._choice import Candidate, Choice, choose
from balsamhead.mesh._fairness import RankFairness
from balsamhead.mesh._patience import get_patience, get_room
from balsamhead.mesh._routes import RouteTable, WeightedParts
from balsamhead.mesh._server import Reply, Request
from balsamhead.mesh._trace import Decision, Trace
from balsamhead.mesh.model import Config, Route, RouteKind
from balsamhead.platform.headers import encode_retry_after, read_caller_fields
from balsamhead.util.heads import FramingError

if TYPE_CHECKING:
    import random

    from balsamhead.mesh._budget import RetryBudget
    from balsamhead.mesh._directory import Directory
    from balsamhead.mesh._fleet import Fleet
    from balsamhead.mesh._metrics import MeshMetrics
    from balsamhead.mesh._settings import MeshSettings
    from balsamhead.mesh._shares import Shares
    from balsamhead.mesh._upstream import LocalUpstream

__all__ = ("CallerSide",)

logger = logging.getLogger(__name__)

#: how long a caller is assumed to wait when it doesn't say, in ms
_DEFAULT_DEADLINE_MS: Final = 10_000
#: nodes that are asked before a request is refused
_MAX_TRIES: Final = 3
#: nodes that may turn out to be full, besides, before a request waits at one
_MAX_FULL: Final = 4
#: weight of a new sample in the size of a route's requests and answers
_SIZE_WEIGHT: Final = 0.05
#: sizes that are assumed at first, in bytes
_FIRST_SIZE: Final = 1200.0
_FIRST_BULK_SIZE: Final = 100_000.0
#: bytes of heads and frames of a call between nodes
_OVERHEAD_BYTES: Final = 600.0
#: time to come back that a refusal names, in s, when nothing better is known
_RETRY_AFTER_S: Final = 0.1
#: the same when the node stops, since another node can take the request at once
_STOPPING_RETRY_S: Final = 0.02
#: how long a peer that could not reach its upstream gets no calls, in s
_PAUSE_S: Final = 0.3
#: statuses of requests that were not served for want of room or time
_UNSERVED: Final = (503, 504)
#: of how many requests with an answer one is logged
_LOG_ONE_IN: Final = 200
#: part of the budget of repeats that answered failures may use, since their inner calls repeat too
_FAILURE_PART: Final = 0.2


class CallerSide:
    """Answer the requests that begin on this VM."""

    def __init__(
        self,
        cfg: MeshSettings,
        *,
        fleet: Fleet,
        local: LocalUpstream,
        budget: RetryBudget,
        shares: Shares,
        directory: Directory,
        metrics: MeshMetrics,
        rng: random.Random,
    ) -> None:
        self._cfg = cfg
        self._fleet = fleet
        self._local = local
        self._budget = budget
        self._shares = shares
        self._directory = directory
        self._metrics = metrics
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._parts = WeightedParts()
        self._sizes: dict[str, float] = {}
        self._table: RouteTable | None = None
        self._answered = 0
        self._fairness = RankFairness()
        self._spent = SpentTime()
        #: requests are refused, since the node ends before they would
        self.stopping = False

    def set_config(self, config: Config) -> None:
        """Put a configuration in force."""
        self._table = RouteTable(config)

    async def handle(self, request: Request) -> Reply:
        """Answer a request."""
        try:
            fields = read_caller_fields(request.start.values)
        except FramingError:
            return Reply(400)
        trace = Trace(fields.request_id)
        if self._table is None:
            return self._refuse(trace, "config-unknown", _RETRY_AFTER_S)
        if self.stopping:
            return self._refuse(trace, "node-stopping", _STOPPING_RETRY_S)
        route = self._table.find(request.start.host, request.start.path)
        if route is None:
            self._metrics.count("requests_unrouted")
            return Reply(404)
        trace.route = route.name
        deadline_ms = fields.deadline_ms
        wait_s = (_DEFAULT_DEADLINE_MS if deadline_ms is None else deadline_ms) / 1000
        ends_at = request.read_at + min(wait_s, route.timeout_s)
        service = self._parts.deal(route)
        self._budget.count_request(service, self._loop.time())
        try:
            trace.objective_at = (
                request.read_at + route.objective_s - self._spent.estimate(route.name, wait_s)
            )
            trace.urgent = self._fairness.is_urgent(service, route.priority)
            trace.patience_ends_at = request.read_at + get_patience(
                objective_s=route.objective_s, wait_s=ends_at - request.read_at, urgent=trace.urgent
            )
            ranked = route._replace(priority=self._fairness.get_rank(service, route.priority))
            async with asyncio.timeout_at(ends_at):
                reply = await self._carry(request, ranked, service, ends_at, trace)
        except TimeoutError:
            reply = self._fail(trace, "deadline-passed", 504)
        served = reply.status not in _UNSERVED
        self._fairness.record(service, route.priority, served=served)
        self._metrics.observe(
            "request_seconds", self._loop.time() - request.read_at, route.kind.value
        )
        return reply

    async def _carry(
        self, request: Request, route: Route, service: str, ends_at: float, trace: Trace
    ) -> Reply:
        excluded: set[str] = set()
        retry_after_s = _RETRY_AFTER_S
        code = "no-upstream"
        kept: Answer | None = None
        full = 0
        while len(trace.tried) - full < _MAX_TRIES:
            found = self._choose(route, service, excluded, ends_at, trace)
            if isinstance(found, Refused):
                code, retry_after_s = found.code, found.retry_after_s or retry_after_s
                break
            node = found.candidate.node
            may_wait = found.wait_ms > 0 or full >= _MAX_FULL
            outcome = await self._send(
                request, route, service, found.candidate, ends_at, trace, may_wait=may_wait
            )
            if isinstance(outcome, Refused) and outcome.code == "upstream-full" and not may_wait:
                # its load is known now, so that the next choice goes elsewhere or waits
                full += 1
                continue
            if isinstance(outcome, Answer):
                if not self._may_better(outcome, route, service, ends_at, trace):
                    return self._deliver(request, route, outcome, trace)
                kept = outcome
                excluded.add(node)
                continue
            excluded.add(node)
            code = outcome.code
            if isinstance(outcome, Refused):
                retry_after_s = outcome.retry_after_s or retry_after_s
                continue
            trace.arrivals += 1
            if isinstance(outcome, Lost):
                trace.maybe_run = True
            if not self._may_repeat(outcome, route, service, trace):
                break
        if kept is not None:
            return self._deliver(request, route, kept, trace)
        if trace.maybe_run:
            return self._fail(trace, code, 504 if code == "deadline-passed" else 502)
        return self._refuse(trace, code, retry_after_s)

    def _may_repeat(self, outcome: Outcome, route: Route, service: str, trace: Trace) -> bool:
        if isinstance(outcome, Lost) and (
            route.kind is RouteKind.ONCE or outcome.code == "deadline-passed"
        ):
            return False
        if trace.arrivals >= route.max_attempts:
            return False
        return self._budget.take(service, self._loop.time())

    def _may_better(
        self, answer: Answer, route: Route, service: str, ends_at: float, trace: Trace
    ) -> bool:
        """Answer whether a failure of the upstream is to be tried again elsewhere."""
        if answer.status < 500 or answer.rest is not None or route.kind is RouteKind.ONCE:
            return False
        trace.arrivals += 1
        trace.maybe_run = True
        left_ms = (ends_at - self._loop.time()) * 1000
        if trace.arrivals >= route.max_attempts or left_ms < 2 * self._local.service_ms:
            return False
        return self._budget.take(service, self._loop.time(), part=_FAILURE_PART)

    # -- choice ------------------------------------------------------------------------------

    def _choose(
        self,
        route: Route,
        service: str,
        excluded: set[str],
        ends_at: float,
        trace: Trace,
    ) -> Choice | Refused:
        now = self._loop.time()
        versions = self._directory.list_versions(service, now)
        if not versions:
            return Refused("no-upstream")
        chosen = self._shares.select(service, versions)
        rows = self._directory.list_candidates(
            service,
            chosen,
            excluded=excluded,
            priority=route.priority,
            stays_near=route.kind is RouteKind.BULK,
            now=now,
        )
        size = self._sizes.get(route.name)
        if size is None:
            size = _FIRST_BULK_SIZE if route.kind is RouteKind.BULK else _FIRST_SIZE
        found = choose(rows, kind=route.kind, size_bytes=size + _OVERHEAD_BYTES, rng=self._rng)
        if found is None:
            return Refused("upstreams-excluded")
        left_ms = (ends_at - now) * 1000
        objective_ms = (trace.objective_at - now) * 1000
        room_ms = get_room(
            objective_ms=objective_ms,
            patience_ms=(trace.patience_ends_at - now) * 1000,
            left_ms=left_ms,
            run_ms=found.candidate.service_ms,
            bound_by_objective=found.candidate.saturated and not trace.urgent,
        )
        trace.decided = Decision(found, room_ms, len(rows))
        if found.wait_ms > max(room_ms, 0.0) and found.wait_ms > 0:
            return Refused("upstreams-busy", min(found.wait_ms / 1000, left_ms / 3000))
        return found

    async def _send(
        self,
        request: Request,
        route: Route,
        service: str,
        found: Candidate,
        ends_at: float,
        trace: Trace,
        *,
        may_wait: bool,
    ) -> Outcome:
        now = self._loop.time()
        trace.tried.append(found.node)
        start = request.start
        call = Call(
            request_id=trace.request_id.encode("latin-1"),
            method=start.method,
            target=start.target,
            headers=start.forwarded,
            route=route.name,
            kind=route.kind,
            priority=route.priority,
            service=service,
            version=found.version,
            caller_service=self._cfg.service,
            left_ms=max(1, int((ends_at - now) * 1000)),
            objective_ms=int((trace.objective_at - now) * 1000),
            patience_ms=int((trace.patience_ends_at - now) * 1000) if may_wait else 0,
            urgent=trace.urgent,
        )
        if found.distance.own:
            return await self._local.run(call, request.body)
        peer = self._fleet.table.peers.get(found.node)
        if peer is None or peer.link is None:
            return Refused("peer-gone")
        rank = route.priority
        peer.mine[rank] = peer.mine.get(rank, 0) + 1
        try:
            outcome = await peer.link.call(call, request.body)
        finally:
            peer.mine[rank] -= 1
        if isinstance(outcome, Refused) and outcome.code in (
            "upstream-unreachable",
            "upstream-unavailable",
        ):
            peer.paused_until = self._loop.time() + _PAUSE_S
        return outcome

    # -- answers -----------------------------------------------------------------------------

    def _deliver(self, request: Request, route: Route, answer: Answer, trace: Trace) -> Reply:
        size = len(request.body) + max(answer.length, len(answer.body))
        known = self._sizes.get(route.name, float(size))
        self._sizes[route.name] = known + _SIZE_WEIGHT * (size - known)
        self._metrics.count("requests_answered", f"{answer.status // 100}xx")
        self._answered += 1
        if answer.status >= 500 or self._answered % _LOG_ONE_IN == 0:
            logger.info(
                "request-answered",
                extra={
                    "id": trace.request_id,
                    "route": route.name,
                    "status": answer.status,
                    "tried": trace.tried,
                    "took_ms": round((self._loop.time() - request.read_at) * 1000, 1),
                },
            )
        return Reply(
            status=answer.status,
            body=answer.body,
            headers=answer.headers,
            reason=answer.reason,
            length=answer.length,
            rest=answer.rest,
        )

    def _refuse(self, trace: Trace, code: str, retry_after_s: float) -> Reply:
        self._log(trace, code, 503)
        return Reply(503, headers=encode_retry_after(retry_after_s))

    def _fail(self, trace: Trace, code: str, status: int) -> Reply:
        self._log(trace, code, status)
        return Reply(status)

    def _log(self, trace: Trace, code: str, status: int) -> None:
        self._metrics.count("requests_failed", code)
        logger.info(
            "request-failed",
            extra={
                "id": trace.request_id,
                "route": trace.route,
                "status": status,
                "code": code,
                "tried": trace.tried,
                "arrivals": trace.arrivals,
                "config": self._table.version if self._table is not None else None,
                "decided": trace.decided.describe() if trace.decided is not None else None,
            },
        )
