"""Define the rows of a configuration document."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ("Document", "Objective", "Region", "RolloutPolicy", "Route", "Service")


class Region(NamedTuple):
    """A region and its data centres."""

    name: str
    data_centres: tuple[str, ...]


class Objective(NamedTuple):
    """Service-level objective of a service."""

    #: share of calls that must succeed, 0 to 1
    availability: float
    #: latency within which ``latency_share`` of the calls must end, in ms
    latency_ms: float
    #: share of calls that must end within ``latency_ms``, 0 to 1
    latency_share: float


class RolloutPolicy(NamedTuple):
    """Policy for shifting traffic to a new version of a service."""

    #: the preset that gives the values that are not set: "on-time" or "quick-rollback"
    preset: str
    #: how long the old version is kept available after the last step, in s
    watch_s: float
    #: largest share of calls that a new version may get before there is evidence that it
    #: works, 0 to 1
    first_share: float
    #: largest factor by which one step may raise the share
    step_factor: float
    #: accepted probability of rolling back a version that is as good as the old one, 0 to 1
    false_positive_rate: float


class Service(NamedTuple):
    """A service, its capacity and its target version."""

    name: str
    #: workers that are expected to announce themselves
    workers: int
    #: calls that a worker runs concurrently
    slots: int
    #: connections that a worker accepts from all nodes together
    connections: int
    #: names of the services that this one calls
    depends_on: tuple[str, ...]
    #: the target version, which receives all traffic once its rollout is complete
    version: str
    #: time by which all traffic must be on ``version``, in s since the epoch; 0 for no due time
    due_at: float
    objective: Objective
    rollout: RolloutPolicy


class Route(NamedTuple):
    """Rule that maps calls to a service by host, path and method."""

    name: str
    service: str
    host: str
    #: pattern of segments, each after a "/": a literal, "{name}" for any one non-empty segment,
    #: or "**" in the last place for zero or more segments
    path: str
    methods: tuple[str, ...]
    #: total time that a caller's request may take, in ms
    deadline_ms: int
    #: running a request more than once has the same effect as running it once
    idempotent: bool
    #: responses are large and are streamed at low priority
    bulk: bool
    #: names of the regions in which calls may run; empty for all
    regions: tuple[str, ...] = ()


class Document(NamedTuple):
    """Complete configuration of one environment."""

    name: str
    regions: tuple[Region, ...]
    services: tuple[Service, ...]
    routes: tuple[Route, ...]
