"""Report call counts from every node, and decide on the rollouts that this node controls."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, TypedDict

from balsamhead.commands import Append, Command, Connect, Send, WriteLogLine
from balsamhead.events import AppendFailed, CallsCounted, MessageReceived
from balsamhead.fold import (
    FinishRollout,
    Record,
    RollBackRollout,
    RolloutPhase,
    StepRollout,
    encode_record,
)
from balsamhead.membership import find_aggregator, find_controller
from balsamhead.rollout._decision import Finish, Late, RollBack, Step
from balsamhead.rollout._describe import describe_next
from balsamhead.rollout._report_buffer import ByteRateLimiter, CallCountBuffer
from balsamhead.rollout._tracker import DecisionRow, RolloutTracker
from balsamhead.wire import EvidenceReport, WithdrawnNotice, encode_message

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from balsamhead.document import Service
    from balsamhead.events import Event
    from balsamhead.fold import Rollout
    from balsamhead.node import Tables
    from balsamhead.rollout._decision import Verdict
    from balsamhead.wire import CallCount

__all__ = ("Rollouts",)

#: interval between reports that contain failures, in s
URGENT_REPORT_INTERVAL_S: Final = 0.25
#: interval between reports without failures, in s
REPORT_INTERVAL_S: Final = 3.0
#: limit on a node's reports to its aggregator, in bytes per second
REPORT_BYTES_PER_S: Final = 150.0
#: limit on an aggregator's reports for its data centre, in bytes per second
AGGREGATE_BYTES_PER_S: Final = 800.0
#: interval between decisions on one rollout, in s
DECISION_INTERVAL_S: Final = 0.2
#: time after which an appended record that has not taken effect is appended again, in s
APPEND_RETRY_S: Final = 5.0
#: interval between connection attempts to the same peer, in s
CONNECT_RETRY_S: Final = 5.0

_ACTIVE_PHASES = (RolloutPhase.SHIFTING, RolloutPhase.WATCHING)


class _RecordFields(TypedDict):
    """Fields that all records have in common."""

    id: str
    base: int
    written_at: float
    writer: str


class _RoleCache:
    """Cache of the nodes that hold a role, valid until the membership changes."""

    def __init__(self, tables: Tables) -> None:
        self._tables = tables
        self._revision = -1
        self._controllers: dict[str, str] = {}
        self._aggregator = ""

    def find_controller(self, service: str) -> str:
        """Return the controller of a service, or an empty string if no node is live."""
        self._refresh()
        if service not in self._controllers:
            controller = find_controller(self._tables.members.values(), service)
            self._controllers[service] = controller
        return self._controllers[service]

    def find_aggregator(self) -> str:
        """Return the aggregator of this data centre, or an empty string if no node is live."""
        self._refresh()
        return self._aggregator

    def _refresh(self) -> None:
        if self._revision == self._tables.members_revision:
            return
        self._revision = self._tables.members_revision
        self._controllers.clear()
        data_centre = self._tables.identity.place.data_centre
        self._aggregator = find_aggregator(self._tables.members.values(), data_centre)


class Rollouts:
    """Report the calls of services in a rollout, and decide on the rollouts controlled here.

    Every node reports to the aggregator of its data centre. The aggregator sums up these reports
    and sends the sums to the controller of each rollout, which decides.
    """

    def __init__(
        self, tables: Tables, *, rng: random.Random, is_controller: Callable[[str], bool]
    ) -> None:
        self._tables = tables
        self._rng = rng
        self._is_controller = is_controller
        self._roles = _RoleCache(tables)
        self._config_revision = -1
        self._active: dict[str, Rollout] = {}
        self._services: dict[str, Service] = {}
        #: services whose calls an active rollout needs, by the rollout's service
        self._services_by_rollout: dict[str, frozenset[str]] = {}
        #: services whose calls are counted here
        self._counted_services: frozenset[str] = frozenset()
        self._node_counts = CallCountBuffer()
        self._node_limiter = ByteRateLimiter(bytes_per_s=REPORT_BYTES_PER_S, burst=600.0)
        self._node_sent_at = 0.0
        self._aggregates: dict[str, CallCountBuffer] = {}
        self._aggregate_limiter = ByteRateLimiter(bytes_per_s=AGGREGATE_BYTES_PER_S, burst=4000.0)
        self._aggregate_sent_at: dict[str, float] = {}
        self._received_sequences: dict[str, int] = {}
        self._sent_sequence = 0
        self._connected_at: dict[str, float] = {}
        self._record_count = 0
        self._logged_delays: set[tuple[str, str, int, str]] = set()
        self.trackers: dict[str, RolloutTracker] = {}

    @classmethod
    def from_config(
        cls,
        tables: Tables,
        *,
        rng: random.Random,
        is_controller: Callable[[str], bool] | None = None,
    ) -> Rollouts:
        """Create the system for a node's tables.

        :param is_controller: returns whether this node controls a service; if None, the
            controller is the node that :func:`find_controller` returns.
        """

        roles = _RoleCache(tables)

        def has_top_rank(service: str) -> bool:
            return roles.find_controller(service) == tables.identity.node

        return cls(tables, rng=rng, is_controller=is_controller or has_top_rank)

    def handle(self, event: Event, now: float) -> list[Command]:
        """Handle counted calls, reports from peers and failed appends to the log."""
        match event:
            case CallsCounted(counts=counts):
                self._add_node_counts(counts)
            case MessageReceived(peer=peer, message=EvidenceReport() as report):
                self._refresh(now)
                return self._handle_report(peer, report, now)
            case AppendFailed(record_id=record_id):
                self._delay_retries(record_id, now)
        return []

    def tick(self, now: float) -> list[Command]:
        """Send due reports and decide on the rollouts controlled here."""
        self._refresh(now)
        if not self._active:
            return []
        commands = self._send_node_report(now)
        for service in list(self._aggregates):
            commands.extend(self._send_aggregate(service, now))
        for service, rollout in self._active.items():
            commands.extend(self._decide(service, rollout, now))
        return commands

    def describe(self, rollout: Rollout, now: float) -> str:
        """Return the next action of a rollout as text."""
        tracker = self.trackers.get(rollout.service)
        verdict = tracker.verdict if tracker and self._is_controller(rollout.service) else None
        controller = find_controller(self._tables.members.values(), rollout.service)
        return describe_next(rollout, verdict, controller=controller, now=now)

    def list_decisions(self, service: str) -> tuple[DecisionRow, ...]:
        """Return this node's decisions on a service's rollout, oldest first."""
        tracker = self.trackers.get(service)
        return tuple(tracker.decisions) if tracker else ()

    def list_all_decisions(self) -> list[DecisionRow]:
        """Return this node's decisions on all rollouts."""
        return [row for tracker in self.trackers.values() for row in tracker.decisions]

    def _refresh(self, now: float) -> None:
        if self._tables.config_revision == self._config_revision:
            return
        self._config_revision = self._tables.config_revision
        config = self._tables.config
        services = config.document.services if config.document else ()
        self._services = {service.name: service for service in services}
        self._active = {
            rollout.service: rollout
            for rollout in config.rollouts
            if rollout.phase in _ACTIVE_PHASES and rollout.service in self._services
        }
        self._services_by_rollout = {
            name: self._list_counted_services(row) for name, row in self._active.items()
        }
        self._counted_services = frozenset().union(*self._services_by_rollout.values())
        for name in [name for name in self._aggregates if name not in self._active]:
            del self._aggregates[name]
        for name, rollout in self._active.items():
            tracker = self.trackers.get(name)
            if tracker is not None and tracker.key == (rollout.new, rollout.document_offset):
                # a newer document may change the policy of a rollout in progress
                tracker.service = self._services[name]
                tracker.update_share(rollout, now)

    def _list_counted_services(self, rollout: Rollout) -> frozenset[str]:
        if rollout.phase is RolloutPhase.SHIFTING:
            return frozenset((rollout.service,))
        # the watch period has no calls of the old version to compare with: only the counts of the
        # dependencies show whether one of them causes the failures
        return frozenset((rollout.service, *self._services[rollout.service].depends_on))

    def _get_tracker(self, rollout: Rollout, now: float) -> RolloutTracker | None:
        tracker = self.trackers.get(rollout.service)
        if tracker is not None and tracker.key == (rollout.new, rollout.document_offset):
            return tracker
        document = self._tables.config.document
        if document is None:
            return None
        tracker = RolloutTracker(rollout, self._services[rollout.service], document, now)
        self.trackers[rollout.service] = tracker
        return tracker

    def _is_withdrawn(self, rollout: Rollout) -> bool:
        key = (rollout.service, rollout.new, rollout.document_offset)
        return key in self._tables.withdrawn

    def _add_node_counts(self, counts: Iterable[CallCount]) -> None:
        node = self._tables.identity.node
        self._node_counts.add(
            row._replace(caller=node) for row in counts if row.service in self._counted_services
        )

    def _send_node_report(self, now: float) -> list[Command]:
        wait_s = URGENT_REPORT_INTERVAL_S if self._node_counts.is_urgent else REPORT_INTERVAL_S
        if not len(self._node_counts) or now - self._node_sent_at < wait_s:
            return []
        if not self._node_limiter.can_send(now):
            return []
        identity = self._tables.identity
        aggregator = self._roles.find_aggregator()
        if aggregator in ("", identity.node):
            self._node_sent_at = now
            return self._aggregate(identity.node, self._node_counts.drain(), now)
        if aggregator not in self._tables.links:
            return self._connect(aggregator, now)
        self._node_sent_at = now
        report = EvidenceReport(identity.node, self._next_sequence(now), self._node_counts.drain())
        self._node_limiter.consume(len(encode_message(report)))
        return [Send(aggregator, report)]

    def _next_sequence(self, now: float) -> int:
        # based on the clock, so that the sequence also rises over a restart of the node
        self._sent_sequence = max(self._sent_sequence + 1, int(now * 1000.0))
        return self._sent_sequence

    def _handle_report(self, peer: str, report: EvidenceReport, now: float) -> list[Command]:
        if report.sequence <= self._received_sequences.get(report.source, -1):
            return []
        self._received_sequences[report.source] = report.sequence
        if "/" in report.source:
            data_centre = report.source.partition("/")[0]
            self._add_aggregate(data_centre, report.source, report.callers, report.counts, now)
            return []
        return self._aggregate(report.source, report.counts, now)

    def _aggregate(self, source: str, counts: Iterable[CallCount], now: float) -> list[Command]:
        rows = tuple(counts)
        for service, counted in self._services_by_rollout.items():
            relevant = [row for row in rows if row.service in counted]
            if not relevant:
                continue
            buffer = self._aggregates.setdefault(service, CallCountBuffer())
            buffer.add(relevant)
            buffer.callers.add(source)
        return []

    def _send_aggregate(self, service: str, now: float) -> list[Command]:
        buffer = self._aggregates[service]
        wait_s = URGENT_REPORT_INTERVAL_S if buffer.is_urgent else REPORT_INTERVAL_S
        if not len(buffer) or now - self._aggregate_sent_at.get(service, 0.0) < wait_s:
            return []
        identity = self._tables.identity
        source = f"{identity.place.data_centre}/{identity.node}"
        if self._is_controller(service):
            self._aggregate_sent_at[service] = now
            callers = len(buffer.callers)
            self._add_aggregate(
                identity.place.data_centre, source, callers, buffer.drain(), now, service
            )
            return []
        if not self._aggregate_limiter.can_send(now):
            return []
        controller = self._roles.find_controller(service)
        if controller in ("", identity.node):
            return []
        if controller not in self._tables.links:
            return self._connect(controller, now)
        self._aggregate_sent_at[service] = now
        report = EvidenceReport(
            source, self._next_sequence(now), buffer.drain(), len(buffer.callers)
        )
        self._aggregate_limiter.consume(len(encode_message(report)))
        return [Send(controller, report)]

    def _add_aggregate(
        self,
        data_centre: str,
        source: str,
        callers: int,
        counts: tuple[CallCount, ...],
        now: float,
        only_service: str = "",
    ) -> None:
        for service, rollout in self._active.items():
            if only_service and service != only_service:
                continue
            if not any(row.service == service for row in counts):
                continue
            tracker = self._get_tracker(rollout, now)
            if tracker is None:
                continue
            counted = self._services_by_rollout[service]
            rows = tuple(row for row in counts if row.service in counted)
            tracker.add(
                rollout, rows, data_centre=data_centre, source=source, callers=callers, now=now
            )

    def _connect(self, node: str, now: float) -> list[Command]:
        member = self._tables.members.get(node)
        if member is None or now - self._connected_at.get(node, 0.0) < CONNECT_RETRY_S:
            return []
        self._connected_at[node] = now
        return [Connect(member.peer_address)]

    def _decide(self, service: str, rollout: Rollout, now: float) -> list[Command]:
        if not self._is_controller(service):
            return []
        tracker = self._get_tracker(rollout, now)
        if tracker is None or now - tracker.decided_at < DECISION_INTERVAL_S:
            return []
        if self._is_withdrawn(rollout):
            tracker.decided_at = now
            return self._write_withdrawal(tracker, rollout, now)
        members = self._tables.members.values()
        revision = self._tables.members_revision
        verdict = tracker.decide(rollout, members, now, revision=revision)
        return self._apply_verdict(tracker, rollout, verdict, now)

    def _apply_verdict(
        self, tracker: RolloutTracker, rollout: Rollout, verdict: Verdict, now: float
    ) -> list[Command]:
        match verdict:
            case RollBack(reason):
                return self._withdraw(tracker, rollout, reason, now)
            case Step(share):
                record: Record = StepRollout(
                    **self._record_fields(rollout, now),
                    service=rollout.service,
                    version=rollout.new,
                    share=share,
                )
                return self._append(tracker, rollout, record, f"step to {share:.3g}", now)
            case Finish():
                record = FinishRollout(
                    **self._record_fields(rollout, now),
                    service=rollout.service,
                    version=rollout.new,
                )
                return self._append(tracker, rollout, record, "finish", now)
            case Late(waits_for):
                return self._log_delay(rollout, waits_for)
        return []

    def _withdraw(
        self, tracker: RolloutTracker, rollout: Rollout, reason: str, now: float
    ) -> list[Command]:
        key = (rollout.service, rollout.new, rollout.document_offset)
        self._tables.withdrawn[key] = reason
        self._tables.config_revision += 1
        self._add_decision(tracker, rollout, "take back", reason, now)
        notice = WithdrawnNotice(*key, reason)
        commands: list[Command] = [Send(peer, notice) for peer in self._tables.links]
        fields: dict[str, str | int | float] = {
            "service": rollout.service,
            "version": rollout.new,
            "reason": reason,
        }
        commands.append(WriteLogLine("warning", "version withdrawn", fields))
        commands.extend(self._write_withdrawal(tracker, rollout, now))
        return commands

    def _write_withdrawal(
        self, tracker: RolloutTracker, rollout: Rollout, now: float
    ) -> list[Command]:
        reason = self._tables.withdrawn[rollout.service, rollout.new, rollout.document_offset]
        record = RollBackRollout(
            **self._record_fields(rollout, now),
            service=rollout.service,
            version=rollout.new,
            document_offset=rollout.document_offset,
            reason=reason,
        )
        # differs from the base of a step, so that a recently appended step doesn't delay the
        # withdrawal
        retry_key = -2 - rollout.offset
        if not tracker.may_append(retry_key, now, retry_s=APPEND_RETRY_S):
            return []
        tracker.record_append(retry_key, now)
        return [self._make_append(record)]

    def _append(
        self, tracker: RolloutTracker, rollout: Rollout, record: Record, decision: str, now: float
    ) -> list[Command]:
        if not tracker.may_append(rollout.offset, now, retry_s=APPEND_RETRY_S):
            return []
        tracker.record_append(rollout.offset, now)
        rates = tracker.evidence.measure_rates(now)
        figures = ", ".join(
            f"{route}: {tracker.evidence.stage_calls(route)} calls at this share" for route in rates
        )
        self._add_decision(tracker, rollout, decision, figures, now)
        return [self._make_append(record)]

    def _make_append(self, record: Record) -> Append:
        return Append(self._tables.identity.environment, record.id, encode_record(record))

    def _record_fields(self, rollout: Rollout, now: float) -> _RecordFields:
        identity = self._tables.identity
        self._record_count += 1
        return {
            "id": f"{identity.node}/{identity.incarnation}/rollout-{self._record_count}",
            "base": rollout.offset,
            "written_at": now,
            "writer": identity.node,
        }

    def _add_decision(
        self, tracker: RolloutTracker, rollout: Rollout, decision: str, figures: str, now: float
    ) -> None:
        row = DecisionRow(now, rollout.service, rollout.new, rollout.share, decision, figures)
        tracker.decisions.append(row)

    def _log_delay(self, rollout: Rollout, waits_for: str) -> list[Command]:
        key = (rollout.service, rollout.new, rollout.document_offset, f"{rollout.share}")
        if key in self._logged_delays:
            return []
        self._logged_delays.add(key)
        fields: dict[str, str | int | float] = {
            "service": rollout.service,
            "version": rollout.new,
            "waits_for": waits_for,
            "due_at": rollout.due_at,
        }
        return [WriteLogLine("warning", "rollout late", fields)]

    def _delay_retries(self, record_id: str, now: float) -> None:
        identity = self._tables.identity
        if not record_id.startswith(f"{identity.node}/{identity.incarnation}/rollout-"):
            return
        for tracker in self.trackers.values():
            tracker.appended_at = max(
                tracker.appended_at, now - self._rng.uniform(0.0, APPEND_RETRY_S / 2)
            )
