"""Messages that nodes exchange over links, and their encoding."""

from __future__ import annotations

from typing import Final

from balsamhead.util import codec
from balsamhead.wire._distribution import (
    Announce,
    Delta,
    InForceCount,
    InForceReport,
    Pull,
    Resource,
    WithdrawnNotice,
)
from balsamhead.wire._membership import (
    Heartbeat,
    MemberDigest,
    MemberPull,
    MemberUpdate,
    Probe,
    ProbeResult,
)
from balsamhead.wire._report import DecisionNote, ReportPull, ReportReply, UsageReport
from balsamhead.wire._rollout import CallCount, CrashCleared, CrashNotice, EvidenceReport

__all__ = (
    "FORMAT",
    "MAX_MESSAGE_BYTES",
    "Announce",
    "CallCount",
    "CrashCleared",
    "CrashNotice",
    "DecisionNote",
    "Delta",
    "EvidenceReport",
    "Heartbeat",
    "InForceCount",
    "InForceReport",
    "MemberDigest",
    "MemberPull",
    "MemberUpdate",
    "Message",
    "Probe",
    "ProbeResult",
    "Pull",
    "ReportPull",
    "ReportReply",
    "Resource",
    "UsageReport",
    "WithdrawnNotice",
    "decode_message",
    "encode_message",
)

#: version of the message format, which the handshake of a link negotiates
FORMAT: Final = 1

#: maximum size of an encoded message, in bytes
MAX_MESSAGE_BYTES: Final = 1 << 20

Message = (
    Heartbeat
    | MemberUpdate
    | MemberDigest
    | MemberPull
    | Probe
    | ProbeResult
    | Announce
    | Pull
    | Delta
    | WithdrawnNotice
    | InForceReport
    | EvidenceReport
    | UsageReport
    | ReportPull
    | ReportReply
    | CrashNotice
    | CrashCleared
)


def encode_message(message: Message) -> bytes:
    """Encode a message to be sent over a link."""
    return codec.encode(message)


def decode_message(data: bytes, *, peer: str) -> Message:
    """Decode a message that was received from a peer.

    :raises MalformedMessageError: the data is not a valid message of a known type.
    """
    return codec.decode(data, Message, step="decode-message", peer=peer)  # type: ignore[arg-type]
