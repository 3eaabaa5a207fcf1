"""Declare, load and validate the settings of a mesh node."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final, NamedTuple

from balsamhead.errors import Mistake, SettingsError
from balsamhead.util.fields import (
    Field,
    Kind,
    convert_value,
    describe_kind_fault,
    describe_unknown_key,
    find_fault,
)
from balsamhead.util.times import DURATION_PATTERN, parse_duration

if TYPE_CHECKING:
    import os

__all__ = ("MESH_SETTINGS", "SETTINGS_VARIABLE", "MeshSettings", "load_mesh_settings")

#: environment variable with the path of the settings file
SETTINGS_VARIABLE: Final = "BALSAMHEAD_SETTINGS"
#: maximum number of bytes that are read from a settings file
_MAX_FILE_BYTES: Final = 64 * 1024
_STEP: Final = "load-mesh-settings"
_ADDRESS_PATTERN: Final = r"(\d{1,3}\.){3}\d{1,3}:\d{1,5}"
_ADDRESS_SHAPE: Final = 'an IPv4 address and a port, such as "127.0.0.1:7000"'
_DURATION_SHAPE: Final = 'a time such as "1500ms" or "2.5s"'


class MeshSettings(NamedTuple):
    """Settings of a mesh node; durations are in s."""

    node: str
    region: str
    data_centre: str
    service: str
    upstream_address: str
    caller_address: str
    ready_address: str
    announce_address: str
    peer_address: str
    metrics_port: int
    store_address: str
    announce_interval: float
    stop_deadline: float
    retry_ratio: float
    retry_slack: float
    retry_window: float
    log_level: str
    #: 0 if knowledge of keys doesn't expire
    key_lease: float = 0.0
    load_balancing: str = "auto"


def _text(key: str, text: str, default: str | None = None) -> Field:
    return Field(
        key, Kind.TEXT, default, pattern=r"[^\0]{1,200}", pattern_description="a name", help=text
    )


def _address(key: str, text: str) -> Field:
    return Field(
        key, Kind.TEXT, pattern=_ADDRESS_PATTERN, pattern_description=_ADDRESS_SHAPE, help=text
    )


def _duration(key: str, default: str, text: str) -> Field:
    return Field(
        key,
        Kind.TEXT,
        default,
        pattern=DURATION_PATTERN,
        pattern_description=_DURATION_SHAPE,
        help=text,
    )


#: all settings of a mesh node, in the order of the documentation
MESH_SETTINGS: Final = (
    _text("node", "name of this node; unique in the mesh"),
    _text("region", "region of its VM"),
    _text("data_centre", "data centre of its VM"),
    _text("service", "service of the VM's upstream"),
    _address("upstream_address", "where the VM's upstream answers"),
    _address("caller_address", "where callers' requests come in"),
    _address("ready_address", "where the platform asks whether the node is ready"),
    _address("announce_address", "where the upstream of this VM announces itself"),
    _address("peer_address", "where other nodes connect"),
    Field("metrics_port", Kind.INTEGER, 0, 0, 65_535, help="where metrics are served; 0 for none"),
    _address("store_address", "where the platform's store answers"),
    _duration("announce_interval", "1500ms", "time between an upstream's announcements"),
    _duration("stop_deadline", "6s", "time from a stop signal to the forced end"),
    Field("retry_ratio", Kind.NUMBER, 0.2, 0, 1, help="repeats for each request of a service"),
    Field("retry_slack", Kind.NUMBER, 64.0, 0, 1e6, help="repeats of the whole mesh besides"),
    _duration("retry_window", "10s", "window in which repeats are counted"),
    Field(
        "log_level",
        Kind.TEXT,
        "info",
        allowed=("debug", "info", "warning", "error"),
        help="lowest level of the lines that are written",
    ),
    _duration(
        "key_lease",
        "0ms",
        "age of a configuration from which on requests with keys are refused; 0ms for none",
    ),
    Field(
        "load_balancing",
        Kind.TEXT,
        "auto",
        allowed=("auto", "least-wait", "even"),
        help="how upstreams are selected; auto: even where the configuration has client accounts, "
        "routes of some regions or uploads, else least-wait",
    ),
)


def load_mesh_settings(path: str | os.PathLike[str]) -> MeshSettings:
    """Load and validate the settings of a mesh node.

    :raises SettingsError: the file is unreadable or invalid; the error lists all mistakes.
    """
    file = str(path)
    mistakes: list[Mistake] = []
    table = _load_file(file)
    values: dict[str, Any] = {}
    for field in MESH_SETTINGS:
        values[field.key] = _read_value(file, field, table, mistakes)
    known = [field.key for field in MESH_SETTINGS]
    for key in table.keys() - set(known):
        fault = describe_unknown_key(key, known)
        mistakes.append(Mistake(f"{file}: {key}", fault.code, fault.message))
    if mistakes:
        message = f"{file} has {len(mistakes)} mistakes; correct the file and start again"
        raise SettingsError(message, step=_STEP, mistakes=tuple(mistakes))
    return MeshSettings(**values)


def _load_file(file: str) -> dict[str, Any]:
    try:
        with Path(file).open("rb") as stream:
            data = stream.read(_MAX_FILE_BYTES)
        return tomllib.loads(data.decode())
    except (OSError, ValueError) as exc:
        mistake = Mistake(file, "file-unreadable", f"can't be read: {exc}")
        raise SettingsError("name a settings file", step=_STEP, mistakes=(mistake,)) from exc


def _read_value(file: str, field: Field, table: dict[str, Any], mistakes: list[Mistake]) -> Any:
    raw = table.get(field.key, field.default)
    place = f"{file}: {field.key}"
    if raw is None:
        mistakes.append(Mistake(place, "key-missing", "must be given"))
        return None
    value = convert_value(field, raw)
    fault = describe_kind_fault(field, raw) if value is None else find_fault(field, value)
    if fault is not None:
        mistakes.append(Mistake(place, fault.code, fault.message))
        return None
    if field.pattern == DURATION_PATTERN:
        return parse_duration(str(value))
    return value
