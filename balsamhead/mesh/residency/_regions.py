"""Derive the allowed regions of requests from a configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Collection

    from balsamhead.mesh.model import Config

__all__ = ("Regions", "Residency", "is_region_allowed")

#: regions in which a request may be served; None for all, an empty set for none
Regions: TypeAlias = frozenset[str] | None

_NOWHERE: frozenset[str] = frozenset()


def is_region_allowed(regions: Regions, region: str) -> bool:
    """Return whether a request that is bound to some regions may be served in a region."""
    return regions is None or region in regions


class Residency:
    """Allowed regions of the routes and client accounts of one configuration."""

    def __init__(self, config: Config | None) -> None:
        """Read the restrictions of a configuration; None for one without any.

        A route that could not be read may be served nowhere.
        """
        routes = {} if config is None else config.routes
        accounts = {} if config is None else config.accounts or {}
        self._by_route = {
            name: (frozenset(route.allowed_regions) or None) if route.served else _NOWHERE
            for name, route in routes.items()
        }
        self._by_account = {
            name: frozenset(account.allowed_regions) or None for name, account in accounts.items()
        }
        self._by_service: dict[str, frozenset[str]] = {}
        for route in routes.values():
            for part in route.parts if route.allowed_regions else ():
                known = self._by_service.get(part.service, _NOWHERE)
                self._by_service[part.service] = known.union(route.allowed_regions)
        #: a route or an account of the configuration is bound to some regions
        self.restricted = any(
            regions is not None
            for regions in (*self._by_route.values(), *self._by_account.values())
        )

    def get_regions(self, route: str, account: str) -> Regions:
        """Return the regions in which a request may be served.

        The regions of the route and those of the account both apply. Where the configuration binds
        anything to regions, a request of a route or an account that it lacks may be served nowhere:
        its regions are in a configuration that this node doesn't hold.

        :param account: name of the client account; empty for none.
        """
        if not self.restricted:
            return None
        by_route = self._by_route.get(route, _NOWHERE)
        by_account = self._by_account.get(account, _NOWHERE) if account else None
        if by_route is None or by_account is None:
            return by_account if by_route is None else by_route
        return by_route & by_account

    def get_carrying_regions(self, service: str) -> frozenset[str]:
        """Return the regions that must carry the load of routes of a service that are bound."""
        return self._by_service.get(service, _NOWHERE)

    def find_unknown(self, known_regions: Collection[str]) -> dict[str, list[str]]:
        """Return the routes and accounts that name regions without a known node, by region."""
        found: dict[str, list[str]] = {}
        for rows in (self._by_route, self._by_account):
            for name, regions in rows.items():
                for region in (regions or _NOWHERE).difference(known_regions):
                    found.setdefault(region, []).append(name)
        return {region: sorted(names) for region, names in sorted(found.items())}
