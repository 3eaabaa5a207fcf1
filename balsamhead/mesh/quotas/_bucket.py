"""Token bucket whose limit can change."""

from __future__ import annotations

from typing import Final

__all__ = ("TokenBucket",)

#: least capacity, so that an account with a smaller burst gets any requests at all
_MIN_CAPACITY: Final = 1.0
#: rounding error up to which a token counts as whole
_EPSILON: Final = 1e-9


class TokenBucket:
    """Limit the rate of requests; all times are in s of one clock.

    :param rate: sustained rate, in requests per s.
    :param burst: capacity of the bucket.
    :param tokens: content at the beginning.
    """

    __slots__ = ("_capacity", "_rate", "_refilled_at", "_tokens")

    def __init__(self, *, rate: float, burst: float, tokens: float, now: float) -> None:
        self._rate = rate
        self._capacity = max(_MIN_CAPACITY, burst)
        self._tokens = min(tokens, self._capacity)
        self._refilled_at = now

    def set_limit(self, *, rate: float, burst: float, now: float) -> None:
        """Change the limit; tokens beyond the new capacity are lost."""
        self._refill(now)
        self._rate = rate
        self._capacity = max(_MIN_CAPACITY, burst)
        self._tokens = min(self._tokens, self._capacity)

    def take(self, count: int, now: float) -> int:
        """Take up to ``count`` whole tokens, and return how many were taken."""
        self._refill(now)
        taken = max(0, min(count, int(self._tokens + _EPSILON)))
        self._tokens -= taken
        return taken

    def take_upper_half(self, count: int, now: float) -> int:
        """Take up to ``count`` whole tokens beyond half of the capacity; return how many."""
        self._refill(now)
        return self.take(max(0, min(count, int(self._tokens - self._capacity / 2))), now)

    def give_back(self, count: int, now: float) -> None:
        """Return tokens that were not used."""
        self._refill(now)
        self._tokens = min(self._capacity, self._tokens + count)

    def get_tokens(self, now: float) -> float:
        """Return the number of tokens."""
        self._refill(now)
        return self._tokens

    def get_delay(self, now: float) -> float:
        """Return the time until there is a whole token, in s."""
        self._refill(now)
        missing = 1.0 - self._tokens
        if missing <= _EPSILON:
            return 0.0
        return missing / self._rate if self._rate > 0.0 else float("inf")

    def is_full(self, now: float) -> bool:
        """Return whether the bucket holds its capacity."""
        self._refill(now)
        return self._tokens >= self._capacity

    def _refill(self, now: float) -> None:
        if now > self._refilled_at:
            gained = (now - self._refilled_at) * self._rate
            self._tokens = min(self._capacity, self._tokens + gained)
            self._refilled_at = now
