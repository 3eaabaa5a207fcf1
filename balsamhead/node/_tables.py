"""Define the state that the systems of a node share."""

from __future__ import annotations

from typing import NamedTuple

from balsamhead.fold import ConfigState, empty_state
from balsamhead.membership import Member, Place

__all__ = ("Identity", "LinkRow", "Tables")


class Identity(NamedTuple):
    """Identity of this node and of its current process."""

    node: str
    #: start time of this process, in ms since the epoch
    incarnation: int
    place: Place
    peer_address: str
    #: "trial" or "production"; also the name of the log stream
    environment: str
    #: "address:port" at which other regions reach the peer port; empty if it is ``peer_address``
    border_address: str = ""


class LinkRow(NamedTuple):
    """Open link to a peer."""

    peer: str
    address: str
    place: Place
    inbound: bool
    #: when data last arrived from the peer, in s since the epoch
    received_at: float


class Tables:
    """State that more than one system reads.

    Only membership writes ``members`` and ``links``, and only distribution writes ``config``.
    Distribution and rollouts add entries to ``withdrawn``.
    """

    def __init__(self, identity: Identity) -> None:
        self.identity = identity
        self.members: dict[str, Member] = {}
        #: increases with each change to ``members``, so that readers detect changes cheaply
        self.members_revision: int = 0
        self.links: dict[str, LinkRow] = {}
        #: the configuration in force; its offset never decreases
        self.config: ConfigState = empty_state()
        #: digest of the configuration in force
        self.config_digest: bytes = b""
        #: reason by (service, version, document offset) of each withdrawn version, which receives
        #: no calls; entries are never removed
        self.withdrawn: dict[tuple[str, str, int], str] = {}
        #: increases with each change to ``config`` or ``withdrawn``
        self.config_revision: int = 0
        #: when the log last responded, in s since the epoch; 0 before the first response
        self.log_responded_at: float = 0.0
        #: the node is shutting down and accepts no new calls
        self.stopping: bool = False
