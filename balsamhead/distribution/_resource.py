"""Convert a configuration state to named resources and back."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, NamedTuple

from balsamhead.document import Document, Region, Route, Service, prepare_route
from balsamhead.errors import MalformedMessageError
from balsamhead.fold import ConfigState, Rollout, Withdrawal
from balsamhead.util import codec
from balsamhead.wire import Resource

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

__all__ = ("compute_manifest_digest", "has_valid_references", "join_state", "split_state")

#: name of the resource with the fields that belong to no row
HEADER_NAME: Final = "head/"

_STEP: Final = "join-resources"


class _Header(NamedTuple):
    offset: int
    rules: int
    generation: int
    record_id: str
    document_offset: int
    #: name of the document; None before the first one
    document: str | None


def split_state(
    state: ConfigState,
    *,
    previous: ConfigState | None = None,
    resources: Mapping[str, Resource] | None = None,
) -> dict[str, Resource]:
    """Return the resources of a state by name.

    :param previous: state whose resources are known; equal rows are not encoded again.
    :param resources: the resources of ``previous``.
    """
    known_rows = dict(_list_rows(previous)) if previous is not None else {}
    known_resources = resources if resources is not None else {}
    parts: dict[str, Resource] = {}
    for name, row in _list_rows(state):
        body = known_resources.get(name) if known_rows.get(name) == row else None
        parts[name] = body or Resource(name, _encode_row(row))
    return parts


def join_state(resources: Mapping[str, Resource]) -> ConfigState:
    """Return the state that the resources contain.

    :raises MalformedMessageError: the header is missing, a resource can't be decoded, or a
        resource refers to a missing one.
    """
    rows = _decode_rows(resources.values())
    headers = rows["head"]
    if len(headers) != 1:
        raise MalformedMessageError("the header resource is missing", step=_STEP)

    header = headers[0]
    document = None
    if header.document is not None:
        document = Document(
            header.document, _sort(rows["region"]), _sort(rows["service"]), _sort(rows["route"])
        )
    state = ConfigState(
        offset=header.offset,
        rules=header.rules,
        document_offset=header.document_offset,
        document=document,
        rollouts=_sort(rows["rollout"]),
        withdrawn=_sort(rows["withdrawn"]),
        generation=header.generation,
        record_id=header.record_id,
    )
    if not has_valid_references(state):
        raise MalformedMessageError("a resource refers to a missing resource", step=_STEP)
    return state


def has_valid_references(state: ConfigState) -> bool:
    """Return whether all services and regions that rows refer to exist."""
    document = state.document
    if document is None:
        return not state.rollouts
    regions = {region.name for region in document.regions}
    if not all(regions.issuperset(route.regions) for route in document.routes):
        return False
    names = {service.name for service in document.services}
    referenced = {route.service for route in document.routes}
    referenced.update(rollout.service for rollout in state.rollouts)
    for service in document.services:
        referenced.update(service.depends_on)
    return referenced <= names


def compute_manifest_digest(resources: Mapping[str, Resource]) -> bytes:
    """Return the digest over the names and bodies of all resources of a version."""
    parts = []
    for name in sorted(resources):
        parts.append(name.encode())
        parts.append(codec.compute_digest(resources[name].body))
    return codec.compute_digest(b"\0".join(parts))


def _list_rows(state: ConfigState) -> Iterable[tuple[str, Any]]:
    document = state.document
    name = document.name if document is not None else None
    yield HEADER_NAME, _Header(
        state.offset, state.rules, state.generation, state.record_id, state.document_offset, name
    )
    for rollout in state.rollouts:
        yield f"rollout/{rollout.service}", rollout
    for row in state.withdrawn:
        yield f"withdrawn/{row.service}/{row.version}/{row.document_offset}", row
    if document is None:
        return
    for region in document.regions:
        yield f"region/{region.name}", region
    for service in document.services:
        yield f"service/{service.name}", service
    for route in document.routes:
        yield f"route/{route.name}", route


def _encode_row(row: Any) -> bytes:
    return codec.encode(prepare_route(row) if isinstance(row, Route) else row)


def _decode_rows(resources: Iterable[Resource]) -> dict[str, list[Any]]:
    rows: dict[str, list[Any]] = {kind: [] for kind in _ROW_TYPES}
    for resource in resources:
        kind = resource.name.partition("/")[0]
        if kind not in _ROW_TYPES:
            raise MalformedMessageError(f"unknown resource kind {kind!r}", step=_STEP)
        rows[kind].append(codec.decode(resource.body, _ROW_TYPES[kind], step=_STEP))
    return rows


def _sort(rows: list[Any]) -> tuple[Any, ...]:
    return tuple(sorted(rows))


_ROW_TYPES: Final[dict[str, type[Any]]] = {
    "head": _Header,
    "region": Region,
    "service": Service,
    "route": Route,
    "rollout": Rollout,
    "withdrawn": Withdrawal,
}
