"""Encode typed values as CBOR, and decode and validate them."""

from __future__ import annotations

from typing import Any, TypeVar

import cbor2
import msgspec
import xxhash

from balsamhead.errors import MalformedMessageError

__all__ = ("compute_digest", "decode", "drop_trailing_defaults", "encode")

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


def drop_trailing_defaults(row: Any, *, keep: int) -> list[Any]:
    """Return the fields of a named tuple without the last ones that hold their default.

    What is left out takes no bytes, and is unknown to nodes of earlier releases.

    :param keep: number of fields that are kept in any case.
    """
    fields, defaults = list(row), row._field_defaults
    while len(fields) > keep and fields[-1] == defaults.get(row._fields[len(fields) - 1], ...):
        fields.pop()
    return fields


def compute_digest(data: bytes) -> bytes:
    """Return the 16-byte XXH3 digest by which peers compare contents; not cryptographic."""
    return bytes(xxhash.xxh3_128_digest(data))
