from __future__ import annotations

import random

import pytest

from balsamhead.distribution._aggregate import Aggregator
from balsamhead.fold import empty_state
from balsamhead.membership import Member, MemberStatus, Place
from balsamhead.node import Identity, LinkRow, Tables
from balsamhead.operator_responses import VersionCount
from balsamhead.wire import InForceCount, InForceReport

PLACE = Place("dc", "region")


def make_aggregator(*, live: int) -> Aggregator:
    """Return the aggregator of the root node, which has version 0 in force and two links."""
    tables = Tables(Identity("node-0", 1, PLACE, "127.0.0.1:1", "trial"))
    tables.config = empty_state()._replace(offset=0)
    for number in range(live):
        name = f"node-{number}"
        tables.members[name] = Member(name, 1, 1, MemberStatus.ALIVE, PLACE, f"{name}:1", None)
    for peer in ("node-1", "node-2"):
        tables.links[peer] = LinkRow(peer, f"{peer}:1", PLACE, False, 0.0)
    return Aggregator(tables, rng=random.Random(1))


def make_report(*counts: tuple[int, int]) -> InForceReport:
    """Return the report of a child with counts of (version, nodes)."""
    rows = tuple(InForceCount("dc", offset, nodes) for offset, nodes in counts)
    return InForceReport(counts=rows, totals=(), root="node-0", hops=1, parent="node-0")


@pytest.mark.parametrize(
    ("live", "reports", "expected"),
    [
        (4, [make_report((0, 2)), make_report((0, 1))], ((0, 4),)),
        # node-3 changed its parent and is counted in both reports
        (4, [make_report((0, 2)), make_report((0, 1), (-1, 1))], ((0, 3), (-1, 1))),
        (3, [make_report((0, 2)), make_report((0, 2))], ((0, 3),)),
    ],
)
def test_totals_never_exceed_the_live_members(
    live: int, reports: list[InForceReport], expected: tuple[tuple[int, int], ...]
) -> None:
    aggregator = make_aggregator(live=live)
    for peer, row in zip(("node-1", "node-2"), reports, strict=True):
        aggregator.handle_report(peer, row, 0.0)
    aggregator.tick(1.0)
    assert aggregator.list_version_counts() == tuple(VersionCount(*row) for row in expected)
