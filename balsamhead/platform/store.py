"""HTTP client of the platform's store, which keeps append-only topics of keyed records."""

from __future__ import annotations

import asyncio
import base64
import logging
import math
import struct
from typing import TYPE_CHECKING, Final, NamedTuple, TypeVar
from urllib.parse import urlencode

import msgspec

from balsamhead.errors import (
    LogConflictError,
    LogExpiredError,
    LogOutcomeUnknownError,
    LogUnavailableError,
)
from balsamhead.util.addresses import parse_address
from balsamhead.util.http1 import (
    CONNECTION_HEADERS,
    UNTIL_CLOSE,
    BodyDecoder,
    FramingError,
    ResponseHead,
    parse_integer_header,
    parse_response_head,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ("Batch", "KeyedRecord", "NewestRecords", "StoreClient")

logger = logging.getLogger(__name__)

#: timeout for opening a connection to the store, in s
_CONNECT_TIMEOUT_S: Final = 0.8
#: timeout for a response, in s; the waiting time of a long poll is added to it
_RESPONSE_TIMEOUT_S: Final = 1.5
#: maximum size of a response body, in bytes
_MAX_BODY_BYTES: Final = 8 << 20
#: maximum size of a response's status line and headers, in bytes
_MAX_HEAD_BYTES: Final = 16 << 10
#: prefix of the response to a read: end offset and first offset of the partition
_PARTITION_BOUNDS: Final = struct.Struct(">QQ")
#: length in bytes that precedes each record
_RECORD_LENGTH: Final = struct.Struct(">I")

T = TypeVar("T")


class KeyedRecord(NamedTuple):
    """Record of a keyed topic; an empty value deletes the key."""

    offset: int
    key: str
    value: bytes


class Batch(NamedTuple):
    """Records that a read has returned."""

    records: tuple[KeyedRecord, ...]
    #: offset of the next record that will be appended to the partition
    end: int
    #: era of the store that responded
    era: int


class NewestRecords(NamedTuple):
    """Newest record of each key of a topic."""

    records: tuple[KeyedRecord, ...]
    #: offset from which to read the records that follow
    end: int
    #: era of the store that responded
    era: int


class _Response(NamedTuple):
    status: int
    #: number of times that the store was restored from an older copy; 0 if it doesn't say
    era: int
    body: bytes


class _AppendResponse(msgspec.Struct):
    offset: int
    end: int


class _ConflictResponse(msgspec.Struct):
    end: int = 0
    first: int = 0


class _Item(msgspec.Struct):
    key: str
    value: str
    offset: int


class _Page(msgspec.Struct):
    items: list[_Item]
    has_more: bool
    end: int


class StoreClient:
    """Send requests to the store.

    Each request has its own connection, so that a lost response affects no other request.
    """

    def __init__(self, address: str) -> None:
        self._host, self._port = parse_address(address)
        self._address = address
        #: number of requests sent, by path
        self.calls: dict[str, int] = {}
        #: highest era of the store in a response
        self.era = 0
        #: shortest time in which a connection was opened, in s
        self.round_trip_s = math.inf

    async def append_keyed(
        self, topic: str, key: str, value: bytes, *, expected_end: int | None = None
    ) -> int:
        """Append a record to a keyed topic and return the partition's new end.

        :param expected_end: append only if the partition ends at this offset.
        :raises LogConflictError: the partition ends at another offset.
        :raises LogUnavailableError: nothing was written.
        :raises LogOutcomeUnknownError: the record may have been written.
        """
        encoded_key = key.encode()
        payload = bytes((len(encoded_key),)) + encoded_key + value
        query: dict[str, object] = {"topic": topic, "part": 0}
        if expected_end is not None:
            query["at"] = expected_end
        response = await self._send_request(
            "POST",
            "/log-append",
            query,
            _RECORD_LENGTH.pack(len(payload)) + payload,
            is_append=True,
        )
        if response.status == 200:
            return self._decode_json(response.body, _AppendResponse, "append-record").end
        if response.status == 412:
            end = self._decode_json(response.body, _ConflictResponse, "append-record").end
            raise LogConflictError(end, step="append-record", peer=self._address)
        raise self._make_unavailable_error("append-record", f"status {response.status}")

    async def read(self, topic: str, start: int, *, wait_s: float) -> Batch:
        """Return the records of a keyed topic from an offset on.

        :param wait_s: maximum wait for a first record, in s.
        :raises LogExpiredError: the store no longer keeps the records at the offset.
        :raises LogUnavailableError: the store gave no valid response.
        """
        query = {"topic": topic, "part": 0, "from": start, "wait_ms": int(wait_s * 1000)}
        response = await self._send_request("GET", "/log-read", query, wait_s=wait_s)
        if response.status == 410:
            raise LogExpiredError(
                "records at this offset are gone; read the newest of each key", step="read-records"
            )
        if response.status != 200:
            raise self._make_unavailable_error("read-records", f"status {response.status}")
        return self._decode_batch(response, start)

    async def read_newest(self, topic: str) -> NewestRecords:
        """Return the newest record of each key of a topic.

        :raises LogUnavailableError: the store gave no valid response.
        """
        records: list[KeyedRecord] = []
        query: dict[str, object] = {"topic": topic, "part": 0}
        end: int | None = None
        while True:
            response = await self._send_request("GET", "/log-newest", query)
            if response.status != 200:
                raise self._make_unavailable_error("read-newest", f"status {response.status}")
            page = self._decode_json(response.body, _Page, "read-newest")
            records.extend(self._decode_item(item) for item in page.items)
            # The pages aren't one consistent snapshot. Reading on from the end offset of the first
            # page covers all records that were appended while the others were read.
            end = page.end if end is None else end
            if not page.has_more or not page.items:
                return NewestRecords(tuple(records), end, response.era)
            query["after"] = page.items[-1].key

    def _decode_item(self, item: _Item) -> KeyedRecord:
        try:
            return KeyedRecord(item.offset, item.key, base64.b64decode(item.value))
        except ValueError as exc:
            raise self._make_unavailable_error("read-newest", exc) from exc

    def _decode_batch(self, response: _Response, start: int) -> Batch:
        body = response.body
        if len(body) < _PARTITION_BOUNDS.size:
            raise self._make_unavailable_error("read-records", "response too short")
        end, _first = _PARTITION_BOUNDS.unpack_from(body)
        records = []
        position, offset = _PARTITION_BOUNDS.size, start
        while position + _RECORD_LENGTH.size <= len(body):
            (size,) = _RECORD_LENGTH.unpack_from(body, position)
            payload = body[position + _RECORD_LENGTH.size : position + _RECORD_LENGTH.size + size]
            if len(payload) < size or not payload:
                break
            key_end = 1 + payload[0]
            key = payload[1:key_end].decode("utf-8", "replace")
            records.append(KeyedRecord(offset, key, payload[key_end:]))
            position += _RECORD_LENGTH.size + size
            offset += 1
        return Batch(tuple(records), end, response.era)

    def _decode_json(self, body: bytes, response_type: type[T], step: str) -> T:
        try:
            return msgspec.json.decode(body, type=response_type)
        except (msgspec.DecodeError, ValueError, RecursionError) as exc:
            raise self._make_unavailable_error(step, exc) from exc

    async def _send_request(
        self,
        method: str,
        path: str,
        query: Mapping[str, object],
        body: bytes = b"",
        *,
        is_append: bool = False,
        wait_s: float = 0.0,
    ) -> _Response:
        self.calls[path] = self.calls.get(path, 0) + 1
        step = path[1:]
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(self._host, self._port)
        except OSError as exc:
            raise self._make_unavailable_error(step, exc) from exc
        self.round_trip_s = min(self.round_trip_s, loop.time() - started_at)
        try:
            head = (
                f"{method} {path}?{urlencode(query)} HTTP/1.1\r\nHost: {self._address}\r\n"
                f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            )
            writer.write(head.encode("ascii") + body)
            async with asyncio.timeout(_RESPONSE_TIMEOUT_S + wait_s):
                response = await _read_response(reader, method)
        except (OSError, EOFError, FramingError, asyncio.LimitOverrunError) as exc:
            if is_append:
                raise LogOutcomeUnknownError(
                    f"no valid response, the record may have been written: {exc!r}",
                    step=step,
                    peer=self._address,
                ) from exc
            raise self._make_unavailable_error(step, exc) from exc
        finally:
            writer.transport.abort()
        if response.era > self.era:
            logger.info("store-era", extra={"era": response.era, "previous": self.era})
            self.era = response.era
        return response

    def _make_unavailable_error(self, step: str, cause: object) -> LogUnavailableError:
        return LogUnavailableError(
            f"no valid response from the store: {cause!r}", step=step, peer=self._address
        )


async def _read_response(reader: asyncio.StreamReader, method: str) -> _Response:
    head = await _read_response_head(reader, method)
    decoder = BodyDecoder(head.length)
    buffer, chunks, size = bytearray(), [], 0
    while not decoder.done:
        data = await reader.read(65536)
        if not data:
            if head.length != UNTIL_CLOSE:
                raise EOFError
            decoder.finish()
        buffer += data
        chunk = decoder.decode(buffer)
        chunks.append(chunk)
        size += len(chunk)
        if size > _MAX_BODY_BYTES:
            raise FramingError("answer-too-large")
    return _Response(head.status, _parse_era(head), b"".join(chunks))


def _parse_era(head: ResponseHead) -> int:
    try:
        return parse_integer_header(head.headers, b"store-era") or 0
    except FramingError:
        return 0


async def _read_response_head(reader: asyncio.StreamReader, method: str) -> ResponseHead:
    block = await reader.readuntil(b"\r\n\r\n")
    if len(block) > _MAX_HEAD_BYTES:
        raise FramingError("headers-too-large")
    return parse_response_head(block, method=method, excluded_headers=CONNECTION_HEADERS)
