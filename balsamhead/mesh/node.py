"""Public entry point of the mesh node daemon."""

from __future__ import annotations

from balsamhead.mesh._daemon import run_mesh_node
from balsamhead.mesh._settings import SETTINGS_VARIABLE

__all__ = ("SETTINGS_VARIABLE", "run_mesh_node")
