"""Test that a non-idempotent request is run at most once and outcomes are reported truthfully."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from tests.test_proxy.fake_network import UPSTREAM_BEHAVIOURS, Network


class Calls(RuleBasedStateMachine):
    """Interleave calls with delayed and unsolicited responses of upstreams."""

    def __init__(self) -> None:
        super().__init__()
        self.network = Network()
        self.count = 0

    @rule(
        idempotent=st.booleans(),
        fates=st.lists(st.sampled_from(UPSTREAM_BEHAVIOURS), min_size=1, max_size=4),
        leave=st.sampled_from((False, False, False, True)),
    )
    def call(self, *, idempotent: bool, fates: list[str], leave: bool) -> None:
        self.count += 1
        request_id = f"r{self.count}"
        got = self.network.call(
            request_id, idempotent=idempotent, behaviours=fates, disconnect=leave
        )
        runs = self.network.upstreams.runs.get(request_id, 0)
        assert idempotent or runs <= 1
        if got.status == 200:
            assert got.body == request_id.encode()
            assert runs >= 1
        elif got.outcome == "not-run":
            assert runs == 0
        else:
            assert got.outcome == "unknown" or (got.status == 0 and leave)

    @rule()
    def deliver_late_answers(self) -> None:
        self.network.upstreams.send_delayed_responses()
        self.network.dispatcher.release_finished_calls()

    @rule()
    def send_strays(self) -> None:
        self.network.upstreams.send_unsolicited_responses()

    def teardown(self) -> None:
        assert self.network.dispatcher.running == 0
        self.network.close()


TestCalls = Calls.TestCase
TestCalls.settings = settings(max_examples=100, stateful_step_count=30)
