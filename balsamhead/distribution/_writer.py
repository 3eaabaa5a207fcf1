"""Append records to the log, and answer operators' requests when the verdicts are known."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from balsamhead.commands import Append, Command, Reply
from balsamhead.document import Document, render_difference
from balsamhead.fold import Accepted, Record, Refused, encode_record
from balsamhead.operator_responses import PublishResponse
from balsamhead.util.token_bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Mapping

    from balsamhead.events import AppendFailed, AppendFinished
    from balsamhead.fold import ConfigState, Verdict
    from balsamhead.node import Tables

__all__ = ("RecordWriter", "make_refusal")

#: burst of the append rate limit
APPEND_BURST: Final = 5.0

#: code of a refusal by a release that does not support the current rules; a request is not
#: answered with it, because a newer release may accept the record
RULES_UNKNOWN_CODE: Final = "rules-unknown"


class _PendingRecord(msgspec.Struct):
    record: Record
    #: id of the operator's request; empty for a record of the node itself
    request_id: str
    deadline: float
    digest: str
    document: Document | None
    #: log offset of the record; -1 while unknown
    offset: int = -1


class RecordWriter:
    """Append records at a limited rate, and answer requests when the verdict is known."""

    def __init__(self, tables: Tables, *, appends_per_s: float, response_timeout_s: float) -> None:
        self._tables = tables
        self._response_timeout_s = response_timeout_s
        self._budget = TokenBucket(rate=appends_per_s, burst=APPEND_BURST)
        self._pending: dict[str, _PendingRecord] = {}
        self._record_count = 0

    @property
    def has_pending(self) -> bool:
        """Return whether the verdict on a record is pending."""
        return bool(self._pending)

    def make_id(self) -> str:
        """Return a unique record id."""
        self._record_count += 1
        identity = self._tables.identity
        return f"{identity.node}-{identity.incarnation}-{self._record_count}"

    def append(
        self,
        record: Record,
        now: float,
        *,
        request_id: str = "",
        digest: str = "",
        document: Document | None = None,
    ) -> list[Command]:
        """Append a record, or refuse the request if the rate limit is exceeded.

        :param request_id: operator's request to answer when the verdict is known; empty for none.
        :param digest: digest of the document, for the response.
        :param document: published document; if it is refused, the response shows its difference
            from the current one.
        """
        if not self._budget.try_acquire(now):
            if not request_id:
                return []
            reason = (
                "this node's append rate limit is exceeded; nothing was written, try again later"
            )
            return [make_refusal(request_id, "appends-limited", reason)]
        deadline = now + self._response_timeout_s
        self._pending[record.id] = _PendingRecord(record, request_id, deadline, digest, document)
        return [Append(self._tables.identity.environment, record.id, encode_record(record))]

    def handle_append_finished(self, event: AppendFinished) -> None:
        """Store the log offset of an appended record."""
        pending = self._pending.get(event.record_id)
        if pending is not None:
            pending.offset = event.offset

    def handle_append_failed(self, event: AppendFailed) -> list[Command]:
        """Refuse the request if nothing was written.

        A record that may have been written stays pending, as its verdict may follow.
        """
        if event.may_be_written:
            return []
        pending = self._pending.pop(event.record_id, None)
        if pending is None or not pending.request_id:
            return []
        reason = "the log can't be reached; nothing was written, publish again later"
        return [make_refusal(pending.request_id, event.code, reason, digest=pending.digest)]

    def resolve_pending(
        self, verdicts: Mapping[str, Verdict], state: ConfigState | None, now: float
    ) -> list[Command]:
        """Answer the requests whose verdict is known or whose deadline has passed.

        :param verdicts: verdicts by record id.
        :param state: state after the records that were read; None if there is none.
        """
        commands: list[Command] = []
        for record_id in list(self._pending):
            pending = self._pending[record_id]
            answer = self._find_answer(pending, verdicts.get(record_id), state, now)
            if answer is None:
                continue
            del self._pending[record_id]
            if pending.request_id:
                commands.append(Reply(pending.request_id, answer))
        return commands

    def _find_answer(
        self,
        pending: _PendingRecord,
        verdict: Verdict | None,
        state: ConfigState | None,
        now: float,
    ) -> PublishResponse | None:
        config = self._tables.config
        if verdict is None and config.record_id == pending.record.id:
            verdict = Accepted(config.offset)
        match verdict:
            case Accepted(version=version):
                return PublishResponse("accepted", "", "", version, pending.digest)
            case Refused(code=code) if code != RULES_UNKNOWN_CODE:
                return _build_refused_answer(pending, verdict, state)
            case _ if now >= pending.deadline:
                return _build_unknown_answer(pending)
            case _:
                return None


def make_refusal(request_id: str, code: str, reason: str, *, digest: str = "") -> Command:
    """Return a reply that a request was refused before anything was written."""
    return Reply(request_id, PublishResponse("refused", code, reason, -1, digest))


def _build_refused_answer(
    pending: _PendingRecord, verdict: Refused, state: ConfigState | None
) -> PublishResponse:
    difference: tuple[str, ...] = ()
    offset = -1
    if state is not None:
        offset = state.document_offset
        if pending.document is not None and state.document is not None:
            difference = render_difference(state.document, pending.document)
    return PublishResponse(
        "refused", verdict.code, verdict.reason, offset, pending.digest, difference
    )


def _build_unknown_answer(pending: _PendingRecord) -> PublishResponse:
    record = pending.record
    written = (
        f"was written at log offset {pending.offset}, but its verdict is not known yet"
        if pending.offset >= 0
        else "may have been written"
    )
    reason = (
        f"record {record.id} {written}; compare the digest that `balsamhead status` shows, or "
        f"send it again with base {record.base}: at most one of the two is accepted"
    )
    return PublishResponse("unknown", "log-outcome-unknown", reason, pending.offset, pending.digest)
