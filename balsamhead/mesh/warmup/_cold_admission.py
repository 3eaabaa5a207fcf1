"""Decide when a cold upstream may be sent its next request."""

from __future__ import annotations

from collections import deque
from enum import StrEnum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from balsamhead.mesh.model import ColdStart

__all__ = ("ColdAdmission", "ColdReason")

#: window in which sent requests are counted, in s: a second, and the difference of the delays of
#: two requests on their way to an upstream on the same VM
_WINDOW_S: Final = 1.05
#: requests that may be admitted at once
_BURST: Final = 2.0
#: requests that may be admitted at once when the upstream becomes cold
_FIRST_BURST: Final = 1.0
#: most requests in a window: a factor on the rate, and a fixed number. An upstream is likely to
#: fail above 1.5 times the rate and 8.
_WINDOW_FACTOR: Final = 1.1
_WINDOW_EXTRA: Final = 3.0
#: time from the node's start in which a cold upstream gets no requests, in s. In the same second,
#: the previous run may have sent as many as a window may hold; the rest of that second adds less
#: than half of the rate.
_START_HOLD_S: Final = 0.6
#: time after which the upstream is treated as warm later than it says, in s; its heartbeat states
#: whole ms, and its clock may run slower
_WARM_MARGIN_S: Final = 0.05
#: time within which a heartbeat may arrive that was sent before a connection failed or the process
#: was paused, in s; shorter than the interval of heartbeats, so that a healthy upstream is
#: throttled for at most one more of them
_LATE_HEARTBEAT_S: Final = 1.0


class ColdReason(StrEnum):
    """Why an upstream is treated as cold."""

    #: its heartbeat says so
    ANNOUNCED = "announced"
    #: this run of the node has not heard a heartbeat yet
    NODE_START = "node-start"
    #: a connection was refused or could not be opened
    UNREACHABLE = "unreachable"
    #: connections were lost as in a crash
    CRASH = "crash"
    #: another incarnation has responded in its place
    REPLACED = "replaced"
    #: the node's process did not run for some time
    PAUSE = "pause"
    #: the evacuation of its data centre has ended
    EVACUATION = "evacuation"
    #: heartbeats are missing
    SILENCE = "silence"


#: reasons after which a heartbeat of the same incarnation may arrive that was sent before
_LATE_HEARTBEAT_REASONS: Final = (
    ColdReason.UNREACHABLE,
    ColdReason.CRASH,
    ColdReason.REPLACED,
)


class ColdAdmission:
    """Admit requests to an upstream at the rate that it tolerates while it is cold.

    An upstream is cold until the time that its heartbeat names. It is assumed to be cold from an
    event after which it may have started again until the next heartbeat. Without a ``ColdStart``
    each request is admitted.

    Requests are admitted by a token bucket when they get a slot. The requests that were sent within
    the last second are also counted, since some were admitted before the upstream became cold.

    All times are in s of one clock that never runs backwards.
    """

    def __init__(self, *, silence_s: float, now: float) -> None:
        """Create the state at the start of a node, which assumes that the upstream is cold.

        :param silence_s: time without a heartbeat after which the upstream is assumed to be cold.
        """
        self._silence_s = silence_s
        self._created_at = now
        #: the configuration has not been applied yet
        self._unconfigured = True
        #: what the upstream takes while cold; None if its service has no cold phase
        self.cold_start: ColdStart | None = None
        self._cold_until = 0.0
        self._assumed: ColdReason | None = ColdReason.NODE_START
        self._assumed_at = 0.0
        #: start of the incarnation that was known when the assumption began, in ms
        self._assumed_started_at_ms = -1
        self._heard_at: float | None = None
        self._started_at_ms = -1
        self._tokens = 0.0
        self._refilled_at: float | None = None
        self._was_cold = True
        self._sent: deque[float] = deque()

    # -- state -------------------------------------------------------------------------------

    def set_cold_start(self, cold_start: ColdStart | None, now: float) -> None:
        """Change what the upstream takes while cold; None if its service has no cold phase."""
        self._refill(now)
        if self.cold_start is None and cold_start is not None:
            # Time without a limit adds no tokens, apart from that in which no request was sent.
            unused_s = now - self._created_at - _START_HOLD_S if self._unconfigured else 0.0
            self._tokens = min(_FIRST_BURST, unused_s * cold_start.rate_per_s)
        self.cold_start = cold_start
        self._unconfigured = False
        if cold_start is None:
            self._sent.clear()

    def apply_heartbeat(self, *, started_at_ms: int, cold_s: float, now: float) -> None:
        """Apply a heartbeat that is newer than all before.

        :param started_at_ms: start of the upstream's incarnation, in ms since the epoch.
        :param cold_s: how much longer the upstream stays cold.
        """
        self._refill(now)
        self._heard_at = now
        self._started_at_ms = started_at_ms
        self._cold_until = now + cold_s + _WARM_MARGIN_S if cold_s > 0.0 else 0.0
        if not self._may_precede_assumption(started_at_ms, now):
            self._assumed = None
        self._refill(now)

    def _may_precede_assumption(self, started_at_ms: int, now: float) -> bool:
        """Return whether a heartbeat may have been sent before the assumption began."""
        if self._assumed is None or now - self._assumed_at >= _LATE_HEARTBEAT_S:
            return False
        if self._assumed is ColdReason.PAUSE:
            # Heartbeats of several incarnations may have arrived during the pause.
            return True
        same = started_at_ms <= self._assumed_started_at_ms
        return same and self._assumed in _LATE_HEARTBEAT_REASONS

    def assume_cold(self, reason: ColdReason, now: float) -> None:
        """Treat the upstream as cold until its next heartbeat."""
        self._refill(now)
        recent = self._assumed is not None and now - self._assumed_at < _LATE_HEARTBEAT_S
        if recent and _get_strength(self._assumed) > _get_strength(reason):
            assert self._assumed is not None
            reason = self._assumed
        self._assumed, self._assumed_at = reason, now
        self._assumed_started_at_ms = self._started_at_ms
        self._refill(now)

    def get_reason(self, now: float) -> ColdReason | None:
        """Return why the upstream is treated as cold; None if it isn't."""
        if self.cold_start is None:
            return None
        if self._assumed is not None:
            return self._assumed
        if now < self._cold_until:
            return ColdReason.ANNOUNCED
        if self._heard_at is None or now - self._heard_at > self._silence_s:
            return ColdReason.SILENCE
        return None

    def is_cold(self, now: float) -> bool:
        """Return whether the upstream is treated as cold."""
        return self.get_reason(now) is not None

    # -- requests ----------------------------------------------------------------------------

    def try_acquire(self, now: float) -> bool:
        """Admit a request if the upstream takes one now, and return whether it does."""
        if self.get_delay(now) > 0.0:
            return False
        self._tokens = max(min(0.0, self._tokens), self._tokens - 1.0)
        return True

    def get_delay(self, now: float, *, ahead: int = 0) -> float:
        """Return the time until a request is admitted, in s; 0 if it is admitted now.

        :param ahead: number of requests that go before it.
        """
        self._refill(now)
        if self.cold_start is None or not self._was_cold:
            return 0.0
        rate_per_s = self.cold_start.rate_per_s
        delay_s = max(0.0, 1.0 + ahead - self._tokens) / rate_per_s
        count = self._count_sent(now)
        most = _get_most(rate_per_s)
        if count >= most:
            delay_s = max(delay_s, self._sent[count - most] + _WINDOW_S - now)
        if self._assumed is None and now < self._cold_until:
            delay_s = min(delay_s, self._cold_until - now)
        return delay_s

    def try_send(self, now: float) -> bool:
        """Record that an admitted request is sent; return False if it must not be sent.

        It may have been admitted before the upstream became cold.
        """
        if self.cold_start is None and not self._unconfigured:
            return True
        count = self._count_sent(now)
        if self.cold_start is None:
            # The configuration may say soon that these requests count.
            self._sent.append(now)
            return True
        self._refill(now)
        if self._was_cold and count >= _get_most(self.cold_start.rate_per_s):
            return False
        self._sent.append(now)
        return True

    def _count_sent(self, now: float) -> int:
        while self._sent and now - self._sent[0] >= _WINDOW_S:
            self._sent.popleft()
        return len(self._sent)

    def _refill(self, now: float) -> None:
        """Add the tokens of the time since the last change; call it before and after a change."""
        if self.cold_start is None:
            self._refilled_at = now
            return
        elapsed_s = 0.0 if self._refilled_at is None else max(0.0, now - self._refilled_at)
        self._tokens = min(_BURST, self._tokens + elapsed_s * self.cold_start.rate_per_s)
        self._refilled_at = now
        cold = self.is_cold(now)
        if cold and not self._was_cold:
            self._tokens = min(_FIRST_BURST, self._tokens)
        self._was_cold = cold


def _get_most(rate_per_s: float) -> int:
    """Return the most requests that a cold upstream is sent in a window."""
    return int(rate_per_s * _WINDOW_FACTOR + _WINDOW_EXTRA)


def _get_strength(reason: ColdReason | None) -> int:
    """Return the rank of a reason; after one of a higher rank, fewer heartbeats count."""
    if reason is ColdReason.PAUSE:
        return 2
    return 1 if reason in _LATE_HEARTBEAT_REASONS else 0
