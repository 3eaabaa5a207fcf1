"""Parse the heads and frame the bodies of HTTP/1.1 messages, strictly."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from balsamhead.util.heads import (
    CHUNKED,
    CONNECTION_HEADERS,
    HEADER_LINE,
    MAX_CHUNK_LINE,
    MAX_TRAILERS,
    UNTIL_CLOSE,
    FramingError,
    encode_chunk,
    parse_answer,
    parse_chunk_size,
    parse_count,
    parse_request,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from io import BufferedReader

__all__ = (
    "CHUNKED",
    "UNTIL_CLOSE",
    "AnswerHead",
    "FramingError",
    "RequestHead",
    "encode_chunk",
    "iter_body",
    "read_answer_head",
    "read_request_head",
)

#: bytes that are read from a body at once
_PIECE_BYTES = 65536

#: headers that concern one connection only, or that the node writes itself
_NOT_FORWARDED = CONNECTION_HEADERS | {
    b"x-balsamhead-depth",
    b"x-balsamhead-outcome",
    b"x-deadline-ms",
    b"x-shed",
}


class RequestHead(NamedTuple):
    """Hold the head of a caller's request."""

    method: str
    target: bytes
    #: the target without its query
    path: str
    host: str
    #: 0 or 1 of HTTP/1.0 or HTTP/1.1
    minor: int
    #: the header lines that are passed on
    forwarded: bytes
    #: length of the body in bytes, or CHUNKED
    length: int
    keep_alive: bool
    expects_continue: bool
    #: the caller's own deadline, in ms; None when it gave none
    deadline_ms: float | None
    #: nodes that the call came through
    depth: int
    #: the caller's idempotency key; empty when it gave none
    key: bytes


class AnswerHead(NamedTuple):
    """Hold the head of an upstream's answer."""

    status: int
    reason: bytes
    #: the header lines that are passed on
    forwarded: bytes
    #: the "content-length" as it came; None when there was none
    stated_length: bytes | None
    #: length of the body in bytes, CHUNKED or UNTIL_CLOSE
    length: int
    keep_alive: bool
    #: the upstream says that it did not run the request
    shed: bool


def _read_block(reader: BufferedReader, limit: int) -> bytes:
    """Read a head up to its empty line, or what came before the connection ended."""
    ready = reader.peek(1)
    if ready.startswith(b"\r\n"):
        reader.read(2)
        ready = reader.peek(1)
    end = ready.find(b"\r\n\r\n")
    if 0 <= end < limit:
        return reader.read(end + 4)

    block = bytearray()
    while True:
        line = reader.readline(limit + 1 - len(block))
        block += line
        if len(block) > limit:
            raise FramingError("headers-too-large")
        if line == b"\r\n" or not line.endswith(b"\n"):
            return bytes(block)
        if not line.endswith(b"\r\n"):
            raise FramingError("request-malformed")


def read_request_head(reader: BufferedReader, *, limit: int) -> RequestHead | None:
    """Read the head of a request.

    :param limit: bound on the head, in bytes.
    :returns: None when the connection ended before a request began.
    :raises FramingError: the head breaks HTTP/1.1 or the bound.
    """
    block = _read_block(reader, limit)
    if not block:
        return None
    start = parse_request(block, dropped=_NOT_FORWARDED)
    return RequestHead(
        method=start.method,
        target=start.target,
        path=start.path,
        host=start.host,
        minor=start.minor,
        forwarded=start.forwarded,
        length=start.length,
        keep_alive=start.keep_alive,
        expects_continue=start.expects_continue,
        deadline_ms=parse_count(start.values, b"x-deadline-ms"),
        depth=parse_count(start.values, b"x-balsamhead-depth") or 0,
        key=start.values.get(b"x-idempotency-key", [b""])[0],
    )


def read_answer_head(reader: BufferedReader, *, method: str, limit: int) -> AnswerHead | None:
    """Read the head of the final answer to a request.

    :returns: None when the connection ended before a byte came.
    :raises FramingError: the head breaks HTTP/1.1 or the bound.
    :raises EOFError: the connection ended within the head.
    """
    while True:
        block = _read_block(reader, limit)
        if not block:
            return None
        if not block.endswith(b"\r\n\r\n"):
            # a head without its empty line was cut, which does not make it wrong
            raise EOFError
        start = parse_answer(block, method=method, dropped=_NOT_FORWARDED)
        if start.status >= 200:
            break

    stated = start.values.get(b"content-length")
    return AnswerHead(
        status=start.status,
        reason=start.reason,
        forwarded=start.forwarded,
        stated_length=stated[0] if stated else None,
        length=start.length,
        keep_alive=start.keep_alive,
        shed=start.status == 503 and start.values.get(b"x-shed") == [b"1"],
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
            piece = _read_exactly(read, min(size, _PIECE_BYTES))
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
    """Yield the pieces of a body, none larger than 64 KiB.

    :param length: its length in bytes, CHUNKED or UNTIL_CLOSE.
    :raises EOFError: the connection ended within the body.
    :raises FramingError: the chunks are malformed.
    """
    if length == CHUNKED:
        yield from _iter_chunks(readline, read)
        return
    if length == UNTIL_CLOSE:
        while piece := read(_PIECE_BYTES):
            yield piece
        return
    while length:
        piece = _read_exactly(read, min(length, _PIECE_BYTES))
        length -= len(piece)
        yield piece
