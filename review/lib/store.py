"""Stand-in for the platform's store: the calls of PROTOCOL.md on keyed topics."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
from urllib.parse import parse_qs

from lib.http import HEAD_LIMIT, Message, encode_response, read_message


class _Partition:
    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}

    def append(self, record: bytes) -> None:
        size = record[0]
        key, value = record[1 : 1 + size].decode(), record[1 + size :]
        if value:
            self.newest[key] = (len(self.records), value)
        else:
            self.newest.pop(key, None)
        self.records.append(record)


class Store:
    """Keep the records of partition 0 of each topic, and lose none."""

    def __init__(self) -> None:
        self._partitions: dict[str, _Partition] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen on "host:port"."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port), limit=HEAD_LIMIT)

    def put(self, topic: str, key: str, value: object) -> None:
        """Append a record of the operator."""
        data = json.dumps(value).encode()
        self._get(topic).append(bytes((len(key),)) + key.encode() + data)
        self._wake()

    def get(self, topic: str, key: str) -> object:
        """Return the newest value of a key as JSON, or None."""
        row = self._get(topic).newest.get(key)
        return None if row is None else json.loads(row[1])

    def _get(self, topic: str) -> _Partition:
        return self._partitions.setdefault(topic, _Partition())

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_message(reader)
                await asyncio.sleep(0.002)
                writer.write(await self._answer(request))
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            writer.transport.abort()

    async def _answer(self, request: Message) -> bytes:
        method, (path, _, text) = request.start[0], request.start[1].partition("?")
        query = {name: values[0] for name, values in parse_qs(text).items()}
        partition = self._get(query["topic"])
        if (method, path) == ("POST", "/log-append"):
            return self._append(partition, query, request.body)
        if (method, path) == ("GET", "/log-read"):
            return await self._read(partition, query)
        if (method, path) == ("GET", "/log-newest"):
            rows = sorted(
                row for row in partition.newest.items() if row[0] > query.get("after", "")
            )
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (offset, value) in rows[:500]
            ]
            return _encode_json(
                200, {"items": items, "has_more": len(rows) > 500, "end": len(partition.records)}
            )
        return encode_response(404)

    def _append(self, partition: _Partition, query: dict[str, str], body: bytes) -> bytes:
        offset = len(partition.records)
        if "at" in query and int(query["at"]) != offset:
            return _encode_json(412, {"end": offset})
        position = 0
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            partition.append(body[position + 4 : position + 4 + size])
            position += 4 + size
        self._wake()
        return _encode_json(200, {"offset": offset, "end": len(partition.records)})

    async def _read(self, partition: _Partition, query: dict[str, str]) -> bytes:
        start = int(query["from"])
        try:
            async with asyncio.timeout(int(query.get("wait_ms", "0")) / 1000):
                while len(partition.records) <= start:
                    await self._changed.wait()
        except TimeoutError:
            pass
        body = struct.pack(">QQ", len(partition.records), 0)
        for record in partition.records[start:]:
            body += struct.pack(">I", len(record)) + record
        return encode_response(200, body)


def _encode_json(status: int, value: object) -> bytes:
    body = json.dumps(value).encode()
    return encode_response(status, body, {"Content-Type": "application/json"})
