"""Keep which requests were running when upstreams crashed, and which are refused for that."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

from balsamhead.errors import MalformedMessageError
from balsamhead.mesh.model import MAX_INTEGER, Crash, SuspectRow
from balsamhead.util.recent import RecentValues
from balsamhead.util.suspects import FINGERPRINT_BYTES, SuspectTable

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from balsamhead.mesh._crash_detector import RunningRequest

__all__ = (
    "CRASHING_REQUEST",
    "CrashRegistry",
    "check_rows",
)

logger = logging.getLogger(__name__)

#: code of the refusal of a request that crashes upstreams
CRASHING_REQUEST: Final = "request-crashes-upstreams"
#: duration of the first refusal, in s
_INITIAL_REFUSAL_S: Final = 60.0
#: number of crashes from which a request runs on one upstream at a time
_TRIAL_THRESHOLD: Final = 2
#: number of crashes from which a request is refused if it was on trial in one of them
_CRASH_THRESHOLD: Final = 3
#: number of crashes from which a request is refused if it was running alone in one of them, and
#: was sent again after a known one
_ALONE_CRASH_THRESHOLD: Final = 2
#: maximum number of remembered reports; a remembered report doesn't count again
_MAX_SEEN_REPORTS: Final = 8192
#: maximum number of services that are remembered for a request as callers of completed ones
_MAX_CLEARED_CALLERS: Final = 256
#: longest name of a service in a report, in characters
_MAX_SERVICE_CHARS: Final = 256


class CrashRegistry:
    """Requests under which upstreams of the mesh have crashed, as known at this node.

    All requests that were running in a crash are suspected. Equal requests count as one, whichever
    service they came from. After a second crash, and after each refusal, a request is on trial:
    it may run on one upstream of the mesh at a time. A request is refused for a time if it was
    running in three crashes, in one of them on trial, or in two, in one of them alone and in one
    of them sent again. Crashes at one other node alone refuse nothing here, so
    that no single node's reports can.

    A request that an upstream completes is cleared for the service that it came from: the crashes
    under requests of that service are discarded, and those under requests of others don't count
    for it until the next one of its own.
    """

    def __init__(self, own_node: str) -> None:
        self._own_node = own_node
        self._suspects: SuspectTable[Crash] = SuspectTable(
            is_conclusive=self._is_conclusive, initial_refusal_s=_INITIAL_REFUSAL_S
        )
        self._seen_reports: RecentValues[tuple[bytes, str, int, str]] = RecentValues(
            _MAX_SEEN_REPORTS
        )
        #: services for which a suspected request is cleared, by fingerprint
        self._cleared_callers: dict[bytes, set[str]] = {}
        #: called with the requests that were running in a crash of this node's upstream
        self.on_crash: Callable[[list[SuspectRow]], None] = lambda rows: None
        #: called after that
        self.on_own_crash: Callable[[], None] = lambda: None
        #: called with the known crashes under a request that this node's upstream has completed
        self.on_clear: Callable[[list[SuspectRow]], None] = lambda rows: None
        #: called with a fingerprint and the duration of its refusal, in s, if that begins with a
        #: crash of this node's upstream
        self.on_refusal: Callable[[bytes, float], None] = lambda fingerprint, time_s: None

    def __len__(self) -> int:
        return len(self._suspects)

    def count_refused(self) -> int:
        """Count the requests that are refused."""
        return len(self._suspects.list_refused())

    def is_suspected(self, fingerprint: bytes) -> bool:
        """Return whether a request is suspected or refused."""
        return fingerprint in self._suspects

    def get_refusal_time(self, fingerprint: bytes, caller_service: str, now: float) -> float:
        """Return how long a request of a service is still refused, in s; 0 if it is not."""
        if self._is_cleared(fingerprint, caller_service):
            return 0.0
        return self._suspects.get_refusal_time(fingerprint, now)

    def is_on_trial(self, fingerprint: bytes, caller_service: str) -> bool:
        """Return whether a request of a service may run on one upstream at a time only."""
        if fingerprint not in self._suspects or self._is_cleared(fingerprint, caller_service):
            return False
        if self._suspects.count_refusals(fingerprint):
            return True
        crashes = self._suspects.get_crashes(fingerprint)
        return _count_incarnations(crashes) >= _TRIAL_THRESHOLD

    def get_crashes(self, fingerprint: bytes) -> list[Crash]:
        """Return the crashes under a request."""
        return self._suspects.get_crashes(fingerprint)

    def list_rows(self) -> list[SuspectRow]:
        """Return all suspected requests with their crashes."""
        return [SuspectRow(*row) for row in self._suspects.list_crashes()]

    def list_cleared_rows(self) -> list[SuspectRow]:
        """Return the crashes that don't count for a service, for all services and requests."""
        return [
            row
            for fingerprint, callers in self._cleared_callers.items()
            for caller_service in callers
            for row in self._make_cleared_rows(fingerprint, caller_service)
        ]

    def record_crash(
        self, requests: Collection[RunningRequest], started_at_ms: int, now: float
    ) -> None:
        """Record a crash of this node's upstream.

        :param requests: what was running.
        :param started_at_ms: start of the incarnation that crashed, in ms since the epoch.
        """
        by_key: dict[tuple[bytes, str], list[RunningRequest]] = {}
        for request in requests:
            key = (request.fingerprint, request.call.caller_service)
            by_key.setdefault(key, []).append(request)
        alone = len({fingerprint for fingerprint, _ in by_key}) == 1
        rows = [
            SuspectRow(
                fingerprint,
                Crash(
                    self._own_node,
                    started_at_ms,
                    repeated=any(request.repeated for request in equal_requests),
                    alone=alone,
                    caller_service=caller_service,
                    on_trial=any(request.on_trial for request in equal_requests),
                ),
            )
            for (fingerprint, caller_service), equal_requests in by_key.items()
        ]
        refusals = self.add(rows, now)
        self.on_crash(rows)
        self.on_own_crash()
        for fingerprint, refusal_s in refusals.items():
            self.on_refusal(fingerprint, refusal_s)

    def record_completion(self, fingerprint: bytes, caller_service: str) -> None:
        """Clear a request of a service, since this node's upstream has completed it."""
        if fingerprint in self._suspects and not self._is_cleared(fingerprint, caller_service):
            rows = self._make_cleared_rows(fingerprint, caller_service)
            self.clear(rows)
            self.on_clear(rows)

    def add(self, rows: Iterable[SuspectRow], now: float) -> dict[bytes, float]:
        """Add crashes; one that is known already doesn't count again.

        :returns: the durations of the refusals that begin, in s, by fingerprint.
        """
        refusals = {}
        for fingerprint, crash in rows:
            if not self._remember(fingerprint, crash):
                continue
            self._cleared_callers.get(fingerprint, set()).discard(crash.caller_service)
            refusal_s = self._suspects.add(fingerprint, crash, now)
            if refusal_s:
                refusals[fingerprint] = refusal_s
                logger.warning(
                    "crashing-request-refused",
                    extra={
                        "fingerprint": fingerprint.hex(),
                        "crashes": [
                            row._asdict() for row in self._suspects.get_crashes(fingerprint)
                        ],
                        "time_s": refusal_s,
                    },
                )
        return refusals

    def clear(self, rows: Iterable[SuspectRow]) -> None:
        """Clear requests of services, since an upstream has completed them.

        :param rows: crashes that no longer count for the services that they name.
        """
        for fingerprint, crash in rows:
            self._remember(fingerprint, crash)
            was_refused = self._suspects.is_refused(fingerprint)
            if self._suspects.discard(fingerprint, [crash]):
                self._cleared_callers.pop(fingerprint, None)
                if was_refused:
                    logger.info(
                        "crashing-request-cleared", extra={"fingerprint": fingerprint.hex()}
                    )
            elif fingerprint in self._suspects:
                callers = self._cleared_callers.setdefault(fingerprint, set())
                if len(callers) < _MAX_CLEARED_CALLERS:
                    callers.add(crash.caller_service)

    def expire(self, now: float) -> None:
        """End the refusals that are over and forget old suspects."""
        if self._suspects.expire(now):
            for fingerprint in [key for key in self._cleared_callers if key not in self._suspects]:
                del self._cleared_callers[fingerprint]

    def _is_cleared(self, fingerprint: bytes, caller_service: str) -> bool:
        return caller_service in self._cleared_callers.get(fingerprint, ())

    def _make_cleared_rows(self, fingerprint: bytes, caller_service: str) -> list[SuspectRow]:
        return [
            SuspectRow(fingerprint, crash._replace(caller_service=caller_service))
            for crash in self._suspects.get_crashes(fingerprint)
        ]

    def _remember(self, fingerprint: bytes, crash: Crash) -> bool:
        """Remember a report, and return whether it is new."""
        return self._seen_reports.add(
            (fingerprint, crash.node, crash.started_at_ms, crash.caller_service)
        )

    def _is_conclusive(self, crashes: Collection[Crash]) -> bool:
        nodes = {crash.node for crash in crashes}
        if len(nodes) == 1 and nodes != {self._own_node}:
            return False
        count = _count_incarnations(crashes)
        if any(crash.alone for crash in crashes) and any(crash.repeated for crash in crashes):
            return count >= _ALONE_CRASH_THRESHOLD
        return any(crash.on_trial for crash in crashes) and count >= _CRASH_THRESHOLD


def _count_incarnations(crashes: Iterable[Crash]) -> int:
    """Count crashes; requests of several services may have been running in the same one."""
    return len({(crash.node, crash.started_at_ms) for crash in crashes})


def check_rows(rows: Iterable[SuspectRow], *, peer: str) -> None:
    """Check rows that a peer has sent.

    :raises MalformedMessageError: a fingerprint has a wrong length, a start is out of range, or the
        name of a service is too long.
    """
    for fingerprint, crash in rows:
        if (
            len(fingerprint) != FINGERPRINT_BYTES
            or not 0 <= crash.started_at_ms <= MAX_INTEGER
            or len(crash.caller_service) > _MAX_SERVICE_CHARS
        ):
            raise MalformedMessageError(
                "fingerprint, start or caller of a crash is invalid", step="take-crashes", peer=peer
            )
