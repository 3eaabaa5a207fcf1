"""Read and write the headers that the platform gives a meaning."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.util.heads import CONNECTION_HEADERS, parse_count

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = (
    "ANSWER_DROPPED",
    "REQUEST_DROPPED",
    "CallerFields",
    "UpstreamFields",
    "encode_retry_after",
    "encode_upstream_fields",
    "read_caller_fields",
    "read_upstream_fields",
)

#: headers of a request that the node writes itself
REQUEST_DROPPED: Final = CONNECTION_HEADERS | {
    b"deadline-ms",
    b"caller-service",
    b"target-instance",
}
#: headers of an answer that are not passed on to the caller
ANSWER_DROPPED: Final = CONNECTION_HEADERS | {b"not-executed"}


class CallerFields(NamedTuple):
    """Hold what a caller says of its request."""

    #: id of this attempt of the caller; empty when it gave none
    request_id: bytes
    #: how long the caller waits, in ms; None when it doesn't say
    deadline_ms: int | None


class UpstreamFields(NamedTuple):
    """Hold what an upstream says of its answer."""

    #: id of the request that it answers; empty when it gave none
    request_id: bytes
    #: the answer bears the upstream's signature
    signed: bool
    #: the upstream did not run the request and won't
    not_run: bool
    #: the answer is in a content coding that the caller didn't ask for
    coded: bool
    #: id of the upstream that answered; empty when it gave none
    upstream_id: str
    #: how long an idle connection stays open, in s; None when it doesn't say
    keep_alive_s: int | None


def read_caller_fields(values: Mapping[bytes, list[bytes]]) -> CallerFields:
    """Read the fields of a request by header name in lower case.

    :raises FramingError: the deadline is no whole number.
    """
    return CallerFields(
        request_id=values.get(b"request-id", [b""])[0],
        deadline_ms=parse_count(dict(values), b"deadline-ms"),
    )


def encode_upstream_fields(*, left_ms: int, caller_service: str, upstream_id: str) -> bytes:
    """Return the header lines that a request bears towards an upstream."""
    lines = f"Deadline-Ms: {left_ms}\r\nCaller-Service: {caller_service}\r\n"
    if upstream_id:
        lines += f"Target-Instance: {upstream_id}\r\n"
    return lines.encode("ascii")


def read_upstream_fields(status: int, values: Mapping[bytes, list[bytes]]) -> UpstreamFields:
    """Read the fields of an answer by header name in lower case."""
    coding = values.get(b"content-encoding", [b"identity"])[0].lower()
    return UpstreamFields(
        request_id=values.get(b"request-id", [b""])[0],
        signed=b"server-stamp" in values,
        not_run=b"not-executed" in values or status == 421,
        coded=coding not in (b"", b"identity"),
        upstream_id=values.get(b"instance-id", [b""])[0].decode("latin-1"),
        keep_alive_s=_read_keep_alive(values.get(b"keep-alive", [b""])[0]),
    )


def encode_retry_after(seconds: float) -> bytes:
    """Return the header line that tells a caller when to come back."""
    return b"Retry-After: %.3f\r\n" % seconds


def _read_keep_alive(value: bytes) -> int | None:
    for option in value.split(b","):
        name, _, number = option.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return int(number)
    return None
