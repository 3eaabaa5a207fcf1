"""The events that a node's decision logic takes as its input."""

from __future__ import annotations

import msgspec

from balsamhead.document import Document
from balsamhead.log import Batch
from balsamhead.membership import Place, UpstreamState
from balsamhead.wire import CallCount, Message

__all__ = (
    "AppendFailed",
    "AppendFinished",
    "CallsCounted",
    "ConnectFailed",
    "CrashObserved",
    "Event",
    "LinkClosed",
    "LinkOpened",
    "LogRead",
    "LogReadFailed",
    "MessageReceived",
    "PromoteRequested",
    "PublishRequested",
    "ReportRequested",
    "RolloutRequested",
    "StatusRequested",
    "StopFinished",
    "StopRequested",
    "SuspectRequestAnswered",
    "UpstreamAnnounced",
    "UpstreamLost",
)


class LinkOpened(msgspec.Struct, frozen=True):
    """A link to a peer completed its handshake.

    :ivar peer: node name of the peer.
    :ivar inbound: whether the peer opened the link.
    """

    peer: str
    address: str
    place: Place
    inbound: bool


class LinkClosed(msgspec.Struct, frozen=True):
    """A link to a peer was closed or lost."""

    peer: str
    reason: str


class ConnectFailed(msgspec.Struct, frozen=True):
    """A connection that a Connect command requested could not be opened."""

    address: str
    reason: str


class MessageReceived(msgspec.Struct, frozen=True):
    """A message was received from a peer."""

    peer: str
    message: Message


class LogRead(msgspec.Struct, frozen=True):
    """A read of the log succeeded."""

    stream: str
    start: int
    batch: Batch


class LogReadFailed(msgspec.Struct, frozen=True):
    """A read of the log failed."""

    stream: str
    code: str


class AppendFinished(msgspec.Struct, frozen=True):
    """A record was appended to the log."""

    record_id: str
    offset: int


class AppendFailed(msgspec.Struct, frozen=True):
    """An append failed, or its response was lost.

    :ivar may_be_written: whether the log may have written the record all the same.
    """

    record_id: str
    may_be_written: bool
    code: str


class UpstreamAnnounced(msgspec.Struct, frozen=True):
    """The upstream on the same VM as this node announced itself."""

    service: str
    version: str
    host: str
    port: int
    slots: int
    connections: int
    state: UpstreamState
    #: process id of the upstream, which changes when it restarts
    process: int


class UpstreamLost(msgspec.Struct, frozen=True):
    """The upstream on the same VM as this node exited or refuses connections."""

    reason: str


class CallsCounted(msgspec.Struct, frozen=True):
    """The proxy reported the calls that it counted since the last such event."""

    counts: tuple[CallCount, ...]


class CrashObserved(msgspec.Struct, frozen=True):
    """A connection to an upstream was reset while it ran a request.

    :ivar fingerprint: fingerprint of the request.
    """

    fingerprint: bytes
    node: str
    incarnation: int


class SuspectRequestAnswered(msgspec.Struct, frozen=True):
    """A request with the fingerprint of a suspected crash received a response."""

    fingerprint: bytes


class PublishRequested(msgspec.Struct, frozen=True):
    """An operator requested that a document be published.

    :ivar base: offset of the document that is to be replaced; None for the current one.
    """

    request_id: str
    document: Document
    base: int | None
    operator: str


class PromoteRequested(msgspec.Struct, frozen=True):
    """An operator requested that the document of the trial environment be copied to this one.

    :ivar digest: hexadecimal digest of the document to copy; empty for the current one.
    """

    request_id: str
    digest: str
    operator: str


class RolloutRequested(msgspec.Struct, frozen=True):
    """An operator requested to pause, resume, speed up or roll back a rollout.

    :ivar action: "pause", "resume", "speed-up" or "take-back".
    """

    request_id: str
    service: str
    action: str
    operator: str


class ReportRequested(msgspec.Struct, frozen=True):
    """An operator requested the report on the burn rates of service-level objectives.

    :ivar format: "text", "json" or "html".
    :ivar service: the service to report, with its rollout; empty for all services.
    :ivar include_cleared: whether to include objectives whose burn rate has fallen below its limit
        again.
    """

    request_id: str
    format: str = "text"
    service: str = ""
    include_cleared: bool = False


class StatusRequested(msgspec.Struct, frozen=True):
    """An operator requested the status."""

    request_id: str


class StopRequested(msgspec.Struct, frozen=True):
    """The node was told to stop: it accepts no new work and completes the calls in flight."""


class StopFinished(msgspec.Struct, frozen=True):
    """After a stop request, all calls have ended or were aborted; the process is about to exit."""


Event = (
    LinkOpened
    | LinkClosed
    | ConnectFailed
    | MessageReceived
    | LogRead
    | LogReadFailed
    | AppendFinished
    | AppendFailed
    | UpstreamAnnounced
    | UpstreamLost
    | CallsCounted
    | CrashObserved
    | SuspectRequestAnswered
    | PublishRequested
    | PromoteRequested
    | RolloutRequested
    | ReportRequested
    | StatusRequested
    | StopRequested
    | StopFinished
)
