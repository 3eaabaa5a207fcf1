"""Keep recent versions of the operator's state, and compute, apply and encode deltas."""

from __future__ import annotations

import zlib
from collections import OrderedDict
from typing import TYPE_CHECKING, Final, NamedTuple

import cbor2
import msgspec

from balsamhead.errors import MalformedMessageError
from balsamhead.mesh.model import (
    Account,
    ColdStart,
    Config,
    Limits,
    OperatorState,
    Order,
    Route,
)
from balsamhead.util import codec

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ("StateDelta", "StateHistory", "decode_delta", "encode_delta")

#: earlier states that are kept as bases of deltas
_MAX_EARLIER_STATES: Final = 12
#: largest decompressed delta, in bytes
_MAX_DELTA_BYTES: Final = 16 << 20


#: fields of a delta and of a route that nodes of each release expect; later ones are sent only if
#: they hold more than their default
_FIRST_DELTA_FIELDS: Final = 8
_FIRST_ROUTE_FIELDS: Final = 9


class AccountsDelta(NamedTuple):
    """Difference between the client accounts of two states."""

    changed: dict[str, Account]
    removed: tuple[str, ...]


class StateDelta(NamedTuple):
    """Difference between two states of the operator."""

    #: offset of the base state; -1 if the delta holds the whole state
    base: int
    offset: int
    version: int
    limits: Limits | None
    services: tuple[str, ...]
    changed: dict[str, Route]
    removed: tuple[str, ...]
    orders: dict[str, Order]
    #: data centres whose upstreams are to get no requests
    evacuated: tuple[str, ...] = ()
    #: None if the deployment has no client accounts
    accounts: AccountsDelta | None = None
    #: all services whose upstreams have a cold phase
    cold_starts: dict[str, ColdStart] | None = None
    #: the newest configuration could not be read
    config_outdated: bool = False


#: position of the changed routes in an encoded delta
_CHANGED_INDEX: Final = StateDelta._fields.index("changed")


class StateHistory:
    """The operator's newest state and a few earlier ones; the offset never decreases."""

    def __init__(self) -> None:
        self.state = OperatorState(-1, None, {})
        self._earlier: OrderedDict[int, OperatorState] = OrderedDict()

    @property
    def offset(self) -> int:
        """Return the offset of the newest state, or -1 if there is none."""
        return self.state.offset

    def add(self, state: OperatorState) -> bool:
        """Add a state if its offset is higher than the newest; return whether it was added.

        A configuration with a lower version than the current one is ignored.
        """
        current = self.state
        if state.offset <= current.offset:
            return False
        config = state.config
        if config is None or (current.config and config.version < current.config.version):
            config = current.config
        if config is not None and current.config is not None:
            config = _reuse_routes(config, current.config)
        if current.offset >= 0:
            self._earlier[current.offset] = current
            while len(self._earlier) > _MAX_EARLIER_STATES:
                self._earlier.popitem(last=False)
        self.state = state._replace(config=config)
        return True

    def make_delta(self, base: int) -> StateDelta | None:
        """Return the delta from the state at offset ``base``, or the whole state if unavailable.

        Return None when there is no configuration yet.
        """
        state = self.state
        if state.config is None:
            return None
        earlier = self._earlier.get(base)
        base_config = earlier.config if earlier is not None else None
        if earlier is None or base_config is None:
            return _compute_delta(-1, Config(-1, state.config.limits, (), {}), state)
        return _compute_delta(base, base_config, state)

    def apply_delta(self, delta: StateDelta) -> bool | None:
        """Apply a delta and return whether it was newer; None if its base is not the newest state.

        :raises MalformedMessageError: a route names an unknown service.
        """
        if delta.offset <= self.offset:
            return False
        current = self.state.config
        if delta.base >= 0 and (delta.base != self.offset or current is None):
            return None
        routes = {} if delta.base < 0 or current is None else dict(current.routes)
        for name in delta.removed:
            routes.pop(name, None)
        routes.update(delta.changed)
        limits = delta.limits or (current.limits if current is not None else None)
        if limits is None:
            return None
        accounts = _apply_accounts(
            current.accounts if delta.base >= 0 and current is not None else None, delta.accounts
        )
        config = Config(delta.version, limits, delta.services, routes, accounts, delta.cold_starts)
        if any(
            part.service not in config.services
            for route in delta.changed.values()
            for part in route.parts
        ):
            raise MalformedMessageError(
                "state delta has a route to an unknown service", step="apply-change"
            )
        return self.add(
            OperatorState(
                delta.offset, config, delta.orders, delta.evacuated, delta.config_outdated
            )
        )


def encode_delta(delta: StateDelta) -> bytes:
    """Encode a delta as compressed CBOR."""
    plain = codec.drop_trailing_defaults(delta, keep=_FIRST_DELTA_FIELDS)
    plain[_CHANGED_INDEX] = {
        name: codec.drop_trailing_defaults(route, keep=_FIRST_ROUTE_FIELDS)
        for name, route in delta.changed.items()
    }
    return zlib.compress(cbor2.dumps(msgspec.to_builtins(plain, builtin_types=(bytes,))), 6)


def decode_delta(data: bytes, *, peer: str) -> StateDelta:
    """Decode a delta from a peer.

    :raises MalformedMessageError: the data is truncated, too large or does not match the type.
    """
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, _MAX_DELTA_BYTES)
    except zlib.error as exc:
        raise _make_delta_error(exc, peer) from exc
    if not decompressor.eof:
        raise _make_delta_error("truncated, or too large when decompressed", peer)
    return codec.decode(decompressed, StateDelta, step="decode-change", peer=peer)


def _make_delta_error(cause: object, peer: str) -> MalformedMessageError:
    return MalformedMessageError(
        f"cannot decode state delta: {cause}", step="decode-change", peer=peer
    )


def _compute_delta(base: int, base_config: Config, state: OperatorState) -> StateDelta:
    config = state.config
    assert config is not None
    changed = {
        name: route
        for name, route in config.routes.items()
        if base_config.routes.get(name) != route
    }
    return StateDelta(
        base=base,
        offset=state.offset,
        version=config.version,
        limits=config.limits if base < 0 or config.limits != base_config.limits else None,
        services=config.services,
        changed=changed,
        removed=tuple(_list_removed_routes(base_config.routes, config.routes)),
        orders=state.orders,
        evacuated=state.evacuated,
        accounts=_compute_accounts_delta(base_config.accounts, config.accounts),
        cold_starts=config.cold_starts,
        config_outdated=state.config_outdated,
    )


def _compute_accounts_delta(
    base: dict[str, Account] | None, accounts: dict[str, Account] | None
) -> AccountsDelta | None:
    if accounts is None:
        return None
    known = base or {}
    return AccountsDelta(
        {name: row for name, row in accounts.items() if known.get(name) != row},
        tuple(name for name in known if name not in accounts),
    )


def _apply_accounts(
    base: dict[str, Account] | None, delta: AccountsDelta | None
) -> dict[str, Account] | None:
    if delta is None:
        return None
    accounts = dict(base or {})
    for name in delta.removed:
        accounts.pop(name, None)
    accounts.update(delta.changed)
    return accounts


def _list_removed_routes(previous: Iterable[str], routes: dict[str, Route]) -> list[str]:
    return [name for name in previous if name not in routes]


def _reuse_routes(config: Config, previous: Config) -> Config:
    routes = {}
    for name, route in config.routes.items():
        old = previous.routes.get(name)
        routes[name] = old if old == route else route
    return config._replace(routes=routes)
