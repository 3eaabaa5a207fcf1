"""Messages that collect the call counts of all nodes for the report, and that request it."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from balsamhead.wire._rollout import CallCount

__all__ = ("DecisionNote", "ReportPull", "ReportReply", "UsageReport")


class DecisionNote(NamedTuple):
    """Describe a decision about a rollout to the node that keeps the report."""

    #: time of the decision, in s since the epoch
    at: float
    service: str
    version: str
    share: float
    decision: str
    figures: str


class UsageReport(msgspec.Struct, frozen=True, tag="usage", array_like=True):
    """Send the call counts of a node or a data centre since its last report, for all services.

    :ivar source: name of the node, or "data-centre/node" of an aggregator.
    :ivar sequence: number of this report of its source, so that duplicates are not counted.
    """

    source: str
    sequence: int
    counts: tuple[CallCount, ...]
    decisions: tuple[DecisionNote, ...]


class ReportPull(msgspec.Struct, frozen=True, tag="report-pull", array_like=True):
    """Request the rendered report from the node that keeps it."""

    request_id: str
    format: str
    service: str
    include_cleared: bool


class ReportReply(msgspec.Struct, frozen=True, tag="report-reply", array_like=True):
    """Respond to a pull with the rendered report."""

    request_id: str
    body: bytes
