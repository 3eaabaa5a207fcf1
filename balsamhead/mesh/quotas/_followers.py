"""Estimate which part of the nodes that an owner reaches takes it for the owner."""

from __future__ import annotations

from typing import Final

__all__ = ("Followers",)

#: interval at which nodes are asked, in s
_INTERVAL_S: Final = 1.0
#: how long an answer counts, in s
_ANSWER_AGE_S: Final = 3.0


class Followers:
    """Answers of other nodes on who owns an account; all times are in s of one clock.

    An owner that doesn't reach a node that ranks before it asks others whether they do. If so, both
    are owners at the same time, and each may grant only the share of those that follow it.
    """

    def __init__(self) -> None:
        self._ask_at = 0.0
        #: whether each node takes this one for the owner, and when it said so
        self._answers: dict[str, tuple[bool, float]] = {}

    def is_due(self, now: float) -> bool:
        """Return whether nodes are to be asked now; if so, they aren't for some time."""
        if now < self._ask_at:
            return False
        self._ask_at = now + _INTERVAL_S
        return True

    def record(self, node: str, follows: bool, now: float) -> None:
        """Record the answer of a node."""
        self._answers[node] = (follows, now)

    def get_share(self, now: float) -> float:
        """Return the part of the nodes that follow, with the owner itself, 0 to 1."""
        recent = [row for row, at in self._answers.values() if now - at < _ANSWER_AGE_S]
        return (1 + sum(recent)) / (1 + len(recent))
