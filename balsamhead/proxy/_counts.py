"""Count calls by service, route, version and upstream."""

from __future__ import annotations

from typing import NamedTuple

from balsamhead.wire import CallCount

__all__ = ("CallCounter", "CallKey")


class CallKey(NamedTuple):
    """Key of the counters of one service, route, version and upstream."""

    service: str
    route: str
    version: str
    #: name of the node that the upstream belongs to
    upstream: str


class CallCounter:
    """Counters of calls, which accumulate until they are drained.

    The methods are not thread-safe; each must be called under a lock.
    """

    def __init__(self, node: str) -> None:
        self._node = node
        self._counts: dict[CallKey, list[int]] = {}

    def add(
        self,
        key: CallKey,
        *,
        calls: int = 0,
        errors: int = 0,
        slow: int = 0,
        shed: int = 0,
        crashes: int = 0,
    ) -> None:
        """Increase the counters of a key by the given amounts."""
        key_counts = self._counts.get(key)
        if key_counts is None:
            key_counts = self._counts[key] = [0, 0, 0, 0, 0]
        key_counts[0] += calls
        key_counts[1] += errors
        key_counts[2] += slow
        key_counts[3] += shed
        key_counts[4] += crashes

    def drain(self) -> tuple[CallCount, ...]:
        """Return the counts accumulated since the last drain and reset them."""
        counts, self._counts = self._counts, {}
        return tuple(self._make_count(key, *key_counts) for key, key_counts in counts.items())

    def _make_count(
        self, key: CallKey, calls: int, errors: int, slow: int, shed: int, crashes: int
    ) -> CallCount:
        return CallCount(
            service=key.service,
            route=key.route,
            version=key.version,
            calls=calls,
            errors=errors,
            slow=slow,
            shed=shed,
            crashes=crashes,
            upstream=key.upstream,
            caller=self._node if errors or crashes else "",
        )
