"""Create the log records of operators' actions on rollouts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamhead.errors import OperatorError
from balsamhead.fold import (
    PauseRollout,
    Record,
    ResumeRollout,
    RollBackRollout,
    RolloutPhase,
    StepRollout,
)
from balsamhead.rollout._plan import plan_shares

if TYPE_CHECKING:
    from balsamhead.document import RolloutPolicy
    from balsamhead.fold import Rollout

__all__ = ("make_operator_record",)


def make_operator_record(
    action: str,
    rollout: Rollout,
    policy: RolloutPolicy,
    *,
    record_id: str,
    operator: str,
    now: float,
) -> Record:
    """Return the record that applies an action to the current state of a rollout.

    :param action: "pause", "resume", "speed-up" or "take-back".
    :raises OperatorError: the action is unknown or not possible in this state.
    """
    if rollout.phase not in (RolloutPhase.SHIFTING, RolloutPhase.WATCHING):
        raise _refuse(f"the rollout of {rollout.service} is {rollout.phase}", "rollout-ended")
    service = rollout.service
    base = rollout.offset
    match action:
        case "pause":
            return PauseRollout(
                id=record_id, base=base, written_at=now, writer=operator, service=service
            )
        case "resume":
            return ResumeRollout(
                id=record_id, base=base, written_at=now, writer=operator, service=service
            )
        case "speed-up":
            if rollout.share >= 1.0:
                raise _refuse(f"{service} carries all calls already", "share-not-raised")
            return StepRollout(
                id=record_id,
                base=base,
                written_at=now,
                writer=operator,
                service=service,
                version=rollout.new,
                share=plan_shares(policy, rollout.share)[0],
            )
        case "take-back":
            return RollBackRollout(
                id=record_id,
                base=base,
                written_at=now,
                writer=operator,
                service=service,
                version=rollout.new,
                document_offset=rollout.document_offset,
                reason=f"taken back by {operator}",
            )
    message = f"unknown action {action}; use pause, resume, speed-up or take-back"
    raise _refuse(message, "action-unknown")


def _refuse(message: str, code: str) -> OperatorError:
    return OperatorError(message, step="change-rollout", code=code)
