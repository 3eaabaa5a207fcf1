"""Define the headers of the frames that carry calls and their outcomes."""

from __future__ import annotations

from typing import Any, Final, NamedTuple

from balsamhead.mesh._calls import Call
from balsamhead.mesh.model import Load
from balsamhead.util import codec

__all__ = ("CallHeader", "CodeHeader", "RefusedHeader", "ResponseHeader", "make_call_header")

#: fields of a call that nodes of each release expect; later ones are sent only if they hold more
#: than their default
_FIRST_CALL_FIELDS: Final = 14


class ResponseHeader(NamedTuple):
    """Head of a response, and the load of the upstream that gave it."""

    status: int
    reason: bytes
    headers: bytes
    length: int
    #: this frame holds the complete body
    complete: bool
    load: Load


class RefusedHeader(NamedTuple):
    """Refusal of a call that has not been sent to the upstream."""

    code: str
    retry_after_s: float
    load: Load | None


class CodeHeader(NamedTuple):
    """Code of a call without a response."""

    code: str


class CallHeader(NamedTuple):
    """Head of a call."""

    call: Call
    #: length of the whole body in bytes, or CHUNKED; what is not in this frame follows in CALL_BODY
    #: frames
    body_bytes: int


def make_call_header(call: Call, body_bytes: int) -> tuple[Any, ...]:
    """Return the fields of a :class:`CallHeader` to encode."""
    return (codec.drop_trailing_defaults(call, keep=_FIRST_CALL_FIELDS), body_bytes)
