"""Keep the stream usable: checkpoints, recovery, and withdrawals that the log lacks."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from balsamhead.fold import MAX_RULES_VERSION, Checkpoint, Record, Refused, TakeBackRollout

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping

    from balsamhead.distribution._reader import StreamReader
    from balsamhead.fold import ConfigState, Verdict
    from balsamhead.node import Tables

__all__ = ("LogKeeper",)

#: part of the retention after which a checkpoint is renewed
RENEW_SHARE: Final = 0.4

#: records after which a checkpoint is written in any case
CHECKPOINT_RECORDS: Final = 250

#: bounds of the wait before a checkpoint, so that another reader may write it, in s
CHECKPOINT_WAIT_S: Final = (0.2, 2.0)

#: bounds of the wait before a recovery, so that the fleet agrees on the highest state, in s
RECOVERY_WAIT_S: Final = (3.0, 8.0)

#: wait before a stream that nobody remembers is begun anew, in s
RESTART_WAIT_S: Final = 30.0

#: bounds of the wait before a withdrawal is written (again), in s
WITHDRAWAL_WAIT_S: Final = (0.2, 3.0)

#: written withdrawals whose verdict is awaited
MAX_WRITTEN: Final = 64


class LogKeeper:
    """Return the records that a reader has to write."""

    def __init__(
        self,
        tables: Tables,
        *,
        rng: random.Random,
        retention_s: float,
        make_id: Callable[[], str],
    ) -> None:
        self._tables = tables
        self._rng = rng
        self._retention_s = retention_s
        self._make_id = make_id
        self._checkpoint_at: float | None = None
        self._recovery_at: float | None = None
        self._withdrawal_at: float | None = None
        #: withdrawals whose record awaits its verdict, by the record's id
        self._written: dict[str, tuple[str, str, int]] = {}
        self._refused: set[tuple[str, str, int]] = set()

    def plan_checkpoint(self, reader: StreamReader, now: float) -> list[Record]:
        """Return a checkpoint if the latest one is too old."""
        if not reader.is_caught_up or not self._is_checkpoint_due(reader, now):
            self._checkpoint_at = None
            return []
        if self._checkpoint_at is None:
            self._checkpoint_at = now + self._rng.uniform(*CHECKPOINT_WAIT_S)
        if now < self._checkpoint_at:
            return []
        self._checkpoint_at = now + 10 * CHECKPOINT_WAIT_S[1]
        assert reader.state is not None
        return [self._build_checkpoint(reader.state, base=reader.next - 1, now=now)]

    def plan_recovery(self, reader: StreamReader, now: float) -> list[Record]:
        """Return a checkpoint of the state held if the log no longer leads to it."""
        held = self._tables.config
        if held.rules > MAX_RULES_VERSION or not self._is_recovery_due(reader):
            self._recovery_at = None
            return []
        if self._recovery_at is None:
            wait_s = self._rng.uniform(*RECOVERY_WAIT_S)
            self._recovery_at = now + (wait_s if held.offset >= 0 else RESTART_WAIT_S + wait_s)
        if now < self._recovery_at:
            return []
        self._recovery_at = now + 2 * RECOVERY_WAIT_S[1]
        return [self._build_checkpoint(held, base=-1, now=now)]

    def plan_withdrawals(
        self,
        unlogged: list[tuple[str, str, int]],
        verdicts: Mapping[str, Verdict],
        now: float,
    ) -> list[Record]:
        """Return a record for a withdrawal that the log lacks."""
        for record_id, key in list(self._written.items()):
            if record_id in verdicts:
                del self._written[record_id]
                if isinstance(verdicts[record_id], Refused):
                    self._refused.add(key)
        left = [key for key in unlogged if key not in self._refused]
        if not left:
            self._withdrawal_at = None
            return []
        if self._withdrawal_at is None:
            self._withdrawal_at = now + self._rng.uniform(*WITHDRAWAL_WAIT_S)
        if now < self._withdrawal_at:
            return []
        self._withdrawal_at = None

        service, version, document_offset = key = self._rng.choice(left)
        record = TakeBackRollout(
            id=self._make_id(),
            base=-1,
            written_at=now,
            writer=self._tables.identity.node,
            service=service,
            version=version,
            document_offset=document_offset,
            reason=self._tables.withdrawn[key],
        )
        self._written[record.id] = key
        if len(self._written) > MAX_WRITTEN:
            # its verdict never came, as in an outage of the log
            del self._written[next(iter(self._written))]
        return [record]

    def _is_checkpoint_due(self, reader: StreamReader, now: float) -> bool:
        state = reader.state
        if state is None or state.offset < 0 or state.rules > MAX_RULES_VERSION:
            return False
        if reader.next - reader.checkpoint_offset > CHECKPOINT_RECORDS:
            return True
        if reader.first > 0 and reader.checkpoint_offset < (reader.first + reader.end) // 2:
            return True
        written_at = reader.checkpoint_at or reader.started_at
        return now - written_at > self._retention_s * RENEW_SHARE

    def _is_recovery_due(self, reader: StreamReader) -> bool:
        if reader.is_lost:
            return True
        if not reader.is_caught_up or reader.state is None:
            return False
        return reader.state.offset < self._tables.config.offset

    def _build_checkpoint(self, state: ConfigState, *, base: int, now: float) -> Record:
        return Checkpoint(
            id=self._make_id(),
            base=base,
            written_at=now,
            writer=self._tables.identity.node,
            state=state,
        )
