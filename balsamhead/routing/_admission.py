"""Admission control: limit concurrent calls, and calls that wait for an upstream slot."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ("Admission", "AdmissionConfig")


class AdmissionConfig(NamedTuple):
    """Limits on the calls that a node handles at once."""

    #: concurrent calls in total
    max_calls: int
    #: fraction of ``max_calls`` available to bulk calls, 0 to 1
    bulk_share: float = 0.25
    #: fraction of ``max_calls`` available to a single route, 0 to 1
    route_share: float = 0.75
    #: calls that may wait for a free slot of one service
    max_waiting: int = 16
    #: fraction of the time left before its deadline that a call may wait, 0 to 1
    wait_share: float = 0.5


class Admission:
    """Counters of running and waiting calls, checked against an :class:`AdmissionConfig`."""

    def __init__(self, cfg: AdmissionConfig) -> None:
        self._cfg = cfg
        self._bulk_limit = max(1, int(cfg.max_calls * cfg.bulk_share))
        self._route_limit = max(1, int(cfg.max_calls * cfg.route_share))
        self.running = 0
        self._bulk_calls = 0
        self._calls_by_route: dict[str, int] = {}
        self._waiting: dict[str, int] = {}

    def try_admit(self, route: str, *, bulk: bool) -> bool:
        """Admit a call and return True, or return False if a limit is reached."""
        route_calls = self._calls_by_route.get(route, 0)
        if self.running >= self._cfg.max_calls or route_calls >= self._route_limit:
            return False
        if bulk and self._bulk_calls >= self._bulk_limit:
            return False
        self.running += 1
        self._calls_by_route[route] = route_calls + 1
        self._bulk_calls += bulk
        return True

    def release(self, route: str, *, bulk: bool) -> None:
        """Record the end of a call that :meth:`try_admit` admitted."""
        self.running -= 1
        self._bulk_calls -= bulk
        remaining = self._calls_by_route[route] - 1
        if remaining:
            self._calls_by_route[route] = remaining
        else:
            del self._calls_by_route[route]

    def may_wait(self, service: str, *, time_left_s: float, expected_wait_s: float) -> bool:
        """Return whether a call may wait for a slot of a service.

        :param time_left_s: time until the call's deadline, in s.
        :param expected_wait_s: estimated time until a slot is free, in s.
        """
        if self._waiting.get(service, 0) >= self._cfg.max_waiting:
            return False
        return expected_wait_s <= self._cfg.wait_share * time_left_s

    def begin_wait(self, service: str) -> None:
        """Count a call that starts to wait for a slot of a service."""
        self._waiting[service] = self._waiting.get(service, 0) + 1

    def end_wait(self, service: str) -> None:
        """Stop counting a call that no longer waits."""
        self._waiting[service] -= 1

    def count_waiting(self, service: str) -> int:
        """Return the number of calls that wait for a slot of a service."""
        return self._waiting.get(service, 0)

    def compute_max_wait_s(self, time_left_s: float) -> float:
        """Return the longest time, in s, that a call with this much time left may wait."""
        return self._cfg.wait_share * time_left_s
