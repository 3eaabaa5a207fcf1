"""Hold the operator's state and turn it into differences for peers."""

from __future__ import annotations

import zlib
from collections import OrderedDict
from typing import TYPE_CHECKING, Final, NamedTuple

import cbor2
import msgspec

from balsamhead.errors import MalformedMessageError
from balsamhead.mesh.model import Config, Limits, OperatorState, Order, Route

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ("Change", "StateBook", "decode_change", "encode_change")

#: earlier states that are kept to tell peers the difference from them
_KEPT_STATES: Final = 12
#: bound on a change that was unpacked, in bytes
_MAX_CHANGE_BYTES: Final = 16 << 20


class Change(NamedTuple):
    """Hold the difference between two states of the operator."""

    #: offset of the state that it starts from; -1 for none
    base: int
    offset: int
    version: int
    limits: Limits | None
    services: tuple[str, ...]
    changed: dict[str, Route]
    removed: tuple[str, ...]
    orders: dict[str, Order]


class StateBook:
    """Hold the newest state and some before it; the offset never falls."""

    def __init__(self) -> None:
        self.state = OperatorState(-1, None, {})
        self._earlier: OrderedDict[int, OperatorState] = OrderedDict()

    @property
    def offset(self) -> int:
        """Return the offset of the newest state; -1 for none."""
        return self.state.offset

    def advance(self, state: OperatorState) -> bool:
        """Take in a newer state; tell whether it was newer."""
        known = self.state
        if state.offset <= known.offset:
            return False
        config = state.config
        if config is None or (known.config and config.version < known.config.version):
            config = known.config
        if config is not None and known.config is not None:
            config = _share_rows(config, known.config)
        if known.offset >= 0:
            self._earlier[known.offset] = known
            while len(self._earlier) > _KEPT_STATES:
                self._earlier.popitem(last=False)
        self.state = state._replace(config=config)
        return True

    def make_change(self, base: int) -> Change | None:
        """Return the difference from an earlier state, from nothing when it isn't kept."""
        state = self.state
        if state.config is None:
            return None
        earlier = self._earlier.get(base)
        known = earlier.config if earlier is not None else None
        if earlier is None or known is None:
            return _make_difference(-1, Config(-1, state.config.limits, (), {}), state)
        return _make_difference(base, known, state)

    def apply_change(self, change: Change) -> bool | None:
        """Apply a difference; None when it starts from a state that isn't held."""
        if change.offset <= self.offset:
            return False
        known = self.state.config
        if change.base >= 0 and (change.base != self.offset or known is None):
            return None
        routes = {} if change.base < 0 or known is None else dict(known.routes)
        for name in change.removed:
            routes.pop(name, None)
        routes.update(change.changed)
        limits = change.limits or (known.limits if known is not None else None)
        if limits is None:
            return None
        config = Config(change.version, limits, change.services, routes)
        if any(
            part.service not in config.services
            for route in change.changed.values()
            for part in route.parts
        ):
            raise MalformedMessageError("a route names an unknown service", step="apply-change")
        return self.advance(OperatorState(change.offset, config, change.orders))


def encode_change(change: Change) -> bytes:
    """Encode a change as packed CBOR."""
    return zlib.compress(cbor2.dumps(msgspec.to_builtins(change)), 6)


def decode_change(data: bytes, *, peer: str) -> Change:
    """Decode a change.

    :raises MalformedMessageError: it can't be read.
    """
    try:
        unpacker = zlib.decompressobj()
        unpacked = unpacker.decompress(data, _MAX_CHANGE_BYTES)
        if not unpacker.eof:
            raise ValueError("cut short or too large")
        return msgspec.convert(cbor2.loads(unpacked), Change)
    except (zlib.error, cbor2.CBORDecodeError, msgspec.ValidationError, ValueError) as exc:
        raise MalformedMessageError(
            f"change can't be decoded: {exc}", step="decode-change", peer=peer
        ) from exc


def _make_difference(base: int, known: Config, state: OperatorState) -> Change:
    config = state.config
    assert config is not None
    changed = {
        name: route for name, route in config.routes.items() if known.routes.get(name) != route
    }
    return Change(
        base=base,
        offset=state.offset,
        version=config.version,
        limits=config.limits if base < 0 or config.limits != known.limits else None,
        services=config.services,
        changed=changed,
        removed=tuple(_list_removed(known.routes, config.routes)),
        orders=state.orders,
    )


def _list_removed(known: Iterable[str], routes: dict[str, Route]) -> list[str]:
    return [name for name in known if name not in routes]


def _share_rows(config: Config, known: Config) -> Config:
    routes = {}
    for name, route in config.routes.items():
        old = known.routes.get(name)
        routes[name] = old if old == route else route
    return config._replace(routes=routes)
