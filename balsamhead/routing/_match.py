"""Match a call to a route by host, path and method."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple
from urllib.parse import unquote

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamhead.document import Route

__all__ = ("Match", "RouteTable")

#: last segment of a pattern, which matches the rest of a path
_WILDCARD = "**"
#: maximum number of matches that a table caches
_MAX_CACHED_MATCHES = 4096


class Match(NamedTuple):
    """Result of a look-up.

    If no route matches, ``route`` is None and ``methods`` lists the methods of the routes that
    match the host and the path.
    """

    route: Route | None
    methods: tuple[str, ...]


class _Pattern(NamedTuple):
    rank: tuple[int, ...]
    segments: tuple[str, ...]
    has_wildcard: bool
    route: Route


def _is_variable(segment: str) -> bool:
    return segment.startswith("{") and segment.endswith("}")


def _rank_segment(segment: str) -> int:
    if segment == _WILDCARD:
        return 2
    return 1 if _is_variable(segment) else 0


def _split_path(path: str) -> tuple[str, ...]:
    return tuple(path.strip("/").split("/"))


def _compile(route: Route) -> _Pattern:
    segments = _split_path(route.path)
    has_wildcard = segments[-1] == _WILDCARD
    rank = tuple(_rank_segment(segment) for segment in segments)
    leading = segments[:-1] if has_wildcard else segments
    return _Pattern(rank, leading, has_wildcard, route)


def _matches_path(pattern: _Pattern, segments: tuple[str, ...]) -> bool:
    leading = pattern.segments
    if len(segments) < len(leading) or (len(segments) > len(leading) and not pattern.has_wildcard):
        return False
    pairs = zip(leading, segments, strict=False)
    return all(
        expected == actual or (_is_variable(expected) and actual) for expected, actual in pairs
    )


class RouteTable:
    """Routes by host, ordered from the most to the least specific path.

    A literal segment takes precedence over a variable, and both over the wildcard ``**``.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        by_host: dict[str, list[_Pattern]] = {}
        for route in routes:
            by_host.setdefault(route.host.lower(), []).append(_compile(route))
        for patterns in by_host.values():
            patterns.sort(key=lambda pattern: (pattern.rank, pattern.route.name))
        self._by_host = by_host
        self._cache: dict[tuple[str, str, str], Match] = {}

    def match(self, *, host: str, path: str, method: str) -> Match:
        """Return the route of a call; ``path`` excludes the query string."""
        key = (host, path, method)
        found = self._cache.get(key)
        if found is not None:
            return found

        found = self._search(host.partition(":")[0].lower(), path, method)
        if found.route is not None and len(self._cache) < _MAX_CACHED_MATCHES:
            self._cache[key] = found
        return found

    def _search(self, host: str, path: str, method: str) -> Match:
        segments = tuple(unquote(segment) for segment in _split_path(path))
        methods: list[str] = []
        for pattern in self._by_host.get(host, ()):
            if not _matches_path(pattern, segments):
                continue
            if method in pattern.route.methods:
                return Match(pattern.route, pattern.route.methods)
            methods.extend(pattern.route.methods)
        return Match(None, tuple(sorted(set(methods))))
