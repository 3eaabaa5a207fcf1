"""Stand in for the platform's store on its published protocol, with its failures on demand."""

from __future__ import annotations

import asyncio
import base64
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
#: rows on one page of newest records
_PAGE_ROWS: Final = 500
_LENGTH: Final = struct.Struct(">I")


class StoreFaults:
    """Say how the store is to fail."""

    def __init__(self) -> None:
        #: status that answers every call; 0 for none
        self.status = 0
        #: calls are not answered at all
        self.silent = False
        #: appends that are done and not answered
        self.lost_answers = 0
        #: every answer comes this much late, in s
        self.delay_s = 0.0
        #: hosts that are turned away with 503
        self.refused_hosts: set[str] = set()
        #: records that reads don't show yet, counted from the end
        self.stale_records = 0


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
        size = content[0]
        row = _Record(content[1 : 1 + size].decode(), content[1 + size :], content)
        if row.value:
            self.newest[row.key] = (self.end, row.value)
        else:
            self.newest.pop(row.key, None)
        self.records.append(row)


class PlatformStore:
    """Serve keyed topics over HTTP."""

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.calls: list[str] = []
        self._topics: dict[str, _Partition] = {}
        self._changed = asyncio.Event()
        self._server = HttpServer(self._answer, get_limits=lambda: _LIMITS)

    async def start(self, address: str) -> None:
        """Listen."""
        await self._server.start(address)

    def put(self, topic: str, key: str, value: object) -> None:
        """Append a record as the operator does."""
        name = key.encode()
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._get(topic).append(bytes((len(name),)) + name + data)
        self._wake()

    def read_newest(self, topic: str) -> dict[str, Any]:
        """Return the newest values by key, decoded when they are JSON."""
        found: dict[str, Any] = {}
        for key, (_, value) in self._get(topic).newest.items():
            try:
                found[key] = json.loads(value)
            except ValueError:
                found[key] = value
        return found

    def forget_history(self, topic: str) -> None:
        """Drop the records of a topic but the newest of each key."""
        partition = self._get(topic)
        partition.first = partition.end
        partition.records.clear()

    def _get(self, topic: str) -> _Partition:
        return self._topics.setdefault(topic, _Partition())

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, request: Request) -> Reply:
        path = request.start.path
        self.calls.append(path)
        faults = self.faults
        if faults.silent:
            await asyncio.sleep(3600)
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if request.peer.split(":")[0] in faults.refused_hosts:
            return Reply(503)
        if faults.status:
            return Reply(faults.status)
        raw = parse_qs(request.start.target.partition(b"?")[2].decode())
        query = {key: values[0] for key, values in raw.items()}
        match path:
            case "/log-append":
                return await self._append(query, request.body)
            case "/log-read":
                return await self._read(query)
            case "/log-newest":
                return self._newest(query)
        return Reply(404)

    async def _append(self, query: dict[str, str], body: bytes) -> Reply:
        partition = self._get(query["topic"])
        if "at" in query and int(query["at"]) != partition.end:
            return _json(412, {"end": partition.end})
        offset = partition.end
        at = 0
        while at < len(body):
            (size,) = _LENGTH.unpack_from(body, at)
            partition.append(body[at + _LENGTH.size : at + _LENGTH.size + size])
            at += _LENGTH.size + size
        self._wake()
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            return Reply(0, abort=True)
        return _json(200, {"offset": offset, "end": partition.end})

    async def _read(self, query: dict[str, str]) -> Reply:
        partition = self._get(query["topic"])
        start, wait_s = int(query["from"]), int(query.get("wait_ms", "0")) / 1000
        if start < partition.first:
            return _json(410, {"first": partition.first})
        if self._visible_end(partition) <= start and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    while self._visible_end(partition) <= start:
                        await self._changed.wait()
            except TimeoutError:
                pass
        rows = partition.records[start - partition.first :]
        rows = rows[: max(0, self._visible_end(partition) - start)]
        body = struct.pack(">QQ", self._visible_end(partition), partition.first)
        for row in rows:
            body += _LENGTH.pack(len(row.content)) + row.content
        return Reply(200, body)

    def _visible_end(self, partition: _Partition) -> int:
        return max(partition.first, partition.end - self.faults.stale_records)

    def _newest(self, query: dict[str, str]) -> Reply:
        partition = self._get(query["topic"])
        after = query.get("after", "")
        rows = sorted((key, row) for key, row in partition.newest.items() if key > after)
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in rows[:_PAGE_ROWS]
        ]
        more = len(rows) > _PAGE_ROWS
        return _json(200, {"items": items, "has_more": more, "end": partition.end})


def _json(status: int, body: object) -> Reply:
    return Reply(status, json.dumps(body).encode(), b"Content-Type: application/json\r\n")
