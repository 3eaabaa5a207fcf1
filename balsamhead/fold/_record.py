"""Define the records of an environment's stream in the log."""

from __future__ import annotations

import msgspec

from balsamhead.document import Document, prepare_document
from balsamhead.fold._state import ConfigState
from balsamhead.util import codec

__all__ = (
    "RECORD_FORMAT",
    "Checkpoint",
    "FinishRollout",
    "PauseRollout",
    "PublishDocument",
    "Record",
    "ResumeRollout",
    "RollBackRollout",
    "SetRulesVersion",
    "StepRollout",
    "decode_record",
    "encode_record",
)

#: version of the record format that this release reads and writes
RECORD_FORMAT = 1


class _Record(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of all records.

    :ivar id: unique id, by which the writer finds its record in the stream.
    :ivar base: version of the last accepted change that the writer knew of the same document
        or rollout; publish, step, finish, pause and resume records are refused if another
        change was accepted since.
    :ivar written_at: when the record was written by the writer's clock, in s since the epoch.
    :ivar writer: name of the node or operator that wrote the record.
    :ivar format: version of the record format.
    """

    id: str
    base: int
    written_at: float
    writer: str
    format: int = RECORD_FORMAT


class PublishDocument(_Record, frozen=True, kw_only=True, tag="publish"):
    """Replace the document; ``base`` is the version of the current one."""

    document: Document


class StepRollout(_Record, frozen=True, kw_only=True, tag="step"):
    """Raise the new version's share of calls; a share of 1.0 starts the watch period."""

    service: str
    version: str
    share: float


class FinishRollout(_Record, frozen=True, kw_only=True, tag="finish"):
    """Complete a rollout whose watch period is over."""

    service: str
    version: str


class RollBackRollout(_Record, frozen=True, kw_only=True, tag="take-back"):
    """Roll back a rollout and withdraw its new version permanently.

    Only a later document can start another rollout to that version. ``base`` is not checked:
    withdrawals are only ever added, so no two of them conflict.
    """

    service: str
    version: str
    document_offset: int
    reason: str


class PauseRollout(_Record, frozen=True, kw_only=True, tag="pause"):
    """Keep a rollout at its current share."""

    service: str


class ResumeRollout(_Record, frozen=True, kw_only=True, tag="resume"):
    """Continue a paused rollout."""

    service: str


class SetRulesVersion(_Record, frozen=True, kw_only=True, tag="use-rules"):
    """Apply newer fold rules to the records after this one."""

    rules: int


class Checkpoint(_Record, frozen=True, kw_only=True, tag="checkpoint"):
    """Store the complete state, so that the log may drop older records.

    ``base`` is the log offset of the last record in ``state``: a reader that starts from the
    checkpoint continues with the record after ``base``. A ``base`` of -1 marks a recovery: the
    writer had a state that can't be computed from the records in the log any more.
    """

    state: ConfigState


Record = (
    PublishDocument
    | StepRollout
    | FinishRollout
    | RollBackRollout
    | PauseRollout
    | ResumeRollout
    | SetRulesVersion
    | Checkpoint
)


def encode_record(record: Record) -> bytes:
    """Encode a record for the log."""
    match record:
        case PublishDocument(document=document):
            document = prepare_document(document)
            record = msgspec.structs.replace(record, document=document)
        case Checkpoint(state=state) if state.document is not None:
            document = prepare_document(state.document)
            record = msgspec.structs.replace(record, state=state._replace(document=document))
        case _:
            pass
    return codec.encode(record)


def decode_record(data: bytes, *, offset: int) -> Record:
    """Decode the record at an offset of the log.

    :raises MalformedMessageError: the data can't be decoded as a record.
    """
    step = f"decode-record-{offset}"
    return codec.decode(data, Record, step=step, peer="log")  # type: ignore[arg-type]
