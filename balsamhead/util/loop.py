"""Make event loops that ask the kernel no more often than needed."""

from __future__ import annotations

import asyncio
import logging
import selectors
import socket
from typing import Any, Final

__all__ = ("make_event_loop",)

logger = logging.getLogger(__name__)

#: rounds of ready callbacks after which the kernel is asked all the same
_MAX_ROUNDS: Final = 8
#: pause of a listener that can't accept, in s
_ACCEPT_PAUSE_S: Final = 0.2


class _SparseSelector(selectors.EpollSelector):
    """Leave out calls that would not wait, while the loop has callbacks to run."""

    def __init__(self) -> None:
        super().__init__()
        self._rounds = 0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events; return none at once when the loop only looks in passing."""
        if timeout is not None and timeout <= 0 and self._rounds < _MAX_ROUNDS:
            self._rounds += 1
            return []
        self._rounds = 0
        return super().select(timeout)


class _DaemonLoop(asyncio.SelectorEventLoop):
    """Accept one connection for each event, without a task of its own."""

    def _accept_connection(
        self,
        protocol_factory: Any,
        sock: socket.socket,
        sslcontext: Any = None,
        server: Any = None,
        *options: Any,
    ) -> None:
        if sslcontext is not None:
            super()._accept_connection(  # type: ignore[misc]
                protocol_factory, sock, sslcontext, server, *options
            )
            return
        try:
            conn, address = sock.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return
        except OSError as exc:
            logger.warning("accept-failed", extra={"error": repr(exc)})
            self.remove_reader(sock)
            self.call_later(
                _ACCEPT_PAUSE_S,
                self._start_serving,  # type: ignore[attr-defined]
                protocol_factory,
                sock,
                None,
                server,
                *options,
            )
            return
        conn.setblocking(False)
        self._make_socket_transport(  # type: ignore[attr-defined]
            conn, protocol_factory(), extra={"peername": address}, server=server
        )


def make_event_loop() -> asyncio.AbstractEventLoop:
    """Make an event loop for a daemon."""
    return _DaemonLoop(_SparseSelector())
