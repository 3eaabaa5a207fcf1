"""Aggregate the call counts of all nodes and answer operators' requests for the report."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.commands import Command, Connect, Reply, Send
from balsamhead.errors import OperatorError
from balsamhead.events import CallsCounted, MessageReceived, ReportRequested
from balsamhead.membership import find_aggregator, find_role_holder
from balsamhead.operator_responses import ReportResponse
from balsamhead.report._burn import BurnTable
from balsamhead.report._render import render_report
from balsamhead.rollout import CallCountBuffer, DecisionRow
from balsamhead.wire import DecisionNote, ReportPull, ReportReply, UsageReport

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from balsamhead.events import Event
    from balsamhead.node import Tables
    from balsamhead.wire import CallCount

__all__ = ("ReportSystem",)

#: time between usage reports, in s
USAGE_INTERVAL_S: Final = 30.0
#: time within which the owner must reply to a pull, in s; after it, the operator gets the report
#: from this node's own table
PULL_TIMEOUT_S: Final = 3.0
#: time between attempts to link to the same peer, in s
CONNECT_RETRY_S: Final = 5.0
#: maximum number of operators' requests that wait for the owner
MAX_PENDING: Final = 16


class _PendingRequest(NamedTuple):
    event: ReportRequested
    deadline: float


class ReportSystem:
    """Aggregate call counts in two stages and serve the report.

    Each node sends its counts to the aggregator of its data centre. The aggregators send their
    sums to the owner, the one node of the environment that keeps the table of burn rates. Other
    nodes pull the rendered report from the owner.
    """

    def __init__(
        self, tables: Tables, *, list_decisions: Callable[[], Iterable[DecisionRow]]
    ) -> None:
        self._tables = tables
        self._list_decisions = list_decisions
        #: counts of this node that have not been sent to the aggregator
        self._node_counts = CallCountBuffer()
        #: counts and decisions that this node, as an aggregator, has not sent to the owner
        self._data_centre_counts = CallCountBuffer()
        self._unsent_notes: list[DecisionNote] = []
        #: decisions of this node that were already reported
        self._reported_notes: set[DecisionNote] = set()
        self._node_counts_sent_at = 0.0
        self._data_centre_counts_sent_at = 0.0
        self._last_sequence = 0
        #: highest sequence number received from each source
        self._sequences: dict[str, int] = {}
        self._connected_at: dict[str, float] = {}
        #: operators' requests that wait for the owner, by id
        self._pending: dict[str, _PendingRequest] = {}
        #: ids of the pending requests for which a pull was sent
        self._pulled: set[str] = set()
        self._applied_revision = -1
        self.table = BurnTable()

    @classmethod
    def from_config(
        cls, tables: Tables, *, list_decisions: Callable[[], Iterable[DecisionRow]]
    ) -> ReportSystem:
        """Build the system on a node's tables.

        :param list_decisions: returns the rollout decisions made on this node.
        """
        return cls(tables, list_decisions=list_decisions)

    def handle(self, event: Event, now: float) -> list[Command]:
        """Handle call counts, usage reports, pulls and operators' requests."""
        match event:
            case CallsCounted(counts=counts):
                self._node_counts.add(row._replace(upstream="", caller="") for row in counts)
            case MessageReceived(message=UsageReport() as report):
                self._handle_usage(report, now)
            case MessageReceived(peer=peer, message=ReportPull() as pull):
                return [self._answer_pull(peer, pull, now)]
            case MessageReceived(message=ReportReply() as reply):
                return self._forward_reply(reply)
            case ReportRequested():
                return self._handle_request(event, now)
        return []

    def tick(self, now: float) -> list[Command]:
        """Send usage reports and pulls that are due, and answer requests that timed out."""
        self._update_objectives()
        commands = self._send_node_counts(now)
        commands += self._send_data_centre_counts(now)
        for request_id, pending in list(self._pending.items()):
            if now >= pending.deadline:
                del self._pending[request_id]
                self._pulled.discard(request_id)
                missing = "the node that sums up the calls gave no answer"
                commands.append(self._reply(pending.event, now, missing))
            elif request_id not in self._pulled:
                commands += self._pull(pending.event, now)
        return commands

    def _update_objectives(self) -> None:
        if self._tables.config_revision == self._applied_revision:
            return
        self._applied_revision = self._tables.config_revision
        if self._tables.config.document is not None:
            self.table.set_document(self._tables.config.document)

    def _find_owner(self) -> str:
        environment = self._tables.identity.environment
        return find_role_holder(f"report/{environment}", self._tables.members.values())

    def _is_owner(self) -> bool:
        return self._find_owner() in ("", self._tables.identity.node)

    def _send_node_counts(self, now: float) -> list[Command]:
        """Send this node's counts to the aggregator of its data centre when they are due."""
        if now - self._node_counts_sent_at < USAGE_INTERVAL_S:
            return []
        notes = self._list_new_notes()
        if not len(self._node_counts) and not notes:
            self._node_counts_sent_at = now
            return []
        identity = self._tables.identity
        target = find_aggregator(self._tables.members.values(), identity.place.data_centre)
        if target in ("", identity.node):
            self._node_counts_sent_at = now
            self._reported_notes.update(notes)
            self._data_centre_counts.add(self._node_counts.drain())
            self._unsent_notes += notes
            return []
        if target not in self._tables.links:
            return self._connect(target, now)
        self._node_counts_sent_at = now
        self._reported_notes.update(notes)
        source = identity.node
        return [
            Send(target, self._make_usage(source, self._node_counts.drain(), tuple(notes), now))
        ]

    def _list_new_notes(self) -> list[DecisionNote]:
        notes = (DecisionNote(*row) for row in self._list_decisions())
        return [note for note in notes if note not in self._reported_notes]

    def _send_data_centre_counts(self, now: float) -> list[Command]:
        """Send the data centre's counts to the owner when they are due."""
        if now - self._data_centre_counts_sent_at < USAGE_INTERVAL_S or not (
            len(self._data_centre_counts) or self._unsent_notes
        ):
            return []
        identity = self._tables.identity
        if self._is_owner():
            self._data_centre_counts_sent_at = now
            self._add_to_table(self._data_centre_counts.drain(), self._drain_notes(), now)
            return []
        owner = self._find_owner()
        if owner not in self._tables.links:
            return self._connect(owner, now)
        self._data_centre_counts_sent_at = now
        source = f"{identity.place.data_centre}/{identity.node}"
        return [
            Send(
                owner,
                self._make_usage(
                    source, self._data_centre_counts.drain(), self._drain_notes(), now
                ),
            )
        ]

    def _drain_notes(self) -> tuple[DecisionNote, ...]:
        notes, self._unsent_notes = tuple(self._unsent_notes), []
        return notes

    def _make_usage(
        self,
        source: str,
        counts: tuple[CallCount, ...],
        notes: tuple[DecisionNote, ...],
        now: float,
    ) -> UsageReport:
        # the clock keeps the sequence increasing across restarts of the node
        self._last_sequence = max(self._last_sequence + 1, int(now * 1000.0))
        return UsageReport(source, self._last_sequence, counts, notes)

    def _handle_usage(self, report: UsageReport, now: float) -> None:
        """Add a usage report to the table or to the data centre's counts, unless it is old."""
        if report.sequence <= self._sequences.get(report.source, -1):
            return
        self._sequences[report.source] = report.sequence
        # only the source of an aggregator's report contains a slash
        if "/" in report.source:
            self._add_to_table(report.counts, report.decisions, now)
            return
        self._data_centre_counts.add(report.counts)
        self._unsent_notes += report.decisions

    def _add_to_table(
        self, counts: Iterable[CallCount], notes: Iterable[DecisionNote], now: float
    ) -> None:
        self.table.add(counts, now=now)
        self.table.add_decisions(DecisionRow(*note) for note in notes)

    def _handle_request(self, event: ReportRequested, now: float) -> list[Command]:
        """Reply from this node's table if it is the owner or too many requests are pending.

        Otherwise pull the report from the owner.
        """
        self._update_objectives()
        if self._is_owner() or len(self._pending) >= MAX_PENDING:
            missing = "" if self._is_owner() else "too many reports are asked for at once"
            return [self._reply(event, now, missing)]
        self._pending[event.request_id] = _PendingRequest(event, now + PULL_TIMEOUT_S)
        return self._pull(event, now)

    def _pull(self, event: ReportRequested, now: float) -> list[Command]:
        owner = self._find_owner()
        if owner not in self._tables.links:
            return self._connect(owner, now)
        self._pulled.add(event.request_id)
        pull = ReportPull(event.request_id, event.format, event.service, event.include_cleared)
        return [Send(owner, pull)]

    def _reply(self, event: ReportRequested, now: float, missing: str) -> Reply:
        body = self._render(event.format, event.service, event.include_cleared, now, missing)
        return Reply(event.request_id, ReportResponse(event.format, body))

    def _answer_pull(self, peer: str, pull: ReportPull, now: float) -> Command:
        self._update_objectives()
        body = self._render(pull.format, pull.service, pull.include_cleared, now, "")
        return Send(peer, ReportReply(pull.request_id, body))

    def _render(
        self, format_name: str, service: str, include_cleared: bool, now: float, missing: str
    ) -> bytes:
        """Return the rendered report, or the error message for an unknown format."""
        try:
            return render_report(
                self.table,
                format=format_name,
                now=now,
                service=service,
                include_cleared=include_cleared,
                missing=missing,
            )
        except OperatorError as exc:
            return exc.message.encode()

    def _forward_reply(self, reply: ReportReply) -> list[Command]:
        """Forward the owner's reply to the operator, unless the request has timed out."""
        pending = self._pending.pop(reply.request_id, None)
        self._pulled.discard(reply.request_id)
        if pending is None:
            return []
        return [Reply(reply.request_id, ReportResponse(pending.event.format, reply.body))]

    def _connect(self, node: str, now: float) -> list[Command]:
        """Request a link to a node, unless it is unknown or was tried a short time ago."""
        member = self._tables.members.get(node)
        if member is None or now - self._connected_at.get(node, 0.0) < CONNECT_RETRY_S:
            return []
        self._connected_at[node] = now
        return [Connect(member.peer_address)]
