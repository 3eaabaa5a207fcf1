"""Serve a replacement for the platform's store on its public protocol, with fault injection."""

from __future__ import annotations

import asyncio
import base64
import copy
import json
import struct
from typing import TYPE_CHECKING, Any, Final, NamedTuple
from urllib.parse import parse_qs

from balsamhead.mesh._server import HttpServer, Reply
from balsamhead.mesh.model import Limits

if TYPE_CHECKING:
    from balsamhead.mesh._server import Request

__all__ = ("PlatformStore", "StoreFaults")

_LIMITS: Final = Limits(16_384, 8 << 20, 10.0, 60.0)
#: largest number of rows in one page of /log-newest
_PAGE_ROWS: Final = 500
#: length prefix of a record in request and response bodies
_LENGTH: Final = struct.Struct(">I")


class StoreFaults:
    """Faults that the store injects."""

    def __init__(self) -> None:
        #: HTTP status of the response to every request; 0 to process requests
        self.status = 0
        #: neither new requests nor those in progress get a response
        self.silent = False
        #: number of upcoming appends that are stored but get no response
        self.lost_responses = 0
        #: delay before each request is processed, in s
        self.delay_s = 0.0
        #: client hosts whose requests, new or in progress, get no response
        self.silent_hosts: set[str] = set()
        #: client hosts whose requests are refused with 503
        self.refused_hosts: set[str] = set()
        #: number of newest records that are not yet visible to reads
        self.hidden_records = 0


class _Record(NamedTuple):
    key: str
    value: bytes
    content: bytes


class _Partition:
    def __init__(self) -> None:
        self.first = 0
        self.records: list[_Record] = []
        self.newest: dict[str, tuple[int, bytes]] = {}

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def append(self, content: bytes) -> None:
        # one byte with the length of the key, the key, the value; an empty value deletes the key
        key_size = content[0]
        record = _Record(content[1 : 1 + key_size].decode(), content[1 + key_size :], content)
        if record.value:
            self.newest[record.key] = (self.end, record.value)
        else:
            self.newest.pop(record.key, None)
        self.records.append(record)


#: topics by name
StoreCopy = dict[str, _Partition]


class PlatformStore:
    """Serve topics of keyed records over HTTP."""

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.calls: list[str] = []
        #: when the reads from an offset began, in s of the loop's clock
        self.read_times: list[float] = []
        #: number of restorations
        self.era = 0
        self._topics: dict[str, _Partition] = {}
        self._changed = asyncio.Event()
        self._server = HttpServer(self._handle, get_limits=lambda: _LIMITS)

    async def start(self, address: str) -> None:
        """Start to listen on "host:port"."""
        await self._server.start(address)

    def put(self, topic: str, key: str, value: object) -> None:
        """Append a record directly, without a request; values other than bytes become JSON."""
        encoded_key = key.encode()
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._get_partition(topic).append(bytes((len(encoded_key),)) + encoded_key + data)
        self._notify_readers()

    def read_newest(self, topic: str) -> dict[str, Any]:
        """Return the newest value of each key, decoded if it is JSON."""
        values: dict[str, Any] = {}
        for key, (_, value) in self._get_partition(topic).newest.items():
            try:
                values[key] = json.loads(value)
            except ValueError:
                values[key] = value
        return values

    def compact(self, topic: str) -> None:
        """Delete the history of a topic and keep the newest value of each key."""
        partition = self._get_partition(topic)
        partition.first = partition.end
        partition.records.clear()

    def copy(self) -> StoreCopy:
        """Return a copy of all topics."""
        return copy.deepcopy(self._topics)

    def restore(self, topics: StoreCopy) -> None:
        """Replace all topics by an earlier copy and begin a new era."""
        self._topics = copy.deepcopy(topics)
        self.era += 1
        self._notify_readers()

    def _get_partition(self, topic: str) -> _Partition:
        return self._topics.setdefault(topic, _Partition())

    def _notify_readers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: Request) -> Reply:
        reply = await self._process(request)
        if self._is_silent_for(request):
            # the response is lost, and the connection returns nothing further
            await asyncio.sleep(3600)
        return reply._replace(headers=reply.headers + b"Store-Era: %d\r\n" % self.era)

    def _is_silent_for(self, request: Request) -> bool:
        return self.faults.silent or request.peer.split(":")[0] in self.faults.silent_hosts

    async def _process(self, request: Request) -> Reply:
        path = request.head.path
        self.calls.append(path)
        if path == "/log-read":
            self.read_times.append(asyncio.get_running_loop().time())
        faults = self.faults
        if self._is_silent_for(request):
            await asyncio.sleep(3600)
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if request.peer.split(":")[0] in faults.refused_hosts:
            return Reply(503)
        if faults.status:
            return Reply(faults.status)
        parameters = parse_qs(request.head.target.partition(b"?")[2].decode())
        query = {key: values[0] for key, values in parameters.items()}
        match path:
            case "/log-append":
                return await self._handle_append(query, request.body)
            case "/log-read":
                return await self._handle_read(query)
            case "/log-newest":
                return self._handle_newest(query)
        return Reply(404)

    async def _handle_append(self, query: dict[str, str], body: bytes) -> Reply:
        partition = self._get_partition(query["topic"])
        if "at" in query and int(query["at"]) != partition.end:
            return _make_json_reply(412, {"end": partition.end})
        offset = partition.end
        position = 0
        while position < len(body):
            (size,) = _LENGTH.unpack_from(body, position)
            partition.append(body[position + _LENGTH.size : position + _LENGTH.size + size])
            position += _LENGTH.size + size
        self._notify_readers()
        if self.faults.lost_responses:
            self.faults.lost_responses -= 1
            return Reply(0, abort=True)
        return _make_json_reply(200, {"offset": offset, "end": partition.end})

    async def _handle_read(self, query: dict[str, str]) -> Reply:
        partition, era = self._get_partition(query["topic"]), self.era
        start, wait_s = int(query["from"]), int(query.get("wait_ms", "0")) / 1000
        if not partition.first <= start <= partition.end:
            return _make_json_reply(410, {"first": partition.first})
        if self._get_visible_end(partition) <= start and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    while self._get_visible_end(partition) <= start and era == self.era:
                        await self._changed.wait()
            except TimeoutError:
                pass
        if era != self.era:
            return Reply(0, abort=True)
        records = partition.records[start - partition.first :]
        records = records[: max(0, self._get_visible_end(partition) - start)]
        body = struct.pack(">QQ", self._get_visible_end(partition), partition.first)
        for record in records:
            body += _LENGTH.pack(len(record.content)) + record.content
        return Reply(200, body)

    def _get_visible_end(self, partition: _Partition) -> int:
        return max(partition.first, partition.end - self.faults.hidden_records)

    def _handle_newest(self, query: dict[str, str]) -> Reply:
        partition = self._get_partition(query["topic"])
        after = query.get("after", "")
        rows = sorted((key, row) for key, row in partition.newest.items() if key > after)
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in rows[:_PAGE_ROWS]
        ]
        has_more = len(rows) > _PAGE_ROWS
        return _make_json_reply(200, {"items": items, "has_more": has_more, "end": partition.end})


def _make_json_reply(status: int, body: object) -> Reply:
    return Reply(status, json.dumps(body).encode(), b"Content-Type: application/json\r\n")
