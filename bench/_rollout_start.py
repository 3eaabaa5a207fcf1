"""The rollout with which the benchmarks of rollouts begin, and its start time."""

from __future__ import annotations

from typing import Final

from balsamhead.fold import Rollout, RolloutPhase

__all__ = ("START", "make_rollout")

#: start of the virtual clock and of each rollout, in s since the epoch
START: Final = 1_000_000.0


def make_rollout(*, due_at: float, share: float = 0.0) -> Rollout:
    """Return a rollout from version v1 to v2 that has just started.

    :param due_at: when all traffic must be on the new version, in s since the epoch.
    :param share: part of the calls that the new version gets, 0 to 1.
    """
    return Rollout(
        service="svc",
        offset=1,
        document_offset=1,
        old="v1",
        new="v2",
        share=share,
        phase=RolloutPhase.SHIFTING,
        paused=False,
        due_at=due_at,
        started_at=START,
        reason="",
        stepped_at=START,
    )
