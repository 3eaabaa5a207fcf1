"""Upstreams that read bodies at a rate, and clients that send large ones, as processes."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from typing import Final

__all__ = ("ANNOUNCE_INTERVAL_S", "main")

#: interval of an upstream's announcements, in s
ANNOUNCE_INTERVAL_S: Final = 1.5
#: bytes that are read or written at once
_PART_BYTES: Final = 64 << 10
#: slots that an upstream announces
_SLOTS: Final = 32


class BodyUpstream:
    """Read each body at a rate, and answer."""

    def __init__(self, address: str, control: str, service: str, bytes_per_s: float) -> None:
        self._address, self._control, self._service = address, control, service
        self._bytes_per_s = bytes_per_s
        self._born = int(time.time() * 1000)

    async def run(self) -> None:
        """Serve until the process is killed."""
        host, _, port = self._address.rpartition(":")
        await asyncio.start_server(self._serve, host, int(port), limit=_PART_BYTES)
        sequence = 0
        while True:
            sequence += 1
            await self._announce(sequence)
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def _announce(self, sequence: int) -> None:
        body = json.dumps(
            {
                "service": self._service,
                "address": self._address,
                "zone": "east-a",
                "version": "v1",
                "slots": _SLOTS,
                "state": "ready",
                "cold_left": "0ms",
                "sequence": sequence,
                "born": self._born,
            }
        ).encode()
        host, _, port = self._control.rpartition(":")
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return
        head = f"PUT /instances/i-{port} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()
        await asyncio.sleep(0.1)
        writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await self._answer(reader, writer)
        except (OSError, EOFError):
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        fields = dict(
            line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if b": " in line
        )
        missing = int(fields.get(b"content-length", b"0"))
        while missing:
            part = await reader.read(min(missing, _PART_BYTES))
            if not part:
                raise EOFError
            missing -= len(part)
            if self._bytes_per_s:
                await asyncio.sleep(len(part) / self._bytes_per_s)
        writer.write(
            b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nok"
            % fields[b"request-id"]
        )


async def _upload(address: str, path: str, number: int, size: int) -> int:
    """Send a request with a body and return the status of its response; 0 for none."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = (
        f"POST {path} HTTP/1.1\r\nHost: plots.example\r\nRequest-Id: u{number}-{time.time_ns()}\r\n"
        f"Deadline-Ms: 120000\r\nContent-Length: {size}\r\n\r\n"
    )
    try:
        writer.write(head.encode())
        for start in range(0, size, _PART_BYTES):
            writer.write(bytes(min(_PART_BYTES, size - start)))
            await writer.drain()
        return int((await reader.readline()).split()[1])
    except (OSError, EOFError, IndexError):
        return 0
    finally:
        writer.close()


async def _upload_all(address: str, paths: list[str], size: int) -> None:
    started_at = time.monotonic()
    uploads = (_upload(address, path, number, size) for number, path in enumerate(paths))
    statuses = await asyncio.gather(*uploads)
    print(json.dumps({"statuses": statuses, "took_s": time.monotonic() - started_at}))


def main(arguments: list[str]) -> None:
    """Run an upstream, or send bodies."""
    match arguments:
        case ["upstream", address, control, service, rate]:
            asyncio.run(BodyUpstream(address, control, service, float(rate)).run())
        case ["upload", address, size, *paths]:
            asyncio.run(_upload_all(address, paths, int(size)))


if __name__ == "__main__":
    main(sys.argv[1:])
