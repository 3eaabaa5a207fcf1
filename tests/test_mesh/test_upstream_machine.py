from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from balsamhead.mesh._calls import Refused
from balsamhead.mesh._crash_registry import CrashRegistry
from balsamhead.mesh._metrics import MeshMetrics
from balsamhead.mesh._upstream import CallResult, LocalUpstream
from balsamhead.mesh.model import UpstreamRecord, UpstreamState
from standin.virtual_network import VirtualLoop
from tests.test_mesh.builders import make_call

IDS = st.sampled_from(["i-1", "i-2"])
CALL = make_call()


class UpstreamRecords(RuleBasedStateMachine):
    """Announce, deregister and call in any order, with outdated announcements in between."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualLoop()
        self.results: list[CallResult] = []
        self.deregistered: set[tuple[str, int]] = set()
        #: ids, starts and sequences of the newest announcement and of the one before it
        self.newest: tuple[str, int, int] | None = None
        self.previous: tuple[str, int, int] | None = None
        self.accepted_at = 0.0
        self.upstream: LocalUpstream = self.run(self.make())

    async def make(self) -> LocalUpstream:
        return LocalUpstream(
            address="10.0.0.1:8000",
            service="desk",
            announce_interval_s=1.5,
            on_change=lambda: None,
            on_result=self.results.append,
            metrics=MeshMetrics(),
            crash_registry=CrashRegistry("node-1"),
        )

    def run(self, coro: Coroutine[Any, Any, Any]) -> Any:
        return self.loop.run_until_complete(coro)

    def teardown(self) -> None:
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self.run(asyncio.sleep(0))
        self.loop.close()

    @rule(
        name=IDS,
        born=st.integers(0, 3),
        sequence=st.integers(0, 6),
        state=st.sampled_from(UpstreamState),
        service=st.sampled_from(["desk", "desk", "desk", "registry"]),
    )
    def announce(
        self, name: str, born: int, sequence: int, state: UpstreamState, service: str
    ) -> None:
        record = UpstreamRecord(name, service, "10.0.0.1:8000", "v1", 2, state, 0.0, born, sequence)
        accepted = self.upstream.apply_announcement(record)
        if accepted:
            assert service == "desk"
            self.check_order((name, born, sequence))

    def check_order(self, accepted: tuple[str, int, int]) -> None:
        """Check that an announcement is newer than all, or that it contradicts the newest one.

        It does so if nothing newer has come for two intervals, and it follows the one before.
        """
        now = self.loop.time()
        if self.newest is None or accepted[1:] > self.newest[1:]:
            self.newest, self.previous = accepted, self.newest
        else:
            assert self.previous is not None
            assert accepted[0] == self.previous[0]
            assert accepted[1:] > self.previous[1:]
            assert now - self.accepted_at > 3.0
            self.newest, self.previous = accepted, None
        self.accepted_at = now

    @rule(name=IDS)
    def leave(self, name: str) -> None:
        if self.upstream.deregister(name):
            record = self.upstream.record
            assert record is not None
            self.deregistered.add((record.id, record.started_at_ms))
            assert not self.upstream.accepts_requests()

    @rule(seconds=st.floats(0.1, 8.0))
    def wait(self, seconds: float) -> None:
        self.run(asyncio.sleep(seconds))

    @rule()
    def call_without_a_listener(self) -> None:
        """Check that a request is refused without being run if no process listens."""
        outcome = self.run(self.upstream.run(CALL, b""))
        assert isinstance(outcome, Refused)
        assert self.upstream.running == 0

    @invariant()
    def deregistered_upstream_accepts_nothing(self) -> None:
        record = self.upstream.record
        if record is not None and (record.id, record.started_at_ms) in self.deregistered:
            assert not self.upstream.accepts_requests()

    @invariant()
    def draining_upstream_accepts_nothing(self) -> None:
        record = self.upstream.record
        if record is None or record.state is UpstreamState.DRAINING:
            assert not self.upstream.accepts_requests()

    @invariant()
    def refused_calls_give_no_results(self) -> None:
        assert self.results == []


TestUpstreamRecords = UpstreamRecords.TestCase
TestUpstreamRecords.settings = settings(max_examples=60, stateful_step_count=25, deadline=None)
