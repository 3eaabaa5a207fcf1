"""Parse heads of HTTP/1.1 messages and the framing of their bodies, strictly, without I/O."""

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
    "AnswerStart",
    "BodyDecoder",
    "FramingError",
    "RequestStart",
    "encode_chunk",
    "parse_answer",
    "parse_chunk_size",
    "parse_count",
    "parse_request",
)

#: length of a body in chunked transfer coding
CHUNKED = -1
#: length of an answer's body that ends with the connection
UNTIL_CLOSE = -2
#: bound on the line that opens a chunk, and on a trailer line, in bytes
MAX_CHUNK_LINE = 1024
#: trailer lines that a message may have
MAX_TRAILERS = 16
#: headers that one message may have
_MAX_HEADERS = 100

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_VALUE = rb"[^\x00-\x08\x0a-\x1f\x7f]*"
_LINE = _TOKEN + rb":" + _VALUE + rb"\r\n"
_REQUEST_HEAD = re.compile(
    rb"(" + _TOKEN + rb") (/[!-~]*) HTTP/1\.([01])\r\n(?:" + _LINE + rb")*\r\n"
)
_ANSWER_HEAD = re.compile(
    rb"HTTP/1\.([01]) ([1-9][0-9]{2})(?: (" + _VALUE + rb"))?\r\n(?:" + _LINE + rb")*\r\n"
)
HEADER_LINE = re.compile(_LINE)
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})(?:[ \t]*;[^\x00-\x08\x0a-\x1f\x7f]*)?\r\n")
_DIGITS = re.compile(rb"[0-9]{1,18}")
_DOT_SEGMENT = re.compile(r"(?:^|/)(?:\.|%2e){1,2}(?:/|$)", re.IGNORECASE)

#: headers that concern one connection only
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

_NO_OPTIONS: set[bytes] = set()


class FramingError(Exception):
    """Report a message that breaks HTTP/1.1 or a bound, by the code of its refusal."""

    def __init__(self, code: str) -> None:
        super().__init__(code)
        self.code = code


class RequestStart(NamedTuple):
    """Hold the parsed head of a request."""

    method: str
    target: bytes
    #: the target without its query
    path: str
    host: str
    #: 0 or 1 of HTTP/1.0 or HTTP/1.1
    minor: int
    #: values by header name in lower case
    values: dict[bytes, list[bytes]]
    #: the header lines that are passed on, each with its line end
    forwarded: bytes
    #: length of the body in bytes, or CHUNKED
    length: int
    keep_alive: bool
    expects_continue: bool


class AnswerStart(NamedTuple):
    """Hold the parsed head of an answer."""

    status: int
    reason: bytes
    values: dict[bytes, list[bytes]]
    #: the header lines that are passed on, each with its line end
    forwarded: bytes
    #: length of the body in bytes, CHUNKED or UNTIL_CLOSE
    length: int
    keep_alive: bool


class _Fields(NamedTuple):
    values: dict[bytes, list[bytes]]
    forwarded: bytes
    #: what the "connection" header lists, in lower case
    options: set[bytes]


def parse_request(block: bytes, *, dropped: frozenset[bytes]) -> RequestStart:
    """Parse the head of a request, up to and with its empty line.

    :param dropped: names in lower case of the headers that aren't passed on.
    :raises FramingError: the head breaks HTTP/1.1.
    """
    found = _REQUEST_HEAD.fullmatch(block)
    if found is None:
        raise FramingError("request-malformed")

    method, target, minor = found[1].decode("ascii"), found[2], int(found[3])
    fields = _parse_lines(block[found.end(3) + 2 : -4], dropped)
    path = target.partition(b"?")[0].decode("ascii")
    if b"#" in target or (("." in path or "%" in path) and _DOT_SEGMENT.search(path)):
        raise FramingError("request-malformed")
    return RequestStart(
        method=method,
        target=target,
        path=path,
        host=_find_host(fields.values, minor),
        minor=minor,
        values=fields.values,
        forwarded=fields.forwarded,
        length=_find_length(fields.values, minor=minor) or 0,
        keep_alive=_keeps_alive(fields.options, minor),
        expects_continue=fields.values.get(b"expect", [b""])[0].lower() == b"100-continue",
    )


def parse_answer(block: bytes, *, method: str, dropped: frozenset[bytes]) -> AnswerStart:
    """Parse the head of an answer, up to and with its empty line.

    :param method: method of the request that it answers.
    :param dropped: names in lower case of the headers that aren't passed on.
    :raises FramingError: the head breaks HTTP/1.1, or switches the protocol.
    """
    found = _ANSWER_HEAD.fullmatch(block)
    if found is None:
        raise FramingError("answer-malformed")
    status, minor = int(found[2]), int(found[1])
    if status == 101:
        raise FramingError("answer-malformed")
    fields = _parse_lines(block[block.index(b"\r\n") + 2 : -4], dropped)
    length = _find_length(fields.values, minor=minor)
    if length is None:
        length = UNTIL_CLOSE
    if method == "HEAD" or status in (204, 304) or status < 200:
        length = 0
    return AnswerStart(
        status=status,
        reason=found[3] or b"",
        values=fields.values,
        forwarded=fields.forwarded,
        length=length,
        keep_alive=_keeps_alive(fields.options, minor) and length != UNTIL_CLOSE,
    )


def parse_count(values: dict[bytes, list[bytes]], key: bytes) -> int | None:
    """Return a header that holds one whole number, or None when it is absent.

    :raises FramingError: it holds anything else.
    """
    found = values.get(key)
    return None if found is None else _parse_length(found)


def encode_chunk(piece: bytes) -> bytes:
    """Frame a piece of a body in chunked transfer coding."""
    return b"%x\r\n%b\r\n" % (len(piece), piece)


def parse_chunk_size(line: bytes) -> int:
    """Return the size that a chunk's first line states, in bytes.

    :raises FramingError: the line is malformed.
    """
    found = _CHUNK_LINE.fullmatch(line)
    if found is None:
        raise FramingError("request-malformed")
    return int(found[1], 16)


class BodyDecoder:
    """Take a body out of the bytes that follow a head.

    :param length: its length in bytes, CHUNKED or UNTIL_CLOSE.
    """

    def __init__(self, length: int) -> None:
        self._length = length
        self._left = max(0, length)
        self._step = "size"
        self._trailers = 0
        #: the whole body has been taken
        self.done = length == 0

    def take(self, buffer: bytearray) -> bytes:
        """Move what belongs to the body from the front of a buffer.

        :raises FramingError: the chunks are malformed.
        """
        if self.done or not buffer:
            return b""
        if self._length == CHUNKED:
            return self._take_chunks(buffer)
        if self._length == UNTIL_CLOSE:
            piece = bytes(buffer)
            buffer.clear()
            return piece
        piece = self._take_counted(buffer)
        self.done = self._left == 0
        return piece

    def finish(self) -> bool:
        """Take in that the connection ended; tell whether the body is whole."""
        if self._length == UNTIL_CLOSE:
            self.done = True
        return self.done

    def _take_counted(self, buffer: bytearray) -> bytes:
        piece = bytes(buffer[: self._left])
        del buffer[: len(piece)]
        self._left -= len(piece)
        return piece

    def _take_chunks(self, buffer: bytearray) -> bytes:
        pieces = []
        while buffer and not self.done:
            if self._step == "data":
                pieces.append(self._take_counted(buffer))
                if self._left:
                    break
                self._step = "data-end"
                continue
            line = _take_line(buffer)
            if line is None:
                break
            self._follow_line(line)
        return b"".join(pieces)

    def _follow_line(self, line: bytes) -> None:
        if self._step == "data-end":
            if line != b"\r\n":
                raise FramingError("request-malformed")
            self._step = "size"
        elif self._step == "size":
            self._left = parse_chunk_size(line)
            self._step = "data" if self._left else "trailer"
        elif line == b"\r\n":
            self.done = True
        else:
            self._trailers += 1
            if self._trailers > MAX_TRAILERS or HEADER_LINE.fullmatch(line) is None:
                raise FramingError("request-malformed")


def _take_line(buffer: bytearray) -> bytes | None:
    end = buffer.find(b"\n", 0, MAX_CHUNK_LINE)
    if end < 0:
        if len(buffer) >= MAX_CHUNK_LINE:
            raise FramingError("request-malformed")
        return None
    line = bytes(buffer[: end + 1])
    del buffer[: end + 1]
    return line


def _parse_lines(block: bytes, dropped: frozenset[bytes]) -> _Fields:
    lines = block.split(b"\r\n") if block else []
    if len(lines) > _MAX_HEADERS:
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
        if key not in dropped:
            forwarded.append(line)
    options = _list_options(values)
    named = options - {b"close", b"keep-alive"}
    if named:
        forwarded = [line for line in forwarded if line.partition(b":")[0].lower() not in named]
    forwarded.append(b"")
    return _Fields(values, b"\r\n".join(forwarded), options)


def _parse_length(values: list[bytes]) -> int:
    if len(values) != 1 or not _DIGITS.fullmatch(values[0]):
        raise FramingError("request-malformed")
    return int(values[0])


def _find_length(values: dict[bytes, list[bytes]], *, minor: int) -> int | None:
    codings = values.get(b"transfer-encoding")
    lengths = values.get(b"content-length")
    if codings is not None:
        if lengths is not None or minor == 0:
            raise FramingError("request-malformed")
        if len(codings) != 1 or codings[0].lower() != b"chunked":
            raise FramingError("transfer-encoding-unsupported")
        return CHUNKED
    return None if lengths is None else _parse_length(lengths)


def _list_options(values: dict[bytes, list[bytes]]) -> set[bytes]:
    lines = values.get(b"connection")
    if lines is None:
        return _NO_OPTIONS
    return {option.strip().lower() for line in lines for option in line.split(b",")} - {b""}


def _keeps_alive(options: set[bytes], minor: int) -> bool:
    if minor == 0:
        return b"keep-alive" in options and b"close" not in options
    return b"close" not in options


def _find_host(values: dict[bytes, list[bytes]], minor: int) -> str:
    hosts = values.get(b"host", [])
    if len(hosts) > 1 or (minor == 1 and not hosts):
        raise FramingError("request-malformed")
    return hosts[0].decode("latin-1") if hosts else ""
