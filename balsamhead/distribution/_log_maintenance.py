"""Plan the checkpoints and withdrawal records that a node has to append to the log."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from balsamhead.fold import MAX_RULES_VERSION, Checkpoint, Record, Refused, RollBackRollout

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping

    from balsamhead.distribution._reader import StreamReader
    from balsamhead.fold import ConfigState, Verdict
    from balsamhead.node import Tables

__all__ = ("LogMaintainer",)

#: age of the latest checkpoint at which a new one is due, as a fraction of the retention
CHECKPOINT_RENEWAL_FRACTION: Final = 0.4

#: number of records after which a checkpoint is due, whatever its age
MAX_RECORDS_WITHOUT_CHECKPOINT: Final = 250

#: bounds of the random delay before a checkpoint, so that only one reader writes it, in s
CHECKPOINT_WAIT_S: Final = (0.2, 2.0)

#: bounds of the random delay before a recovery, so that nodes first replicate the highest
#: state, in s
RECOVERY_WAIT_S: Final = (3.0, 8.0)

#: additional delay before a node that has no state writes a checkpoint of the empty state, in s
EMPTY_STATE_RECOVERY_WAIT_S: Final = 30.0

#: bounds of the random delay before a withdrawal is written or written again, in s
WITHDRAWAL_WAIT_S: Final = (0.2, 3.0)

#: most withdrawal records to track until their verdicts are known
MAX_PENDING_WITHDRAWALS: Final = 64


class LogMaintainer:
    """Plan checkpoints, recoveries and withdrawals, and return their records when they are due."""

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
        self._next_checkpoint_at: float | None = None
        self._next_recovery_at: float | None = None
        self._next_withdrawal_at: float | None = None
        #: withdrawals whose record has no verdict yet, by record id
        self._pending_withdrawals: dict[str, tuple[str, str, int]] = {}
        self._refused_withdrawals: set[tuple[str, str, int]] = set()

    def plan_checkpoint(self, reader: StreamReader, now: float) -> list[Record]:
        """Return a checkpoint of the reader's state if one is due."""
        if not reader.is_caught_up or not self._is_checkpoint_due(reader, now):
            self._next_checkpoint_at = None
            return []
        if self._next_checkpoint_at is None:
            self._next_checkpoint_at = now + self._rng.uniform(*CHECKPOINT_WAIT_S)
        if now < self._next_checkpoint_at:
            return []
        self._next_checkpoint_at = now + 10 * CHECKPOINT_WAIT_S[1]
        assert reader.state is not None
        return [self._build_checkpoint(reader.state, base=reader.next_offset - 1, now=now)]

    def plan_recovery(self, reader: StreamReader, now: float) -> list[Record]:
        """Return a checkpoint of the state in force if the log can no longer reproduce it."""
        current = self._tables.config
        if current.rules > MAX_RULES_VERSION or not self._is_recovery_due(reader):
            self._next_recovery_at = None
            return []
        if self._next_recovery_at is None:
            wait_s = self._rng.uniform(*RECOVERY_WAIT_S)
            self._next_recovery_at = now + (
                wait_s if current.offset >= 0 else EMPTY_STATE_RECOVERY_WAIT_S + wait_s
            )
        if now < self._next_recovery_at:
            return []
        self._next_recovery_at = now + 2 * RECOVERY_WAIT_S[1]
        return [self._build_checkpoint(current, base=-1, now=now)]

    def plan_withdrawals(
        self,
        unlogged: list[tuple[str, str, int]],
        verdicts: Mapping[str, Verdict],
        now: float,
    ) -> list[Record]:
        """Return a record for one of the withdrawals that are missing from the log.

        :param unlogged: keys of the withdrawals that the accepted state does not contain.
        :param verdicts: verdicts by record id.
        """
        for record_id, key in list(self._pending_withdrawals.items()):
            if record_id in verdicts:
                del self._pending_withdrawals[record_id]
                if isinstance(verdicts[record_id], Refused):
                    self._refused_withdrawals.add(key)
        remaining = [key for key in unlogged if key not in self._refused_withdrawals]
        if not remaining:
            self._next_withdrawal_at = None
            return []
        if self._next_withdrawal_at is None:
            self._next_withdrawal_at = now + self._rng.uniform(*WITHDRAWAL_WAIT_S)
        if now < self._next_withdrawal_at:
            return []
        self._next_withdrawal_at = None

        service, version, document_offset = key = self._rng.choice(remaining)
        record = RollBackRollout(
            id=self._make_id(),
            base=-1,
            written_at=now,
            writer=self._tables.identity.node,
            service=service,
            version=version,
            document_offset=document_offset,
            reason=self._tables.withdrawn[key],
        )
        self._pending_withdrawals[record.id] = key
        if len(self._pending_withdrawals) > MAX_PENDING_WITHDRAWALS:
            # the oldest record got no verdict, for example during an outage of the log
            del self._pending_withdrawals[next(iter(self._pending_withdrawals))]
        return [record]

    def _is_checkpoint_due(self, reader: StreamReader, now: float) -> bool:
        state = reader.state
        if state is None or state.offset < 0 or state.rules > MAX_RULES_VERSION:
            return False
        if reader.next_offset - reader.checkpoint_offset > MAX_RECORDS_WITHOUT_CHECKPOINT:
            return True
        if reader.first > 0 and reader.checkpoint_offset < (reader.first + reader.end) // 2:
            return True
        written_at = reader.checkpoint_at or reader.started_at
        return now - written_at > self._retention_s * CHECKPOINT_RENEWAL_FRACTION

    def _is_recovery_due(self, reader: StreamReader) -> bool:
        if reader.is_awaiting_checkpoint:
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
