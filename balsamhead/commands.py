"""The commands that a node's decision logic returns, to be executed by the node."""

from __future__ import annotations

import msgspec

from balsamhead.operator_responses import OperatorResponse
from balsamhead.wire import Message

__all__ = ("Append", "CloseLink", "Command", "Connect", "ReadLog", "Reply", "Send", "WriteLogLine")


class Connect(msgspec.Struct, frozen=True):
    """Open a link to a peer port; results in LinkOpened or ConnectFailed."""

    address: str


class CloseLink(msgspec.Struct, frozen=True):
    """Close the link to a peer."""

    peer: str
    reason: str


class Send(msgspec.Struct, frozen=True):
    """Send a message to a peer; it is dropped if there is no link to the peer."""

    peer: str
    message: Message


class ReadLog(msgspec.Struct, frozen=True):
    """Read a stream from an offset; results in LogRead or LogReadFailed.

    :ivar wait_s: long-poll time: how long the log may wait for a first record, in s.
    """

    stream: str
    start: int
    wait_s: float


class Append(msgspec.Struct, frozen=True):
    """Append a record to a stream; results in AppendFinished or AppendFailed."""

    stream: str
    record_id: str
    data: bytes


class Reply(msgspec.Struct, frozen=True):
    """Respond to an operator's request."""

    request_id: str
    response: OperatorResponse


class WriteLogLine(msgspec.Struct, frozen=True):
    """Write a line to the node's own log.

    :ivar level: "info", "warning" or "error".
    :ivar message: constant text, without variable parts.
    :ivar fields: variable data, as structured fields of the line.
    """

    level: str
    message: str
    fields: dict[str, str | int | float]


Command = Connect | CloseLink | Send | ReadLog | Append | Reply | WriteLogLine
