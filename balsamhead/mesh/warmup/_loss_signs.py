"""Tell from lost connections whether an upstream may have crashed and started again."""

from __future__ import annotations

from typing import Final

__all__ = ("LossSigns",)

#: time within which a crash closes all connections, in s
_CRASH_SPREAD_S: Final = 0.05


class LossSigns:
    """Look for a crash in the connections that were lost while requests ran on them.

    A single connection that is lost after it has carried responses, or within one, says nothing:
    an upstream that spoils a response closes its connection and goes on.
    """

    def __init__(self) -> None:
        self._lost_at: float | None = None

    def record_loss(self, now: float, *, fresh: bool, heard: bool) -> bool:
        """Record the loss of a connection, and return whether it is a sign of a crash.

        :param now: current time, in s.
        :param fresh: the connection had not carried a response before.
        :param heard: a part of the response had arrived.
        """
        previous, self._lost_at = self._lost_at, now
        several = previous is not None and now - previous <= _CRASH_SPREAD_S
        return several or (fresh and not heard)
