"""Find the other nodes, keep links to them, and pass on what they say."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final

from balsamhead.errors import BalsamheadError
from balsamhead.mesh._frames import Frame, FrameKind, decode_head, encode_frame
from balsamhead.mesh._link import Link
from balsamhead.mesh._peers import Beat, Hello, Peer, PeerTable, UpstreamView
from balsamhead.mesh.model import Load, NodeRecord

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable

    from balsamhead.mesh._calls import Call, Outcome

__all__ = ("Fleet", "FleetEvents")

logger = logging.getLogger(__name__)

#: time between heartbeats within a data centre and over its border, in s
_NEAR_BEAT_S: Final = 0.45
_FAR_BEAT_S: Final = 1.0
#: silence after which a link gets no calls, and after which it is dropped, in heartbeats
_SUSPECT_BEATS: Final = 1.8
_SILENT_BEATS: Final = 3.0
#: time that an answer to a heartbeat may take, in s
_ANSWER_S: Final = 0.1
#: longest wait for a connection to a peer, in s
_DIAL_TIMEOUT_S: Final = 0.6
#: pause between attempts to reach a peer, in s; it doubles up to the longest
_FIRST_PAUSE_S: Final = 0.15
_LONGEST_PAUSE_S: Final = 4.0
#: failed attempts after which a node that isn't heard any more is forgotten
_MAX_FAILED_DIALS: Final = 40
#: time between runs of the upkeep, in s
_TICK_S: Final = 0.15
#: time that the node with the greater name leaves the other to dial, in s
_YIELD_S: Final = 0.3
#: shortest time between two reports of load to the data centre, in s for each peer there
_LOAD_GAP_S: Final = 0.012


class FleetEvents:
    """Name what the node does with what peers say; a node overrides what it needs."""

    def make_hello(self) -> Hello:
        """Return how the node introduces itself."""
        raise NotImplementedError

    def make_beat(self) -> Beat:
        """Return what a heartbeat says."""
        raise NotImplementedError

    def run_call(self, call: Call, body: bytes) -> Awaitable[Outcome]:
        """Run a peer's call on this node's upstream."""
        raise NotImplementedError

    def peer_heard(self, peer: Peer, link: Link) -> None:
        """Take in that a peer said what it holds."""

    def frame_received(self, peer: Peer, link: Link, frame: Frame) -> None:
        """Take in a frame that is none of the fleet's."""


class Fleet:
    """Keep a link to each known node; links also carry the calls of the node that dialled."""

    def __init__(self, own: NodeRecord, events: FleetEvents, *, rng: random.Random) -> None:
        self._own = own
        self._events = events
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._links: set[Link] = set()
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._dials: set[asyncio.Task[None]] = set()
        self._beat_at: dict[str, float] = {}
        self._load_sent_at = 0.0
        self._load_timer: asyncio.TimerHandle | None = None
        self._sent_load = Load(0, 0.0)
        self.table = PeerTable(own)
        #: grows when a peer appears, goes, or says that its upstream changed
        self.epoch = 0

    async def start(self) -> None:
        """Listen for peers and begin the upkeep.

        :raises OSError: the address can't be bound.
        """
        host, _, port = self._own.address.rpartition(":")
        self._server = await self._loop.create_server(
            lambda: Link(self, dialled=False), host, int(port), backlog=1024, reuse_address=True
        )
        self._tick()

    def stop(self) -> None:
        """Drop all links."""
        if self._timer is not None:
            self._timer.cancel()
        if self._server is not None:
            self._server.close()
        for link in list(self._links):
            link.close("node stops")

    def learn(self, record: NodeRecord) -> None:
        """Take in the record of a node."""
        self.table.add(record)

    def get_silence(self, peer: Peer) -> float:
        """Return the silence from which a peer gets no calls, in s."""
        return _SUSPECT_BEATS * self._get_interval(peer) + _ANSWER_S

    def list_live(self) -> list[Peer]:
        """List the peers that answer."""
        now = self._loop.time()
        return [
            peer for peer in self.table.peers.values() if peer.is_live(now, self.get_silence(peer))
        ]

    def count_unlinked(self) -> int:
        """Count the nodes that were never tried or are being tried."""
        return sum(
            1
            for peer in self.table.peers.values()
            if peer.failed_dials == 0 and (peer.link is None or peer.upstream is None)
        )

    def broadcast(self, data: bytes) -> None:
        """Send an encoded frame to each peer."""
        for peer in self.table.peers.values():
            link = self.get_link(peer)
            if link is not None:
                link.send_encoded(data)

    def get_link(self, peer: Peer) -> Link | None:
        """Return the open link to a peer, if there is one."""
        return peer.link if peer.link is not None and peer.link.is_open() else None

    def _prefer(self, peer: Peer, link: Link) -> None:
        """Use one of two links: the one that the node with the lesser name dialled."""
        known = self.get_link(peer)
        self.epoch += 1
        if known is None or known is link or known.dialled == link.dialled:
            peer.link = link
            return
        own_dials = self._own.name < peer.record.name
        peer.link, spare = (link, known) if link.dialled == own_dials else (known, link)
        if spare.dialled and not spare.is_in_use():
            spare.close("spare")

    def announce_upstream(self, view: UpstreamView | None) -> None:
        """Tell the peers that this node's upstream changed."""
        self.broadcast(encode_frame(FrameKind.UPSTREAM, 0, (view,)))

    def announce_load(self) -> None:
        """Tell the peers of the data centre how busy the upstream is, not too often."""
        if self._load_timer is not None:
            return
        near = sum(1 for peer in self.table.peers.values() if self._is_near(peer))
        due = self._load_sent_at + _LOAD_GAP_S * near
        self._load_timer = self._loop.call_at(max(due, self._loop.time() + 0.001), self._send_load)

    # -- upkeep ------------------------------------------------------------------------------

    def _tick(self) -> None:
        # first, so that a fault in one run does not end them all
        self._timer = self._loop.call_later(_TICK_S, self._tick)
        now = self._loop.time()
        for peer in list(self.table.peers.values()):
            self._keep_up(peer, now)

    def _keep_up(self, peer: Peer, now: float) -> None:
        link = peer.link
        if link is None or not link.is_open():
            if not peer.dialling and now >= peer.dial_at:
                self._dial(peer)
            return
        interval = self._get_interval(peer)
        name = peer.record.name
        if not link.dialled:
            interval += _TICK_S
        if now - link.heard_at > _SILENT_BEATS * interval + _ANSWER_S:
            logger.warning(
                "link-silent",
                extra={"peer": name, "silence_s": round(now - link.heard_at, 2)},
            )
            link.close("silent")
        elif link.dialled and now - self._beat_at.get(name, 0.0) >= interval:
            self._beat_at[name] = now
            link.send(FrameKind.BEAT, 0, self._events.make_beat())

    def _dial(self, peer: Peer) -> None:
        peer.dialling = True
        task = self._loop.create_task(self._connect(peer))
        self._dials.add(task)
        task.add_done_callback(self._dials.discard)

    async def _connect(self, peer: Peer) -> None:
        host, _, port = peer.record.address.rpartition(":")
        try:
            async with asyncio.timeout(_DIAL_TIMEOUT_S):
                _, link = await self._loop.create_connection(
                    lambda: Link(self, dialled=True), host, int(port)
                )
        except OSError as exc:
            self._note_failed_dial(peer, exc)
        else:
            link.peer = peer.record.name
            peer.failed_dials = 0
            self._beat_at[link.peer] = self._loop.time()
            self._prefer(peer, link)
        finally:
            peer.dialling = False

    def _note_failed_dial(self, peer: Peer, exc: OSError) -> None:
        peer.failed_dials += 1
        pause_s = min(_LONGEST_PAUSE_S, _FIRST_PAUSE_S * 2 ** min(10, peer.failed_dials - 1))
        peer.dial_at = self._loop.time() + pause_s * (0.5 + self._rng.random())
        if peer.failed_dials == 1:
            logger.info("peer-unreachable", extra={"peer": peer.record.name, "error": repr(exc)})
        if peer.failed_dials > _MAX_FAILED_DIALS:
            del self.table.peers[peer.record.name]
            self.epoch += 1
            logger.info("peer-forgotten", extra={"peer": peer.record.name})

    def _get_interval(self, peer: Peer) -> float:
        return _NEAR_BEAT_S if self._is_near(peer) else _FAR_BEAT_S

    def _is_near(self, peer: Peer) -> bool:
        return peer.record.data_centre == self._own.data_centre

    def _send_load(self) -> None:
        self._load_timer = None
        load = self.get_load()
        sent = self._sent_load
        if (load.running, load.queue) == (sent.running, sent.queue):
            return
        self._sent_load = load
        self._load_sent_at = self._loop.time()
        data = encode_frame(FrameKind.LOAD, 0, load)
        for peer in self.table.peers.values():
            if self._is_near(peer) and (link := self.get_link(peer)):
                link.send_encoded(data)

    # -- what links bring --------------------------------------------------------------------

    def link_opened(self, link: Link) -> None:
        """Introduce this node."""
        self._links.add(link)
        link.send(FrameKind.HELLO, 0, self._events.make_hello())

    def link_closed(self, link: Link, reason: str) -> None:
        """Forget a link; try again at once if it was the one that carries calls."""
        self._links.discard(link)
        peer = self.table.peers.get(link.peer)
        if peer is not None and peer.link is link:
            peer.link = None
            self.epoch += 1
            yields = 0.0 if self._own.name < link.peer else _YIELD_S
            peer.dial_at = self._loop.time() + yields + _FIRST_PAUSE_S * self._rng.random()
            logger.info("link-lost", extra={"peer": link.peer, "reason": reason})

    def frame_received(self, link: Link, frame: Frame) -> None:
        """Take in a frame that belongs to no call."""
        if frame.kind == FrameKind.HELLO:
            self._take_hello(link, decode_head(frame, Hello, peer=link.peer))
            return
        peer = self.table.peers.get(link.peer)
        if peer is None:
            return
        match frame.kind:
            case FrameKind.BEAT | FrameKind.BEAT_ANSWER:
                self._take_beat(peer, link, frame)
            case FrameKind.LOAD:
                peer.hear_load(decode_head(frame, Load, peer=link.peer), self._loop.time())
            case FrameKind.UPSTREAM:
                peer.upstream = decode_head(frame, tuple[UpstreamView | None], peer=link.peer)[0]
                self.epoch += 1
            case _:
                try:
                    self._events.frame_received(peer, link, frame)
                except BalsamheadError as exc:
                    logger.warning("frame-refused", extra={"peer": link.peer, "error": str(exc)})

    def load_heard(self, link: Link, load: Load, *, ended: int) -> None:
        """Take in how busy a peer's upstream is, with the end of a call of a rank."""
        peer = self.table.peers.get(link.peer)
        if peer is not None:
            peer.hear_load(load, self._loop.time(), ended=ended)

    def get_load(self) -> Load:
        """Return how busy this node's upstream is."""
        return self._events.make_beat().load

    def run_call(self, call: Call, body: bytes) -> Awaitable[Outcome]:
        """Run a peer's call on this node's upstream."""
        return self._events.run_call(call, body)

    def _take_hello(self, link: Link, hello: Hello) -> None:
        known = self.table.peers.get(hello.node.name)
        if known is None or hello.node.incarnation >= known.record.incarnation:
            peer = self.table.add(hello.node)
        else:
            peer = known
        if peer is None:
            link.close("own name")
            return
        link.peer = hello.node.name
        if not link.dialled:
            peer.failed_dials = 0
            self._prefer(peer, link)
        peer.upstream = hello.upstream
        peer.offset = hello.offset
        peer.stopping = hello.stopping
        self.epoch += 1
        peer.hear_load(hello.load, self._loop.time())
        self._events.peer_heard(peer, link)

    def _take_beat(self, peer: Peer, link: Link, frame: Frame) -> None:
        beat = decode_head(frame, Beat, peer=link.peer)
        peer.offset = beat.offset
        peer.store_failed = beat.store_failed
        if peer.stopping != beat.stopping:
            peer.stopping = beat.stopping
            self.epoch += 1
        peer.steps = beat.steps
        peer.hear_load(beat.load, self._loop.time())
        if frame.kind == FrameKind.BEAT:
            link.send(FrameKind.BEAT_ANSWER, 0, self._events.make_beat())
        self._events.peer_heard(peer, link)
