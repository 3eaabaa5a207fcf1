"""Index upstreams by service, version and proximity, so that a selection compares only a few."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.mesh._peers import rank_nodes
from balsamhead.mesh._selection import (
    DEFAULT_SERVICE_MS,
    Candidate,
    Locality,
    estimate_concurrency,
    is_in_time,
)
from balsamhead.mesh.balancing import ReportedLoad, expect_requests_ahead
from balsamhead.mesh.residency import (
    Absence,
    UpstreamRoom,
    compute_utilisation,
    compute_yield_probability,
    explain_absence,
    is_region_allowed,
    list_yielding,
)
from balsamhead.mesh.warmup import get_cold_limit

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Mapping

    from balsamhead.mesh._calls import Call
    from balsamhead.mesh._link_manager import LinkManager
    from balsamhead.mesh._peers import Peer
    from balsamhead.mesh._placement import Placement
    from balsamhead.mesh._settings import MeshSettings
    from balsamhead.mesh._upstream import LocalUpstream
    from balsamhead.mesh.model import ColdStart
    from balsamhead.mesh.residency import Regions

__all__ = ("UpstreamIndex",)

#: maximum number of peers in other data centres that one selection compares
_REMOTE_SAMPLE_SIZE: Final = 4
#: maximum number of peers in this data centre that one selection compares
_NEARBY_SAMPLE_SIZE: Final = 8
#: time without an upstream in this data centre after which bulk calls go to another one, in s
_NEARBY_ONLY_S: Final = 5.0
#: how long the count of upstreams by version is cached, in s
_VERSION_COUNT_TTL_S: Final = 0.05
_SAME_VM: Final = Locality(same_vm=True, same_data_centre=True, same_region=True)


class _VersionGroup(NamedTuple):
    """Peers that run one version of a service.

    Nearby peers are in the data centre of this node; remote ones are elsewhere.
    """

    nearby: list[Peer]
    remote: list[Peer]


class UpstreamIndex:
    """List the candidate upstreams for calls; the index is rebuilt when peers change."""

    def __init__(
        self,
        cfg: MeshSettings,
        *,
        link_manager: LinkManager,
        local: LocalUpstream,
        placement: Placement,
        rng: random.Random,
    ) -> None:
        self._cfg = cfg
        self.placement = placement
        self._link_manager = link_manager
        self._local = local
        self._rng = rng
        self._indexed_epoch = -1
        self._groups_by_service: dict[str, dict[str, _VersionGroup]] = {}
        #: when each service last had a nearby candidate, in s of the loop's clock
        self._nearby_seen_at: dict[str, float] = {}
        self._version_counts: dict[tuple[str, Regions], tuple[int, float, dict[str, int]]] = {}
        #: regions of the known nodes by service, without and within evacuated data centres
        self._open_regions: dict[str, set[str]] = {}
        self._evacuated_regions: dict[str, set[str]] = {}
        self._cold_starts: Mapping[str, ColdStart] = {}
        #: loads are expected from what other nodes may have sent since each report
        self.even = False

    def set_cold_starts(self, cold_starts: Mapping[str, ColdStart]) -> None:
        """Change what upstreams take while cold, by service.

        The rate limits these upstreams, so the selection doesn't avoid them for their slow start.
        """
        self._cold_starts = cold_starts

    def apply_placement(self) -> None:
        """Leave out the data centres that are evacuated by now."""
        self._indexed_epoch = -1
        self._version_counts.clear()

    def explain_absence(self, service: str, regions: Regions) -> Absence:
        """Return how a request is refused for which no upstream accepts calls."""
        self._get_groups(service)
        return explain_absence(
            bound=regions is not None,
            known=_has_any(self._open_regions.get(service, ()), regions),
            evacuated=_has_any(self._evacuated_regions.get(service, ()), regions),
        )

    def may_leave_region(self, service: str, regions: Regions, now: float) -> bool:
        """Return whether bulk requests may go to other regions than that of this node.

        They stay unless they may not be served here, or no upstream here is left by an evacuation.
        """
        region = self._cfg.region
        if not is_region_allowed(regions, region):
            return True
        evacuated = region in self._evacuated_regions.get(service, ())
        return evacuated and not self.count_by_version(service, now, frozenset((region,)))

    def count_by_version(self, service: str, now: float, regions: Regions = None) -> dict[str, int]:
        """Return how many upstreams of each version accept calls; cached for a short time.

        :param regions: allowed regions; None for all.
        """
        cached = self._version_counts.get((service, regions))
        groups = self._get_groups(service)
        if cached is not None and cached[0] == self._indexed_epoch and now < cached[1]:
            return cached[2]
        counts = self._compute_version_counts(service, groups, now, regions)
        expires_at = now + _VERSION_COUNT_TTL_S
        self._version_counts[service, regions] = (self._indexed_epoch, expires_at, counts)
        return counts

    def _compute_version_counts(
        self, service: str, groups: dict[str, _VersionGroup], now: float, regions: Regions
    ) -> dict[str, int]:
        counts: dict[str, int] = {}
        for version, group in groups.items():
            count = sum(
                self._accepts_calls(peer, now)
                for rows in group
                for peer in _list_allowed(rows, regions)
            )
            if count:
                counts[version] = count
        if self._serves_locally(service, regions):
            assert self._local.record is not None
            version = self._local.record.version
            counts[version] = counts.get(version, 0) + 1
        return counts

    def list_candidates(
        self,
        service: str,
        versions: Collection[str],
        *,
        excluded: Collection[str],
        priority: int,
        objective_ms: float,
        time_ratio: float,
        prefer_nearby: bool,
        now: float,
        regions: Regions = None,
        may_yield: bool = False,
    ) -> list[Candidate]:
        """Return nearby upstreams of some versions, and a few remote ones if none of them would
        serve the request in time.

        :param excluded: names of nodes that are left out.
        :param objective_ms: time until the latency objective is missed.
        :param time_ratio: ratio of the expected time of the request to the mean at an upstream.
        :param prefer_nearby: add remote ones only after some seconds without a nearby one.
        :param regions: allowed regions; None for all.
        :param may_yield: the request may leave a crowded region to requests that are bound to it.
        """
        nearby: list[Peer] = []
        remote: list[Peer] = []
        for version, group in self._get_groups(service).items():
            if version in versions:
                allowed = _list_allowed(group.nearby, regions)
                nearby += [peer for peer in allowed if self._is_eligible(peer, excluded, now)]
                remote += _list_allowed(group.remote, regions)
        candidates = [
            self._make_candidate(peer, priority, now)
            for peer in self._sample(nearby, _NEARBY_SAMPLE_SIZE)
        ]
        if self._serves_locally(service, regions) and self._cfg.node not in excluded:
            local_candidate = self._make_local_candidate(priority)
            if local_candidate.version in versions:
                candidates.append(local_candidate)
        if candidates:
            self._nearby_seen_at[service] = now
        if self.even:
            candidates = self._expect_loads(candidates)
        leaves_data_centre = not self._may_serve_nearby(regions)
        if (
            prefer_nearby
            and not leaves_data_centre
            and now - self._nearby_seen_at.setdefault(service, now) < _NEARBY_ONLY_S
        ):
            return candidates
        candidates = [row._replace(time_ratio=time_ratio) for row in candidates]
        carrying: frozenset[str] = frozenset()
        if may_yield and regions is None:
            carrying = self.placement.residency.get_carrying_regions(service)
        draw = self._rng.random() if carrying else 1.0
        yields = self._cfg.region in carrying and draw < compute_yield_probability(
            compute_utilisation(self._make_rooms(candidates, objective_ms))
        )
        if yields or not any(is_in_time(candidate, objective_ms) for candidate in candidates):
            eligible_remote = [peer for peer in remote if self._is_eligible(peer, excluded, now)]
            if yields or (prefer_nearby and leaves_data_centre):
                eligible_remote = self._prefer_region(eligible_remote, own=not yields)
            remote_candidates = [
                self._make_candidate(peer, priority, now)._replace(time_ratio=time_ratio)
                for peer in self._sample(eligible_remote, _REMOTE_SAMPLE_SIZE)
            ]
            candidates += self._expect_loads(remote_candidates) if self.even else remote_candidates
        if not carrying:
            return candidates
        rooms = self._make_rooms(candidates, objective_ms)
        left = list_yielding(rooms, carrying=carrying, draw=draw)
        return [row for index, row in enumerate(candidates) if index not in left]

    def _may_serve_nearby(self, regions: Regions) -> bool:
        """Return whether upstreams of this data centre may serve a request."""
        return is_region_allowed(regions, self._cfg.region) and (
            not self.placement.evacuation.own_evacuated
        )

    def _prefer_region(self, peers: list[Peer], *, own: bool) -> list[Peer]:
        """Return the peers within the region of this node, or outside it; all if there are none."""
        region = self._cfg.region
        return [peer for peer in peers if (peer.record.region == region) == own] or peers

    def _make_rooms(self, candidates: list[Candidate], objective_ms: float) -> list[UpstreamRoom]:
        peers = self._link_manager.table.peers
        return [
            UpstreamRoom(
                self._cfg.region if row.locality.same_region else peers[row.node].record.region,
                row.slots,
                row.requests_ahead,
                is_in_time(row, objective_ms),
            )
            for row in candidates
        ]

    def _expect_loads(self, candidates: list[Candidate]) -> list[Candidate]:
        """Replace the loads by those to expect, with what other nodes may have sent."""
        expected = expect_requests_ahead(
            [
                ReportedLoad(row.slots, row.reported_ahead, row.service_ms, row.load_age_s)
                for row in candidates
            ]
        )
        return [
            row._replace(requests_ahead=requests_ahead)
            for row, requests_ahead in zip(candidates, expected, strict=True)
        ]

    def list_trial_candidates(
        self,
        service: str,
        versions: Collection[str],
        fingerprint: bytes,
        *,
        excluded: Collection[str],
        priority: int,
        now: float,
        regions: Regions = None,
    ) -> list[Candidate]:
        """Return the only upstream on which a request may be on trial; none if it takes no calls.

        All nodes that know the same upstreams return the same one for the same allowed regions.
        """
        node = self._find_trial_node(service, versions, fingerprint, regions)
        if node is None or node in excluded:
            return []
        if node == self._cfg.node:
            return [self._make_local_candidate(priority)]
        peer = self._link_manager.table.peers[node]
        return [self._make_candidate(peer, priority, now)] if self._accepts_calls(peer, now) else []

    def is_trial_node(self, fingerprint: bytes, call: Call) -> bool:
        """Return whether the request of a call may be on trial on this node's upstream."""
        record = self._local.record
        if record is None:
            return False
        regions = self.placement.get_regions(call.route, call.account)
        node = self._find_trial_node(record.service, (record.version,), fingerprint, regions)
        return node == self._cfg.node

    def _find_trial_node(
        self, service: str, versions: Collection[str], fingerprint: bytes, regions: Regions
    ) -> str | None:
        names = [
            peer.record.name
            for version, group in self._get_groups(service).items()
            if version in versions
            for peers in group
            for peer in _list_allowed(peers, regions)
        ]
        record = self._local.record
        if (
            self._serves_locally(service, regions)
            and record is not None
            and record.version in versions
        ):
            names.append(self._cfg.node)
        ranked_names = rank_nodes(names, f"trial/{fingerprint.hex()}")
        return ranked_names[0] if ranked_names else None

    def _sample(self, peers: list[Peer], size: int) -> list[Peer]:
        return peers if len(peers) <= size else self._rng.sample(peers, size)

    def _get_groups(self, service: str) -> dict[str, _VersionGroup]:
        if self._indexed_epoch != self._link_manager.epoch:
            self._indexed_epoch = self._link_manager.epoch
            self._rebuild_index()
        return self._groups_by_service.get(service, {})

    def _rebuild_index(self) -> None:
        self._groups_by_service = {}
        evacuated = self.placement.evacuation.evacuated
        self._open_regions, self._evacuated_regions = {}, {}
        self._add_place(self._cfg.service, self._cfg.region, self._cfg.data_centre in evacuated)
        for peer in self._link_manager.table.peers.values():
            view, record = peer.upstream, peer.record
            self._add_place(record.service, record.region, record.data_centre in evacuated)
            if record.data_centre in evacuated:
                continue
            if view is None or not view.accepts_requests or peer.is_upstream_leaving():
                continue
            if peer.stopping or peer.link is None:
                continue
            versions = self._groups_by_service.setdefault(peer.record.service, {})
            group = versions.setdefault(view.version, _VersionGroup([], []))
            nearby = peer.record.data_centre == self._cfg.data_centre
            (group.nearby if nearby else group.remote).append(peer)

    def _add_place(self, service: str, region: str, evacuated: bool) -> None:
        places = self._evacuated_regions if evacuated else self._open_regions
        places.setdefault(service, set()).add(region)

    def _serves_locally(self, service: str, regions: Regions) -> bool:
        return (
            service == self._cfg.service
            and is_region_allowed(regions, self._cfg.region)
            and self._local.accepts_requests()
        )

    def _is_eligible(self, peer: Peer, excluded: Collection[str], now: float) -> bool:
        return self._accepts_calls(peer, now) and peer.record.name not in excluded

    def _accepts_calls(self, peer: Peer, now: float) -> bool:
        return now >= peer.backoff_until and peer.is_live(
            now, self._link_manager.get_suspect_timeout(peer)
        )

    def _make_candidate(self, peer: Peer, priority: int, now: float) -> Candidate:
        view, record = peer.upstream, peer.record
        assert view is not None
        return Candidate(
            node=record.name,
            version=view.version,
            slots=self._estimate_slots(
                record.service,
                view.slots,
                in_slow_start=view.in_slow_start,
                limit_per_s=peer.get_limit(),
                service_ms=peer.load.service_ms,
            ),
            requests_ahead=peer.estimate_requests_ahead(now, priority),
            service_ms=peer.load.service_ms,
            in_slow_start=view.in_slow_start and record.service not in self._cold_starts,
            locality=Locality(
                same_vm=False,
                same_data_centre=record.data_centre == self._cfg.data_centre,
                same_region=record.region == self._cfg.region,
            ),
            saturated=peer.load.saturated,
            failure_rate=peer.load.failure_rate,
            load_age_s=now - peer.load_reported_at,
            limit_wait_ms=max(0.0, peer.limited_until - now) * 1000,
            reported_ahead=peer.count_reported_ahead(priority),
            load_is_private=peer.load_is_private,
        )

    def _estimate_slots(
        self,
        service: str,
        slots: int,
        *,
        in_slow_start: bool,
        limit_per_s: float | None,
        service_ms: float,
    ) -> float:
        """Return how many requests an upstream can run at once within its rate limits."""
        cold_start = self._cold_starts.get(service) if in_slow_start else None
        if cold_start is None:
            return estimate_concurrency(slots, limit_per_s=limit_per_s, service_ms=service_ms)
        limit_per_s = get_cold_limit(cold_start, limit_per_s=limit_per_s)
        # an upstream that has just started has measured no requests
        return estimate_concurrency(
            slots, limit_per_s=limit_per_s, service_ms=service_ms or DEFAULT_SERVICE_MS
        )

    def _make_local_candidate(self, priority: int) -> Candidate:
        record, load = self._local.record, self._local.get_load()
        assert record is not None
        requests_ahead = load.count_requests_ahead(priority)
        return Candidate(
            node=self._cfg.node,
            version=record.version,
            slots=self._estimate_slots(
                record.service,
                record.slots,
                in_slow_start=self._local.is_in_slow_start(),
                limit_per_s=self._local.get_limit(),
                service_ms=load.service_ms,
            ),
            requests_ahead=requests_ahead,
            service_ms=load.service_ms,
            in_slow_start=(
                self._local.is_in_slow_start() and record.service not in self._cold_starts
            ),
            locality=_SAME_VM,
            saturated=load.saturated,
            failure_rate=load.failure_rate,
            limit_wait_ms=self._local.get_limit_wait() * 1000,
            reported_ahead=requests_ahead,
            load_is_private=True,
        )


def _list_allowed(peers: list[Peer], regions: Regions) -> list[Peer]:
    if regions is None:
        return peers
    return [peer for peer in peers if peer.record.region in regions]


def _has_any(known_regions: Collection[str], regions: Regions) -> bool:
    return any(is_region_allowed(regions, region) for region in known_regions)
