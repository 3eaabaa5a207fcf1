"""Open connections to upstreams and pool idle ones."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from typing import TYPE_CHECKING

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from balsamhead.errors import CallError
from balsamhead.proxy._stream import DeadlineReader, is_readable

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from balsamhead.routing import Endpoint

__all__ = ("ConnectionPool", "UpstreamConnection")

_SOCKET_OPTIONS: list[tuple[int, int, int | bytes]] = [(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)]


class UpstreamConnection:
    """Connection to an upstream that carries one request at a time."""

    def __init__(self, endpoint: Endpoint, conn: HTTPConnection) -> None:
        self.endpoint = endpoint
        self._conn = conn
        assert conn.sock is not None
        self.sock: socket.socket = conn.sock
        self.sock.setblocking(False)
        self.reader = DeadlineReader(self.sock)
        #: when it was opened or last completed a response, on the monotonic clock, in s
        self.last_used_at = time.monotonic()
        #: whether it must not be reused for another request
        self.must_close = False

    @classmethod
    def open(cls, endpoint: Endpoint, timeout_s: float) -> UpstreamConnection:
        """Connect to an endpoint.

        :raises CallError: the connection could not be opened.
        """
        conn = HTTPConnection(
            endpoint.host,
            endpoint.port,
            timeout=max(0.001, timeout_s),
            socket_options=_SOCKET_OPTIONS,
        )
        try:
            conn.connect()
        except (HTTPError, OSError) as exc:
            raise CallError(
                "could not connect to the upstream", step="connect", peer=endpoint.node
            ) from exc
        return cls(endpoint, conn)

    def is_reusable(self) -> bool:
        """Return whether the connection is open with no unread data, as required for reuse."""
        return not is_readable(self.sock) and not self.reader.has_data()

    def cancel(self) -> None:
        """Shut down the sending side, which tells the upstream that the call is cancelled."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def is_closed_by_upstream(self) -> bool:
        """Discard received data and return whether the upstream closed the connection."""
        try:
            while data := self.sock.recv(65536):
                del data
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self.reader.close()
        self._conn.close()


class ConnectionPool:
    """Pool of idle upstream connections with least-recently-used eviction.

    :param idle_timeout_s: time after which an idle connection is closed, in s.
    :param opener: opens a connection with a timeout in s; raises CallError on failure.
    """

    def __init__(
        self,
        *,
        idle_timeout_s: float,
        opener: Callable[[Endpoint, float], UpstreamConnection] | None = None,
    ) -> None:
        self._idle_timeout_s = idle_timeout_s
        self._opener = opener or UpstreamConnection.open
        self._idle: dict[tuple[str, str], list[UpstreamConnection]] = {}
        self._lock = threading.Lock()

    def acquire(
        self, version_key: tuple[str, str], endpoint: Endpoint, *, max_age_s: float
    ) -> UpstreamConnection | None:
        """Return the most recently used idle connection to an endpoint, or None.

        :param version_key: service and version under which it was released.
        :param max_age_s: longest allowed time since its last response, in s.
        """
        min_last_used_at = time.monotonic() - min(max_age_s, self._idle_timeout_s)
        while (conn := self._pop_idle(version_key, endpoint)) is not None:
            if conn.last_used_at >= min_last_used_at and conn.is_reusable():
                return conn
            conn.close()
        return None

    def open(self, endpoint: Endpoint, *, timeout_s: float) -> UpstreamConnection | None:
        """Open a connection, or return None on failure."""
        try:
            return self._opener(endpoint, timeout_s)
        except CallError:
            return None

    def _pop_idle(
        self, version_key: tuple[str, str], endpoint: Endpoint
    ) -> UpstreamConnection | None:
        with self._lock:
            idle = self._idle.get(version_key, [])
            for index in range(len(idle) - 1, -1, -1):
                if idle[index].endpoint[:4] == endpoint[:4]:
                    return idle.pop(index)
        return None

    def release(
        self, version_key: tuple[str, str], conn: UpstreamConnection, *, max_idle: int
    ) -> None:
        """Return a connection to the pool after a complete exchange.

        :param max_idle: maximum number of idle connections to this version.
        """
        conn.last_used_at = time.monotonic()
        evicted = None
        with self._lock:
            idle = self._idle.setdefault(version_key, [])
            idle.append(conn)
            if len(idle) > max_idle:
                evicted = idle.pop(0)
        if evicted is not None:
            evicted.close()

    def count(self) -> int:
        """Return the number of idle connections."""
        with self._lock:
            return sum(len(idle) for idle in self._idle.values())

    def close_stale(self, endpoints: Iterable[Endpoint] | None = None) -> None:
        """Close connections past the idle timeout.

        :param endpoints: if given, connections to any other endpoint are closed as well.
        """
        min_last_used_at = time.monotonic() - self._idle_timeout_s
        known_keys = None if endpoints is None else {endpoint[:4] for endpoint in endpoints}
        stale: list[UpstreamConnection] = []
        with self._lock:
            for version_key, idle in list(self._idle.items()):
                kept: list[UpstreamConnection] = []
                for conn in idle:
                    is_known = known_keys is None or conn.endpoint[:4] in known_keys
                    (kept if is_known and conn.last_used_at >= min_last_used_at else stale).append(
                        conn
                    )
                self._idle[version_key] = kept
                if not kept:
                    del self._idle[version_key]
        for conn in stale:
            conn.close()

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            idle_connections = [conn for idle in self._idle.values() for conn in idle]
            self._idle.clear()
        for conn in idle_connections:
            conn.close()
