"""Run the daemon, without loading the library of the command line."""

from __future__ import annotations

__all__ = ("run_mesh_command", "run_node_command")


def run_node_command(path: str) -> int:
    """Run a node with the settings of a file and return the exit code.

    :raises SettingsError: the file has mistakes.
    """
    from balsamhead.settings import load_settings

    cfg = load_settings(path)

    from balsamhead.node import run_node

    return run_node(cfg)


def run_mesh_command() -> int:
    """Run a mesh node with the settings that the environment names and return the exit code.

    :raises SettingsError: the file has mistakes.
    """
    import os

    from balsamhead.mesh.node import SETTINGS_VARIABLE, run_mesh_node

    return run_mesh_node(os.environ.get(SETTINGS_VARIABLE, ""))
