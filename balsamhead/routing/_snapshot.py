"""Build the immutable snapshot from which requests are routed."""

from __future__ import annotations

import bisect
from itertools import chain
from types import MappingProxyType
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.fold import RolloutPhase
from balsamhead.membership import MemberStatus, UpstreamState
from balsamhead.routing._match import RouteTable
from balsamhead.routing._subset import compute_connection_budget, select_subset

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Iterator, Mapping, Sequence

    from balsamhead.document import Document, Route, Service
    from balsamhead.fold import ConfigState, Rollout
    from balsamhead.membership import Member, Place, Upstream
    from balsamhead.node import Identity

__all__ = (
    "TIER_COUNT",
    "Endpoint",
    "ServiceRoutes",
    "Snapshot",
    "VersionEndpoints",
    "VersionShare",
    "build_snapshot",
    "pick_version",
)

#: number of locality tiers: same data centre, same region, other region
TIER_COUNT = 3

#: members that announced a ready upstream, by service and version
_Upstreams = dict[tuple[str, str], list[tuple["Member", "Upstream"]]]

_LIVE_STATUSES = (MemberStatus.ALIVE, MemberStatus.SUSPECT)


class Endpoint(NamedTuple):
    """One incarnation of an upstream, with the address and the limits that it announced."""

    node: str
    incarnation: int
    host: str
    port: int
    slots: int
    connections: int
    #: 0 for the same data centre, 1 for the same region, 2 for another region
    tier: int
    #: the failure detector suspects the upstream's node
    suspect: bool


class VersionShare(NamedTuple):
    """Share of a service's calls that a version gets, 0 to 1."""

    version: str
    share: float


class VersionEndpoints(NamedTuple):
    """Endpoints of a version that this node uses."""

    #: nearest tier first; each tier is sorted by node name
    tiers: tuple[tuple[Endpoint, ...], ...]
    #: idle connections that this node may keep to all endpoints together
    connection_budget: int


_NO_ENDPOINTS: Final = VersionEndpoints(((),) * TIER_COUNT, 1)
_UNRESTRICTED: Final[Mapping[str, dict[str, VersionEndpoints]]] = MappingProxyType({})


class ServiceRoutes(NamedTuple):
    """Versions of a service that get calls, with their shares and endpoints."""

    name: str
    #: new version before the old one, adding up to 1; empty if all versions are withdrawn
    shares: tuple[VersionShare, ...]
    #: version that gets the calls of a version without endpoints; empty if there is none
    fallback: str
    #: latency objective, in ms
    latency_objective_ms: float
    versions: dict[str, VersionEndpoints]
    #: versions by name of each route that names regions, with the endpoints in these regions only
    restricted: Mapping[str, dict[str, VersionEndpoints]] = _UNRESTRICTED

    def get_endpoints(self, version: str, route: str) -> VersionEndpoints:
        """Return the endpoints of a version that may run calls of a route."""
        versions = self.restricted.get(route)
        if versions is None:
            return self.versions[version]
        return versions.get(version, _NO_ENDPOINTS)

    def list_endpoints(self) -> Iterator[Endpoint]:
        """Iterate over all endpoints; one may occur several times."""
        for versions in (self.versions, *self.restricted.values()):
            for version in versions.values():
                yield from chain.from_iterable(version.tiers)


class Snapshot(NamedTuple):
    """All data that request handling reads; an update replaces the whole snapshot."""

    #: log offset of the configuration that the snapshot was built from; -1 before the first
    offset: int
    routes: RouteTable
    services: dict[str, ServiceRoutes]


def _compute_tier(place: Place, own: Place) -> int:
    if place.data_centre == own.data_centre:
        return 0
    return 1 if place.region == own.region else 2


def _is_withdrawn(
    config: ConfigState,
    withdrawn: Mapping[tuple[str, str, int], str],
    version_key: tuple[str, str, int],
) -> bool:
    return version_key in withdrawn or any(row[:3] == version_key for row in config.withdrawn)


def _compute_shares(
    service: Service, rollout: Rollout | None, *, wanted_withdrawn: bool
) -> tuple[tuple[VersionShare, ...], str]:
    if rollout is None:
        shares = () if wanted_withdrawn else (VersionShare(service.version, 1.0),)
        return shares, ""

    if wanted_withdrawn or rollout.phase is RolloutPhase.ROLLED_BACK:
        return ((VersionShare(rollout.old, 1.0),) if rollout.old else ()), ""
    if rollout.phase is RolloutPhase.DONE or not rollout.old:
        return (VersionShare(rollout.new, 1.0),), ""

    share = 1.0 if rollout.phase is RolloutPhase.WATCHING else rollout.share
    both = (VersionShare(rollout.new, share), VersionShare(rollout.old, 1.0 - share))
    return both, rollout.old


def _collect_upstreams(members: Iterable[Member]) -> _Upstreams:
    upstreams: _Upstreams = {}
    for member in members:
        upstream = member.upstream
        if upstream is None or upstream.state is not UpstreamState.READY:
            continue
        if member.status not in _LIVE_STATUSES:
            continue
        upstreams.setdefault((upstream.service, upstream.version), []).append((member, upstream))
    return upstreams


def _make_endpoint(member: Member, upstream: Upstream, own: Place) -> Endpoint:
    return Endpoint(
        node=member.node,
        incarnation=upstream.incarnation,
        host=upstream.host,
        port=upstream.port,
        slots=max(1, upstream.slots),
        connections=max(1, upstream.connections),
        tier=_compute_tier(member.place, own),
        suspect=member.status is MemberStatus.SUSPECT,
    )


def _select_endpoints(
    upstreams: Sequence[tuple[Member, Upstream]], *, nodes: int, identity: Identity
) -> VersionEndpoints:
    endpoints = [_make_endpoint(member, upstream, identity.place) for member, upstream in upstreams]
    limit = min((endpoint.connections for endpoint in endpoints), default=1)
    budget = compute_connection_budget(
        connections=limit, upstreams=max(1, len(endpoints)), nodes=nodes
    )
    tiers = []
    for tier in range(TIER_COUNT):
        in_tier = [endpoint for endpoint in endpoints if endpoint.tier == tier]
        chosen = select_subset(identity.node, in_tier, lambda e: e.node, size=budget)
        tiers.append(tuple(sorted(chosen)))
    return VersionEndpoints(tuple(tiers), budget)


def _build_service(
    service: Service,
    *,
    document_offset: int,
    config: ConfigState,
    withdrawn: Mapping[tuple[str, str, int], str],
    upstreams: _Upstreams,
    restricted: Iterable[tuple[Route, _Upstreams]],
    nodes: int,
    identity: Identity,
) -> ServiceRoutes:
    rollout = next((row for row in config.rollouts if row.service == service.name), None)
    wanted_offset = document_offset if rollout is None else rollout.document_offset
    wanted_version = service.version if rollout is None else rollout.new
    version_key = (service.name, wanted_version, wanted_offset)
    shares, fallback = _compute_shares(
        service, rollout, wanted_withdrawn=_is_withdrawn(config, withdrawn, version_key)
    )

    def select(usable: _Upstreams) -> dict[str, VersionEndpoints]:
        return {
            share.version: _select_endpoints(
                usable.get((service.name, share.version), ()), nodes=nodes, identity=identity
            )
            for share in shares
        }

    return ServiceRoutes(
        service.name,
        shares,
        fallback,
        service.objective.latency_ms,
        select(upstreams),
        {route.name: select(usable) for route, usable in restricted},
    )


def _collect_restricted(
    document: Document, members: Sequence[Member]
) -> dict[str, list[tuple[Route, _Upstreams]]]:
    """Return the routes that name regions, by service, with the upstreams in their regions."""
    by_regions: dict[tuple[str, ...], _Upstreams] = {}
    restricted: dict[str, list[tuple[Route, _Upstreams]]] = {}
    for route in document.routes:
        if not route.regions:
            continue
        usable = by_regions.get(route.regions)
        if usable is None:
            places = _list_places(document, route.regions)
            usable = _collect_upstreams(m for m in members if m.place in places)
            by_regions[route.regions] = usable
        restricted.setdefault(route.service, []).append((route, usable))
    return restricted


def _list_places(document: Document, regions: tuple[str, ...]) -> set[tuple[str, str]]:
    """Return the data centres of regions, each with the name of its region.

    A node whose settings disagree with the document about the region of its data centre is in
    none of them: its real place is not known.
    """
    return {
        (data_centre, region.name)
        for region in document.regions
        if region.name in regions
        for data_centre in region.data_centres
    }


def build_snapshot(
    *,
    config: ConfigState,
    withdrawn: Mapping[tuple[str, str, int], str],
    members: Iterable[Member],
    identity: Identity,
) -> Snapshot:
    """Build a snapshot from the configuration in force and the known members.

    :param withdrawn: reasons by (service, version, document offset) for versions that must get
        no calls.
    """
    document: Document | None = config.document
    if document is None:
        return Snapshot(config.offset, RouteTable(()), {})

    member_list = list(members)
    nodes = sum(1 for member in member_list if member.status in _LIVE_STATUSES)
    upstreams = _collect_upstreams(member_list)
    restricted = _collect_restricted(document, member_list)
    services = {
        service.name: _build_service(
            service,
            document_offset=config.document_offset,
            config=config,
            withdrawn=withdrawn,
            upstreams=upstreams,
            restricted=restricted.get(service.name, ()),
            nodes=nodes,
            identity=identity,
        )
        for service in document.services
    }
    return Snapshot(config.offset, RouteTable(document.routes), services)


def pick_version(
    service: ServiceRoutes,
    rng: random.Random,
    *,
    blocked: frozenset[str] = frozenset(),
    route: str = "",
) -> str:
    """Pick the version of a call at random, weighted by the shares in force.

    The old version gets the calls of a new version that has no endpoints for the route or is
    blocked by this node's circuit breaker. The reverse never happens: the new version's share
    would rise without evidence that the version is good.

    :param route: name of the call's route, which may restrict the endpoints.
    :returns: the version, or an empty string if no version gets calls.
    """
    shares = service.shares
    if not shares:
        return ""

    if len(shares) == 1:
        return shares[0].version
    bounds = [shares[0].share, 1.0]
    picked = shares[min(bisect.bisect_right(bounds, rng.random()), 1)].version
    if picked == service.fallback or not service.fallback:
        return picked
    usable = any(service.get_endpoints(picked, route).tiers) and picked not in blocked
    return picked if usable else service.fallback
