"""Frame the messages of a link: a length, a kind, a stream, a head in CBOR and raw bytes."""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import Any, Final, NamedTuple, TypeVar

import cbor2
import msgspec

from balsamhead.errors import MalformedMessageError

__all__ = ("MAX_FRAME_BYTES", "Frame", "FrameKind", "decode_head", "encode_frame", "take_frames")

#: bound on one frame, in bytes
MAX_FRAME_BYTES: Final = 8 << 20
_HEAD: Final = struct.Struct(">IBII")

T = TypeVar("T")


class FrameKind(IntEnum):
    """Number the kinds of frames."""

    HELLO = 1
    BEAT = 2
    BEAT_ANSWER = 3
    UPSTREAM = 4
    LOAD = 5
    CALL = 10
    CALL_BODY = 11
    CANCEL = 12
    ANSWER = 13
    ANSWER_BODY = 14
    ANSWER_END = 15
    ANSWER_CUT = 16
    REFUSED = 17
    REJECTED = 18
    LOST = 19
    CREDIT = 20
    CONFIG = 30
    CONFIG_PULL = 31
    ROLLOUT = 32
    EVIDENCE = 33


class Frame(NamedTuple):
    """Hold one received frame."""

    kind: int
    stream: int
    head: bytes
    body: bytes


def encode_frame(kind: FrameKind, stream: int = 0, head: Any = None, body: bytes = b"") -> bytes:
    """Encode a frame; ``head`` is made of named tuples and builtin values."""
    plain = b"" if head is None else cbor2.dumps(_to_plain(head))
    return _HEAD.pack(len(plain) + len(body), kind, stream, len(plain)) + plain + body


def decode_head(frame: Frame, kind: type[T], *, peer: str) -> T:
    """Decode the head of a frame as a named tuple.

    :raises MalformedMessageError: it has another shape.
    """
    try:
        return msgspec.convert(cbor2.loads(frame.head), kind, builtin_types=(bytes,))
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, RecursionError) as exc:
        raise MalformedMessageError(
            f"frame {frame.kind} can't be decoded: {exc}", step="decode-frame", peer=peer
        ) from exc


def take_frames(buffer: bytearray) -> list[Frame]:
    """Move the whole frames from the front of a buffer.

    :raises MalformedMessageError: a frame breaks the bound.
    """
    frames = []
    at = 0
    while len(buffer) - at >= _HEAD.size:
        size, kind, stream, head_size = _HEAD.unpack_from(buffer, at)
        if size > MAX_FRAME_BYTES or head_size > size:
            raise MalformedMessageError("a frame is too large", step="take-frames")
        end = at + _HEAD.size + size
        if end > len(buffer):
            break
        middle = at + _HEAD.size + head_size
        frames.append(
            Frame(kind, stream, bytes(buffer[at + _HEAD.size : middle]), bytes(buffer[middle:end]))
        )
        at = end
    if at:
        del buffer[:at]
    return frames


def _to_plain(head: Any) -> Any:
    return msgspec.to_builtins(head, builtin_types=(bytes,))
