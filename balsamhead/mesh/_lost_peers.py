"""Dial the peers that could not be reached for long, in turn and at a bounded rate."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from balsamhead.mesh._peers import Peer

__all__ = ("LostPeers",)

#: interval between two connection attempts to any of the lost peers, in s
_DIAL_INTERVAL_S: Final = 1.0
#: interval between two connection attempts to the same one, in s
_PEER_INTERVAL_S: Final = 4.0
#: largest number of lost peers; the one that has been lost longest is forgotten for a further one
_MAX_PEERS: Final = 4096


class LostPeers:
    """Peers that are lost, the one that is dialled next first."""

    def __init__(self) -> None:
        #: time of the last connection attempt to each, in s of the loop's clock
        self._dialled_at: dict[str, float] = {}
        self._dial_at = 0.0

    def __contains__(self, name: object) -> bool:
        return name in self._dialled_at

    def add(self, peer: Peer, now: float) -> str | None:
        """Add a peer that has just been dialled; return the name of one that is to be forgotten."""
        forgotten = None
        if len(self._dialled_at) >= _MAX_PEERS:
            forgotten = next(iter(self._dialled_at))
            del self._dialled_at[forgotten]
        self._dialled_at[peer.record.name] = now
        return forgotten

    def discard(self, name: str) -> bool:
        """Remove a peer; return whether it was lost."""
        return self._dialled_at.pop(name, None) is not None

    def drain(self) -> list[str]:
        """Remove all peers and return their names."""
        names = list(self._dialled_at)
        self._dialled_at.clear()
        return names

    def pop_due(self, now: float) -> str | None:
        """Return the name of the peer to dial now, and move it to the end; None if none is due."""
        if now < self._dial_at or not self._dialled_at:
            return None
        name = next(iter(self._dialled_at))
        if now - self._dialled_at[name] < _PEER_INTERVAL_S:
            return None
        self._dial_at = now + _DIAL_INTERVAL_S
        del self._dialled_at[name]
        self._dialled_at[name] = now
        return name
