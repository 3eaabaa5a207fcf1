"""Call the platform's store: append to its topics, read them, and read the newest of each key."""

from __future__ import annotations

import asyncio
import base64
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
from balsamhead.util.heads import (
    CONNECTION_HEADERS,
    UNTIL_CLOSE,
    AnswerStart,
    BodyDecoder,
    FramingError,
    parse_answer,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ("Batch", "KeyedRecord", "Newest", "StoreClient")

#: longest wait for a connection to the store, in s
_CONNECT_TIMEOUT_S: Final = 0.8
#: longest wait for an answer that isn't a long poll, in s
_ANSWER_TIMEOUT_S: Final = 1.5
#: bound on an answer, in bytes
_MAX_ANSWER_BYTES: Final = 8 << 20
#: bound on an answer's head, in bytes
_MAX_HEAD_BYTES: Final = 16 << 10
_BOUNDS: Final = struct.Struct(">QQ")
_LENGTH: Final = struct.Struct(">I")

T = TypeVar("T")


class KeyedRecord(NamedTuple):
    """Hold a record of a keyed topic; an empty value drops the key."""

    offset: int
    key: str
    value: bytes


class Batch(NamedTuple):
    """Hold the records that a read returned."""

    records: tuple[KeyedRecord, ...]
    #: offset after the last record of the partition
    end: int


class Newest(NamedTuple):
    """Hold the newest record of each key."""

    records: tuple[KeyedRecord, ...]
    #: offset to read on from
    end: int


class _Answer(NamedTuple):
    status: int
    body: bytes


class _Appended(msgspec.Struct):
    offset: int
    end: int


class _End(msgspec.Struct):
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
    """Call the store, each call on a connection of its own: a lost answer harms no other."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._peer = address
        #: calls made, by path
        self.calls: dict[str, int] = {}

    async def append_keyed(
        self, topic: str, key: str, value: bytes, *, at: int | None = None
    ) -> int:
        """Append a record to a keyed topic and return the partition's new end.

        :param at: append only if the partition ends there.
        :raises LogConflictError: the partition ends elsewhere.
        :raises LogUnavailableError: nothing was written.
        :raises LogOutcomeUnknownError: the record may have been written.
        """
        name = key.encode()
        content = bytes((len(name),)) + name + value
        query: dict[str, object] = {"topic": topic, "part": 0}
        if at is not None:
            query["at"] = at
        answer = await self._call(
            "POST", "/log-append", query, _LENGTH.pack(len(content)) + content, writes=True
        )
        if answer.status == 200:
            return self._decode(answer.body, _Appended, "append-record").end
        if answer.status == 412:
            end = self._decode(answer.body, _End, "append-record").end
            raise LogConflictError(end, step="append-record", peer=self._peer)
        raise self._unavailable("append-record", f"status {answer.status}")

    async def read(self, topic: str, start: int, *, wait_s: float) -> Batch:
        """Read the records of a keyed topic from an offset on, waiting for the first one.

        :raises LogExpiredError: the records at the offset are gone.
        :raises LogUnavailableError: the store gave no usable answer.
        """
        query = {"topic": topic, "part": 0, "from": start, "wait_ms": int(wait_s * 1000)}
        answer = await self._call("GET", "/log-read", query, wait_s=wait_s)
        if answer.status == 410:
            raise LogExpiredError("read the newest of each key", step="read-records")
        if answer.status != 200:
            raise self._unavailable("read-records", f"status {answer.status}")
        return self._decode_batch(answer.body, start)

    async def read_newest(self, topic: str) -> Newest:
        """Read the newest record of each key of a topic.

        :raises LogUnavailableError: the store gave no usable answer.
        """
        records: list[KeyedRecord] = []
        query: dict[str, object] = {"topic": topic, "part": 0}
        end: int | None = None
        while True:
            answer = await self._call("GET", "/log-newest", query)
            if answer.status != 200:
                raise self._unavailable("read-newest", f"status {answer.status}")
            page = self._decode(answer.body, _Page, "read-newest")
            records.extend(self._decode_item(item) for item in page.items)
            # pages are no snapshot: what came after the first one is read again
            end = page.end if end is None else end
            if not page.has_more or not page.items:
                return Newest(tuple(records), end)
            query["after"] = page.items[-1].key

    def _decode_item(self, item: _Item) -> KeyedRecord:
        try:
            return KeyedRecord(item.offset, item.key, base64.b64decode(item.value))
        except ValueError as exc:
            raise self._unavailable("read-newest", exc) from exc

    def _decode_batch(self, body: bytes, start: int) -> Batch:
        if len(body) < _BOUNDS.size:
            raise self._unavailable("read-records", "answer too short")
        end, _first = _BOUNDS.unpack_from(body)
        records = []
        at, offset = _BOUNDS.size, start
        while at + _LENGTH.size <= len(body):
            (size,) = _LENGTH.unpack_from(body, at)
            content = body[at + _LENGTH.size : at + _LENGTH.size + size]
            if len(content) < size or not content:
                break
            key_end = 1 + content[0]
            key = content[1:key_end].decode("utf-8", "replace")
            records.append(KeyedRecord(offset, key, content[key_end:]))
            at += _LENGTH.size + size
            offset += 1
        return Batch(tuple(records), end)

    def _decode(self, body: bytes, kind: type[T], step: str) -> T:
        try:
            return msgspec.json.decode(body, type=kind)
        except (msgspec.DecodeError, ValueError) as exc:
            raise self._unavailable(step, exc) from exc

    async def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, object],
        body: bytes = b"",
        *,
        writes: bool = False,
        wait_s: float = 0.0,
    ) -> _Answer:
        self.calls[path] = self.calls.get(path, 0) + 1
        step = path[1:]
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(self._host, self._port)
        except OSError as exc:
            raise self._unavailable(step, exc) from exc
        try:
            head = (
                f"{method} {path}?{urlencode(query)} HTTP/1.1\r\nHost: {self._peer}\r\n"
                f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            )
            writer.write(head.encode("ascii") + body)
            async with asyncio.timeout(_ANSWER_TIMEOUT_S + wait_s):
                answer = await _read_answer(reader, method)
        except (OSError, EOFError, FramingError, asyncio.LimitOverrunError) as exc:
            if writes:
                raise LogOutcomeUnknownError(
                    f"the record may have been written: {exc!r}", step=step, peer=self._peer
                ) from exc
            raise self._unavailable(step, exc) from exc
        finally:
            writer.transport.abort()
        return answer

    def _unavailable(self, step: str, cause: object) -> LogUnavailableError:
        return LogUnavailableError(
            f"the store gave no usable answer: {cause!r}", step=step, peer=self._peer
        )


async def _read_answer(reader: asyncio.StreamReader, method: str) -> _Answer:
    start = await _read_start(reader, method)
    decoder = BodyDecoder(start.length)
    buffer, pieces, size = bytearray(), [], 0
    while not decoder.done:
        data = await reader.read(65536)
        if not data:
            if start.length != UNTIL_CLOSE:
                raise EOFError
            decoder.finish()
        buffer += data
        piece = decoder.take(buffer)
        pieces.append(piece)
        size += len(piece)
        if size > _MAX_ANSWER_BYTES:
            raise FramingError("answer-too-large")
    return _Answer(start.status, b"".join(pieces))


async def _read_start(reader: asyncio.StreamReader, method: str) -> AnswerStart:
    block = await reader.readuntil(b"\r\n\r\n")
    if len(block) > _MAX_HEAD_BYTES:
        raise FramingError("headers-too-large")
    return parse_answer(block, method=method, dropped=CONNECTION_HEADERS)
