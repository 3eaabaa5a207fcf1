"""Define a call between nodes, its outcomes, and the pipe that carries a long answer."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from balsamhead.mesh.model import Load, RouteKind

__all__ = (
    "Answer",
    "BodyPipe",
    "Call",
    "Lost",
    "Outcome",
    "PipeBrokenError",
    "Refused",
    "Rejected",
)


class Call(NamedTuple):
    """Hold a request on its way to an upstream; its body goes beside it."""

    request_id: bytes
    method: str
    target: bytes
    #: the header lines that are passed on
    headers: bytes
    route: str
    kind: RouteKind
    priority: int
    #: service that is to run it
    service: str
    #: version that is to run it; empty for any
    version: str
    #: service of the VM where the request began
    caller_service: str
    #: how long the caller still waits, in ms
    left_ms: int
    #: what is left of the time within which the answer has its full worth, in ms
    objective_ms: int
    #: what is left of the time in which it may wait for a slot, in ms; 0 for not at all
    patience_ms: int
    #: less urgent requests go to the service, so that this one waits while its time lasts
    urgent: bool = False


class Answer(NamedTuple):
    """Hold an upstream's answer, or its first part."""

    status: int
    reason: bytes
    headers: bytes
    #: the whole body, or its first part when ``rest`` follows
    body: bytes
    #: length of the whole body in bytes, or CHUNKED
    length: int
    rest: BodyPipe | None = None


class Refused(NamedTuple):
    """State that the request reached no upstream and won't."""

    code: str
    #: when it is worth to come back, in s
    retry_after_s: float = 0.0
    load: Load | None = None


class Rejected(NamedTuple):
    """State that an upstream got the request and did not run it."""

    code: str


class Lost(NamedTuple):
    """State that an upstream may have run the request, and that no answer will come."""

    code: str


Outcome = Answer | Refused | Rejected | Lost


class PipeBrokenError(Exception):
    """Report that the rest of an answer won't come."""


class BodyPipe:
    """Carry the rest of an answer from its reader to its writer."""

    def __init__(self) -> None:
        self._pieces: deque[bytes] = deque()
        self._ended = False
        self._failed = ""
        self._waiter: asyncio.Future[None] | None = None
        #: bytes that wait to be read
        self.size = 0
        #: bytes that were read
        self.read_bytes = 0
        #: called after a piece was read
        self.on_read: Callable[[], None] | None = None
        #: called when nobody reads the rest
        self.on_abandon: Callable[[], None] | None = None

    def push(self, piece: bytes) -> None:
        """Add a piece."""
        if piece:
            self._pieces.append(piece)
            self.size += len(piece)
            self._wake()

    def finish(self) -> None:
        """State that the body is whole."""
        self._ended = True
        self._wake()

    def fail(self, code: str) -> None:
        """State that the body ends before its end."""
        if not self._ended:
            self._failed = code
        self._wake()

    def abandon(self) -> None:
        """State that nobody reads the rest."""
        on_abandon, self.on_abandon = self.on_abandon, None
        if on_abandon is not None and not self._ended:
            on_abandon()

    async def read(self) -> bytes:
        """Return the next piece, or nothing at the end.

        :raises PipeBrokenError: the body was cut.
        """
        while True:
            if self._pieces:
                piece = self._pieces.popleft()
                self.size -= len(piece)
                self.read_bytes += len(piece)
                if self.on_read is not None:
                    self.on_read()
                return piece
            if self._failed:
                raise PipeBrokenError(self._failed)
            if self._ended:
                return b""
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
        self._waiter = None
