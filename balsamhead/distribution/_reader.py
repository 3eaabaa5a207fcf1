"""Read a stream of the log and fold its records, starting from the latest checkpoint."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from typing import TYPE_CHECKING, Final

from balsamhead.errors import MalformedMessageError
from balsamhead.fold import (
    Checkpoint,
    ConfigState,
    Verdict,
    decode_record,
    empty_state,
    fold_entry,
    get_log_offset,
)

if TYPE_CHECKING:
    from balsamhead.fold import Record
    from balsamhead.log import Batch, Entry

__all__ = ("PROBE_START", "StreamReader")

#: offset beyond the end of any stream; the log answers such a read at once with its bounds
PROBE_START: Final = 1 << 62

#: number of records at the end of the stream that are first searched for a checkpoint
INITIAL_WINDOW: Final = 64

#: most verdicts to keep for the writers of the records
MAX_VERDICTS: Final = 4096


class _Phase(Enum):
    #: requests the bounds of the stream
    PROBE = "probe"
    #: checks that the log contains the record that led to the initial state
    VERIFY = "verify"
    #: reads a window before the end to find a checkpoint
    SCAN = "scan"
    #: folds new records
    FOLLOW = "follow"
    #: has found neither the first record nor a checkpoint, and waits for new records
    AWAIT_CHECKPOINT = "lost"


class StreamReader:
    """Fold a stream batch by batch.

    :ivar state: state after the records before ``next_offset``; None until a start was found.
    :ivar next_offset: offset of the next read.
    :ivar first: offset of the oldest record in the stream, from the last batch.
    :ivar end: end of the stream, from the last batch; -1 before the first one.
    :ivar verdicts: verdicts on the most recent records, by record id.
    :ivar checkpoint_offset: log offset of the latest checkpoint; -1 if none was read.
    :ivar checkpoint_at: when that checkpoint was written, in s since the epoch; 0 if none was
        read.
    :ivar started_at: when this reader started, in s since the epoch.
    """

    def __init__(
        self, initial_state: ConfigState | None = None, *, started_at: float = 0.0
    ) -> None:
        self.state: ConfigState | None = None
        self.end = -1
        self.first = 0
        self.verdicts: OrderedDict[str, Verdict] = OrderedDict()
        self.checkpoint_offset = -1
        self.checkpoint_at = 0.0
        self.started_at = started_at
        self._initial_state = initial_state
        self._window: list[Entry] = []
        self._window_start = 0
        self._window_length = INITIAL_WINDOW
        self._phase = _Phase.PROBE
        self.next_offset = PROBE_START
        if initial_state is not None and initial_state.offset >= 0:
            self._phase = _Phase.VERIFY
            self.next_offset = get_log_offset(initial_state.offset)

    @property
    def is_caught_up(self) -> bool:
        """Return whether all records up to the last known end were folded."""
        return self._phase is _Phase.FOLLOW and self.next_offset >= self.end

    @property
    def is_awaiting_checkpoint(self) -> bool:
        """Return whether the stream has no usable start until a checkpoint is written."""
        return self._phase is _Phase.AWAIT_CHECKPOINT

    @property
    def can_long_poll(self) -> bool:
        """Return whether the next read may wait at the log for new records."""
        return self.is_caught_up or self.is_awaiting_checkpoint

    def handle_batch(self, start: int, batch: Batch) -> None:
        """Process the batch of a read at ``next_offset``; ignore a batch with another start."""
        if start != self.next_offset:
            return
        self.first = batch.first
        self.end = batch.end
        match self._phase:
            case _Phase.PROBE:
                self._start_scan()
            case _Phase.VERIFY:
                self._verify(batch)
            case _Phase.SCAN:
                self._scan(batch)
            case _Phase.FOLLOW:
                self._follow(batch)
            case _Phase.AWAIT_CHECKPOINT:
                if batch.entries or batch.end < self.next_offset:
                    self._start_scan()

    def _start_scan(self) -> None:
        self.state = None
        self._window = []
        self._window_start = max(self.first, self.end - self._window_length)
        self._phase = _Phase.SCAN
        self.next_offset = self._window_start
        if self._window_start == self.end:
            self._choose_start()

    def _verify(self, batch: Batch) -> None:
        initial_state = self._initial_state
        entry = batch.entries[0] if batch.entries else None
        if initial_state is None or entry is None or entry.offset != self.next_offset:
            self._start_scan()
            return
        try:
            is_in_log = decode_record(entry.data, offset=entry.offset).id == initial_state.record_id
        except MalformedMessageError:
            is_in_log = False
        if not is_in_log:
            self._start_scan()
            return
        self._start_following(initial_state, batch.entries[1:], next_offset=self.next_offset + 1)

    def _scan(self, batch: Batch) -> None:
        if batch.first > self.next_offset or batch.end < self.next_offset:
            self._start_scan()
            return
        self._window.extend(batch.entries)
        self.next_offset += len(batch.entries)
        if self.next_offset >= batch.end:
            self._choose_start()

    def _choose_start(self) -> None:
        checkpoints = list(_find_checkpoints(self._window))
        for offset, record in reversed(checkpoints):
            if self._window_start - 1 <= record.base < offset and record.base >= 0:
                entries = [entry for entry in self._window if entry.offset > record.base]
                self._start_following(record.state, entries, next_offset=record.base + 1)
                return

        if self._window_start > self.first:
            self._window_length *= 4
            self._start_scan()
        elif self._window_start == 0:
            self._start_following(empty_state(), self._window, next_offset=0)
        elif checkpoints:
            start = checkpoints[0][0]
            entries = [entry for entry in self._window if entry.offset >= start]
            self._start_following(empty_state(), entries, next_offset=start)
        else:
            self._window = []
            self.next_offset = self.end
            self._phase = _Phase.AWAIT_CHECKPOINT

    def _start_following(
        self, state: ConfigState, entries: list[Entry] | tuple[Entry, ...], *, next_offset: int
    ) -> None:
        self._initial_state = None
        self._window = []
        self._window_length = INITIAL_WINDOW
        self._phase = _Phase.FOLLOW
        self.state = state
        self.next_offset = next_offset
        self._fold(entries)

    def _follow(self, batch: Batch) -> None:
        if batch.first > self.next_offset or batch.end < self.next_offset:
            # unread records were dropped, or the log was emptied
            self._start_scan()
            return
        self._fold(batch.entries)

    def _fold(self, entries: list[Entry] | tuple[Entry, ...]) -> None:
        assert self.state is not None
        for entry in entries:
            record, folded = fold_entry(self.state, entry.offset, entry.data)
            self.state = folded.state
            self.next_offset = entry.offset + 1
            if record is not None:
                self._store_verdict(record, entry.offset, folded.verdict)

    def _store_verdict(self, record: Record, offset: int, verdict: Verdict) -> None:
        # keep the first verdict: the second copy of a record that was appended twice is refused
        self.verdicts.setdefault(record.id, verdict)
        if len(self.verdicts) > MAX_VERDICTS:
            self.verdicts.popitem(last=False)
        if isinstance(record, Checkpoint) and 0 <= record.base < offset:
            self.checkpoint_offset = offset
            self.checkpoint_at = record.written_at


def _find_checkpoints(entries: list[Entry]) -> list[tuple[int, Checkpoint]]:
    found = []
    for entry in entries:
        try:
            record = decode_record(entry.data, offset=entry.offset)
        except MalformedMessageError:
            continue
        if isinstance(record, Checkpoint):
            found.append((entry.offset, record))
    return found
