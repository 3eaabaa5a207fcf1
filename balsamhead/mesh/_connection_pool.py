"""Keep idle connections to the upstream of this VM for reuse, and open new ones."""

from __future__ import annotations

import asyncio
import weakref
from typing import Final

from balsamhead.mesh._crash_detector import ProbeResult
from balsamhead.mesh._upstream_connection import UpstreamConnection
from balsamhead.mesh.model import RouteKind
from balsamhead.util.addresses import parse_address

__all__ = ("ConnectionPool",)

#: longest wait for a connection to the upstream, in s
_CONNECT_TIMEOUT_S: Final = 0.3
#: idle time from which a connection isn't reused for a request that must run at most once, in s;
#: the upstream may have closed it meanwhile
_MAX_ONCE_IDLE_S: Final = 0.2


class ConnectionPool:
    """Idle connections to one address, the most recently used first."""

    def __init__(self, address: str) -> None:
        self._host, self._port = parse_address(address)
        self._loop = asyncio.get_running_loop()
        self._idle: list[UpstreamConnection] = []
        self._connections: weakref.WeakSet[UpstreamConnection] = weakref.WeakSet()

    async def acquire(self, route_kind: RouteKind) -> UpstreamConnection:
        """Return an idle connection that is fit for a request, or a new one.

        :raises OSError: no connection could be opened.
        """
        now = self._loop.time()
        while self._idle:
            conn = self._idle.pop()
            idle_time_s = now - conn.last_response_at
            reusable = route_kind is not RouteKind.ONCE or idle_time_s < _MAX_ONCE_IDLE_S
            if conn.is_usable(now) and reusable:
                return conn
            conn.close()
        return await self._connect()

    async def probe(self) -> ProbeResult:
        """Open a connection, close it again, and return what that says of the upstream."""
        try:
            conn = await self._connect()
        except ConnectionRefusedError:
            return ProbeResult.DEAD
        except OSError:
            return ProbeResult.SILENT
        conn.close()
        return ProbeResult.ALIVE

    async def _connect(self) -> UpstreamConnection:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            _, conn = await self._loop.create_connection(UpstreamConnection, self._host, self._port)
        self._connections.add(conn)
        return conn

    def has_open_connections(self) -> bool:
        """Return whether a connection is open, idle or in use."""
        return any(conn.is_open() for conn in self._connections)

    def release(self, conn: UpstreamConnection) -> None:
        """Keep a connection for reuse, if it can carry another request."""
        if conn.is_usable(self._loop.time()):
            self._idle.append(conn)

    def close_idle(self) -> None:
        """Close the idle connections."""
        for conn in self._idle:
            conn.close()
        self._idle.clear()
