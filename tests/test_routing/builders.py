"""Builders of documents, members and snapshots for the routing tests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamhead.document import Document, Objective, Region, RolloutPolicy, Route, Service
from balsamhead.fold import ConfigState, Rollout, RolloutPhase, empty_state
from balsamhead.membership import Member, MemberStatus, Place, Upstream, UpstreamState
from balsamhead.node import Identity
from balsamhead.routing import Snapshot, build_snapshot

if TYPE_CHECKING:
    from collections.abc import Iterable

HOST = "mesh.test"
HERE = Place("east-a", "east")


def make_service(name: str = "desk", *, version: str = "v1", slots: int = 6) -> Service:
    objective = Objective(0.999, 200.0, 0.99)
    policy = RolloutPolicy("on-time", 60.0, 0.01, 2.0, 0.01)
    return Service(name, 9, slots, 130, (), version, 0.0, objective, policy)


def make_route(
    name: str = "read",
    *,
    path: str = "/read/{id}",
    methods: tuple[str, ...] = ("GET", "HEAD"),
    idempotent: bool = True,
    bulk: bool = False,
    deadline_ms: int = 2000,
    service: str = "desk",
    regions: tuple[str, ...] = (),
) -> Route:
    return Route(name, service, HOST, path, methods, deadline_ms, idempotent, bulk, regions)


READ = make_route()
WRITE = make_route("write", path="/write/{id}", methods=("POST",), idempotent=False)
BULK = make_route("bulk", path="/bulk/**", bulk=True, deadline_ms=60_000)


def make_config(
    routes: Iterable[Route] = (READ, WRITE, BULK),
    services: Iterable[Service] = (make_service(),),
    rollouts: tuple[Rollout, ...] = (),
) -> ConfigState:
    regions = (Region("east", ("east-a", "east-b")), Region("west", ("west-a",)))
    document = Document("test", regions, tuple(services), tuple(routes))
    return empty_state()._replace(offset=1, document_offset=1, document=document, rollouts=rollouts)


def make_rollout(share: float, phase: RolloutPhase = RolloutPhase.SHIFTING) -> Rollout:
    return Rollout("desk", 1, 1, "v1", "v2", share, phase, False, 0.0, 0.0, "")


def make_member(
    node: str,
    *,
    host: str = "127.0.0.1",
    port: int = 1,
    version: str = "v1",
    place: Place = HERE,
    state: UpstreamState = UpstreamState.READY,
    status: MemberStatus = MemberStatus.ALIVE,
    slots: int = 6,
    incarnation: int = 1,
) -> Member:
    upstream = Upstream("desk", version, host, port, slots, 130, state, incarnation)
    return Member(node, 1, 1, status, place, "127.0.0.1:1", upstream)


def make_identity(node: str = "caller") -> Identity:
    return Identity(node, 1, HERE, "127.0.0.1:1", "trial")


def make_snapshot(
    members: Iterable[Member],
    *,
    config: ConfigState | None = None,
    withdrawn: dict[tuple[str, str, int], str] | None = None,
    node: str = "caller",
) -> Snapshot:
    return build_snapshot(
        config=config or make_config(),
        withdrawn=withdrawn or {},
        members=members,
        identity=make_identity(node),
    )
