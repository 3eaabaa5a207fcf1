"""Render statuses and responses as lines of text for people and shell scripts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from balsamhead.util.times import render_time

if TYPE_CHECKING:
    from balsamhead.operator_responses import PublishResponse, RolloutStatus, StatusResponse

__all__ = (
    "NEXT_STEP_PREFIX",
    "is_rolled_back",
    "is_settled",
    "render_accepted",
    "render_failed",
    "render_status",
)

#: time without a response of the log after which a status reports the log as silent, in s; a log
#: without new records takes up to ``log_wait_s`` to respond to a read
LOG_SILENCE_LIMIT_S: Final = 20.0

#: text that precedes the next step of a rollout
NEXT_STEP_PREFIX: Final = "; next: "

#: phases of a rollout that has not ended
_ACTIVE_PHASES: Final = ("shifting", "watching")


def render_accepted(answer: PublishResponse) -> list[str]:
    """Return the lines for an accepted request."""
    if answer.offset < 0:
        return [f"accepted: {answer.reason}"]
    digest = f", digest {answer.digest}" if answer.digest else ""
    return [f"accepted: version {answer.offset}{digest}", *_indent(answer.difference)]


def render_failed(answer: PublishResponse, *, step: str, peer: str) -> list[str]:
    """Return the error lines for a request that was refused or whose outcome is unknown.

    :param step: name of the command.
    :param peer: address of the node that responded.
    """
    context = f"[{answer.code}; step {step}, peer {peer}]"
    lines = [f"balsamhead: {answer.outcome}: {answer.reason} {context}"]
    if answer.outcome == "unknown":
        lines.append("find out by: balsamhead status")
    if answer.offset >= 0:
        lines.append(f"current document: version {answer.offset}")
    if answer.difference:
        lines.append("what yours would change in it:")
    return lines + _indent(answer.difference)


def render_status(status: StatusResponse) -> dict[str, str]:
    """Return the values of a status by stable key."""
    values = {"environment": f"{status.environment}, seen by node {status.node}"}
    if status.offset < 0:
        values["version"] = "none; nothing was published yet"
    else:
        values["version"] = str(status.offset)
    if status.document_offset >= 0:
        values["document"] = f"version {status.document_offset}, digest {status.digest}"
    values["in-force"] = _render_in_force(status)
    values["log"] = _render_log(status.log_lag_s)
    for rollout in status.rollouts:
        values[f"rollout {rollout.service}"] = _render_rollout(rollout)
    return values


def is_settled(status: StatusResponse) -> bool:
    """Return whether all live nodes run the newest version and no rollout is active."""
    counts = dict(status.in_force)
    newest = max(counts, default=-1)
    runs_everywhere = newest >= max(status.offset, 0) and counts[newest] >= status.live_nodes
    has_active_rollout = any(rollout.phase in _ACTIVE_PHASES for rollout in status.rollouts)
    return runs_everywhere and not has_active_rollout


def is_rolled_back(status: StatusResponse) -> bool:
    """Return whether at least one rollout was rolled back."""
    return any(rollout.phase == "taken-back" for rollout in status.rollouts)


def _indent(lines: tuple[str, ...]) -> list[str]:
    return [f"  {line}" for line in lines]


def _render_in_force(status: StatusResponse) -> str:
    counts = sorted(status.in_force, reverse=True)
    if not counts:
        return f"unknown; {status.live_nodes} nodes live"
    newest = counts[0]
    text = f"{newest.nodes} of {status.live_nodes} nodes run {_render_offset(newest.offset)}"
    for row in counts[1:]:
        text += f", {row.nodes} run {_render_offset(row.offset)}"
    uncounted = status.live_nodes - sum(row.nodes for row in counts)
    return f"{text}, {uncounted} not counted yet" if uncounted > 0 else text


def _render_offset(offset: int) -> str:
    return str(offset) if offset >= 0 else "none"


def _render_log(lag_s: float) -> str:
    if lag_s < 0:
        return "read by another node"
    if lag_s < LOG_SILENCE_LIMIT_S:
        return "answers"
    return "silent; what is in force stays in force, nothing can be published until it answers"


def _render_rollout(rollout: RolloutStatus) -> str:
    versions = f"{rollout.old} -> {rollout.new}" if rollout.old else rollout.new
    parts = [f"{versions} {rollout.phase}"]
    if rollout.phase in _ACTIVE_PHASES:
        parts.append(f"{rollout.share:.1%} of calls on {rollout.new}")
        if rollout.due_at:
            parts.append(f"due {render_time(rollout.due_at)}")
    if rollout.paused:
        parts.append("paused by an operator")
    if rollout.reason:
        parts.append(rollout.reason)
    text = "; ".join(parts)
    return f"{text}{NEXT_STEP_PREFIX}{rollout.next_step}" if rollout.next_step else text
