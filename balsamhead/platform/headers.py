"""Parse and encode the HTTP headers that are specific to the platform."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.util.http1 import CONNECTION_HEADERS, parse_integer_header

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = (
    "DROPPED_RESPONSE_HEADERS",
    "CallerHeaders",
    "UpstreamHeaders",
    "drop_account_headers",
    "encode_retry_after",
    "encode_upstream_headers",
    "get_dropped_request_headers",
    "parse_caller_headers",
    "parse_upstream_headers",
)

#: a decimal number without a sign or an exponent
_LIMIT: Final = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")
#: request headers that are not forwarded to the upstream, as the node sets its own
_DROPPED_REQUEST_HEADERS: Final = CONNECTION_HEADERS | {
    b"deadline-ms",
    b"caller-service",
    b"target-instance",
}
_KEY_HEADER: Final = b"key"
_ACCOUNT_HEADER: Final = b"tenant"
#: those that are not forwarded either where the configuration has client accounts
_DROPPED_WITH_ACCOUNTS: Final = _DROPPED_REQUEST_HEADERS | {_KEY_HEADER, _ACCOUNT_HEADER}
#: header line with a key or the name of a client account
_ACCOUNT_LINE: Final = re.compile(
    rb"^(?:%b|%b):.*\r\n" % (_KEY_HEADER, _ACCOUNT_HEADER), re.IGNORECASE | re.MULTILINE
)
#: response headers that are not forwarded to the caller
DROPPED_RESPONSE_HEADERS: Final = CONNECTION_HEADERS | {b"not-executed"}


class CallerHeaders(NamedTuple):
    """Platform-specific headers of a caller's request."""

    #: id of this attempt, set by the caller; empty if the header is missing
    request_id: bytes
    #: time until the caller's deadline, in ms; None if the header is missing
    deadline_ms: int | None
    #: values of all headers that hold a key of a client account
    keys: tuple[bytes, ...] = ()


class UpstreamHeaders(NamedTuple):
    """Platform-specific headers of an upstream's response."""

    #: id of the request that this responds to; empty if the header is missing
    request_id: bytes
    #: the response has a Server-Stamp header, which marks it as the upstream's own; its value is
    #: not checked
    signed: bool
    #: the upstream has not executed the request and will not do so: the response has a
    #: Not-Executed header, or status 421
    not_executed: bool
    #: the response has a content coding other than identity
    has_content_coding: bool
    #: id of the upstream that responded; empty if the header is missing
    upstream_id: str
    #: idle timeout of the connection, in s; None if the upstream doesn't state it
    keep_alive_s: int | None
    #: requests a second that the upstream accepts from all nodes together; None for no limit
    limit_per_s: float | None
    #: the upstream is leaving and should get no more requests
    leaving: bool


def parse_caller_headers(headers: Mapping[bytes, list[bytes]]) -> CallerHeaders:
    """Parse the platform's headers of a request.

    :param headers: values of each header, by its name in lower case.
    :raises FramingError: the deadline is not a whole number.
    """
    return CallerHeaders(
        request_id=headers.get(b"request-id", [b""])[0],
        deadline_ms=parse_integer_header(dict(headers), b"deadline-ms"),
        keys=tuple(headers.get(_KEY_HEADER, ())),
    )


def get_dropped_request_headers(*, accounts: bool) -> frozenset[bytes]:
    """Return the names, in lower case, of request headers that are not forwarded to upstreams.

    :param accounts: the configuration has client accounts.
    """
    return _DROPPED_WITH_ACCOUNTS if accounts else _DROPPED_REQUEST_HEADERS


def drop_account_headers(header_lines: bytes) -> bytes:
    """Return header lines without those that hold a key or the name of a client account.

    :param header_lines: parsed header lines, each terminated by CRLF.
    """
    return _ACCOUNT_LINE.sub(b"", header_lines)


def encode_upstream_headers(
    *, remaining_ms: int, caller_service: str, upstream_id: str, account: str = ""
) -> bytes:
    """Return the header lines that the node adds to a request to an upstream.

    :param account: name of the client account; empty if there is none.
    """
    header_lines = f"Deadline-Ms: {remaining_ms}\r\nCaller-Service: {caller_service}\r\n"
    if upstream_id:
        header_lines += f"Target-Instance: {upstream_id}\r\n"
    if account:
        header_lines += f"Tenant: {account}\r\n"
    return header_lines.encode("ascii")


def parse_upstream_headers(status: int, headers: Mapping[bytes, list[bytes]]) -> UpstreamHeaders:
    """Parse the platform's headers of a response.

    :param headers: values of each header, by its name in lower case.
    """
    coding = headers.get(b"content-encoding", [b"identity"])[0].lower()
    return UpstreamHeaders(
        request_id=headers.get(b"request-id", [b""])[0],
        signed=b"server-stamp" in headers,
        not_executed=b"not-executed" in headers or status == 421,
        has_content_coding=coding not in (b"", b"identity"),
        upstream_id=headers.get(b"instance-id", [b""])[0].decode("latin-1"),
        keep_alive_s=_parse_keep_alive_timeout(headers.get(b"keep-alive", [b""])[0]),
        limit_per_s=_parse_limit(headers.get(b"server-limit")),
        leaving=headers.get(b"server-leaving") == [b"1"],
    )


def encode_retry_after(seconds: float) -> bytes:
    """Return the Retry-After header line, which tells a caller when to retry."""
    return b"Retry-After: %.3f\r\n" % seconds


def _parse_limit(values: list[bytes] | None) -> float | None:
    if values is None or len(values) != 1 or not _LIMIT.fullmatch(values[0]):
        return None
    return float(values[0])


def _parse_keep_alive_timeout(value: bytes) -> int | None:
    for option in value.split(b","):
        name, _, number = option.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return int(number)
    return None
