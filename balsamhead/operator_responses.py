"""The responses to operators' requests, which the operator port sends as JSON."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

__all__ = (
    "OperatorResponse",
    "PublishResponse",
    "ReportResponse",
    "RolloutStatus",
    "StatusResponse",
    "VersionCount",
)


class PublishResponse(msgspec.Struct, frozen=True, tag="publish"):
    """Outcome of an operator's request to write a record.

    :ivar outcome: "accepted", "refused" or "unknown".
    :ivar code: stable error code; empty if the record was accepted.
    :ivar offset: offset of the accepted record, or of the document in force if the record was
        refused; -1 if it is unknown.
    :ivar digest: hexadecimal digest of the document.
    :ivar difference: changes that the document made, or that it would make to the document in
        force.
    """

    outcome: str
    code: str
    reason: str
    offset: int
    digest: str
    difference: tuple[str, ...] = ()


class VersionCount(NamedTuple):
    """Number of nodes on which a configuration version is in force."""

    offset: int
    nodes: int


class RolloutStatus(msgspec.Struct, frozen=True):
    """Status of a rollout.

    :ivar due_at: time by which all traffic must be on ``new``, in s since the epoch; 0 for no due
        time.
    :ivar next_step: description of the next step.
    """

    service: str
    old: str
    new: str
    share: float
    phase: str
    paused: bool
    due_at: float
    reason: str
    next_step: str


class StatusResponse(msgspec.Struct, frozen=True, tag="status"):
    """Status of the environment as one node sees it.

    :ivar in_force: number of nodes per configuration version in force.
    :ivar live_nodes: number of nodes believed to be alive.
    :ivar log_lag_s: time since the last response of the log to this node, in s; -1 if the node
        does not read the log.
    """

    node: str
    environment: str
    offset: int
    document_offset: int
    digest: str
    in_force: tuple[VersionCount, ...]
    live_nodes: int
    rollouts: tuple[RolloutStatus, ...]
    log_lag_s: float


class ReportResponse(msgspec.Struct, frozen=True, tag="report"):
    """A rendered report.

    :ivar format: "text", "json" or "html".
    """

    format: str
    body: bytes


OperatorResponse = PublishResponse | ReportResponse | StatusResponse
