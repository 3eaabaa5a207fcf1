"""Keep the table of peers: who they are, whether they answer, and how busy their upstreams are."""

from __future__ import annotations

import hashlib
import math
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.mesh.model import Load, NodeRecord

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamhead.mesh._link import Link

__all__ = ("Beat", "Hello", "Peer", "PeerTable", "UpstreamView", "rank_nodes")

#: time after which what was heard of a peer's load counts for little, in s
_LOAD_AGE_S: Final = 1.0
#: share of its slots that a peer is taken to use when nothing was heard, 0 to 1
_USUAL_USE: Final = 0.6


class UpstreamView(NamedTuple):
    """Hold what peers need to know of a node's upstream."""

    id: str
    version: str
    slots: int
    #: new work may go there
    accepts: bool
    #: it has just started and is slow
    cold: bool = False


class Hello(NamedTuple):
    """Introduce a node to a peer."""

    node: NodeRecord
    upstream: UpstreamView | None
    load: Load
    #: offset of the operator's state that the node holds; -1 for none
    offset: int
    stopping: bool


class Beat(NamedTuple):
    """Show that a node lives, and what it holds."""

    offset: int
    load: Load
    #: the store doesn't answer this node
    store_failed: bool
    #: sum over the rollouts of their steps, to notice one that was missed
    steps: int
    stopping: bool = False


class Peer:
    """Hold what is known of a peer."""

    __slots__ = (
        "_heard_mine",
        "dial_at",
        "dialling",
        "failed_dials",
        "heard_load_at",
        "link",
        "load",
        "mine",
        "offset",
        "paused_until",
        "record",
        "steps",
        "stopping",
        "store_failed",
        "upstream",
    )

    def __init__(self, record: NodeRecord) -> None:
        self.record = record
        #: the link that carries frames both ways
        self.link: Link | None = None
        self.upstream: UpstreamView | None = None
        self.load = Load(0, 0.0)
        self.heard_load_at = -math.inf
        #: calls of this node that are on the way there, by rank
        self.mine: dict[int, int] = {}
        self._heard_mine: dict[int, int] = {}
        #: no calls go there before, in s of the loop's clock
        self.paused_until = 0.0
        self.offset = -1
        self.steps = 0
        self.stopping = False
        self.store_failed = False
        self.dialling = False
        self.dial_at = 0.0
        self.failed_dials = 0

    def hear_load(self, load: Load, now: float, *, ended: int | None = None) -> None:
        """Take in how busy the peer's upstream is.

        :param ended: rank of the call with whose end the load came.
        """
        self.load = load
        self.heard_load_at = now
        self._heard_mine = dict(self.mine)
        if ended is not None:
            self._heard_mine[ended] = self._heard_mine.get(ended, 0) - 1

    def estimate_busy(self, now: float, priority: int) -> float:
        """Estimate how many requests go before one of a rank at the peer's upstream now."""
        age_s = now - self.heard_load_at
        trust = math.exp(-age_s / _LOAD_AGE_S) if age_s < 10 * _LOAD_AGE_S else 0.0
        slots = self.upstream.slots if self.upstream else 1
        sent_since = self.count_mine(priority) - _count_to(self._heard_mine, priority)
        heard = self.load.count_ahead(priority) + max(0, sent_since)
        guess = sum(self.mine.values()) + min(_USUAL_USE * slots, slots - 1)
        return trust * heard + (1.0 - trust) * guess

    def count_mine(self, priority: int) -> int:
        """Count this node's calls there whose rank isn't lower."""
        return _count_to(self.mine, priority)

    def is_live(self, now: float, silence_s: float) -> bool:
        """Answer whether the peer was heard within a time."""
        return (
            self.link is not None and self.link.is_open() and (now - self.link.heard_at < silence_s)
        )


def _count_to(numbers: dict[int, int], priority: int) -> int:
    return sum(number for rank, number in numbers.items() if rank <= priority)


class PeerTable:
    """Hold the peers by name."""

    def __init__(self, own: NodeRecord) -> None:
        self.own = own
        self.peers: dict[str, Peer] = {}

    def add(self, record: NodeRecord) -> Peer | None:
        """Take in a node's record and return its row; None for the own one."""
        if record.name == self.own.name:
            return None
        peer = self.peers.get(record.name)
        if peer is None:
            peer = self.peers[record.name] = Peer(record)
        elif record.address != peer.record.address:
            peer.record = record
            peer.dial_at = 0.0
        return peer


def rank_nodes(names: Iterable[str], topic: str) -> list[str]:
    """Order nodes by rendezvous hashing, the same on each node that knows the same names."""

    def weigh(name: str) -> bytes:
        return hashlib.blake2b(f"{topic}/{name}".encode(), digest_size=8).digest()

    return sorted(names, key=weigh)
