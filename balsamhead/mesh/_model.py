"""Define the rows that the nodes of a mesh exchange and keep."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

__all__ = (
    "Config",
    "Limits",
    "Load",
    "NodeRecord",
    "OperatorState",
    "Order",
    "Part",
    "Phase",
    "Rollout",
    "Route",
    "RouteKind",
    "UpstreamRecord",
    "UpstreamState",
)


class RouteKind(StrEnum):
    """Say what may be repeated on a route."""

    #: idempotent
    SAFE = "safe"
    #: runs at most once
    ONCE = "once"
    #: idempotent, with large answers
    BULK = "bulk"


class Part(NamedTuple):
    """Give a service its share of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """Map requests by host and path to services."""

    name: str
    host: str
    #: begins and ends with a slash
    prefix: str
    kind: RouteKind
    #: longest time that a caller is kept waiting, in s
    timeout_s: float
    #: time within which an answer has its full worth, in s
    objective_s: float
    #: rank among routes, 0 is the highest
    priority: int
    #: upstreams to which one request may be sent
    max_attempts: int
    parts: tuple[Part, ...]


class Limits(NamedTuple):
    """Bound what a caller may send."""

    header_bytes: int
    body_bytes: int
    #: longest time that a caller may take for a request, in s
    header_timeout_s: float
    #: how long a connection may stay idle, in s
    idle_timeout_s: float


class Config(NamedTuple):
    """Hold one accepted configuration, whole."""

    version: int
    limits: Limits
    services: tuple[str, ...]
    routes: dict[str, Route]


class Order(NamedTuple):
    """Ask for a service's traffic to move to a version."""

    service: str
    version: str
    duration_s: float
    #: offset of the record that ordered it
    offset: int


class OperatorState(NamedTuple):
    """Hold all that the operator has written, up to an offset."""

    #: offset after the newest record that was taken in
    offset: int
    config: Config | None
    orders: dict[str, Order]


class UpstreamState(StrEnum):
    """Say whether an upstream takes new work."""

    READY = "ready"
    DRAINING = "draining"


class UpstreamRecord(NamedTuple):
    """Hold what an upstream says of itself."""

    id: str
    service: str
    address: str
    version: str
    slots: int
    state: UpstreamState
    #: how much longer it is slow after its start, in s
    cold_s: float
    #: when it started, in ms since the epoch
    born_ms: int
    #: grows with each message of one incarnation
    sequence: int


class Load(NamedTuple):
    """Hold how busy an upstream is."""

    #: requests that it runs
    running: int
    #: mean time of a request, in ms; 0 when none has ended
    service_ms: float
    #: requests that wait at its node, by rank
    queue: tuple[tuple[int, int], ...] = ()
    #: no slot has been free for some time
    saturated: bool = False
    #: share of its last requests that it failed, lost or shed, 0 to 1
    faults: float = 0.0

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return sum(number for _, number in self.queue)

    def count_ahead(self, priority: int) -> int:
        """Return how many requests run, or wait with a rank that isn't lower."""
        return self.running + sum(number for rank, number in self.queue if rank <= priority)


class NodeRecord(NamedTuple):
    """Name a node and where to reach it."""

    name: str
    #: grows with each start of the node
    incarnation: int
    address: str
    data_centre: str
    region: str
    service: str


class Phase(StrEnum):
    """Name the state of a rollout."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class Rollout(NamedTuple):
    """Hold how far a rollout has come."""

    service: str
    version: str
    #: offset of its order
    order: int
    phase: Phase
    #: grows with each step
    step: int
    #: share of the traffic that the version may get, 0 to 1
    share: float
    #: why it was taken back; empty otherwise
    reason: str = ""
