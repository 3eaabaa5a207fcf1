"""Call between nodes, its possible outcomes, and the pipes for streamed bodies."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from balsamhead.mesh.model import Load, RouteKind

__all__ = (
    "BodyPipe",
    "BodyRest",
    "BodyTruncatedError",
    "Call",
    "NotExecuted",
    "Outcome",
    "OutcomeUnknown",
    "Refused",
    "ResponseNotices",
    "UpstreamResponse",
)


class Call(NamedTuple):
    """A request to an upstream, without its body."""

    request_id: bytes
    method: str
    target: bytes
    #: header lines to forward, each terminated by CRLF
    headers: bytes
    route: str
    route_kind: RouteKind
    priority: int
    #: service to which the request is routed
    service: str
    #: required version of the upstream; empty for any
    version: str
    #: service of the VM that the request came from
    caller_service: str
    #: time until the caller's deadline, in ms
    remaining_ms: int
    #: time until the latency objective of the route is missed, in ms
    objective_ms: int
    #: remaining time that the request may wait for a slot, in ms; 0 if it must not wait
    queue_timeout_ms: int
    #: the service also gets requests of lower priority; this request may then wait for a slot
    #: beyond its latency objective
    urgent: bool = False
    #: name of the client account; empty if the request needs no key
    account: str = ""
    #: an upstream makes the call while it runs another request
    nested: bool = False


class ResponseNotices(NamedTuple):
    """What an upstream says of itself in a response."""

    #: requests per s that it accepts from all nodes together; None for no limit
    limit_per_s: float | None
    #: it is leaving and should get no more requests
    leaving: bool


class UpstreamResponse(NamedTuple):
    """Response of an upstream; a streamed one holds the first part of its body."""

    status: int
    reason: bytes
    headers: bytes
    #: the whole body, or its first part if ``body_stream`` is set
    body: bytes
    #: length of the whole body in bytes, or CHUNKED
    length: int
    body_stream: BodyPipe | None = None


class Refused(NamedTuple):
    """The request was not sent to an upstream."""

    code: str
    #: suggested delay before a retry, in s
    retry_after_s: float = 0.0
    load: Load | None = None


class NotExecuted(NamedTuple):
    """An upstream received the request and did not execute it."""

    code: str


class OutcomeUnknown(NamedTuple):
    """No response will arrive, and an upstream may have executed the request."""

    code: str


Outcome = UpstreamResponse | Refused | NotExecuted | OutcomeUnknown


class BodyTruncatedError(Exception):
    """Raised when a streamed body ends before it is complete."""


class BodyPipe:
    """Queue of body chunks between the receiver and the sender of a streamed body."""

    def __init__(self) -> None:
        self._chunks: deque[bytes] = deque()
        self._ended = False
        self._error_code = ""
        self._waiter: asyncio.Future[None] | None = None
        #: bytes that have not been read yet
        self.buffered_bytes = 0
        #: total bytes that have been read
        self.read_bytes = 0
        #: called after each chunk is read
        self.on_read: Callable[[], None] | None = None
        #: called when the body is complete
        self.on_finish: Callable[[], None] | None = None
        #: called when the reader cancels before the body is complete
        self.on_cancel: Callable[[], None] | None = None

    def push(self, chunk: bytes) -> None:
        """Append a chunk."""
        if chunk:
            self._chunks.append(chunk)
            self.buffered_bytes += len(chunk)
            self._wake_reader()

    def finish(self) -> None:
        """Mark the body as complete."""
        self._ended = True
        self._wake_reader()
        if self.on_finish is not None:
            self.on_finish()

    def fail(self, code: str) -> None:
        """Mark the body as truncated, with an error code, unless it is complete."""
        if not self._ended:
            self._error_code = code
        self._wake_reader()

    def cancel(self) -> None:
        """Tell the producer that the body is no longer read; no effect on a complete body."""
        on_cancel, self.on_cancel = self.on_cancel, None
        if on_cancel is not None and not self._ended:
            on_cancel()

    async def read(self) -> bytes:
        """Wait for the next chunk and return it, or empty bytes at the end.

        :raises BodyTruncatedError: the body was truncated.
        """
        while True:
            if self._chunks:
                chunk = self._chunks.popleft()
                self.buffered_bytes -= len(chunk)
                self.read_bytes += len(chunk)
                if self.on_read is not None:
                    self.on_read()
                return chunk
            if self._error_code:
                raise BodyTruncatedError(self._error_code)
            if self._ended:
                return b""
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    def _wake_reader(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
        self._waiter = None


class BodyRest(BodyPipe):
    """What follows the first part of a request's body, while it arrives; it is read once."""

    def __init__(self, length: int) -> None:
        """Create the rest of a body of which nothing has arrived.

        :param length: length of the whole body in bytes, or CHUNKED.
        """
        super().__init__()
        self.length = length
        #: it has been read, or is about to be, so that the request can't be sent again
        self.started = False
        #: called when the reader begins
        self.on_start: Callable[[], None] | None = None

    def start(self) -> None:
        """Record that the rest is going to be read."""
        self.started = True
        if self.on_start is not None:
            self.on_start()
