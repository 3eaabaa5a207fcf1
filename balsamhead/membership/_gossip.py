"""Broadcast new records to linked peers, and repair missed ones by anti-entropy."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

from balsamhead import wire
from balsamhead.membership._member_table import (
    BUCKETS,
    RecordVersion,
    get_record_version,
    is_gone,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamhead.membership._context import Context
    from balsamhead.membership._member_table import MemberTable
    from balsamhead.membership._model import Member

__all__ = ("Gossip",)

#: records that one flush broadcasts
MAX_FLUSH_RECORDS: Final = 64

#: records in the pull responses of one tick to all peers together; the last bucket may exceed it
PULL_RESPONSE_RECORDS: Final = 48

#: most newer records of one bucket that are pushed to the pulled peer at once; if there are more,
#: the bucket is queued like a pull of that peer
MAX_PUSH_RECORDS: Final = 8

#: buckets that one message of a pull requests
MAX_PULL_BUCKETS: Final = 8

#: delay before the first comparison with another region, in which a new node gets the table from
#: its own region, in s
BORDER_DIGEST_DELAY_S: Final = 3.0

#: peers whose pulls are queued at once
MAX_PULLING_PEERS: Final = 64

#: consecutive pulls that are put off because broadcasts may still deliver the records
MAX_DEFERRED_PULLS: Final = 3


class _PendingPull:
    """State of the pull in progress; a node has at most one."""

    def __init__(self, peer: str, buckets: Iterable[int]) -> None:
        self.peer = peer
        self.remaining = deque(buckets)
        self.requested: set[int] = set()
        self.received: dict[str, RecordVersion] = {}
        self.deadline = 0.0


class Gossip:
    """Broadcast each new record once, and pull differing buckets a few at a time."""

    def __init__(self, context: Context, table: MemberTable) -> None:
        self._context = context
        self._table = table
        #: nodes whose records wait for broadcast, each with the peers that have the record
        self._broadcasts: dict[str, set[str]] = {}
        #: buckets that each pulling peer waits for
        self._pull_queues: dict[str, deque[int]] = {}
        self._pending_pull: _PendingPull | None = None
        self._bucket_digests_sent_at: dict[str, float] = {}
        self._next_digest = 0.0
        # a new node gets the table from its own region if possible
        self._next_border_digest = context.clock.now + BORDER_DIGEST_DELAY_S
        self._last_change_at = 0.0
        self._deferred_pulls = 0
        #: this node has received a whole table, so a record that it pulls may be new to others too
        self._has_full_table = False

    def queue_broadcast(self, node: str, *, known_by: Iterable[str] = ()) -> None:
        """Queue a node's record for the next flush, except to the peers that have it."""
        self._last_change_at = self._context.clock.now
        # peers that had an older record lack this one, so the former set is replaced
        self._broadcasts[node] = set(known_by)

    def queue_pulled_broadcast(self, node: str, *, source: str) -> None:
        """Queue a pulled record for broadcast.

        A new node that is still pulling its first table does not queue it, because its peers
        have the record already.
        """
        self._last_change_at = self._context.clock.now
        if self._has_full_table:
            self.queue_broadcast(node, known_by=(source,))

    def mark_known(self, record: Member, peer: str) -> None:
        """Exclude a peer from the broadcast of a record that the peer has sent."""
        known_by = self._broadcasts.get(record.node)
        current = self._context.tables.members.get(record.node)
        if known_by is None or current is None:
            return
        if get_record_version(record) == get_record_version(current):
            known_by.add(peer)

    def handle_link_opened(self, peer: str, *, is_opener: bool) -> None:
        """Send this node's record to a new peer; the opener also compares tables soon."""
        members = self._context.tables.members
        own = members.get(self._context.tables.identity.node)
        if own is not None:
            self._context.send(peer, wire.MemberUpdate((own,)))
        if is_opener:
            delay = self._context.rng.uniform(0.0, 1.0) if self._has_full_table else 0.0
            self._next_digest = min(self._next_digest, self._context.clock.now + delay)

    def handle_link_closed(self, peer: str) -> None:
        """Drop the queued and pending pulls of a peer whose link ended."""
        self._pull_queues.pop(peer, None)
        self._bucket_digests_sent_at.pop(peer, None)
        if self._pending_pull is not None and self._pending_pull.peer == peer:
            self._pending_pull = None

    def tick(self) -> None:
        """Flush the broadcasts, answer pulls and compare tables when due."""
        self.flush()
        self._answer_pulls()
        now = self._context.clock.now
        if self._pending_pull is not None and now >= self._pending_pull.deadline:
            self._pending_pull = None
            self._next_digest = min(self._next_digest, now)
        if now >= self._next_digest and self._pending_pull is None:
            self._next_digest = now + self._context.jitter(self._context.timing.digest_interval)
            self._send_table_digest(is_border=False)
        if now >= self._next_border_digest and self._pending_pull is None:
            self._next_border_digest = now + self._context.jitter(
                self._context.timing.digest_interval
            )
            self._send_table_digest(is_border=True)

    def flush(self) -> None:
        """Send the queued records to each linked peer that lacks them."""
        if not self._broadcasts:
            return
        names = list(self._broadcasts)[:MAX_FLUSH_RECORDS]
        known_by = {name: self._broadcasts.pop(name) for name in names}
        members = self._context.tables.members
        messages: dict[tuple[str, ...], wire.MemberUpdate] = {}
        for peer in self._context.tables.links:
            missing = tuple(n for n in names if peer not in known_by[n] and n in members)
            if not missing:
                continue
            if missing not in messages:
                messages[missing] = wire.MemberUpdate(tuple(members[name] for name in missing))
            self._context.send(peer, messages[missing])

    def receive_digest(self, peer: str, buckets: tuple[bytes, ...]) -> None:
        """Compare a peer's digest with this table, and pull the buckets that differ.

        A single digest covers the whole table; it is answered with the digests of all buckets.
        """
        if len(buckets) == 1:
            self._compare_table_digest(peer, buckets[0])
            return
        if len(buckets) != BUCKETS or self._pending_pull is not None:
            return

        own = self._table.list_digests()
        differing = [number for number in range(BUCKETS) if own[number] != buckets[number]]
        if not differing:
            self._deferred_pulls = 0
            self._has_full_table = True
            return
        if self._should_defer_pull():
            return
        self._context.rng.shuffle(differing)
        self._pending_pull = _PendingPull(peer, differing)
        self._request_buckets()

    def receive_pull(self, peer: str, buckets: tuple[int, ...]) -> None:
        """Queue the buckets that a peer requests."""
        if peer not in self._pull_queues and len(self._pull_queues) >= MAX_PULLING_PEERS:
            return
        queue = self._pull_queues.setdefault(peer, deque())
        accepted = (n for n in buckets[:MAX_PULL_BUCKETS] if 0 <= n < BUCKETS and n not in queue)
        queue.extend(accepted)

    def receive_pull_response(
        self, peer: str, members: tuple[Member, ...], completed: tuple[int, ...]
    ) -> None:
        """Handle a response to a pull: push what the peer lacks, and request more buckets.

        :param completed: buckets whose records are complete with this response.
        """
        pull = self._pending_pull
        if pull is None or pull.peer != peer:
            return
        pull.received.update((member.node, get_record_version(member)) for member in members)
        pull.deadline = self._context.clock.now + self._context.timing.pull_timeout
        for bucket in completed:
            if bucket in pull.requested:
                pull.requested.discard(bucket)
                self._push_newer_records(pull, bucket)
        if not pull.requested:
            self._request_buckets()

    def _compare_table_digest(self, peer: str, digest: bytes) -> None:
        if digest == self._table.digest:
            self._has_full_table = True
            return
        now = self._context.clock.now
        if now - self._bucket_digests_sent_at.get(peer, -1.0) < self._context.timing.settle_time:
            return
        self._bucket_digests_sent_at[peer] = now
        self._context.send(peer, wire.MemberDigest(self._table.list_digests()))

    def _should_defer_pull(self) -> bool:
        quiet_for = self._context.clock.now - self._last_change_at
        is_changing = self._has_full_table and quiet_for < self._context.timing.settle_time
        self._deferred_pulls = self._deferred_pulls + 1 if is_changing else 0
        return is_changing and self._deferred_pulls <= MAX_DEFERRED_PULLS

    def _request_buckets(self) -> None:
        pull = self._pending_pull
        assert pull is not None
        while pull.remaining and len(pull.requested) < MAX_PULL_BUCKETS:
            pull.requested.add(pull.remaining.popleft())
        if not pull.requested:
            self._pending_pull = None
            self._has_full_table = True
            return
        pull.deadline = self._context.clock.now + self._context.timing.pull_timeout
        self._context.send(pull.peer, wire.MemberPull(tuple(sorted(pull.requested))))

    def _push_newer_records(self, pull: _PendingPull, bucket: int) -> None:
        missing = []
        for member in self._table.list_bucket(bucket):
            seen = pull.received.pop(member.node, None)
            is_newer = not is_gone(member) if seen is None else seen < get_record_version(member)
            if is_newer:
                missing.append(member)
        if len(missing) > MAX_PUSH_RECORDS:
            # a peer that lacks many records is new, and gets them within the limit on responses
            self.receive_pull(pull.peer, (bucket,))
        elif missing:
            self._context.send(pull.peer, wire.MemberUpdate(tuple(missing)))

    def _answer_pulls(self) -> None:
        budget = PULL_RESPONSE_RECORDS
        while self._pull_queues and budget > 0:
            # random order, so that among many simultaneous pulls none is always served last
            peer = self._context.rng.choice(list(self._pull_queues))
            queue = self._pull_queues[peer]
            bucket = queue.popleft()
            if not queue:
                del self._pull_queues[peer]
            members = tuple(self._table.list_bucket(bucket))
            budget -= max(1, len(members))
            self._context.send(peer, wire.MemberUpdate(members, (bucket,)))

    def _send_table_digest(self, *, is_border: bool) -> None:
        region = self._context.tables.identity.place.region
        links = self._context.tables.links.values()
        peers = [row.peer for row in links if (row.place.region != region) == is_border]
        if peers:
            peer = self._context.rng.choice(peers)
            self._context.send(peer, wire.MemberDigest((self._table.digest,)))
