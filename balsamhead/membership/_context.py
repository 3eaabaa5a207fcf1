"""Define the state that all parts of the membership system share."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead import commands

if TYPE_CHECKING:
    import random

    from balsamhead.commands import Command
    from balsamhead.node import Tables
    from balsamhead.wire import Message

__all__ = ("Context", "RunningClock", "Timing")

#: most running time that is counted between two events or ticks, in s
MAX_STEP_S: Final = 0.5

#: gap between two events or ticks above which the process is taken to have been paused rather
#: than busy, in s
PAUSE_S: Final = 0.8


class Timing(NamedTuple):
    """Intervals and timeouts of membership, in s."""

    heartbeat_interval: float = 0.5
    #: time without a message after which a link is closed
    silence_timeout: float = 1.3
    #: time for peers to reach a node that is unreachable from here, before it becomes suspect
    probe_timeout: float = 0.4
    #: time that a suspect has to refute the suspicion before it is declared dead
    suspicion_timeout: float = 1.0
    #: time after a pause in which no node is declared suspect or dead
    pause_grace: float = 2.0
    #: time after which an unanswered connection attempt starts probes of its target
    slow_connect: float = 0.6
    #: mean interval between two comparisons of the table with a peer
    digest_interval: float = 5.0
    #: timeout of a pull without a response
    pull_timeout: float = 2.0
    #: time without changes of the table before a difference is pulled, and minimum interval
    #: between two bucket digests to one peer
    settle_time: float = 1.0
    #: longest mean interval between attempts to reach a dead node or a seed that is not a live
    #: member
    max_rejoin_interval: float = 20.0
    #: time for which a link that is no longer needed stays open
    surplus_linger: float = 10.0
    #: first and longest bound of the exponential back-off with full jitter between connects
    backoff_base: float = 0.5
    backoff_cap: float = 10.0
    #: time for which the records of nodes that are dead or left are kept
    tombstone_retention: float = 7200.0


class RunningClock:
    """Measure the time for which this process ran; the clock stops while it is paused."""

    def __init__(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self._last: float | None = None
        self.now = 0.0
        #: end of the grace period after the last pause
        self.grace_until = 0.0

    @property
    def is_in_grace_period(self) -> bool:
        """Return whether a pause ended too recently for this node to declare others failed."""
        return self.now < self.grace_until

    def advance(self, now: float) -> bool:
        """Advance the clock to a time in s; return True when the process was paused before it."""
        step = 0.0 if self._last is None else now - self._last
        self._last = now
        self.now += min(max(step, 0.0), MAX_STEP_S)
        if step <= PAUSE_S:
            return False
        self.grace_until = self.now + self._grace_s
        return True


class Context:
    """Collect the commands of one event or tick, and hold the tables, clock and timing."""

    def __init__(self, tables: Tables, rng: random.Random, timing: Timing) -> None:
        self.tables = tables
        self.rng = rng
        self.timing = timing
        self.clock = RunningClock(timing.pause_grace)
        self._commands: list[Command] = []

    def send(self, peer: str, message: Message) -> None:
        """Add a command that sends a message to a linked peer."""
        self._commands.append(commands.Send(peer, message))

    def connect(self, address: str) -> None:
        """Add a command that opens a link to an address."""
        self._commands.append(commands.Connect(address))

    def close_link(self, peer: str, reason: str) -> None:
        """Add a command that closes the link to a peer."""
        self._commands.append(commands.CloseLink(peer, reason))

    def log(self, level: str, message: str, **fields: str | int | float) -> None:
        """Add a command that writes a line to the node's log."""
        self._commands.append(commands.WriteLogLine(level, message, fields))

    def drain_commands(self) -> list[Command]:
        """Return and clear the commands collected since the last call."""
        drained = self._commands
        self._commands = []
        return drained

    def list_region_links(self) -> list[str]:
        """Return the peers in this node's region that have a link."""
        region = self.tables.identity.place.region
        return [row.peer for row in self.tables.links.values() if row.place.region == region]

    def jitter(self, seconds: float) -> float:
        """Return a random time between 0.5 and 1.5 times an interval, in s."""
        return seconds * self.rng.uniform(0.5, 1.5)
