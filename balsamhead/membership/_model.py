"""Define the rows of the table of members."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

__all__ = ("Member", "MemberStatus", "Place", "Upstream", "UpstreamState")


class MemberStatus(StrEnum):
    """Status of a node as the mesh sees it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    #: the node is stopping and accepts no new work
    LEAVING = "leaving"
    #: the node announced that it has stopped
    LEFT = "left"


class UpstreamState(StrEnum):
    """State that an upstream last announced."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    #: the upstream no longer sends announcements, or its process ended
    GONE = "gone"


class Place(NamedTuple):
    """Data centre and region in which a node runs."""

    data_centre: str
    region: str


class Upstream(NamedTuple):
    """Last announcement of an upstream to the node on its VM."""

    service: str
    version: str
    host: str
    port: int
    #: calls that it can run at once
    slots: int
    #: connections that it accepts from all nodes in total
    connections: int
    state: UpstreamState
    #: increases each time the upstream's process restarts on its VM
    incarnation: int


class Member(NamedTuple):
    """Record of one node; its versions are ordered by incarnation, sequence and status."""

    node: str
    #: start time of the node's process, in ms since the epoch
    incarnation: int
    #: increases with each change that the node makes to its own record
    sequence: int
    status: MemberStatus
    place: Place
    #: "address:port" of the node's peer port
    peer_address: str
    upstream: Upstream | None
    #: "address:port" at which other regions reach the peer port; empty if ``peer_address`` is
    border_address: str = ""
