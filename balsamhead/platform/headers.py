"""Parse and encode the HTTP headers that are specific to the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.util.heads import CONNECTION_HEADERS, parse_count

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = (
    "ANSWER_DROPPED",
    "REQUEST_DROPPED",
    "CallerHeaders",
    "UpstreamFields",
    "encode_retry_after",
    "encode_upstream_fields",
    "read_caller_fields",
    "read_upstream_fields",
)

#: request headers that are not forwarded to the upstream, as the node sets its own
REQUEST_DROPPED: Final = CONNECTION_HEADERS | {
    b"deadline-ms",
    b"caller-service",
    b"target-instance",
}
#: response headers that are not forwarded to the caller
ANSWER_DROPPED: Final = CONNECTION_HEADERS | {b"not-executed"}


class CallerHeaders(NamedTuple):
    """Hold the platform's headers of a caller's request."""

    #: id of this attempt, set by the caller; empty if the header is missing
    request_id: bytes
    #: time until the caller's deadline, in ms; None if the header is missing
    deadline_ms: int | None


class UpstreamFields(NamedTuple):
    """Hold the platform's headers of an upstream's response."""

    #: id of the request that this responds to; empty if the header is missing
    request_id: bytes
    #: the response has a Server-Stamp header, which marks it as the upstream's own; its value is
    #: not checked
    signed: bool
    #: the upstream has not executed the request and will not do so: the response has a
    #: Not-Executed header, or status 421
    not_run: bool
    #: the response has a content coding other than identity
    coded: bool
    #: id of the upstream that responded; empty if the header is missing
    upstream_id: str
    #: idle time-out of the connection, in s; None if the upstream doesn't state it
    keep_alive_s: int | None


def read_caller_fields(headers: Mapping[bytes, list[bytes]]) -> CallerHeaders:
    """Parse the platform's headers of a request.

    :param headers: values of each header, by its name in lower case.
    :raises FramingError: the deadline is not a whole number.
    """
    return CallerHeaders(
        request_id=headers.get(b"request-id", [b""])[0],
        deadline_ms=parse_count(dict(headers), b"deadline-ms"),
    )


def encode_upstream_fields(*, left_ms: int, caller_service: str, upstream_id: str) -> bytes:
    """Return the header lines that the node adds to a request to an upstream."""
    header_lines = f"Deadline-Ms: {left_ms}\r\nCaller-Service: {caller_service}\r\n"
    if upstream_id:
        header_lines += f"Target-Instance: {upstream_id}\r\n"
    return header_lines.encode("ascii")


def read_upstream_fields(status: int, headers: Mapping[bytes, list[bytes]]) -> UpstreamFields:
    """Parse the platform's headers of a response.

    :param headers: values of each header, by its name in lower case.
    """
    coding = headers.get(b"content-encoding", [b"identity"])[0].lower()
    return UpstreamFields(
        request_id=headers.get(b"request-id", [b""])[0],
        signed=b"server-stamp" in headers,
        not_run=b"not-executed" in headers or status == 421,
        coded=coding not in (b"", b"identity"),
        upstream_id=headers.get(b"instance-id", [b""])[0].decode("latin-1"),
        keep_alive_s=_parse_keep_alive_timeout(headers.get(b"keep-alive", [b""])[0]),
    )


def encode_retry_after(seconds: float) -> bytes:
    """Return the Retry-After header line, which tells a caller when to retry."""
    return b"Retry-After: %.3f\r\n" % seconds


def _parse_keep_alive_timeout(value: bytes) -> int | None:
    for option in value.split(b","):
        name, _, number = option.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return int(number)
    return None
