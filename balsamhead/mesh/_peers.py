"""Keep the state of each peer: its record, link, upstream and load."""

from __future__ import annotations

import hashlib
import math
from functools import lru_cache
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.mesh.model import Load, NodeRecord, UpstreamNotice

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamhead.mesh._link import Link

__all__ = (
    "Heartbeat",
    "Hello",
    "Peer",
    "PeerTable",
    "UpstreamView",
    "hash_name",
    "merge_notices",
    "rank_nodes",
)

#: maximum number of cached hashes of a topic and a node's name
_MAX_CACHED_HASHES: Final = 4096
#: time constant with which confidence in a reported load decays, in s
_LOAD_DECAY_S: Final = 1.0
#: utilisation of a peer's slots that is assumed without a recent report, 0 to 1
_ASSUMED_UTILISATION: Final = 0.6


class UpstreamView(NamedTuple):
    """Upstream of a node, as announced to its peers."""

    id: str
    version: str
    slots: int
    #: the upstream accepts new requests
    accepts_requests: bool
    #: the upstream is in slow start
    in_slow_start: bool = False


class Hello(NamedTuple):
    """First message of a node on a new link."""

    node: NodeRecord
    upstream: UpstreamView | None
    load: Load
    #: offset of the operator's state that the node holds; -1 if it has none
    offset: int
    stopping: bool


class Heartbeat(NamedTuple):
    """State of a node, sent to each peer at intervals to show that the node is alive."""

    offset: int
    load: Load
    #: the node can't reach the store
    store_failed: bool
    #: checksum of the rollout states, which reveals that a peer has missed a step
    rollout_checksum: int
    stopping: bool = False


class Peer:
    """Known state of a peer."""

    __slots__ = (
        "_in_flight_at_report",
        "backoff_until",
        "check_at",
        "dial_at",
        "dialling",
        "failed_dials",
        "hello_received",
        "in_flight",
        "limited_until",
        "link",
        "load",
        "load_is_private",
        "load_reported_at",
        "nearby",
        "notice",
        "offset",
        "record",
        "rollout_checksum",
        "stopping",
        "store_failed",
        "store_near",
        "upstream",
    )

    def __init__(self, record: NodeRecord, *, nearby: bool = False) -> None:
        self.record = record
        #: the peer is in the data centre of this node
        self.nearby = nearby
        #: the link that is used for frames in both directions
        self.link: Link | None = None
        self.upstream: UpstreamView | None = None
        self.load = Load(0, 0.0)
        self.load_reported_at = -math.inf
        #: the last report came with the outcome of a call of this node, so no other node has it
        self.load_is_private = False
        #: number of this node's calls that are in flight there, by priority
        self.in_flight: dict[int, int] = {}
        self._in_flight_at_report: dict[int, int] = {}
        #: no calls are sent there before this time, in s of the loop's clock
        self.backoff_until = 0.0
        #: newest known notice of an upstream there
        self.notice: UpstreamNotice | None = None
        #: the rate limit there admits no calls before this time, in s of the loop's clock
        self.limited_until = 0.0
        self.offset = -1
        self.rollout_checksum = 0
        self.stopping = False
        #: it has said what it holds, so that an offset of -1 means that it has no state
        self.hello_received = False
        self.store_failed = False
        #: the peer's node is near the store
        self.store_near = False
        #: nothing is due on the link before this time, in s of the loop's clock
        self.check_at = 0.0
        self.dialling = False
        self.dial_at = 0.0
        self.failed_dials = 0

    def record_load(self, load: Load, now: float, *, ended: int | None = None) -> None:
        """Record a report of the load of the peer's upstream.

        :param ended: priority of this node's call whose outcome carried the report, if any; that
            call is no longer part of the load.
        """
        self.load = load
        self.load_reported_at = now
        self.load_is_private = ended is not None
        self._in_flight_at_report = dict(self.in_flight)
        if ended is not None:
            self._in_flight_at_report[ended] = self._in_flight_at_report.get(ended, 0) - 1

    def record_notice(self, notice: UpstreamNotice) -> None:
        """Record a notice of the peer's upstream, unless it is of an earlier incarnation.

        An incarnation that leaves never returns, even if its node has forgotten that it leaves.
        """
        self.notice = merge_notices(self.notice, notice)

    def is_upstream_leaving(self) -> bool:
        """Return whether the peer's announced upstream is known to leave."""
        return (
            self.notice is not None
            and self.upstream is not None
            and self.notice.leaving
            and self.notice.upstream_id == self.upstream.id
        )

    def get_limit(self) -> float | None:
        """Return the rate limit of the peer's upstream, in requests per s; None for none."""
        if self.notice is None or self.upstream is None:
            return None
        return self.notice.limit_per_s if self.notice.upstream_id == self.upstream.id else None

    def estimate_requests_ahead(self, now: float, priority: int) -> float:
        """Return the estimated number of requests ahead of a call at the peer's upstream.

        The estimate moves from the reported load to an assumed one as the report grows older.
        """
        age_s = now - self.load_reported_at
        confidence = math.exp(-age_s / _LOAD_DECAY_S) if age_s < 10 * _LOAD_DECAY_S else 0.0
        slots = self.upstream.slots if self.upstream else 1
        reported = self.count_reported_ahead(priority)
        assumed = sum(self.in_flight.values()) + min(_ASSUMED_UTILISATION * slots, slots - 1)
        return confidence * reported + (1.0 - confidence) * assumed

    def count_reported_ahead(self, priority: int) -> int:
        """Return the number of requests ahead of a call by the last report, whatever its age, with
        the calls that this node has sent since."""
        sent_since_report = self.count_in_flight(priority) - _count_up_to(
            self._in_flight_at_report, priority
        )
        return self.load.count_requests_ahead(priority) + max(0, sent_since_report)

    def count_in_flight(self, priority: int) -> int:
        """Return the number of this node's calls there with the same or a higher priority."""
        return _count_up_to(self.in_flight, priority)

    def is_live(self, now: float, silence_s: float) -> bool:
        """Return whether the peer's link is open and has received data within ``silence_s``."""
        return (
            self.link is not None
            and self.link.is_open()
            and (now - self.link.last_received_at < silence_s)
        )


def _count_up_to(counts: dict[int, int], priority: int) -> int:
    return sum(count for call_priority, count in counts.items() if call_priority <= priority)


class PeerTable:
    """Known peers by node name."""

    def __init__(self, own: NodeRecord) -> None:
        self.own = own
        self.peers: dict[str, Peer] = {}

    def add(self, record: NodeRecord) -> Peer | None:
        """Return the peer for a node's record, adding it if needed; None for this node itself.

        A record with a new address replaces the known one and ends the back-off between dials.
        """
        if record.name == self.own.name:
            return None
        nearby = record.data_centre == self.own.data_centre
        peer = self.peers.get(record.name)
        if peer is None:
            peer = self.peers[record.name] = Peer(record, nearby=nearby)
        elif record.address != peer.record.address:
            peer.record = record
            peer.nearby = nearby
            peer.dial_at = 0.0
            peer.failed_dials = 0
        return peer


def merge_notices(known: UpstreamNotice | None, notice: UpstreamNotice) -> UpstreamNotice:
    """Return the newer of two notices of a node's upstreams.

    An incarnation that leaves never returns, whichever of two notices of it says so.
    """
    if known is None:
        return notice
    if notice.started_at_ms < known.started_at_ms:
        return known
    left = known.leaving and known[:2] == notice[:2]
    return notice._replace(leaving=notice.leaving or left)


def rank_nodes(names: Iterable[str], topic: str) -> list[str]:
    """Order nodes by rendezvous hashing; nodes that know the same names get the same order."""
    return sorted(names, key=lambda name: hash_name(topic, name))


@lru_cache(maxsize=_MAX_CACHED_HASHES)
def hash_name(topic: str, name: str) -> bytes:
    """Return the hash by which rendezvous hashing orders a node for a topic."""
    return hashlib.blake2b(f"{topic}/{name}".encode(), digest_size=8).digest()
