"""Render the reference of the settings from their schema."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamhead.settings._load import KEY_VARIABLES
from balsamhead.settings._schema import SETTINGS_BY_GROUP
from balsamhead.util.fields import describe_allowed

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamhead.util.fields import Field, Value

__all__ = ("render_fields", "render_reference")


def render_reference() -> str:
    """Return the reference of all settings in Markdown."""
    lines: list[str] = []
    for title, fields in SETTINGS_BY_GROUP.items():
        lines += [f"## {title}", "", render_fields(fields), ""]
    return "\n".join(lines)


def render_fields(fields: Iterable[Field]) -> str:
    """Return a Markdown table of settings."""
    lines = ["| Setting | Default | Allowed | Meaning |", "|---|---|---|---|"]
    return "\n".join(lines + [_render_row(field) for field in fields])


def _render_row(field: Field) -> str:
    text = field.help
    variable = KEY_VARIABLES.get(field.key)
    if variable:
        text += f"; without it `{variable}` of the environment holds the key"
    default = "required" if field.default is None else f"`{_render_value(field.default)}`"
    return f"| `{field.key}` | {default} | {describe_allowed(field)} | {text} |"


def _render_value(value: Value) -> str:
    match value:
        case bool():
            return "true" if value else "false"
        case str():
            return f'"{value}"'
        case tuple():
            return "[" + ", ".join(f'"{item}"' for item in value) + "]"
        case float():
            return f"{value:g}"
        case _:
            return str(value)
