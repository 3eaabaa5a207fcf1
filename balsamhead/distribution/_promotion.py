"""Promote the current document of another environment to this one."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from balsamhead.commands import Command, ReadLog
from balsamhead.distribution._reader import StreamReader
from balsamhead.distribution._writer import make_refusal
from balsamhead.document import digest_document
from balsamhead.events import LogRead, LogReadFailed, PromoteRequested, PublishRequested

if TYPE_CHECKING:
    from balsamhead.document import Document

__all__ = ("Promotion",)

#: delay before a failed read is retried, in s
RETRY_S: Final = 1.0


class _PromotionRequest(msgspec.Struct):
    event: PromoteRequested
    deadline: float


class Promotion:
    """Read the stream of the source environment while promotion requests are pending."""

    def __init__(self, *, source: str, response_timeout_s: float) -> None:
        self.source = source
        self._response_timeout_s = response_timeout_s
        self._requests: list[_PromotionRequest] = []
        self._reader: StreamReader | None = None
        self._is_reading = False
        self._next_read_at = 0.0

    def start(self, event: PromoteRequested, now: float) -> list[Command]:
        """Start to read the source's stream, or refuse the request if no source is configured."""
        if not self.source:
            reason = "no source environment is configured; set promotes_from in the node's settings"
            return [make_refusal(event.request_id, "promotion-not-configured", reason)]
        self._requests.append(_PromotionRequest(event, now + self._response_timeout_s))
        # start over, so that the document is not older than the request
        self._reader = StreamReader(started_at=now)
        return self._read(now)

    def handle_batch(
        self, event: LogRead, now: float
    ) -> tuple[list[PublishRequested], list[Command]]:
        """Fold a batch of the source's stream; return the publish requests to run and commands."""
        self._is_reading = False
        reader = self._reader
        if reader is None:
            return [], []
        reader.handle_batch(event.start, event.batch)
        if not reader.is_caught_up and not reader.is_awaiting_checkpoint:
            return [], self._read(now)

        requests, self._requests = self._requests, []
        self._reader = None
        document = reader.state.document if reader.state is not None else None
        publishes: list[PublishRequested] = []
        commands: list[Command] = []
        for request in requests:
            match _make_publish_request(request.event, document, self.source):
                case PublishRequested() as publish:
                    publishes.append(publish)
                case command:
                    commands.append(command)
        return publishes, commands

    def handle_failure(self, event: LogReadFailed, now: float) -> None:
        """Schedule a retry after a failed read of the source."""
        self._is_reading = False
        self._next_read_at = now + RETRY_S

    def tick(self, now: float) -> list[Command]:
        """Refuse the requests that timed out, and return the next read if it is due."""
        commands: list[Command] = []
        for request in [request for request in self._requests if now >= request.deadline]:
            self._requests.remove(request)
            reason = f"the stream of {self.source} can't be read; nothing was written"
            commands.append(make_refusal(request.event.request_id, "log-unavailable", reason))
        if not self._requests:
            self._reader = None
        if self._reader is not None and now >= self._next_read_at:
            commands += self._read(now)
        return commands

    def _read(self, now: float) -> list[Command]:
        if self._is_reading or self._reader is None:
            return []
        self._is_reading = True
        return [ReadLog(self.source, self._reader.next_offset, 0.0)]


def _make_publish_request(
    event: PromoteRequested, document: Document | None, source: str
) -> PublishRequested | Command:
    if document is None:
        reason = f"environment {source} has no document yet; publish it there first"
        return make_refusal(event.request_id, "promotion-source-empty", reason)
    digest = digest_document(document)
    if event.digest not in ("", digest):
        reason = (
            f"{source} now has document {digest}; promote that one or publish yours there again"
        )
        return make_refusal(event.request_id, "digest-not-current", reason, digest=event.digest)
    return PublishRequested(event.request_id, document, None, event.operator)
