"""Run the daemons without loading the command-line library."""

from __future__ import annotations

__all__ = ("run_mesh_command", "run_node_command")


def run_node_command(path: str) -> int:
    """Run a node with the settings in a file and return the exit code.

    :raises SettingsError: the settings are invalid.
    """
    from balsamhead.settings import load_settings

    cfg = load_settings(path)

    from balsamhead.node import run_node

    return run_node(cfg)


def run_mesh_command() -> int:
    """Run a mesh node and return the exit code.

    An environment variable names the file with its settings.

    :raises SettingsError: the settings are invalid.
    """
    import os

    from balsamhead.mesh.node import SETTINGS_VARIABLE, run_mesh_node

    return run_mesh_node(os.environ.get(SETTINGS_VARIABLE, ""))
