"""Schedule this node's reads of its environment's stream."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from balsamhead.commands import Command, ReadLog
from balsamhead.distribution._reader import PROBE_START, StreamReader
from balsamhead.fold import get_log_offset
from balsamhead.membership import list_region, rank_nodes

if TYPE_CHECKING:
    import random

    from balsamhead.events import LogRead
    from balsamhead.node import Tables

__all__ = ("LogFollower",)

#: long-poll time of a read while the verdict on a record is pending, in s
VERDICT_WAIT_S: Final = 1.0

#: delay before this node takes over as the region's reader, before jitter, in s
TAKEOVER_DELAY_S: Final = 1.0

#: shortest time between two computations of this node's rank, in s
RANK_INTERVAL_S: Final = 1.0

#: interval of the first standby reader's probes, in s; the second's is twice as long
PROBE_INTERVAL_S: Final = 5.0

#: time that the reader has to deliver records that a probe has found, in s, per standby rank
DELIVERY_GRACE_S: Final = 3.0

#: time for which a standby reader reads the log after the reader failed to deliver, in s
STANDBY_READ_S: Final = 30.0

#: number of standby readers of a region, which probe the end of the log
STANDBY_READERS: Final = 2

#: bounds of the back-off after a failed read, in s
BACKOFF_MIN_S: Final = 0.5
BACKOFF_MAX_S: Final = 5.0

#: time after the end of the long poll at which a read without a response is retried, in s
READ_TIMEOUT_MARGIN_S: Final = 40.0


class LogFollower:
    """Read the stream while this node is its region's reader or a verdict is pending.

    In the log's region, one node reads the stream and standby readers only probe its end. A
    standby reader reads the stream itself if replication does not bring the version in force up
    to that end. A region other than the log's has only standby readers, so that usually no
    records are read across regions. If no log region is set, every region has a reader.
    """

    def __init__(
        self, tables: Tables, *, rng: random.Random, log_region: str, wait_s: float
    ) -> None:
        self._tables = tables
        self._rng = rng
        self._log_region = log_region
        self._wait_s = wait_s
        self._stream = tables.identity.environment
        self.reader: StreamReader | None = None
        self._rank = -1
        self._next_rank_at = 0.0
        self._members_revision = -1
        self._first_rank_since = -1.0
        self._takeover_delay_s = TAKEOVER_DELAY_S * rng.uniform(0.5, 1.5)
        self._requested_start: int | None = None
        self._request_deadline = 0.0
        self._retry_at = 0.0
        self._backoff_s = BACKOFF_MIN_S
        self._next_probe_at = 0.0
        self._standby_read_until = 0.0
        #: end of the stream up to which the version in force includes all records; -1 if unknown
        self._covered_end = -1
        #: when a probe found records that the version in force lacks; -1 if there are none
        self._gap_since = -1.0
        #: version in force when the probe found these records
        self._gap_offset = -1

    def is_reader(self, now: float) -> bool:
        """Return whether this node reads the log for its region."""
        if now < self._standby_read_until:
            return True
        return (
            self._get_reader_rank() == 0 and now >= self._first_rank_since + self._takeover_delay_s
        )

    def handle_batch(self, event: LogRead, now: float) -> None:
        """Pass the batch to the reader; after a probe, check whether this node lacks records."""
        self._requested_start = None
        self._backoff_s = BACKOFF_MIN_S
        self._tables.log_responded_at = now
        if self.reader is not None:
            self.reader.handle_batch(event.start, event.batch)
            if self.reader.is_caught_up:
                self._covered_end = self.reader.end
                self._gap_since = -1.0
        elif event.start == PROBE_START:
            self._check_for_gap(event.batch.end, now)

    def handle_failure(self, now: float) -> None:
        """Schedule a retry after a failed read, with exponential back-off."""
        self._requested_start = None
        self._retry_at = now + self._backoff_s * self._rng.uniform(0.5, 1.0)
        self._backoff_s = min(self._backoff_s * 2, BACKOFF_MAX_S)

    def start_reading(self, now: float) -> StreamReader:
        """Return the reader; create one that starts after the version in force if there is none.

        A caller that starts the reader before it appends a record will see the verdict on it.
        """
        if self.reader is None:
            self.reader = StreamReader(self._tables.config, started_at=now)
        return self.reader

    def tick(self, now: float, *, is_verdict_pending: bool) -> list[Command]:
        """Return the next read of the stream or probe of its end, if one is due.

        :param is_verdict_pending: whether the verdict on a record is pending.
        """
        self._update_rank(now)
        is_reader = self.is_reader(now)
        if is_reader or is_verdict_pending:
            self.start_reading(now)
        elif self._requested_start is None:
            self.reader = None

        if self._requested_start is not None and now < self._request_deadline:
            return []
        if now < self._retry_at:
            return []
        if self.reader is not None:
            wait_s = self._wait_s if is_reader and not is_verdict_pending else VERDICT_WAIT_S
            return self._request_read(
                self.reader.next_offset, wait_s if self.reader.can_long_poll else 0.0, now
            )
        return self._probe(now)

    def _request_read(self, start: int, wait_s: float, now: float) -> list[Command]:
        self._requested_start = start
        self._request_deadline = now + wait_s + READ_TIMEOUT_MARGIN_S
        return [ReadLog(self._stream, start, wait_s)]

    def _probe(self, now: float) -> list[Command]:
        reader_rank = self._get_reader_rank()
        if not 1 <= reader_rank <= STANDBY_READERS or now < self._next_probe_at:
            return []
        self._next_probe_at = now + PROBE_INTERVAL_S * reader_rank * self._rng.uniform(0.75, 1.25)
        return self._request_read(PROBE_START, 0.0, now)

    def _check_for_gap(self, end: int, now: float) -> None:
        offset = self._tables.config.offset
        if end == self._covered_end or end == get_log_offset(offset) + 1:
            self._covered_end = end
            self._gap_since = -1.0
            return
        if self._gap_since < 0:
            self._gap_since = now
            self._gap_offset = offset
            self._next_probe_at = now + DELIVERY_GRACE_S * self._get_reader_rank()
            return
        if offset > self._gap_offset:
            self._covered_end = end
            self._gap_since = -1.0
            return
        self._standby_read_until = now + STANDBY_READ_S
        self._gap_since = -1.0

    def _get_reader_rank(self) -> int:
        if self._rank < 0:
            return -1
        is_log_region = self._log_region in ("", self._tables.identity.place.region)
        return self._rank if is_log_region else self._rank + 1

    def _update_rank(self, now: float) -> None:
        tables = self._tables
        if tables.members_revision == self._members_revision or now < self._next_rank_at:
            return
        self._members_revision = tables.members_revision
        self._next_rank_at = now + RANK_INTERVAL_S
        region = tables.identity.place.region
        members = list_region(tables.members.values(), region)
        names = rank_nodes(f"log-reader/{region}", members)
        node = tables.identity.node
        rank = names.index(node) if node in names else -1
        if rank == 0 and self._rank != 0:
            self._first_rank_since = now
        self._rank = rank
