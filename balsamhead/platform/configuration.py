"""Decode the operator's configuration.

A row that can't be read costs that row: the record may be of a later release than this node.
"""

from __future__ import annotations

import hashlib
from typing import Annotated, Final, TypeVar

import msgspec

from balsamhead.errors import MalformedMessageError
from balsamhead.mesh.model import (
    MAX_INTEGER,
    Account,
    ColdStart,
    Config,
    Limits,
    Route,
    RouteKind,
    WeightedService,
)
from balsamhead.util.times import parse_duration

__all__ = ("decode_config", "digest_key")

#: size of the digest of a client account's key, in bytes
_KEY_DIGEST_BYTES: Final = 16
_UPLOAD: Final = "upload"
#: a kind that isn't listed is handled as the strictest one
_ROUTE_KINDS: Final = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.ONCE,
    _UPLOAD: RouteKind.ONCE,
    "download": RouteKind.BULK,
}
#: errors that a row with missing, odd or inconsistent fields raises
_ROW_ERRORS: Final = (msgspec.DecodeError, ValueError, RecursionError)
#: longest reason that is kept for a row that can't be read, in characters
_MAX_REASON: Final = 200

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
_Integer = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
_Number = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]

T = TypeVar("T")


class _Backend(msgspec.Struct):
    service: _Name
    weight: _Number


class _Place(msgspec.Struct):
    """Fields of a route that say which requests it matches."""

    host: str
    path_prefix: str


class _Route(_Place, kw_only=True):
    kind: str
    timeout: str
    target_latency: str = ""
    priority: _Integer = 0
    service: str = ""
    backends: list[_Backend] = []
    max_attempts: _Integer = 1
    allowed_regions: list[_Name] = []
    public: bool = False


class _Service(msgspec.Struct):
    cold_start: str = "0ms"
    cold_per_s: _Number = 0.0


class _Account(msgspec.Struct):
    api_keys: list[str]
    priority: _Integer = 0
    rate_per_s: _Number = 0.0
    burst: _Number = 0.0
    allowed_regions: list[_Name] = []


class _Limits(msgspec.Struct):
    max_header_bytes: _Integer
    max_body_bytes: _Integer
    header_timeout: str
    idle_timeout: str


class _Config(msgspec.Struct):
    version: _Integer
    routes: dict[str, msgspec.Raw]
    services: dict[str, msgspec.Raw]
    limits: _Limits
    tenants: dict[str, msgspec.Raw] | msgspec.UnsetType = msgspec.UNSET


def decode_config(data: bytes) -> Config:
    """Decode a configuration.

    A route that can't be read, or that refers to no known service, is kept and not served, so that
    no other route takes over its requests. An account that can't be read is left out with its
    keys.

    :raises MalformedMessageError: the data can't be decoded.
    """
    try:
        raw = msgspec.json.decode(data, type=_Config)
        limits = _convert_limits(raw.limits)
    except _ROW_ERRORS as exc:
        raise MalformedMessageError(
            f"message can't be decoded: {exc}", step="decode-config"
        ) from exc
    unreadable: list[str] = []
    return Config(
        raw.version,
        limits,
        tuple(sorted(raw.services)),
        _decode_routes(raw, unreadable),
        accounts=_decode_accounts(raw, unreadable),
        cold_starts=_decode_cold_starts(raw, unreadable),
        unreadable=tuple(unreadable),
    )


def digest_key(key: bytes) -> bytes:
    """Return the digest by which a key of a client account is known."""
    return hashlib.blake2b(key, digest_size=_KEY_DIGEST_BYTES).digest()


def _decode_routes(raw: _Config, unreadable: list[str]) -> dict[str, Route]:
    routes = {}
    for name, row in raw.routes.items():
        try:
            routes[name] = _convert_route(name, _decode_row(row, _Route), raw.services)
        except _ROW_ERRORS as exc:
            unreadable.append(_describe(f"route {name}", exc))
            unserved = _make_unserved_route(name, row)
            if unserved is not None:
                routes[name] = unserved
    return routes


def _decode_accounts(raw: _Config, unreadable: list[str]) -> dict[str, Account] | None:
    if isinstance(raw.tenants, msgspec.UnsetType):
        return None
    accounts = {}
    for name, row in raw.tenants.items():
        try:
            accounts[name] = _convert_account(name, _decode_row(row, _Account))
        except _ROW_ERRORS:
            # the error may quote a key
            unreadable.append(f"account {name}: a field is missing or has an invalid value")
    return accounts


def _decode_cold_starts(raw: _Config, unreadable: list[str]) -> dict[str, ColdStart] | None:
    cold_starts = {}
    for name, row in raw.services.items():
        try:
            service = _decode_row(row, _Service)
            duration_s = parse_duration(service.cold_start)
        except _ROW_ERRORS as exc:
            unreadable.append(_describe(f"service {name}", exc))
            continue
        if service.cold_per_s > 0.0:
            cold_starts[name] = ColdStart(duration_s, service.cold_per_s)
    return cold_starts or None


def _decode_row(row: msgspec.Raw, kind: type[T]) -> T:
    return msgspec.json.decode(row, type=kind)


def _describe(place: str, exc: Exception) -> str:
    return f"{place}: {exc}"[:_MAX_REASON]


def _make_unserved_route(name: str, row: msgspec.Raw) -> Route | None:
    """Return a route that keeps the place of one that can't be read; None if that is unknown."""
    try:
        place = _decode_row(row, _Place)
        _check_prefix(place.path_prefix)
    except _ROW_ERRORS:
        return None
    return Route(
        name=name,
        host=place.host.lower(),
        prefix=place.path_prefix,
        kind=RouteKind.ONCE,
        timeout_s=0.0,
        objective_s=0.0,
        priority=0,
        max_attempts=1,
        parts=(),
        served=False,
    )


def _convert_route(name: str, raw: _Route, services: dict[str, msgspec.Raw]) -> Route:
    _check_prefix(raw.path_prefix)
    parts = [WeightedService(row.service, row.weight) for row in raw.backends]
    if raw.service:
        parts = [WeightedService(raw.service, 1.0)]
    missing = [part.service for part in parts if part.service not in services]
    if missing or not parts:
        raise ValueError(f"it has no services, or unknown ones: {missing}")
    timeout_s = parse_duration(raw.timeout)
    return Route(
        name=name,
        host=raw.host.lower(),
        prefix=raw.path_prefix,
        kind=_ROUTE_KINDS.get(raw.kind, RouteKind.ONCE),
        timeout_s=timeout_s,
        objective_s=parse_duration(raw.target_latency) if raw.target_latency else timeout_s,
        priority=raw.priority,
        max_attempts=max(1, raw.max_attempts),
        parts=tuple(parts),
        allowed_regions=tuple(sorted(raw.allowed_regions)),
        public=raw.public,
        large_requests=raw.kind == _UPLOAD,
    )


def _check_prefix(prefix: str) -> None:
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError(f"prefix {prefix[:80]!r} doesn't begin and end with a slash")


def _convert_account(name: str, raw: _Account) -> Account:
    if not name or any(not "!" <= char <= "~" for char in name):
        raise ValueError("the name can't stand in a header")
    return Account(
        name=name,
        priority=raw.priority,
        rate_per_s=raw.rate_per_s,
        burst=raw.burst,
        key_digests=tuple(digest_key(key.encode()) for key in raw.api_keys),
        allowed_regions=tuple(sorted(raw.allowed_regions)),
    )


def _convert_limits(raw: _Limits) -> Limits:
    return Limits(
        header_bytes=raw.max_header_bytes,
        body_bytes=raw.max_body_bytes,
        header_timeout_s=parse_duration(raw.header_timeout),
        idle_timeout_s=parse_duration(raw.idle_timeout),
    )
