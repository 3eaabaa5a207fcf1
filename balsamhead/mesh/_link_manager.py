"""Keep a link to each known node, send heartbeats, and dispatch the frames of peers."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final

from balsamhead.errors import BalsamheadError, MalformedMessageError
from balsamhead.mesh._body_transfer import HeldBodies
from balsamhead.mesh._flow_control import InFlightLimit
from balsamhead.mesh._frames import Frame, FrameKind, decode_header, encode_frame
from balsamhead.mesh._link import FEATURES, Link
from balsamhead.mesh._lost_peers import LostPeers
from balsamhead.mesh._peers import Heartbeat, Hello, Peer, PeerTable, UpstreamView
from balsamhead.mesh.model import Load, NodeRecord, UpstreamNotice
from balsamhead.util.addresses import parse_address

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable

    from balsamhead.mesh._calls import BodyRest, Call, Outcome

__all__ = ("LinkManager", "PeerEventHandler")

logger = logging.getLogger(__name__)

#: heartbeat interval within a data centre and between data centres, in s
_NEARBY_HEARTBEAT_INTERVAL_S: Final = 0.45
_REMOTE_HEARTBEAT_INTERVAL_S: Final = 1.0
#: silence after which a peer gets no calls, and after which its link is closed, in heartbeat
#: intervals
_SUSPECT_INTERVALS: Final = 1.8
_DEAD_INTERVALS: Final = 3.0
#: time allowed for the reply to a heartbeat, in s
_HEARTBEAT_REPLY_S: Final = 0.1
#: silence after which a peer within a data centre, and in another one, gets no calls, in s
_NEARBY_SUSPECT_TIMEOUT_S: Final = (
    _SUSPECT_INTERVALS * _NEARBY_HEARTBEAT_INTERVAL_S + _HEARTBEAT_REPLY_S
)
_REMOTE_SUSPECT_TIMEOUT_S: Final = (
    _SUSPECT_INTERVALS * _REMOTE_HEARTBEAT_INTERVAL_S + _HEARTBEAT_REPLY_S
)
#: timeout of a connection attempt to a peer, in s
_DIAL_TIMEOUT_S: Final = 0.6
#: exponential backoff between connection attempts to a peer, in s: first and longest delay
_INITIAL_BACKOFF_S: Final = 0.15
_MAX_BACKOFF_S: Final = 4.0
#: consecutive failed connection attempts after which a peer is lost, and is dialled more rarely
_MAX_FAILED_DIALS: Final = 8
#: the same after which a peer that had said that it stops is removed
_MAX_FAILED_DIALS_STOPPED: Final = 40
#: attempts that a lost peer gets at the usual pace once another lost one has been reached, and the
#: rate at which they begin, in 1/s
_RENEWED_DIALS: Final = 2
_RENEWED_DIALS_PER_S: Final = 30.0
#: interval at which all links are checked, in s
_MAINTENANCE_INTERVAL_S: Final = 0.15
#: extra delay before the node with the greater name reconnects, so that the other node dials
#: first, in s
_DIAL_PRECEDENCE_S: Final = 0.3
#: minimum interval between load reports to the peers in the same data centre, in s per peer
_LOAD_REPORT_SPACING_S: Final = 0.012


class PeerEventHandler:
    """Interface through which :class:`LinkManager` queries its node and reports peer events."""

    def make_hello(self) -> Hello:
        """Return the first message that this node sends on a link."""
        raise NotImplementedError

    def make_heartbeat(self) -> Heartbeat:
        """Return the content of a heartbeat."""
        raise NotImplementedError

    def run_call(self, call: Call, body: bytes, rest: BodyRest | None) -> Awaitable[Outcome]:
        """Run a call of a peer on this node's upstream."""
        raise NotImplementedError

    def peer_linked(self, peer: Peer, link: Link) -> None:
        """Handle the first message on a link."""

    def peer_state_received(self, peer: Peer, link: Link) -> None:
        """Handle a hello or heartbeat; ``peer`` already holds the new state."""

    def frame_received(self, peer: Peer, link: Link, frame: Frame) -> None:
        """Handle a frame whose kind is not handled by :class:`LinkManager`."""


class LinkManager:
    """Maintain a link to each known node; both ends send calls over it."""

    def __init__(
        self, own_record: NodeRecord, handler: PeerEventHandler, *, rng: random.Random
    ) -> None:
        self._own_record = own_record
        self._handler = handler
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._links: set[Link] = set()
        self._in_flight_limit = InFlightLimit()
        self._in_flight_body_limit = InFlightLimit()
        self._held_bodies = HeldBodies()
        self._server: asyncio.Server | None = None
        self._maintenance_timer: asyncio.TimerHandle | None = None
        self._dials: set[asyncio.Task[None]] = set()
        self._heartbeat_sent_at: dict[str, float] = {}
        self._load_sent_at = 0.0
        self._load_timer: asyncio.TimerHandle | None = None
        self._last_sent_load = Load(0, 0.0)
        self.table = PeerTable(own_record)
        self._lost_peers = LostPeers()
        #: incremented when a link or a peer is added or removed, or when a peer's upstream or
        #: stopping state changes
        self.epoch = 0

    async def start(self) -> None:
        """Listen for peers and start the periodic link maintenance.

        :raises OSError: the address can't be bound.
        """
        address = parse_address(self._own_record.address)
        self._server = await self._loop.create_server(
            lambda: self._make_link(dialled=False),
            address.host,
            address.port,
            backlog=1024,
            reuse_address=True,
        )
        self._maintain_links()

    def stop(self) -> None:
        """Stop listening and close all links."""
        if self._maintenance_timer is not None:
            self._maintenance_timer.cancel()
        if self._server is not None:
            self._server.close()
        for link in list(self._links):
            link.close("node stops")

    def _make_link(self, *, dialled: bool) -> Link:
        return Link(
            self,
            dialled=dialled,
            in_flight_limit=self._in_flight_limit,
            in_flight_body_limit=self._in_flight_body_limit,
            held_bodies=self._held_bodies,
        )

    def add_node(self, record: NodeRecord) -> None:
        """Add a node to the table of peers, or update its record."""
        known = self.table.peers.get(record.name)
        if known is not None and known.record.address != record.address:
            self._lost_peers.discard(record.name)
        self.table.add(record)

    def get_suspect_timeout(self, peer: Peer) -> float:
        """Return the silence after which a peer gets no calls, in s."""
        return _NEARBY_SUSPECT_TIMEOUT_S if peer.nearby else _REMOTE_SUSPECT_TIMEOUT_S

    def list_live(self) -> list[Peer]:
        """Return the peers with an open link that has received data within the suspect timeout."""
        now = self._loop.time()
        return [
            peer
            for peer in self.table.peers.values()
            if peer.is_live(now, self.get_suspect_timeout(peer))
        ]

    def count_pending_links(self) -> int:
        """Count the peers that have no link or no known upstream yet, without unreachable ones."""
        return sum(
            1
            for peer in self.table.peers.values()
            if peer.failed_dials == 0 and (peer.link is None or peer.upstream is None)
        )

    def broadcast(self, data: bytes) -> None:
        """Send an encoded frame to each peer with an open link."""
        for peer in self.table.peers.values():
            link = self.get_link(peer)
            if link is not None:
                link.send_encoded(data)

    def get_link(self, peer: Peer) -> Link | None:
        """Return the link to a peer if it is open, else None."""
        return peer.link if peer.link is not None and peer.link.is_open() else None

    def _select_link(self, peer: Peer, link: Link) -> None:
        """Set the current link of a peer.

        If both nodes have dialled, the link of the node with the lesser name is used. The other
        one is closed if this node dialled it and it carries no calls.
        """
        current = self.get_link(peer)
        peer.check_at = 0.0
        self.epoch += 1
        if current is None or current is link or current.dialled == link.dialled:
            peer.link = link
            return
        own_dials = self._own_record.name < peer.record.name
        peer.link, redundant = (link, current) if link.dialled == own_dials else (current, link)
        if redundant.dialled and not redundant.has_active_calls():
            redundant.close("spare")

    def announce_state(self) -> None:
        """Send the content of a heartbeat to all peers now, without asking for replies."""
        self.broadcast(encode_frame(FrameKind.HEARTBEAT_REPLY, 0, self._handler.make_heartbeat()))

    def announce_upstream(self, view: UpstreamView | None) -> None:
        """Send the state of this node's upstream to all peers."""
        self.broadcast(encode_frame(FrameKind.UPSTREAM, 0, (view,)))

    def announce_notice(self, notice: UpstreamNotice) -> None:
        """Send a notice of this node's upstream to all peers."""
        self.broadcast(encode_frame(FrameKind.UPSTREAM_NOTICE, 0, notice))

    def announce_load(self) -> None:
        """Schedule a load report to the peers of this data centre; reports are rate-limited."""
        if self._load_timer is not None:
            return
        nearby_peers = sum(peer.nearby for peer in self.table.peers.values())
        earliest = self._load_sent_at + _LOAD_REPORT_SPACING_S * nearby_peers
        self._load_timer = self._loop.call_at(
            max(earliest, self._loop.time() + 0.001), self._send_load
        )

    # -- maintenance -----------------------------------------------------------------------

    def _maintain_links(self) -> None:
        # schedule the next run first, so that an exception here does not end the series
        self._maintenance_timer = self._loop.call_later(
            _MAINTENANCE_INTERVAL_S, self._maintain_links
        )
        now = self._loop.time()
        heartbeat_due = []
        for peer in list(self.table.peers.values()):
            if now >= peer.check_at and self._maintain_link(peer, now):
                heartbeat_due.append(peer)
        if heartbeat_due:
            self._send_heartbeats(heartbeat_due, now)
        self._dial_lost_peer(now)

    def _send_heartbeats(self, peers: list[Peer], now: float) -> None:
        data = encode_frame(FrameKind.HEARTBEAT, 0, self._handler.make_heartbeat())
        for peer in peers:
            self._heartbeat_sent_at[peer.record.name] = now
            if peer.link is not None:
                peer.link.send_encoded(data)

    def _maintain_link(self, peer: Peer, now: float) -> bool:
        """Dial a peer without a link, close a silent one; return whether a heartbeat is due."""
        link = peer.link
        if link is None or not link.is_open():
            is_due = not peer.dialling and now >= peer.dial_at
            if is_due and peer.record.name not in self._lost_peers:
                self._dial(peer)
            return False
        interval = _NEARBY_HEARTBEAT_INTERVAL_S if peer.nearby else _REMOTE_HEARTBEAT_INTERVAL_S
        name = peer.record.name
        if not link.dialled:
            # only the dialling node starts heartbeats, and it checks once per maintenance interval
            interval += _MAINTENANCE_INTERVAL_S
        silent_at = link.last_received_at + _DEAD_INTERVALS * interval + _HEARTBEAT_REPLY_S
        if now > silent_at:
            logger.warning(
                "link-silent",
                extra={"peer": name, "silence_s": round(now - link.last_received_at, 2)},
            )
            link.close("silent")
            return False
        if not link.dialled:
            peer.check_at = silent_at
            return False
        heartbeat_at = self._heartbeat_sent_at.get(name, 0.0) + interval
        peer.check_at = min(silent_at, heartbeat_at)
        return now >= heartbeat_at

    def _dial(self, peer: Peer) -> None:
        peer.dialling = True
        task = self._loop.create_task(self._connect(peer))
        self._dials.add(task)
        task.add_done_callback(self._dials.discard)

    async def _connect(self, peer: Peer) -> None:
        try:
            address = parse_address(peer.record.address)
            async with asyncio.timeout(_DIAL_TIMEOUT_S):
                _, link = await self._loop.create_connection(
                    lambda: self._make_link(dialled=True), address.host, address.port
                )
        except (OSError, ValueError) as exc:
            self._handle_failed_dial(peer, exc)
        else:
            link.peer = peer.record.name
            self._handle_reached(peer)
            self._heartbeat_sent_at[link.peer] = self._loop.time()
            self._select_link(peer, link)
        finally:
            peer.dialling = False

    def _handle_failed_dial(self, peer: Peer, exc: OSError | ValueError) -> None:
        peer.failed_dials += 1
        backoff_s = min(_MAX_BACKOFF_S, _INITIAL_BACKOFF_S * 2 ** min(10, peer.failed_dials - 1))
        peer.dial_at = self._loop.time() + backoff_s * (0.5 + self._rng.random())
        if peer.failed_dials == 1:
            logger.info("peer-unreachable", extra={"peer": peer.record.name, "error": repr(exc)})
        if peer.stopping:
            if peer.failed_dials > _MAX_FAILED_DIALS_STOPPED:
                self._forget(peer.record.name)
        elif peer.failed_dials > _MAX_FAILED_DIALS and peer.record.name not in self._lost_peers:
            logger.info("peer-lost", extra={"peer": peer.record.name, "dials": peer.failed_dials})
            forgotten = self._lost_peers.add(peer, self._loop.time())
            if forgotten is not None:
                self._forget(forgotten)

    def _forget(self, name: str) -> None:
        del self.table.peers[name]
        self.epoch += 1
        logger.info("peer-forgotten", extra={"peer": name})

    def _dial_lost_peer(self, now: float) -> None:
        name = self._lost_peers.pop_due(now)
        if name is not None and not self.table.peers[name].dialling:
            self._dial(self.table.peers[name])

    def _handle_reached(self, peer: Peer) -> None:
        """Record that a peer could be reached; other lost ones are dialled again soon, too.

        They may all have been behind the same cut, which has ended.
        """
        peer.failed_dials = 0
        if not self._lost_peers.discard(peer.record.name):
            return
        names = self._lost_peers.drain()
        logger.info("peer-reached", extra={"peer": peer.record.name, "lost": len(names)})
        now = self._loop.time()
        for name in names:
            other = self.table.peers[name]
            other.failed_dials = _MAX_FAILED_DIALS + 1 - _RENEWED_DIALS
            other.dial_at = now + self._rng.random() * len(names) / _RENEWED_DIALS_PER_S

    def _send_load(self) -> None:
        self._load_timer = None
        load = self.get_load()
        last_sent = self._last_sent_load
        if (load.running, load.queue) == (last_sent.running, last_sent.queue):
            return
        self._last_sent_load = load
        self._load_sent_at = self._loop.time()
        data = encode_frame(FrameKind.LOAD, 0, load)
        for peer in self.table.peers.values():
            if peer.nearby and (link := self.get_link(peer)):
                link.send_encoded(data)

    # -- link events -----------------------------------------------------------------------

    def link_opened(self, link: Link) -> None:
        """Register a new link, and send this node's hello and its features."""
        self._links.add(link)
        link.send(FrameKind.HELLO, 0, self._handler.make_hello())
        link.send(FrameKind.FEATURES, 0, FEATURES)

    def link_closed(self, link: Link, reason: str) -> None:
        """Remove a link; schedule a reconnect if it was the peer's current link."""
        self._links.discard(link)
        peer = self.table.peers.get(link.peer)
        if peer is not None and peer.link is link:
            peer.link = None
            peer.check_at = 0.0
            self.epoch += 1
            precedence_s = 0.0 if self._own_record.name < link.peer else _DIAL_PRECEDENCE_S
            peer.dial_at = (
                self._loop.time() + precedence_s + _INITIAL_BACKOFF_S * self._rng.random()
            )
            logger.info("link-lost", extra={"peer": link.peer, "reason": reason})

    def frame_received(self, link: Link, frame: Frame) -> None:
        """Handle a frame that belongs to no call."""
        if frame.kind == FrameKind.HELLO:
            self._handle_hello(link, decode_header(frame, Hello, peer=link.peer))
            return
        peer = self.table.peers.get(link.peer)
        if peer is None:
            return
        match frame.kind:
            case FrameKind.HEARTBEAT | FrameKind.HEARTBEAT_REPLY:
                self._handle_heartbeat(peer, link, frame)
            case FrameKind.LOAD:
                peer.record_load(decode_header(frame, Load, peer=link.peer), self._loop.time())
            case FrameKind.UPSTREAM:
                peer.upstream = decode_header(frame, tuple[UpstreamView | None], peer=link.peer)[0]
                self.epoch += 1
            case FrameKind.UPSTREAM_NOTICE:
                peer.record_notice(decode_header(frame, UpstreamNotice, peer=link.peer))
                self.epoch += 1
            case _:
                try:
                    self._handler.frame_received(peer, link, frame)
                except BalsamheadError as exc:
                    logger.warning("frame-rejected", extra={"peer": link.peer, "error": str(exc)})

    def load_received(self, link: Link, load: Load, *, ended: int) -> None:
        """Update the load of a peer's upstream from the outcome of a call.

        :param ended: priority of that call.
        """
        peer = self.table.peers.get(link.peer)
        if peer is not None:
            peer.record_load(load, self._loop.time(), ended=ended)

    def get_load(self) -> Load:
        """Return the load of this node's upstream."""
        return self._handler.make_heartbeat().load

    def run_call(self, call: Call, body: bytes, rest: BodyRest | None) -> Awaitable[Outcome]:
        """Run a call of a peer on this node's upstream."""
        return self._handler.run_call(call, body, rest)

    def _handle_hello(self, link: Link, hello: Hello) -> None:
        try:
            hello.node.check()
        except ValueError as exc:
            raise MalformedMessageError(
                f"hello names no node: {exc}", step="take-hello", peer=link.peer
            ) from exc
        current = self.table.peers.get(hello.node.name)
        if current is None or hello.node.incarnation >= current.record.incarnation:
            peer = self.table.add(hello.node)
        else:
            peer = current
        if peer is None:
            link.close("own name")
            return
        link.peer = hello.node.name
        if not link.dialled:
            self._handle_reached(peer)
            self._select_link(peer, link)
        peer.hello_received = True
        peer.upstream = hello.upstream
        peer.offset = hello.offset
        peer.stopping = hello.stopping
        self.epoch += 1
        peer.record_load(hello.load, self._loop.time())
        self._handler.peer_linked(peer, link)
        self._handler.peer_state_received(peer, link)

    def _handle_heartbeat(self, peer: Peer, link: Link, frame: Frame) -> None:
        heartbeat = decode_header(frame, Heartbeat, peer=link.peer)
        peer.offset = heartbeat.offset
        peer.store_failed = heartbeat.store_failed
        if peer.stopping != heartbeat.stopping:
            peer.stopping = heartbeat.stopping
            self.epoch += 1
        peer.rollout_checksum = heartbeat.rollout_checksum
        peer.record_load(heartbeat.load, self._loop.time())
        if frame.kind == FrameKind.HEARTBEAT:
            link.send(FrameKind.HEARTBEAT_REPLY, 0, self._handler.make_heartbeat())
        self._handler.peer_state_received(peer, link)
