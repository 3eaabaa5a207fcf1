"""Index the upstreams by service and version, near ones apart, so that a choice looks at few."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.mesh._choice import Candidate, Distance

if TYPE_CHECKING:
    import random
    from collections.abc import Collection

    from balsamhead.mesh._fleet import Fleet
    from balsamhead.mesh._peers import Peer
    from balsamhead.mesh._settings import MeshSettings
    from balsamhead.mesh._upstream import LocalUpstream

__all__ = ("Directory",)

#: far upstreams that one choice looks at
_FAR_SAMPLE: Final = 4
#: near ones
_NEAR_SAMPLE: Final = 8
#: time without a near upstream after which bulk crosses the border of its data centre, in s
_NEAR_PATIENCE_S: Final = 5.0
#: how long a count of versions is used, in s
_VERSIONS_AGE_S: Final = 0.05
_OWN: Final = Distance(own=True, same_data_centre=True, same_region=True)


class _Group(NamedTuple):
    """Hold the peers of one version of a service."""

    near: list[Peer]
    far: list[Peer]


class Directory:
    """List candidates for calls; the index is built anew when peers change."""

    def __init__(
        self, cfg: MeshSettings, *, fleet: Fleet, local: LocalUpstream, rng: random.Random
    ) -> None:
        self._cfg = cfg
        self._fleet = fleet
        self._local = local
        self._rng = rng
        self._epoch = -1
        self._services: dict[str, dict[str, _Group]] = {}
        #: when a service had an upstream nearby
        self._near_at: dict[str, float] = {}
        self._versions: dict[str, tuple[int, float, dict[str, int]]] = {}

    def list_versions(self, service: str, now: float) -> dict[str, int]:
        """Return how many upstreams of each version take work, as of a moment ago."""
        known = self._versions.get(service)
        groups = self._get_groups(service)
        if known is not None and known[0] == self._epoch and now < known[1]:
            return known[2]
        found = self._count_versions(service, groups, now)
        self._versions[service] = (self._epoch, now + _VERSIONS_AGE_S, found)
        return found

    def _count_versions(
        self, service: str, groups: dict[str, _Group], now: float
    ) -> dict[str, int]:
        found: dict[str, int] = {}
        for version, group in groups.items():
            number = sum(self._is_open(peer, now) for rows in group for peer in rows)
            if number:
                found[version] = number
        if self._is_local(service):
            assert self._local.record is not None
            version = self._local.record.version
            found[version] = found.get(version, 0) + 1
        return found

    def list_candidates(
        self,
        service: str,
        versions: Collection[str],
        *,
        excluded: Collection[str],
        priority: int,
        stays_near: bool,
        now: float,
    ) -> list[Candidate]:
        """List the near upstreams of some versions, and a few far ones when those have no room.

        :param stays_near: list far ones only when there was no near one for some seconds.
        """
        near: list[Peer] = []
        far: list[Peer] = []
        for version, group in self._get_groups(service).items():
            if version in versions:
                near += [row for row in group.near if self._fits(row, excluded, now)]
                far += group.far
        rows = [
            self._make_candidate(peer, priority, now) for peer in self._sample(near, _NEAR_SAMPLE)
        ]
        if self._is_local(service) and self._cfg.node not in excluded:
            own = self._make_own(priority)
            if own.version in versions:
                rows.append(own)
        if rows:
            self._near_at[service] = now
        if stays_near and now - self._near_at.setdefault(service, now) < _NEAR_PATIENCE_S:
            return rows
        if not any(row.busy + 1 <= row.slots for row in rows):
            open_far = [row for row in far if self._fits(row, excluded, now)]
            rows += [
                self._make_candidate(row, priority, now)
                for row in self._sample(open_far, _FAR_SAMPLE)
            ]
        return rows

    def _sample(self, peers: list[Peer], number: int) -> list[Peer]:
        return peers if len(peers) <= number else self._rng.sample(peers, number)

    def _get_groups(self, service: str) -> dict[str, _Group]:
        if self._epoch != self._fleet.epoch:
            self._epoch = self._fleet.epoch
            self._build()
        return self._services.get(service, {})

    def _build(self) -> None:
        self._services = {}
        for peer in self._fleet.table.peers.values():
            view = peer.upstream
            if view is None or not view.accepts or peer.stopping or peer.link is None:
                continue
            versions = self._services.setdefault(peer.record.service, {})
            group = versions.setdefault(view.version, _Group([], []))
            near = peer.record.data_centre == self._cfg.data_centre
            (group.near if near else group.far).append(peer)

    def _is_local(self, service: str) -> bool:
        return service == self._cfg.service and self._local.accepts()

    def _fits(self, peer: Peer, excluded: Collection[str], now: float) -> bool:
        return self._is_open(peer, now) and peer.record.name not in excluded

    def _is_open(self, peer: Peer, now: float) -> bool:
        return now >= peer.paused_until and peer.is_live(now, self._fleet.get_silence(peer))

    def _make_candidate(self, peer: Peer, priority: int, now: float) -> Candidate:
        view, record = peer.upstream, peer.record
        assert view is not None
        return Candidate(
            node=record.name,
            version=view.version,
            slots=view.slots,
            busy=peer.estimate_busy(now, priority),
            service_ms=peer.load.service_ms,
            cold=view.cold,
            distance=Distance(
                own=False,
                same_data_centre=record.data_centre == self._cfg.data_centre,
                same_region=record.region == self._cfg.region,
            ),
            saturated=peer.load.saturated,
            faults=peer.load.faults,
            age_s=now - peer.heard_load_at,
        )

    def _make_own(self, priority: int) -> Candidate:
        record, load = self._local.record, self._local.get_load()
        assert record is not None
        return Candidate(
            node=self._cfg.node,
            version=record.version,
            slots=record.slots,
            busy=load.count_ahead(priority),
            service_ms=load.service_ms,
            cold=self._local.is_cold(),
            distance=_OWN,
            saturated=load.saturated,
            faults=load.faults,
        )
