"""What the connections of an HTTP server share: its handler, its counts, and its replies."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple, Protocol

from balsamhead.mesh._calls import BodyPipe

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from balsamhead.mesh._request_reader import Request
    from balsamhead.mesh.model import Limits

__all__ = ("Connection", "Reply", "ServerContext")

#: bytes of bodies that all connections hold above which none receives more of a body
_MAX_BODY_BYTES: Final = 16 << 20
#: largest number of bytes that arrive at once
_MAX_RECEIVED_BYTES: Final = 256 << 10


class Connection(Protocol):
    """A connection of the server, as far as the others are concerned."""

    def update_reading(self) -> None:
        """Receive more bytes, or none while there is no room for them."""


class Reply(NamedTuple):
    """A response to be sent."""

    status: int
    body: bytes = b""
    #: header lines, each terminated by CRLF
    headers: bytes = b""
    reason: bytes = b""
    #: length of the whole body in bytes, or CHUNKED; None for the length of ``body``
    length: int | None = None
    body_stream: BodyPipe | None = None
    #: abort the connection without a response
    abort: bool = False


class ServerContext:
    """What the connections of a server share."""

    def __init__(
        self,
        handler: Callable[[Request], Awaitable[Reply]],
        *,
        get_limits: Callable[[], Limits],
        may_run_ahead: Callable[[Request], bool],
        dropped_headers: frozenset[bytes],
        streams_bodies: bool = False,
    ) -> None:
        self.streams_bodies = streams_bodies
        self.handler = handler
        self.get_limits = get_limits
        self.may_run_ahead = may_run_ahead
        #: names, in lower case, of headers that are not forwarded
        self.dropped_headers = dropped_headers
        self.connections: set[Connection] = set()
        #: no more requests are read behind an unanswered one, and each connection ends with the
        #: response to the last one that was read
        self.closing = False
        #: number of requests that were started ahead of an unanswered one
        self.running_ahead = 0
        #: bytes of finished responses that wait for the ones before them
        self.held_bytes = 0
        #: bytes of the bodies of unanswered requests
        self.body_bytes = 0
        #: connections that wait until fewer of them are held, in order
        self._waiting: dict[Connection, None] = {}

    def wait_for_body_room(self, conn: Connection) -> bool:
        """Return whether a connection must wait before it receives more of a body.

        It is told with ``update_reading`` when it may go on.
        """
        if self.body_bytes <= _MAX_BODY_BYTES:
            self._waiting.pop(conn, None)
            return False
        self._waiting[conn] = None
        return True

    def add_body_bytes(self, size: int) -> None:
        """Count bytes of bodies that a connection holds, or no longer holds."""
        self.body_bytes += size
        if size < 0 and self._waiting:
            self.admit_waiting()

    def admit_waiting(self) -> None:
        """Let as many connections as there is room for receive more of their bodies."""
        room = (_MAX_BODY_BYTES - self.body_bytes) // _MAX_RECEIVED_BYTES
        for conn in list(self._waiting)[: max(0, room)]:
            conn.update_reading()

    def forget_waiting(self, conn: Connection) -> None:
        """Remove a connection that has ended."""
        self._waiting.pop(conn, None)
