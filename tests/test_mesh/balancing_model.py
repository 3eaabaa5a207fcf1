"""Deterministic model of many callers that choose among fake upstreams by old reports."""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Callable
from functools import partial
from types import SimpleNamespace
from typing import Any, NamedTuple

from balsamhead.mesh._peers import Peer, UpstreamView
from balsamhead.mesh._placement import Placement
from balsamhead.mesh._selection import Candidate, Selection
from balsamhead.mesh._upstream_index import UpstreamIndex
from balsamhead.mesh.model import Load, NodeRecord
from tests.test_mesh.builders import make_settings

SLOTS = 5
PRIORITY = 2
#: mean time of a request at an upstream of speed 1, in s
SERVICE_S = 0.1
#: time of a message between nodes, in s
DELAY_S = 0.0005
#: nodes that may refuse a request as full before it queues at one, as in the request router
MAX_FULL_NODES = 4
WINDOW_S = 0.1

#: way in which a caller chooses among the candidates
Choose = Callable[[list[Candidate], random.Random], Selection]


class Figures(NamedTuple):
    """Result of a run of the model."""

    requests: int
    #: greatest number of slots in use at an upstream over the mean of all, mean of all windows
    imbalance: float
    #: mean time from the choice to the slot, in ms, messages included
    mean_wait_ms: float
    #: mean time from the choice to the response, in ms
    mean_time_ms: float
    #: arrivals at a full upstream while another one had a free slot, for each request
    misplaced: float
    #: share of the requests that were served in another data centre
    remote: float


class FakeUpstream:
    """Upstream that runs requests in its slots and queues the others."""

    def __init__(self, number: int, speed: float, place: str) -> None:
        self.record = NodeRecord(f"upstream-{number}", 1, "10.0.0.1:1", place, "east", "desk")
        self.service_s = SERVICE_S / speed
        self.running = 0
        self.queue: deque[Callable[[float], None]] = deque()
        #: when the newest report to all callers arrives, and its load
        self.report = (-math.inf, self.get_load())
        #: until when a slot is kept for a caller, in s
        self.grants: dict[Caller, float] = {}
        self.use_s = 0.0
        self.changed_at = 0.0

    def get_load(self) -> Load:
        queue = ((PRIORITY, len(self.queue)),) if self.queue else ()
        return Load(self.running, round(self.service_s * 1000), queue)

    def has_room(self, caller: Caller, now: float) -> bool:
        """Return whether a slot is free that is not kept for another caller."""
        kept = sum(until > now for other, until in self.grants.items() if other is not caller)
        return self.running + kept < SLOTS

    def set_running(self, running: int, now: float) -> None:
        self.use_s += self.running * (now - self.changed_at)
        self.running, self.changed_at = running, now


class Caller:
    """A caller's node: what it knows of the upstreams, and the index of the product."""

    def __init__(self, upstreams: list[FakeUpstream], rng: random.Random, even: bool) -> None:
        self.peers: dict[str, Peer] = {}
        #: until when a slot is kept for this caller, by node, in s
        self.grants: dict[str, float] = {}
        for upstream in upstreams:
            peer = Peer(upstream.record, nearby=True)
            peer.upstream = UpstreamView("i", "v1", SLOTS, accepts_requests=True)
            peer.link = SimpleNamespace(  # type: ignore[assignment]
                is_open=lambda: True, last_received_at=math.inf
            )
            peer.record_load(upstream.get_load(), 0.0)
            self.peers[upstream.record.name] = peer
        link_manager: Any = SimpleNamespace(
            table=SimpleNamespace(peers=self.peers),
            epoch=0,
            get_suspect_timeout=lambda peer: math.inf,
        )
        local: Any = SimpleNamespace(accepts_requests=lambda: False)
        cfg = make_settings(1)
        record = NodeRecord(cfg.node, 1, cfg.peer_address, cfg.data_centre, cfg.region, cfg.service)
        self.index = UpstreamIndex(
            cfg, link_manager=link_manager, local=local, placement=Placement(record), rng=rng
        )
        self.index.even = even

    def receive_report(self, upstream: FakeUpstream, now: float) -> None:
        arrived_at, load = upstream.report
        peer = self.peers[upstream.record.name]
        if peer.load_reported_at < arrived_at <= now:
            peer.record_load(load, arrived_at)


class Model:
    """Callers and upstreams on one simulated clock."""

    def __init__(
        self,
        choose: Choose,
        *,
        callers: int,
        report_s: float,
        load: float,
        speeds: tuple[float, ...],
        remote: int = 0,
        even: bool = False,
        grant_s: float = 0.0,
        seed: int = 1,
    ) -> None:
        self.rng = random.Random(seed)
        self.choose = choose
        places = ["east-a"] * len(speeds) + ["east-b"] * remote
        all_speeds = speeds + (1.0,) * remote
        self.upstreams = [
            FakeUpstream(number, speed, place)
            for number, (speed, place) in enumerate(zip(all_speeds, places, strict=True))
        ]
        self.by_name = {upstream.record.name: upstream for upstream in self.upstreams}
        self.callers = [Caller(self.upstreams, self.rng, even) for _ in range(callers)]
        self.rate = load * SLOTS * sum(speeds) / SERVICE_S
        self.report_s = report_s
        #: how long a slot that a response leaves free is kept for its caller, in s
        self.grant_s = grant_s
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.order = 0
        self.waits: list[float] = []
        self.times: list[float] = []
        self.misplaced = self.remote = self.started = 0
        self.imbalances: list[float] = []
        self.measured = False

    def at(self, when: float, action: Callable[[float], None]) -> None:
        self.order += 1
        heapq.heappush(self.events, (when, self.order, action))

    def run(self, *, warm_up_s: float = 1.0, duration_s: float = 4.0) -> Figures:
        for upstream in self.upstreams:
            self.at(self.rng.random() * self.report_s, partial(self.send_report, upstream))
        self.at(0.0, self.arrive)
        self.at(WINDOW_S, self.end_window)
        while self.events[0][0] < warm_up_s + duration_s:
            now, _, action = heapq.heappop(self.events)
            self.measured = now >= warm_up_s
            action(now)
        return Figures(
            self.started,
            sum(self.imbalances) / len(self.imbalances),
            1000 * sum(self.waits) / len(self.waits),
            1000 * sum(self.times) / len(self.times),
            self.misplaced / self.started,
            self.remote / self.started,
        )

    def send_report(self, upstream: FakeUpstream, now: float) -> None:
        upstream.report = (now + DELAY_S, upstream.get_load())
        self.at(now + self.report_s, partial(self.send_report, upstream))

    def end_window(self, now: float) -> None:
        for upstream in self.upstreams:
            upstream.set_running(upstream.running, now)
        uses = [row.use_s for row in self.upstreams if row.record.data_centre == "east-a"]
        if self.measured:
            self.imbalances.append(max(uses) * len(uses) / sum(uses))
        for upstream in self.upstreams:
            upstream.use_s = 0.0
        self.at(now + WINDOW_S, self.end_window)

    def arrive(self, now: float) -> None:
        self.at(now + self.rng.expovariate(self.rate), self.arrive)
        self.started += self.measured
        self.forward(self.rng.choice(self.callers), now, now, full_nodes=0)

    def forward(self, caller: Caller, arrived_at: float, now: float, *, full_nodes: int) -> None:
        for upstream in self.upstreams:
            caller.receive_report(upstream, now)
        candidates = caller.index.list_candidates(
            "desk",
            ("v1",),
            excluded=(),
            priority=PRIORITY,
            objective_ms=670.0,
            time_ratio=1.0,
            prefer_nearby=False,
            now=now,
        )
        granted = [row for row in candidates if caller.grants.get(row.node, 0.0) > now + DELAY_S]
        candidates = granted or candidates
        Attempt(self, caller, self.choose(candidates, self.rng), arrived_at, full_nodes).send(now)


class Attempt:
    """A request on its way to the upstream that its caller has chosen."""

    def __init__(
        self, model: Model, caller: Caller, selection: Selection, arrived_at: float, full_nodes: int
    ) -> None:
        self.model = model
        self.caller = caller
        self.upstream = model.by_name[selection.candidate.node]
        self.peer = caller.peers[selection.candidate.node]
        self.may_wait = selection.wait_ms > 0 or full_nodes >= MAX_FULL_NODES
        self.arrived_at = arrived_at
        self.full_nodes = full_nodes

    def send(self, now: float) -> None:
        self.caller.grants.pop(self.upstream.record.name, None)
        self.peer.in_flight[PRIORITY] = self.peer.in_flight.get(PRIORITY, 0) + 1
        self.model.at(now + DELAY_S, self.reach)

    def reach(self, now: float) -> None:
        if self.upstream.has_room(self.caller, now):
            self.upstream.grants.pop(self.caller, None)
            self.start(now)
            return
        if any(row.running < SLOTS for row in self.model.upstreams):
            self.model.misplaced += self.model.measured
        if self.may_wait:
            self.upstream.queue.append(self.start)
        else:
            load = self.upstream.get_load()
            self.model.at(now + DELAY_S, lambda at: self.be_refused(load, at))

    def be_refused(self, load: Load, now: float) -> None:
        self.end(load, now)
        self.model.forward(self.caller, self.arrived_at, now, full_nodes=self.full_nodes + 1)

    def start(self, now: float) -> None:
        self.upstream.set_running(self.upstream.running + 1, now)
        if self.model.measured:
            self.model.waits.append(now - self.arrived_at)
            self.model.remote += self.upstream.record.data_centre != "east-a"
        time_s = self.upstream.service_s * self.model.rng.gammavariate(4.0, 0.25)
        self.model.at(now + time_s, self.finish)

    def finish(self, now: float) -> None:
        self.upstream.set_running(self.upstream.running - 1, now)
        if self.upstream.queue:
            self.upstream.queue.popleft()(now)
        elif self.model.grant_s and self.upstream.has_room(self.caller, now):
            until = now + self.model.grant_s
            self.upstream.grants[self.caller] = until
            self.caller.grants[self.upstream.record.name] = until
        load = self.upstream.get_load()
        self.model.at(now + DELAY_S, lambda at: self.respond(load, at))

    def respond(self, load: Load, now: float) -> None:
        self.end(load, now)
        if self.model.measured:
            self.model.times.append(now - self.arrived_at)

    def end(self, load: Load, now: float) -> None:
        self.caller.receive_report(self.upstream, now)
        self.peer.record_load(load, now, ended=PRIORITY)
        self.peer.in_flight[PRIORITY] -= 1
