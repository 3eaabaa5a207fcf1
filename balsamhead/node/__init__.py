"""The node process: the event-driven decision logic and the daemon that runs it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamhead.node._core import Core, System
from balsamhead.node._driver import Driver, LinkPort
from balsamhead.node._tables import Identity, LinkRow, Tables

__all__ = ("Core", "Driver", "Identity", "LinkPort", "LinkRow", "System", "Tables", "run_node")

if TYPE_CHECKING:
    from balsamhead.settings import NodeSettings


def run_node(cfg: NodeSettings) -> int:
    """Run a node until a stop signal arrives, and return the exit code of the process."""
    # imported here to avoid a cycle: the daemon imports the systems, which import this package
    from balsamhead.node import _daemon

    return _daemon.run_node(cfg)
