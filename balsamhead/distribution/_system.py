"""Coordinate log reads, replication between nodes, and appends for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from balsamhead import events
from balsamhead.commands import Command, Reply
from balsamhead.distribution._aggregate import Aggregator
from balsamhead.distribution._follower import LogFollower
from balsamhead.distribution._log_maintenance import LogMaintainer
from balsamhead.distribution._promotion import Promotion
from balsamhead.distribution._replication import Replicator
from balsamhead.distribution._status import build_status
from balsamhead.distribution._writer import RecordWriter, make_refusal
from balsamhead.document import check_document, digest_document, sort_document
from balsamhead.errors import OperatorError
from balsamhead.fold import PublishDocument, Record, Rollout
from balsamhead.operator_responses import PublishResponse, StatusResponse
from balsamhead.rollout import make_operator_record
from balsamhead.wire import Announce, Delta, InForceReport, Pull, WithdrawnNotice

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from balsamhead.document import RolloutPolicy
    from balsamhead.events import Event
    from balsamhead.node import Tables
    from balsamhead.wire import Message

__all__ = ("Distribution",)

#: default retention of the log, in s
RETENTION_S: Final = 86_400.0

#: default long-poll time of a read, in s
LOG_WAIT_S: Final = 5.0

#: default rate limit for the appends of one node, per s
APPENDS_PER_S: Final = 2.0

#: default time after which an operator's request is answered even without a verdict, in s
RESPONSE_TIMEOUT_S: Final = 15.0


class Distribution:
    """Read the log, replicate the accepted configuration, and append records for operators."""

    def __init__(
        self,
        tables: Tables,
        *,
        follower: LogFollower,
        replicator: Replicator,
        writer: RecordWriter,
        log_maintainer: LogMaintainer,
        promotion: Promotion,
        aggregator: Aggregator,
        describe_next_step: Callable[[Rollout, float], str],
    ) -> None:
        self._tables = tables
        self._follower = follower
        self._replicator = replicator
        self._writer = writer
        self._log_maintainer = log_maintainer
        self._promotion = promotion
        self._aggregator = aggregator
        self._describe_next_step = describe_next_step

    @classmethod
    def from_config(
        cls,
        tables: Tables,
        *,
        rng: random.Random,
        promotes_from: str = "",
        log_region: str = "",
        log_wait_s: float = LOG_WAIT_S,
        retention_s: float = RETENTION_S,
        appends_per_s: float = APPENDS_PER_S,
        response_timeout_s: float = RESPONSE_TIMEOUT_S,
        describe_next_step: Callable[[Rollout, float], str] = lambda rollout, now: "",
    ) -> Distribution:
        """Create the distribution system of a node.

        :param promotes_from: environment from which documents are promoted; empty for none.
        :param log_region: region of the log; empty if one node of every region reads it.
        :param log_wait_s: long-poll time of a read, in s.
        :param retention_s: time for which the log keeps records, in s.
        :param appends_per_s: rate limit for the appends of this node, per s.
        :param answer_timeout_s: time after which an operator's request is answered although
            the verdict is not known, in s.
        :param describe_next_step: returns a description of a rollout's next step, given the
            rollout and the time in s since the epoch.
        """
        writer = RecordWriter(
            tables, appends_per_s=appends_per_s, response_timeout_s=response_timeout_s
        )
        return cls(
            tables,
            follower=LogFollower(tables, rng=rng, log_region=log_region, wait_s=log_wait_s),
            replicator=Replicator(tables, rng=rng),
            writer=writer,
            log_maintainer=LogMaintainer(
                tables, rng=rng, retention_s=retention_s, make_id=writer.make_id
            ),
            promotion=Promotion(source=promotes_from, response_timeout_s=response_timeout_s),
            aggregator=Aggregator(tables, rng=rng),
            describe_next_step=describe_next_step,
        )

    def handle(self, event: Event, now: float) -> list[Command]:
        """Handle an event and return the commands that result."""
        match event:
            case events.MessageReceived(peer=peer, message=message):
                return self._handle_message(peer, message, now)
            case events.LinkOpened(peer=peer):
                return self._replicator.open_link(peer)
            case events.LinkClosed(peer=peer):
                self._replicator.close_link(peer)
                self._aggregator.close_link(peer)
                return []
            case events.LogRead() | events.LogReadFailed():
                return self._handle_read(event, now)
            case events.AppendFinished():
                self._writer.handle_append_finished(event)
                return []
            case events.AppendFailed():
                return self._writer.handle_append_failed(event)
            case _:
                return self._handle_request(event, now)

    def tick(self, now: float) -> list[Command]:
        """Run the periodic work that is due and return the commands that result."""
        commands = self._replicator.tick(now)
        commands += self._aggregator.tick(now)
        commands += self._promotion.tick(now)
        commands += self._append_maintenance_records(now)
        commands += self._answer_pending(now)
        commands += self._follower.tick(now, is_verdict_pending=self._writer.has_pending)
        return commands

    def _handle_message(self, peer: str, message: Message, now: float) -> list[Command]:
        match message:
            case Announce():
                return self._replicator.handle_announce(peer, message, now)
            case Pull():
                return self._replicator.handle_pull(peer, message, now)
            case Delta():
                return self._replicator.handle_delta(peer, message, now)
            case WithdrawnNotice():
                return self._replicator.handle_withdrawal(peer, message)
            case InForceReport():
                self._aggregator.handle_report(peer, message, now)
                return []
            case _:
                return []

    def _handle_read(
        self, event: events.LogRead | events.LogReadFailed, now: float
    ) -> list[Command]:
        is_own_environment = event.stream == self._tables.identity.environment
        match event:
            case events.LogReadFailed() if is_own_environment:
                self._follower.handle_failure(now)
                return []
            case events.LogReadFailed():
                self._promotion.handle_failure(event, now)
                return []
            case events.LogRead() if not is_own_environment:
                publishes, commands = self._promotion.handle_batch(event, now)
                for publish in publishes:
                    commands += self._publish(publish, now)
                return commands

        self._follower.handle_batch(event, now)
        reader = self._follower.reader
        commands = []
        if reader is not None and reader.state is not None:
            commands += self._replicator.apply(reader.state)
        commands += self._answer_pending(now)
        commands += self._follower.tick(now, is_verdict_pending=self._writer.has_pending)
        return commands

    def _handle_request(self, event: Event, now: float) -> list[Command]:
        match event:
            case events.PublishRequested():
                return self._publish(event, now)
            case events.PromoteRequested():
                return self._promotion.start(event, now)
            case events.RolloutRequested():
                return self._change_rollout(event, now)
            case events.StatusRequested(request_id=request_id):
                return [Reply(request_id, self._build_status(now))]
            case _:
                return []

    def _build_status(self, now: float) -> StatusResponse:
        return build_status(
            self._tables,
            in_force=self._aggregator.list_version_counts(),
            describe_next_step=self._describe_next_step,
            is_reader=self._follower.is_reader(now),
            now=now,
        )

    def _answer_pending(self, now: float) -> list[Command]:
        if not self._writer.has_pending:
            return []
        reader = self._follower.reader
        verdicts = reader.verdicts if reader is not None else {}
        return self._writer.resolve_pending(
            verdicts, reader.state if reader is not None else None, now
        )

    def _append_maintenance_records(self, now: float) -> list[Command]:
        reader = self._follower.reader
        verdicts = reader.verdicts if reader is not None else {}
        if not self._follower.is_reader(now):
            local = self._replicator.list_local_unlogged()
            return self._append_all(
                self._log_maintainer.plan_withdrawals(local, verdicts, now), now
            )

        unlogged = self._replicator.list_unlogged()
        records = self._log_maintainer.plan_withdrawals(unlogged, verdicts, now)
        if reader is not None:
            records += self._log_maintainer.plan_checkpoint(reader, now)
            records += self._log_maintainer.plan_recovery(reader, now)
        return self._append_all(records, now)

    def _append_all(self, records: list[Record], now: float) -> list[Command]:
        commands: list[Command] = []
        for record in records:
            self._follower.start_reading(now)
            commands += self._writer.append(record, now)
        return commands

    def _publish(self, event: events.PublishRequested, now: float) -> list[Command]:
        config = self._tables.config
        document = sort_document(event.document)
        digest = digest_document(document)
        mistakes = check_document(document, written_at=now, previous=config.document)
        if mistakes:
            reason = "; ".join(f"{mistake.place}: {mistake.message}" for mistake in mistakes)
            return [make_refusal(event.request_id, "document-invalid", reason, digest=digest)]

        record = PublishDocument(
            id=self._writer.make_id(),
            base=config.document_offset if event.base is None else event.base,
            written_at=now,
            writer=event.operator,
            document=document,
        )
        self._follower.start_reading(now)
        return self._writer.append(
            record, now, request_id=event.request_id, digest=digest, document=document
        )

    def _change_rollout(self, event: events.RolloutRequested, now: float) -> list[Command]:
        rollout = self._find_rollout(event.service)
        if rollout is None:
            reason = f"{event.service} has no rollout"
            return [make_refusal(event.request_id, "rollout-missing", reason)]
        if event.action == "take-back":
            return self._roll_back(rollout, event)

        policy = self._find_policy(event.service)
        if policy is None:
            return [
                make_refusal(
                    event.request_id, "rollout-missing", f"{event.service} is not in the document"
                )
            ]
        try:
            record = make_operator_record(
                event.action,
                rollout,
                policy,
                record_id=self._writer.make_id(),
                operator=event.operator,
                now=now,
            )
        except OperatorError as exc:
            return [make_refusal(event.request_id, exc.error_code, exc.message)]
        self._follower.start_reading(now)
        return self._writer.append(record, now, request_id=event.request_id)

    def _roll_back(self, rollout: Rollout, event: events.RolloutRequested) -> list[Command]:
        key = (rollout.service, rollout.new, rollout.document_offset)
        if rollout.phase == "done":
            reason = (
                f"{rollout.new} already receives all calls; publish a document with another version"
            )
            return [make_refusal(event.request_id, "rollout-done", reason)]
        # withdrawals are only ever added, so this one can't conflict and takes effect before the
        # log has accepted its record
        if key not in self._tables.withdrawn:
            self._tables.withdrawn[key] = f"taken back by {event.operator}"
            self._tables.config_revision += 1
        reason = "withdrawn at once everywhere; the record in the log follows"
        return [Reply(event.request_id, PublishResponse("accepted", "", reason, -1, ""))]

    def _find_policy(self, service: str) -> RolloutPolicy | None:
        document = self._tables.config.document
        for row in document.services if document is not None else ():
            if row.name == service:
                return row.rollout
        return None

    def _find_rollout(self, service: str) -> Rollout | None:
        for rollout in self._tables.config.rollouts:
            if rollout.service == service:
                return rollout
        return None
