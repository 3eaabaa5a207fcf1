"""Keep requests that crash upstreams away from the upstream of this VM."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final

from balsamhead.mesh._calls import Outcome, Refused, UpstreamResponse
from balsamhead.mesh._crash_detector import CrashDetector, RunningRequest
from balsamhead.mesh._crash_registry import CRASHING_REQUEST
from balsamhead.mesh._fingerprint import fingerprint_call
from balsamhead.mesh.model import UpstreamRecord, UpstreamState

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamhead.mesh._calls import Call
    from balsamhead.mesh._connection_pool import ConnectionPool
    from balsamhead.mesh._crash_registry import CrashRegistry

__all__ = ("TRIAL_CODES", "TRIAL_RUNNING", "CrashGuard")

logger = logging.getLogger(__name__)

#: code of the refusal of a request on trial while an equal or another one on trial runs there
TRIAL_RUNNING: Final = "trial-running"
#: code of the refusal of a request that is on trial at another upstream
TRIAL_ELSEWHERE: Final = "trial-elsewhere"
#: codes of refusals of a request that is on trial
TRIAL_CODES: Final = (TRIAL_RUNNING, TRIAL_ELSEWHERE)


class CrashGuard:
    """Admit requests by what is known of crashes, and report those of this VM's upstream.

    A request that is on trial is admitted if this upstream is the one that its trials run on, and
    neither an equal one nor another one on trial is running here: a crash then shows which it was.
    """

    def __init__(
        self,
        registry: CrashRegistry,
        *,
        connections: ConnectionPool,
        get_record: Callable[[], UpstreamRecord | None],
        on_crash: Callable[[], None] = lambda: None,
    ) -> None:
        """Create the guard of an upstream.

        :param get_record: returns the last announcement of the upstream.
        :param on_crash: called when the upstream has crashed.
        """
        self._registry = registry
        self._get_record = get_record
        self._on_crash = on_crash
        self._loop = asyncio.get_running_loop()
        self.detector = CrashDetector(
            has_open_connections=connections.has_open_connections,
            probe=connections.probe,
            on_crash=self._record_crash,
        )
        #: returns whether the trials of a request run on this upstream
        self.is_trial_node: Callable[[bytes, Call], bool] = lambda fingerprint, call: True

    def check(self, call: Call, body: bytes) -> Refused | None:
        """Return the refusal of a request that must not be sent to the upstream now, or None."""
        if not self._registry:
            return None
        fingerprint = fingerprint_call(call, body)
        caller = call.caller_service
        refusal_s = self._registry.get_refusal_time(fingerprint, caller, self._loop.time())
        if refusal_s:
            return Refused(CRASHING_REQUEST, refusal_s)
        if not self._registry.is_on_trial(fingerprint, caller):
            return None
        if self.detector.is_busy_for(fingerprint):
            return Refused(TRIAL_RUNNING)
        if not self.is_trial_node(fingerprint, call):
            return Refused(TRIAL_ELSEWHERE)
        return None

    def start(self, call: Call, body: bytes) -> RunningRequest:
        """Record that a request is sent, and return the record to pass to :meth:`finish`."""
        if not self._registry:
            return self.detector.start(call, body)
        fingerprint = fingerprint_call(call, body)
        return self.detector.start(
            call,
            body,
            repeated=self._registry.is_suspected(fingerprint),
            on_trial=self._registry.is_on_trial(fingerprint, call.caller_service),
        )

    def finish(self, request: RunningRequest, outcome: Outcome) -> None:
        """Record the end of a request's exchange."""
        self.detector.finish(request, outcome)
        completed = isinstance(outcome, UpstreamResponse) and outcome.status < 500
        if completed and self._registry:
            self._registry.record_completion(request.fingerprint, request.call.caller_service)

    def _record_crash(self, requests: list[RunningRequest]) -> None:
        self._on_crash()
        record = self._get_record()
        if record is None or record.state is UpstreamState.DRAINING:
            return
        logger.warning(
            "upstream-crashed",
            extra={
                "upstream": record.id,
                "started_at_ms": record.started_at_ms,
                "requests": [row.call.request_id.decode("latin-1") for row in requests],
            },
        )
        self._registry.record_crash(requests, record.started_at_ms, self._loop.time())
