"""Assemble a mesh node and run it until it is told to stop."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.errors import LogError, MalformedMessageError
from balsamhead.mesh._budget import RetryBudget
from balsamhead.mesh._caller import CallerSide
from balsamhead.mesh._directory import Directory
from balsamhead.mesh._evidence import EvidenceRow, OutcomeCounts
from balsamhead.mesh._fleet import Fleet, FleetEvents
from balsamhead.mesh._frames import Frame, FrameKind, decode_head, encode_frame
from balsamhead.mesh._metrics import MeshMetrics
from balsamhead.mesh._peers import Beat, Hello, Peer, UpstreamView, rank_nodes
from balsamhead.mesh._rollouts import RolloutController, RolloutView
from balsamhead.mesh._server import HttpServer, Reply, Request
from balsamhead.mesh._settings import MeshSettings
from balsamhead.mesh._shares import Shares
from balsamhead.mesh._sync import STORE_PAUSE_S, OperatorSync
from balsamhead.mesh._upstream import LocalUpstream
from balsamhead.mesh.model import Limits, NodeRecord, OperatorState, Phase, Rollout
from balsamhead.platform.headers import REQUEST_DROPPED
from balsamhead.platform.messages import (
    decode_heartbeat,
    encode_heartbeat_answer,
    parse_announcement_path,
)
from balsamhead.platform.records import PlatformRecords
from balsamhead.platform.store import StoreClient

if TYPE_CHECKING:
    from collections.abc import Awaitable, Coroutine

    from balsamhead.mesh._calls import Call, Outcome
    from balsamhead.mesh._link import Link

__all__ = ("MeshNode",)

logger = logging.getLogger(__name__)

#: time between runs of the decisions, in s
_TICK_S: Final = 0.2
#: longest wait for links to the known nodes before the node is ready, in s
_LINK_WAIT_S: Final = 0.8
#: how long a stopping node goes on taking requests, in s
_LINGER_S: Final = 2.4
#: part of the stop's time after which requests are refused, so that those taken before can end
_TAKING_PART: Final = 0.5
#: time before the forced end at which a stopping node gives up, in s
_STOP_MARGIN_S: Final = 0.5
#: pause between looks at whether a stopping node is done, in s
_STOP_POLL_S: Final = 0.05

#: settings that a running node takes over
_RELOADED: Final = (
    "retry_ratio",
    "retry_slack",
    "retry_window",
    "stop_deadline",
    "log_level",
)
_DEFAULT_LIMITS: Final = Limits(16_384, 64 << 20, 10.0, 60.0)


class _RolloutHead(NamedTuple):
    rollout: Rollout
    elapsed_s: float


class _EvidenceHead(NamedTuple):
    service: str
    rows: list[EvidenceRow]


class MeshNode(FleetEvents):
    """Hold the parts of a node and pass on what they tell each other."""

    def __init__(
        self,
        cfg: MeshSettings,
        *,
        records: PlatformRecords,
        store: StoreClient,
        rng: random.Random | None = None,
    ) -> None:
        self._cfg = cfg
        self._records = records
        self._store = store
        self._loop = asyncio.get_running_loop()
        rng = rng or random.Random(f"{cfg.node}/{time.time_ns()}")
        self._own = NodeRecord(
            name=cfg.node,
            incarnation=time.time_ns() // 1_000_000,
            address=cfg.peer_address,
            data_centre=cfg.data_centre,
            region=cfg.region,
            service=cfg.service,
        )
        self._shares = Shares()
        self._counts = OutcomeCounts()
        self._metrics = MeshMetrics()
        self._local = LocalUpstream(
            address=cfg.upstream_address,
            service=cfg.service,
            announce_interval_s=cfg.announce_interval,
            on_change=self._upstream_changed,
            on_result=self._counts.add,
        )
        self._fleet = Fleet(self._own, self, rng=rng)
        self._budget = RetryBudget(
            ratio=cfg.retry_ratio, slack=cfg.retry_slack, window_s=cfg.retry_window
        )
        self._caller = CallerSide(
            cfg,
            fleet=self._fleet,
            local=self._local,
            budget=self._budget,
            shares=self._shares,
            directory=Directory(cfg, fleet=self._fleet, local=self._local, rng=rng),
            metrics=self._metrics,
            rng=rng,
        )
        self._rollouts = RolloutController(self._shares, records, publish=self._publish_rollout)
        self._sync = OperatorSync(
            cfg.node,
            records,
            fleet=self._fleet,
            shares=self._shares,
            on_change=self._put_in_force,
        )
        self._callers = HttpServer(
            self._caller.handle, get_limits=self._get_limits, dropped=REQUEST_DROPPED
        )
        self._others = [
            HttpServer(self._answer_ready, get_limits=lambda: _DEFAULT_LIMITS),
            HttpServer(self._answer_announcement, get_limits=lambda: _DEFAULT_LIMITS),
            HttpServer(self._answer_metrics, get_limits=lambda: _DEFAULT_LIMITS),
        ]
        self._stopped = asyncio.Event()
        self._stopping = False
        self._links_due = 0.0
        self._sent_view: UpstreamView | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._was_ready = False
        self._timers: list[asyncio.TimerHandle] = []

    # -- life --------------------------------------------------------------------------------

    async def run(self) -> None:
        """Serve until the node is told to stop."""
        cfg = self._cfg
        await self._callers.start(cfg.caller_address)
        ready, announce, metrics = self._others
        await ready.start(cfg.ready_address)
        await announce.start(cfg.announce_address)
        if cfg.metrics_port:
            host = cfg.peer_address.rpartition(":")[0]
            await metrics.start(f"{host}:{cfg.metrics_port}")
        await self._fleet.start()
        self._watch_gauges()
        logger.info("node-started", extra={"incarnation": self._own.incarnation})
        self._spawn(self._join())
        self._spawn(self._sync.run())
        self._tick()
        await self._stopped.wait()
        await self._drain()
        self._fleet.stop()
        logger.info("node-stopped", extra={"running": self._local.running})

    def stop(self) -> None:
        """Begin to stop."""
        if not self._stopping:
            logger.info("stop-begun", extra={"running": self._local.running})
            self._stopping = True
            self._local.stopping = True
            self._callers.closing = True
            self._upstream_changed()
            self._stopped.set()

    def kill(self) -> None:
        """Drop everything at once, as if the process had ended."""
        for timer in self._timers:
            timer.cancel()
        for task in self._tasks:
            task.cancel()
        for server in (self._callers, *self._others):
            server.stop_listening()
        self._fleet.stop()

    def reload(self, cfg: MeshSettings) -> None:
        """Put in force what a running node can change; the rest waits for its next start."""
        changed = [
            key for key, old, new in zip(cfg._fields, self._cfg, cfg, strict=True) if old != new
        ]
        later = [key for key in changed if key not in _RELOADED]
        logger.info("settings-reloaded", extra={"changed": changed, "at_next_start": later})
        self._cfg = self._cfg._replace(**{key: getattr(cfg, key) for key in _RELOADED})
        self._budget.configure(
            ratio=cfg.retry_ratio, slack=cfg.retry_slack, window_s=cfg.retry_window
        )
        logging.getLogger().setLevel(cfg.log_level.upper())

    async def _drain(self) -> None:
        began = self._loop.time()
        ends_at = began + self._cfg.stop_deadline - _STOP_MARGIN_S
        while self._loop.time() < ends_at:
            await asyncio.sleep(_STOP_POLL_S)
            passed = self._loop.time() - began
            if passed > self._cfg.stop_deadline * _TAKING_PART:
                self._caller.stopping = True
            if passed < _LINGER_S:
                continue
            self._callers.close_idle()
            if not self._callers.count_busy() and not self._local.running:
                break
        self._callers.stop_listening()

    async def _join(self) -> None:
        written = False
        while True:
            try:
                if not written:
                    await self._records.write_node(self._own)
                    written = True
                nodes = await self._records.read_nodes()
                break
            except LogError as exc:
                self._sync.note_store(exc)
                await asyncio.sleep(STORE_PAUSE_S)
        for record in nodes:
            self._fleet.learn(record)
        self._links_due = self._loop.time() + _LINK_WAIT_S
        logger.info("nodes-listed", extra={"nodes": len(nodes)})

    def _put_in_force(self, state: OperatorState) -> None:
        if state.config is not None:
            self._caller.set_config(state.config)
        for order in state.orders.values():
            self._rollouts.hear_order(order)

    # -- rollouts ----------------------------------------------------------------------------

    def _publish_rollout(self, rollout: Rollout) -> None:
        if self._shares.merge(rollout):
            self._fleet.broadcast(self._encode_rollout(rollout))

    def _encode_rollout(self, rollout: Rollout) -> bytes:
        elapsed_s = self._rollouts.get_elapsed(rollout.service)
        return encode_frame(FrameKind.ROLLOUT, 0, _RolloutHead(rollout, elapsed_s))

    def _take_rollout(self, head: _RolloutHead) -> None:
        if self._shares.merge(head.rollout):
            rollout = head.rollout
            self._rollouts.hear_elapsed(rollout, head.elapsed_s)
            logger.info(
                "rollout-heard",
                extra={
                    "service": rollout.service,
                    "version": rollout.version,
                    "phase": rollout.phase.value,
                    "share": rollout.share,
                },
            )

    def _find_decider(self, service: str) -> str:
        names = [peer.record.name for peer in self._fleet.list_live() if not peer.stopping]
        if not self._stopping:
            names.append(self._own.name)
        ranked = rank_nodes(names, f"rollout/{service}")
        return ranked[0] if ranked else ""

    def _report_evidence(self) -> None:
        rows = self._counts.take()
        rollout = self._shares.rollouts.get(self._cfg.service)
        if not rows or rollout is None or rollout.phase is not Phase.RUNNING:
            return
        decider = self._find_decider(rollout.service)
        if decider == self._own.name:
            self._rollouts.add_evidence(rollout.service, rows)
            return
        peer = self._fleet.table.peers.get(decider)
        link = self._fleet.get_link(peer) if peer is not None else None
        if link is not None:
            link.send(FrameKind.EVIDENCE, 0, _EvidenceHead(rollout.service, rows))

    def _decide_rollouts(self) -> None:
        for order in self._sync.state.orders.values():
            if self._find_decider(order.service) == self._own.name:
                self._rollouts.decide(order, self._view_rollout(order.service, order.version))

    def _view_rollout(self, service: str, version: str) -> RolloutView:
        new_ready = old_busy = 0
        own = self._make_view()
        rows = [(own, self._local.get_load())] if self._cfg.service == service else []
        for peer in self._fleet.table.peers.values():
            if peer.record.service == service and self._fleet.get_link(peer) is not None:
                rows.append((peer.upstream, peer.load))
        for view, load in rows:
            if view is None:
                continue
            if view.version == version:
                new_ready += view.accepts
            else:
                old_busy += load.running + load.waiting
        steps = self._shares.steps
        in_force = all(peer.steps == steps for peer in self._fleet.list_live())
        return RolloutView(new_ready, old_busy, in_force)

    # -- ticks -------------------------------------------------------------------------------

    def _tick(self) -> None:
        # first, so that a fault in one run does not end them all
        self._timers[:] = [self._loop.call_later(_TICK_S, self._tick)]
        live = self._fleet.list_live()
        self._budget.nodes = len(live) + 1
        if self._make_view() != self._sent_view:
            self._upstream_changed()
        self._report_evidence()
        self._decide_rollouts()

    def _upstream_changed(self) -> None:
        view = self._make_view()
        if view != self._sent_view:
            self._sent_view = view
            self._fleet.announce_upstream(view)

    def _make_view(self) -> UpstreamView | None:
        record = self._local.record
        if record is None:
            return None
        return UpstreamView(
            record.id, record.version, record.slots, self._local.accepts(), self._local.is_cold()
        )

    # -- what peers ask and say --------------------------------------------------------------

    def make_hello(self) -> Hello:
        """Return how the node introduces itself."""
        return Hello(
            self._own,
            self._make_view(),
            self._local.get_load(),
            self._sync.offset,
            self._stopping,
        )

    def make_beat(self) -> Beat:
        """Return what a heartbeat says."""
        return Beat(
            self._sync.offset,
            self._local.get_load(),
            self._sync.store_failed,
            self._shares.steps,
            self._stopping,
        )

    async def _run_call(self, call: Call, body: bytes) -> Outcome:
        task = self._local.run(call, body)
        try:
            return await task
        finally:
            self._fleet.announce_load()

    def run_call(self, call: Call, body: bytes) -> Awaitable[Outcome]:
        """Run a peer's call on this node's upstream."""
        self._fleet.announce_load()
        return self._run_call(call, body)

    def peer_heard(self, peer: Peer, link: Link) -> None:
        """Ask a peer for what it has and this node lacks."""
        if peer.offset > self._sync.offset:
            self._sync.pull(link)
        if peer.steps != self._shares.steps:
            for rollout in self._shares.rollouts.values():
                link.send_encoded(self._encode_rollout(rollout))

    def frame_received(self, peer: Peer, link: Link, frame: Frame) -> None:
        """Take in a frame about the configuration or a rollout."""
        match frame.kind:
            case FrameKind.CONFIG:
                self._sync.take_change(peer, link, frame)
            case FrameKind.CONFIG_PULL:
                self._sync.give_change(link, decode_head(frame, tuple[int], peer=link.peer)[0])
            case FrameKind.ROLLOUT:
                self._take_rollout(decode_head(frame, _RolloutHead, peer=link.peer))
            case FrameKind.EVIDENCE:
                evidence = decode_head(frame, _EvidenceHead, peer=link.peer)
                self._rollouts.add_evidence(evidence.service, evidence.rows)
            case _:
                raise MalformedMessageError(
                    f"unknown kind {frame.kind}", step="take-frame", peer=link.peer
                )

    # -- the platform's questions ------------------------------------------------------------

    def _get_limits(self) -> Limits:
        config = self._sync.state.config
        return _DEFAULT_LIMITS if config is None else config.limits

    def _is_ready(self) -> bool:
        if self._stopping or self._sync.state.config is None:
            return False
        if not self._was_ready:
            due = self._links_due
            linked = due > 0.0 and (self._fleet.count_unlinked() == 0 or self._loop.time() >= due)
            self._was_ready = linked or bool(self._fleet.list_live())
        return self._was_ready

    async def _answer_ready(self, request: Request) -> Reply:
        del request
        return Reply(200 if self._is_ready() else 503)

    async def _answer_metrics(self, request: Request) -> Reply:
        del request
        return Reply(200, self._metrics.render(), b"Content-Type: text/plain; version=0.0.4\r\n")

    async def _answer_announcement(self, request: Request) -> Reply:
        start = request.start
        upstream_id = parse_announcement_path(start.path)
        if upstream_id is None:
            return Reply(404)
        if start.method == "DELETE":
            self._local.leave(upstream_id)
        else:
            try:
                record = decode_heartbeat(upstream_id, request.body)
            except MalformedMessageError as exc:
                logger.warning("announcement-malformed", extra={"error": str(exc)})
                return Reply(400)
            self._local.accept_record(record)
        return Reply(200, encode_heartbeat_answer(), b"Content-Type: application/json\r\n")

    def _watch_gauges(self) -> None:
        watch = self._metrics.watch
        watch("config_offset", lambda: {"": self._sync.offset})
        watch("requests_running", lambda: {"": self._local.running})
        watch("requests_waiting", lambda: {"": self._local.get_load().waiting})
        watch("links_live", lambda: {"": len(self._fleet.list_live())})
        watch("store_calls", lambda: {key[1:]: n for key, n in self._store.calls.items()})

    def _spawn(self, coro: Coroutine[None, None, None]) -> None:
        task = self._loop.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._finish_task)

    def _finish_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (exc := task.exception()) is not None:
            logger.error("task-failed", exc_info=exc)
