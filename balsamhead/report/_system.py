"""Sum up the fleet's calls for the report, and answer operators who ask for it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.answers import ReportAnswer
from balsamhead.commands import Command, Connect, Reply, Send
from balsamhead.errors import OperatorError
from balsamhead.events import CallsSeen, MessageReceived, ReportRequested
from balsamhead.membership import find_aggregator, find_holder
from balsamhead.report._burn import BurnTable
from balsamhead.report._render import render_report
from balsamhead.rollout import CallCountBuffer, DecisionRow
from balsamhead.wire import DecisionNote, ReportPull, ReportReply, UsageReport

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from balsamhead.events import Event
    from balsamhead.node import Tables
    from balsamhead.wire import CallCount

__all__ = ("Reports",)

#: time between usage reports, in s
USAGE_S: Final = 30.0
#: time for the aggregator to answer before an operator gets what is held here, in s
PULL_WAIT_S: Final = 3.0
#: time between attempts to link to the same peer, in s
CONNECT_RETRY_S: Final = 5.0
#: requests of operators that may wait at once
MAX_WAITING: Final = 16


class _Waiting(NamedTuple):
    event: ReportRequested
    until: float


class Reports:
    """Pass usage on to the environment's aggregator, which holds the table of burn rates."""

    def __init__(
        self, tables: Tables, *, list_decisions: Callable[[], Iterable[DecisionRow]]
    ) -> None:
        self._tables = tables
        self._list_decisions = list_decisions
        self._own = CallCountBuffer()
        self._sums = CallCountBuffer()
        self._notes: list[DecisionNote] = []
        self._seen_notes: set[DecisionNote] = set()
        self._own_sent_at = 0.0
        self._sums_sent_at = 0.0
        self._last_sequence = 0
        self._sequences: dict[str, int] = {}
        self._connected_at: dict[str, float] = {}
        self._waiting: dict[str, _Waiting] = {}
        self._pulled: set[str] = set()
        self._seen_edition = -1
        self.table = BurnTable()

    @classmethod
    def from_config(
        cls, tables: Tables, *, list_decisions: Callable[[], Iterable[DecisionRow]]
    ) -> Reports:
        """Build the system over a node's tables.

        :param list_decisions: returns the decisions made on this node.
        """
        return cls(tables, list_decisions=list_decisions)

    def handle(self, event: Event, now: float) -> list[Command]:
        """Take in calls, usage reports and operators' requests."""
        match event:
            case CallsSeen(counts=counts):
                self._own.add(row._replace(upstream="", caller="") for row in counts)
            case MessageReceived(message=UsageReport() as report):
                self._take_usage(report, now)
            case MessageReceived(peer=peer, message=ReportPull() as pull):
                return [self._answer_pull(peer, pull, now)]
            case MessageReceived(message=ReportReply() as reply):
                return self._pass_on(reply)
            case ReportRequested():
                return self._ask(event, now)
        return []

    def tick(self, now: float) -> list[Command]:
        """Send what is due and answer requests that waited long enough."""
        self._refresh()
        commands = self._send_own(now)
        commands += self._send_sums(now)
        for request_id, waiting in list(self._waiting.items()):
            if now >= waiting.until:
                del self._waiting[request_id]
                self._pulled.discard(request_id)
                gap = "the node that sums up the calls gave no answer"
                commands.append(self._reply(waiting.event, now, gap))
            elif request_id not in self._pulled:
                commands += self._pull(waiting.event, now)
        return commands

    def _refresh(self) -> None:
        if self._tables.config_edition == self._seen_edition:
            return
        self._seen_edition = self._tables.config_edition
        if self._tables.config.document is not None:
            self.table.set_document(self._tables.config.document)

    def _find_holder(self) -> str:
        environment = self._tables.identity.environment
        return find_holder(f"report/{environment}", self._tables.members.values())

    def _is_holder(self) -> bool:
        return self._find_holder() in ("", self._tables.identity.node)

    def _send_own(self, now: float) -> list[Command]:
        if now - self._own_sent_at < USAGE_S:
            return []
        notes = self._collect_notes()
        if not len(self._own) and not notes:
            self._own_sent_at = now
            return []
        identity = self._tables.identity
        target = find_aggregator(self._tables.members.values(), identity.place.data_centre)
        if target in ("", identity.node):
            self._own_sent_at = now
            self._seen_notes.update(notes)
            self._sums.add(self._own.drain())
            self._notes += notes
            return []
        if target not in self._tables.links:
            return self._connect(target, now)
        self._own_sent_at = now
        self._seen_notes.update(notes)
        source = identity.node
        return [Send(target, self._make_usage(source, self._own.drain(), tuple(notes), now))]

    def _collect_notes(self) -> list[DecisionNote]:
        notes = (DecisionNote(*row) for row in self._list_decisions())
        return [note for note in notes if note not in self._seen_notes]

    def _send_sums(self, now: float) -> list[Command]:
        if now - self._sums_sent_at < USAGE_S or not (len(self._sums) or self._notes):
            return []
        identity = self._tables.identity
        if self._is_holder():
            self._sums_sent_at = now
            self._keep(self._sums.drain(), self._take_notes(), now)
            return []
        holder = self._find_holder()
        if holder not in self._tables.links:
            return self._connect(holder, now)
        self._sums_sent_at = now
        source = f"{identity.place.data_centre}/{identity.node}"
        return [Send(holder, self._make_usage(source, self._sums.drain(), self._take_notes(), now))]

    def _take_notes(self) -> tuple[DecisionNote, ...]:
        notes, self._notes = tuple(self._notes), []
        return notes

    def _make_usage(
        self,
        source: str,
        counts: tuple[CallCount, ...],
        notes: tuple[DecisionNote, ...],
        now: float,
    ) -> UsageReport:
        # grows over a restart of the node as well
        self._last_sequence = max(self._last_sequence + 1, int(now * 1000.0))
        return UsageReport(source, self._last_sequence, counts, notes)

    def _take_usage(self, report: UsageReport, now: float) -> None:
        if report.sequence <= self._sequences.get(report.source, -1):
            return
        self._sequences[report.source] = report.sequence
        if "/" in report.source:
            self._keep(report.counts, report.decisions, now)
            return
        self._sums.add(report.counts)
        self._notes += report.decisions

    def _keep(self, counts: Iterable[CallCount], notes: Iterable[DecisionNote], now: float) -> None:
        self.table.add(counts, now=now)
        self.table.add_decisions(DecisionRow(*note) for note in notes)

    def _ask(self, event: ReportRequested, now: float) -> list[Command]:
        self._refresh()
        if self._is_holder() or len(self._waiting) >= MAX_WAITING:
            gap = "" if self._is_holder() else "too many reports are asked for at once"
            return [self._reply(event, now, gap)]
        self._waiting[event.request_id] = _Waiting(event, now + PULL_WAIT_S)
        return self._pull(event, now)

    def _pull(self, event: ReportRequested, now: float) -> list[Command]:
        holder = self._find_holder()
        if holder not in self._tables.links:
            return self._connect(holder, now)
        self._pulled.add(event.request_id)
        pull = ReportPull(event.request_id, event.format, event.service, event.include_cleared)
        return [Send(holder, pull)]

    def _reply(self, event: ReportRequested, now: float, gap: str) -> Reply:
        body = self._render(event.format, event.service, event.include_cleared, now, gap)
        return Reply(event.request_id, ReportAnswer(event.format, body))

    def _answer_pull(self, peer: str, pull: ReportPull, now: float) -> Command:
        self._refresh()
        body = self._render(pull.format, pull.service, pull.include_cleared, now, "")
        return Send(peer, ReportReply(pull.request_id, body))

    def _render(
        self, kind: str, service: str, include_cleared: bool, now: float, gap: str
    ) -> bytes:
        try:
            return render_report(
                self.table,
                format=kind,
                now=now,
                service=service,
                include_cleared=include_cleared,
                gap=gap,
            )
        except OperatorError as exc:
            return exc.message.encode()

    def _pass_on(self, reply: ReportReply) -> list[Command]:
        waiting = self._waiting.pop(reply.request_id, None)
        self._pulled.discard(reply.request_id)
        if waiting is None:
            return []
        return [Reply(reply.request_id, ReportAnswer(waiting.event.format, reply.body))]

    def _connect(self, node: str, now: float) -> list[Command]:
        member = self._tables.members.get(node)
        if member is None or now - self._connected_at.get(node, 0.0) < CONNECT_RETRY_S:
            return []
        self._connected_at[node] = now
        return [Connect(member.peer_address)]
