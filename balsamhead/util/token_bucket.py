"""Limit the rate of actions with a token bucket."""

from __future__ import annotations

__all__ = ("TokenBucket",)


class TokenBucket:
    """Limit the rate of actions with a token bucket that starts full.

    :param rate: sustained rate, in actions per s.
    :param burst: capacity of the bucket: actions that are allowed at once.
    """

    def __init__(self, *, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = 0.0

    def try_acquire(self, now: float) -> bool:
        """Consume a token and return True, or return False if none is available.

        :param now: current time, in s; a time before the latest one adds no tokens.
        """
        gained = max(0.0, now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._refilled_at = max(now, self._refilled_at)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
