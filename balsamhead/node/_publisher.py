"""Rebuild the routing snapshot for the call path after the tables have changed."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

from balsamhead.routing import build_snapshot

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamhead.node._tables import Tables
    from balsamhead.routing import Snapshot

__all__ = ("SnapshotPublisher",)

#: maximum share of the elapsed time that builds after member changes may take, 0 to 1
MAX_MEMBER_BUILD_SHARE: Final = 0.1


class SnapshotPublisher:
    """Build a routing snapshot when the tables have changed, and pass it to a callback.

    A new configuration or a withdrawal is published at once. Member changes arrive by the
    hundred when a data centre is lost, so a build for them waits until ten times the duration
    of the last build has passed.

    :param timer: monotonic clock that measures the duration of a build, in s.
    """

    def __init__(
        self,
        tables: Tables,
        on_snapshot: Callable[[Snapshot], None],
        *,
        timer: Callable[[], float] = time.perf_counter,
    ) -> None:
        self._tables = tables
        self._on_snapshot = on_snapshot
        self._timer = timer
        self._built_config_revision = -1
        self._built_members_revision = -1
        self._next_member_build_at = 0.0

    def publish(self, now: float) -> None:
        """If a build is due, build a snapshot and pass it to the callback.

        :param now: current time, in s since the epoch.
        """
        tables = self._tables
        has_config_changed = tables.config_revision != self._built_config_revision
        have_members_changed = tables.members_revision != self._built_members_revision
        if not has_config_changed and not (
            have_members_changed and now >= self._next_member_build_at
        ):
            return

        self._built_config_revision = tables.config_revision
        self._built_members_revision = tables.members_revision
        started_at = self._timer()
        snapshot = build_snapshot(
            config=tables.config,
            withdrawn=tables.withdrawn,
            members=tables.members.values(),
            identity=tables.identity,
        )
        duration_s = self._timer() - started_at
        self._next_member_build_at = now + duration_s / MAX_MEMBER_BUILD_SHARE
        self._on_snapshot(snapshot)
