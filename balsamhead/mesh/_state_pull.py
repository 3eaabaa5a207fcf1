"""Choose the peer that a node requests missing changes from: one at a time, nearby ones first."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from balsamhead.mesh._peers import Peer
    from balsamhead.mesh.model import NodeRecord

__all__ = ("StatePull",)

#: time after which changes that have not arrived are requested from another peer, in s: the first
#: and the longest; it doubles with each request
_INITIAL_TIMEOUT_S: Final = 0.5
_MAX_TIMEOUT_S: Final = 1.0


class StatePull:
    """The request for changes that is in progress.

    A state may be large, so it is requested once, although all peers may show that they hold it.
    """

    def __init__(self, own_record: NodeRecord, *, rng: random.Random) -> None:
        self._own_record = own_record
        self._rng = rng
        #: offset that the last request asks for
        self._target = -1
        self._expires_at = 0.0
        self._timeout_s = _INITIAL_TIMEOUT_S
        #: names of the peers that were asked since the last request was answered
        self._asked: set[str] = set()

    def start(self, offset: int, peers: Iterable[Peer], now: float) -> Peer | None:
        """Return the peer to request the changes after an offset from.

        :param offset: offset of the state that this node holds.
        :param now: the current time, in s of the loop's clock.
        :returns: None if no peer holds a later state, or a request is in progress.
        """
        if offset >= self._target:
            self._asked.clear()
            self._timeout_s = _INITIAL_TIMEOUT_S
        elif now < self._expires_at:
            return None
        newer = [peer for peer in peers if peer.offset > offset]
        if not newer:
            return None
        if self._asked.issuperset(peer.record.name for peer in newer):
            self._asked.clear()
        peer = min(newer, key=self._rank)
        self._asked.add(peer.record.name)
        self._target = peer.offset
        self._expires_at = now + self._timeout_s
        self._timeout_s = min(_MAX_TIMEOUT_S, 2 * self._timeout_s)
        return peer

    def _rank(self, peer: Peer) -> tuple[bool, bool, bool, float]:
        own, record = self._own_record, peer.record
        return (
            record.name in self._asked,
            record.data_centre != own.data_centre,
            record.region != own.region,
            self._rng.random(),
        )
