"""Limit the rate at which requests are sent to an upstream: a token bucket."""

from __future__ import annotations

import math
from typing import Final

__all__ = ("RateLimit",)

#: size of the bucket: a fixed number of requests, and what the limit allows in this time, in s
_MIN_BURST: Final = 1.0
_BURST_S: Final = 0.5
#: lowest rate that is used, in requests per s, so that a lower limit, which only a response can
#: raise, doesn't last for good
_MIN_RATE_PER_S: Final = 0.5


class RateLimit:
    """Token bucket whose rate can change; without a limit, each request is admitted.

    All times are in s of the event loop's clock.
    """

    def __init__(self) -> None:
        #: requests per s; None for no limit
        self.limit_per_s: float | None = None
        self._tokens = 0.0
        self._refilled_at = 0.0

    def set_limit(self, limit_per_s: float | None, now: float) -> None:
        """Change the limit; a bucket that gets its first limit starts full."""
        if limit_per_s is not None:
            self._refill(now)
            tokens = self._tokens if self.limit_per_s is not None else math.inf
            self._tokens = min(tokens, _get_burst(limit_per_s))
            self._refilled_at = now
        self.limit_per_s = limit_per_s

    def try_acquire(self, now: float) -> bool:
        """Take a token if there is one; return whether a request may be sent now."""
        if self.get_delay(now) > 0.0:
            return False
        if self.limit_per_s is not None:
            self._tokens -= 1.0
        return True

    def get_delay(self, now: float, *, ahead: int = 0) -> float:
        """Return the time until a request may be sent, in s; 0 if it may be sent now.

        :param ahead: number of requests that go before it.
        """
        if self.limit_per_s is None:
            return 0.0
        self._refill(now)
        missing = 1.0 + ahead - self._tokens
        return max(0.0, missing) / _get_rate(self.limit_per_s)

    def _refill(self, now: float) -> None:
        if self.limit_per_s is None:
            return
        added = (now - self._refilled_at) * _get_rate(self.limit_per_s)
        self._tokens = min(self._tokens + added, _get_burst(self.limit_per_s))
        self._refilled_at = now


def _get_rate(limit_per_s: float) -> float:
    return max(limit_per_s, _MIN_RATE_PER_S)


def _get_burst(limit_per_s: float) -> float:
    return _MIN_BURST + _BURST_S * limit_per_s
