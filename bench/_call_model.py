"""Run the decisions about calls under a virtual clock, against baselines."""

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

__all__ = ("LoadResult", "Scenario", "count_amplification", "run_scenario")

#: time between two ends of a data centre, one way, in s
_HOP_S = 0.0005
#: size of one shared count of an upstream and of the message around them, in bytes
_COUNT_BYTES = 4
_MESSAGE_BYTES = 40
#: attempts of a caller that retries blindly
_BLIND_ATTEMPTS = 3


class Scenario(NamedTuple):
    """Say what is simulated."""

    #: "own-counts", "shared-counts", "exact" or "round-robin"
    policy: str
    #: arrivals over the capacity of all upstreams
    load: float
    nodes: int = 13
    upstreams: int = 9
    slots: int = 6
    #: mean time of a request, in s
    work_s: float = 0.05
    deadline_s: float = 0.5
    #: factor on the time of the first upstream
    slow_factor: float = 1.0
    #: time between two messages of shared counts, in s
    share_interval_s: float = 0.1
    time_s: float = 15.0
    seed: int = 11


class LoadResult(NamedTuple):
    """Hold what a scenario gave."""

    #: answers within the deadline, in calls/s
    goodput: float
    p99_ms: float
    #: attempts over calls
    attempts: float
    #: bytes of control messages that a node sends, in bytes/s
    control_bytes: float


class _Upstream:
    def __init__(self) -> None:
        self.running = 0


class _Node:
    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.rng = random.Random(seed)
        self.budget = RetryBudget()
        self.spill = Spillover()
        self.loads = [
            Load(slots=scenario.slots, now=0.0, slow_start=False) for _ in range(scenario.upstreams)
        ]
        #: counts of all nodes as they were last shared
        self.shared = [0] * scenario.upstreams
        self.next = 0


class _Job(NamedTuple):
    node: _Node
    began_at: float
    call: Call
    tried: tuple[int, ...]


class _Model:
    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.upstreams = [_Upstream() for _ in range(scenario.upstreams)]
        self.nodes = [_Node(scenario, n) for n in range(scenario.nodes)]
        snapshot = make_snapshot(
            list(range(1, scenario.upstreams + 1)),
            slots=scenario.slots,
            tiers=[Place("east-a", "east")] * scenario.upstreams,
        )
        self.version = snapshot.services["desk"].versions["v1"]
        self.endpoints: dict[int, Endpoint] = {
            int(e.node[1:]): e for tier in self.version.tiers for e in tier
        }
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.now = 0.0
        self.calls = 0
        self.attempts = 0
        self.times_ms: list[float] = []
        self.control_bytes = 0

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.queue, (self.now + delay_s, self.count, action))

    def run(self) -> LoadResult:
        self.arrive()
        if self.scenario.policy == "shared-counts":
            self.share()
        while self.queue and self.queue[0][0] < self.scenario.time_s:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        time_s, nodes = self.scenario.time_s, self.scenario.nodes
        return LoadResult(
            goodput=len(self.times_ms) / time_s,
            p99_ms=percentile(self.times_ms, 0.99),
            attempts=self.attempts / self.calls,
            control_bytes=self.control_bytes / time_s / nodes,
        )

    def arrive(self) -> None:
        scenario = self.scenario
        rate = scenario.load * scenario.upstreams * scenario.slots / scenario.work_s
        self.after(self.rng.expovariate(rate), self.arrive)
        self.calls += 1
        node = self.rng.choice(self.nodes)
        policy = CallPolicy(
            idempotent=True,
            replayable=True,
            forwarded=False,
            deadline_at=self.now + scenario.deadline_s,
        )
        self.attempt(_Job(node, self.now, Call(policy, node.budget), ()))

    def share(self) -> None:
        size = self.scenario.upstreams
        total = [sum(node.loads[n].in_flight for node in self.nodes) for n in range(size)]
        for node in self.nodes:
            node.shared = [total[n] - node.loads[n].in_flight for n in range(size)]
            message = _MESSAGE_BYTES + _COUNT_BYTES * size
            self.control_bytes += (len(self.nodes) - 1) * message
        self.after(self.scenario.share_interval_s, self.share)

    def choose(self, job: _Job) -> int | None:
        node, scenario = job.node, self.scenario
        match scenario.policy:
            case "round-robin":
                node.next = (node.next + 1) % scenario.upstreams
                return node.next
            case "shared-counts":
                return self.choose_by(job, lambda n: node.shared[n] + node.loads[n].in_flight)
            case "exact":
                return self.choose_by(job, lambda n: self.upstreams[n].running)
        excluded = [self.endpoints[n] for n in job.tried]
        chosen = choose_upstream(
            self.version,
            lambda e: node.loads[int(e.node[1:])],
            node.spill,
            node.rng,
            self.now,
            excluded=excluded,
        )
        return None if chosen is None else int(chosen.node[1:])

    def choose_by(self, job: _Job, count: Callable[[int], int]) -> int | None:
        open_ones = [n for n in range(self.scenario.upstreams) if n not in job.tried]
        drawn = job.node.rng.sample(open_ones, min(2, len(open_ones)))
        if self.scenario.policy == "exact":
            drawn = [n for n in drawn if count(n) < self.scenario.slots]
        return min(drawn, key=count, default=None)

    def attempt(self, job: _Job) -> None:
        chosen = self.choose(job)
        if chosen is None:
            return
        self.attempts += 1
        job.call.begin_attempt()
        job.node.loads[chosen].in_flight += 1
        self.after(_HOP_S, lambda: self.reach(job, chosen, self.now))

    def reach(self, job: _Job, chosen: int, sent_at: float) -> None:
        upstream = self.upstreams[chosen]
        if upstream.running >= self.scenario.slots:
            self.after(_HOP_S, lambda: self.take_shed(job, chosen))
            return
        upstream.running += 1
        factor = self.scenario.slow_factor if chosen == 0 else 1.0
        work_s = self.rng.gammavariate(4.0, self.scenario.work_s / 4.0) * factor
        self.after(work_s, lambda: self.finish(job, chosen, sent_at))

    def finish(self, job: _Job, chosen: int, sent_at: float) -> None:
        self.upstreams[chosen].running -= 1
        self.after(_HOP_S, lambda: self.take_answer(job, chosen, sent_at))

    def take_answer(self, job: _Job, chosen: int, sent_at: float) -> None:
        load = job.node.loads[chosen]
        load.record_response((self.now - sent_at) * 1000, failed=False, now=self.now)
        load.in_flight -= 1
        job.node.spill.record_response(0)
        if self.now <= job.call.policy.deadline_at:
            self.times_ms.append((self.now - job.began_at) * 1000)

    def take_shed(self, job: _Job, chosen: int) -> None:
        load = job.node.loads[chosen]
        load.record_shed(self.now)
        load.in_flight -= 1
        retried = job._replace(tried=(*job.tried, chosen))
        if self.scenario.policy == "round-robin":
            if job.call.attempts < _BLIND_ATTEMPTS:
                self.attempt(retried)
        elif isinstance(job.call.decide(AttemptOutcome.SHED, self.now), Retry):
            self.attempt(retried)


def run_scenario(scenario: Scenario) -> LoadResult:
    """Simulate a scenario."""
    return _Model(scenario).run()


def count_amplification(*, depth: int, calls: int, blind: bool) -> list[float]:
    """Count the requests that each layer gets over the calls, when the last one always fails.

    :param depth: layers of services, each of which calls the next once.
    :param blind: retry every failure up to three attempts at each layer.
    """
    arrived = [0] * depth
    budgets = [RetryBudget() for _ in range(depth)]

    def run_layer(layer: int) -> None:
        policy = CallPolicy(True, replayable=True, forwarded=layer > 0, deadline_at=1.0)
        call = Call(policy, budgets[layer])
        while True:
            call.begin_attempt()
            arrived[layer] += 1
            if layer + 1 < depth:
                run_layer(layer + 1)
            verdict = call.decide(AttemptOutcome.LOST, 0.0)
            if blind and call.attempts < _BLIND_ATTEMPTS:
                continue
            if blind or not isinstance(verdict, Retry):
                return

    for _ in range(calls):
        run_layer(0)
    return [count / calls for count in arrived]
