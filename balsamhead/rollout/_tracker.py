"""State of one rollout on its controller."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.fold import RolloutPhase
from balsamhead.membership import UpstreamState, can_take_calls
from balsamhead.rollout._decision import Fleet, Verdict, decide
from balsamhead.rollout._evidence import Evidence

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamhead.document import Document, Service
    from balsamhead.fold import Rollout
    from balsamhead.membership import Member
    from balsamhead.wire import CallCount

__all__ = ("DecisionRow", "FleetHistory", "RolloutTracker", "count_fleet")

#: part of the old version's slots that the new version needs to take all calls, 0 to 1
_NEEDED_SLOTS: Final = 0.6
#: number of recent decisions kept for the report
_MAX_DECISIONS: Final = 64
#: time for which a controller must itself have observed a rollout before it ends the watch
#: period, in s
MIN_OBSERVED_S: Final = 60.0


class DecisionRow(NamedTuple):
    """Decision on a rollout, with the counts or the reason that led to it."""

    #: time of the decision, in s since the epoch
    at: float
    service: str
    version: str
    share: float
    decision: str
    figures: str


class FleetHistory:
    """Values that :func:`count_fleet` carries over between calls during a rollout."""

    def __init__(self) -> None:
        #: incarnation of each upstream of the new version when it was first seen, by node
        self.first_incarnations: dict[str, int] = {}
        #: largest number of slots of the old version that were ready at once
        self.max_old_slots = 0


class RolloutTracker:
    """Evidence and decisions of one rollout."""

    def __init__(self, rollout: Rollout, service: Service, document: Document, now: float) -> None:
        routes = [route for route in document.routes if route.service == service.name]
        self.key = (rollout.new, rollout.document_offset)
        self.service = service
        self.evidence = Evidence(
            service=service.name,
            old=rollout.old,
            new=rollout.new,
            policy=service.rollout,
            objective=service.objective,
            routes=len(routes),
            data_centres=sum(len(region.data_centres) for region in document.regions),
            onset_window_s=max(1800.0, rollout.due_at - now + service.rollout.watch_s),
            now=now,
        )
        self.decisions: deque[DecisionRow] = deque(maxlen=_MAX_DECISIONS)
        self.verdict: Verdict | None = None
        self.decided_at = 0.0
        #: base and time of the last append, which is repeated only after a delay
        self.appended_base: int | None = None
        self.appended_at = 0.0
        self._started_at = now
        self._share = rollout.share
        self._stepped_at = rollout.stepped_at or now
        self._history = FleetHistory()
        self._members_revision: int | None = None
        self._fleet: Fleet | None = None

    def update_share(self, rollout: Rollout, now: float) -> None:
        """Start a new stage if the accepted share of the rollout has changed."""
        if rollout.share == self._share:
            return
        self._share = rollout.share
        self._stepped_at = now
        self.evidence.begin_stage()

    def add(
        self,
        rollout: Rollout,
        counts: Iterable[CallCount],
        *,
        data_centre: str,
        source: str,
        callers: int,
        now: float,
    ) -> None:
        """Add the counts of a report to the evidence."""
        self.evidence.add(
            counts,
            data_centre=data_centre,
            source=source,
            callers=callers,
            share=rollout.share,
            watching=rollout.phase is RolloutPhase.WATCHING,
            now=now,
        )

    def decide(
        self,
        rollout: Rollout,
        members: Iterable[Member],
        now: float,
        *,
        revision: int | None = None,
    ) -> Verdict:
        """Decide the next action of the rollout and store the verdict.

        :param revision: revision of the membership; upstreams are counted again when it changes,
            and on every call if it is None.
        """
        if self._fleet is None or revision is None or revision != self._members_revision:
            self._members_revision = revision
            self._fleet = count_fleet(self.service, rollout, members, self._history)
        fleet = self._fleet
        stepped_at = self._stepped_at
        if rollout.phase is RolloutPhase.WATCHING:
            # a controller that has just taken over has no counts from earlier in the watch period
            earliest_end = self._started_at + min(MIN_OBSERVED_S, self.service.rollout.watch_s)
            stepped_at = max(stepped_at, earliest_end - self.service.rollout.watch_s)
        self.decided_at = now
        self.verdict = decide(
            rollout, self.service.rollout, self.evidence, fleet, stepped_at=stepped_at, now=now
        )
        return self.verdict

    def may_append(self, base: int, now: float, *, retry_s: float) -> bool:
        """Return whether a record with this base may be appended now."""
        return base != self.appended_base or now - self.appended_at >= retry_s

    def record_append(self, base: int, now: float) -> None:
        """Store the base and the time of an append."""
        self.appended_base = base
        self.appended_at = now


def count_fleet(
    service: Service, rollout: Rollout, members: Iterable[Member], history: FleetHistory
) -> Fleet:
    """Count the upstreams of a rollout's versions.

    The new version needs capacity for the load that the old one carried. The document gives only an
    upper bound, because a service may run fewer workers than the document states.
    """
    ready_new = ready_old = new_slots = old_slots = 0
    restarts = []
    for member in members:
        upstream = member.upstream
        if upstream is None or upstream.service != service.name:
            continue
        is_ready = can_take_calls(member)
        if upstream.version == rollout.new:
            first_incarnation = history.first_incarnations.setdefault(
                member.node, upstream.incarnation
            )
            restarts.append(upstream.incarnation - first_incarnation)
            ready_new += is_ready
            new_slots += upstream.slots if is_ready else 0
        elif upstream.version == rollout.old and upstream.state is not UpstreamState.GONE:
            ready_old += is_ready
            old_slots += upstream.slots if is_ready else 0

    history.max_old_slots = max(history.max_old_slots, old_slots)
    planned = service.workers * service.slots
    load_slots = min(planned, history.max_old_slots) or planned
    required_slots = max(1.0, _NEEDED_SLOTS * load_slots)
    return Fleet(ready_new, ready_old, min(1.0, new_slots / required_slots), tuple(restarts))
