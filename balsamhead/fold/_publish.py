"""Compute which rollouts a newly accepted document starts, continues or ends."""

from __future__ import annotations

from operator import attrgetter
from typing import TYPE_CHECKING

from balsamhead.fold._state import Rollout, RolloutPhase

if TYPE_CHECKING:
    from balsamhead.document import Document, Service
    from balsamhead.fold._state import ConfigState

__all__ = ("plan_rollouts",)


def plan_rollouts(
    state: ConfigState, document: Document, *, version: int, written_at: float
) -> tuple[Rollout, ...]:
    """Return the rollouts under a new document, sorted by service.

    A service's rollout continues while the document names the same target version. Another
    target version, or a new due time for a version that was rolled back, starts a rollout
    from the version that serves the traffic. A new service has no rollout for its first version.

    :param version: version of the record that publishes the document.
    :param written_at: when that record was written, in s since the epoch.
    """
    old_services = state.document.services if state.document is not None else ()
    services_by_name = {service.name: service for service in old_services}
    rollouts_by_service = {rollout.service: rollout for rollout in state.rollouts}
    planned = []

    for service in document.services:
        previous = services_by_name.get(service.name)
        if previous is None:
            continue
        rollout = _plan_rollout(
            previous,
            service,
            rollouts_by_service.get(service.name),
            version=version,
            written_at=written_at,
        )
        if rollout is not None:
            planned.append(rollout)
    return tuple(sorted(planned, key=attrgetter("service")))


def _plan_rollout(
    previous: Service,
    service: Service,
    current: Rollout | None,
    *,
    version: int,
    written_at: float,
) -> Rollout | None:
    serving_version = _get_serving_version(previous, current)
    if service.version == serving_version:
        return current if current is not None and current.new == serving_version else None

    has_same_target = current is not None and current.new == service.version
    if current is not None and has_same_target:
        if service.due_at in (previous.due_at, 0.0):
            return current
        if current.phase is not RolloutPhase.ROLLED_BACK:
            return current._replace(due_at=service.due_at)

    return Rollout(
        service=service.name,
        offset=version,
        document_offset=version,
        old=serving_version,
        new=service.version,
        share=0.0,
        phase=RolloutPhase.SHIFTING,
        paused=False,
        due_at=service.due_at,
        started_at=written_at,
        reason="",
        stepped_at=written_at,
    )


def _get_serving_version(service: Service, rollout: Rollout | None) -> str:
    if rollout is None:
        return service.version
    match rollout.phase:
        case RolloutPhase.WATCHING | RolloutPhase.DONE:
            return rollout.new
        case _:
            return rollout.old
