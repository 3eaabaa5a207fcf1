"""Messages of other writers with fields that are missing, of another type, or out of range.

Each is applied whole or not at all: it is rejected, or decodes to what the whole message does.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, NamedTuple

import cbor2
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamhead.errors import MalformedMessageError
from balsamhead.mesh.model import (
    Crash,
    CrashReport,
    Departure,
    NodeRecord,
    Refusal,
    Route,
    SuspectRow,
    WithdrawnVersion,
)
from balsamhead.platform.messages import (
    decode_config,
    decode_heartbeat,
    decode_order,
    decode_rollout_status,
)
from balsamhead.platform.records import PlatformRecords
from balsamhead.platform.store import StoreClient
from balsamhead.util import codec
from standin.platform_store import PlatformStore
from tests.test_mesh.builders import STORE, make_config, make_route, run_virtual
from tests.test_platform.builders import HEARTBEAT


class Message(NamedTuple):
    """A kind of message: an example, how it is decoded, and the fields that may be left out."""

    example: dict[str, Any]
    decode: Callable[[bytes], Any]
    optional: frozenset[str] = frozenset()


def decode_route(row: dict[str, Any]) -> Route:
    """Decode a route in a configuration.

    :raises MalformedMessageError: the route is not served.
    """
    config = decode_config(json.dumps(make_config(3) | {"routes": {"check": row}}).encode())
    route = config.routes.get("check")
    if route is None or not route.served:
        raise MalformedMessageError(str(config.unreadable), step="test")
    return route


MESSAGES = {
    "heartbeat": Message(HEARTBEAT, lambda data: decode_heartbeat("i-1", data)),
    "order": Message(
        {"service": "desk", "target_version": "v2", "duration": "12s"},
        lambda data: decode_order(data, offset=9),
    ),
    "status": Message(
        {"state": "running", "target_version": "v2", "order": 3},
        lambda data: decode_rollout_status("desk", data),
        frozenset({"order"}),
    ),
    "configuration": Message(make_config(3), decode_config),
    "route": Message(
        make_route(backends=[]),
        lambda data: decode_route(json.loads(data)),
        frozenset({"target_latency", "priority", "max_attempts", "backends"}),
    ),
    "limits": Message(
        make_config()["limits"],
        lambda data: decode_config(
            json.dumps(make_config(3) | {"limits": json.loads(data)}).encode()
        ),
    ),
}
#: values of types, and out of ranges, that no field has
ODD_VALUES = st.one_of(
    st.none(),
    st.just([]),
    st.just({}),
    st.just([1, "a"]),
    st.just({"a": 1}),
    st.just(-1),
    st.just(10**40),
    st.just(1.5),
    st.just(True),
)


def encode(message: dict[str, Any]) -> bytes:
    return json.dumps(message).encode()


def list_fields() -> list[tuple[str, str]]:
    return [(kind, field) for kind, row in MESSAGES.items() for field in row.example]


@pytest.mark.parametrize(("kind", "field"), list_fields())
def test_message_without_a_required_field_is_rejected(kind: str, field: str) -> None:
    message = MESSAGES[kind]
    rest = {key: value for key, value in message.example.items() if key != field}
    if field in message.optional:
        message.decode(encode(rest))
        return
    with pytest.raises(MalformedMessageError):
        message.decode(encode(rest))


@given(st.sampled_from(list_fields()), ODD_VALUES)
def test_message_with_an_odd_field_is_rejected(field: tuple[str, str], value: Any) -> None:
    kind, name = field
    message = MESSAGES[kind]
    if type(value) is type(message.example[name]) and value not in (-1, 10**40):
        return
    if field == ("status", "order") and value == -1:
        # it says that the order is unknown
        return
    with pytest.raises(MalformedMessageError):
        message.decode(encode(message.example | {name: value}))


@given(st.sampled_from(sorted(MESSAGES)), st.text(min_size=1), ODD_VALUES)
def test_unknown_fields_change_nothing(kind: str, name: str, value: Any) -> None:
    message = MESSAGES[kind]
    if name in message.example:
        return
    whole = message.decode(encode(message.example))
    assert message.decode(encode({name: value} | message.example)) == whole


@given(st.sampled_from(sorted(MESSAGES)), st.data())
def test_message_that_is_cut_or_changed_is_rejected_or_whole(
    kind: str, data: st.DataObject
) -> None:
    message = MESSAGES[kind]
    whole = encode(message.example)
    end = data.draw(st.integers(0, len(whole) - 1))
    with pytest.raises((MalformedMessageError, json.JSONDecodeError)):
        message.decode(whole[:end])


#: records that nodes keep for each other, by key
RECORDS: dict[str, Any] = {
    "node-1": NodeRecord("node-1", 5, "10.0.0.1:8004", "east-a", "east", "desk"),
    "refusal/" + "66" * 16: Refusal(b"f" * 16, (Crash("node-1", 7, True, False, "desk"),), 60_000),
    "departures/node-1": (Departure("i-1", 5, announced=True),),
    "withdrawn/desk": (WithdrawnVersion("v2", 5, rolled_back=True),),
    "crashes/node-1": CrashReport(
        60_000, (SuspectRow(b"f" * 16, Crash("node-1", 7, True, False, "desk")),)
    ),
}


@given(st.sampled_from(sorted(RECORDS)), st.data(), ODD_VALUES)
def test_record_of_a_node_with_an_odd_field_is_skipped_alone(
    key: str, data: st.DataObject, value: Any
) -> None:
    plain = msgspec.to_builtins(RECORDS[key], builtin_types=(bytes,))
    is_list = key.startswith(("departures/", "withdrawn/"))
    rows = plain[0] if is_list else plain
    place = data.draw(st.integers(0, len(rows) - 1))
    if type(value) is type(rows[place]) and value not in (-1, 10**40):
        return
    if value == [] and isinstance(rows[place], (list, tuple)):
        return
    odd_row = [*rows[:place], value, *rows[place + 1 :]]
    odd = [odd_row] if is_list else odd_row

    async def main() -> None:
        store = PlatformStore()
        await store.start(STORE)
        store.put("keyed.nodes", "node-2", codec.encode(RECORDS["node-1"]._replace(name="node-2")))
        store.put("keyed.nodes", key, cbor2.dumps(odd))
        directory = await PlatformRecords(StoreClient(STORE)).read_directory()
        assert [node.name for node in directory.nodes] == ["node-2"]
        assert directory.refusals == []
        assert directory.departures == {}
        assert directory.crash_reports == {}
        assert directory.withdrawn == {}

    run_virtual(main)
