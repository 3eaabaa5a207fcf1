"""Builders of documents, rollouts and call counts for the rollout tests."""

from __future__ import annotations

from balsamhead.document import Document, Objective, Region, RolloutPolicy, Route, Service
from balsamhead.fold import ConfigState, Rollout, RolloutPhase, empty_state
from balsamhead.membership import Member, MemberStatus, Place, Upstream, UpstreamState
from balsamhead.node import Identity, Tables
from balsamhead.rollout import PRESETS, Evidence
from balsamhead.wire import CallCount

#: start of the virtual clock, in s since the epoch
START = 1_000_000.0

SERVICE = "plot-registry"
ROUTES = ("offers", "queue-position")


def make_policy() -> RolloutPolicy:
    return PRESETS["on-time"]


def make_service(**changes: object) -> Service:
    service = Service(
        name=SERVICE,
        workers=4,
        slots=6,
        connections=130,
        depends_on=(),
        version="v2",
        due_at=START + 600.0,
        objective=Objective(availability=0.999, latency_ms=100.0, latency_share=0.99),
        rollout=make_policy(),
    )
    return service._replace(**changes)  # type: ignore[arg-type]


def make_route(name: str, service: str = SERVICE) -> Route:
    return Route(name, service, "plotlist.example", f"/{name}", ("GET",), 1000, True, False)


def make_document(service: Service | None = None) -> Document:
    regions = (Region("east", ("east-tbilisi", "east-telavi")),)
    routes = tuple(make_route(name) for name in ROUTES)
    return Document("plotlist", regions, (service or make_service(),), routes)


def make_rollout(**changes: object) -> Rollout:
    rollout = Rollout(
        service=SERVICE,
        offset=1,
        document_offset=1,
        old="v1",
        new="v2",
        share=0.0,
        phase=RolloutPhase.SHIFTING,
        paused=False,
        due_at=START + 600.0,
        started_at=START,
        reason="",
        stepped_at=START,
    )
    return rollout._replace(**changes)  # type: ignore[arg-type]


def make_state(rollout: Rollout | None = None, service: Service | None = None) -> ConfigState:
    return empty_state()._replace(
        offset=1,
        document_offset=1,
        document=make_document(service),
        rollouts=(rollout or make_rollout(),),
    )


def make_member(node: str, version: str = "", data_centre: str = "east-tbilisi") -> Member:
    upstream = None
    if version:
        upstream = Upstream(SERVICE, version, "127.0.0.1", 80, 6, 130, UpstreamState.READY, 1)
    place = Place(data_centre, "east")
    return Member(node, 1, 1, MemberStatus.ALIVE, place, f"{node}:1", upstream)


def make_members() -> dict[str, Member]:
    """Return eight nodes in two data centres, with four upstreams of each version."""
    members = {}
    for index in range(8):
        place = ("east-tbilisi", "east-telavi")[index % 2]
        version = ("v1", "v2")[index // 4]
        members[f"node-{index}"] = make_member(f"node-{index}", version, place)
    return members


def make_tables(node: str, rollout: Rollout | None = None) -> Tables:
    members = make_members()
    member = members[node]
    tables = Tables(Identity(node, 1, member.place, member.peer_address, "trial"))
    tables.members = members
    tables.config = make_state(rollout)
    tables.config_revision = 1
    return tables


def make_count(version: str, calls: int, errors: int = 0, **changes: object) -> CallCount:
    count = CallCount(SERVICE, ROUTES[0], version, calls, errors, 0, 0, 0)
    return count._replace(**changes)  # type: ignore[arg-type]


def make_evidence(routes: int = 1, data_centres: int = 1) -> Evidence:
    service = make_service()
    return Evidence(
        service=SERVICE,
        old="v1",
        new="v2",
        policy=service.rollout,
        objective=service.objective,
        routes=routes,
        data_centres=data_centres,
        onset_window_s=1800.0,
        now=START,
    )
