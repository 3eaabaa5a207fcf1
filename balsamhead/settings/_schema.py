"""Declare the settings of a node: name, default, unit, bounds and help."""

from __future__ import annotations

from typing import Final

from balsamhead.util.fields import Field, Kind

__all__ = ("MIN_KEY_LENGTH", "SETTINGS", "SETTINGS_BY_GROUP")

#: minimum length of the mesh key and of the operator token, in characters
MIN_KEY_LENGTH: Final = 16

_OCTET_PATTERN = r"(25[0-5]|2[0-4]\d|1?\d?\d)"
_PORT_PATTERN = r"(6553[0-5]|655[0-2]\d|65[0-4]\d{2}|6[0-4]\d{3}|[1-5]?\d{1,4})"
_ADDRESS_PATTERN: Final = rf"({_OCTET_PATTERN}\.){{3}}{_OCTET_PATTERN}:{_PORT_PATTERN}"
_ADDRESS_DESCRIPTION: Final = 'an IPv4 address and a port, such as "127.0.0.1:7000"'
_NAME_PATTERN: Final = r"[a-z0-9][a-z0-9-]{0,62}"
_NAME_DESCRIPTION: Final = "lower-case letters, digits and hyphens, 1 to 63 characters"
_DAY_S: Final = 86_400


def _name(key: str, help_text: str, default: str | None = None) -> Field:
    pattern = _NAME_PATTERN if default is None else f"({_NAME_PATTERN})?"
    return Field(
        key,
        Kind.TEXT,
        default,
        pattern=pattern,
        pattern_description=_NAME_DESCRIPTION,
        help=help_text,
    )


def _address(key: str, help_text: str, default: str | None = None) -> Field:
    pattern = _ADDRESS_PATTERN if default is None else f"({_ADDRESS_PATTERN})?"
    return Field(
        key,
        Kind.TEXT,
        default,
        pattern=pattern,
        pattern_description=_ADDRESS_DESCRIPTION,
        help=help_text,
    )


def _path(key: str, help_text: str) -> Field:
    return Field(
        key, Kind.TEXT, "", pattern=r"[^\0]{0,4096}", pattern_description="a path", help=help_text
    )


def _seconds(key: str, default: float, low: float, high: float, help_text: str) -> Field:
    return Field(key, Kind.NUMBER, default, low, high, unit="s", help=help_text)


def _count(key: str, default: int, low: int, high: int, unit: str, help_text: str) -> Field:
    return Field(key, Kind.INTEGER, default, low, high, unit=unit, help=help_text)


#: settings by their heading in the reference
SETTINGS_BY_GROUP: Final[dict[str, tuple[Field, ...]]] = {
    "Identity": (
        _name("node", "name of this node; unique in the mesh"),
        _name("environment", "environment that it serves; also the name of its stream"),
        _name(
            "promotes_from",
            "environment whose document may be promoted to this one; empty for none",
            "",
        ),
        _name("region", "region of its VM"),
        _name("data_centre", "data centre of its VM"),
    ),
    "Addresses": (
        _address("caller_address", "where callers' requests come in"),
        _address("peer_address", "where other nodes connect; they must be able to reach it"),
        _address(
            "border_address",
            "where nodes of other regions connect; empty when it is peer_address",
            "",
        ),
        _address("operator_address", "where operators and scrapes of metrics connect"),
        _address("announce_address", "where the upstream of this VM announces itself"),
        Field(
            "seeds",
            Kind.TEXTS,
            (),
            pattern=_ADDRESS_PATTERN,
            pattern_description=_ADDRESS_DESCRIPTION,
            help="peer addresses of some other nodes, which are asked for the rest",
        ),
        Field(
            "log_url",
            Kind.TEXT,
            pattern=r"https?://[A-Za-z0-9.-]+(:\d{1,5})?(/[A-Za-z0-9._/-]*)?",
            pattern_description='an address such as "http://127.0.0.1:7400"',
            help="where the platform's append-only log answers",
        ),
        _name(
            "log_region",
            "region that has the log; nodes of others read it only when their links don't "
            "deliver; empty when each region reads it",
            "",
        ),
    ),
    "Keys": (
        _path("mesh_key_file", "file with the key that all nodes share"),
        _path("operator_token_file", "file with the token that operators present"),
    ),
    "Logging": (
        Field(
            "log_level",
            Kind.TEXT,
            "info",
            allowed=("debug", "info", "warning", "error"),
            help="lowest level of the lines that are written",
        ),
    ),
    "Timing": (
        _seconds("tick_interval_s", 0.1, 0.01, 1, "time between runs of the decisions"),
        _seconds("stop_deadline_s", 30, 0, 600, "longest wait for calls in flight at a stop"),
        _seconds("link_heartbeat_s", 0.5, 0.1, 10, "time between heartbeats on a link"),
        _seconds("link_silence_s", 1.3, 0.3, 60, "silence after which a link is closed"),
        _seconds("suspicion_s", 1, 0.2, 60, "time that a suspected node has to refute"),
        _seconds("announce_silence_s", 2, 0.2, 60, "silence after which the upstream is gone"),
        _seconds("log_timeout_s", 5, 0.1, 60, "longest wait for an answer of the log"),
        _seconds("log_wait_s", 5, 0, 30, "how long the log may hold back an empty read"),
        _seconds("log_retention_s", 7 * _DAY_S, 60, 400 * _DAY_S, "how long the log keeps records"),
    ),
    "Bounds": (
        _count("call_threads", 32, 1, 1_024, "threads", "callers' requests that run at once"),
        _count(
            "caller_connections",
            1024,
            1,
            65_536,
            "connections",
            "connections that callers hold open",
        ),
        _count("call_body_bytes", 64 << 20, 0, 1 << 40, "bytes", "largest body of a request"),
        _count("operator_threads", 4, 2, 64, "threads", "operators' requests that run at once"),
    ),
}

#: all settings in the order of the reference
SETTINGS: Final = tuple(field for group in SETTINGS_BY_GROUP.values() for field in group)
