"""Circuit breaker that stops this node's calls to a failing new version."""

from __future__ import annotations

__all__ = ("VersionBreaker",)

#: factor by which earlier calls lose weight with each further call
_DECAY_PER_CALL = 0.98
#: weighted number of failed calls from which a version may be blocked
_MIN_FAILURES = 3.5
#: the same for a version that was blocked before
_MIN_FAILURES_AFTER_BLOCK = 1.5
#: failure rate from which a version may be blocked, 0 to 1
_MIN_FAILURE_RATE = 0.25
#: ratio to the other version's failure rate above which a version is blocked
_MIN_RATE_RATIO = 3.0
#: duration of a block, in s
_BLOCK_DURATION_S = 10.0


class _VersionStats:
    __slots__ = ("blocked_until", "calls", "failures", "was_blocked")

    def __init__(self) -> None:
        self.calls = 0.0
        self.failures = 0.0
        self.blocked_until = 0.0
        self.was_blocked = False

    def add(self, *, failed: bool) -> None:
        self.calls = self.calls * _DECAY_PER_CALL + 1.0
        self.failures = self.failures * _DECAY_PER_CALL + failed

    def failure_rate(self) -> float:
        return self.failures / self.calls if self.calls else 0.0


class VersionBreaker:
    """Circuit breaker per service and version.

    It blocks a version for a fixed time when the version fails far more often than the other one.
    """

    def __init__(self) -> None:
        self._stats: dict[tuple[str, str], _VersionStats] = {}

    def record(self, service: str, version: str, *, failed: bool) -> None:
        """Record the result of a call to a version."""
        self._stats.setdefault((service, version), _VersionStats()).add(failed=failed)

    def is_blocked(self, service: str, version: str, *, fallback: str, now: float) -> bool:
        """Return whether this node must not call a version, and start a block if one is due.

        :param fallback: the version that gets the calls instead; without one, nothing is blocked.
        """
        stats = self._stats.get((service, version))
        if stats is None or not fallback:
            return False
        if now < stats.blocked_until:
            return True
        if not self._is_failing(stats, self._stats.get((service, fallback))):
            return False
        stats.blocked_until = now + _BLOCK_DURATION_S
        stats.calls = stats.failures = 0.0
        stats.was_blocked = True
        return True

    def _is_failing(self, stats: _VersionStats, other: _VersionStats | None) -> bool:
        min_failures = _MIN_FAILURES_AFTER_BLOCK if stats.was_blocked else _MIN_FAILURES
        if stats.failures < min_failures or stats.failure_rate() < _MIN_FAILURE_RATE:
            return False
        return other is None or stats.failure_rate() > _MIN_RATE_RATIO * other.failure_rate()
