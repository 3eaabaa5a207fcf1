"""Declare the keys of a TOML table and validate values against the declarations."""

from __future__ import annotations

import difflib
import math
import re
from datetime import UTC, datetime
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection

__all__ = (
    "Fault",
    "Field",
    "Kind",
    "Value",
    "convert_value",
    "describe_allowed",
    "describe_kind_fault",
    "describe_unknown_key",
    "find_closest_key",
    "find_fault",
    "quote_text",
)

Value = str | int | float | bool | tuple[str, ...]

#: largest number of characters of a value that a message quotes
MAX_SHOWN_LENGTH = 60


class Kind(Enum):
    """Kind of a value; the text completes the phrase "must be"."""

    TEXT = "a string"
    INTEGER = "a whole number"
    NUMBER = "a number"
    FLAG = "true or false"
    TEXTS = "a list of strings"
    TIME = "a date-time with an offset, such as 2031-05-04T12:00:00Z"


class Field(NamedTuple):
    """Declaration of a key and of the constraints on its value."""

    key: str
    kind: Kind
    #: value if the key is absent; None if the key is required
    default: Value | None = None
    low: float = -math.inf
    high: float = math.inf
    unit: str = ""
    #: regular expression that a string, or each string of a list, must match in full; empty for
    #: none
    pattern: str = ""
    #: description of ``pattern`` that completes the phrase "must be"
    pattern_description: str = ""
    #: allowed strings; empty if any string is allowed
    allowed: tuple[str, ...] = ()
    #: smallest and largest number of strings in a list
    length_range: tuple[int, int] = (0, 64)
    #: description for the help text, one line
    help: str = ""

    @property
    def attribute(self) -> str:
        """Return the name of the attribute that holds the value of the key."""
        return self.key.replace("-", "_")


class Fault(NamedTuple):
    """Reason why a value is invalid, with the stable code of the error."""

    code: str
    message: str


def convert_value(field: Field, raw: object) -> Value | None:
    """Return a value converted to the kind of its field, or None if it is of another kind."""
    match field.kind:
        case Kind.TEXT:
            return raw if isinstance(raw, str) else None
        case Kind.FLAG:
            return raw if isinstance(raw, bool) else None
        case Kind.INTEGER:
            return raw if isinstance(raw, int) and not isinstance(raw, bool) else None
        case Kind.NUMBER:
            return _convert_number(raw)
        case Kind.TEXTS:
            if isinstance(raw, list) and all(isinstance(item, str) for item in raw):
                return tuple(raw)
            return None
        case Kind.TIME:
            return _convert_time(raw)


def find_fault(field: Field, value: Value) -> Fault | None:
    """Return the fault of a value that has the kind of its field, or None if it is valid."""
    if isinstance(value, str):
        return _find_text_fault(field, value)
    if isinstance(value, tuple):
        return _find_list_fault(field, value)
    if isinstance(value, bool) or field.low <= value <= field.high:
        return None
    return _make_value_fault("value-out-of-range", field, value)


def describe_kind_fault(field: Field, raw: object) -> Fault:
    """Return the fault of a value that is not of the kind of its field."""
    return Fault("type-wrong", f"must be {field.kind.value}, not {_format_value(raw)}")


def describe_allowed(field: Field) -> str:
    """Return a description of the allowed values that completes the phrase "must be"."""
    if field.allowed:
        choices = ", ".join(f'"{item}"' for item in field.allowed)
        description = f"of {choices}" if field.kind is Kind.TEXTS else f"one of {choices}"
    elif field.kind is Kind.TEXTS:
        description = f"a list of {field.length_range[0]} to {field.length_range[1]} strings"
        description += f", each {field.pattern_description}" if field.pattern_description else ""
    elif field.pattern_description:
        description = field.pattern_description
    else:
        description = field.kind.value
    return description + _describe_range(field)


def find_closest_key(key: str, known: Collection[str]) -> str:
    """Return the known key that is most similar to a key, or an empty string if none is."""
    matches = difflib.get_close_matches(key[:MAX_SHOWN_LENGTH], known, n=1, cutoff=0.5)
    return matches[0] if matches else ""


def describe_unknown_key(key: str, known: Collection[str]) -> Fault:
    """Return the fault of an unknown key, with the most similar key or the list of keys."""
    nearest = find_closest_key(key, known)
    hint = f'did you mean "{nearest}"?' if nearest else f"known keys: {', '.join(sorted(known))}"
    return Fault("key-unknown", f"unknown key; {hint}")


def quote_text(text: str) -> str:
    """Return the beginning of a text in quotes, escaped to printable ASCII.

    The escapes keep control sequences in untrusted text from reaching a terminal.
    """
    shown = ascii(text[:MAX_SHOWN_LENGTH])[1:-1]
    return f'"{shown}..."' if len(text) > MAX_SHOWN_LENGTH else f'"{shown}"'


def _convert_number(raw: object) -> float | None:
    if isinstance(raw, bool) or not isinstance(raw, int | float):
        return None
    try:
        return float(raw)
    except OverflowError:
        return math.inf


def _convert_time(raw: object) -> float | None:
    if not isinstance(raw, datetime) or raw.tzinfo is None:
        return None
    return (raw - datetime(1970, 1, 1, tzinfo=UTC)).total_seconds()


def _find_text_fault(field: Field, value: str) -> Fault | None:
    if field.allowed:
        return (
            None if value in field.allowed else _make_value_fault("value-not-allowed", field, value)
        )
    if field.pattern and not re.fullmatch(field.pattern, value):
        return _make_value_fault("value-not-allowed", field, value)
    return None


def _find_list_fault(field: Field, values: tuple[str, ...]) -> Fault | None:
    min_length, max_length = field.length_range
    if not min_length <= len(values) <= max_length:
        return Fault("value-out-of-range", f"must be {describe_allowed(field)}")
    if len(set(values)) < len(values):
        duplicate = next(item for item in values if values.count(item) > 1)
        return Fault("name-duplicate", f"{_format_value(duplicate)} stands twice in the list")
    for item in values:
        fault = _find_text_fault(field, item)
        if fault is not None:
            return fault
    return None


def _make_value_fault(code: str, field: Field, value: Value) -> Fault:
    return Fault(code, f"must be {describe_allowed(field)}, not {_format_value(value)}")


def _describe_range(field: Field) -> str:
    unit = f" {field.unit}" if field.unit else ""
    if math.isinf(field.low) and math.isinf(field.high):
        return ""
    return f" from {_format_bound(field.low)} to {_format_bound(field.high)}{unit}"


def _format_bound(bound: float) -> str:
    return f"{bound:,.0f}" if float(bound).is_integer() else f"{bound:.10g}"


def _format_value(raw: object) -> str:
    if isinstance(raw, dict):
        return "a table"
    if isinstance(raw, list | tuple):
        return "a list"
    if isinstance(raw, bool):
        return "true" if raw else "false"
    if isinstance(raw, str):
        return quote_text(raw)
    if isinstance(raw, int) and abs(raw) >= 10**MAX_SHOWN_LENGTH:
        return "a huge number"
    return str(raw)
