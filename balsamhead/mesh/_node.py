"""Assemble the components of a mesh node and run it until it is told to stop."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from typing import TYPE_CHECKING, Final

from balsamhead.errors import LogError, MalformedMessageError
from balsamhead.mesh._admission_exchange import AdmissionExchange
from balsamhead.mesh._budget import RetryBudget
from balsamhead.mesh._crash_archive import CrashArchive
from balsamhead.mesh._crash_exchange import CrashExchange
from balsamhead.mesh._crash_registry import CrashRegistry
from balsamhead.mesh._frames import Frame, FrameKind, decode_header
from balsamhead.mesh._freshness_exchange import FreshnessExchange
from balsamhead.mesh._internal_endpoints import DEFAULT_LIMITS, InternalEndpoints
from balsamhead.mesh._link_manager import LinkManager, PeerEventHandler
from balsamhead.mesh._metrics import MeshMetrics
from balsamhead.mesh._peers import Heartbeat, Hello, Peer, UpstreamView
from balsamhead.mesh._placement import Placement
from balsamhead.mesh._quota_exchange import QuotaExchange
from balsamhead.mesh._refusal_archive import RefusalArchive
from balsamhead.mesh._request_router import RequestRouter
from balsamhead.mesh._rollout_exchange import RolloutExchange
from balsamhead.mesh._server import HttpServer
from balsamhead.mesh._settings import MeshSettings
from balsamhead.mesh._stored_record import StoredRecord
from balsamhead.mesh._sync import STORE_RETRY_DELAY_S, OperatorSync
from balsamhead.mesh._traffic_split import TrafficSplit
from balsamhead.mesh._upstream import LocalUpstream
from balsamhead.mesh._upstream_index import UpstreamIndex
from balsamhead.mesh.model import (
    Limits,
    NodeRecord,
    OperatorState,
    UpstreamNotice,
)
from balsamhead.mesh.warmup import ColdReason
from balsamhead.platform.headers import drop_account_headers, get_dropped_request_headers
from balsamhead.platform.records import PlatformRecords
from balsamhead.platform.store import StoreClient
from balsamhead.util.boot_clock import read_boot_time
from balsamhead.util.positions import get_era, get_offset

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

    from balsamhead.mesh._calls import BodyRest, Call, Outcome
    from balsamhead.mesh._link import Link

__all__ = ("MeshNode",)

logger = logging.getLogger(__name__)

#: interval of the periodic tasks (evidence reports, rollout decisions), in s
_TICK_INTERVAL_S: Final = 0.2
#: interval at which the use of the upstream's slots is logged, in s
_SLOT_USAGE_INTERVAL_S: Final = 1.0
#: time over which nodes register again after the store was restored, in s
_REGISTRATION_SPREAD_S: Final = 1.0
#: longest time that readiness waits for links to the known nodes, in s
_READY_LINK_TIMEOUT_S: Final = 0.8
#: longest time after its start that a node waits for links before it acknowledges a departure, in s
_MAX_JOIN_S: Final = 2.5
#: shortest time that a stopping node keeps its caller port open, in s
_MIN_DRAIN_S: Final = 2.4
#: fraction of the stop deadline after which new requests are refused, so that accepted ones can
#: finish
_ACCEPTING_FRACTION: Final = 0.5
#: time before the stop deadline at which draining ends, finished or not, in s
_STOP_MARGIN_S: Final = 0.5
#: time before that at which the requests in progress get a response, in s
_RESPONSE_MARGIN_S: Final = 0.1
#: interval at which a stopping node checks whether it has drained, in s
_DRAIN_POLL_INTERVAL_S: Final = 0.05

#: settings that take effect without a restart
_RELOADABLE_SETTINGS: Final = (
    "retry_ratio",
    "retry_slack",
    "retry_window",
    "stop_deadline",
    "log_level",
)


class MeshNode(PeerEventHandler):
    """Own the components of a node and pass events between them."""

    def __init__(
        self,
        cfg: MeshSettings,
        *,
        records: PlatformRecords,
        store: StoreClient,
        rng: random.Random | None = None,
        read_boot_time: Callable[[], float] = read_boot_time,
    ) -> None:
        """Create a node that doesn't run yet.

        :param read_boot_time: returns a clock that runs on while the process is paused, in s.
        """
        self._cfg = cfg
        self._records = records
        self._store = store
        self._loop = asyncio.get_running_loop()
        rng = rng or random.Random(f"{cfg.node}/{time.time_ns()}")
        self._rng = rng
        self._own_record = NodeRecord(
            name=cfg.node,
            incarnation=time.time_ns() // 1_000_000,
            address=cfg.peer_address,
            data_centre=cfg.data_centre,
            region=cfg.region,
            service=cfg.service,
        )
        self._traffic_split = TrafficSplit()
        self._metrics = MeshMetrics()
        self._crash_registry = CrashRegistry(cfg.node)
        self._local_upstream = LocalUpstream(
            address=cfg.upstream_address,
            service=cfg.service,
            announce_interval_s=cfg.announce_interval,
            on_change=self._upstream_changed,
            on_result=lambda result: self._rollouts.add_result(result),
            metrics=self._metrics,
            crash_registry=self._crash_registry,
            read_boot_time=read_boot_time,
        )
        self._placement = Placement(self._own_record)
        self._local_upstream.placement_guard.placement = self._placement
        self._placement.on_own_evacuation_ended = lambda: self._local_upstream.assume_cold(
            ColdReason.EVACUATION
        )
        self._link_manager = LinkManager(self._own_record, self, rng=rng)
        self._admission_exchange = AdmissionExchange(
            self._local_upstream.nested_routes, link_manager=self._link_manager
        )
        self._crash_exchange = CrashExchange(self._crash_registry, link_manager=self._link_manager)
        self._refusal_archive = RefusalArchive(self._crash_registry, records)
        self._crash_archive = CrashArchive(cfg.node, self._crash_registry, records)
        self._stored_departures = StoredRecord(
            get_value=self._local_upstream.departures.list_newest,
            write=lambda departures: records.write_departures(cfg.node, departures),
            failure_event="departures-not-written",
        )
        self._budget = RetryBudget(
            ratio=cfg.retry_ratio,
            slack=cfg.retry_slack,
            window_s=cfg.retry_window,
            count_nodes=lambda: len(self._link_manager.table.peers) + 1,
        )
        self._upstream_index = UpstreamIndex(
            cfg,
            link_manager=self._link_manager,
            local=self._local_upstream,
            placement=self._placement,
            rng=rng,
        )
        self._local_upstream.crash_guard.is_trial_node = self._upstream_index.is_trial_node
        self._freshness = FreshnessExchange(
            lease_s=cfg.key_lease,
            link_manager=self._link_manager,
            list_sources=lambda: self._sync.list_freshness_sources(),
            read_boot_time=read_boot_time,
            rng=rng,
        )
        self._quotas = QuotaExchange(
            cfg.node,
            link_manager=self._link_manager,
            metrics=self._metrics,
            rng=rng,
            get_config=lambda: self._sync.state.config,
            is_ready=lambda: self._registered_once and self._has_joined(),
        )
        self._caller_side = RequestRouter(
            cfg,
            quotas=self._quotas,
            link_manager=self._link_manager,
            local=self._local_upstream,
            budget=self._budget,
            traffic_split=self._traffic_split,
            upstream_index=self._upstream_index,
            crash_registry=self._crash_registry,
            metrics=self._metrics,
            rng=rng,
            is_config_fresh=self._freshness.is_fresh,
        )
        self._rollouts = RolloutExchange(
            self._own_record,
            records,
            link_manager=self._link_manager,
            traffic_split=self._traffic_split,
            get_own_upstream=lambda: (
                self._describe_upstream(),
                self._local_upstream.get_load(),
            ),
        )
        self._sync = OperatorSync(
            self._own_record,
            records,
            link_manager=self._link_manager,
            traffic_split=self._traffic_split,
            on_change=self._apply_state,
            rng=rng,
            read_boot_time=read_boot_time,
            on_proof=self._freshness.add_read_proof,
        )
        self._caller_server = HttpServer(
            self._caller_side.handle,
            get_limits=self._get_limits,
            may_run_ahead=self._caller_side.may_run_ahead,
            dropped_headers=get_dropped_request_headers(accounts=False),
            streams_bodies=True,
        )
        self._internal_endpoints = InternalEndpoints(
            cfg,
            upstream=self._local_upstream,
            metrics=self._metrics,
            is_ready=self._is_ready,
            has_joined=self._has_joined,
            stored_departures=self._stored_departures,
        )
        self._stopped = asyncio.Event()
        self._stopping = False
        self._links_deadline = 0.0
        self._announced_upstream: UpstreamView | None = None
        self._announced_notice: UpstreamNotice | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        #: era of the store in which this node is registered; -1 while it is being registered
        self._registered_era = -1
        #: the records of all nodes have been read since the start
        self._registered_once = False
        self._started_at = self._loop.time()
        self._joined = False
        self._slot_usage_due_at = 0.0
        self._timers: list[asyncio.TimerHandle] = []
        self._frame_handlers = self._make_frame_handlers()

    # -- lifecycle -------------------------------------------------------------------------

    async def run(self) -> None:
        """Serve until :meth:`stop` is called, then drain and return."""
        await self._caller_server.start(self._cfg.caller_address)
        await self._internal_endpoints.start()
        await self._link_manager.start()
        self._register_gauges()
        logger.info("node-started", extra={"incarnation": self._own_record.incarnation})
        self._spawn(self._register_node())
        self._spawn(self._sync.run())
        self._tick()
        await self._stopped.wait()
        await self._drain()
        self._link_manager.stop()
        logger.info("node-stopped", extra={"running": self._local_upstream.running})

    def stop(self) -> None:
        """Begin a graceful stop; later calls have no effect."""
        if not self._stopping:
            logger.info("stop-begun", extra={"running": self._local_upstream.running})
            self._stopping = True
            self._local_upstream.stopping = True
            self._rollouts.stopping = True
            self._caller_server.close_after_responses()
            self._upstream_changed()
            self._stopped.set()

    def kill(self) -> None:
        """Cancel all tasks and stop listening at once, without draining."""
        for timer in self._timers:
            timer.cancel()
        for task in self._tasks:
            task.cancel()
        self._refusal_archive.stop()
        self._crash_archive.stop()
        self._stored_departures.stop()
        self._rollouts.stop()
        self._caller_server.stop_listening()
        self._internal_endpoints.stop_listening()
        self._link_manager.stop()

    def reload(self, cfg: MeshSettings) -> None:
        """Apply the settings that can change at run time; the others wait for the next start."""
        changed = [
            key for key, old, new in zip(cfg._fields, self._cfg, cfg, strict=True) if old != new
        ]
        at_next_start = [key for key in changed if key not in _RELOADABLE_SETTINGS]
        logger.info("settings-reloaded", extra={"changed": changed, "at_next_start": at_next_start})
        self._cfg = self._cfg._replace(**{key: getattr(cfg, key) for key in _RELOADABLE_SETTINGS})
        self._budget.configure(
            ratio=cfg.retry_ratio, slack=cfg.retry_slack, window_s=cfg.retry_window
        )
        logging.getLogger().setLevel(cfg.log_level.upper())

    async def _drain(self) -> None:
        started_at = self._loop.time()
        deadline = started_at + self._cfg.stop_deadline - _STOP_MARGIN_S
        self._caller_side.set_stop_deadline(deadline - _RESPONSE_MARGIN_S)
        while self._loop.time() < deadline:
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)
            elapsed_s = self._loop.time() - started_at
            if elapsed_s > self._cfg.stop_deadline * _ACCEPTING_FRACTION:
                self._caller_side.stopping = True
            if elapsed_s < _MIN_DRAIN_S:
                continue
            self._caller_server.close_idle()
            if not self._caller_server.count_busy() and not self._local_upstream.running:
                break
        self._caller_server.stop_listening()

    async def _register_node(self) -> None:
        """Write this node's record, then read those of all nodes.

        Of two nodes that register at the same time, the later one thus reads the other's record.
        """
        written_era = -1
        while True:
            try:
                if written_era < self._store.era:
                    await self._records.write_node(self._own_record)
                    written_era = self._store.era
                directory = await self._records.read_directory()
                if written_era == self._store.era:
                    break
            except LogError as exc:
                self._sync.record_store_result(exc)
                await asyncio.sleep(STORE_RETRY_DELAY_S)
        for record in directory.nodes:
            self._link_manager.add_node(record)
        self._refusal_archive.restore(directory.refusals)
        own_departures = directory.departures.get(self._cfg.node, ())
        self._local_upstream.restore_departures(own_departures)
        self._stored_departures.set_stored(own_departures)
        self._crash_archive.restore(directory.crash_reports)
        self._rollouts.restore_withdrawn(directory.withdrawn)
        self._links_deadline = self._loop.time() + _READY_LINK_TIMEOUT_S
        self._registered_era = written_era
        self._registered_once = True
        logger.info("nodes-loaded", extra={"nodes": len(directory.nodes), "era": written_era})

    async def _register_again(self) -> None:
        """Register in a later era of the store, which may have lost the record of this node."""
        await asyncio.sleep(self._rng.uniform(0.0, _REGISTRATION_SPREAD_S))
        await self._register_node()

    def _apply_state(self, state: OperatorState) -> None:
        self._placement.apply(state)
        self._upstream_index.apply_placement()
        self._local_upstream.apply_placement()
        if state.config is not None:
            self._caller_side.set_config(state.config)
            cold_starts = state.config.cold_starts or {}
            self._local_upstream.cold_guard.set_cold_start(cold_starts.get(self._cfg.service))
            self._upstream_index.set_cold_starts(cold_starts)
            accounts = state.config.accounts is not None
            self._caller_server.set_dropped_headers(get_dropped_request_headers(accounts=accounts))
        self._freshness.set_state(state)
        if -1 < self._registered_era < get_era(state.offset):
            self._registered_era = -1
            self._spawn(self._register_again())
        self._rollouts.record_orders(state.orders.values())

    # -- ticks -----------------------------------------------------------------------------

    def _tick(self) -> None:
        # schedule the next run first, so that an exception here does not end the series
        self._timers[:] = [self._loop.call_later(_TICK_INTERVAL_S, self._tick)]
        self._sync.pull_if_behind()
        self._local_upstream.cold_guard.update()
        self._freshness.update()
        if self._describe_upstream() != self._announced_upstream:
            self._upstream_changed()
        self._rollouts.report_evidence()
        self._rollouts.advance(self._sync.state.orders.values())
        self._crash_registry.expire(self._loop.time())
        if self._registered_era > -1:
            peers = self._link_manager.table.peers.values()
            self._placement.report_unknown_places(peer.record for peer in peers)
        self._quotas.update()
        if self._loop.time() >= self._slot_usage_due_at:
            self._slot_usage_due_at = self._loop.time() + _SLOT_USAGE_INTERVAL_S
            self._local_upstream.log_slot_usage()
            self._crash_archive.update()

    def _upstream_changed(self) -> None:
        self._stored_departures.update()
        notice = self._local_upstream.get_notice()
        if notice is not None and notice != self._announced_notice:
            self._announced_notice = notice
            self._link_manager.announce_notice(notice)
        upstream_view = self._describe_upstream()
        if upstream_view != self._announced_upstream:
            self._announced_upstream = upstream_view
            self._link_manager.announce_upstream(upstream_view)

    def _describe_upstream(self) -> UpstreamView | None:
        record = self._local_upstream.record
        if record is None:
            return None
        return UpstreamView(
            record.id,
            record.version,
            record.slots,
            self._local_upstream.accepts_requests(),
            self._local_upstream.is_in_slow_start(),
        )

    # -- peer events -----------------------------------------------------------------------

    def make_hello(self) -> Hello:
        """Return the first message that this node sends on a link."""
        return Hello(
            self._own_record,
            self._describe_upstream(),
            self._local_upstream.get_load(),
            self._sync.offset,
            self._stopping,
        )

    def make_heartbeat(self) -> Heartbeat:
        """Return the content of a heartbeat."""
        return Heartbeat(
            self._sync.offset,
            self._local_upstream.get_load(),
            self._sync.store_failed,
            self._traffic_split.checksum,
            self._stopping,
        )

    async def _run_call(self, call: Call, body: bytes, rest: BodyRest | None) -> Outcome:
        task = self._local_upstream.run(call, body, rest)
        try:
            return await task
        finally:
            self._link_manager.announce_load()
            self._admission_exchange.call_received(call)

    def run_call(self, call: Call, body: bytes, rest: BodyRest | None) -> Awaitable[Outcome]:
        """Run a call of a peer on this node's upstream."""
        self._link_manager.announce_load()
        config = self._sync.state.config
        if config is not None and config.accounts is not None and not call.account:
            # the peer may not know yet that there are accounts
            call = call._replace(headers=drop_account_headers(call.headers))
        return self._run_call(call, body, rest)

    def peer_linked(self, peer: Peer, link: Link) -> None:
        """Send the peer the notice of this node's upstream, and the last one of its own."""
        if self._announced_notice is not None:
            link.send(FrameKind.UPSTREAM_NOTICE, 0, self._announced_notice)
        if peer.notice is not None:
            link.send(FrameKind.UPSTREAM_RECALL, 0, peer.notice)
        self._crash_exchange.send_known(link)
        self._sync.peer_linked(link)
        self._freshness.peer_linked(link)
        self._rollouts.send_withdrawn(link)

    def peer_state_received(self, peer: Peer, link: Link) -> None:
        """Request the operator's state if the peer's is newer; send the rollouts if they differ."""
        if peer.offset > self._sync.offset:
            self._sync.pull_if_behind()
        if peer.rollout_checksum != self._traffic_split.checksum:
            self._rollouts.send_states(link)

    def frame_received(self, peer: Peer, link: Link, frame: Frame) -> None:
        """Handle a frame about the configuration or a rollout.

        :raises MalformedMessageError: the kind is unknown or the frame can't be decoded.
        """
        handle = self._frame_handlers.get(frame.kind)
        if handle is None:
            raise MalformedMessageError(
                f"unknown frame kind {frame.kind}", step="take-frame", peer=link.peer
            )
        handle(peer, link, frame)

    def _make_frame_handlers(self) -> dict[int, Callable[[Peer, Link, Frame], None]]:
        return {
            FrameKind.CONFIG: lambda peer, link, frame: self._sync.handle_delta(peer, link, frame),
            FrameKind.CONFIG_PULL: self._send_delta,
            FrameKind.STORE_NEAR: lambda peer, _, frame: self._sync.handle_store_near(peer, frame),
            FrameKind.FRESHNESS_QUERY: lambda _, link, frame: self._freshness.handle_query(
                link, frame
            ),
            FrameKind.FRESHNESS: lambda _, link, frame: self._freshness.handle_response(
                link, frame
            ),
            FrameKind.ROLLOUT: lambda _, link, frame: self._rollouts.handle_state(frame, link),
            FrameKind.EVIDENCE: lambda _, link, frame: self._rollouts.handle_evidence(frame, link),
            FrameKind.WITHDRAWN: lambda _, link, frame: self._rollouts.handle_withdrawn(
                frame, link
            ),
            FrameKind.ADMISSION: lambda _, link, frame: (
                self._admission_exchange.handle_nested_route(link, frame)
            ),
            FrameKind.CRASHES: lambda _, link, frame: self._crash_exchange.handle_crashes(
                link, frame
            ),
            FrameKind.CRASHES_CLEARED: lambda _, link, frame: self._crash_exchange.handle_cleared(
                link, frame
            ),
            FrameKind.QUOTA_REQUEST: self._quotas.handle_request,
            FrameKind.QUOTA_GRANT: self._quotas.handle_grant,
            FrameKind.UPSTREAM_RECALL: self._recall_notice,
        }

    def _send_delta(self, peer: Peer, link: Link, frame: Frame) -> None:
        del peer
        self._sync.send_delta(link, decode_header(frame, tuple[int], peer=link.peer)[0])

    def _recall_notice(self, peer: Peer, link: Link, frame: Frame) -> None:
        del peer
        notice = decode_header(frame, UpstreamNotice, peer=link.peer)
        self._local_upstream.recall_notice(notice)

    # -- endpoints for the platform --------------------------------------------------------

    def _get_limits(self) -> Limits:
        config = self._sync.state.config
        return DEFAULT_LIMITS if config is None else config.limits

    def _is_ready(self) -> bool:
        if self._stopping or self._sync.state.config is None:
            return False
        return self._has_joined()

    def _has_joined(self) -> bool:
        """Return whether this node has been linked to a peer, or has waited for links enough."""
        if not self._joined:
            now, deadline = self._loop.time(), self._links_deadline
            linked = deadline > 0.0 and (
                self._link_manager.count_pending_links() == 0 or now >= deadline
            )
            waited = now - self._started_at >= _MAX_JOIN_S
            self._joined = linked or waited or bool(self._link_manager.list_live())
        return self._joined

    def _register_gauges(self) -> None:
        register_gauge = self._metrics.register_gauge
        register_gauge("config_offset", lambda: {"": get_offset(self._sync.offset)})
        register_gauge("store_era", lambda: {"": self._store.era})
        register_gauge("key_proof_age_seconds", self._freshness.read_gauge)
        register_gauge("requests_running", lambda: {"": self._local_upstream.running})
        register_gauge("requests_waiting", lambda: {"": self._local_upstream.get_load().waiting})
        register_gauge(
            "new_requests_limit", self._local_upstream.nested_call_limit.describe_new_limit
        )
        register_gauge("requests_suspected", lambda: {"": len(self._crash_registry)})
        register_gauge(
            "requests_refused_for_crashes", lambda: {"": self._crash_registry.count_refused()}
        )
        register_gauge(
            "data_centres_evacuated", lambda: {"": len(self._placement.evacuation.evacuated)}
        )
        register_gauge(
            "load_balancing_even", lambda: {"": float(self._caller_side.balances_evenly())}
        )
        register_gauge("links_live", lambda: {"": len(self._link_manager.list_live())})
        register_gauge("store_calls", lambda: {key[1:]: n for key, n in self._store.calls.items()})

    def _spawn(self, coro: Coroutine[None, None, None]) -> None:
        task = self._loop.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._finish_task)

    def _finish_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (exc := task.exception()) is not None:
            logger.error("task-failed", exc_info=exc)
