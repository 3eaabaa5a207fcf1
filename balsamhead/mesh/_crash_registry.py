"""Keep which requests were running when upstreams crashed, and which are refused for that."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.errors import MalformedMessageError
from balsamhead.util.recent import RecentValues
from balsamhead.util.suspects import FINGERPRINT_BYTES, SuspectTable, hash_parts

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from balsamhead.mesh._calls import Call
    from balsamhead.mesh._crash_detector import RunningRequest

__all__ = (
    "CRASHING_REQUEST",
    "Crash",
    "CrashRegistry",
    "SuspectRow",
    "check_rows",
    "compute_fingerprint",
    "fingerprint_call",
)

logger = logging.getLogger(__name__)

#: code of the refusal of a request that crashes upstreams
CRASHING_REQUEST: Final = "request-crashes-upstreams"
#: duration of the first refusal, in s
_INITIAL_REFUSAL_S: Final = 60.0
#: number of crashes from which a request is refused
_CRASH_THRESHOLD: Final = 3
#: the same if in one of the crashes no other request was running
_ALONE_CRASH_THRESHOLD: Final = 2
#: maximum number of remembered reports; a remembered report doesn't count again
_MAX_SEEN_REPORTS: Final = 8192


class Crash(NamedTuple):
    """A crash of an upstream, as it concerns one request that was running."""

    #: node beside the upstream
    node: str
    #: start of the incarnation that crashed, in ms since the epoch
    started_at_ms: int
    #: the request was sent although an earlier crash under an equal one was known
    repeated: bool
    #: no request but equal ones was running
    alone: bool


class SuspectRow(NamedTuple):
    """A request that was running in a crash."""

    fingerprint: bytes
    crash: Crash


def compute_fingerprint(
    *, caller_service: str, method: str, route: str, target: bytes, body: bytes
) -> bytes:
    """Return the digest of what makes two requests equal, through whichever node they come."""
    return hash_parts(caller_service.encode(), method.encode(), route.encode(), target, body)


def fingerprint_call(call: Call, body: bytes) -> bytes:
    """Return the fingerprint of a call's request."""
    return compute_fingerprint(
        caller_service=call.caller_service,
        method=call.method,
        route=call.route,
        target=call.target,
        body=body,
    )


class CrashRegistry:
    """Requests under which upstreams of the mesh have crashed, as known at this node.

    All requests that were running in a crash are suspected. One that an upstream completes is
    cleared. One that was sent again, and was running in a crash again, is refused for a time.
    Crashes at one other node alone refuse nothing here, so that no single node's reports can.
    """

    def __init__(self, own_node: str) -> None:
        self._own_node = own_node
        self._suspects: SuspectTable[Crash] = SuspectTable(
            is_conclusive=self._is_conclusive, initial_refusal_s=_INITIAL_REFUSAL_S
        )
        self._seen_reports: RecentValues[tuple[bytes, str, int]] = RecentValues(_MAX_SEEN_REPORTS)
        #: called with the requests that were running in a crash of this node's upstream
        self.on_crash: Callable[[list[SuspectRow]], None] = lambda rows: None
        #: called with the known crashes under a request that this node's upstream has completed
        self.on_clear: Callable[[list[SuspectRow]], None] = lambda rows: None

    def __len__(self) -> int:
        return len(self._suspects)

    def count_refused(self) -> int:
        """Count the requests that are refused."""
        return len(self._suspects.list_refused())

    def is_suspected(self, fingerprint: bytes) -> bool:
        """Return whether a request is suspected or refused."""
        return fingerprint in self._suspects

    def get_refusal_time(self, fingerprint: bytes, now: float) -> float:
        """Return how long a request is still refused, in s; 0 if it is not."""
        return self._suspects.get_refusal_time(fingerprint, now)

    def list_rows(self) -> list[SuspectRow]:
        """Return all suspected requests with their crashes."""
        return [SuspectRow(*row) for row in self._suspects.list_crashes()]

    def record_crash(
        self, requests: Collection[RunningRequest], started_at_ms: int, now: float
    ) -> None:
        """Record a crash of this node's upstream.

        :param requests: what was running.
        :param started_at_ms: start of the incarnation that crashed, in ms since the epoch.
        """
        repeated: dict[bytes, bool] = {}
        for request in requests:
            fingerprint = fingerprint_call(request.call, request.body)
            repeated[fingerprint] = request.repeated or repeated.get(fingerprint, False)
        alone = len(repeated) == 1
        rows = [
            SuspectRow(fingerprint, Crash(self._own_node, started_at_ms, was_repeated, alone))
            for fingerprint, was_repeated in repeated.items()
        ]
        self.add(rows, now)
        self.on_crash(rows)

    def record_completion(self, fingerprint: bytes) -> None:
        """Clear a request, since this node's upstream has completed it."""
        crashes = self._suspects.get_crashes(fingerprint)
        if crashes:
            rows = [SuspectRow(fingerprint, crash) for crash in crashes]
            self.clear(rows)
            self.on_clear(rows)

    def add(self, rows: Iterable[SuspectRow], now: float) -> None:
        """Add crashes; one that is known already doesn't count again."""
        for fingerprint, crash in rows:
            if not self._seen_reports.add((fingerprint, crash.node, crash.started_at_ms)):
                continue
            refusal_s = self._suspects.add(fingerprint, crash, now)
            if refusal_s:
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

    def clear(self, rows: Iterable[SuspectRow]) -> None:
        """Discard crashes, since a request that was running in them was completed elsewhere."""
        for fingerprint, crash in rows:
            self._seen_reports.add((fingerprint, crash.node, crash.started_at_ms))
            was_refused = self._suspects.is_refused(fingerprint)
            if self._suspects.discard(fingerprint, [crash]) and was_refused:
                logger.info("crashing-request-cleared", extra={"fingerprint": fingerprint.hex()})

    def expire(self, now: float) -> None:
        """End the refusals that are over and forget old suspects."""
        self._suspects.expire(now)

    def _is_conclusive(self, crashes: Collection[Crash]) -> bool:
        if not any(crash.repeated for crash in crashes):
            return False
        nodes = {crash.node for crash in crashes}
        if len(nodes) == 1 and nodes != {self._own_node}:
            return False
        was_alone = any(crash.alone for crash in crashes)
        return len(crashes) >= (_ALONE_CRASH_THRESHOLD if was_alone else _CRASH_THRESHOLD)


def check_rows(rows: Iterable[SuspectRow], *, peer: str) -> None:
    """Check rows that a peer has sent.

    :raises MalformedMessageError: a fingerprint has a wrong length, or a start is out of range.
    """
    for fingerprint, crash in rows:
        if len(fingerprint) != FINGERPRINT_BYTES or not 0 <= crash.started_at_ms < 1 << 63:
            raise MalformedMessageError(
                "fingerprint or start of a crash is invalid", step="take-crashes", peer=peer
            )
