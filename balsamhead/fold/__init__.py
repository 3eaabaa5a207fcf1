"""Compute the accepted configuration from the records of an environment's stream."""

from __future__ import annotations

from balsamhead.fold._fold import (
    MAX_RULES_VERSION,
    Accepted,
    FoldResult,
    Refused,
    Verdict,
    fold,
    fold_entry,
)
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
    encode_record,
)
from balsamhead.fold._state import (
    ConfigState,
    Rollout,
    RolloutPhase,
    Withdrawal,
    empty_state,
    get_generation,
    get_log_offset,
    make_version,
)

__all__ = (
    "MAX_RULES_VERSION",
    "RECORD_FORMAT",
    "Accepted",
    "Checkpoint",
    "ConfigState",
    "FinishRollout",
    "FoldResult",
    "PauseRollout",
    "PublishDocument",
    "Record",
    "Refused",
    "ResumeRollout",
    "RollBackRollout",
    "Rollout",
    "RolloutPhase",
    "SetRulesVersion",
    "StepRollout",
    "Verdict",
    "Withdrawal",
    "decode_record",
    "empty_state",
    "encode_record",
    "fold",
    "fold_entry",
    "get_generation",
    "get_log_offset",
    "make_version",
)
