"""Find entries of a valid document that can't have the effect that they seem to have."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final
from urllib.parse import unquote

from balsamhead.document._path import PatternIndex, split_pattern
from balsamhead.errors import Mistake
from balsamhead.util.fields import quote_text

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from balsamhead.document._model import Document, RolloutPolicy, Route, Service

__all__ = ("find_warnings",)

#: largest number of index nodes visited to find the routes that take the calls of others
MAX_INDEX_VISITS: Final = 100_000


def find_warnings(
    document: Document,
    *,
    written_at: float,
    get_shortest_rollout_s: Callable[[RolloutPolicy], float],
    previous: Document | None = None,
) -> tuple[Mistake, ...]:
    """Return the warnings about a document; its places name rows, not their numbers.

    :param document: a document that has passed ``check_document``.
    :param written_at: when the document is published, in s since the epoch.
    :param get_shortest_rollout_s: returns the shortest time in s from publishing a version to the
        time due at which a rollout with this policy can be on time.
    :param previous: the document in force; None if it is not known.
    """
    never_matching = dict(_find_never_matching(document.routes))
    warnings = list(never_matching.values())
    warnings += _check_reachability(document, set(never_matching))
    warnings += _check_deadlines(document)
    for service in document.services:
        warnings += _check_connections(service, document.services)
    old_services = {row.name: row for row in previous.services} if previous is not None else {}
    for service in document.services:
        old = old_services.get(service.name)
        if previous is not None and (old is None or old.version == service.version):
            # a service that is new, or keeps its version, starts no rollout
            continue
        shortest_s = get_shortest_rollout_s(service.rollout)
        warnings += _check_time_due(service, old, written_at, shortest_s)
    return tuple(warnings)


def _find_never_matching(routes: tuple[Route, ...]) -> Iterator[tuple[str, Mistake]]:
    """Yield the name of each route that no usual call matches, with the warning.

    Two routes that match the same call are a mistake, so no other route can hide one. But calls
    are matched by their unescaped segments, with which a literal that holds an escape is compared
    as it is written.
    """
    indexes: dict[str, PatternIndex] | None = None
    for route in routes:
        segments = split_pattern(route.path)
        unescaped = tuple(unquote(segment) for segment in segments)
        if unescaped == segments:
            continue
        if indexes is None:
            indexes = _index_patterns(routes)
        taker = _find_taker(route, unescaped, routes, indexes[route.host])
        message = "segments of a call are unescaped before they are compared, so a literal with"
        message += f' an escape matches only calls that escape its "%"; {taker}'
        place = f'route "{route.name}".path'
        yield route.name, Mistake(place, "route-never-matches", message)


def _index_patterns(routes: tuple[Route, ...]) -> dict[str, PatternIndex]:
    indexes: dict[str, PatternIndex] = {}
    for number, route in enumerate(routes):
        index = indexes.setdefault(route.host, PatternIndex())
        index.add(split_pattern(route.path), frozenset(route.methods), number)
    return indexes


def _find_taker(
    route: Route, unescaped: tuple[str, ...], routes: tuple[Route, ...], index: PatternIndex
) -> str:
    """Describe what happens to the calls that a route is meant for."""
    if index.visits > MAX_INDEX_VISITS:
        return "other calls go to another route or are refused"
    number = index.find_overlapping(unescaped, frozenset(route.methods))
    if number is None or routes[number].name == route.name:
        return "other calls are refused"
    return f"route {quote_text(routes[number].name)} takes the other calls"


def _check_reachability(document: Document, never_matching: set[str]) -> Iterator[Mistake]:
    reachable = {row.service for row in document.routes if row.name not in never_matching}
    routes = {row.service: row.name for row in document.routes}
    callers: dict[str, str] = {}
    for service in document.services:
        for name in service.depends_on:
            callers.setdefault(name, service.name)
    for service in document.services:
        if service.name in reachable:
            continue
        route = routes.get(service.name)
        message = "no route leads to the service; it gets no calls"
        if route:
            message = f"only routes that no usual call matches, such as {quote_text(route)}, lead "
            message += "to the service"
        if service.name in callers:
            message += f", though service {quote_text(callers[service.name])} depends on it"
        yield Mistake(f'service "{service.name}"', "service-unreachable", message)


def _check_deadlines(document: Document) -> Iterator[Mistake]:
    services = {service.name: service for service in document.services}
    for route in document.routes:
        latency_ms = services[route.service].objective.latency_ms
        if route.deadline_ms < latency_ms:
            message = (
                f"calls end after {route.deadline_ms:,} ms, before the latency-ms "
                f"{latency_ms:,g} of service {quote_text(route.service)}"
            )
            place = f'route "{route.name}".deadline-ms'
            yield Mistake(place, "deadline-below-objective", message)


def _check_connections(service: Service, services: tuple[Service, ...]) -> Iterator[Mistake]:
    """Compare the connections of a service with the calls that need one each."""
    place = f'service "{service.name}".connections'
    if service.connections < service.slots:
        message = f"{service.connections:,} connections can't carry calls for {service.slots:,} "
        message += "slots: each call needs a connection of its own"
        yield Mistake(place, "connections-below-slots", message)

    connections = service.workers * service.connections
    callers = [row for row in services if service.name in row.depends_on]
    caller = max(callers, key=lambda row: row.workers * row.slots, default=None)
    if caller is not None and connections < caller.workers * caller.slots:
        message = (
            f"{service.workers:,} workers accept {connections:,} connections in all; service "
            f"{quote_text(caller.name)}, which calls them, runs up to "
            f"{caller.workers * caller.slots:,} calls at once"
        )
        yield Mistake(place, "connections-below-callers", message)


def _check_time_due(
    service: Service, old: Service | None, written_at: float, shortest_s: float
) -> Iterator[Mistake]:
    place = f'service "{service.name}".due'
    if not service.due_at:
        if old is not None:
            message = f"a rollout from {old.version} to {service.version} needs a time due; the "
            message += f"document is refused unless {service.version} has all calls already"
            yield Mistake(place, "time-due-missing", message)
        return
    lead_time_s = service.due_at - written_at
    if lead_time_s < shortest_s:
        message = (
            f"lies {lead_time_s:,.0f} s ahead; a rollout with these settings takes at least "
            f"{shortest_s:,.0f} s, however many calls there are"
        )
        yield Mistake(place, "time-due-too-near", message)
