"""Index upstreams by service, version and proximity, so that a selection compares only a few."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.mesh._peers import rank_nodes
from balsamhead.mesh._selection import Candidate, Locality, estimate_concurrency, is_in_time
from balsamhead.mesh.balancing import ReportedLoad, expect_requests_ahead

if TYPE_CHECKING:
    import random
    from collections.abc import Collection

    from balsamhead.mesh._link_manager import LinkManager
    from balsamhead.mesh._peers import Peer
    from balsamhead.mesh._settings import MeshSettings
    from balsamhead.mesh._upstream import LocalUpstream

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
        rng: random.Random,
    ) -> None:
        self._cfg = cfg
        self._link_manager = link_manager
        self._local = local
        self._rng = rng
        self._indexed_epoch = -1
        self._groups_by_service: dict[str, dict[str, _VersionGroup]] = {}
        #: when each service last had a nearby candidate, in s of the loop's clock
        self._nearby_seen_at: dict[str, float] = {}
        self._version_counts: dict[str, tuple[int, float, dict[str, int]]] = {}
        #: loads are expected from what other nodes may have sent since each report
        self.even = False

    def count_by_version(self, service: str, now: float) -> dict[str, int]:
        """Return how many upstreams of each version accept calls; cached for a short time."""
        cached = self._version_counts.get(service)
        groups = self._get_groups(service)
        if cached is not None and cached[0] == self._indexed_epoch and now < cached[1]:
            return cached[2]
        counts = self._compute_version_counts(service, groups, now)
        self._version_counts[service] = (self._indexed_epoch, now + _VERSION_COUNT_TTL_S, counts)
        return counts

    def _compute_version_counts(
        self, service: str, groups: dict[str, _VersionGroup], now: float
    ) -> dict[str, int]:
        counts: dict[str, int] = {}
        for version, group in groups.items():
            count = sum(self._accepts_calls(peer, now) for rows in group for peer in rows)
            if count:
                counts[version] = count
        if self._serves_locally(service):
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
    ) -> list[Candidate]:
        """Return nearby upstreams of some versions, and a few remote ones if none of them would
        serve the request in time.

        :param excluded: names of nodes that are left out.
        :param objective_ms: time until the latency objective is missed.
        :param time_ratio: ratio of the expected time of the request to the mean at an upstream.
        :param prefer_nearby: add remote ones only after some seconds without a nearby one.
        """
        nearby: list[Peer] = []
        remote: list[Peer] = []
        for version, group in self._get_groups(service).items():
            if version in versions:
                nearby += [peer for peer in group.nearby if self._is_eligible(peer, excluded, now)]
                remote += group.remote
        candidates = [
            self._make_candidate(peer, priority, now)
            for peer in self._sample(nearby, _NEARBY_SAMPLE_SIZE)
        ]
        if self._serves_locally(service) and self._cfg.node not in excluded:
            local_candidate = self._make_local_candidate(priority)
            if local_candidate.version in versions:
                candidates.append(local_candidate)
        if candidates:
            self._nearby_seen_at[service] = now
        if self.even:
            candidates = self._expect_loads(candidates)
        if prefer_nearby and now - self._nearby_seen_at.setdefault(service, now) < _NEARBY_ONLY_S:
            return candidates
        candidates = [row._replace(time_ratio=time_ratio) for row in candidates]
        if not any(is_in_time(candidate, objective_ms) for candidate in candidates):
            eligible_remote = [peer for peer in remote if self._is_eligible(peer, excluded, now)]
            remote_candidates = [
                self._make_candidate(peer, priority, now)._replace(time_ratio=time_ratio)
                for peer in self._sample(eligible_remote, _REMOTE_SAMPLE_SIZE)
            ]
            candidates += self._expect_loads(remote_candidates) if self.even else remote_candidates
        return candidates

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
    ) -> list[Candidate]:
        """Return the only upstream on which a request may be on trial; none if it takes no calls.

        All nodes that know the same upstreams return the same one.
        """
        node = self._find_trial_node(service, versions, fingerprint)
        if node is None or node in excluded:
            return []
        if node == self._cfg.node:
            return [self._make_local_candidate(priority)]
        peer = self._link_manager.table.peers[node]
        return [self._make_candidate(peer, priority, now)] if self._accepts_calls(peer, now) else []

    def is_trial_node(self, fingerprint: bytes) -> bool:
        """Return whether a request may be on trial on this node's upstream."""
        record = self._local.record
        if record is None:
            return False
        node = self._find_trial_node(record.service, (record.version,), fingerprint)
        return node == self._cfg.node

    def _find_trial_node(
        self, service: str, versions: Collection[str], fingerprint: bytes
    ) -> str | None:
        names = [
            peer.record.name
            for version, group in self._get_groups(service).items()
            if version in versions
            for peers in group
            for peer in peers
        ]
        record = self._local.record
        if self._serves_locally(service) and record is not None and record.version in versions:
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
        for peer in self._link_manager.table.peers.values():
            view = peer.upstream
            if view is None or not view.accepts_requests or peer.is_upstream_leaving():
                continue
            if peer.stopping or peer.link is None:
                continue
            versions = self._groups_by_service.setdefault(peer.record.service, {})
            group = versions.setdefault(view.version, _VersionGroup([], []))
            nearby = peer.record.data_centre == self._cfg.data_centre
            (group.nearby if nearby else group.remote).append(peer)

    def _serves_locally(self, service: str) -> bool:
        return service == self._cfg.service and self._local.accepts_requests()

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
            slots=estimate_concurrency(
                view.slots, limit_per_s=peer.get_limit(), service_ms=peer.load.service_ms
            ),
            requests_ahead=peer.estimate_requests_ahead(now, priority),
            service_ms=peer.load.service_ms,
            in_slow_start=view.in_slow_start,
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

    def _make_local_candidate(self, priority: int) -> Candidate:
        record, load = self._local.record, self._local.get_load()
        assert record is not None
        requests_ahead = load.count_requests_ahead(priority)
        return Candidate(
            node=self._cfg.node,
            version=record.version,
            slots=estimate_concurrency(
                record.slots, limit_per_s=self._local.get_limit(), service_ms=load.service_ms
            ),
            requests_ahead=requests_ahead,
            service_ms=load.service_ms,
            in_slow_start=self._local.is_in_slow_start(),
            locality=_SAME_VM,
            saturated=load.saturated,
            failure_rate=load.failure_rate,
            limit_wait_ms=self._local.get_limit_wait() * 1000,
            reported_ahead=requests_ahead,
            load_is_private=True,
        )
