"""Build the status of the environment for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamhead.document import digest_document
from balsamhead.fold import Rollout, RolloutPhase
from balsamhead.membership import is_live
from balsamhead.operator_responses import RolloutStatus, StatusResponse, VersionCount

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamhead.node import Tables

__all__ = ("build_status",)


def build_status(
    tables: Tables,
    *,
    in_force: tuple[VersionCount, ...],
    describe_next_step: Callable[[Rollout, float], str],
    is_reader: bool,
    now: float,
) -> StatusResponse:
    """Return the status of the environment as known to this node.

    :param in_force: number of nodes on each version.
    :param describe_next_step: returns a description of a rollout's next step, given the
        rollout and the time in s since the epoch.
    :param is_reader: whether this node reads the log for its region.
    :param now: current time, in s since the epoch.
    """
    config = tables.config
    heard_at = tables.log_responded_at or tables.identity.incarnation / 1000
    return StatusResponse(
        node=tables.identity.node,
        environment=tables.identity.environment,
        offset=config.offset,
        document_offset=config.document_offset,
        digest=digest_document(config.document) if config.document is not None else "",
        in_force=in_force,
        live_nodes=sum(is_live(member) for member in tables.members.values()),
        rollouts=tuple(
            _build_row(rollout, tables, describe_next_step, now) for rollout in config.rollouts
        ),
        log_lag_s=now - heard_at if is_reader else -1.0,
    )


def _build_row(
    rollout: Rollout,
    tables: Tables,
    describe_next_step: Callable[[Rollout, float], str],
    now: float,
) -> RolloutStatus:
    key = (rollout.service, rollout.new, rollout.document_offset)
    reason = tables.withdrawn.get(key)
    if reason is not None and rollout.phase is not RolloutPhase.DONE:
        rollout = rollout._replace(phase=RolloutPhase.ROLLED_BACK, share=0.0, reason=reason)
    return RolloutStatus(
        service=rollout.service,
        old=rollout.old,
        new=rollout.new,
        share=rollout.share,
        phase=rollout.phase.value,
        paused=rollout.paused,
        due_at=rollout.due_at,
        reason=rollout.reason,
        next_step=describe_next_step(rollout, now),
    )
