"""Validate the content of a configuration document, however it was received."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.document._digest import encode_document
from balsamhead.document._model import Document, Region, Route, Service
from balsamhead.document._path import PatternIndex, find_pattern_fault, split_pattern
from balsamhead.document._schema import (
    MAX_DATA_CENTRES,
    MAX_DOCUMENT_BYTES,
    MAX_ROWS,
    OBJECTIVE_FIELDS,
    REGION_FIELDS,
    ROLLOUT_FIELDS,
    ROUTE_FIELDS,
    SERVICE_FIELDS,
    TOP_FIELDS,
)
from balsamhead.errors import Mistake
from balsamhead.util.fields import find_fault, quote_text

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

    from balsamhead.util.fields import Field

__all__ = ("check_document",)

#: largest number of index nodes visited while path patterns are checked for overlaps
MAX_OVERLAP_VISITS: Final = 100_000
#: largest number of services that the message about a dependency cycle names
MAX_CYCLE_NAMES: Final = 10
#: shortest time from writing a document to the due time of a version in it, in s
MIN_LEAD_TIME_S: Final = 10.0
#: longest time from writing a document to the due time of a version in it, in s
MAX_LEAD_TIME_S: Final = 400 * 86_400.0


class _CheckedRows(NamedTuple):
    """Rows that were validated when the document in force was accepted."""

    services: frozenset[Service]
    routes: frozenset[Route]
    #: name, version and due time of each service
    due_times: frozenset[tuple[str, str, float]]

    @classmethod
    def from_document(cls, document: Document | None) -> _CheckedRows:
        """Collect the rows of the document in force; there are none if it is None."""
        if document is None:
            return cls(frozenset(), frozenset(), frozenset())
        rows = document.services
        due_times = frozenset((row.name, row.version, row.due_at) for row in rows)
        return cls(frozenset(rows), frozenset(document.routes), due_times)


def check_document(
    document: Document, *, written_at: float, previous: Document | None = None
) -> tuple[Mistake, ...]:
    """Return all mistakes in a document; equal arguments always give equal results.

    If a table is empty or has too many rows, only mistakes of this kind are returned.

    :param written_at: when the document was written, in s since the epoch.
    :param previous: the document in force, which must have passed this check. The fields of a
        row that is unchanged from it are not validated again, and an unchanged due time may
        lie in the past.
    """
    sizes = tuple(_check_sizes(document))
    if sizes:
        return sizes

    checked = _CheckedRows.from_document(previous)
    mistakes = [*_check_fields("", document, TOP_FIELDS)]
    mistakes += _check_regions(document.regions)
    mistakes += _check_services(document.services, checked, written_at)
    mistakes += _check_routes(document.routes, checked, document.services)
    mistakes += _check_route_regions(document.routes, document.regions)
    if not mistakes and len(encode_document(document)) > MAX_DOCUMENT_BYTES:
        mistakes.append(
            _make_size_mistake("", f"must encode to at most {MAX_DOCUMENT_BYTES:,} bytes")
        )
    return tuple(mistakes)


def _check_sizes(document: Document) -> Iterator[Mistake]:
    tables: tuple[tuple[str, Sequence[object]], ...] = (
        ("region", document.regions),
        ("service", document.services),
        ("route", document.routes),
    )
    for key, rows in tables:
        limit = MAX_ROWS[key]
        if len(rows) > limit:
            yield _make_size_mistake(key, f"{len(rows):,} rows; at most {limit:,} are allowed")
        if not rows:
            yield Mistake(key, "key-missing", f"at least one [[{key}]] is needed")


def _check_fields(path: str, row: object, fields: Iterable[Field]) -> Iterator[Mistake]:
    for field in fields:
        if field.key == "due":
            continue
        fault = find_fault(field, getattr(row, field.attribute))
        if fault is not None:
            yield Mistake(f"{path}{field.key}", fault.code, fault.message)


def _check_names(key: str, rows: Iterable[Region | Service | Route]) -> Iterator[Mistake]:
    number_by_name: dict[str, int] = {}
    for number, row in enumerate(rows, start=1):
        first = number_by_name.setdefault(row.name, number)
        if first != number:
            message = f"{quote_text(row.name)} is the name of {key}[{first}] already"
            yield Mistake(f"{key}[{number}].name", "name-duplicate", message)


def _check_regions(regions: tuple[Region, ...]) -> Iterator[Mistake]:
    yield from _check_names("region", regions)
    region_by_data_centre: dict[str, str] = {}
    for number, region in enumerate(regions, start=1):
        path = f"region[{number}]."
        yield from _check_fields(path, region, REGION_FIELDS)
        for data_centre in region.data_centres:
            region_name = region_by_data_centre.setdefault(data_centre, region.name)
            if region_name != region.name:
                message = (
                    f"{quote_text(data_centre)} is in region {quote_text(region_name)} already"
                )
                yield Mistake(f"{path}data-centres", "name-duplicate", message)
    if len(region_by_data_centre) > MAX_DATA_CENTRES:
        yield _make_size_mistake(
            "region", f"at most {MAX_DATA_CENTRES} data centres are allowed in all"
        )


def _check_services(
    services: tuple[Service, ...], checked: _CheckedRows, written_at: float
) -> Iterator[Mistake]:
    yield from _check_names("service", services)
    names = {service.name for service in services}
    for number, service in enumerate(services, start=1):
        path = f"service[{number}]."
        if service not in checked.services:
            yield from _check_fields(path, service, SERVICE_FIELDS)
            yield from _check_fields(f"{path}objective.", service.objective, OBJECTIVE_FIELDS)
            yield from _check_fields(f"{path}rollout.", service.rollout, ROLLOUT_FIELDS)
        for dependency in service.depends_on:
            if dependency not in names:
                yield _make_missing_service_mistake(f"{path}depends-on", dependency)
        if (service.name, service.version, service.due_at) not in checked.due_times:
            yield from _check_due_time(f"{path}due", service.due_at, written_at)
    yield from _check_cycles(services)


def _check_due_time(path: str, due_at: float, written_at: float) -> Iterator[Mistake]:
    if due_at == 0:
        return
    lead_time_s = due_at - written_at
    if MIN_LEAD_TIME_S <= lead_time_s <= MAX_LEAD_TIME_S:
        return
    when = (
        f"{-lead_time_s:,.0f} s in the past" if lead_time_s < 0 else f"{lead_time_s:,.0f} s ahead"
    )
    message = (
        f"the time due lies {when}; it must lie {MIN_LEAD_TIME_S:,.0f} s to "
        f"{MAX_LEAD_TIME_S / 86_400:,.0f} days ahead, or be left out when none is promised"
    )
    yield Mistake(path, "time-due-impossible", message)


def _check_cycles(services: tuple[Service, ...]) -> Iterator[Mistake]:
    """Yield a mistake for each cycle found among the services that a topological sort leaves."""
    rows = {service.name: service for service in services}
    dependencies = {
        service.name: {dependency for dependency in service.depends_on if dependency in rows}
        for service in services
    }
    dependents: dict[str, list[str]] = {name: [] for name in dependencies}
    for name, needed_services in dependencies.items():
        for dependency in needed_services:
            dependents[dependency].append(name)

    ready = [name for name, needed_services in dependencies.items() if not needed_services]
    while ready:
        name = ready.pop()
        del dependencies[name]
        for dependent in dependents[name]:
            dependencies[dependent].discard(name)
            if not dependencies[dependent]:
                ready.append(dependent)

    numbers = {service.name: number for number, service in enumerate(services, start=1)}
    for cycle in _find_cycles(dependencies):
        rendered = _render_cycle(cycle)
        path = f"service[{numbers[cycle[0]]}].depends-on"
        yield Mistake(path, "dependency-cycle", f"services depend on each other: {rendered}")


def _render_cycle(cycle: list[str]) -> str:
    names = [quote_text(name) for name in (*cycle, cycle[0])]
    if len(names) > MAX_CYCLE_NAMES:
        names[MAX_CYCLE_NAMES - 2 : -1] = [f"{len(names) - MAX_CYCLE_NAMES + 1} more"]
    return " -> ".join(names)


def _find_cycles(dependencies: dict[str, set[str]]) -> Iterator[list[str]]:
    visited: set[str] = set()
    for start in sorted(dependencies):
        positions: dict[str, int] = {}
        name = start
        while name not in visited:
            visited.add(name)
            positions[name] = len(positions)
            name = min(dependencies[name])
        if name in positions:
            yield list(positions)[positions[name] :]


def _check_routes(
    routes: tuple[Route, ...], checked: _CheckedRows, services: tuple[Service, ...]
) -> Iterator[Mistake]:
    yield from _check_names("route", routes)
    names = {service.name for service in services}
    for number, route in enumerate(routes, start=1):
        path = f"route[{number}]."
        if route.service not in names:
            yield _make_missing_service_mistake(f"{path}service", route.service)
        if route in checked.routes:
            continue
        yield from _check_fields(path, route, ROUTE_FIELDS)
        fault = find_pattern_fault(route.path)
        if fault:
            yield Mistake(f"{path}path", "path-invalid", fault)
    yield from _check_overlaps(routes, checked)


def _check_route_regions(
    routes: tuple[Route, ...], regions: tuple[Region, ...]
) -> Iterator[Mistake]:
    data_centres = {region.name: region.data_centres for region in regions}
    for number, route in enumerate(routes, start=1):
        path = f"route[{number}].regions"
        missing = [name for name in route.regions if name not in data_centres]
        for name in missing:
            message = f"no [[region]] has the name {quote_text(name)}"
            yield Mistake(path, "region-missing", message)
        if route.regions and not missing and not any(map(data_centres.get, route.regions)):
            yield Mistake(path, "region-empty", "none of these regions has a data centre")


def _check_overlaps(routes: tuple[Route, ...], checked: _CheckedRows) -> Iterator[Mistake]:
    indexes: dict[str, PatternIndex] = {}
    visits = 0
    for number, route in enumerate(routes, start=1):
        if route not in checked.routes and find_pattern_fault(route.path):
            continue
        segments = split_pattern(route.path)
        methods = frozenset(route.methods)
        index = indexes.setdefault(route.host, PatternIndex())
        visits -= index.visits
        overlapping = index.find_overlapping(segments, methods)
        visits += index.visits
        index.add(segments, methods, number)
        if overlapping is not None:
            yield _make_overlap_mistake(
                f"route[{number}].path", route, overlapping, routes[overlapping - 1]
            )
        if visits > MAX_OVERLAP_VISITS:
            message = "too many patterns with variables to compare; put literal segments first"
            yield _make_size_mistake(f"route[{number}].path", message)
            return


def _make_overlap_mistake(path: str, route: Route, number: int, other: Route) -> Mistake:
    methods = ", ".join(sorted({*route.methods} & {*other.methods}))
    names = f"route {quote_text(route.name)} and route[{number}] {quote_text(other.name)}"
    message = f"{names} match the same calls: {methods} {route.path} and {other.path}"
    return Mistake(path, "routes-overlap", message)


def _make_missing_service_mistake(path: str, name: str) -> Mistake:
    return Mistake(path, "service-missing", f"no [[service]] has the name {quote_text(name)}")


def _make_size_mistake(path: str, message: str) -> Mistake:
    return Mistake(path, "document-too-large", message)
