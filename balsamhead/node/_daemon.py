"""Run a node as a process: its ports, its event loop and its stop."""

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
from balsamhead.node._observe import (
    CallTotals,
    observe_calls,
    observe_decisions,
    observe_links,
    observe_tables,
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

#: time that a stopping node keeps its links, so that peers hear that it leaves, in s
LEAVE_S: Final = 1.0

#: exit codes of the process
EXIT_CLEAN: Final = 0
EXIT_CUT_CALLS: Final = 1


def run_node(cfg: NodeSettings) -> int:
    """Run a node until it is told to stop, and return its exit code."""
    configure_logging(level=cfg.log_level, node=cfg.node)
    return asyncio.run(Daemon(cfg).run())


class Daemon:
    """Own the ports of a node and run its decisions."""

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
        self._callers = CallerServer.from_config(_make_proxy_config(cfg))
        self._announcements = AnnounceServer.from_config(
            _make_announce_config(cfg), emit=self._driver.post
        )
        self.metrics = Metrics(node=cfg.node, environment=cfg.environment)
        self._operators = OperatorServer.from_config(
            cfg,
            token=cfg.operator_token,
            submit=self._driver.submit,
            is_ready=self._is_ready,
            render_metrics=self.metrics.render,
            get_document=lambda: self.assembly.tables.config.document,
        )
        self._totals = CallTotals()
        self._observe()
        self._publisher = SnapshotPublisher(self.assembly.tables, self._callers.update_snapshot)
        self._stop_signals = 0
        self._stop_asked = asyncio.Event()
        self._stop_forced = asyncio.Event()

    def _observe(self) -> None:
        observe_tables(self.metrics, self.assembly.tables)
        observe_links(self.metrics, self._links)
        observe_calls(self.metrics, self._callers, self._totals)
        observe_decisions(self.metrics, self._driver, self._operators)

    async def run(self) -> int:
        """Serve until a signal asks to stop, and return the exit code."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._take_signal)
        try:
            await self._start()
        except (BalsamheadError, OSError) as exc:
            await self._close()
            raise _make_port_error(exc) from exc
        ticking = asyncio.create_task(self._tick_until_cancelled())
        try:
            await self._stop_asked.wait()
            return await self._stop()
        finally:
            ticking.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await ticking
            await self._close()

    async def _start(self) -> None:
        self._driver.start(self._links)
        await self._links.start()
        self._announcements.start()
        self._operators.start()
        self._callers.start()
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

    def _take_signal(self) -> None:
        self._stop_signals += 1
        self._stop_asked.set()
        if self._stop_signals > 1:
            self._stop_forced.set()

    async def _tick_until_cancelled(self) -> None:
        while True:
            try:
                self._run_tick()
            except Exception:
                # the next tick works on the same tables, and calls go on meanwhile
                logger.exception("tick failed")
            await asyncio.sleep(self._cfg.tick_interval_s)

    def _run_tick(self) -> None:
        counts = self._callers.drain_counts()
        if counts:
            self._totals.add(counts)
            self._driver.handle(events.CallsSeen(counts))
        for crash in self._callers.drain_crash_events():
            self._driver.handle(crash)
        self._driver.tick()
        self._publisher.publish(self._clock.get_now())
        self._callers.update_crash_view(self.assembly.crashes.view)

    async def _stop(self) -> int:
        logger.info("node stops", extra={"deadline_s": self._cfg.stop_deadline_s})
        self.assembly.tables.stopping = True
        self._driver.handle(events.StopRequested())
        self._callers.begin_stop()
        cut = await self._finish_calls()
        await asyncio.sleep(0 if self._stop_forced.is_set() else LEAVE_S)
        self._driver.handle(events.StopFinished())
        if not cut:
            logger.info("node stopped", extra={"calls_cut": 0})
            return EXIT_CLEAN
        logger.warning("node stopped before calls ended", extra={"calls_cut": cut})
        return EXIT_CUT_CALLS

    async def _finish_calls(self) -> int:
        deadline_s = self._cfg.stop_deadline_s
        finishing = asyncio.ensure_future(asyncio.to_thread(self._callers.stop, deadline_s))
        forcing = asyncio.ensure_future(self._stop_forced.wait())
        await asyncio.wait((finishing, forcing), return_when=asyncio.FIRST_COMPLETED)
        forcing.cancel()
        if finishing.done():
            return finishing.result()
        return await asyncio.to_thread(self._callers.stop, 0.0)

    async def _close(self) -> None:
        self._driver.stop()
        await self._links.stop()
        await asyncio.to_thread(self._announcements.stop)
        await asyncio.to_thread(self._operators.stop)
        self.metrics.close()
        self._log.close()


def _make_port_error(exc: BalsamheadError | OSError) -> BalsamheadError:
    reason = exc.message if isinstance(exc, BalsamheadError) else str(exc)
    message = f"a port of this node can't be opened; is another process on it? {reason}"
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
