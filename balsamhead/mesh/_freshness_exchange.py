"""Keep the lease on the freshness of the configuration, from own reads and queries to peers."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.mesh._frames import Frame, FrameKind, decode_header
from balsamhead.mesh.freshness import FreshnessLease, Proof

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from balsamhead.mesh._link import Link
    from balsamhead.mesh._link_manager import LinkManager
    from balsamhead.mesh._peers import Peer
    from balsamhead.mesh.model import OperatorState

__all__ = ("FreshnessExchange",)

logger = logging.getLogger(__name__)

#: interval of the queries of a node with a recent proof, in s
_QUERY_INTERVAL_S: Final = 1.0
#: interval of the queries of a node whose proof is old, or which has none, in s
_URGENT_INTERVAL_S: Final = 0.4
#: number of peers that such a node queries at once besides one that may read the store
_URGENT_PEERS: Final = 3
#: time after a read of its own from which on a node queries its peers, in s; two long polls and
#: some delay
_READ_VALID_S: Final = 2.0
#: interval at which the peers that may hold the newest proofs are determined, in s; ordering
#: thousands of peers takes some ms
_SOURCES_INTERVAL_S: Final = 5.0
#: time after which the response to a query is not accepted any more, in leases
_QUERY_LEASES: Final = 1.0


class _Query(NamedTuple):
    """A query that waits for its response."""

    link: Link
    #: in s of the boot-time clock
    sent_at: float


class _QueryHeader(NamedTuple):
    """Header of a query."""

    number: int


class _ResponseHeader(NamedTuple):
    """Header of a response to a query; without the last fields, there is no proof."""

    number: int
    #: position of the proof
    position: int = -1
    #: age of the proof when the response was sent, in ms, rounded up
    age_ms: int = -1


class FreshnessExchange:
    """Hold the lease of a node, and query peers for proofs that are newer than its own.

    The time of a peer's proof is taken from the time at which the query was sent, so that a delay
    on the way makes a proof older and never newer.

    :param lease_s: in s; 0 if the configuration always counts as fresh.
    :param list_sources: returns the peers that are likely to hold the newest proofs.
    :param read_boot_time: returns the boot-time clock, in s.
    """

    def __init__(
        self,
        *,
        lease_s: float,
        link_manager: LinkManager,
        list_sources: Callable[[], list[Peer]],
        read_boot_time: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._lease_s = lease_s
        self._lease = FreshnessLease(lease_s=lease_s)
        self._link_manager = link_manager
        self._list_sources = list_sources
        self._read_boot_time = read_boot_time
        self._rng = rng
        self._has_accounts = False
        self._queries: dict[int, _Query] = {}
        self._next_number = 0
        self._queried_at = -math.inf
        self._read_at = -math.inf
        self._sources: list[Peer] = []
        self._sources_at = -math.inf
        #: the last state that was logged
        self._logged_fresh = False

    # -- lease -------------------------------------------------------------------------------

    def is_in_use(self) -> bool:
        """Return whether keys are accepted only while the configuration is fresh."""
        return self._lease_s > 0.0 and self._has_accounts

    def is_fresh(self) -> bool:
        """Return whether the configuration was the newest within the lease."""
        return self._lease_s <= 0.0 or self._lease.is_fresh(self._read_boot_time())

    def get_age(self) -> float:
        """Return the age of the newest proof, in s; infinite without one."""
        return self._lease.get_age(self._read_boot_time())

    def read_gauge(self) -> dict[str, float]:
        """Return the age of the newest proof as a gauge; without a value if there is none."""
        age_s = self.get_age()
        return {"": age_s} if self.is_in_use() and math.isfinite(age_s) else {}

    def set_state(self, state: OperatorState) -> None:
        """Record the operator's state that this node holds from now on.

        While its newest configuration could not be read, no proof of its position counts.
        """
        self._has_accounts = state.config is not None and state.config.accounts is not None
        if not state.config_outdated:
            self._lease.set_position(state.offset)
        if self.is_in_use() and not self.is_fresh():
            self._query_urgently()

    def add_read_proof(self, proof: Proof) -> None:
        """Add the proof that a read of the store has given."""
        self._read_at = max(self._read_at, proof.as_of)
        self._lease.add(proof)

    # -- queries -----------------------------------------------------------------------------

    def update(self) -> None:
        """Query peers if that is due, and log whether the configuration is fresh."""
        if not self.is_in_use():
            return
        now = self._read_boot_time()
        self._log_change(now)
        expired = now - self._lease_s * _QUERY_LEASES
        self._queries = {key: row for key, row in self._queries.items() if row.sent_at > expired}
        waited_s = now - self._queried_at
        if self._lease.get_age(now) > self._lease_s / 2:
            if waited_s >= _URGENT_INTERVAL_S:
                self._query_urgently()
        elif waited_s >= _QUERY_INTERVAL_S and now - self._read_at > _READ_VALID_S:
            self._query(self._choose_source(now))

    def peer_linked(self, link: Link) -> None:
        """Query a peer on a new link if this node has no recent proof."""
        if self.is_in_use() and not self.is_fresh():
            self._send_query(link)

    def handle_query(self, link: Link, frame: Frame) -> None:
        """Answer a query with the newest proof of this node.

        :raises MalformedMessageError: the frame can't be decoded.
        """
        number = decode_header(frame, _QueryHeader, peer=link.peer).number
        proof = self._lease.newest
        if proof is None:
            link.send(FrameKind.FRESHNESS, 0, (number,))
            return
        age_ms = math.ceil(max(0.0, self._read_boot_time() - proof.as_of) * 1000)
        link.send(FrameKind.FRESHNESS, 0, _ResponseHeader(number, proof.position, age_ms))

    def handle_response(self, link: Link, frame: Frame) -> None:
        """Add the proof that a peer has sent in response to a query.

        :raises MalformedMessageError: the frame can't be decoded.
        """
        response = decode_header(frame, _ResponseHeader, peer=link.peer)
        query = self._queries.get(response.number)
        if query is None or query.link is not link:
            return
        del self._queries[response.number]
        if response.position >= 0 and response.age_ms >= 0:
            self._lease.add(Proof(response.position, query.sent_at - response.age_ms / 1000))

    def _query_urgently(self) -> None:
        """Query the peer that is likely to hold the newest proof, and some others."""
        live = self._link_manager.list_live()
        peers = self._rng.sample(live, min(_URGENT_PEERS, len(live)))
        self._query([*self._choose_source(self._read_boot_time()), *peers])

    def _query(self, peers: Iterable[Peer]) -> None:
        self._queried_at = self._read_boot_time()
        for link in dict.fromkeys(peer.link for peer in peers):
            if link is not None:
                self._send_query(link)

    def _send_query(self, link: Link) -> None:
        self._next_number += 1
        self._queries[self._next_number] = _Query(link, self._read_boot_time())
        link.send(FrameKind.FRESHNESS_QUERY, 0, _QueryHeader(self._next_number))

    def _choose_source(self, now: float) -> list[Peer]:
        """Return one peer that is likely to hold a new proof, if there is any."""
        linked = [peer for peer in self._sources if peer.link is not None]
        if not linked or now - self._sources_at > _SOURCES_INTERVAL_S:
            self._sources, self._sources_at = self._list_sources(), now
            linked = [peer for peer in self._sources if peer.link is not None]
        return [self._rng.choice(linked)] if linked else []

    def _log_change(self, now: float) -> None:
        fresh = self._lease.is_fresh(now)
        if fresh == self._logged_fresh:
            return
        self._logged_fresh = fresh
        age_s = self._lease.get_age(now)
        extra = {"age_s": round(age_s, 3) if math.isfinite(age_s) else None}
        if fresh:
            logger.info("freshness-regained", extra=extra)
        else:
            logger.warning("freshness-lost", extra=extra)
