"""Build linked nodes and raw peers for the tests."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, TypeVar

from websockets.asyncio.client import connect

from balsamhead.link import Limits, Links
from balsamhead.link._handshake import (
    HandshakeMessage,
    Hello,
    build_hello,
    decode_handshake_message,
)
from balsamhead.membership import Place
from balsamhead.node import Identity
from balsamhead.util import codec

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from websockets.asyncio.client import ClientConnection
    from websockets.asyncio.connection import Connection

    from balsamhead.events import Event

KEY = b"0123456789abcdef0123456789abcdef"
EAST = Place("east-a", "east")
WEST = Place("west-a", "west")

#: timeout of each wait for an event, in s
EVENT_TIMEOUT_S = 20

E = TypeVar("E")


def build_identity(node: str, *, place: Place = EAST, environment: str = "trial") -> Identity:
    return Identity(node, 1, place, "127.0.0.1:1", environment)


class LinkNode:
    """Links of one node, and a queue of the events that they emit."""

    def __init__(
        self, node: str, *, key: bytes, place: Place, environment: str, limits: Limits | None
    ) -> None:
        self.queue: asyncio.Queue[Event] = asyncio.Queue()
        self.links = Links.from_config(
            identity=build_identity(node, place=place, environment=environment),
            key=key,
            listen="127.0.0.1:0",
            emit=self.queue.put_nowait,
            limits=limits,
        )

    async def wait_for(self, event_type: type[E]) -> E:
        """Return the next event; fail if it is of another type."""
        event = await asyncio.wait_for(self.queue.get(), EVENT_TIMEOUT_S)
        assert isinstance(event, event_type), event
        return event


@asynccontextmanager
async def open_node(
    node: str,
    *,
    key: bytes = KEY,
    place: Place = EAST,
    environment: str = "trial",
    limits: Limits | None = None,
) -> AsyncIterator[LinkNode]:
    link_node = LinkNode(node, key=key, place=place, environment=environment, limits=limits)
    await link_node.links.start()
    try:
        yield link_node
    finally:
        await link_node.links.stop()


@asynccontextmanager
async def open_raw(link_node: LinkNode) -> AsyncIterator[ClientConnection]:
    """Open a WebSocket connection to a node without the link handshake."""
    async with connect(
        f"ws://{link_node.links.address}/link", compression=None, proxy=None, ping_interval=None
    ) as conn:
        yield conn


async def receive_handshake_message(conn: Connection) -> HandshakeMessage:
    return decode_handshake_message(
        await asyncio.wait_for(conn.recv(), EVENT_TIMEOUT_S), peer="raw"
    )


async def exchange_hellos(conn: Connection, own: Hello) -> Hello:
    await conn.send(codec.encode(own))
    other = await receive_handshake_message(conn)
    assert isinstance(other, Hello), other
    return other


def build_raw_hello(node: str = "raw", *, nonce: bytes = b"n" * 32) -> Hello:
    return build_hello(build_identity(node), nonce)
