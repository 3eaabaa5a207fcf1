"""Serve the operator port on the loopback interface, backed by a fake node."""

from __future__ import annotations

from concurrent.futures import Future
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING

from balsamhead.document import Document
from balsamhead.events import Event, StatusRequested
from balsamhead.operator import OperatorClient, OperatorServer
from balsamhead.operator_responses import (
    OperatorResponse,
    PublishResponse,
    RolloutStatus,
    StatusResponse,
    VersionCount,
)
from balsamhead.util.secret import Secret
from tests.test_settings.builders import TOKEN, make_settings

if TYPE_CHECKING:
    from collections.abc import Iterator

ACCEPTED = PublishResponse("accepted", "", "", 7, "ab" * 16)
ROLLOUT = RolloutStatus(
    "desk", "1.0", "2.0", 0.25, "shifting", False, 1_900_000_600.0, "", "share 0.5 at 40 calls"
)
STATUS = StatusResponse(
    node="node-1",
    environment="trial",
    offset=9,
    document_offset=7,
    digest="ab" * 16,
    in_force=(VersionCount(9, 6), VersionCount(7, 2)),
    live_nodes=8,
    rollouts=(ROLLOUT,),
    log_lag_s=0.4,
)


class FakeNode:
    """Record submitted events and respond as the test has set in ``answer`` and ``status``."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.answer: OperatorResponse | Exception | None = ACCEPTED
        self.status: StatusResponse = STATUS
        self.is_ready = True
        self.address = ""
        self.document: Document | None = None

    def submit(self, event: Event) -> Future[OperatorResponse]:
        """Record an event and return a future of its response.

        A status request gets ``status``. Other events get ``answer``: an exception fails the
        future, and None leaves it pending.
        """
        self.events.append(event)
        fut: Future[OperatorResponse] = Future()
        if isinstance(event, StatusRequested):
            fut.set_result(self.status)
        elif isinstance(self.answer, Exception):
            fut.set_exception(self.answer)
        elif self.answer is not None:
            fut.set_result(self.answer)
        return fut

    def make_client(self, *, token: str = TOKEN) -> OperatorClient:
        """Return a client of the operator port."""
        return OperatorClient(self.address, token=Secret(token), operator="nino")


@contextmanager
def serve_node(folder: Path) -> Iterator[FakeNode]:
    """Serve a fake node until the block ends."""
    node = FakeNode()
    cfg = make_settings(folder)
    server = OperatorServer.from_config(
        cfg,
        token=cfg.operator_token,
        submit=node.submit,
        is_ready=lambda: node.is_ready,
        render_metrics=lambda: b"balsamhead_links 3\n",
        get_document=lambda: node.document,
        render_report=lambda kind: f"report as {kind}\n".encode(),
    )
    server.start()
    node.address = server.address
    try:
        yield node
    finally:
        server.stop()
