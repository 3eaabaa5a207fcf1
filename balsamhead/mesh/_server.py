"""HTTP/1.1 server on asyncio: strict parsing, pipelined requests, responses in order."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final, cast

from balsamhead.mesh._request_reader import Request
from balsamhead.mesh._server_connection import ServerConnection
from balsamhead.mesh._server_context import Reply, ServerContext
from balsamhead.util.addresses import parse_address

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from balsamhead.mesh.model import Limits

__all__ = ("HttpServer", "Reply", "Request")

#: interval at which connections are checked for timeouts, in s
_SWEEP_INTERVAL_S: Final = 0.5


class HttpServer:
    """Listen on one address and pass each request to a handler coroutine."""

    def __init__(
        self,
        handler: Callable[[Request], Awaitable[Reply]],
        *,
        get_limits: Callable[[], Limits],
        may_run_ahead: Callable[[Request], bool] = lambda request: False,
        dropped_headers: frozenset[bytes] = frozenset(),
        streams_bodies: bool = False,
    ) -> None:
        """Create a server that doesn't listen yet.

        :param may_run_ahead: returns whether a request may run while others that precede it on
            its connection, and may run ahead as well, are unanswered.
        :param dropped_headers: names, in lower case, of headers that are not forwarded.
        :param streams_bodies: handle a request with a long body while the body arrives.
        """
        self._context = ServerContext(
            handler,
            get_limits=get_limits,
            may_run_ahead=may_run_ahead,
            dropped_headers=dropped_headers,
            streams_bodies=streams_bodies,
        )
        self._server: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None

    @property
    def connections(self) -> set[ServerConnection]:
        """Return the open connections."""
        return cast("set[ServerConnection]", self._context.connections)

    def set_dropped_headers(self, names: frozenset[bytes]) -> None:
        """Forward the headers with these names, in lower case, of no request read from now on."""
        self._context.dropped_headers = names

    async def start(self, address: str) -> None:
        """Listen on an IPv4 address and port, given as ``host:port``.

        :raises OSError: the address can't be bound.
        """
        host, port = parse_address(address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self._context), host, port, backlog=1024, reuse_address=True
        )
        self._check_timeouts()

    def count_busy(self) -> int:
        """Return the number of connections with a request in progress or an unsent response."""
        return sum(1 for conn in self.connections if conn.is_busy())

    def close_after_responses(self) -> None:
        """Let each connection end with the response to the last request that was read from it."""
        self._context.closing = True

    def close_idle(self) -> None:
        """Close the connections that have no request in progress."""
        for conn in list(self.connections):
            if not conn.is_busy():
                conn.close()

    def stop_listening(self) -> None:
        """Stop accepting connections; open ones stay."""
        if self._server is not None:
            self._server.close()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()

    def _check_timeouts(self) -> None:
        loop = asyncio.get_running_loop()
        self._sweep_timer = loop.call_later(_SWEEP_INTERVAL_S, self._check_timeouts)
        now = loop.time()
        limits = self._context.get_limits()
        self._context.admit_waiting()
        for conn in list(self.connections):
            conn.enforce_timeouts(now, limits)
