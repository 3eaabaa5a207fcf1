from __future__ import annotations

import json
from typing import Any

import pytest

from balsamhead.errors import MalformedMessageError
from balsamhead.mesh.model import ColdStart, Phase, Rollout, RouteKind, UpstreamState
from balsamhead.platform.configuration import digest_key
from balsamhead.platform.messages import (
    decode_config,
    decode_heartbeat,
    decode_order,
    decode_rollout_status,
    encode_rollout_status,
)
from balsamhead.util.times import parse_duration
from tests.test_mesh.builders import make_config, make_route
from tests.test_platform.builders import HEARTBEAT


def encode(value: object) -> bytes:
    return json.dumps(value).encode()


@pytest.mark.parametrize(("text", "seconds"), [("1500ms", 1.5), ("2.5s", 2.5), ("0ms", 0.0)])
def test_duration_is_parsed_to_seconds(text: str, seconds: float) -> None:
    assert parse_duration(text) == seconds


# A duration of 400 digits was taken for an infinite one.
@pytest.mark.parametrize(
    "text", ["9" * 400 + "s", "1." + "9" * 400 + "s", "-1s", "1e3s", "\u0661s"]
)
def test_duration_out_of_range_is_rejected(text: str) -> None:
    with pytest.raises(ValueError, match="is not a duration"):
        parse_duration(text)


@pytest.mark.parametrize("text", ["", "5", "5m", "-1s", "1 s", "sms"])
def test_malformed_durations_are_rejected(text: str) -> None:
    with pytest.raises(ValueError, match="is not a duration"):
        parse_duration(text)


def test_configuration_is_decoded() -> None:
    backends = [{"service": "desk", "weight": 90}, {"service": "registry", "weight": 10}]
    split = make_route(kind="download", backends=backends)
    del split["service"]
    config = decode_config(encode(make_config(7, split=split)))
    assert config.version == 7
    assert config.routes["check"].kind is RouteKind.SAFE
    assert config.routes["accept"].kind is RouteKind.ONCE
    assert config.routes["split"].kind is RouteKind.BULK
    assert [part.weight for part in config.routes["split"].parts] == [90, 10]
    assert config.limits.idle_timeout_s == 15.0


# One odd row took the whole configuration down on every node: nothing was served.
@pytest.mark.parametrize(
    "changes",
    [
        {"service": "unknown"},
        {"service": ""},
        {"kind": 3},
        {"timeout": "soon"},
        {"allowed_regions": "east"},
        {"public": "yes"},
    ],
)
def test_route_that_cannot_be_read_is_not_served_and_costs_no_other(
    changes: dict[str, Any],
) -> None:
    config = decode_config(encode(make_config(1, check=make_route(**changes))))
    assert not config.routes["check"].served
    assert config.routes["accept"].served
    assert len(config.unreadable) == 1


def test_route_of_unknown_place_is_left_out() -> None:
    config = decode_config(encode(make_config(1, check=make_route(host=3))))
    assert "check" not in config.routes
    assert config.routes["accept"].served


# A kind that a node doesn't know took the whole configuration down.
@pytest.mark.parametrize("kind", ["upload", "odd"])
def test_route_of_unknown_kind_runs_at_most_once(kind: str) -> None:
    config = decode_config(encode(make_config(1, check=make_route(kind=kind))))
    assert config.routes["check"].kind is RouteKind.ONCE
    assert config.unreadable == ()


def test_accounts_are_decoded_without_their_keys() -> None:
    account = {"api_keys": ["k1", "k2"], "priority": 1, "rate_per_s": 5, "burst": 7}
    config = decode_config(encode(make_config() | {"tenants": {"a": account}}))
    assert config.accounts is not None
    row = config.accounts["a"]
    assert (row.priority, row.rate_per_s, row.burst) == (1, 5.0, 7.0)
    assert row.key_digests == (digest_key(b"k1"), digest_key(b"k2"))
    assert "k1" not in repr(config)


@pytest.mark.parametrize("changes", [{"api_keys": "secret-1"}, {"rate_per_s": "secret-1"}])
def test_account_that_cannot_be_read_is_left_out_and_its_keys_are_not_shown(
    changes: dict[str, Any],
) -> None:
    accounts = {"a": {"api_keys": ["secret-1"]} | changes, "b": {"api_keys": ["k2"]}}
    config = decode_config(encode(make_config() | {"tenants": accounts}))
    assert config.accounts is not None
    assert list(config.accounts) == ["b"]
    assert "secret-1" not in str(config.unreadable)


# Accounts of an odd type must not open routes that need a key.
@pytest.mark.parametrize("accounts", [None, [], 3])
def test_configuration_with_odd_accounts_is_rejected(accounts: object) -> None:
    with pytest.raises(MalformedMessageError):
        decode_config(encode(make_config() | {"tenants": accounts}))


def test_regions_and_cold_starts_are_decoded() -> None:
    raw = make_config(1, check=make_route(allowed_regions=["west", "east"]))
    raw["services"] = {
        "desk": {"cold_start": "3s", "cold_per_s": 5.5},
        "registry": {"cold_start": "3s", "cold_per_s": 0},
    }
    config = decode_config(encode(raw))
    assert config.routes["check"].allowed_regions == ("east", "west")
    assert config.cold_starts == {"desk": ColdStart(3.0, 5.5)}


def test_truncated_configuration_is_rejected() -> None:
    with pytest.raises(MalformedMessageError):
        decode_config(encode(make_config())[:-10])


def test_unknown_fields_are_ignored() -> None:
    assert decode_heartbeat("i-1", encode({**HEARTBEAT, "new": [1]})).slots == 6


def test_heartbeat_is_decoded() -> None:
    record = decode_heartbeat("i-1", encode(HEARTBEAT))
    assert (record.id, record.state, record.slow_start_s) == ("i-1", UpstreamState.READY, 1.5)
    assert (record.started_at_ms, record.sequence) == (1000, 4)


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "odd"},
        {"slots": 0},
        {"slots": "six"},
        {"born": 1.5},
        {"sequence": None},
        {"service": 1},
        {"cold_left": 3},
    ],
)
def test_heartbeat_with_an_invalid_field_is_rejected(changes: dict[str, Any]) -> None:
    with pytest.raises(MalformedMessageError):
        decode_heartbeat("i-1", encode({**HEARTBEAT, **changes}))


@pytest.mark.parametrize("data", [b"", b"\xff\xfe", b"null", b"[1]", b'"x"'])
def test_data_that_is_no_message_is_rejected(data: bytes) -> None:
    with pytest.raises(MalformedMessageError):
        decode_heartbeat("i-1", data)
    with pytest.raises(MalformedMessageError):
        decode_config(data)
    with pytest.raises(MalformedMessageError):
        decode_order(data, offset=1)
    with pytest.raises(MalformedMessageError):
        decode_rollout_status("desk", data)


def test_order_is_decoded_with_its_offset() -> None:
    row = {"service": "desk", "target_version": "v2", "duration": "12s"}
    order = decode_order(encode(row), offset=9)
    assert (order.version, order.duration_s, order.offset) == ("v2", 12.0, 9)


@pytest.mark.parametrize("phase", list(Phase))
def test_rollout_status_decodes_to_the_encoded_state(phase: Phase) -> None:
    rollout = Rollout("desk", "v2", 9, phase, 3, 0.5, "errors")
    key, value = encode_rollout_status(rollout)
    assert key == "rollout/desk"
    assert json.loads(value)["state"] == phase.value
    decoded = decode_rollout_status("desk", value)
    assert (decoded.version, decoded.order, decoded.phase) == ("v2", 9, phase)
