"""Find the route of a request, and the part of it that the request belongs to."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamhead.mesh.model import Config, Route

__all__ = ("RouteTable", "WeightedParts")


class RouteTable:
    """Find routes by host and longest prefix."""

    def __init__(self, config: Config) -> None:
        self.version = config.version
        self._by_host: dict[str, dict[str, Route]] = {}
        self._lengths: dict[str, list[int]] = {}
        for route in config.routes.values():
            self._by_host.setdefault(route.host, {})[route.prefix] = route
        for host, prefixes in self._by_host.items():
            self._lengths[host] = sorted({len(prefix) for prefix in prefixes}, reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a path without its query, or None."""
        name = host.partition(":")[0].lower()
        prefixes = self._by_host.get(name)
        if prefixes is None:
            return None
        for length in self._lengths[name]:
            route = prefixes.get(path[:length])
            if route is not None:
                return route
        return None


class WeightedParts:
    """Deal the requests of each route to its parts, as even as their weights allow."""

    def __init__(self) -> None:
        self._owed: dict[str, list[float]] = {}

    def deal(self, route: Route) -> str:
        """Return the service that runs the next request of a route."""
        parts = route.parts
        if len(parts) == 1:
            return parts[0].service
        owed = self._owed.get(route.name)
        if owed is None or len(owed) != len(parts):
            owed = self._owed[route.name] = [0.0] * len(parts)
        total = sum(part.weight for part in parts) or 1.0
        for index, part in enumerate(parts):
            owed[index] += part.weight / total
        best = max(range(len(parts)), key=lambda index: owed[index])
        owed[best] -= 1.0
        return parts[best].service
