"""Parse the heads of HTTP/1.x messages and decode the framing of their bodies.

The parser is strict and does no I/O.
"""

from __future__ import annotations

import re
from typing import NamedTuple

__all__ = (
    "CHUNKED",
    "CONNECTION_HEADERS",
    "HEADER_LINE",
    "MAX_CHUNK_LINE",
    "MAX_TRAILERS",
    "UNTIL_CLOSE",
    "BodyDecoder",
    "FramingError",
    "RequestHead",
    "ResponseHead",
    "encode_chunk",
    "is_final_status",
    "parse_chunk_size",
    "parse_integer_header",
    "parse_request_head",
    "parse_response_head",
)

#: body length that stands for chunked transfer coding
CHUNKED = -1
#: body length that stands for a response body that ends when the connection closes
UNTIL_CLOSE = -2
#: largest length of a chunk-size line and of a trailer line, in bytes
MAX_CHUNK_LINE = 1024
#: largest number of trailer lines in a message
MAX_TRAILERS = 16
#: largest number of header lines in a message
_MAX_HEADER_LINES = 1000

_TOKEN_PATTERN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_VALUE_PATTERN = rb"[^\x00-\x08\x0a-\x1f\x7f]*"
_LINE_PATTERN = _TOKEN_PATTERN + rb":" + _VALUE_PATTERN + rb"\r\n"
_REQUEST_HEAD = re.compile(
    rb"(" + _TOKEN_PATTERN + rb") (/[!-~]*) HTTP/1\.([01])\r\n(?:" + _LINE_PATTERN + rb")*\r\n"
)
_RESPONSE_HEAD = re.compile(
    rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: ("
    + _VALUE_PATTERN
    + rb"))?\r\n(?:"
    + _LINE_PATTERN
    + rb")*\r\n"
)
HEADER_LINE = re.compile(_LINE_PATTERN)
_CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})(?:[ \t]*;[^\x00-\x08\x0a-\x1f\x7f]*)?\r\n")
_DECIMAL = re.compile(rb"[0-9]{1,18}")
_DOT_SEGMENT = re.compile(r"(?:^|/)(?:\.|%2e){1,2}(?:/|$)", re.IGNORECASE)

#: headers that apply to a single connection only, in lower case
CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)

_NO_CONNECTION_OPTIONS: set[bytes] = set()


class FramingError(Exception):
    """Report a message that violates HTTP/1.x or a limit.

    :param code: error code with which the message is refused.
    """

    def __init__(self, code: str) -> None:
        super().__init__(code)
        self.code = code


class RequestHead(NamedTuple):
    """Parsed head of a request: its start line and its headers."""

    method: str
    target: bytes
    #: the target without its query
    path: str
    host: str
    #: minor version: 0 for HTTP/1.0, 1 for HTTP/1.1
    minor_version: int
    #: header values by header name in lower case
    headers: dict[bytes, list[bytes]]
    #: the header lines to forward, each with its line terminator
    forwarded: bytes
    #: length of the body in bytes, or CHUNKED
    length: int
    keep_alive: bool
    expects_continue: bool


class ResponseHead(NamedTuple):
    """Parsed head of a response: its status line and its headers."""

    status: int
    reason: bytes
    headers: dict[bytes, list[bytes]]
    #: the header lines to forward, each with its line terminator
    forwarded: bytes
    #: length of the body in bytes, CHUNKED or UNTIL_CLOSE
    length: int
    keep_alive: bool


class _HeaderFields(NamedTuple):
    #: header values by header name in lower case
    values: dict[bytes, list[bytes]]
    #: the header lines to forward, each with its line terminator
    forwarded: bytes
    #: options of the "connection" header, in lower case
    connection_options: set[bytes]


def parse_request_head(block: bytes, *, excluded_headers: frozenset[bytes]) -> RequestHead:
    """Parse the head of a request, up to and including its empty line.

    :param excluded_headers: names, in lower case, of headers to omit from ``forwarded``.
    :raises FramingError: the head violates HTTP/1.x or a limit, or its target has dot
        segments or a fragment.
    """
    found = _REQUEST_HEAD.fullmatch(block)
    if found is None:
        raise FramingError("request-malformed")

    method, target, minor = found[1].decode("ascii"), found[2], int(found[3])
    fields = _parse_header_lines(block[found.end(3) + 2 : -4], excluded_headers)
    path = target.partition(b"?")[0].decode("ascii")
    if b"#" in target or (("." in path or "%" in path) and _DOT_SEGMENT.search(path)):
        raise FramingError("request-malformed")
    return RequestHead(
        method=method,
        target=target,
        path=path,
        host=_parse_host(fields.values, minor),
        minor_version=minor,
        headers=fields.values,
        forwarded=fields.forwarded,
        length=_parse_body_length(fields.values, minor=minor) or 0,
        keep_alive=_is_persistent(fields.connection_options, minor),
        expects_continue=fields.values.get(b"expect", [b""])[0].lower() == b"100-continue",
    )


def parse_response_head(
    block: bytes, *, method: str, excluded_headers: frozenset[bytes]
) -> ResponseHead:
    """Parse the head of a response, up to and including its empty line.

    :param method: method of the request.
    :param excluded_headers: names, in lower case, of headers to omit from ``forwarded``.
    :raises FramingError: the head violates HTTP/1.x or a limit, its status is 101 or not 100 to
        599, or it is interim but has a body.
    """
    found = _RESPONSE_HEAD.fullmatch(block)
    if found is None:
        raise FramingError("answer-malformed")
    status, minor = int(found[2]), int(found[1])
    if status == 101:
        raise FramingError("answer-malformed")
    fields = _parse_header_lines(block[block.index(b"\r\n") + 2 : -4], excluded_headers)
    length = _parse_body_length(fields.values, minor=minor)
    if status < 200 and length is not None:
        # The upstream means it as the final response; what follows is a body, not a head.
        raise FramingError("answer-malformed")
    if length is None:
        length = UNTIL_CLOSE
    if method == "HEAD" or status in (204, 304) or status < 200:
        length = 0
    return ResponseHead(
        status=status,
        reason=found[3] or b"",
        headers=fields.values,
        forwarded=fields.forwarded,
        length=length,
        keep_alive=_is_persistent(fields.connection_options, minor) and length != UNTIL_CLOSE,
    )


def is_final_status(status: int) -> bool:
    """Return whether a final response may have a status; any other one can't be read."""
    return 200 <= status <= 599


def parse_integer_header(values: dict[bytes, list[bytes]], key: bytes) -> int | None:
    """Return the value of a header that holds one decimal number; None if it is absent.

    :raises FramingError: the header has another value, or occurs more than once.
    """
    found = values.get(key)
    return None if found is None else _parse_number(found)


def encode_chunk(data: bytes) -> bytes:
    """Encode a part of a body as one chunk; an empty part ends the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def parse_chunk_size(line: bytes) -> int:
    """Return the size that a chunk-size line gives, in bytes.

    :raises FramingError: the line is malformed.
    """
    found = _CHUNK_SIZE_LINE.fullmatch(line)
    if found is None:
        raise FramingError("request-malformed")
    return int(found[1], 16)


class BodyDecoder:
    """Extract a message body from the bytes that follow its head.

    :param length: length of the body in bytes, CHUNKED or UNTIL_CLOSE.
    """

    def __init__(self, length: int) -> None:
        self._length = length
        self._remaining = max(0, length)
        self._state = "size"
        self._trailer_lines = 0
        #: whether the body is complete
        self.done = length == 0

    def decode(self, buffer: bytearray) -> bytes:
        """Remove the bytes of the body from the front of a buffer and return the decoded data.

        :raises FramingError: the chunked coding is malformed.
        """
        if self.done or not buffer:
            return b""
        if self._length == CHUNKED:
            return self._decode_chunks(buffer)
        if self._length == UNTIL_CLOSE:
            data = bytes(buffer)
            buffer.clear()
            return data
        data = self._read_data(buffer)
        self.done = self._remaining == 0
        return data

    def finish(self) -> bool:
        """Record that the connection has closed; return whether the body is complete."""
        if self._length == UNTIL_CLOSE:
            self.done = True
        return self.done

    def _read_data(self, buffer: bytearray) -> bytes:
        data = bytes(buffer[: self._remaining])
        del buffer[: len(data)]
        self._remaining -= len(data)
        return data

    def _decode_chunks(self, buffer: bytearray) -> bytes:
        parts = []
        while buffer and not self.done:
            if self._state == "data":
                parts.append(self._read_data(buffer))
                if self._remaining:
                    break
                self._state = "data-end"
                continue
            line = _read_line(buffer)
            if line is None:
                break
            self._process_line(line)
        return b"".join(parts)

    def _process_line(self, line: bytes) -> None:
        if self._state == "data-end":
            if line != b"\r\n":
                raise FramingError("request-malformed")
            self._state = "size"
        elif self._state == "size":
            self._remaining = parse_chunk_size(line)
            self._state = "data" if self._remaining else "trailer"
        elif line == b"\r\n":
            self.done = True
        else:
            self._trailer_lines += 1
            if self._trailer_lines > MAX_TRAILERS or HEADER_LINE.fullmatch(line) is None:
                raise FramingError("request-malformed")


def _read_line(buffer: bytearray) -> bytes | None:
    end = buffer.find(b"\n", 0, MAX_CHUNK_LINE)
    if end < 0:
        if len(buffer) >= MAX_CHUNK_LINE:
            raise FramingError("request-malformed")
        return None
    line = bytes(buffer[: end + 1])
    del buffer[: end + 1]
    return line


def _parse_header_lines(block: bytes, excluded_headers: frozenset[bytes]) -> _HeaderFields:
    lines = block.split(b"\r\n") if block else []
    if len(lines) > _MAX_HEADER_LINES:
        raise FramingError("headers-too-large")
    values: dict[bytes, list[bytes]] = {}
    forwarded: list[bytes] = []
    for line in lines:
        name, _, value = line.partition(b":")
        key = name.lower()
        if key in values:
            values[key].append(value.strip(b" \t"))
        else:
            values[key] = [value.strip(b" \t")]
        if key not in excluded_headers:
            forwarded.append(line)
    connection_options = _parse_connection_options(values)
    hop_by_hop = connection_options - {b"close", b"keep-alive"}
    if hop_by_hop:
        forwarded = [
            line for line in forwarded if line.partition(b":")[0].lower() not in hop_by_hop
        ]
    forwarded.append(b"")
    return _HeaderFields(values, b"\r\n".join(forwarded), connection_options)


def _parse_number(values: list[bytes]) -> int:
    if len(values) != 1 or not _DECIMAL.fullmatch(values[0]):
        raise FramingError("request-malformed")
    return int(values[0])


def _parse_body_length(values: dict[bytes, list[bytes]], *, minor: int) -> int | None:
    codings = values.get(b"transfer-encoding")
    content_lengths = values.get(b"content-length")
    if codings is not None:
        if content_lengths is not None or minor == 0:
            raise FramingError("request-malformed")
        if len(codings) != 1 or codings[0].lower() != b"chunked":
            raise FramingError("transfer-encoding-unsupported")
        return CHUNKED
    return None if content_lengths is None else _parse_number(content_lengths)


def _parse_connection_options(values: dict[bytes, list[bytes]]) -> set[bytes]:
    lines = values.get(b"connection")
    if lines is None:
        return _NO_CONNECTION_OPTIONS
    return {option.strip().lower() for line in lines for option in line.split(b",")} - {b""}


def _is_persistent(connection_options: set[bytes], minor: int) -> bool:
    if minor == 0:
        return b"keep-alive" in connection_options and b"close" not in connection_options
    return b"close" not in connection_options


def _parse_host(values: dict[bytes, list[bytes]], minor: int) -> str:
    hosts = values.get(b"host", [])
    if len(hosts) > 1 or (minor == 1 and not hosts):
        raise FramingError("request-malformed")
    return hosts[0].decode("latin-1") if hosts else ""
