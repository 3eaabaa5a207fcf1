"""Read heads and bodies of HTTP/1.1 and HTTP/1.0 messages, rejecting malformed ones."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from balsamhead.util.http1 import (
    CHUNKED,
    CONNECTION_HEADERS,
    HEADER_LINE,
    MAX_CHUNK_LINE,
    MAX_TRAILERS,
    UNTIL_CLOSE,
    FramingError,
    encode_chunk,
    parse_chunk_size,
    parse_integer_header,
    parse_request_head,
    parse_response_head,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from io import BufferedReader

__all__ = (
    "CHUNKED",
    "UNTIL_CLOSE",
    "FramingError",
    "RequestHead",
    "ResponseHead",
    "encode_chunk",
    "iter_body",
    "read_request_head",
    "read_response_head",
)

#: maximum number of bytes of a body that are read at once
_MAX_PIECE_BYTES = 65536

#: headers that are not forwarded: hop-by-hop ones and those that the node sets itself
_NOT_FORWARDED = CONNECTION_HEADERS | {
    b"x-balsamhead-depth",
    b"x-balsamhead-outcome",
    b"x-deadline-ms",
    b"x-shed",
}


class RequestHead(NamedTuple):
    """Parsed head of a caller's request."""

    method: str
    target: bytes
    #: the request target without its query
    path: str
    host: str
    #: minor HTTP version: 0 for HTTP/1.0, 1 for HTTP/1.1
    minor: int
    #: the header lines to forward, encoded
    forwarded: bytes
    #: length of the body in bytes, or CHUNKED
    length: int
    keep_alive: bool
    expects_continue: bool
    #: value of X-Deadline-Ms, in ms; None if the header is absent
    deadline_ms: float | None
    #: number of nodes that have forwarded this call already
    depth: int
    #: value of X-Idempotency-Key; empty if the header is absent
    idempotency_key: bytes


class ResponseHead(NamedTuple):
    """Parsed head of an upstream's response."""

    status: int
    reason: bytes
    #: the header lines to forward, encoded
    forwarded: bytes
    #: value of Content-Length as received; None if the header is absent
    content_length: bytes | None
    #: length of the body in bytes, CHUNKED or UNTIL_CLOSE
    length: int
    keep_alive: bool
    #: whether the upstream declared that it did not run the request (503 with X-Shed: 1)
    is_shed: bool


def _read_head(reader: BufferedReader, limit: int) -> bytes:
    """Read up to and including the empty line, or to the end of the stream if it comes first."""
    buffered = reader.peek(1)
    if buffered.startswith(b"\r\n"):
        reader.read(2)
        buffered = reader.peek(1)
    end = buffered.find(b"\r\n\r\n")
    if 0 <= end < limit:
        return reader.read(end + 4)

    head = bytearray()
    while True:
        line = reader.readline(limit + 1 - len(head))
        head += line
        if len(head) > limit:
            raise FramingError("headers-too-large")
        if line == b"\r\n" or not line.endswith(b"\n"):
            return bytes(head)
        if not line.endswith(b"\r\n"):
            raise FramingError("request-malformed")


def read_request_head(reader: BufferedReader, *, limit: int) -> RequestHead | None:
    """Read and parse the head of a request.

    :param limit: largest allowed head, in bytes.
    :returns: None if the connection was closed before the first byte.
    :raises FramingError: the head violates HTTP/1.1 or is larger than ``limit``.
    """
    head = _read_head(reader, limit)
    if not head:
        return None
    parsed = parse_request_head(head, excluded_headers=_NOT_FORWARDED)
    return RequestHead(
        method=parsed.method,
        target=parsed.target,
        path=parsed.path,
        host=parsed.host,
        minor=parsed.minor_version,
        forwarded=parsed.forwarded,
        length=parsed.length,
        keep_alive=parsed.keep_alive,
        expects_continue=parsed.expects_continue,
        deadline_ms=parse_integer_header(parsed.headers, b"x-deadline-ms"),
        depth=parse_integer_header(parsed.headers, b"x-balsamhead-depth") or 0,
        idempotency_key=parsed.headers.get(b"x-idempotency-key", [b""])[0],
    )


def read_response_head(reader: BufferedReader, *, method: str, limit: int) -> ResponseHead | None:
    """Read and parse the head of the final response to a request, skipping 1xx responses.

    :param method: method of the request, which decides whether the response has a body.
    :param limit: largest allowed head, in bytes.
    :returns: None if the connection was closed before the first byte.
    :raises FramingError: the head violates HTTP/1.1 or is larger than ``limit``.
    :raises EOFError: the connection was closed within the head.
    """
    while True:
        head = _read_head(reader, limit)
        if not head:
            return None
        if not head.endswith(b"\r\n\r\n"):
            # the head is truncated, not malformed
            raise EOFError
        parsed = parse_response_head(head, method=method, excluded_headers=_NOT_FORWARDED)
        if parsed.status >= 200:
            break

    content_lengths = parsed.headers.get(b"content-length")
    return ResponseHead(
        status=parsed.status,
        reason=parsed.reason,
        forwarded=parsed.forwarded,
        content_length=content_lengths[0] if content_lengths else None,
        length=parsed.length,
        keep_alive=parsed.keep_alive,
        is_shed=parsed.status == 503 and parsed.headers.get(b"x-shed") == [b"1"],
    )


def _read_exactly(read: Callable[[int], bytes], size: int) -> bytes:
    piece = read(size)
    if len(piece) < size:
        raise EOFError
    return piece


def _iter_chunks(readline: Callable[[int], bytes], read: Callable[[int], bytes]) -> Iterator[bytes]:
    while True:
        line = readline(MAX_CHUNK_LINE)
        if not line.endswith(b"\n"):
            raise EOFError
        size = parse_chunk_size(line)
        if size == 0:
            break
        while size:
            piece = _read_exactly(read, min(size, _MAX_PIECE_BYTES))
            size -= len(piece)
            yield piece
        if _read_exactly(read, 2) != b"\r\n":
            raise FramingError("request-malformed")

    for _ in range(MAX_TRAILERS):
        line = readline(MAX_CHUNK_LINE)
        if line == b"\r\n":
            return
        if not line.endswith(b"\n"):
            raise EOFError
        if HEADER_LINE.fullmatch(line) is None:
            break
    raise FramingError("request-malformed")


def iter_body(
    length: int, readline: Callable[[int], bytes], read: Callable[[int], bytes]
) -> Iterator[bytes]:
    """Yield a body, without its chunked framing, in pieces of at most 64 KiB.

    :param length: length of the body in bytes, CHUNKED or UNTIL_CLOSE.
    :raises EOFError: the connection was closed within the body.
    :raises FramingError: the chunked encoding is malformed.
    """
    if length == CHUNKED:
        yield from _iter_chunks(readline, read)
        return
    if length == UNTIL_CLOSE:
        while piece := read(_MAX_PIECE_BYTES):
            yield piece
        return
    while length:
        piece = _read_exactly(read, min(length, _MAX_PIECE_BYTES))
        length -= len(piece)
        yield piece
