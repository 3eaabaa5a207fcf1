"""Learn which routes carry nested calls, from the services that their requests come from."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from balsamhead.mesh.admission._terms import has_demanding_terms
from balsamhead.mesh.model import RouteKind

if TYPE_CHECKING:
    from balsamhead.mesh.model import Config, Route

__all__ = ("ANNOUNCE_INTERVAL_S", "NESTED_PRIORITY", "NestedRoutes", "compute_nested_wait")

#: priority of nested calls, which precedes that of each route and account
NESTED_PRIORITY: Final = -1
#: interval at which callers' nodes are told which routes carry nested calls, in s
ANNOUNCE_INTERVAL_S: Final = 10.0
#: how long a node believes what it was told, in s; a few announcements may be lost
_TOLD_TTL_S: Final = 3 * ANNOUNCE_INTERVAL_S
#: time in which a sample loses half of its weight, in s
_HALF_LIFE_S: Final = 120.0
#: share of a route's requests below which a caller's service doesn't count as one of its callers
_STRAY_SHARE: Final = 0.02
#: the same for a route that is held to carry nested calls, so that the verdict doesn't alternate
_STRAY_SHARE_NESTED: Final = 0.05
#: negative logarithm of the probability with which a route that is merely rare is mistaken for one
#: with nested calls, at each check
_MIN_EVIDENCE: Final = -math.log(1e-9)
#: samples without which a route doesn't show which services requests come from
_MIN_SAMPLES: Final = 20.0
#: shortest interval between two checks, in s
_CHECK_INTERVAL_S: Final = 0.5
#: multiple of the mean time of a request within which most requests end
_TIME_MARGIN: Final = 1.5


def compute_nested_wait(*, remaining_ms: float, service_ms: float) -> float:
    """Return how long a nested call may wait for a slot, in ms; 0 or less if not at all.

    The request that made it fails if the call does, and its own slot was in use for nothing. The
    call may therefore wait for as long as it can still end before its deadline.
    """
    return remaining_ms - service_ms * _TIME_MARGIN


class _Samples:
    """Requests of a route by the caller's service, of which old ones count less."""

    __slots__ = ("by_service", "decayed_at")

    def __init__(self, now: float) -> None:
        self.by_service: dict[str, float] = {}
        self.decayed_at = now

    def add(self, service: str) -> None:
        self.by_service[service] = self.by_service.get(service, 0.0) + 1.0

    def decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self.decayed_at) / _HALF_LIFE_S)
        self.decayed_at = now
        for service in self.by_service:
            self.by_service[service] *= factor

    @property
    def total(self) -> float:
        return sum(self.by_service.values())

    def list_services(self, stray_share: float) -> set[str]:
        """Return the services that more than some share of the requests come from."""
        least = stray_share * self.total
        return {service for service, count in self.by_service.items() if count > least}

    def get_share(self, services: set[str]) -> float:
        """Return the share of the requests that come from some services, 0 to 1."""
        return sum(self.by_service.get(service, 0.0) for service in services) / self.total


class NestedRoutes:
    """Tell which routes carry nested calls: calls that upstreams make while they run a request.

    Where there are accounts, these are the public routes. Elsewhere a route carries nested calls
    if its requests come only from VMs of some services, while those of other routes come from all.
    The learned part is used only where the configuration has demanding terms. Times are in s of
    one monotonic clock.
    """

    def __init__(self) -> None:
        self._routes: dict[str, Route] = {}
        self._services: frozenset[str] = frozenset()
        self._public: frozenset[str] | None = None
        self._learns = False
        self._samples: dict[str, _Samples] = {}
        self._learned: set[str] = set()
        self._told_until: dict[str, float] = {}
        self._checked_at = -math.inf

    def set_config(self, config: Config) -> None:
        """Apply a configuration; what has been learned of its routes is kept."""
        self._routes = config.routes
        self._services = frozenset(config.services)
        self._public = None
        if config.accounts is not None:
            self._public = frozenset(row.name for row in config.routes.values() if row.public)
        self._learns = has_demanding_terms(config) and self._public is None
        kept = self._routes.keys() if self._learns else set()
        self._samples = {name: row for name, row in self._samples.items() if name in kept}
        self._told_until = {name: end for name, end in self._told_until.items() if name in kept}
        self._learned &= self._samples.keys()

    def is_nested(self, route: str, now: float) -> bool:
        """Return whether the requests of a route are nested calls."""
        if self._public is not None:
            return route in self._public
        return route in self._learned or now < self._told_until.get(route, -math.inf)

    def record(self, route: str, caller_service: str, now: float) -> None:
        """Record the service of the VM that a request came from, at the upstream's node."""
        if not self._learns or route not in self._routes or caller_service not in self._services:
            return
        samples = self._samples.get(route)
        if samples is None:
            samples = self._samples[route] = _Samples(now)
        samples.add(caller_service)
        if now - self._checked_at >= _CHECK_INTERVAL_S:
            self._checked_at = now
            self._check(now)

    def record_told(self, route: str, now: float) -> None:
        """Record that an upstream's node holds a route to carry nested calls."""
        if self._learns and route in self._routes:
            self._told_until[route] = now + _TOLD_TTL_S

    def list_callers(self, route: str) -> set[str]:
        """Return the services whose VMs make the nested calls of a route, as far as learned."""
        if route not in self._learned:
            return set()
        return self._samples[route].list_services(0.0)

    def _check(self, now: float) -> None:
        for samples in self._samples.values():
            samples.decay(now)
        # Requests of restricted routes come from regions that send no others here.
        shown = {
            name: samples.list_services(_STRAY_SHARE)
            for name, samples in self._samples.items()
            if samples.total >= _MIN_SAMPLES and not self._routes[name].allowed_regions
        }
        all_services = set().union(*shown.values())
        everywhere = [self._samples[name] for name, seen in shown.items() if seen == all_services]
        self._learned = {name for name in self._samples if self._is_apart(name, everywhere)}

    def _is_apart(self, name: str, everywhere: list[_Samples]) -> bool:
        """Return whether a route's requests come from fewer services than those of others."""
        samples = self._samples[name]
        # Bulk requests stay in their data centre, which may lack the VMs of some services.
        if samples in everywhere or not everywhere or self._routes[name].kind is RouteKind.BULK:
            return False
        stray_share = _STRAY_SHARE_NESTED if name in self._learned else _STRAY_SHARE
        services = samples.list_services(stray_share)
        if not services:
            return False
        outside = 1.0 - samples.get_share(services)
        expected = min(1.0 - row.get_share(services) for row in everywhere)
        if expected <= outside:
            return False
        return samples.total * _compute_divergence(outside, expected) >= _MIN_EVIDENCE


def _compute_divergence(observed: float, expected: float) -> float:
    """Return the Kullback-Leibler divergence of two Bernoulli distributions.

    By Chernoff's bound, n samples show a share as low as the observed one with a probability of at
    most exp(-n x divergence), if the expected share is the true one.
    """
    observed, expected = max(observed, 0.0), min(expected, 1.0 - 1e-9)
    divergence = (1.0 - observed) * math.log((1.0 - observed) / (1.0 - expected))
    if observed > 0.0:
        divergence += observed * math.log(observed / expected)
    return divergence
