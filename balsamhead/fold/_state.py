"""Define the configuration state that results from the records of an environment."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from balsamhead.document import Document

__all__ = (
    "ConfigState",
    "Rollout",
    "RolloutPhase",
    "Withdrawal",
    "empty_state",
    "get_generation",
    "get_log_offset",
    "make_version",
)

#: width of the log offset within a version, in bits
LOG_OFFSET_BITS = 32


class RolloutPhase(StrEnum):
    """Phase of a rollout."""

    #: the new version's share of calls is raised in steps
    SHIFTING = "shifting"
    #: the new version gets all calls; the old one is kept for a rollback
    WATCHING = "watching"
    DONE = "done"
    ROLLED_BACK = "taken-back"


class Rollout(NamedTuple):
    """Accepted state of a service's rollout to a new version."""

    service: str
    #: version of the last record accepted for this rollout, the base of the next one
    offset: int
    #: version of the record whose document started this rollout
    document_offset: int
    #: service version that gets the remaining calls; empty when there is none
    old: str
    #: service version that the rollout leads to
    new: str
    #: share of calls that ``new`` gets, 0 to 1
    share: float
    phase: RolloutPhase
    paused: bool
    #: when ``new`` must get all calls, in s since the epoch
    due_at: float
    #: when the record that started the rollout was written, in s since the epoch
    started_at: float
    #: why the rollout was rolled back; empty otherwise
    reason: str
    #: when the record that set ``share`` was written, in s since the epoch
    stepped_at: float = 0.0


class Withdrawal(NamedTuple):
    """Service version that was rolled back and gets no calls under its document."""

    service: str
    version: str
    #: version of the record whose document started the rollout to ``version``
    document_offset: int
    reason: str


class ConfigState(NamedTuple):
    """Configuration state of an environment after an accepted record."""

    #: version of the last accepted record, see ``make_version``; -1 before the first record
    offset: int
    #: version of the fold rules that apply to the next record
    rules: int
    #: version of the record that published the document; -1 before the first one
    document_offset: int
    document: Document | None
    #: sorted by service
    rollouts: tuple[Rollout, ...]
    #: sorted by service, version and document offset
    withdrawn: tuple[Withdrawal, ...]
    #: log generation; raised each time the log is emptied and its offsets restart
    generation: int = 0
    #: id of the last accepted record
    record_id: str = ""


def make_version(generation: int, log_offset: int) -> int:
    """Return the version of the record at an offset in a generation of the log.

    Versions keep increasing when the log is emptied and its offsets restart.
    """
    return (generation << LOG_OFFSET_BITS) | log_offset


def get_generation(version: int) -> int:
    """Return the log generation of the record with a version."""
    return max(version, 0) >> LOG_OFFSET_BITS


def get_log_offset(version: int) -> int:
    """Return the log offset of the record with a version; -1 for the empty state."""
    return version if version < 0 else version & ((1 << LOG_OFFSET_BITS) - 1)


def empty_state() -> ConfigState:
    """Return the state before the first record."""
    return ConfigState(
        offset=-1, rules=1, document_offset=-1, document=None, rollouts=(), withdrawn=()
    )
