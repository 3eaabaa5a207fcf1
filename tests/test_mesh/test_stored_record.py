from __future__ import annotations

import asyncio
from collections.abc import Sequence

import pytest

from balsamhead.errors import LogUnavailableError
from balsamhead.mesh._departures import Departures
from balsamhead.mesh._stored_record import StoredRecord
from balsamhead.mesh.model import Departure
from tests.test_mesh.builders import run_virtual


class Store:
    """Departures of one node; some writes fail."""

    def __init__(self, *, failures: int = 0) -> None:
        self.failures = failures
        self.writes: list[tuple[Departure, ...]] = []

    async def write_departures(self, departures: Sequence[Departure]) -> None:
        if self.failures:
            self.failures -= 1
            raise LogUnavailableError("away", step="append-record")
        self.writes.append(tuple(departures))


def make_record(departures: Departures, store: Store) -> StoredRecord[tuple[Departure, ...]]:
    return StoredRecord(
        get_value=departures.list_newest,
        write=store.write_departures,
        failure_event="departures-not-written",
    )


def test_nothing_is_written_before_the_stored_value_is_known() -> None:
    async def main() -> None:
        departures, store = Departures(), Store()
        record = make_record(departures, store)
        departures.add_incarnation("i-2", 2)
        assert not await record.wait_until_stored(timeout_s=5.0)
        assert store.writes == []
        stored = (Departure("i-1", 1, announced=True),)
        departures.restore(stored)
        record.set_stored(stored)
        assert await record.wait_until_stored(timeout_s=0.1)
        assert store.writes == [(*stored, Departure("i-2", 2, announced=True))]

    run_virtual(main)


@pytest.mark.parametrize(("failures", "expected"), [(0, True), (1, True), (4, False)])
def test_wait_ends_with_the_write_or_in_time(failures: int, expected: bool) -> None:
    async def main() -> None:
        departures, store = Departures(), Store(failures=failures)
        record = make_record(departures, store)
        record.set_stored(())
        departures.add_unannounced("i-1", 1)
        started_at = asyncio.get_running_loop().time()
        assert await record.wait_until_stored(timeout_s=0.6) is expected
        assert asyncio.get_running_loop().time() - started_at <= 0.6
        assert await record.wait_until_stored(timeout_s=5.0)
        assert store.writes == [(Departure("i-1", 1, announced=False),)]

    run_virtual(main)


def test_departure_during_a_write_is_written_after_it() -> None:
    async def main() -> None:
        departures, store = Departures(), Store(failures=1)
        record = make_record(departures, store)
        record.set_stored(())
        departures.add_incarnation("i-1", 1)
        record.update()
        await asyncio.sleep(0.1)
        departures.add_incarnation("i-2", 2)
        assert await record.wait_until_stored(timeout_s=5.0)
        assert [row.upstream_id for row in store.writes[-1]] == ["i-1", "i-2"]

    run_virtual(main)


def test_oldest_departures_are_left_out() -> None:
    departures = Departures()
    for number in range(40):
        departures.add_incarnation(f"i-{number}", number)
    assert [row.time_ms for row in departures.list_newest()] == list(range(24, 40))
