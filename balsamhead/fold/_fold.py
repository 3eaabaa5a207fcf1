"""Apply log records to the configuration state.

The result depends only on the state and the record, so all nodes that read the same records
reach the same state.
"""

from __future__ import annotations

import math
from operator import attrgetter
from typing import NamedTuple

from balsamhead.document import check_document, sort_document
from balsamhead.errors import MalformedMessageError
from balsamhead.fold._publish import plan_rollouts
from balsamhead.fold._record import (
    RECORD_FORMAT,
    Checkpoint,
    FinishRollout,
    PauseRollout,
    PublishDocument,
    Record,
    ResumeRollout,
    RollBackRollout,
    SetRulesVersion,
    StepRollout,
    decode_record,
)
from balsamhead.fold._state import (
    ConfigState,
    Rollout,
    RolloutPhase,
    Withdrawal,
    get_generation,
    get_log_offset,
    make_version,
)

__all__ = (
    "MAX_RULES_VERSION",
    "Accepted",
    "FoldResult",
    "Refused",
    "Verdict",
    "fold",
    "fold_entry",
)

#: highest version of the fold rules that this release implements
MAX_RULES_VERSION = 1


class Accepted(NamedTuple):
    """Verdict on a record that took effect."""

    #: version that the record got, see ``make_version``
    version: int


class Refused(NamedTuple):
    """Verdict on a record that left the state unchanged, with an error code and a reason."""

    code: str
    reason: str


Verdict = Accepted | Refused


class FoldResult(NamedTuple):
    """State after a record, and the verdict on the record."""

    state: ConfigState
    verdict: Verdict


def fold(state: ConfigState, offset: int, record: Record) -> FoldResult:
    """Apply a record to the state and return the new state with the verdict on the record.

    :param offset: log offset of the record.
    """
    verdict = _check_record(state, record)
    if verdict is not None:
        return FoldResult(state, verdict)

    version = make_version(state.generation, offset)
    if not isinstance(record, Checkpoint) and version <= state.offset:
        return FoldResult(state, Refused("record-outdated", f"version {state.offset} is in force"))

    match record:
        case PublishDocument():
            return _apply_publish(state, version, record)
        case RollBackRollout():
            return _apply_rollback(state, version, record)
        case StepRollout() | FinishRollout() | PauseRollout() | ResumeRollout():
            return _apply_rollout_change(state, version, record)
        case SetRulesVersion():
            return _apply_rules_version(state, version, record)
        case Checkpoint():
            return _apply_checkpoint(state, version, record)


def fold_entry(state: ConfigState, offset: int, data: bytes) -> tuple[Record | None, FoldResult]:
    """Decode a record and apply it to the state; refuse data that can't be decoded.

    The record is None when it can't be decoded.

    :param offset: log offset of the record.
    """
    try:
        record = decode_record(data, offset=offset)
    except MalformedMessageError as exc:
        return None, FoldResult(state, Refused("record-malformed", exc.message))
    return record, fold(state, offset, record)


def _check_record(state: ConfigState, record: Record) -> Refused | None:
    if state.rules > MAX_RULES_VERSION:
        return Refused("rules-unknown", f"rules version {state.rules} needs a newer release")
    if record.format != RECORD_FORMAT:
        return Refused(
            "record-format-unknown",
            f"unsupported record format {record.format}, expected {RECORD_FORMAT}",
        )
    if not math.isfinite(record.written_at):
        return Refused("record-malformed", "written_at is not a finite number")
    return None


def _apply_publish(state: ConfigState, version: int, record: PublishDocument) -> FoldResult:
    if record.base != state.document_offset:
        reason = f"the current document is {state.document_offset}, not {record.base}"
        return FoldResult(state, Refused("base-not-current", reason))

    document = sort_document(record.document)
    mistakes = check_document(document, written_at=record.written_at, previous=state.document)
    if mistakes:
        lines = (f"{mistake.place}: {mistake.message}" for mistake in mistakes)
        return FoldResult(state, Refused("document-invalid", "; ".join(lines)))

    rollouts = plan_rollouts(state, document, version=version, written_at=record.written_at)
    without_due_time = [
        row for row in rollouts if row.document_offset == version and row.due_at == 0
    ]
    if without_due_time:
        changes = ", ".join(
            f"{row.service} from {row.old} to {row.new}" for row in without_due_time
        )
        reason = f"no due time is set for these version changes: {changes}"
        return FoldResult(state, Refused("time-due-missing", reason))
    changed = state._replace(document_offset=version, document=document, rollouts=rollouts)
    return _accept(changed, version, record)


def _apply_rollback(state: ConfigState, version: int, record: RollBackRollout) -> FoldResult:
    withdrawal = Withdrawal(record.service, record.version, record.document_offset, record.reason)
    if any(known[:3] == withdrawal[:3] for known in state.withdrawn):
        return FoldResult(
            state, Refused("already-withdrawn", f"{record.version} is already withdrawn")
        )

    rollout = _find_rollout(state, record.service)
    if rollout is None or (rollout.new, rollout.document_offset) != withdrawal[1:3]:
        reason = f"{record.service} has no rollout to {record.version} under this document"
        return FoldResult(state, Refused("rollout-missing", reason))
    if rollout.phase is RolloutPhase.DONE:
        return FoldResult(
            state, Refused("rollout-done", f"{record.version} already receives all calls")
        )

    rolled_back = rollout._replace(
        share=0.0,
        phase=RolloutPhase.ROLLED_BACK,
        reason=record.reason,
        stepped_at=record.written_at,
    )
    withdrawn = tuple(sorted((*state.withdrawn, withdrawal)))
    return _accept_rollout(state._replace(withdrawn=withdrawn), version, record, rolled_back)


def _apply_rollout_change(
    state: ConfigState,
    version: int,
    record: StepRollout | FinishRollout | PauseRollout | ResumeRollout,
) -> FoldResult:
    rollout = _find_rollout(state, record.service)
    if rollout is None:
        return FoldResult(state, Refused("rollout-missing", f"{record.service} has no rollout"))
    if record.base != rollout.offset:
        reason = f"the last record of the rollout is {rollout.offset}, not {record.base}"
        return FoldResult(state, Refused("base-not-current", reason))
    if rollout.phase in (RolloutPhase.DONE, RolloutPhase.ROLLED_BACK):
        return FoldResult(state, Refused("rollout-ended", f"the rollout is {rollout.phase}"))

    outcome = _change_rollout(rollout, record)
    if isinstance(outcome, Refused):
        return FoldResult(state, outcome)
    return _accept_rollout(state, version, record, outcome)


def _change_rollout(
    rollout: Rollout, record: StepRollout | FinishRollout | PauseRollout | ResumeRollout
) -> Rollout | Refused:
    match record:
        case PauseRollout():
            if rollout.paused:
                return Refused("rollout-paused", "the rollout is already paused")
            return rollout._replace(paused=True)
        case ResumeRollout():
            if not rollout.paused:
                return Refused("rollout-not-paused", "the rollout is not paused")
            return rollout._replace(paused=False)
        case StepRollout():
            return _step_rollout(rollout, record)
        case FinishRollout():
            return _finish_rollout(rollout, record)


def _step_rollout(rollout: Rollout, record: StepRollout) -> Rollout | Refused:
    if record.version != rollout.new:
        return Refused(
            "version-not-wanted", f"the rollout is to {rollout.new}, not to {record.version}"
        )
    if rollout.paused:
        return Refused("rollout-paused", "the rollout is paused; resume it first")
    if not rollout.share < record.share <= 1.0:
        return Refused("share-not-raised", f"the share must be above {rollout.share} and at most 1")
    phase = RolloutPhase.WATCHING if record.share >= 1.0 else RolloutPhase.SHIFTING
    return rollout._replace(share=record.share, phase=phase, stepped_at=record.written_at)


def _finish_rollout(rollout: Rollout, record: FinishRollout) -> Rollout | Refused:
    if record.version != rollout.new:
        return Refused(
            "version-not-wanted", f"the rollout is to {rollout.new}, not to {record.version}"
        )
    if rollout.paused:
        return Refused("rollout-paused", "the rollout is paused; resume it first")
    if rollout.phase is not RolloutPhase.WATCHING:
        return Refused("rollout-not-watching", f"the share is only {rollout.share}")
    return rollout._replace(phase=RolloutPhase.DONE)


def _apply_rules_version(state: ConfigState, version: int, record: SetRulesVersion) -> FoldResult:
    if record.rules <= state.rules:
        return FoldResult(
            state, Refused("rules-not-newer", f"rules version {state.rules} is already in use")
        )
    return _accept(state._replace(rules=record.rules), version, record)


def _apply_checkpoint(state: ConfigState, version: int, record: Checkpoint) -> FoldResult:
    # only the checkpoint of a recovery is ahead of the records before it
    if record.state.offset <= state.offset:
        return FoldResult(state, Accepted(version))

    withdrawals = {
        withdrawal[:3]: withdrawal for withdrawal in (*state.withdrawn, *record.state.withdrawn)
    }
    generation = max(state.generation, record.state.generation)
    if get_log_offset(version) <= get_log_offset(record.state.offset):
        # the log restarted at a lower offset; a new generation keeps versions increasing
        generation = max(generation, get_generation(record.state.offset) + 1)
    merged = record.state._replace(
        withdrawn=tuple(sorted(withdrawals.values())),
        rollouts=tuple(
            _apply_withdrawals(rollout, withdrawals) for rollout in record.state.rollouts
        ),
        generation=generation,
    )
    return FoldResult(merged, Accepted(version))


def _apply_withdrawals(
    rollout: Rollout, withdrawals: dict[tuple[str, str, int], Withdrawal]
) -> Rollout:
    withdrawal = withdrawals.get((rollout.service, rollout.new, rollout.document_offset))
    if withdrawal is None or rollout.phase in (RolloutPhase.DONE, RolloutPhase.ROLLED_BACK):
        return rollout
    return rollout._replace(share=0.0, phase=RolloutPhase.ROLLED_BACK, reason=withdrawal.reason)


def _find_rollout(state: ConfigState, service: str) -> Rollout | None:
    for rollout in state.rollouts:
        if rollout.service == service:
            return rollout
    return None


def _accept_rollout(
    state: ConfigState, version: int, record: Record, changed: Rollout
) -> FoldResult:
    changed = changed._replace(offset=version)
    others = (rollout for rollout in state.rollouts if rollout.service != changed.service)
    rollouts = tuple(sorted((changed, *others), key=attrgetter("service")))
    return _accept(state._replace(rollouts=rollouts), version, record)


def _accept(state: ConfigState, version: int, record: Record) -> FoldResult:
    changed = state._replace(offset=version, record_id=record.id)
    return FoldResult(changed, Accepted(version))
