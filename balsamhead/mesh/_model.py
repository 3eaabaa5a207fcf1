"""Define the records that the nodes of a mesh exchange and store."""

from __future__ import annotations

from enum import StrEnum
from typing import Final, NamedTuple

from balsamhead.util.addresses import parse_address

__all__ = (
    "MAX_INTEGER",
    "ROUTE_PRIORITIES",
    "Account",
    "ColdStart",
    "Config",
    "Crash",
    "CrashReport",
    "Departure",
    "Directory",
    "Limits",
    "Load",
    "NodeRecord",
    "OperatorReading",
    "OperatorState",
    "Order",
    "Phase",
    "Refusal",
    "Rollout",
    "Route",
    "RouteKind",
    "SuspectRow",
    "UpstreamNotice",
    "UpstreamRecord",
    "UpstreamState",
    "WeightedService",
    "WithdrawnVersion",
)


#: largest number in a record that another process has written
MAX_INTEGER: Final = (1 << 63) - 1
#: priorities of routes that are told apart within one priority of a client account
ROUTE_PRIORITIES: Final = 16


class RouteKind(StrEnum):
    """Kind of a route, which determines whether its requests may be retried."""

    #: idempotent; may be retried
    SAFE = "safe"
    #: not idempotent, or of an unknown kind; runs at most once
    ONCE = "once"
    #: idempotent, with large responses; may be retried
    BULK = "bulk"


class WeightedService(NamedTuple):
    """Service and its weight in the split of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Rule that maps requests to services by host and path prefix."""

    name: str
    host: str
    #: begins and ends with a slash
    prefix: str
    kind: RouteKind
    #: upper bound of the time that a caller waits for a response, in s
    timeout_s: float
    #: latency objective, in s
    objective_s: float
    #: priority of its requests; 0 is the highest
    priority: int
    #: number of upstreams that one request may reach
    max_attempts: int
    parts: tuple[WeightedService, ...]
    #: regions in which its requests may be served; empty for all
    allowed_regions: tuple[str, ...] = ()
    #: its requests need no key of a client account
    public: bool = False
    #: False if the operator's record of the route could not be read; its requests are refused
    served: bool = True
    #: its requests have large bodies
    large_requests: bool = False


class Account(NamedTuple):
    """Client account, whose callers identify themselves by a key."""

    name: str
    #: priority of its requests, which precedes that of the route; 0 is the highest
    priority: int
    #: requests per s that all nodes together accept; 0 for no limit
    rate_per_s: float
    #: requests that are accepted at once beyond that rate
    burst: float
    #: digests of its keys; the keys themselves are not kept
    key_digests: tuple[bytes, ...]
    #: regions in which its requests may be served; empty for all
    allowed_regions: tuple[str, ...] = ()


class ColdStart(NamedTuple):
    """What the upstreams of a service can take while they are cold."""

    #: how long an upstream is cold after its start, in s
    duration_s: float
    #: requests per s that a cold upstream tolerates, from all nodes together
    rate_per_s: float


class Limits(NamedTuple):
    """Size limits and timeouts for the requests and connections of callers."""

    header_bytes: int
    body_bytes: int
    #: time within which a caller must have sent a whole request, in s
    header_timeout_s: float
    #: how long a connection may stay idle, in s
    idle_timeout_s: float


class Config(NamedTuple):
    """A complete configuration that has passed validation."""

    version: int
    limits: Limits
    services: tuple[str, ...]
    routes: dict[str, Route]
    #: client accounts by name; None if requests need no key
    accounts: dict[str, Account] | None = None
    #: services whose upstreams have a cold phase
    cold_starts: dict[str, ColdStart] | None = None
    #: parts of the operator's record that could not be read, each with the reason
    unreadable: tuple[str, ...] = ()


class Order(NamedTuple):
    """Order of the operator to roll out a version of a service."""

    service: str
    version: str
    duration_s: float
    #: offset of the operator's record that holds the order
    offset: int


class OperatorState(NamedTuple):
    """State that results from the operator's records up to an offset."""

    #: offset after the newest record that was applied
    offset: int
    config: Config | None
    orders: dict[str, Order]
    #: data centres whose upstreams are to get no requests, in alphabetical order
    evacuated: tuple[str, ...] = ()
    #: the newest configuration could not be read, so that ``config`` is an earlier one; recorded
    #: only if that has client accounts
    config_outdated: bool = False


class OperatorReading(NamedTuple):
    """What a read of the operator's records returned."""

    state: OperatorState
    #: the store held no record beyond the state's offset when it responded
    confirmed: bool


class UpstreamState(StrEnum):
    """Announced state of an upstream; only a READY one accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


class UpstreamRecord(NamedTuple):
    """Announcement of an upstream."""

    id: str
    service: str
    address: str
    version: str
    slots: int
    state: UpstreamState
    #: remaining time of its slow start, in s
    slow_start_s: float
    #: when it started, in ms since the epoch
    started_at_ms: int
    #: increases with each announcement of one incarnation
    sequence: int


class UpstreamNotice(NamedTuple):
    """What one incarnation of an upstream has said of itself."""

    upstream_id: str
    #: when the incarnation started, in ms since the epoch
    started_at_ms: int
    #: requests per s that it accepts from all nodes together; None for no limit
    limit_per_s: float | None
    #: it is leaving and gets no more requests
    leaving: bool


class Load(NamedTuple):
    """Load of an upstream."""

    #: number of requests that are running
    running: int
    #: mean time of a request, in ms; 0 if none has ended yet
    service_ms: float
    #: number of requests that are queued at its node, by priority
    queue: tuple[tuple[int, int], ...] = ()
    #: requests are queued, and no slot has been free for some time
    saturated: bool = False
    #: moving average of the share of requests that failed, were lost or were shed, 0 to 1
    failure_rate: float = 0.0

    @property
    def waiting(self) -> int:
        """Return the number of queued requests."""
        return sum(count for _, count in self.queue)

    def count_requests_ahead(self, priority: int) -> int:
        """Return the number of requests that run or are queued with at least this priority."""
        return self.running + sum(
            count for queued_priority, count in self.queue if queued_priority <= priority
        )


class NodeRecord(NamedTuple):
    """Name, address and location of a node."""

    name: str
    #: increases with each start of the node
    incarnation: int
    address: str
    data_centre: str
    region: str
    service: str

    def check(self) -> None:
        """Check that the record names a node that can be dialled.

        :raises ValueError: the name is empty, the address is malformed, or the incarnation is out
            of range.
        """
        parse_address(self.address)
        if not self.name or not 0 <= self.incarnation <= MAX_INTEGER:
            raise ValueError("empty name, or incarnation out of range")


class Crash(NamedTuple):
    """A crash of an upstream, as it concerns one request that was running."""

    #: node beside the upstream
    node: str
    #: start of the incarnation that crashed, in ms since the epoch
    started_at_ms: int
    #: the request was sent although an earlier crash under an equal one was known
    repeated: bool
    #: no request but equal ones was running
    alone: bool
    #: service of the VM that the request came from
    caller_service: str = ""
    #: the request was on trial: the only one of the mesh, and no other one on trial was running
    on_trial: bool = False


class SuspectRow(NamedTuple):
    """A request that was running in a crash."""

    fingerprint: bytes
    crash: Crash


class CrashReport(NamedTuple):
    """Requests that are suspected since they were running when a node's upstream crashed."""

    written_at_ms: int
    rows: tuple[SuspectRow, ...]


class Refusal(NamedTuple):
    """A request that is refused since upstreams have crashed under it."""

    fingerprint: bytes
    crashes: tuple[Crash, ...]
    #: when the refusal ends, in ms since the epoch
    expires_at_ms: int


class Departure(NamedTuple):
    """Departure of an upstream, as its node remembers it."""

    upstream_id: str
    #: when the incarnation started; if it had not been announced, when it left; in ms since the
    #: epoch
    time_ms: int
    #: the incarnation had been announced; otherwise all that started before ``time_ms`` have left
    announced: bool


class WithdrawnVersion(NamedTuple):
    """Version of a service that gets no calls until it is ordered again."""

    version: str
    #: offset of the order that was rolled back or replaced
    order: int
    #: it was rolled back; otherwise another order replaced its own before it was completed
    rolled_back: bool


class Directory(NamedTuple):
    """What nodes keep in the store for each other."""

    nodes: list[NodeRecord]
    refusals: list[Refusal]
    #: departures that nodes have acknowledged to their upstreams, by node name
    departures: dict[str, tuple[Departure, ...]]
    #: crashes of upstreams, by the name of their node
    crash_reports: dict[str, CrashReport]
    #: versions that get no calls, by service
    withdrawn: dict[str, tuple[WithdrawnVersion, ...]]


class Phase(StrEnum):
    """Phase of a rollout."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class Rollout(NamedTuple):
    """State of a rollout."""

    service: str
    version: str
    #: offset of the order that started it
    order: int
    phase: Phase
    #: increases with each step
    step: int
    #: share of the calls that the version gets, 0 to 1
    share: float
    #: why it was rolled back; empty otherwise
    reason: str = ""
