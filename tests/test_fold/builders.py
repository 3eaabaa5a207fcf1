"""Build documents, records and configuration states for tests."""

from __future__ import annotations

from balsamhead.document import Document, Objective, Region, RolloutPolicy, Route, Service
from balsamhead.fold import ConfigState, PublishDocument, empty_state, fold

NOW = 1_800_000_000.0
POLICY = RolloutPolicy("on-time", 60.0, 0.05, 2.0, 0.01)


def build_service(name: str, version: str = "v1", due_at: float = NOW + 600) -> Service:
    objective = Objective(0.999, 50.0, 0.99)
    return Service(name, 4, 6, 130, (), version, due_at, objective, POLICY)


def build_route(name: str, service: str, deadline_ms: int = 500) -> Route:
    return Route(
        name, service, "plots.example", f"/{name}/{{id}}", ("GET",), deadline_ms, True, False
    )


def build_document(**versions: str) -> Document:
    regions = (Region("east", ("dc-1",)), Region("west", ("dc-2",)))
    services = tuple(build_service(name, version) for name, version in versions.items())
    routes = tuple(build_route(f"route-{name}", name) for name in versions)
    return Document("garden", regions, services, routes)


def build_publish(
    document: Document, *, base: int, record_id: str = "p", at: float = NOW
) -> PublishDocument:
    return PublishDocument(id=record_id, base=base, written_at=at, writer="op", document=document)


def publish(state: ConfigState, document: Document, *, offset: int) -> ConfigState:
    record = build_publish(document, base=state.document_offset, record_id=f"p{offset}")
    folded = fold(state, offset, record)
    assert folded.state.offset > state.offset, folded.verdict
    return folded.state


def build_state(**versions: str) -> ConfigState:
    return publish(empty_state(), build_document(**versions), offset=0)
