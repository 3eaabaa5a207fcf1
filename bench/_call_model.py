"""Simulate load balancing and retries under a virtual clock, and compare them with baselines."""

from __future__ import annotations

import heapq
import random
from typing import TYPE_CHECKING, NamedTuple

from balsamhead.membership import Place
from balsamhead.routing import (
    AttemptOutcome,
    Call,
    CallPolicy,
    Endpoint,
    Load,
    Retry,
    RetryBudget,
    Spillover,
    choose_upstream,
)
from bench._frame import percentile
from bench._hops import make_snapshot

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("Scenario", "SimulationResult", "count_amplification", "run_scenario")

#: one-way network delay within a data centre, in s
_NETWORK_DELAY_S = 0.0005
#: size of one upstream's in-flight count in a message, and of the rest of the message, in bytes
_COUNT_BYTES = 4
_MESSAGE_OVERHEAD_BYTES = 40
#: attempts of a caller that retries every failure
_UNCONDITIONAL_ATTEMPTS = 3


class Scenario(NamedTuple):
    """Parameters of a simulation."""

    #: how a node chooses an upstream: "own-counts" (by its own calls), "shared-counts" (by the
    #: calls of all nodes, exchanged from time to time), "exact" (by the true state of the
    #: upstreams) or "round-robin"
    policy: str
    #: arrival rate divided by the capacity of all upstreams
    load: float
    nodes: int = 13
    upstreams: int = 9
    slots: int = 6
    #: mean time that an upstream takes for a request, in s
    service_time_s: float = 0.05
    deadline_s: float = 0.5
    #: factor on the service time of the first upstream
    slow_factor: float = 1.0
    #: time between two exchanges of counts, in s
    exchange_interval_s: float = 0.1
    duration_s: float = 15.0
    seed: int = 11


class SimulationResult(NamedTuple):
    """Result of a simulation."""

    #: responses within the deadline, in calls/s
    goodput: float
    p99_ms: float
    #: attempts per call
    attempts: float
    #: control traffic that each node sends, in bytes/s
    control_bytes_per_s: float


class _Upstream:
    def __init__(self) -> None:
        self.running = 0


class _Node:
    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.rng = random.Random(seed)
        self.budget = RetryBudget()
        self.spillover = Spillover()
        self.loads = [
            Load(slots=scenario.slots, now=0.0, slow_start=False) for _ in range(scenario.upstreams)
        ]
        #: in-flight calls of the other nodes to each upstream, as of the last exchange
        self.remote_counts = [0] * scenario.upstreams
        self.next_upstream = 0


class _CallState(NamedTuple):
    node: _Node
    started_at: float
    call: Call
    attempted: tuple[int, ...]


class _Simulation:
    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.upstreams = [_Upstream() for _ in range(scenario.upstreams)]
        self.nodes = [_Node(scenario, n) for n in range(scenario.nodes)]
        snapshot = make_snapshot(
            list(range(1, scenario.upstreams + 1)),
            slots=scenario.slots,
            places=[Place("east-a", "east")] * scenario.upstreams,
        )
        self.version = snapshot.services["desk"].versions["v1"]
        self.endpoints: dict[int, Endpoint] = {
            int(e.node[1:]): e for tier in self.version.tiers for e in tier
        }
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_count = 0
        self.now = 0.0
        self.calls = 0
        self.attempts = 0
        self.latencies_ms: list[float] = []
        self.control_bytes = 0

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (self.now + delay_s, self.event_count, callback))

    def run(self) -> SimulationResult:
        self.handle_arrival()
        if self.scenario.policy == "shared-counts":
            self.exchange_counts()
        while self.events and self.events[0][0] < self.scenario.duration_s:
            self.now, _, callback = heapq.heappop(self.events)
            callback()
        duration_s, nodes = self.scenario.duration_s, self.scenario.nodes
        return SimulationResult(
            goodput=len(self.latencies_ms) / duration_s,
            p99_ms=percentile(self.latencies_ms, 0.99),
            attempts=self.attempts / self.calls,
            control_bytes_per_s=self.control_bytes / duration_s / nodes,
        )

    def handle_arrival(self) -> None:
        scenario = self.scenario
        rate = scenario.load * scenario.upstreams * scenario.slots / scenario.service_time_s
        self.schedule(self.rng.expovariate(rate), self.handle_arrival)
        self.calls += 1
        node = self.rng.choice(self.nodes)
        policy = CallPolicy(
            idempotent=True,
            replayable=True,
            forwarded=False,
            deadline_at=self.now + scenario.deadline_s,
        )
        self.attempt(_CallState(node, self.now, Call(policy, node.budget), ()))

    def exchange_counts(self) -> None:
        size = self.scenario.upstreams
        total = [sum(node.loads[n].in_flight for node in self.nodes) for n in range(size)]
        for node in self.nodes:
            node.remote_counts = [total[n] - node.loads[n].in_flight for n in range(size)]
            message = _MESSAGE_OVERHEAD_BYTES + _COUNT_BYTES * size
            self.control_bytes += (len(self.nodes) - 1) * message
        self.schedule(self.scenario.exchange_interval_s, self.exchange_counts)

    def choose(self, state: _CallState) -> int | None:
        node, scenario = state.node, self.scenario
        match scenario.policy:
            case "round-robin":
                node.next_upstream = (node.next_upstream + 1) % scenario.upstreams
                return node.next_upstream
            case "shared-counts":
                return self.choose_least_loaded(
                    state, lambda n: node.remote_counts[n] + node.loads[n].in_flight
                )
            case "exact":
                return self.choose_least_loaded(state, lambda n: self.upstreams[n].running)
        excluded = [self.endpoints[n] for n in state.attempted]
        chosen = choose_upstream(
            self.version,
            lambda e: node.loads[int(e.node[1:])],
            node.spillover,
            node.rng,
            self.now,
            excluded=excluded,
        )
        return None if chosen is None else int(chosen.node[1:])

    def choose_least_loaded(self, state: _CallState, get_load: Callable[[int], int]) -> int | None:
        candidates = [n for n in range(self.scenario.upstreams) if n not in state.attempted]
        sampled = state.node.rng.sample(candidates, min(2, len(candidates)))
        if self.scenario.policy == "exact":
            sampled = [n for n in sampled if get_load(n) < self.scenario.slots]
        return min(sampled, key=get_load, default=None)

    def attempt(self, state: _CallState) -> None:
        chosen = self.choose(state)
        if chosen is None:
            return
        self.attempts += 1
        state.call.begin_attempt()
        state.node.loads[chosen].in_flight += 1
        self.schedule(_NETWORK_DELAY_S, lambda: self.receive_at_upstream(state, chosen, self.now))

    def receive_at_upstream(self, state: _CallState, chosen: int, sent_at: float) -> None:
        upstream = self.upstreams[chosen]
        if upstream.running >= self.scenario.slots:
            self.schedule(_NETWORK_DELAY_S, lambda: self.handle_shed(state, chosen))
            return
        upstream.running += 1
        factor = self.scenario.slow_factor if chosen == 0 else 1.0
        service_time_s = self.rng.gammavariate(4.0, self.scenario.service_time_s / 4.0) * factor
        self.schedule(service_time_s, lambda: self.finish_request(state, chosen, sent_at))

    def finish_request(self, state: _CallState, chosen: int, sent_at: float) -> None:
        self.upstreams[chosen].running -= 1
        self.schedule(_NETWORK_DELAY_S, lambda: self.handle_response(state, chosen, sent_at))

    def handle_response(self, state: _CallState, chosen: int, sent_at: float) -> None:
        load = state.node.loads[chosen]
        load.record_response((self.now - sent_at) * 1000, failed=False, now=self.now)
        load.in_flight -= 1
        state.node.spillover.record_response(0)
        if self.now <= state.call.policy.deadline_at:
            self.latencies_ms.append((self.now - state.started_at) * 1000)

    def handle_shed(self, state: _CallState, chosen: int) -> None:
        load = state.node.loads[chosen]
        load.record_shed(self.now)
        load.in_flight -= 1
        retry_state = state._replace(attempted=(*state.attempted, chosen))
        if self.scenario.policy == "round-robin":
            if state.call.attempts < _UNCONDITIONAL_ATTEMPTS:
                self.attempt(retry_state)
        elif isinstance(state.call.decide(AttemptOutcome.SHED, self.now), Retry):
            self.attempt(retry_state)


def run_scenario(scenario: Scenario) -> SimulationResult:
    """Simulate a scenario and return its result."""
    return _Simulation(scenario).run()


def count_amplification(*, depth: int, calls: int, retry_all: bool) -> list[float]:
    """Return the requests per call that each layer receives when the last layer always fails.

    :param depth: number of service layers; each request to a layer makes one call to the next.
    :param retry_all: retry every failure, up to three attempts at each layer.
    """
    request_counts = [0] * depth
    budgets = [RetryBudget() for _ in range(depth)]

    def run_layer(layer: int) -> None:
        policy = CallPolicy(True, replayable=True, forwarded=layer > 0, deadline_at=1.0)
        call = Call(policy, budgets[layer])
        while True:
            call.begin_attempt()
            request_counts[layer] += 1
            if layer + 1 < depth:
                run_layer(layer + 1)
            decision = call.decide(AttemptOutcome.LOST, 0.0)
            if retry_all and call.attempts < _UNCONDITIONAL_ATTEMPTS:
                continue
            if retry_all or not isinstance(decision, Retry):
                return

    for _ in range(calls):
        run_layer(0)
    return [count / calls for count in request_counts]
