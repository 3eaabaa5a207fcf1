"""Create event loops that poll the kernel for I/O events less often than asyncio does."""

from __future__ import annotations

import asyncio
import logging
import selectors
import socket
from typing import Any, Final

__all__ = ("make_event_loop",)

logger = logging.getLogger(__name__)

#: consecutive non-blocking polls that are skipped before one is made, so that I/O events are
#: handled even if callbacks are always ready
_MAX_SKIPPED_POLLS: Final = 8
#: time after which a listener whose accept failed is polled again, in s
_ACCEPT_RETRY_DELAY_S: Final = 0.2


class _PollSkippingSelector(selectors.EpollSelector):
    """Selector that skips most of the non-blocking polls of a loop with callbacks to run."""

    def __init__(self) -> None:
        super().__init__()
        self._skipped_polls = 0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for I/O events, or return no events at once if a non-blocking poll is skipped."""
        if timeout is not None and timeout <= 0 and self._skipped_polls < _MAX_SKIPPED_POLLS:
            self._skipped_polls += 1
            return []
        self._skipped_polls = 0
        return super().select(timeout)


class _DaemonLoop(asyncio.SelectorEventLoop):
    """Event loop that accepts one connection per readiness event and creates no task for it.

    asyncio accepts up to ``backlog`` connections per event and creates a task for each.
    """

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
                _ACCEPT_RETRY_DELAY_S,
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
    """Create an event loop for a daemon."""
    return _DaemonLoop(_PollSkippingSelector())
