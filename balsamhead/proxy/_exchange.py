"""Send a request to an upstream and forward its response to the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from balsamhead.proxy._http import (
    CHUNKED,
    UNTIL_CLOSE,
    FramingError,
    ResponseHead,
    encode_chunk,
    iter_body,
    read_response_head,
)
from balsamhead.proxy._stream import SendError, is_readable, send_all, wait_readable
from balsamhead.routing import AttemptOutcome

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterator

    from balsamhead.proxy._http import RequestHead
    from balsamhead.proxy._pool import UpstreamConnection

__all__ = (
    "AttemptResult",
    "CallerBodyError",
    "OutgoingRequest",
    "UpstreamResponse",
    "buffer_small_response",
    "encode_request_head",
    "forward_response",
    "run_attempt",
)

#: maximum size of the head of a response, in bytes
_MAX_RESPONSE_HEAD_BYTES = 65536


class OutgoingRequest(NamedTuple):
    """Request encoded for sending to upstreams."""

    method: str
    #: the head without X-Deadline-Ms and the empty line, which each attempt appends
    head: bytes
    #: the whole body or its first part, with its transfer encoding
    buffered_body: bytes
    #: the body after ``buffered_body``, with its transfer encoding; None if nothing follows
    body_stream: Iterator[bytes] | None


class AttemptResult(NamedTuple):
    """End of an attempt, with the head of the response if one was received."""

    end: AttemptOutcome
    response: ResponseHead | None = None
    #: whether the upstream reset or closed the connection before the response was complete
    was_reset: bool = False


class UpstreamResponse(NamedTuple):
    """Response that is ready to be forwarded."""

    head: ResponseHead
    #: the whole body; None if it is still to be streamed from the connection
    body: bytes | None


class CallerBodyError(Exception):
    """Raised when the caller's request body could not be read.

    :ivar code: error code of the refusal; empty if the caller disconnected.
    """

    def __init__(self, code: str) -> None:
        super().__init__(code)
        self.code = code


def encode_request_head(head: RequestHead, *, length: int) -> bytes:
    """Encode the part of a request's head that is the same in all attempts.

    :param length: length of the body sent to the upstream in bytes, or CHUNKED.
    """
    first = b"%b %b HTTP/1.1\r\n" % (head.method.encode("ascii"), head.target)
    lines = [first, head.forwarded]
    if length == CHUNKED:
        lines.append(b"Transfer-Encoding: chunked\r\n")
    elif length or head.method not in ("GET", "HEAD"):
        lines.append(b"Content-Length: %d\r\n" % length)
    lines.append(b"X-Balsamhead-Depth: %d\r\n" % (head.depth + 1))
    return b"".join(lines)


def _send_request(
    conn: UpstreamConnection, request: OutgoingRequest, *, remaining_ms: float, deadline_at: float
) -> AttemptOutcome | None:
    first = b"%bX-Deadline-Ms: %d\r\n\r\n%b" % (
        request.head,
        max(1, remaining_ms),
        request.buffered_body,
    )
    try:
        send_all(conn.sock, first, deadline_at)
    except SendError as exc:
        if exc.sent == 0:
            return AttemptOutcome.NOT_SENT
        return _classify_send_error(exc)
    if request.body_stream is None:
        return None
    try:
        _send_body_stream(conn, request.body_stream, deadline_at)
    except SendError as exc:
        return _classify_send_error(exc)
    return None


def _classify_send_error(exc: SendError) -> AttemptOutcome | None:
    # an upstream may respond and close before it has read the whole request, so a response
    # is still read unless the deadline passed
    return AttemptOutcome.TIMED_OUT if exc.is_timeout else None


def _send_body_stream(
    conn: UpstreamConnection, body_stream: Iterator[bytes], deadline_at: float
) -> None:
    for piece in body_stream:
        send_all(conn.sock, piece, deadline_at)
        if is_readable(conn.sock):
            # the upstream responded or closed before it received the whole body
            conn.must_close = True
            return


def run_attempt(
    conn: UpstreamConnection,
    request: OutgoingRequest,
    *,
    caller: socket.socket,
    remaining_ms: float,
    deadline_at: float,
) -> AttemptResult:
    """Send a request on a connection and read the head of the response.

    :param caller: the caller's socket; the attempt ends early if the caller disconnects.
    :param remaining_ms: time that remains for the call, sent as X-Deadline-Ms, in ms.
    :param deadline_at: deadline of the call on the monotonic clock, in s.
    :raises CallerBodyError: the rest of the caller's body could not be read.
    """
    early_end = _send_request(conn, request, remaining_ms=remaining_ms, deadline_at=deadline_at)
    if early_end is not None:
        return AttemptResult(early_end)
    conn.reader.set_deadline(deadline_at)
    try:
        if not wait_readable(conn.sock, deadline_at, abort_on_close=caller):
            return AttemptResult(AttemptOutcome.CALLER_LEFT)
        head = read_response_head(
            conn.reader, method=request.method, limit=_MAX_RESPONSE_HEAD_BYTES
        )
    except TimeoutError:
        return AttemptResult(AttemptOutcome.TIMED_OUT)
    except (EOFError, OSError):
        return AttemptResult(AttemptOutcome.LOST, was_reset=True)
    except FramingError:
        return AttemptResult(AttemptOutcome.MALFORMED)
    if head is None:
        return AttemptResult(AttemptOutcome.LOST, was_reset=True)
    return AttemptResult(AttemptOutcome.SHED if head.is_shed else AttemptOutcome.ANSWERED, head)


def buffer_small_response(
    conn: UpstreamConnection, head: ResponseHead, *, max_buffered_bytes: int
) -> UpstreamResponse | AttemptResult:
    """Buffer the body of a response of known, small size, so that it is never forwarded in part.

    :param max_buffered_bytes: largest body to buffer, in bytes; others are left to be streamed.
    :returns: the response, or the end of the attempt if the body was not received completely.
    """
    if not 0 <= head.length <= max_buffered_bytes:
        return UpstreamResponse(head, None)
    try:
        body = conn.reader.read(head.length) if head.length else b""
    except TimeoutError:
        return AttemptResult(AttemptOutcome.TIMED_OUT)
    except OSError:
        return AttemptResult(AttemptOutcome.LOST, was_reset=True)
    if len(body) < head.length:
        return AttemptResult(AttemptOutcome.LOST, was_reset=True)
    return UpstreamResponse(head, body)


def _encode_response_head(
    head: ResponseHead, request: RequestHead, *, keep_alive: bool, length: int
) -> bytes:
    lines = [b"HTTP/1.1 %d %b\r\n" % (head.status, head.reason), head.forwarded]
    if request.method == "HEAD":
        if head.content_length is not None:
            lines.append(b"Content-Length: %b\r\n" % head.content_length)
    elif length == CHUNKED:
        lines.append(b"Transfer-Encoding: chunked\r\n")
    elif length >= 0 and head.status not in (204, 304):
        lines.append(b"Content-Length: %d\r\n" % length)
    if not keep_alive:
        lines.append(b"Connection: close\r\n")
    elif request.minor == 0:
        lines.append(b"Connection: keep-alive\r\n")
    lines.append(b"\r\n")
    return b"".join(lines)


def forward_response(
    response: UpstreamResponse,
    conn: UpstreamConnection,
    *,
    caller: socket.socket,
    request: RequestHead,
    keep_alive: bool,
    deadline_at: float,
) -> bool:
    """Forward a response to the caller.

    :param keep_alive: whether the caller's connection may stay open after the response.
    :param deadline_at: deadline of the call on the monotonic clock, in s.
    :returns: whether the caller's connection can carry another request.
    :raises SendError: the caller disconnected or did not read in time.
    :raises EOFError: the upstream closed the connection within the body.
    :raises FramingError: the chunked encoding of the body is malformed.
    """
    head = response.head
    if response.body is not None:
        first = _encode_response_head(
            head, request, keep_alive=keep_alive, length=len(response.body)
        )
        send_all(caller, first + response.body, deadline_at)
        return keep_alive

    length = head.length
    if length == UNTIL_CLOSE and request.minor == 1:
        length = CHUNKED
    if length == CHUNKED and request.minor == 0:
        length = UNTIL_CLOSE
    keep_alive = keep_alive and length != UNTIL_CLOSE
    first = _encode_response_head(head, request, keep_alive=keep_alive, length=length)
    send_all(caller, first, deadline_at)
    for piece in iter_body(head.length, conn.reader.readline, conn.reader.read):
        send_all(caller, encode_chunk(piece) if length == CHUNKED else piece, deadline_at)
    if length == CHUNKED:
        send_all(caller, b"0\r\n\r\n", deadline_at)
    return keep_alive
