"""Decode messages of the operator and of upstreams, and encode what is sent back to them."""

from __future__ import annotations

import re
from typing import Annotated, Final

import msgspec

from balsamhead.errors import MalformedMessageError
from balsamhead.mesh.model import (
    MAX_INTEGER,
    Order,
    Phase,
    Rollout,
    UpstreamRecord,
    UpstreamState,
)
from balsamhead.platform.configuration import decode_config
from balsamhead.util.addresses import parse_address
from balsamhead.util.times import parse_duration

__all__ = (
    "CONFIG_KEY",
    "EVACUATION_KEY_PREFIX",
    "ROLLOUT_KEY_PREFIX",
    "decode_config",
    "decode_heartbeat",
    "decode_order",
    "decode_rollout_status",
    "encode_heartbeat_response",
    "encode_rollout_status",
    "is_upstream_id",
    "parse_announcement_path",
)

#: key of the record that holds the configuration
CONFIG_KEY: Final = "config"
#: prefix of the key of a rollout; the name of the service follows
ROLLOUT_KEY_PREFIX: Final = "rollout/"
#: prefix of the key of an evacuation; the name of the data centre follows
EVACUATION_KEY_PREFIX: Final = "evacuate/"

#: parent path of the resources to which upstreams send their heartbeats
_ANNOUNCEMENT_PATH: Final = "/instances"
_PHASE_NAMES: Final = {
    Phase.RUNNING: "running",
    Phase.COMPLETED: "completed",
    Phase.ROLLED_BACK: "rolled_back",
}
#: number of slots that an upstream may announce
_SlotCount = Annotated[int, msgspec.Meta(ge=1, le=10_000)]
_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
_Integer = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
#: id of an upstream: it stands in a header of each request
_UPSTREAM_ID: Final = re.compile(r"[!-~]{1,128}")


class _Order(msgspec.Struct):
    service: _Name
    target_version: _Name
    duration: str


class _Status(msgspec.Struct):
    state: str
    target_version: str
    #: offset of the order, by which nodes tell rollouts apart; the operator ignores it
    order: Annotated[int, msgspec.Meta(ge=-1, le=MAX_INTEGER)] = -1


class _Heartbeat(msgspec.Struct):
    service: _Name
    address: str
    zone: _Name
    version: _Name
    slots: _SlotCount
    state: str
    cold_left: str
    sequence: _Integer
    born: _Integer


def decode_order(data: bytes, *, offset: int) -> Order:
    """Decode an operator's order to start a rollout.

    :param offset: offset of the record that holds the order.
    :raises MalformedMessageError: the data can't be decoded.
    """
    try:
        raw = msgspec.json.decode(data, type=_Order)
        return Order(raw.service, raw.target_version, parse_duration(raw.duration), offset)
    except (msgspec.DecodeError, ValueError, RecursionError) as exc:
        raise _make_malformed_error("decode-order", exc) from exc


def decode_heartbeat(upstream_id: str, data: bytes) -> UpstreamRecord:
    """Decode the heartbeat of an upstream.

    :raises MalformedMessageError: the data can't be decoded, the id can't stand in a header, or
        the state, the address or a number is invalid.
    """
    try:
        raw = msgspec.json.decode(data, type=_Heartbeat)
        state = UpstreamState(raw.state)
        slow_start_s = parse_duration(raw.cold_left)
        parse_address(raw.address)
    except (msgspec.DecodeError, ValueError, RecursionError) as exc:
        raise _make_malformed_error("decode-heartbeat", exc) from exc
    if not is_upstream_id(upstream_id):
        raise _make_malformed_error("decode-heartbeat", "the id can't stand in a header")
    return UpstreamRecord(
        id=upstream_id,
        service=raw.service,
        address=raw.address,
        version=raw.version,
        slots=raw.slots,
        state=state,
        slow_start_s=slow_start_s,
        started_at_ms=raw.born,
        sequence=raw.sequence,
    )


def parse_announcement_path(path: str) -> str | None:
    """Return the upstream's id in the path of a heartbeat, or None for any other path."""
    prefix, _, upstream_id = path.rpartition("/")
    return upstream_id if prefix == _ANNOUNCEMENT_PATH and upstream_id else None


def is_upstream_id(text: str) -> bool:
    """Return whether an upstream may have this id, which stands in a header of each request."""
    return _UPSTREAM_ID.fullmatch(text) is not None


def encode_heartbeat_response() -> bytes:
    """Return the body of the response to a heartbeat."""
    return b"{}"


def encode_rollout_status(rollout: Rollout) -> tuple[str, bytes]:
    """Return the key and the value of the record that shows a rollout's state to the operator."""
    row = _Status(_PHASE_NAMES[rollout.phase], rollout.version, rollout.order)
    return ROLLOUT_KEY_PREFIX + rollout.service, msgspec.json.encode(row)


def decode_rollout_status(service: str, data: bytes) -> Rollout:
    """Decode a rollout's state that ``encode_rollout_status`` encoded.

    :raises MalformedMessageError: the data can't be decoded.
    """
    try:
        raw = msgspec.json.decode(data, type=_Status)
        phase = next(phase for phase, name in _PHASE_NAMES.items() if name == raw.state)
    except (msgspec.DecodeError, ValueError, StopIteration, RecursionError) as exc:
        raise _make_malformed_error("decode-status", exc) from exc
    return Rollout(service, raw.target_version, raw.order, phase, 0, 0.0)


def _make_malformed_error(step: str, cause: object) -> MalformedMessageError:
    return MalformedMessageError(f"message can't be decoded: {cause}", step=step)
