"""Read the settings of a node from a TOML file and the environment."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from balsamhead.errors import Mistake, SettingsError
from balsamhead.settings._model import NodeSettings
from balsamhead.settings._schema import MIN_KEY_LENGTH, SETTINGS
from balsamhead.util.fields import (
    convert_value,
    describe_allowed,
    describe_kind_fault,
    describe_unknown_key,
    find_fault,
)
from balsamhead.util.secret import Secret

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from balsamhead.util.fields import Field, Value

__all__ = ("KEY_VARIABLES", "load_key", "load_settings")

#: maximum size of a settings file or a key file, in bytes
MAX_FILE_BYTES: Final = 64 * 1024

#: environment variable that may contain a key, by the setting that names the key's file
KEY_VARIABLES: Final = {
    "mesh_key_file": "BALSAMHEAD_MESH_KEY",
    "operator_token_file": "BALSAMHEAD_OPERATOR_TOKEN",
}

_STEP: Final = "load-settings"


def load_settings(
    path: str | os.PathLike[str], *, environ: Mapping[str, str] = os.environ
) -> NodeSettings:
    """Load and validate the settings of a node.

    The mesh key and the operator token are each read from the file that a setting names or, if
    that setting is empty, from an environment variable.

    :raises SettingsError: the settings are invalid; the error lists all mistakes.
    """
    file = os.fspath(path)
    mistakes: list[Mistake] = []
    table = _parse_file(file, mistakes)
    values = _read_values(file, table, mistakes) if table is not None else {}
    mistakes += _check_dependencies(file, values)
    keys = {
        setting: _read_key(file, setting, values, environ, mistakes)
        for setting in KEY_VARIABLES
        if setting in values
    }
    if mistakes:
        raise _make_error(file, mistakes)
    return NodeSettings(
        **values,
        mesh_key=keys["mesh_key_file"],
        operator_token=keys["operator_token_file"],
    )


def load_key(path: str) -> Secret:
    """Return the key in a file, without leading and trailing white space.

    :raises OSError: the file can't be read.
    :raises ValueError: the key is too short or contains characters that aren't printable ASCII.
    """
    with Path(path).open("rb") as stream:
        data = stream.read(MAX_FILE_BYTES)
    return _validate_key(data.decode("ascii"))


def _validate_key(text: str) -> Secret:
    key = text.strip()
    if len(key) < MIN_KEY_LENGTH:
        raise ValueError(f"must have at least {MIN_KEY_LENGTH} characters")
    if not key.isascii() or not key.isprintable() or " " in key:
        raise ValueError("must consist of printable ASCII characters without spaces")
    return Secret(key)


def _make_error(file: str, mistakes: list[Mistake]) -> SettingsError:
    noun = "mistake" if len(mistakes) == 1 else "mistakes"
    message = f"{file} has {len(mistakes)} {noun}; fix the file and start again"
    return SettingsError(message, step=_STEP, mistakes=tuple(mistakes))


def _parse_file(file: str, mistakes: list[Mistake]) -> dict[str, Any] | None:
    try:
        with Path(file).open("rb") as stream:
            data = stream.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as exc:
        reason = exc.strerror if isinstance(exc, OSError) else str(exc)
        mistakes.append(Mistake(file, "file-unreadable", f"can't be read: {reason}"))
        return None
    if len(data) > MAX_FILE_BYTES:
        message = f"must have at most {MAX_FILE_BYTES:,} bytes"
        mistakes.append(Mistake(file, "file-too-large", message))
        return None
    try:
        return tomllib.loads(data.decode())
    except RecursionError:
        mistakes.append(Mistake(file, "toml-syntax", "values are nested too deeply"))
    except ValueError as exc:
        mistakes.append(Mistake(file, "toml-syntax", f"not valid TOML: {exc}"))
    return None


def _read_values(file: str, table: dict[str, Any], mistakes: list[Mistake]) -> dict[str, Any]:
    known_fields = {field.key: field for field in SETTINGS}
    for key in table:
        if key not in known_fields:
            fault = describe_unknown_key(key, known_fields)
            place = f"{file}: {ascii(key[:60])[1:-1]}"
            mistakes.append(Mistake(place, fault.code, fault.message))

    values: dict[str, Any] = {}
    for field in SETTINGS:
        value = _read_value(f"{file}: {field.key}", table, field, mistakes)
        if value is not None:
            values[field.key] = value
    return values


def _read_value(
    place: str, table: dict[str, Any], field: Field, mistakes: list[Mistake]
) -> Value | None:
    """Return the value of a setting or its default, or None after adding a mistake."""
    if field.key not in table:
        if field.default is None:
            message = f"must be given: {field.help}; must be {describe_allowed(field)}"
            mistakes.append(Mistake(place, "key-missing", message))
        return field.default

    raw = table[field.key]
    value = convert_value(field, raw)
    fault = describe_kind_fault(field, raw) if value is None else find_fault(field, value)
    if fault is None:
        return value
    mistakes.append(Mistake(place, fault.code, fault.message))
    return None


def _check_dependencies(file: str, values: dict[str, Any]) -> Iterator[Mistake]:
    """Yield the mistakes of settings whose allowed values depend on other settings."""
    heartbeat_s = values.get("link_heartbeat_s", 0)
    if values.get("link_silence_s", heartbeat_s * 2) < heartbeat_s * 2:
        message = f"must be at least twice link_heartbeat_s, which is {heartbeat_s:g} s"
        yield Mistake(f"{file}: link_silence_s", "value-out-of-range", message)
    if values.get("promotes_from") and values["promotes_from"] == values.get("environment"):
        message = "must differ from this node's own environment"
        yield Mistake(f"{file}: promotes_from", "value-not-allowed", message)

    key_by_address: dict[str, str] = {}
    for key in ("caller_address", "peer_address", "operator_address", "announce_address"):
        address = values.get(key)
        if address is None or address.endswith(":0"):
            continue
        other = key_by_address.setdefault(address, key)
        if other != key:
            message = f'"{address}" is already used by {other}'
            yield Mistake(f"{file}: {key}", "value-not-allowed", message)


def _read_key(
    file: str,
    setting: str,
    values: dict[str, Any],
    environ: Mapping[str, str],
    mistakes: list[Mistake],
) -> Secret:
    """Return the key that a setting names, or an empty one after adding a mistake."""
    variable = KEY_VARIABLES[setting]
    place = f"{file}: {setting}"
    try:
        if values[setting]:
            return load_key(values[setting])
        if variable in environ:
            place = variable
            return _validate_key(environ[variable])
        message = f"must be given, or {variable} set in the environment"
        mistakes.append(Mistake(place, "key-missing", message))
    except UnicodeError:
        message = "must contain only printable ASCII characters without spaces"
        mistakes.append(Mistake(place, "key-invalid", message))
    except OSError as exc:
        mistakes.append(Mistake(place, "file-unreadable", f"can't be read: {exc.strerror}"))
    except ValueError as exc:
        mistakes.append(Mistake(place, "key-invalid", f"the key {exc}"))
    return Secret("")
