"""Encode typed values as CBOR, and decode and validate them."""

from __future__ import annotations

from typing import Any, TypeVar

import cbor2
import msgspec
import xxhash

from balsamhead.errors import MalformedMessageError

__all__ = ("compute_digest", "decode", "encode")

T = TypeVar("T")


def encode(value: Any) -> bytes:
    """Encode a struct, named tuple or built-in value as canonical CBOR."""
    plain = msgspec.to_builtins(value, builtin_types=(bytes,))
    return cbor2.dumps(plain, canonical=True)


def decode(data: bytes, kind: type[T], *, step: str, peer: str = "") -> T:
    """Decode CBOR to a value of the type ``kind``.

    :param step: step that a raised error names.
    :param peer: peer that a raised error names.
    :raises MalformedMessageError: the data is not CBOR or does not match the type.
    """
    try:
        plain = cbor2.loads(data)
        return msgspec.convert(plain, kind, builtin_types=(bytes,))
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, RecursionError) as exc:
        raise MalformedMessageError(
            f"message can't be decoded: {exc}", step=step, peer=peer
        ) from exc


def compute_digest(data: bytes) -> bytes:
    """Return the 16-byte XXH3 digest by which peers compare contents; not cryptographic."""
    return bytes(xxhash.xxh3_128_digest(data))
