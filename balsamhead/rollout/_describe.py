"""Describe the next action of a rollout to operators."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import TYPE_CHECKING, assert_never

from balsamhead.fold import RolloutPhase
from balsamhead.rollout._decision import Finish, Hold, Late, RollBack, Step, Watch

if TYPE_CHECKING:
    from balsamhead.fold import Rollout
    from balsamhead.rollout._decision import Verdict

__all__ = ("describe_next",)


def describe_next(
    rollout: Rollout, verdict: Verdict | None, *, controller: str = "", now: float
) -> str:
    """Return the next action of a rollout, its time and what it waits for.

    :param verdict: the last verdict; None on a node that is not the controller.
    :param controller: name of the node that decides; empty if unknown.
    """
    match rollout.phase:
        case RolloutPhase.DONE:
            return ""
        case RolloutPhase.ROLLED_BACK:
            return "publish another version, or the same one with another time due"
    prefix = "overdue; " if rollout.share < 1.0 and 0 < rollout.due_at < now else ""
    if verdict is None:
        return f"{prefix}decided by node {controller or 'unknown'}, ask it for more"
    return prefix + _describe_verdict(verdict)


def _describe_verdict(verdict: Verdict) -> str:
    match verdict:
        case Hold(reason, until):
            when = f", next step about {_format_time(until)}" if until else ""
            return f"holds: {reason}{when}"
        case Step(share):
            return f"steps to {share:.0%}"
        case RollBack(reason):
            return f"is taken back: {reason}"
        case Watch(until):
            return f"holds the old version until {_format_time(until)}"
        case Finish():
            return "ends the watch period"
        case Late(waits_for):
            return f"late: waits for {waits_for}"
        case _:
            assert_never(verdict)


def _format_time(at: float) -> str:
    return datetime.fromtimestamp(at, UTC).strftime("%H:%M:%S UTC")
