"""Choose the peers to link to, and open and close links accordingly."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.membership._hash_ring import HashRing
from balsamhead.membership._roles import is_live, rank_border_nodes

if TYPE_CHECKING:
    from balsamhead.membership._context import Context
    from balsamhead.membership._member_table import MemberChange, MemberTable
    from balsamhead.membership._model import Member, Place

__all__ = ("Connector",)

#: links to the successors of this node on the hash rings of its data centre and of its region
DATA_CENTRE_SUCCESSORS: Final = 1
REGION_SUCCESSORS: Final = 1

#: links to randomly chosen nodes of the data centre and of the region
DATA_CENTRE_RANDOM_PEERS: Final = 1
REGION_RANDOM_PEERS: Final = 1

#: delay before random peers are chosen, in which a new node learns the other members, in s
RANDOM_PEERS_DELAY_S: Final = 3.0

#: border nodes that a region has for each other region
BORDER_NODES: Final = 2

#: time for which the region with the greater name waits for the other region to open a border
#: link, before it opens one itself, in s
BORDER_DELAY_S: Final = 2.0

#: minimum interval between two selections of the border nodes, in s
BORDER_SELECTION_INTERVAL_S: Final = 1.0

#: initial interval between attempts to reach a dead node or a seed that is not a live member, in
#: s; it doubles up to ``Timing.max_rejoin_interval``
INITIAL_REJOIN_INTERVAL_S: Final = 1.0

#: limit on connection attempts in progress; border links, rejoins and probes ignore it
MAX_PENDING_CONNECTS: Final = 4

#: time after which a connection attempt without a result is dropped, in s
CONNECT_TIMEOUT_S: Final = 8.0

#: most back-off states to store; the oldest is dropped to store another
MAX_BACKOFFS: Final = 256


class _Attempt(NamedTuple):
    #: node that is expected at the address; empty when the attempt is made to rejoin the mesh
    node: str
    started_at: float


class _Backoff(NamedTuple):
    failures: int
    not_before: float


class Connector:
    """Maintain a few long-lived links within the region and a few to each other region."""

    def __init__(self, context: Context, table: MemberTable, seeds: tuple[str, ...]) -> None:
        self._context = context
        self._table = table
        self._seeds = seeds
        self._data_centre_ring = HashRing()
        self._region_ring = HashRing()
        self._random_data_centre_peers: list[str] = []
        self._random_region_peers: list[str] = []
        self._desired_peers: set[str] = set()
        self._needs_selection = True
        self._attempts: dict[str, _Attempt] = {}
        self._backoffs: dict[str, _Backoff] = {}
        #: links that this node opened, with the time when each was opened or last found needed
        self._needed_at: dict[str, float] = {}
        #: this region's border nodes for each other region, best first
        self._border_nodes: dict[str, list[str]] = {}
        self._needs_border_selection = True
        self._next_border_selection = 0.0
        self._border_missing_since: dict[str, float] = {}
        self._rejoin_interval = INITIAL_REJOIN_INTERVAL_S
        self._next_rejoin = context.clock.now + context.jitter(INITIAL_REJOIN_INTERVAL_S)

    def apply_change(self, change: MemberChange) -> None:
        """Update the rings when a member starts or stops being live."""
        was_live = change.old is not None and is_live(change.old)
        member = change.new
        if was_live == is_live(member) and change.old is not None:
            return
        identity = self._context.tables.identity
        if member.place.region == identity.place.region:
            self._update_ring(self._region_ring, member)
        if member.place.data_centre == identity.place.data_centre:
            self._update_ring(self._data_centre_ring, member)
        self._needs_border_selection = True
        self._needs_selection = True

    def handle_link_opened(self, peer: str, address: str, *, is_opener: bool) -> None:
        """Record that a link was opened, and reset the back-off."""
        self._attempts.pop(address, None)
        self._backoffs.pop(address, None)
        self._needs_selection = True
        if is_opener:
            self._needed_at[peer] = self._context.clock.now
        row = self._context.tables.links[peer]
        self._backoffs.pop(self._border_key(row.place.region), None)

    def handle_link_closed(self, peer: str) -> None:
        """Record that a link ended.

        A random back-off spreads the reconnects of all nodes that lost the same peer.
        """
        self._needed_at.pop(peer, None)
        self._needs_selection = True
        member = self._context.tables.members.get(peer)
        if member is not None:
            self._back_off(self._find_address(member), failures=0)

    def handle_connect_failed(self, address: str) -> str:
        """Record that a connection attempt failed; return the node expected at the address."""
        attempt = self._attempts.pop(address, None)
        backoff = self._backoffs.get(address)
        self._back_off(address, failures=backoff.failures + 1 if backoff else 1)
        if attempt and attempt.node in (
            *self._random_data_centre_peers,
            *self._random_region_peers,
        ):
            # a random peer that refuses the link or can't be reached is replaced by another
            self._random_data_centre_peers = [
                node for node in self._random_data_centre_peers if node != attempt.node
            ]
            self._random_region_peers = [
                node for node in self._random_region_peers if node != attempt.node
            ]
            self._needs_selection = True
        return attempt.node if attempt else ""

    def connect_now(self, node: str) -> None:
        """Connect to a node at once, without regard to its back-off."""
        member = self._context.tables.members.get(node)
        if member is not None and node not in self._context.tables.links:
            self._connect(self._find_address(member), node)

    def tick(self) -> list[str]:
        """Open missing links, close surplus ones, and return nodes that are slow to connect to."""
        if self._needs_selection:
            self._needs_selection = False
            self._select_peers()
        self._open_desired_links()
        self._open_border_links()
        self._connect_to_seed()
        self._rejoin()
        self._close_surplus()
        return self._list_slow_connects()

    def _update_ring(self, ring: HashRing, member: Member) -> None:
        if is_live(member) and member.node != self._context.tables.identity.node:
            ring.add(member.node)
        else:
            ring.remove(member.node)

    def _select_peers(self) -> None:
        own = self._context.tables.identity.node
        self._desired_peers = {
            *self._data_centre_ring.list_successors(own, DATA_CENTRE_SUCCESSORS),
            *self._region_ring.list_successors(own, REGION_SUCCESSORS),
        }
        if self._context.clock.now < RANDOM_PEERS_DELAY_S:
            self._needs_selection = True
            return
        self._random_data_centre_peers = self._choose_random_peers(
            self._data_centre_ring, self._random_data_centre_peers, DATA_CENTRE_RANDOM_PEERS
        )
        self._desired_peers.update(self._random_data_centre_peers)
        self._random_region_peers = self._choose_random_peers(
            self._region_ring, self._random_region_peers, REGION_RANDOM_PEERS
        )
        self._desired_peers.update(self._random_region_peers)

    def _choose_random_peers(self, ring: HashRing, current: list[str], count: int) -> list[str]:
        members = self._context.tables.members
        kept = [
            node
            for node in current
            if node in members and is_live(members[node]) and node not in self._desired_peers
        ]
        if len(kept) < count:
            node = ring.choose_random(self._context.rng)
            if node and node not in self._desired_peers:
                kept.append(node)
        return kept

    def _open_desired_links(self) -> None:
        links = self._context.tables.links
        members = self._context.tables.members
        for node in self._desired_peers:
            if node not in links and node in members:
                self._connect_unless_limited(self._find_address(members[node]), node)

    def _open_border_links(self) -> None:
        own = self._context.tables.identity
        now = self._context.clock.now
        if self._needs_border_selection and now >= self._next_border_selection:
            self._select_border_nodes()
        linked = {row.place.region for row in self._context.tables.links.values()}
        for region, border_nodes in self._border_nodes.items():
            if region in linked or own.node not in border_nodes:
                self._border_missing_since.pop(region, None)
                continue
            since = self._border_missing_since.setdefault(region, now)
            if own.place.region > region and now - since < BORDER_DELAY_S:
                continue
            self._open_border_link(region, border_nodes.index(own.node))

    def _select_border_nodes(self) -> None:
        # ranking reads the whole table, so one selection serves all changes of an interval
        self._needs_border_selection = False
        self._next_border_selection = self._context.clock.now + BORDER_SELECTION_INTERVAL_S
        own = self._context.tables.identity.place.region
        members = list(self._context.tables.members.values())
        regions = {member.place.region for member in members if is_live(member)}
        self._border_nodes = {
            region: rank_border_nodes(members, own, region)[:BORDER_NODES]
            for region in sorted(regions - {own})
        }

    def _open_border_link(self, region: str, index: int) -> None:
        own = self._context.tables.identity.place.region
        members = self._context.tables.members
        backoff = self._backoffs.get(self._border_key(region))
        if backoff is not None and self._context.clock.now < backoff.not_before:
            return
        candidates = rank_border_nodes(members.values(), region, own)
        if not candidates:
            return
        is_failing = backoff is not None and backoff.failures > 1
        node = (
            self._context.rng.choice(candidates)
            if is_failing
            else candidates[index % len(candidates)]
        )
        self._connect(self._find_address(members[node]), node)
        self._back_off(self._border_key(region), failures=backoff.failures + 1 if backoff else 1)

    @staticmethod
    def _border_key(region: str) -> str:
        return f"border/{region}"

    def _connect_to_seed(self) -> None:
        own = self._context.tables.identity
        links = self._context.tables.links.values()
        if any(row.place.region == own.place.region for row in links):
            return
        linked = {own.peer_address, *(row.address for row in links)}
        seeds = [address for address in self._seeds if address not in linked]
        if seeds:
            self._connect_unless_limited(self._context.rng.choice(seeds), "")

    def _rejoin(self) -> None:
        now = self._context.clock.now
        if now < self._next_rejoin:
            return
        # the interval starts short, so that the parts of a restarted mesh find each other quickly
        self._next_rejoin = now + self._context.jitter(self._rejoin_interval)
        self._rejoin_interval = min(
            2 * self._rejoin_interval, self._context.timing.max_rejoin_interval
        )
        address = self._choose_lost_address()
        if address:
            self._connect(address, "")

    def _choose_lost_address(self) -> str:
        """Return a random address of a dead node or of a seed that is not a live member.

        :returns: "address:port"; empty when there is none.
        """
        members = self._context.tables.members.values()
        live = {m.peer_address for m in members if is_live(m)}
        live |= {m.border_address for m in members if is_live(m)}
        live.add(self._context.tables.identity.peer_address)
        dead = (self._find_address(member) for member in self._table.list_dead())
        lost = [address for address in (*dead, *self._seeds) if address not in live]
        return self._context.rng.choice(lost) if lost else ""

    def _close_surplus(self) -> None:
        now = self._context.clock.now
        before = now - self._context.timing.surplus_linger
        for peer, needed_at in list(self._needed_at.items()):
            if needed_at < before and peer in self._context.tables.links:
                self._close_if_surplus(peer)

    def _close_if_surplus(self, peer: str) -> None:
        row = self._context.tables.links[peer]
        if peer in self._desired_peers or self._is_border_link(row.place):
            self._needed_at[peer] = self._context.clock.now
            return
        self._needed_at.pop(peer)
        self._context.close_link(peer, "surplus")

    def _is_border_link(self, place: Place) -> bool:
        own = self._context.tables.identity
        return own.node in self._border_nodes.get(place.region, ())

    def _list_slow_connects(self) -> list[str]:
        now = self._context.clock.now
        slow = []
        for address, attempt in list(self._attempts.items()):
            if now - attempt.started_at > CONNECT_TIMEOUT_S:
                del self._attempts[address]
            elif now - attempt.started_at > self._context.timing.slow_connect and attempt.node:
                slow.append(attempt.node)
        return slow

    def _connect_unless_limited(self, address: str, node: str) -> None:
        if len(self._attempts) >= MAX_PENDING_CONNECTS:
            return
        backoff = self._backoffs.get(address)
        if backoff is None or self._context.clock.now >= backoff.not_before:
            self._connect(address, node)

    def _connect(self, address: str, node: str) -> None:
        if address not in self._attempts:
            self._attempts[address] = _Attempt(node, self._context.clock.now)
            self._context.connect(address)

    def _back_off(self, address: str, *, failures: int) -> None:
        timing = self._context.timing
        max_delay = min(timing.backoff_cap, timing.backoff_base * 2.0 ** min(failures, 16))
        not_before = self._context.clock.now + self._context.rng.uniform(0.0, max_delay)
        self._backoffs.pop(address, None)
        if len(self._backoffs) >= MAX_BACKOFFS:
            del self._backoffs[next(iter(self._backoffs))]
        self._backoffs[address] = _Backoff(failures, not_before)

    def _find_address(self, member: Member) -> str:
        if member.place.region == self._context.tables.identity.place.region:
            return member.peer_address
        return member.border_address or member.peer_address
