"""Read HTTP/1.1 requests from the bytes that arrive on one connection."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.mesh._calls import BodyRest
from balsamhead.util.http1 import BodyDecoder, FramingError, RequestHead, parse_request_head

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamhead.mesh.model import Limits

__all__ = ("KEPT_BYTES", "Request", "RequestReader")

#: first part of a body that is kept so that the request can be sent again, in bytes; what follows
#: is passed on as it arrives
KEPT_BYTES: Final = 64 << 10
#: unread bytes of the rest of a body above which no more are received
_MAX_UNREAD_BYTES: Final = 64 << 10


class Request(NamedTuple):
    """A request that was received, or whose body is still arriving."""

    head: RequestHead
    #: the whole body, or its first part if ``rest`` is set
    body: bytes
    #: time at which the last byte of these arrived, in s of the event loop's clock
    received_at: float
    #: address and port of the client
    peer: str
    rest: BodyRest | None = None
    #: names, in lower case, of the headers that were left out of those to forward
    excluded_headers: frozenset[bytes] = frozenset()

    def count_held_bytes(self) -> int:
        """Return the number of bytes of the body that are held here."""
        return len(self.body) + (0 if self.rest is None else self.rest.buffered_bytes)

    @property
    def body_bytes(self) -> int:
        """Return the length of the body, in bytes, as far as it is known."""
        return len(self.body) if self.rest is None else max(len(self.body), self.rest.length)

    def may_be_resent(self) -> bool:
        """Return whether the whole body can be sent to another upstream."""
        return self.rest is None or not self.rest.started


class RequestReader:
    """Buffer received bytes and parse the requests in them, in order."""

    def __init__(
        self,
        *,
        get_excluded_headers: Callable[[], frozenset[bytes]],
        streams_bodies: bool = False,
        on_rest_read: Callable[[], None] | None = None,
    ) -> None:
        """Create a reader without data.

        :param get_excluded_headers: returns the names, in lower case, of headers that are not
            forwarded.
        :param streams_bodies: return a request with a long body before all of that has arrived.
        :param on_rest_read: called after each chunk of such a body is read.
        """
        self._get_excluded_headers = get_excluded_headers
        #: what it returned for the last head that was read
        self._excluded_headers: frozenset[bytes] = frozenset()
        self._streams_bodies = streams_bodies
        self._on_rest_read = on_rest_read
        #: address and port of the client
        self.peer = ""
        self._buffer = bytearray()
        self._last_data_at = 0.0
        self._head: RequestHead | None = None
        self._decoder = BodyDecoder(0)
        self._chunks: list[bytes] = []
        self._body_bytes = 0
        #: body of the last request that was returned, if it is still arriving
        self._rest: BodyRest | None = None

    def __len__(self) -> int:
        return len(self._buffer)

    def add(self, data: bytes, now: float) -> None:
        """Add received bytes.

        :param now: current time, in s of the event loop's clock.
        """
        self._buffer += data
        self._last_data_at = now

    def has_data(self) -> bool:
        """Return whether bytes of a request have arrived that :meth:`read` has not returned."""
        return bool(self._buffer) or self._head is not None

    def is_streaming(self) -> bool:
        """Return whether the body of the last request that was returned is still arriving."""
        return self._rest is not None

    def is_receiving_body(self) -> bool:
        """Return whether a body is incomplete of which some bytes have arrived."""
        return self._head is not None and self._body_bytes > 0

    def is_rest_full(self) -> bool:
        """Return whether the body that is arriving is read more slowly than it arrives."""
        return self._rest is not None and self._rest.buffered_bytes > _MAX_UNREAD_BYTES

    def count_held_bytes(self) -> int:
        """Return the number of bytes of a body that is held here, and in no request yet."""
        return 0 if self._rest is not None else self._body_bytes

    def get_missing_bytes(self) -> int:
        """Return how many bytes of a body of known length have not arrived yet."""
        head = self._head
        return 0 if head is None else max(0, head.length - self._body_bytes)

    def fail_rest(self, code: str) -> None:
        """End the body that is arriving as truncated."""
        if self._rest is not None:
            self._rest.fail(code)

    def awaits_continue(self) -> bool:
        """Return whether the client waits for a 100 response before it sends the body."""
        head = self._head
        return (
            head is not None
            and head.expects_continue
            and not self._decoder.done
            and not self._body_bytes
            and not self._buffer
        )

    def read(self, limits: Limits) -> Request | None:
        """Return the next request, or None if it is not complete.

        While a body is arriving, its received bytes are passed on and None is returned.

        :raises FramingError: the request violates HTTP/1.x or a limit.
        """
        if self._rest is not None:
            self._read_rest(self._rest, limits)
            return None
        head = self._head or self._read_head(limits)
        if head is None:
            return None
        chunk = self._decode_chunk(limits)
        if chunk:
            self._chunks.append(chunk)
        if self._decoder.done:
            request = self._make_request(head, b"".join(self._chunks), None)
            self._head, self._chunks, self._body_bytes = None, [], 0
            return request
        if self._streams_bodies and self._body_bytes >= KEPT_BYTES:
            return self._begin_rest(head)
        return None

    def _decode_chunk(self, limits: Limits) -> bytes:
        chunk = self._decoder.decode(self._buffer)
        self._body_bytes += len(chunk)
        if self._body_bytes > limits.body_bytes:
            raise FramingError("body-too-large")
        return chunk

    def _begin_rest(self, head: RequestHead) -> Request:
        """Return a request whose body is still arriving."""
        received = b"".join(self._chunks)
        self._chunks = []
        self._rest = BodyRest(head.length)
        self._rest.on_read = self._on_rest_read
        self._rest.push(received[KEPT_BYTES:])
        return self._make_request(head, received[:KEPT_BYTES], self._rest)

    def _make_request(self, head: RequestHead, body: bytes, rest: BodyRest | None) -> Request:
        return Request(head, body, self._last_data_at, self.peer, rest, self._excluded_headers)

    def _read_rest(self, rest: BodyRest, limits: Limits) -> None:
        rest.push(self._decode_chunk(limits))
        if self._decoder.done:
            self._head, self._body_bytes, self._rest = None, 0, None
            rest.finish()

    def _read_head(self, limits: Limits) -> RequestHead | None:
        while self._buffer.startswith(b"\r\n"):
            del self._buffer[:2]
        end = self._buffer.find(b"\r\n\r\n")
        if end + 4 > limits.header_bytes or (end < 0 and len(self._buffer) > limits.header_bytes):
            raise FramingError("headers-too-large")
        if end < 0:
            return None
        block = bytes(self._buffer[: end + 4])
        del self._buffer[: end + 4]
        self._excluded_headers = self._get_excluded_headers()
        head = parse_request_head(block, excluded_headers=self._excluded_headers)
        if head.length > limits.body_bytes:
            raise FramingError("body-too-large")
        self._head, self._decoder = head, BodyDecoder(head.length)
        return head
