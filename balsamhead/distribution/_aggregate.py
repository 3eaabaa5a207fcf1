"""Count the nodes on which each configuration version is in force.

Counts are summed up a spanning tree of links, and the totals are sent back down.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.commands import Command, Send
from balsamhead.membership import find_role_holder, is_live
from balsamhead.operator_responses import VersionCount
from balsamhead.wire import InForceCount, InForceReport

if TYPE_CHECKING:
    import random

    from balsamhead.node import Tables

__all__ = ("Aggregator",)

#: interval of the reports to peers in the same region, in s
REPORT_INTERVAL_S: Final = 1.0

#: shortest time between two reports to a peer in another region, in s
CROSS_REGION_REPORT_INTERVAL_S: Final = 4.0

#: interval at which an unchanged report is sent again, before jitter, in s
REPORT_REFRESH_S: Final = 20.0

#: age at which a peer's report is discarded, in s
REPORT_EXPIRY_S: Final = 60.0

#: longest path to the root, in links
MAX_HOPS: Final = 24

#: most counts in one report; the nodes of the lowest versions are added to the last count
MAX_COUNTS: Final = 32


class _ReceivedReport(NamedTuple):
    report: InForceReport
    received_at: float


class _SentReport(NamedTuple):
    report: InForceReport
    #: earliest time of the next report, in s since the epoch
    next_at: float
    #: when to send the report again if it is unchanged, in s since the epoch
    refresh_at: float


class Aggregator:
    """Report the counts of this node's subtree to its parent and the totals to its children.

    The root of the tree is the live member that ranks first for the key "in-force". Each node's
    parent is the linked peer with the fewest hops to the root, so that the links form a tree.
    """

    def __init__(self, tables: Tables, *, rng: random.Random) -> None:
        self._tables = tables
        self._rng = rng
        self._received: dict[str, _ReceivedReport] = {}
        self._sent: dict[str, _SentReport] = {}
        self._root = ""
        self._members_revision = -1
        self._next_report_at = 0.0

    def list_version_counts(self) -> tuple[VersionCount, ...]:
        """Return the number of nodes on each version, the highest version first.

        While the tree changes, a node may be counted under both its old and its new parent. If
        a data centre has more counted nodes than live members, the excess is subtracted from
        its highest versions, so that their counts are not too high.
        """
        live = Counter(
            member.place.data_centre for member in self._tables.members.values() if is_live(member)
        )
        excess = Counter(dict.fromkeys(live, 0))
        totals = sorted(self._compute_totals(), key=lambda row: -row.offset)
        for row in totals:
            excess[row.data_centre] += row.nodes
        excess.subtract(live)

        sums: Counter[int] = Counter()
        for row in totals:
            excess_nodes = max(0, min(row.nodes, excess[row.data_centre]))
            excess[row.data_centre] -= excess_nodes
            sums[row.offset] += row.nodes - excess_nodes
        rows = (VersionCount(offset, sums[offset]) for offset in sorted(sums, reverse=True))
        return tuple(row for row in rows if row.nodes)

    def handle_report(self, peer: str, report: InForceReport, now: float) -> None:
        """Store the report of a linked peer; ignore it if it has too many counts."""
        if peer in self._tables.links and len(report.counts) <= MAX_COUNTS:
            self._received[peer] = _ReceivedReport(report, now)

    def close_link(self, peer: str) -> None:
        """Discard the last report received from a peer and the last one sent to it."""
        self._received.pop(peer, None)
        self._sent.pop(peer, None)

    def tick(self, now: float) -> list[Command]:
        """Return the reports that are due to the linked peers."""
        if now < self._next_report_at:
            return []
        self._next_report_at = now + REPORT_INTERVAL_S
        self._update_root()
        for peer in [
            peer for peer, row in self._received.items() if now > row.received_at + REPORT_EXPIRY_S
        ]:
            del self._received[peer]

        parent, hops = self._find_parent()
        counts = self._sum_counts()
        totals = self._compute_totals()
        commands: list[Command] = []
        for peer in self._tables.links:
            received = self._received.get(peer)
            is_child = received is not None and received.report.parent == self._tables.identity.node
            report = InForceReport(
                counts=counts if peer == parent else (),
                totals=totals if is_child else (),
                root=self._root,
                hops=hops,
                parent=parent,
            )
            commands += self._send(peer, report, now)
        return commands

    def _send(self, peer: str, report: InForceReport, now: float) -> list[Command]:
        sent = self._sent.get(peer)
        is_too_early = sent is not None and now < sent.next_at
        is_unchanged = sent is not None and sent.report == report and now < sent.refresh_at
        if is_too_early or is_unchanged:
            return []
        interval_s = CROSS_REGION_REPORT_INTERVAL_S if self._is_cross_region(peer) else 0.0
        refresh_s = REPORT_REFRESH_S * self._rng.uniform(0.75, 1.25)
        self._sent[peer] = _SentReport(report, now + interval_s, now + refresh_s)
        return [Send(peer, report)]

    def _update_root(self) -> None:
        tables = self._tables
        if tables.members_revision == self._members_revision and self._root:
            return
        self._members_revision = tables.members_revision
        self._root = find_role_holder("in-force", tables.members.values()) or tables.identity.node

    def _find_parent(self) -> tuple[str, int]:
        node = self._tables.identity.node
        if self._root == node:
            return "", 0
        candidates = [
            (row.report.hops, self._is_cross_region(peer), peer)
            for peer, row in self._received.items()
            if row.report.root == self._root
            and row.report.parent != node
            and row.report.hops < MAX_HOPS
            and peer in self._tables.links
        ]
        if not candidates:
            return "", MAX_HOPS
        hops, _, peer = min(candidates)
        return peer, hops + 1

    def _sum_counts(self) -> tuple[InForceCount, ...]:
        identity = self._tables.identity
        sums: Counter[tuple[str, int]] = Counter()
        sums[(identity.place.data_centre, self._tables.config.offset)] += 1
        for row in self._received.values():
            if row.report.parent != identity.node:
                continue
            for count in row.report.counts:
                sums[(count.data_centre, count.offset)] += count.nodes
        return _limit_counts(sums)

    def _compute_totals(self) -> tuple[InForceCount, ...]:
        if self._root in ("", self._tables.identity.node):
            return self._sum_counts()
        parent, _ = self._find_parent()
        row = self._received.get(parent)
        return row.report.totals if row is not None and row.report.totals else self._sum_counts()

    def _is_cross_region(self, peer: str) -> bool:
        link = self._tables.links.get(peer)
        return link is None or link.place.region != self._tables.identity.place.region


def _limit_counts(sums: Counter[tuple[str, int]]) -> tuple[InForceCount, ...]:
    rows = [InForceCount(key[0], key[1], nodes) for key, nodes in sums.items()]
    rows.sort(key=lambda row: (-row.offset, row.data_centre))
    kept = rows[:MAX_COUNTS]
    rest = sum(row.nodes for row in rows[MAX_COUNTS:])
    if rest:
        last = kept[-1]
        kept[-1] = last._replace(nodes=last.nodes + rest)
    return tuple(kept)
