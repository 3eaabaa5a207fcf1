"""Manage the links between this node and its peers in one event loop."""

from __future__ import annotations

import asyncio
import logging
import secrets
import time
from typing import TYPE_CHECKING, Final, NamedTuple

from websockets.asyncio.client import connect as connect_websocket
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from balsamhead import events
from balsamhead.errors import AuthenticationError, BalsamheadError, LinkError, MalformedMessageError
from balsamhead.link import _handshake
from balsamhead.link._peer import PeerConnection, TrafficKey
from balsamhead.util import codec
from balsamhead.wire import MAX_MESSAGE_BYTES, decode_message, encode_message

if TYPE_CHECKING:
    from collections.abc import Callable

    from websockets.asyncio.connection import Connection
    from websockets.asyncio.server import Server

    from balsamhead.events import Event
    from balsamhead.node import Identity
    from balsamhead.wire import Message

__all__ = ("Limits", "Links")

logger = logging.getLogger(__name__)

#: time within which two links between the same nodes count as opened simultaneously, in s
SIMULTANEOUS_OPEN_S: Final = 3.0

#: timeout of the closing handshake, in s
CLOSE_TIMEOUT_S: Final = 1.0

#: maximum length of a close reason; a close frame holds at most 123 bytes of it
MAX_REASON_BYTES: Final = 120

#: WebSocket close codes (RFC 6455, section 7.4.1)
CODE_NORMAL: Final = 1000
CODE_MALFORMED: Final = 1008


class Limits(NamedTuple):
    """Limits on the resources that peers can make this node use."""

    #: open links
    max_links: int = 64
    #: accepted connections whose handshake is not complete
    max_handshakes: int = 32
    #: connections that this node is opening
    max_connects: int = 16
    #: timeout of the handshake, in s; for the opener, it includes the time to connect
    handshake_timeout_s: float = 3.0
    #: size of one message, in bytes
    max_message_bytes: int = MAX_MESSAGE_BYTES
    #: total size of the messages queued on one link, in bytes
    max_queue_bytes: int = 4 * MAX_MESSAGE_BYTES


class Links:
    """Open, accept, use and close links, and report changes and messages as events.

    All methods must be called in the thread of the event loop, which also calls ``emit``.
    """

    def __init__(
        self,
        *,
        identity: Identity,
        key: bytes,
        listen: tuple[str, int],
        emit: Callable[[Event], None],
        limits: Limits,
    ) -> None:
        self._identity = identity
        self._key = key
        self._listen = listen
        self._emit = emit
        self._limits = limits
        self._peers: dict[str, PeerConnection] = {}
        self._connecting: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._pending_handshakes = 0
        self._server: Server | None = None
        self._is_stopping = False
        #: last message that was sent, and its encoding
        self._last_encoded: tuple[Message | None, bytes] = (None, b"")
        #: bytes of messages with their frame headers, since the start
        self.bytes_by_kind: dict[TrafficKey, int] = {}
        self.messages_by_kind: dict[TrafficKey, int] = {}

    @classmethod
    def from_config(
        cls,
        *,
        identity: Identity,
        key: bytes,
        listen: str,
        emit: Callable[[Event], None],
        limits: Limits | None = None,
    ) -> Links:
        """Build the links of a node.

        :param key: mesh key; it is neither sent nor logged.
        :param listen: "address:port" of the peer port; port 0 lets the system choose.
        """
        host, port = _split_address(listen)
        return cls(
            identity=identity, key=key, listen=(host, port), emit=emit, limits=limits or Limits()
        )

    @property
    def address(self) -> str:
        """Return the "address:port" on which links are accepted."""
        assert self._server is not None, "the links were not started"
        host, port = next(iter(self._server.sockets)).getsockname()[:2]
        return f"{host}:{port}"

    async def start(self) -> None:
        """Open the peer port and accept links.

        :raises LinkError: the peer port can't be opened.
        """
        host, port = self._listen
        try:
            self._server = await serve(
                self._accept,
                host,
                port,
                compression=None,
                open_timeout=self._limits.handshake_timeout_s,
                close_timeout=CLOSE_TIMEOUT_S,
                ping_interval=None,
                max_size=_handshake.MAX_HANDSHAKE_BYTES,
                server_header=None,
                logger=_get_silenced_logger(),
                create_connection=self._build_connection_class(),
            )
        except OSError as exc:
            raise LinkError(
                f"can't open the peer port: {exc}", step="open-peer-port", peer=f"{host}:{port}"
            ) from exc

    def connect(self, address: str) -> None:
        """Open a link in the background, and emit ``LinkOpened`` or ``ConnectFailed``.

        The call has no effect after ``stop`` or while a connect to the address is in progress.
        """
        if self._is_stopping or address in self._connecting:
            return
        if len(self._connecting) >= self._limits.max_connects:
            self._schedule_event(events.ConnectFailed(address, "too-many-connects"))
            return
        self._connecting.add(address)
        self._start_task(self._open_link(address))

    def send(self, peer: str, message: Message) -> None:
        """Queue a message for a peer; it is dropped if there is no link or it is too large.

        If the queue is full, the link is closed.
        """
        connection = self._peers.get(peer)
        if connection is None:
            return

        # a message is often sent to several peers in a row, so it is encoded once for all of them
        if self._last_encoded[0] is not message:
            self._last_encoded = (message, encode_message(message))
        data = self._last_encoded[1]
        if len(data) > self._limits.max_message_bytes:
            logger.error(
                "message exceeds the size limit and was not sent",
                extra=_describe(peer, message, data),
            )
            return

        self._count_traffic(connection, "sent", message, len(data))
        if not connection.enqueue(data, self._limits.max_queue_bytes):
            self._close_link(connection, "send-queue-full")

    def close(self, peer: str, reason: str) -> None:
        """Close the link to a peer, if there is one."""
        connection = self._peers.get(peer)
        if connection is not None:
            self._close_link(connection, reason)

    async def stop(self) -> None:
        """Send the queued messages, for 1 s at most, then close all links and the peer port."""
        self._is_stopping = True
        drains = [peer.wait_until_drained() for peer in self._peers.values()]
        if drains:
            await asyncio.wait([asyncio.ensure_future(drain) for drain in drains], timeout=1.0)
        for peer in list(self._peers.values()):
            self._close_link(peer, "stopping")
        if self._server is not None:
            self._server.close()
        tasks = [task for task in self._tasks if task is not asyncio.current_task()]
        if tasks:
            _, unfinished = await asyncio.wait(tasks, timeout=2 * CLOSE_TIMEOUT_S)
            for task in unfinished:
                task.cancel()
        if self._server is not None:
            await self._server.wait_closed()

    def _build_connection_class(self) -> type[ServerConnection]:
        links = self

        class BoundedConnection(ServerConnection):
            """Abort connections beyond the limit on handshakes before reading from them."""

            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                super().connection_made(transport)
                links._pending_handshakes += 1
                self.in_handshake = True
                if links._pending_handshakes > links._limits.max_handshakes:
                    logger.warning("connection refused: too many handshakes in progress")
                    self.transport.abort()

            def connection_lost(self, exc: Exception | None) -> None:
                self.end_handshake()
                super().connection_lost(exc)

            def end_handshake(self) -> None:
                if self.in_handshake:
                    self.in_handshake = False
                    links._pending_handshakes -= 1

        return BoundedConnection

    async def _open_link(self, address: str) -> None:
        failure_reason = ""
        try:
            async with asyncio.timeout(self._limits.handshake_timeout_s):
                conn = await connect_websocket(
                    f"ws://{address}/link",
                    compression=None,
                    open_timeout=None,
                    close_timeout=CLOSE_TIMEOUT_S,
                    ping_interval=None,
                    max_size=self._limits.max_message_bytes,
                    proxy=None,
                    user_agent_header=None,
                    logger=_get_silenced_logger(),
                )
                peer = await self._run_opener_handshake(conn, address)
        except AuthenticationError as exc:
            failure_reason = exc.error_code
            logger.warning("link refused", extra={"peer": address, "code": failure_reason})
        except BalsamheadError as exc:
            failure_reason = exc.error_code
        except ConnectionClosed as exc:
            failure_reason = (exc.rcvd.reason if exc.rcvd else "") or "closed-in-handshake"
        except TimeoutError:
            failure_reason = "connect-timeout"
        except (OSError, WebSocketException, ValueError) as exc:
            failure_reason = f"connect-failed: {type(exc).__name__}"
        finally:
            self._connecting.discard(address)

        if failure_reason:
            self._schedule_event(events.ConnectFailed(address, failure_reason))
            return
        await self._receive_messages(peer)

    async def _run_opener_handshake(self, conn: Connection, address: str) -> PeerConnection:
        own = _handshake.build_hello(self._identity, secrets.token_bytes(_handshake.NONCE_BYTES))
        try:
            await conn.send(codec.encode(own))
            other = await _receive_hello(conn, address)
            _handshake.check_hello(own, other, peer=address)
            proof = _handshake.compute_proof(self._key, role="opener", opener=own, acceptor=other)
            await conn.send(codec.encode(proof))
            message = _handshake.decode_handshake_message(await conn.recv(), peer=address)
            _handshake.check_proof(self._key, message, role="acceptor", opener=own, acceptor=other)
        except BaseException as exc:
            await _send_refusal(conn, exc)
            raise
        try:
            self._check_admission(other.node, is_inbound=False)
        except LinkError as exc:
            # the acceptor opened the link when it sent its proof, so it is closed like any other
            await conn.close(CODE_NORMAL, exc.error_code)
            raise
        return self._register(conn, other, address, is_inbound=False)

    async def _accept(self, conn: ServerConnection) -> None:
        host = str(conn.remote_address[0])
        try:
            async with asyncio.timeout(self._limits.handshake_timeout_s):
                peer = await self._run_acceptor_handshake(conn, host)
        except BalsamheadError as exc:
            logger.warning(
                "link refused",
                extra={"peer": exc.peer or host, "address": host, "code": exc.error_code},
            )
            return
        except (ConnectionClosed, TimeoutError):
            logger.info("connection closed or timed out during the handshake", extra={"peer": host})
            return
        await self._receive_messages(peer)

    async def _run_acceptor_handshake(self, conn: ServerConnection, host: str) -> PeerConnection:
        own = _handshake.build_hello(self._identity, secrets.token_bytes(_handshake.NONCE_BYTES))
        try:
            other = await _receive_hello(conn, host)
            _handshake.check_hello(own, other, peer=host)
            await conn.send(codec.encode(own))
            message = _handshake.decode_handshake_message(await conn.recv(), peer=other.node)
            _handshake.check_proof(self._key, message, role="opener", opener=other, acceptor=own)
            self._check_admission(other.node, is_inbound=True)
        except BaseException as exc:
            await _send_refusal(conn, exc)
            raise
        # the peer may send messages as soon as it gets the proof, so the link is registered first
        proof = _handshake.compute_proof(self._key, role="acceptor", opener=other, acceptor=own)
        peer = self._register(
            conn, other, other.address, is_inbound=True, initial_message=codec.encode(proof)
        )
        conn.end_handshake()  # type: ignore[attr-defined]
        return peer

    def _check_admission(self, node: str, *, is_inbound: bool) -> None:
        code = ""
        existing = self._peers.get(node)
        if self._is_stopping:
            code = "stopping"
        elif existing is None and len(self._peers) >= self._limits.max_links:
            code = "too-many-links"
        elif existing is not None and self._keeps_existing(existing, is_inbound=is_inbound):
            code = "duplicate-link"
        if code:
            raise LinkError(
                f"link not accepted: {code}", step="link-handshake", peer=node, code=code
            )

    def _keeps_existing(self, existing: PeerConnection, *, is_inbound: bool) -> bool:
        if time.monotonic() - existing.opened_at > SIMULTANEOUS_OPEN_S:
            # the peer lost the old link, which is still open on this side, and opens a new one
            return False
        if existing.is_inbound == is_inbound:
            return False
        # of two links opened simultaneously, both sides keep the one that the node with the lower
        # name opened
        return existing.is_inbound == (existing.node < self._identity.node)

    def _register(
        self,
        conn: Connection,
        hello: _handshake.Hello,
        address: str,
        *,
        is_inbound: bool,
        initial_message: bytes = b"",
    ) -> PeerConnection:
        existing = self._peers.get(hello.node)
        if existing is not None:
            self._close_link(existing, "replaced")
        conn.protocol.max_message_size = self._limits.max_message_bytes
        is_border = hello.place.region != self._identity.place.region
        peer = PeerConnection(conn, hello.node, is_inbound=is_inbound, is_border=is_border)
        if initial_message:
            peer.enqueue(initial_message, self._limits.max_queue_bytes)
        self._peers[hello.node] = peer
        self._schedule_event(events.LinkOpened(hello.node, address, hello.place, is_inbound))
        return peer

    async def _receive_messages(self, peer: PeerConnection) -> None:
        writer = asyncio.create_task(peer.send_queued())
        code = CODE_NORMAL
        try:
            async for data in peer.conn:
                message = self._decode(peer, data)
                if peer.is_closed:
                    break
                self._schedule_event(events.MessageReceived(peer.node, message))
            peer_reason = peer.conn.close_reason
            self._unregister(peer, peer_reason or "closed-by-peer")
        except MalformedMessageError as exc:
            logger.warning(
                "closing the link after a malformed message",
                extra={"peer": peer.node, "code": exc.error_code, "reason": exc.message},
            )
            code = CODE_MALFORMED
            self._unregister(peer, exc.error_code)
        except ConnectionClosed as exc:
            self._unregister(peer, (exc.rcvd.reason if exc.rcvd else "") or "connection-lost")
        finally:
            self._unregister(peer, "connection-lost")
            writer.cancel()
            await peer.conn.close(code, peer.close_reason[:MAX_REASON_BYTES])

    def _decode(self, peer: PeerConnection, data: bytes | str) -> Message:
        if isinstance(data, str):
            raise MalformedMessageError(
                "unexpected text frame on a link", step="decode-message", peer=peer.node
            )
        message = decode_message(data, peer=peer.node)
        self._count_traffic(peer, "received", message, len(data))
        return message

    def _close_link(self, peer: PeerConnection, reason: str) -> None:
        """Unregister a link at once and close its connection in the background."""
        if peer.is_closed:
            return
        self._unregister(peer, reason)
        self._start_task(peer.conn.close(CODE_NORMAL, reason[:MAX_REASON_BYTES]))

    def _unregister(self, peer: PeerConnection, reason: str) -> None:
        if peer.is_closed:
            return
        peer.is_closed = True
        peer.close_reason = reason
        if self._peers.get(peer.node) is peer:
            del self._peers[peer.node]
        self._schedule_event(events.LinkClosed(peer.node, reason))

    def _schedule_event(self, event: Event) -> None:
        # all events are scheduled on the loop, so that they stay in order and a command returns
        # before the events that it causes are handled
        asyncio.get_running_loop().call_soon(self._emit, event)

    def _count_traffic(
        self, peer: PeerConnection, direction: str, message: Message, length: int
    ) -> None:
        kind = str(message.__struct_config__.tag)
        key = TrafficKey(direction, kind, peer.is_border)
        is_masked = peer.is_inbound == (direction == "received")
        size = length + _compute_frame_overhead(length, is_masked=is_masked)
        self.bytes_by_kind[key] = self.bytes_by_kind.get(key, 0) + size
        self.messages_by_kind[key] = self.messages_by_kind.get(key, 0) + 1

    def _start_task(self, coroutine: object) -> None:
        task = asyncio.ensure_future(coroutine)  # type: ignore[call-overload]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _receive_hello(conn: Connection, peer: str) -> _handshake.Hello:
    message = _handshake.decode_handshake_message(await conn.recv(), peer=peer)
    match message:
        case _handshake.Hello():
            return message
        case _handshake.Refusal(code=code):
            raise AuthenticationError(
                f"the peer refused the link: {code}",
                step="link-handshake",
                peer=peer,
                code=code[: _handshake.MAX_NAME_LENGTH],
            )
        case _:
            raise MalformedMessageError("expected a hello", step="link-handshake", peer=peer)


async def _send_refusal(conn: Connection, exc: BaseException) -> None:
    code = exc.error_code if isinstance(exc, BalsamheadError) else "handshake-timeout"
    try:
        await conn.send(codec.encode(_handshake.Refusal(code)))
    except ConnectionClosed:
        return
    await conn.close(CODE_MALFORMED, code[:MAX_REASON_BYTES])


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def _compute_frame_overhead(length: int, *, is_masked: bool) -> int:
    header = 2 if length < 126 else 4 if length < 65536 else 10
    return header + (4 if is_masked else 0)


def _get_silenced_logger() -> logging.Logger:
    """Return a logger that drops the log lines of websockets below CRITICAL.

    They would repeat log lines of this module or contain bytes of messages.
    """
    silenced = logging.getLogger(f"{__name__}.websockets")
    silenced.setLevel(logging.CRITICAL)
    return silenced


def _describe(peer: str, message: Message, data: bytes) -> dict[str, str | int]:
    return {"peer": peer, "kind": str(message.__struct_config__.tag), "bytes": len(data)}
