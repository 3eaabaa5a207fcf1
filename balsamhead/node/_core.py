"""Pass events and the time to the systems of a node, without any I/O, thread or clock."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamhead.commands import Command
    from balsamhead.events import Event
    from balsamhead.node._tables import Tables

__all__ = ("Core", "System")


class System(Protocol):
    """Interface of a system, which implements one concern of a node.

    A system reads and writes the shared tables and returns commands for the driver to execute.

    All times are in s since the epoch and never decrease.
    """

    def handle(self, event: Event, now: float) -> list[Command]:
        """Handle an event and return commands; ignore events that belong to other systems."""

    def tick(self, now: float) -> list[Command]:
        """Do the work that is due at this time and return commands."""


class Core:
    """Dispatch events and ticks to all systems in a fixed order."""

    def __init__(self, tables: Tables, systems: Sequence[System]) -> None:
        self.tables = tables
        self._systems = tuple(systems)

    def handle(self, event: Event, now: float) -> list[Command]:
        """Pass an event to every system and return the commands of all."""
        commands: list[Command] = []
        for system in self._systems:
            commands.extend(system.handle(event, now))
        return commands

    def tick(self, now: float) -> list[Command]:
        """Tick every system once and return the commands of all."""
        commands: list[Command] = []
        for system in self._systems:
            commands.extend(system.tick(now))
        return commands
