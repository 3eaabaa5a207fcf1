from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from websockets.exceptions import ConnectionClosed

from balsamhead.events import ConnectFailed, LinkClosed, LinkOpened, MessageReceived
from balsamhead.link import Limits, TrafficKey
from balsamhead.link._handshake import compute_proof
from balsamhead.util import codec
from balsamhead.wire import Announce, Heartbeat, encode_message
from tests.test_link.builders import (
    EVENT_TIMEOUT_S,
    KEY,
    WEST,
    LinkNode,
    build_raw_hello,
    exchange_hellos,
    open_node,
    open_raw,
    receive_handshake_message,
)

if TYPE_CHECKING:
    from websockets.asyncio.connection import Connection


async def link(opener: LinkNode, acceptor: LinkNode) -> None:
    opener.links.connect(acceptor.links.address)
    await opener.wait_for(LinkOpened)
    await acceptor.wait_for(LinkOpened)


def test_messages_arrive_in_order_in_both_directions() -> None:
    async def run() -> None:
        async with open_node("a") as a, open_node("b", place=WEST) as b:
            a.links.connect(b.links.address)
            opened = await a.wait_for(LinkOpened)
            assert opened == LinkOpened("b", b.links.address, WEST, False)
            assert (await b.wait_for(LinkOpened)).inbound

            for number in range(50):
                a.links.send("b", Heartbeat(number, 0))
            b.links.send("a", Announce(7, b"d"))
            for number in range(50):
                received = await b.wait_for(MessageReceived)
                assert received == MessageReceived("a", Heartbeat(number, 0))
            assert await a.wait_for(MessageReceived) == MessageReceived("b", Announce(7, b"d"))

            sent = a.links.bytes_by_kind[TrafficKey("sent", "heartbeat", True)]
            assert sent == b.links.bytes_by_kind[TrafficKey("received", "heartbeat", True)]
            assert sent > 50 * len(encode_message(Heartbeat(0, 0)))

    asyncio.run(run())


def test_close_reason_reaches_the_peer() -> None:
    async def run() -> None:
        async with open_node("a") as a, open_node("b") as b:
            await link(a, b)
            a.links.close("b", "surplus")
            assert await a.wait_for(LinkClosed) == LinkClosed("b", "surplus")
            assert await b.wait_for(LinkClosed) == LinkClosed("a", "surplus")
            a.links.send("b", Heartbeat(1, 1))
            await link(a, b)

    asyncio.run(run())


def test_refused_connection_is_reported_as_connect_failed() -> None:
    async def run() -> None:
        async with open_node("a") as a:
            async with open_node("b") as b:
                address = b.links.address
            a.links.connect(address)
            assert (await a.wait_for(ConnectFailed)).address == address

    asyncio.run(run())


def test_one_of_two_simultaneously_opened_links_is_kept() -> None:
    async def run() -> None:
        async with open_node("a") as a, open_node("b") as b:
            a.links.connect(b.links.address)
            b.links.connect(a.links.address)
            for number in range(20):
                a.links.send("b", Heartbeat(number, 0))
                await asyncio.sleep(0)
            # both sides must end up with the same link, which carries messages in both directions
            opened = {"a": "", "b": ""}
            for name, link_node in (("a", a), ("b", b)):
                opened[name] = await _wait_for_kept_link(link_node)
            assert opened == {"a": "out", "b": "in"}
            a.links.send("b", Announce(1, b""))
            b.links.send("a", Announce(2, b""))
            assert (await _next_announce(b)).offset == 1
            assert (await _next_announce(a)).offset == 2

    asyncio.run(run())


async def _wait_for_kept_link(link_node: LinkNode) -> str:
    """Wait until the link that node "a" opened is open; return its direction."""
    while True:
        event = await asyncio.wait_for(link_node.queue.get(), EVENT_TIMEOUT_S)
        if isinstance(event, LinkOpened) and event.inbound == (event.peer == "a"):
            return "in" if event.inbound else "out"


async def _next_announce(link_node: LinkNode) -> Announce:
    while True:
        event = await asyncio.wait_for(link_node.queue.get(), EVENT_TIMEOUT_S)
        if isinstance(event, MessageReceived) and isinstance(event.message, Announce):
            return event.message


def test_malformed_message_closes_only_the_link_of_its_sender() -> None:
    async def run() -> None:
        async with open_node("a") as a, open_node("b") as b:
            await link(a, b)
            for bad in (b"\xff\xff", codec.encode(["no-such-kind", 1]), "text"):
                async with open_raw(b) as conn:
                    await _complete_handshake(b, conn)
                    await conn.send(bad)
                    closed = await b.wait_for(LinkClosed)
                    assert closed == LinkClosed("raw", "message-malformed")
                    await asyncio.wait_for(conn.wait_closed(), EVENT_TIMEOUT_S)
            a.links.send("b", Heartbeat(1, 1))
            await b.wait_for(MessageReceived)

    asyncio.run(run())


def test_oversize_message_closes_the_link() -> None:
    async def run() -> None:
        async with (
            open_node("b", limits=Limits(max_message_bytes=10_000)) as b,
            open_raw(b) as conn,
        ):
            await _complete_handshake(b, conn)
            await conn.send(encode_message(Announce(1, b"x" * 9_000)))
            await b.wait_for(MessageReceived)
            await conn.send(encode_message(Announce(1, b"x" * 10_000)))
            assert (await b.wait_for(LinkClosed)).peer == "raw"

    asyncio.run(run())


def test_link_is_closed_when_its_send_queue_is_full() -> None:
    async def run() -> None:
        limits = Limits(max_queue_bytes=100_000)
        async with open_node("a", limits=limits) as a, open_node("b") as b:
            await link(a, b)
            for number in range(20):
                a.links.send("b", Announce(number, b"x" * 10_000))
            assert (await a.wait_for(LinkClosed)).reason == "send-queue-full"

    asyncio.run(run())


def test_links_beyond_the_limit_are_refused() -> None:
    async def run() -> None:
        async with (
            open_node("a", limits=Limits(max_links=1)) as a,
            open_node("b") as b,
            open_node("c") as c,
        ):
            await link(b, a)
            c.links.connect(a.links.address)
            assert (await c.wait_for(ConnectFailed)).reason == "too-many-links"

    asyncio.run(run())


def test_opener_at_its_link_limit_closes_the_new_link_with_the_reason() -> None:
    async def run() -> None:
        async with (
            open_node("a", limits=Limits(max_links=1)) as a,
            open_node("b") as b,
            open_node("c") as c,
        ):
            await link(a, b)
            a.links.connect(c.links.address)
            assert (await a.wait_for(ConnectFailed)).reason == "too-many-links"
            await c.wait_for(LinkOpened)
            assert await c.wait_for(LinkClosed) == LinkClosed("a", "too-many-links")

    asyncio.run(run())


def test_peer_can_replace_a_link_that_is_still_open_on_the_other_side() -> None:
    async def run() -> None:
        async with open_node("b") as b, open_raw(b) as silent, open_raw(b) as fresh:
            await _complete_handshake(b, silent)
            await _complete_handshake(b, fresh, replaces=True)
            await fresh.send(encode_message(Heartbeat(1, 0)))
            assert (await b.wait_for(MessageReceived)).peer == "raw"

    asyncio.run(run())


async def _complete_handshake(
    link_node: LinkNode, conn: Connection, *, replaces: bool = False
) -> None:
    own = build_raw_hello()
    other = await exchange_hellos(conn, own)
    await conn.send(codec.encode(compute_proof(KEY, role="opener", opener=own, acceptor=other)))
    await receive_handshake_message(conn)
    if replaces:
        assert (await link_node.wait_for(LinkClosed)).reason == "replaced"
    await link_node.wait_for(LinkOpened)


def test_silent_connection_is_closed_at_the_handshake_timeout() -> None:
    async def run() -> None:
        async with (
            open_node("b", limits=Limits(handshake_timeout_s=0.05)) as b,
            open_raw(b) as conn,
        ):
            try:
                while True:
                    await asyncio.wait_for(conn.recv(), EVENT_TIMEOUT_S)
            except ConnectionClosed:
                pass
            assert b.queue.empty()

    asyncio.run(run())


def test_connections_beyond_the_limit_on_handshakes_are_dropped() -> None:
    async def run() -> None:
        async with open_node("b", limits=Limits(max_handshakes=2)) as b, open_node("a") as a:
            host, port = b.links.address.split(":")
            connections = [await asyncio.open_connection(host, int(port)) for _ in range(2)]
            a.links.connect(b.links.address)
            await a.wait_for(ConnectFailed)
            for _, writer in connections:
                writer.close()
                await writer.wait_closed()
            while b.links._pending_handshakes:
                await asyncio.sleep(0)
            await link(a, b)
            assert b.links._pending_handshakes == 0

    asyncio.run(run())
