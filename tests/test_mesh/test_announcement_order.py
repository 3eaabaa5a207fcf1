from __future__ import annotations

import pytest

from balsamhead.mesh._announcement_order import AnnouncementOrder
from balsamhead.mesh.model import UpstreamRecord, UpstreamState


def make_record(started_at_ms: int, sequence: int, *, upstream_id: str = "i-1") -> UpstreamRecord:
    return UpstreamRecord(
        upstream_id,
        "desk",
        "10.0.0.1:8000",
        "v1",
        2,
        UpstreamState.READY,
        0.0,
        started_at_ms,
        sequence,
    )


def make_order(*records: UpstreamRecord) -> AnnouncementOrder:
    """Return an order that has accepted records, one each 1.5 s from 0 s on."""
    order = AnnouncementOrder(silence_s=3.0)
    for number, record in enumerate(records):
        assert order.accept(record, 1.5 * number)
    return order


@pytest.mark.parametrize(
    "record", [make_record(1000, 2), make_record(999, 9), make_record(1000, 1)]
)
def test_late_announcement_is_not_accepted(record: UpstreamRecord) -> None:
    assert not make_order(make_record(1000, 1), make_record(1000, 2)).accept(record, 1.6)


def test_announcement_of_a_later_start_is_accepted() -> None:
    assert make_order(make_record(1000, 7)).accept(make_record(1001, 1), 0.1)


def test_upstream_that_goes_on_contradicts_one_that_looked_newer() -> None:
    order = make_order(make_record(1000, 1), make_record(9000, 1))
    assert not order.accept(make_record(1000, 2), 3.0)
    assert order.accept(make_record(1000, 3), 4.6)
    assert order.accept(make_record(1000, 4), 6.1)


def test_sequence_that_was_too_high_is_contradicted() -> None:
    order = make_order(make_record(1000, 1), make_record(1000, 10**9))
    assert not order.accept(make_record(1000, 2), 3.0)
    assert order.accept(make_record(1000, 3), 4.6)


def test_late_announcement_does_not_contradict_a_start_that_goes_on() -> None:
    order = make_order(make_record(1000, 1), make_record(2000, 1), make_record(2000, 2))
    assert not order.accept(make_record(1000, 2), 60.0)


def test_announcement_of_another_id_contradicts_nothing() -> None:
    order = make_order(make_record(1000, 1), make_record(2000, 1))
    assert not order.accept(make_record(1000, 2, upstream_id="i-2"), 60.0)
