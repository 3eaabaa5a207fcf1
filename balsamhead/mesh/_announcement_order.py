"""Order the announcements of a VM's upstream, of which some arrive late."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamhead.mesh.model import UpstreamRecord

__all__ = ("AnnouncementOrder",)


class AnnouncementOrder:
    """Accept announcements that are newer than all before, by start time and sequence.

    An announcement that another writer has made under the upstream's id may look newer than all
    that follow. It counts no longer once the upstream goes on without a newer one.
    """

    def __init__(self, *, silence_s: float) -> None:
        """Create an order without announcements.

        :param silence_s: time without a newer announcement, in s, after which the newest one is
            contradicted by one that is newer than those before it.
        """
        self._silence_s = silence_s
        self._newest: UpstreamRecord | None = None
        self._accepted_at = 0.0
        #: the newest one before that
        self._previous: UpstreamRecord | None = None

    def accept(self, record: UpstreamRecord, now: float) -> bool:
        """Return whether an announcement is to be applied, and remember it if so.

        :param now: current time, in s of the event loop's clock.
        """
        if self._newest is None or _get_key(record) > _get_key(self._newest):
            self._newest, self._previous = record, self._newest
        elif self._contradicts(record, now):
            self._newest, self._previous = record, None
        else:
            return False
        self._accepted_at = now
        return True

    def _contradicts(self, record: UpstreamRecord, now: float) -> bool:
        previous = self._previous
        return (
            previous is not None
            and record.id == previous.id
            and _get_key(record) > _get_key(previous)
            and now - self._accepted_at > self._silence_s
        )


def _get_key(record: UpstreamRecord) -> tuple[int, int]:
    return (record.started_at_ms, record.sequence)
