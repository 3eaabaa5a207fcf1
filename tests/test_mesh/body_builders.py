"""Clients that send the body of a request in parts, and the bodies that they send."""

from __future__ import annotations

import asyncio
import random

from tests.test_mesh.builders import (
    NODE_1,
    InMemoryCluster,
    Response,
    read_response,
)

#: size of the parts in which bodies arrive, in bytes
PART_BYTES = 16 << 10


def make_body(size: int, *, seed: int = 1) -> bytes:
    """Return bytes among which no part equals another."""
    return random.Random(seed).randbytes(size)


class BodyClient:
    """A client's connection on which the body of one request is sent in parts."""

    def __init__(
        self,
        body: bytes,
        *,
        path: str = "/accept/1",
        chunked: bool = False,
        headers: str = "",
        deadline_ms: int = 1000,
        request_id: str = "b1",
    ) -> None:
        self.body = body
        self.chunked = chunked
        framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {len(body)}"
        self.head = (
            f"POST {path} HTTP/1.1\r\nHost: plots.example\r\nRequest-Id: {request_id}\r\n"
            f"Deadline-Ms: {deadline_ms}\r\n{headers}{framing}\r\n\r\n"
        ).encode()
        self.sent = 0
        self.reader = asyncio.StreamReader()
        self.writer: asyncio.StreamWriter

    async def open(self, address: str = NODE_1.caller_address) -> None:
        """Connect and send the head."""
        host, _, port = address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.writer.write(self.head)

    async def send(self, size: int | None = None) -> None:
        """Send more of the body; all that is left by default, and then its end."""
        end = len(self.body) if size is None else min(len(self.body), self.sent + size)
        while self.sent < end:
            part = self.body[self.sent : min(end, self.sent + PART_BYTES)]
            self.sent += len(part)
            self.writer.write(b"%x\r\n%b\r\n" % (len(part), part) if self.chunked else part)
            await asyncio.sleep(0.0005)
        if self.chunked and self.sent == len(self.body):
            self.writer.write(b"0\r\n\r\n")

    async def read(self) -> Response:
        """Return the response."""
        return await read_response(self.reader, "POST")

    def leave(self) -> None:
        """Reset the connection."""
        self.writer.transport.abort()


async def exchange(client: BodyClient, address: str = NODE_1.caller_address) -> Response:
    """Send a whole request and return the response."""
    await client.open(address)
    await client.send()
    return await client.read()


def list_bodies(cluster: InMemoryCluster) -> list[bytes]:
    """Return the bodies that reached upstreams."""
    return [row.body for member in cluster.members.values() for row in member.upstream.requests]


def count_held_bytes(cluster: InMemoryCluster, number: int) -> int:
    """Return the bytes of bodies that a node holds for its callers."""
    return cluster.members[number].node._caller_server._context.body_bytes
