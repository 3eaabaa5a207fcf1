"""Frame format of a link: a fixed prefix (sizes, kind, stream), a CBOR header and a raw body."""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import Any, Final, NamedTuple, TypeVar

import cbor2
import msgspec

from balsamhead.errors import MalformedMessageError
from balsamhead.util import codec

__all__ = (
    "MAX_FRAME_BYTES",
    "Frame",
    "FrameKind",
    "decode_header",
    "encode_frame",
    "extract_frames",
)

#: largest header and body of one frame together, in bytes
MAX_FRAME_BYTES: Final = 8 << 20
#: size of header and body, kind, stream id, size of the header
_PREFIX: Final = struct.Struct(">IBII")

T = TypeVar("T")


class FrameKind(IntEnum):
    """Kind of a frame; the number is part of the wire format."""

    # state of the node and its upstream
    HELLO = 1
    HEARTBEAT = 2
    HEARTBEAT_REPLY = 3
    UPSTREAM = 4
    LOAD = 5
    UPSTREAM_NOTICE = 6
    # last notice of the receiver's own upstream, for a receiver that has restarted
    UPSTREAM_RECALL = 7
    # requests that were running when upstreams crashed, and those that were completed since
    CRASHES = 8
    CRASHES_CLEARED = 9
    # calls and their outcomes; CREDIT enlarges the send window of a response
    CALL = 10
    CALL_BODY = 11
    CANCEL = 12
    RESPONSE = 13
    RESPONSE_BODY = 14
    RESPONSE_END = 15
    RESPONSE_TRUNCATED = 16
    REFUSED = 17
    REJECTED = 18
    LOST = 19
    CREDIT = 20
    # the operator's state and rollouts
    CONFIG = 30
    CONFIG_PULL = 31
    ROLLOUT = 32
    EVIDENCE = 33
    # whether the sender is near the store; nodes that don't know the kind reject it and go on
    STORE_NEAR = 34
    # what the sender can do besides; nodes that don't know the kind reject it and go on
    FEATURES = 35
    # a call whose body is sent as the peer reads it; CALL_CREDIT asks for it, and for more
    CALL_STREAM = 36
    CALL_CREDIT = 37
    CALL_END = 38
    # versions that get no calls until they are ordered again
    WITHDRAWN = 39
    # when the receiver's operator state was last known to be the newest, and the response; sent
    # only where keys of client accounts are revoked in bounded time
    FRESHNESS_QUERY = 42
    FRESHNESS = 43
    # tokens of an account's quota, requested from its owner
    QUOTA_REQUEST = 44
    QUOTA_GRANT = 45
    # a route whose requests are nested calls; nodes that don't know the kind reject it and go on
    ADMISSION = 46


class Frame(NamedTuple):
    """A received frame with its header still encoded."""

    kind: int
    stream: int
    header: bytes
    body: bytes


def encode_frame(kind: FrameKind, stream: int = 0, header: Any = None, body: bytes = b"") -> bytes:
    """Encode a frame; ``header`` consists of named tuples and builtin values."""
    encoded = b"" if header is None else cbor2.dumps(_to_plain(header))
    return _PREFIX.pack(len(encoded) + len(body), kind, stream, len(encoded)) + encoded + body


def decode_header(frame: Frame, kind: type[T], *, peer: str) -> T:
    """Decode the header of a frame into the given type.

    :raises MalformedMessageError: the header is not CBOR or does not match the type.
    """
    return codec.decode(frame.header, kind, step="decode-frame", peer=peer)


def extract_frames(buffer: bytearray) -> list[Frame]:
    """Remove the complete frames from the front of a buffer and return them.

    :raises MalformedMessageError: a frame is larger than ``MAX_FRAME_BYTES``, or its header is
        larger than the frame.
    """
    frames = []
    start = 0
    while len(buffer) - start >= _PREFIX.size:
        size, kind, stream, header_size = _PREFIX.unpack_from(buffer, start)
        if size > MAX_FRAME_BYTES or header_size > size:
            raise MalformedMessageError(
                "frame exceeds the size limit, or its header exceeds the frame", step="take-frames"
            )
        end = start + _PREFIX.size + size
        if end > len(buffer):
            break
        body_start = start + _PREFIX.size + header_size
        frames.append(
            Frame(
                kind,
                stream,
                bytes(buffer[start + _PREFIX.size : body_start]),
                bytes(buffer[body_start:end]),
            )
        )
        start = end
    if start:
        del buffer[:start]
    return frames


def _to_plain(header: Any) -> Any:
    return msgspec.to_builtins(header, builtin_types=(bytes,))
