"""Limit the new requests of an upstream while the services that it calls have no room."""

from __future__ import annotations

import math
from typing import Final, NamedTuple

__all__ = (
    "CALLED_SERVICE_BUSY",
    "CalledServices",
    "LimitDescription",
    "is_late",
    "shows_lack_of_room",
)

#: code of the refusal of a new request whose calls would find no room
CALLED_SERVICE_BUSY: Final = "called-service-busy"
#: codes of failures that fewer new requests would prevent. An upstream that sheds is not among the
#: causes: its node sends it no more than it has slots for, so it sheds for other reasons.
_ROOM_CODES: Final = frozenset(
    (
        CALLED_SERVICE_BUSY,
        "deadline-passed",
        "upstream-busy",
        "upstream-cold",
        "upstream-full",
        "upstream-limited",
        "upstreams-busy",
    )
)
#: multiple of its latency objective after which a nested call is late; one that merely misses the
#: objective still serves its parent, and to limit new requests for it costs more than it saves
_LATE_OBJECTIVES: Final = 2.0
#: time constant with which outcomes of nested calls are forgotten, in s
_OUTCOME_DECAY_S: Final = 1.0
#: failed calls, and their share, below which new requests are not limited further; single failures
#: have other causes
_MIN_FAILURES: Final = 1.5
_MIN_FAILED_SHARE: Final = 0.05
#: factor on the limit at each decrease
_DECREASE: Final = 0.7
#: shortest interval between two decreases, in s; calls of requests that have begun end by then
_DECREASE_INTERVAL_S: Final = 0.3
#: time after a failed call in which the limit doesn't grow, in s
_HOLD_S: Final = 0.2
#: time in which the limit grows from nothing to all slots, in s
_RECOVERY_S: Final = 2.0
#: time for which a slot is kept for nested calls after one of them had to wait here, in s
_RESERVATION_S: Final = 10.0
#: what a refusal names as its cause if only the kept slot stands behind it
_RESERVED: Final = "reserved"
#: weight of a new request in the share of a route's requests that make calls
_CALLING_WEIGHT: Final = 0.1
#: share of a route's requests that make calls above which the route is limited
_CALLING_SHARE: Final = 0.5


def is_late(took_s: float, objective_s: float) -> bool:
    """Return whether a nested call took so long that its service has no room for more."""
    return took_s > _LATE_OBJECTIVES * objective_s


def shows_lack_of_room(failure_code: str) -> bool:
    """Return whether a nested call failed since its service has no room for more.

    :param failure_code: code of this mesh's refusal; empty for a response of the upstream.
    """
    return not failure_code or failure_code in _ROOM_CODES


class LimitDescription(NamedTuple):
    """The limit of new requests, and the called service that caused it."""

    service: str
    limit: float


class _Outcomes:
    """Decayed counts of a called service's outcomes."""

    __slots__ = ("failed", "total", "updated_at")

    def __init__(self, now: float) -> None:
        self.failed = self.total = 0.0
        self.updated_at = now

    def add(self, now: float, *, failed: bool) -> None:
        factor = math.exp((self.updated_at - now) / _OUTCOME_DECAY_S)
        self.updated_at = now
        self.failed = self.failed * factor + failed
        self.total = self.total * factor + 1.0

    def show_lack_of_room(self) -> bool:
        return self.failed >= _MIN_FAILURES and self.failed > _MIN_FAILED_SHARE * self.total


class CalledServices:
    """Learn which routes of an upstream make nested calls, and limit their requests that run.

    The limit grows additively with time and shrinks multiplicatively when nested calls are refused
    or late. At least one request may always run. Times are in s of one monotonic clock.
    """

    def __init__(self) -> None:
        self._outcomes: dict[str, _Outcomes] = {}
        #: nested calls that the upstream has made so far
        self._calls = 0
        self._calling_shares: dict[str, float] = {}
        #: limit at ``_limited_at``, in requests that run at once; infinite without one
        self._limit = math.inf
        self._limited_at = -math.inf
        self._grows_from = -math.inf
        self._cause = _RESERVED
        self._reserved_until = -math.inf

    @property
    def call_count(self) -> int:
        """Return the number of nested calls that the upstream has made so far."""
        return self._calls

    def record_request(self, route: str, *, calls_before: int) -> None:
        """Record the end of a new request.

        :param calls_before: ``call_count`` when it started. Calls of requests that run at the same
            time can't be told apart; a route that makes none is seen to run without any.
        """
        calls = self._calls > calls_before
        if not calls and route not in self._calling_shares:
            return
        share = self._calling_shares.get(route, 0.0)
        self._calling_shares[route] = share + _CALLING_WEIGHT * (calls - share)

    def is_calling(self, route: str) -> bool:
        """Return whether requests of a route make nested calls, as far as learned."""
        return self._calling_shares.get(route, 0.0) > _CALLING_SHARE

    def record_call(self) -> None:
        """Record that the upstream makes a nested call."""
        self._calls += 1

    def record_outcome(
        self, service: str, *, failed: bool, running: int, slots: int, now: float
    ) -> None:
        """Record the end of a nested call.

        :param failed: it was refused, failed for lack of time, or was late.
        :param running: number of limited requests that run here.
        """
        outcomes = self._outcomes.setdefault(service, _Outcomes(now))
        outcomes.add(now, failed=failed)
        if not failed or not outcomes.show_lack_of_room():
            return
        limit = self._get_adaptive_limit(slots, now)
        if now - self._limited_at >= _DECREASE_INTERVAL_S:
            limit = max(1.0, min(limit, max(running, 1)) * _DECREASE)
            self._limited_at = now
        self._limit, self._grows_from, self._cause = limit, now + _HOLD_S, service

    def record_wait(self, now: float) -> None:
        """Record that a nested call has to wait for a slot of this upstream.

        If services call each other, the requests that hold all slots here may be waiting for it.
        One slot is therefore kept from requests that make calls.
        """
        self._reserved_until = now + _RESERVATION_S

    def get_limit(self, slots: int, now: float) -> float:
        """Return how many requests of calling routes may run at once; infinite for no limit."""
        limit = self._get_adaptive_limit(slots, now)
        reserved = now < self._reserved_until and slots > 1
        return min(limit, slots - 1.0) if reserved else limit

    def _get_adaptive_limit(self, slots: int, now: float) -> float:
        if self._limit == math.inf:
            return math.inf
        limit = self._limit + max(0.0, now - self._grows_from) * slots / _RECOVERY_S
        if limit >= slots:
            self._limit = math.inf
        return limit if limit < slots else math.inf

    def describe(self, slots: int, now: float) -> LimitDescription:
        """Return the limit and the service that caused it."""
        adaptive = self._get_adaptive_limit(slots, now) < math.inf
        return LimitDescription(self._cause if adaptive else _RESERVED, self.get_limit(slots, now))
