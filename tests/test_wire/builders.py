"""Build sample values of message types from the types of their fields."""

from __future__ import annotations

import types
import typing
from enum import Enum
from typing import Any

import msgspec

#: fields that were added after the first release; a message in which they hold their defaults has
#: the bytes of that release
_ADDED_FIELDS = {
    "Call": {"account", "nested"},
    "Route": {"allowed_regions", "public", "served", "large_requests", "regions"},
    "StateDelta": {"evacuated", "accounts", "cold_starts", "config_outdated"},
}

_UNION = (typing.Union, types.UnionType)


def list_fields(kind: type[Any]) -> tuple[str, ...]:
    """Return the field names of a message type, in the order in which they are encoded."""
    if issubclass(kind, msgspec.Struct):
        return kind.__struct_fields__
    return tuple(kind._fields)


def build_sample(kind: Any, number: int = 1) -> Any:
    """Return a sample value of a type.

    :param number: number from which the value is derived, so that the fields of a message differ.
    """
    origin, args = typing.get_origin(kind), typing.get_args(kind)
    if origin is typing.Annotated:
        return build_sample(args[0], number)
    if origin in _UNION:
        return build_sample(next(arg for arg in args if arg is not type(None)), number)
    if origin is tuple:
        if args[-1] is Ellipsis:
            return (build_sample(args[0], number), build_sample(args[0], number + 1))
        return tuple(build_sample(arg, number + at) for at, arg in enumerate(args))
    if origin is list:
        return [build_sample(args[0], number), build_sample(args[0], number + 1)]
    if origin is dict:
        return {build_sample(args[0], number): build_sample(args[1], number)}
    return _build_plain(kind, number)


def _build_plain(kind: Any, number: int) -> Any:
    if kind is bool:
        return True
    if kind is int:
        return number
    if kind is float:
        return number + 0.25
    if kind is bytes:
        return b"bytes-%d" % number
    if kind in (str, object):
        return f"text-{number}"
    if issubclass(kind, Enum):
        members = list(kind)
        return members[number % len(members)]
    hints = typing.get_type_hints(kind, include_extras=True)
    added = _ADDED_FIELDS.get(kind.__name__, set())
    names = [name for name in list_fields(kind) if name not in added]
    return kind(**{name: build_sample(hints[name], number + at) for at, name in enumerate(names)})
