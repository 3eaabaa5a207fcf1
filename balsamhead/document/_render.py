"""Render a document as TOML."""

from __future__ import annotations

import json
from datetime import UTC, datetime
from typing import TYPE_CHECKING

from balsamhead.document._schema import (
    OBJECTIVE_FIELDS,
    REGION_FIELDS,
    ROLLOUT_FIELDS,
    ROUTE_FIELDS,
    SERVICE_FIELDS,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from balsamhead.document._model import Document, Route, Service
    from balsamhead.util.fields import Field

__all__ = ("render_document",)


def render_document(document: Document) -> str:
    """Return TOML text, without comments, that parses to the given valid document."""
    lines = [f"name = {json.dumps(document.name)}"]
    for region in document.regions:
        lines += ["", "[[region]]", *_render_fields(region, REGION_FIELDS)]
    for service in document.services:
        lines += ["", "[[service]]", *_render_service(service)]
    for route in document.routes:
        lines += ["", "[[route]]", *_render_route(route)]
    return "\n".join(lines) + "\n"


def _render_service(service: Service) -> Iterator[str]:
    yield from _render_fields(service, (f for f in SERVICE_FIELDS if f.key != "due"))
    if service.due_at:
        yield f"due = {datetime.fromtimestamp(service.due_at, UTC).isoformat()}"
    yield from ("", "[service.objective]")
    yield from _render_fields(service.objective, OBJECTIVE_FIELDS)
    yield from ("", "[service.rollout]")
    yield from _render_fields(service.rollout, ROLLOUT_FIELDS)


def _render_route(route: Route) -> Iterator[str]:
    # nodes of the release before reject the key
    fields = (f for f in ROUTE_FIELDS if f.key != "regions" or route.regions)
    return _render_fields(route, fields)


def _render_fields(row: object, fields: Iterable[Field]) -> Iterator[str]:
    for field in fields:
        yield f"{field.key} = {_render_value(getattr(row, field.attribute))}"


def _render_value(value: object) -> str:
    match value:
        case bool():
            return "true" if value else "false"
        case float() | int():
            return repr(value)
        case tuple():
            return "[" + ", ".join(json.dumps(item) for item in value) + "]"
        case _:
            return json.dumps(value)
