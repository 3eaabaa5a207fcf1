"""Serve the caller-facing HTTP port."""

from __future__ import annotations

import contextlib
import logging
import os
import random
import select
import socket
import threading
import time
from typing import TYPE_CHECKING, Any

from cheroot.server import Gateway as CherootGateway
from cheroot.server import HTTPConnection, HTTPServer

from balsamhead.proxy._dispatch import Dispatcher
from balsamhead.proxy._gateway import Gateway, encode_refusal
from balsamhead.proxy._http import FramingError, read_request_head
from balsamhead.proxy._listener import close_listener
from balsamhead.proxy._pool import ConnectionPool
from balsamhead.proxy._stream import DeadlineReader, SendError, send_all
from balsamhead.routing import make_refusal

if TYPE_CHECKING:
    from balsamhead.events import CrashObserved, SuspectRequestAnswered
    from balsamhead.proxy._config import ProxyConfig
    from balsamhead.proxy._crash import CrashView
    from balsamhead.proxy._http import RequestHead
    from balsamhead.routing import Snapshot
    from balsamhead.wire import CallCount

__all__ = ("CallerServer",)

logger = logging.getLogger(__name__)

#: time for which a worker thread waits on a connection for the next request, in s
_NEXT_REQUEST_WAIT_S = 2.0
#: bytes of an unread body that are read and discarded so that a refusal can be delivered
_MAX_DISCARDED_BYTES = 1 << 18
#: time limit for discarding an unread body, in s
_DISCARD_TIMEOUT_S = 0.3
#: interval of the maintenance thread, in s
_MAINTENANCE_INTERVAL_S = 0.25
#: time for refusing the requests of callers that connected just before the port closed, in s
_LATE_REFUSAL_S = 0.2


def _make_stream(sock: socket.socket, mode: str, size: int) -> DeadlineReader | _SocketWriter:
    return DeadlineReader(sock, size) if "r" in mode else _SocketWriter(sock)


class _SocketWriter:
    """Minimal writer for the error responses that cheroot generates itself."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.bytes_written = 0

    def write(self, data: bytes) -> int:
        send_all(self._sock, data, time.monotonic() + 1.0)
        return len(data)


class _CallerConnection(HTTPConnection):
    """Caller connection that serves its requests one after another."""

    server: _CherootServer
    rfile: Any

    def __init__(self, server: _CherootServer, sock: socket.socket, makefile: Any = None) -> None:
        sock.setblocking(False)
        super().__init__(server, sock, _make_stream)
        server.open_connections.add(self)

    def communicate(self) -> bool:
        """Serve requests until the connection closes or is idle.

        :returns: whether the connection stays open and goes back to the acceptor.
        """
        while True:
            try:
                if not self._serve_one():
                    return False
            except Exception:
                # an error in one call must not terminate the worker thread
                logger.exception("call failed", extra={"peer": self.remote_addr})
                return False
            if self.rfile.has_data():
                continue
            if not self.server.wait_for_next_request(self.socket):
                return True

    def _serve_one(self) -> bool:
        server = self.server
        self.rfile.set_deadline(time.monotonic() + server.cfg.header_timeout_s)
        try:
            head = read_request_head(self.rfile, limit=server.cfg.max_header_bytes)
        except FramingError as exc:
            self.refuse(exc.code)
            return False
        except TimeoutError:
            self.refuse("request-timeout")
            return False
        except OSError:
            return False
        return head is not None and self._serve_head(head)

    def _serve_head(self, head: RequestHead) -> bool:
        server = self.server
        server.mark_busy(self)
        try:
            keep_alive = server.caller_gateway.serve(head, self.socket, self.rfile)
        finally:
            server.mark_idle(self)
        if not keep_alive:
            self._discard_input()
        return keep_alive and server.is_within_connection_limit()

    def refuse(self, code: str, *, timeout_s: float = _DISCARD_TIMEOUT_S) -> None:
        """Send a refusal and discard unread input.

        The connection must be closed afterwards.

        :param timeout_s: time limit for discarding the input, in s.
        """
        with contextlib.suppress(SendError):
            encoded = encode_refusal(make_refusal(code), keep_alive=False)
            send_all(self.socket, encoded, time.monotonic() + 1.0)
        self._discard_input(timeout_s)

    def _discard_input(self, timeout_s: float = _DISCARD_TIMEOUT_S) -> None:
        # closing a socket with unread input resets the connection, and the caller may lose the
        # response
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
            self.rfile.set_deadline(time.monotonic() + timeout_s)
            remaining_bytes = _MAX_DISCARDED_BYTES
            while remaining_bytes > 0 and (data := self.rfile.read1(65536)):
                remaining_bytes -= len(data)

    def close(self) -> None:
        """Close the connection and remove it from the open connections."""
        self.server.open_connections.discard(self)
        if self.socket.fileno() < 0:
            # it has been reset
            self.rfile.close()
            return
        super().close()


class _CherootServer(HTTPServer):
    """cheroot's HTTP server with worker threads that wait on their connection.

    After a response, a worker thread waits for the next request on the same connection, so that
    a call wakes one thread instead of three. It returns to the pool when other connections wait
    for a thread.
    """

    ConnectionClass = _CallerConnection
    request_queue_size = 1024
    keep_alive_conn_limit = None  # type: ignore[assignment]
    # stop() waits at most this long, in s, for the acceptor
    expiration_interval = 0.25

    def __init__(self, cfg: ProxyConfig, caller_gateway: Gateway) -> None:
        super().__init__((cfg.host, cfg.port), CherootGateway, minthreads=cfg.worker_threads)
        self.cfg = cfg
        self.caller_gateway = caller_gateway
        self.timeout = int(cfg.keep_alive_timeout_s)
        self.shutdown_timeout = 1
        self._lock = threading.Lock()
        #: all open caller connections
        self.open_connections: set[_CallerConnection] = set()
        self._is_closing = False
        #: eventfd of the current worker thread, which wakes it while it waits on a connection
        self._thread_local = threading.local()
        self._all_wakers: list[int] = []
        #: eventfds of the worker threads that wait on a connection, the longest wait first
        self._waiting_wakers: list[int] = []
        self._max_waiting_threads = max(1, cfg.worker_threads - cfg.reserved_threads)
        self._busy_connections: set[_CallerConnection] = set()

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Forward cheroot's messages to the log."""
        logger.log(level, "message from the HTTP server", extra={"reason": msg})

    def is_within_connection_limit(self) -> bool:
        """Return whether the number of open connections is within the limit."""
        return len(self.open_connections) <= self.cfg.max_connections

    def mark_busy(self, conn: _CallerConnection) -> None:
        """Record that a call is running on a connection."""
        self._busy_connections.add(conn)

    def mark_idle(self, conn: _CallerConnection) -> None:
        """Record that the call on a connection has ended."""
        self._busy_connections.discard(conn)

    def abort_busy(self) -> None:
        """Shut down the connections on which calls are running."""
        for conn in list(self._busy_connections):
            with contextlib.suppress(OSError):
                conn.socket.shutdown(socket.SHUT_RDWR)

    def _get_waker(self) -> int:
        waker: int | None = getattr(self._thread_local, "fd", None)
        if waker is None:
            waker = self._thread_local.fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
            self._all_wakers.append(waker)
        return waker

    def wait_for_next_request(self, sock: socket.socket) -> bool:
        """Wait for the next request on a connection.

        :returns: False if none arrived and the connection must go back to the acceptor.
        """
        waker = self._get_waker()
        with self._lock:
            is_full = len(self._waiting_wakers) >= self._max_waiting_threads
            if is_full or self.requests.qsize or self._is_closing:
                return False
            self._waiting_wakers.append(waker)
        poller = select.poll()
        poller.register(sock, select.POLLIN)
        poller.register(waker, select.POLLIN)
        ready = poller.poll(_NEXT_REQUEST_WAIT_S * 1000)
        with self._lock:
            if waker in self._waiting_wakers:
                self._waiting_wakers.remove(waker)
            else:
                os.eventfd_read(waker)
        return any(fd != waker for fd, _ in ready)

    def _wake_one_thread(self) -> None:
        with self._lock:
            if self._waiting_wakers:
                os.eventfd_write(self._waiting_wakers.pop(0), 1)

    def process_conn(self, conn: HTTPConnection) -> None:
        """Queue a connection for the worker threads, and wake a waiting thread if none is idle."""
        if not conn.requests_seen:
            # a new connection uses no worker thread until its first byte arrives
            conn.requests_seen = 1
            self.put_conn(conn)
            return
        super().process_conn(conn)
        if self.requests.idle <= self.requests.qsize:
            self._wake_one_thread()

    def put_conn(self, conn: HTTPConnection) -> None:
        """Return a connection to the acceptor."""
        try:
            super().put_conn(conn)
        except (OSError, ValueError, KeyError, RuntimeError):
            # the acceptor has been closed in the meantime
            conn.close()

    def close_listener(self) -> None:
        """Stop accepting connections, but serve those already established in the backlog."""
        listener: socket.socket | None = self.socket
        if listener is not None:
            close_listener(listener, lambda sock: self.process_conn(_CallerConnection(self, sock)))

    def stop(self) -> None:
        """Close the port and all connections, and stop the threads."""
        if self._is_closing:
            return
        with self._lock:
            self._is_closing = True
            count = len(self._waiting_wakers)
        for _ in range(count):
            self._wake_one_thread()
        super().stop()
        for waker in self._all_wakers:
            os.close(waker)


class CallerServer:
    """HTTP server that proxies callers' requests to upstreams."""

    def __init__(self, cfg: ProxyConfig, rng: random.Random) -> None:
        self._cfg = cfg
        self._pool = ConnectionPool(idle_timeout_s=cfg.idle_timeout_s)
        self._dispatcher = Dispatcher(cfg, rng)
        self._gateway = Gateway(cfg, self._dispatcher, self._pool)
        self._server = _CherootServer(cfg, self._gateway)
        self._stop_requested = threading.Event()
        self._threads: list[threading.Thread] = []

    @classmethod
    def from_config(cls, cfg: ProxyConfig, *, rng: random.Random | None = None) -> CallerServer:
        """Create a server without starting it."""
        return cls(cfg, rng or random.Random())

    @property
    def address(self) -> str:
        """Return the bound address as "host:port"."""
        host, port = self._server.bind_addr
        return f"{host}:{port}"

    @property
    def running(self) -> int:
        """Return the number of running calls."""
        return self._dispatcher.running

    @property
    def retries(self) -> int:
        """Return the number of attempts after the first one of each call."""
        return self._gateway.retries

    def get_refusal_counts(self) -> dict[tuple[str, str], int]:
        """Return the number of refused calls by code and outcome."""
        return self._gateway.refusal_counts.copy()

    def start(self) -> None:
        """Bind the port and start serving.

        :raises OSError: the address cannot be bound.
        """
        self._server.prepare()
        for target in (self._server.serve, self._run_maintenance):
            thread = threading.Thread(target=target, daemon=True)
            thread.start()
            self._threads.append(thread)

    def update_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the routing snapshot that new calls use."""
        self._dispatcher.update_snapshot(snapshot)

    def update_crash_view(self, view: CrashView) -> None:
        """Replace the view of the crash registry by which requests are refused."""
        self._gateway.crash_view = view

    def drain_counts(self) -> tuple[CallCount, ...]:
        """Return and reset the call counts accumulated since the last drain."""
        return self._dispatcher.drain_counts()

    def drain_crash_events(self) -> tuple[CrashObserved | SuspectRequestAnswered, ...]:
        """Return and clear the crashes and answered suspects recorded since the last drain."""
        return self._dispatcher.drain_crash_events()

    def begin_stop(self) -> None:
        """Refuse new calls with the outcome "not-run" and let running calls finish."""
        self._gateway.is_stopping = True

    def stop(self, deadline_s: float) -> int:
        """Wait for running calls to finish, then close the port and all connections.

        :param deadline_s: longest time to wait for running calls, in s.
        :returns: the number of calls that were aborted.
        """
        self.begin_stop()
        aborted = self._dispatcher.wait_until_idle(time.monotonic() + deadline_s)
        self._server.close_listener()
        if not aborted:
            time.sleep(_LATE_REFUSAL_S)
        self._server.abort_busy()
        self._stop_requested.set()
        self._server.stop()
        self._pool.close()
        return aborted

    def _run_maintenance(self) -> None:
        while not self._stop_requested.wait(_MAINTENANCE_INTERVAL_S):
            self._dispatcher.release_finished_calls()
            self._pool.close_stale(self._dispatcher.list_endpoints())
