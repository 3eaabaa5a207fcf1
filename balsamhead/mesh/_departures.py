"""Remember which incarnations of upstreams have left, so that a late announcement revives none."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from balsamhead.mesh.model import Departure

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamhead.mesh.model import UpstreamRecord

__all__ = ("Departures",)

#: number of departures that are remembered of each kind, and that are kept in the store
_MAX_REMEMBERED: Final = 256
_MAX_STORED: Final = 16


class Departures:
    """Incarnations that have left, by id and start time."""

    def __init__(self) -> None:
        #: sequence of the last announcement before each departure; -1 if it is unknown
        self._sequences: dict[tuple[str, int], int] = {}
        #: when an upstream deregistered that had not been announced, in ms since the epoch, by id
        self._unannounced: dict[str, int] = {}

    def add(self, record: UpstreamRecord) -> None:
        """Add the incarnation of a record."""
        key = (record.id, record.started_at_ms)
        self._sequences[key] = max(record.sequence, self._sequences.get(key, -1))
        self._forget_oldest()

    def add_incarnation(self, upstream_id: str, started_at_ms: int) -> None:
        """Add an incarnation that another node has reported."""
        self._sequences.setdefault((upstream_id, started_at_ms), -1)
        self._forget_oldest()

    def add_unannounced(self, upstream_id: str, now_ms: int) -> None:
        """Add all incarnations of an upstream that started before now.

        :param now_ms: the current time, in ms since the epoch.
        """
        self._unannounced[upstream_id] = max(now_ms, self._unannounced.get(upstream_id, -1))
        self._forget_oldest()

    def restore(self, departures: Iterable[Departure]) -> None:
        """Add departures that were listed by an earlier run of this node."""
        for departure in departures:
            if departure.announced:
                self.add_incarnation(departure.upstream_id, departure.time_ms)
            else:
                self.add_unannounced(departure.upstream_id, departure.time_ms)

    def list_newest(self) -> tuple[Departure, ...]:
        """Return the newest departures, as many as the store keeps."""
        known = [Departure(*key, announced=True) for key in self._sequences]
        known += [Departure(*item, announced=False) for item in self._unannounced.items()]
        known.sort(key=lambda departure: (departure.time_ms, departure))
        return tuple(known[-_MAX_STORED:])

    def _forget_oldest(self) -> None:
        if len(self._sequences) > _MAX_REMEMBERED:
            del self._sequences[min(self._sequences, key=lambda key: key[1])]
        if len(self._unannounced) > _MAX_REMEMBERED:
            del self._unannounced[min(self._unannounced, key=lambda key: self._unannounced[key])]

    def has_left(self, record: UpstreamRecord) -> bool:
        """Return whether the incarnation of a record has left."""
        return (
            record.id,
            record.started_at_ms,
        ) in self._sequences or record.started_at_ms <= self._unannounced.get(record.id, -1)

    def is_outdated(self, record: UpstreamRecord) -> bool:
        """Return whether a record was sent before the departure of its incarnation."""
        return self._sequences.get((record.id, record.started_at_ms), -1) >= record.sequence
