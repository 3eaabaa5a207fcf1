"""Detect that the VM's upstream has crashed, and find the requests that were running on it."""

from __future__ import annotations

import asyncio
from collections import deque
from enum import Enum
from typing import TYPE_CHECKING, Final

from balsamhead.mesh._calls import NotExecuted, Outcome, OutcomeUnknown, UpstreamResponse
from balsamhead.mesh._fingerprint import fingerprint_call

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from balsamhead.mesh._calls import Call

__all__ = ("CrashDetector", "ProbeResult", "RunningRequest")

#: time after a lost connection at which the others are looked at, in s; a crash closes all of them
_CHECK_DELAY_S: Final = 0.002
#: how long an upstream may go on running a request after the deadline that it was given, in s
_MAX_OVERRUN_S: Final = 1.0
#: maximum number of lost requests that wait for the confirmation of a crash
_MAX_LOST: Final = 256
#: codes of outcomes of an exchange that this node has ended, so that the request may still run
_ABANDONED_CODES: Final = ("deadline-passed", "caller-left")
#: codes of outcomes after which a request may have been running when the upstream crashed
_LOST_CODES: Final = ("connection-lost", "connection-lost-unheard", *_ABANDONED_CODES)


class ProbeResult(Enum):
    """Result of an attempt to connect to the upstream."""

    #: the connection was accepted
    ALIVE = "alive"
    #: no process listens on the address
    DEAD = "dead"
    #: there was no response
    SILENT = "silent"


class RunningRequest:
    """A request that was sent to the upstream and has not ended.

    :param deadline: in s of the event loop's clock.
    """

    __slots__ = ("_body", "_fingerprint", "call", "deadline", "on_trial", "repeated", "runs_until")

    def __init__(
        self, call: Call, body: bytes, *, deadline: float, repeated: bool, on_trial: bool
    ) -> None:
        self.call = call
        self.deadline = deadline
        #: time until which it may run after this node has ended its exchange, in s; 0 if it can't
        self.runs_until = 0.0
        self._body = body
        self._fingerprint = b""
        #: an equal request was known to have been running in a crash when this one was sent
        self.repeated = repeated
        #: it was the only one of the mesh, and no other request was on trial here
        self.on_trial = on_trial

    @property
    def fingerprint(self) -> bytes:
        """Return the fingerprint, which is computed when it is first needed."""
        if not self._fingerprint:
            self._fingerprint = fingerprint_call(self.call, self._body)
        return self._fingerprint


class CrashDetector:
    """Tell a crash of the upstream from the loss of single connections.

    An upstream has crashed if a connection to it was lost, none is open and a new one is refused,
    or if a new incarnation announces itself though the previous one did not leave.
    """

    def __init__(
        self,
        *,
        has_open_connections: Callable[[], bool],
        probe: Callable[[], Coroutine[None, None, ProbeResult]],
        on_crash: Callable[[list[RunningRequest]], None],
    ) -> None:
        self._has_open_connections = has_open_connections
        self._probe = probe
        self._on_crash = on_crash
        self._loop = asyncio.get_running_loop()
        self._running: set[RunningRequest] = set()
        #: requests without a response that a crash may have ended, or may still end
        self._lost: deque[RunningRequest] = deque(maxlen=_MAX_LOST)
        self._check: asyncio.Task[None] | None = None

    def start(
        self, call: Call, body: bytes, *, repeated: bool = False, on_trial: bool = False
    ) -> RunningRequest:
        """Record that a request is sent, and return the record to pass to :meth:`finish`."""
        deadline = self._loop.time() + call.remaining_ms / 1000
        request = RunningRequest(
            call, body, deadline=deadline, repeated=repeated, on_trial=on_trial
        )
        self._running.add(request)
        return request

    def finish(self, request: RunningRequest, outcome: Outcome) -> None:
        """Record the end of a request's exchange."""
        self._running.discard(request)
        match outcome:
            case UpstreamResponse() | NotExecuted():
                self._clear_survived()
            case OutcomeUnknown(code=code) if code in _LOST_CODES:
                if code in _ABANDONED_CODES:
                    request.runs_until = request.deadline + _MAX_OVERRUN_S
                self._lost.append(request)
                if code.startswith("connection-lost") and self._check is None:
                    self._check = self._loop.create_task(self._check_connections())

    def is_busy_for(self, fingerprint: bytes) -> bool:
        """Return whether an equal request or one on trial may run, or its loss is being checked."""
        now = self._loop.time()
        lost = [row for row in self._lost if self._check is not None or now < row.runs_until]
        return any(
            request.on_trial or request.fingerprint == fingerprint
            for request in (*self._running, *lost)
        )

    def confirm_restart(self) -> None:
        """Report a crash, since a new incarnation has announced itself."""
        lost = list(self._lost)
        self._lost.clear()
        if lost:
            self._on_crash(lost)

    def confirm_refusal(self) -> None:
        """Report a crash if requests were lost, since a new connection was refused."""
        if self._lost and not self._has_open_connections():
            self._report_dead()

    def reset(self) -> None:
        """Forget the lost requests, since the upstream has left as planned."""
        self._lost.clear()

    async def _check_connections(self) -> None:
        try:
            await asyncio.sleep(_CHECK_DELAY_S)
            alive = self._has_open_connections()
            result = ProbeResult.ALIVE if alive else await self._probe()
        finally:
            self._check = None
        if result is ProbeResult.ALIVE:
            self._clear_survived()
        elif result is ProbeResult.DEAD and self._lost:
            self._report_dead()

    def _clear_survived(self) -> None:
        """Forget the lost requests that the upstream has survived, since it is alive."""
        now = self._loop.time()
        self._lost = deque((row for row in self._lost if now < row.runs_until), _MAX_LOST)

    def _report_dead(self) -> None:
        requests = [*self._lost, *self._running]
        self._lost.clear()
        self._on_crash(requests)
