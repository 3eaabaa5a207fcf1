"""Read and write HTTP/1.1 messages for the stand-ins of the review."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

#: longest head of a message, in bytes
HEAD_LIMIT = 64 << 10


class Message(NamedTuple):
    """A request or a response."""

    #: words of the first line
    start: list[str]
    #: header values by name in lower case
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message whose body has a length or comes in chunks.

    :raises EOFError: the connection has ended before the message was complete.
    """
    block = await reader.readuntil(b"\r\n\r\n")
    lines = block.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await _read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(lines[0].split(" ", 2), headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while size := int((await reader.readline()).split(b";")[0], 16):
        parts.append(await reader.readexactly(size))
        await reader.readline()
    while await reader.readline() != b"\r\n":
        pass
    return b"".join(parts)


def encode_response(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def send_request(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    *,
    headers: dict[str, str] | None = None,
    timeout_s: float = 2.0,
) -> Message:
    """Send one request on a new connection and return the response.

    :raises OSError: no connection, or no response in time.
    :raises EOFError: the connection has ended before the response was complete.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port), limit=HEAD_LIMIT)
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            if body or method in ("POST", "PUT"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            return await read_message(reader)
        finally:
            writer.transport.abort()


class KeptConnection:
    """A client's connection that is used for one request after another."""

    def __init__(self, address: str) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Open the connection, unless it is open.

        :raises OSError: it can't be opened.
        """
        if self._writer is None:
            async with asyncio.timeout(1.0):
                self._reader, self._writer = await asyncio.open_connection(
                    self._host, self._port, limit=HEAD_LIMIT
                )

    async def request(self, path: str, headers: dict[str, str], *, timeout_s: float) -> Message:
        """Send a GET request on the open connection and return the response.

        :raises TimeoutError: no response in time.
        :raises OSError: the connection was lost.
        :raises EOFError: the connection has ended before the response was complete.
        """
        assert self._reader is not None
        assert self._writer is not None
        lines = [f"GET {path} HTTP/1.1", *(f"{name}: {text}" for name, text in headers.items())]
        async with asyncio.timeout(timeout_s):
            self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            answer = await read_message(self._reader)
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None
