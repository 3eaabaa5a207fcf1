"""Build the settings of a node."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from balsamhead.settings import NodeSettings, load_settings
from tests.test_document.builders import render_toml

TOKEN = "operators-token-of-the-tests"

ENVIRON = {
    "BALSAMHEAD_MESH_KEY": "mesh-key-of-the-tests",
    "BALSAMHEAD_OPERATOR_TOKEN": TOKEN,
}


def make_required_settings() -> dict[str, Any]:
    """Return a new dictionary of the required settings."""
    return {
        "node": "node-1",
        "environment": "trial",
        "region": "east",
        "data_centre": "east-a",
        "caller_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0",
        "operator_address": "127.0.0.1:0",
        "announce_address": "127.0.0.1:0",
        "log_url": "http://127.0.0.1:7400",
    }


def write_settings(folder: Path, **changes: Any) -> Path:
    """Write a settings file with the required and the given settings, and return its path."""
    path = folder / "node.toml"
    path.write_text(render_toml(make_required_settings() | changes))
    return path


def make_settings(folder: Path, **changes: Any) -> NodeSettings:
    """Load a settings file with the required and the given settings."""
    return load_settings(write_settings(folder, **changes), environ=ENVIRON)
