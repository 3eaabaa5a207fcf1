"""Load and document the settings of a node, which are declared in one schema."""

from __future__ import annotations

from balsamhead.errors import SettingsError
from balsamhead.settings._load import KEY_VARIABLES, load_key, load_settings
from balsamhead.settings._model import NodeSettings
from balsamhead.settings._reference import render_fields, render_reference

__all__ = (
    "KEY_VARIABLES",
    "NodeSettings",
    "SettingsError",
    "load_key",
    "load_settings",
    "render_fields",
    "render_reference",
)
