"""Match requests to routes and split the requests of a route between services by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamhead.mesh.model import Config, Route

__all__ = ("RouteTable", "WeightedRoundRobin")


class RouteTable:
    """Match requests to routes by host and longest path prefix."""

    def __init__(self, config: Config) -> None:
        self.version = config.version
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        self._prefix_lengths: dict[str, list[int]] = {}
        for route in config.routes.values():
            self._routes_by_host.setdefault(route.host, {})[route.prefix] = route
        for host, routes_by_prefix in self._routes_by_host.items():
            self._prefix_lengths[host] = sorted(
                {len(prefix) for prefix in routes_by_prefix}, reverse=True
            )

    def find(self, host: str, path: str) -> Route | None:
        """Return the route for a path, given without its query, or None."""
        hostname = host.partition(":")[0].lower()
        routes_by_prefix = self._routes_by_host.get(hostname)
        if routes_by_prefix is None:
            return None
        for length in self._prefix_lengths[hostname]:
            route = routes_by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


class WeightedRoundRobin:
    """Assign the requests of each route to its services by smooth weighted round robin."""

    def __init__(self) -> None:
        self._credit: dict[str, list[float]] = {}

    def next_service(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        parts = route.parts
        if len(parts) == 1:
            return parts[0].service
        credit = self._credit.get(route.name)
        if credit is None or len(credit) != len(parts):
            credit = self._credit[route.name] = [0.0] * len(parts)
        total = sum(part.weight for part in parts) or 1.0
        for index, part in enumerate(parts):
            credit[index] += part.weight / total
        chosen = max(range(len(parts)), key=lambda index: credit[index])
        credit[chosen] -= 1.0
        return parts[chosen].service
