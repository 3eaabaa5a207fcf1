"""A connection to an upstream that answers with raw bytes, and exchanges on it."""

from __future__ import annotations

import asyncio

from balsamhead.mesh._calls import BodyRest, Outcome
from balsamhead.mesh._upstream_connection import UpstreamConnection
from standin.virtual_network import MemoryTransport
from tests.test_mesh.builders import make_call, run_virtual

CALL = make_call(
    target=b"/a?q=1",
    headers=b"Host: a\r\nRequest-Id: r1\r\n",
    version="v1",
    caller_service="registry",
)
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n"
RESPONSE = HEAD + b"Content-Length: 4\r\n\r\nfine"


class RawUpstream(asyncio.Protocol):
    """Server side of a connection: collects received bytes and lets a test write raw bytes."""

    def __init__(self) -> None:
        self.received = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, MemoryTransport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.received += data


async def connect() -> tuple[UpstreamConnection, RawUpstream]:
    loop = asyncio.get_running_loop()
    upstream = RawUpstream()
    await loop.create_server(lambda: upstream, "10.0.0.1", 80)
    _, conn = await loop.create_connection(UpstreamConnection, "10.0.0.1", 80)
    return conn, upstream


def send(
    conn: UpstreamConnection, body: bytes = b"", rest: BodyRest | None = None
) -> asyncio.Future[Outcome]:
    return conn.send(
        CALL,
        body,
        rest=rest,
        upstream_id="i-1",
        remaining_ms=900,
        on_complete=lambda outcome: None,
    )


async def exchange(*chunks: bytes, reset: bool = False, close: bool = False) -> Outcome:
    conn, upstream = await connect()
    future = send(conn)
    await asyncio.sleep(0.01)
    for chunk in chunks:
        upstream.transport.write(chunk)
        await asyncio.sleep(0.01)
    if reset:
        upstream.transport.abort()
    if close:
        upstream.transport.close()
    await asyncio.sleep(0.01)
    conn.cancel(CALL, "deadline-passed")
    return await future


def run_exchange(*chunks: bytes, reset: bool = False, close: bool = False) -> Outcome:
    outcomes: list[Outcome] = []

    async def main() -> None:
        outcomes.append(await exchange(*chunks, reset=reset, close=close))

    run_virtual(main)
    return outcomes[0]
