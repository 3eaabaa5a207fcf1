"""Run a node as a process: open its ports, run its event loop and shut it down."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import signal
from typing import TYPE_CHECKING, Final

from balsamhead import events
from balsamhead.errors import BalsamheadError
from balsamhead.link import Links
from balsamhead.log import HttpLog
from balsamhead.node._assembly import Assembly, make_identity
from balsamhead.node._driver import Driver
from balsamhead.node._metrics import (
    CallTotals,
    register_call_metrics,
    register_driver_metrics,
    register_link_metrics,
    register_table_metrics,
)
from balsamhead.node._publisher import SnapshotPublisher
from balsamhead.operator import OperatorServer
from balsamhead.proxy import AnnounceConfig, AnnounceServer, CallerServer, ProxyConfig
from balsamhead.util.clock import Clock
from balsamhead.util.logs import configure_logging
from balsamhead.util.metrics import Metrics

if TYPE_CHECKING:
    from balsamhead.settings import NodeSettings

__all__ = ("Daemon", "run_node")

logger = logging.getLogger(__name__)

#: time for which a stopping node keeps its links open, so that peers receive the notice that it
#: leaves, in s
LEAVE_GRACE_S: Final = 1.0

#: exit codes of the process
EXIT_CLEAN: Final = 0
EXIT_CALLS_ABORTED: Final = 1


def run_node(cfg: NodeSettings) -> int:
    """Configure logging, run a node until a stop signal arrives, and return the exit code."""
    configure_logging(level=cfg.log_level, node=cfg.node)
    return asyncio.run(Daemon(cfg).run())


class Daemon:
    """Own the servers and links of a node, and run its decision logic periodically.

    The first stop signal lets running calls finish until the stop deadline; the second one aborts
    them.
    """

    def __init__(self, cfg: NodeSettings) -> None:
        self._cfg = cfg
        self._clock = clock = Clock()
        identity = make_identity(cfg, started_at=clock.get_now())
        self.assembly = Assembly.from_config(cfg, identity=identity)
        self._log = HttpLog.from_config(url=cfg.log_url, timeout_s=cfg.log_timeout_s)
        self._driver = Driver(self.assembly.core, log=self._log, clock=clock)
        self._links = Links.from_config(
            identity=identity,
            key=cfg.mesh_key.reveal().encode(),
            listen=cfg.peer_address,
            emit=self._driver.handle,
        )
        self._caller_server = CallerServer.from_config(_make_proxy_config(cfg))
        self._announce_server = AnnounceServer.from_config(
            _make_announce_config(cfg), emit=self._driver.post
        )
        self.metrics = Metrics(node=cfg.node, environment=cfg.environment)
        self._operator_server = OperatorServer.from_config(
            cfg,
            token=cfg.operator_token,
            submit=self._driver.submit,
            is_ready=self._is_ready,
            render_metrics=self.metrics.render,
            get_document=lambda: self.assembly.tables.config.document,
        )
        self._call_totals = CallTotals()
        self._register_metrics()
        self._publisher = SnapshotPublisher(
            self.assembly.tables, self._caller_server.update_snapshot
        )
        self._stop_signals = 0
        self._stop_requested = asyncio.Event()
        self._stop_forced = asyncio.Event()

    def _register_metrics(self) -> None:
        register_table_metrics(self.metrics, self.assembly.tables)
        register_link_metrics(self.metrics, self._links)
        register_call_metrics(self.metrics, self._caller_server, self._call_totals)
        register_driver_metrics(self.metrics, self._driver, self._operator_server)

    async def run(self) -> int:
        """Serve until a stop signal arrives, and return the exit code.

        :raises BalsamheadError: the node cannot start, for example because a port is in use.
        """
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self._handle_stop_signal)
        try:
            await self._start()
        except (BalsamheadError, OSError) as exc:
            await self._close()
            raise _make_startup_error(exc) from exc
        tick_task = asyncio.create_task(self._tick_periodically())
        try:
            await self._stop_requested.wait()
            return await self._stop()
        finally:
            tick_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await tick_task
            await self._close()

    async def _start(self) -> None:
        self._driver.start(self._links)
        await self._links.start()
        self._announce_server.start()
        self._operator_server.start()
        self._caller_server.start()
        logger.info(
            "node serves",
            extra={
                "callers": self._cfg.caller_address,
                "peers": self._cfg.peer_address,
                "operators": self._cfg.operator_address,
            },
        )

    def _is_ready(self) -> bool:
        tables = self.assembly.tables
        return tables.config.document is not None and not tables.stopping

    def _handle_stop_signal(self) -> None:
        self._stop_signals += 1
        self._stop_requested.set()
        if self._stop_signals > 1:
            self._stop_forced.set()

    async def _tick_periodically(self) -> None:
        while True:
            try:
                self._tick()
            except Exception:
                # keep running: calls are still served, and the next tick retries on the same tables
                logger.exception("tick failed")
            await asyncio.sleep(self._cfg.tick_interval_s)

    def _tick(self) -> None:
        counts = self._caller_server.drain_counts()
        if counts:
            self._call_totals.add(counts)
            self._driver.handle(events.CallsCounted(counts))
        for crash in self._caller_server.drain_crash_events():
            self._driver.handle(crash)
        self._driver.tick()
        self._publisher.publish(self._clock.get_now())
        self._caller_server.update_crash_view(self.assembly.crashes.view)

    async def _stop(self) -> int:
        logger.info("node stops", extra={"deadline_s": self._cfg.stop_deadline_s})
        self.assembly.tables.stopping = True
        self._driver.handle(events.StopRequested())
        self._caller_server.begin_stop()
        aborted = await self._stop_caller_server()
        await asyncio.sleep(0 if self._stop_forced.is_set() else LEAVE_GRACE_S)
        self._driver.handle(events.StopFinished())
        if not aborted:
            logger.info("node stopped", extra={"calls_cut": 0})
            return EXIT_CLEAN
        logger.warning("node stopped while calls were running", extra={"calls_cut": aborted})
        return EXIT_CALLS_ABORTED

    async def _stop_caller_server(self) -> int:
        deadline_s = self._cfg.stop_deadline_s
        stop_task = asyncio.ensure_future(asyncio.to_thread(self._caller_server.stop, deadline_s))
        force_task = asyncio.ensure_future(self._stop_forced.wait())
        await asyncio.wait((stop_task, force_task), return_when=asyncio.FIRST_COMPLETED)
        force_task.cancel()
        if stop_task.done():
            return stop_task.result()
        return await asyncio.to_thread(self._caller_server.stop, 0.0)

    async def _close(self) -> None:
        self._driver.stop()
        await self._links.stop()
        await asyncio.to_thread(self._announce_server.stop)
        await asyncio.to_thread(self._operator_server.stop)
        self.metrics.close()
        self._log.close()


def _make_startup_error(exc: BalsamheadError | OSError) -> BalsamheadError:
    reason = exc.message if isinstance(exc, BalsamheadError) else str(exc)
    message = f"cannot open a port of this node; it may be in use by another process: {reason}"
    return BalsamheadError(message, step="start-node", code="port-unavailable")


def _make_proxy_config(cfg: NodeSettings) -> ProxyConfig:
    host, _, port = cfg.caller_address.rpartition(":")
    return ProxyConfig(
        host=host,
        port=int(port),
        node=cfg.node,
        worker_threads=cfg.call_threads,
        max_connections=cfg.caller_connections,
        max_body_bytes=cfg.call_body_bytes,
    )


def _make_announce_config(cfg: NodeSettings) -> AnnounceConfig:
    host, _, port = cfg.announce_address.rpartition(":")
    return AnnounceConfig(host=host, port=int(port), silence_timeout_s=cfg.announce_silence_s)
