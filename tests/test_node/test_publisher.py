from __future__ import annotations

from typing import TYPE_CHECKING

from balsamhead.membership import Place
from balsamhead.node import Identity, Tables
from balsamhead.node._publisher import SnapshotPublisher

if TYPE_CHECKING:
    from balsamhead.routing import Snapshot

#: duration of each build according to the fake timer, in s
BUILD_DURATION_S = 0.05


class PublisherHarness:
    """A publisher whose builds take a fixed time by a fake timer."""

    def __init__(self) -> None:
        self.tables = Tables(Identity("n", 1, Place("dc", "region"), "127.0.0.1:1", "trial"))
        self.published: list[Snapshot] = []
        self._elapsed_s = 0.0
        self.publisher = SnapshotPublisher(self.tables, self.published.append, timer=self._timer)

    def _timer(self) -> float:
        self._elapsed_s += BUILD_DURATION_S
        return self._elapsed_s


def test_no_snapshot_is_built_without_change() -> None:
    harness = PublisherHarness()
    harness.publisher.publish(0.0)
    harness.publisher.publish(100.0)
    assert len(harness.published) == 1


def test_member_change_waits_ten_times_the_build_duration() -> None:
    harness = PublisherHarness()
    harness.publisher.publish(0.0)
    harness.tables.members_revision += 1
    harness.publisher.publish(BUILD_DURATION_S * 9.9)
    assert len(harness.published) == 1
    harness.publisher.publish(BUILD_DURATION_S * 10.1)
    assert len(harness.published) == 2


def test_config_change_is_published_at_once() -> None:
    harness = PublisherHarness()
    harness.publisher.publish(0.0)
    harness.tables.members_revision += 1
    harness.tables.config_revision += 1
    harness.publisher.publish(0.001)
    assert len(harness.published) == 2
    harness.publisher.publish(100.0)
    assert len(harness.published) == 2
