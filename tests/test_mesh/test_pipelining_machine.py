"""Requests sent ahead on one connection, which end in any order, as a state machine."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from balsamhead.mesh._calls import BodyPipe
from balsamhead.mesh._server_connection import _MAX_PIPELINED_REQUESTS
from balsamhead.mesh._server_context import Reply
from standin.virtual_network import VirtualLoop
from tests.test_mesh.server_builders import PipelinedConnection, make_request


class PipelinedRequests(RuleBasedStateMachine):
    """Send requests in pieces, end them in any order, and let the client read slowly."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualLoop()
        self.client: PipelinedConnection = self.run(self.make())
        #: whether each request that was sent runs at most once
        self.sent: list[bool] = []
        self.unsent = b""
        self.streams: list[BodyPipe] = []

    async def make(self) -> PipelinedConnection:
        return PipelinedConnection()

    def run(self, coro: Coroutine[Any, Any, Any]) -> Any:
        return self.loop.run_until_complete(coro)

    def teardown(self) -> None:
        for pipe in self.streams:
            pipe.finish()
        self.client.transport.read_all()
        self.run(self.client.send(self.unsent))
        while self.client.running:
            self.run(self.client.finish(next(iter(self.client.running))))
        assert self.client.list_answered() == list(range(len(self.sent)))
        assert (self.client.context.running_ahead, self.client.context.held_bytes) == (0, 0)
        self.loop.close()

    @rule(once=st.booleans(), size=st.sampled_from([0, 3, 1000]))
    def send_request(self, once: bool, size: int) -> None:
        self.unsent += make_request(len(self.sent), once=once, body=b"x" * size)
        self.sent.append(once)

    @precondition(lambda self: self.unsent)
    @rule(size=st.integers(1, 2500))
    def deliver(self, size: int) -> None:
        part, self.unsent = self.unsent[:size], self.unsent[size:]
        self.run(self.client.send(part))

    @precondition(lambda self: self.client.running)
    @rule(data=st.data(), size=st.sampled_from([0, 500, 40_000]))
    def finish(self, data: st.DataObject, size: int) -> None:
        number = data.draw(st.sampled_from(sorted(self.client.running)))
        reply = Reply(200, b"<%d>" % number + b"y" * size)
        self.run(self.client.finish(number, reply))

    @precondition(lambda self: self.client.running)
    @rule(data=st.data())
    def finish_with_stream(self, data: st.DataObject) -> None:
        number = data.draw(st.sampled_from(sorted(self.client.running)))
        pipe = BodyPipe()
        self.streams.append(pipe)
        head = b"<%d>" % number
        pipe.push(b"z" * 100)
        self.run(
            self.client.finish(number, Reply(200, head, length=len(head) + 100, body_stream=pipe))
        )

    @precondition(lambda self: self.streams)
    @rule()
    def end_stream(self) -> None:
        self.streams.pop(0).finish()
        self.run(self.client.settle())

    @rule(reads=st.booleans())
    def let_client_read(self, reads: bool) -> None:
        if reads:
            self.client.transport.read_all()
        else:
            self.client.transport.client_reads = False
        self.run(self.client.settle())

    @invariant()
    def responses_are_in_order(self) -> None:
        answered = self.client.list_answered()
        assert answered == list(range(len(answered)))

    @invariant()
    def requests_begin_in_order_and_each_once(self) -> None:
        started = self.client.list_started()
        assert started == list(range(len(started)))

    @invariant()
    def request_that_runs_at_most_once_runs_beside_no_other(self) -> None:
        running = self.client.running
        if any(self.sent[number] for number in running):
            assert len(running) == 1

    @invariant()
    def unanswered_requests_are_bounded(self) -> None:
        assert len(self.client.running) <= _MAX_PIPELINED_REQUESTS
        unanswered = len(self.client.started) - len(self.client.list_answered())
        assert unanswered <= _MAX_PIPELINED_REQUESTS

    @invariant()
    def next_request_is_not_forgotten(self) -> None:
        if self.unsent or len(self.client.list_answered()) == len(self.sent):
            return
        streams_or_writes = self.streams or not self.client.transport.client_reads
        assert self.client.running or streams_or_writes


PipelinedRequestsTest = PipelinedRequests.TestCase
