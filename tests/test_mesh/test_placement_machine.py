from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, NamedTuple

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from standin.virtual_network import VirtualLoop
from tests.test_mesh.builders import (
    PLACES,
    InMemoryCluster,
    RequestSender,
    Response,
)
from tests.test_mesh.placement_builders import (
    NODES,
    evacuate,
    lift,
    make_bound_config,
    set_config,
)

#: time from its acknowledgement until a change of regions is in force, in s
REGIONS_BOUND_S = 3.0
#: time from its acknowledgement until an evacuation is in force, in s
EVACUATION_BOUND_S = 5.0
REGIONS = st.sampled_from([("east",), ("west",), ("east", "west"), ("north",)])
NUMBERS = st.integers(1, len(NODES))


class InForce(NamedTuple):
    """What the operator has in force from a time on."""

    since: float
    regions: tuple[str, ...]
    evacuated: frozenset[str]


class PlacedRequests(RuleBasedStateMachine):
    """Bind routes, evacuate data centres, drain and replace upstreams while requests queue."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualLoop()
        self.send_request = RequestSender()
        self.version = 1
        self.sent: list[tuple[str, asyncio.Task[Response]]] = []
        self.checked = dict.fromkeys(range(1, len(NODES) + 1), 0)
        self.cluster: InMemoryCluster = self.run(self.start())
        self.in_force = [InForce(0.0, ("east",), frozenset())]

    async def start(self) -> InMemoryCluster:
        cluster = InMemoryCluster()
        await cluster.start(*NODES, config=make_bound_config())
        for member in cluster.members.values():
            # requests queue, so that changes meet queued ones
            member.upstream.slots = 1
            member.upstream.service_time_s = 0.3
            await member.upstream.announce()
        return cluster

    def run(self, coro: Coroutine[Any, Any, Any]) -> Any:
        return self.loop.run_until_complete(coro)

    def teardown(self) -> None:
        self.run(asyncio.sleep(2.0))
        self.check_places()
        self.check_responses()
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.run(asyncio.sleep(0))
        self.loop.close()

    def add_in_force(self, **changes: Any) -> None:
        self.in_force.append(self.in_force[-1]._replace(since=self.loop.time(), **changes))

    @rule(regions=REGIONS)
    def bind(self, regions: tuple[str, ...]) -> None:
        self.version += 1
        set_config(self.cluster, make_bound_config(self.version, *regions))
        self.add_in_force(regions=regions)

    @rule(data_centre=st.sampled_from(list(PLACES)))
    def evacuate(self, data_centre: str) -> None:
        evacuate(self.cluster, data_centre)
        self.add_in_force(evacuated=self.in_force[-1].evacuated | {data_centre})

    @rule(data=st.data())
    def lift(self, data: st.DataObject) -> None:
        evacuated = self.in_force[-1].evacuated
        if evacuated:
            data_centre = data.draw(st.sampled_from(sorted(evacuated)))
            lift(self.cluster, data_centre)
            self.add_in_force(evacuated=evacuated - {data_centre})

    @rule(number=NUMBERS)
    def drain(self, number: int) -> None:
        upstream = self.cluster.members[number].upstream
        upstream.state = "draining"
        self.run(upstream.announce())

    @rule(number=NUMBERS, version=st.sampled_from(["v1", "v2"]))
    def replace(self, number: int, version: str) -> None:
        """Start another incarnation of an upstream, of the same or another version."""
        upstream = self.cluster.members[number].upstream
        upstream.born += 1000
        upstream.sequence = 0
        upstream.state, upstream.version = "ready", version
        self.run(upstream.announce())

    @rule(number=NUMBERS, path=st.sampled_from(["/bound/1", "/once/1", "/check/1", "/images/1"]))
    def send(self, number: int, path: str) -> None:
        for _ in range(4):
            task = self.loop.create_task(
                self.send_request(NODES[number - 1], path, deadline_ms=1500)
            )
            self.sent.append((path, task))
            self.run(asyncio.sleep(0.01))

    @rule(path=st.sampled_from(["/bound/1", "/check/1", "/images/1"]))
    def settle(self, path: str) -> None:
        """Wait until all changes are in force, then send requests from all data centres."""
        self.run(asyncio.sleep(EVACUATION_BOUND_S + 0.01))
        for number in range(1, len(NODES) + 1):
            self.send(number, path)

    @rule(wait_s=st.sampled_from([0.05, 0.4, 3.0]))
    def wait(self, wait_s: float) -> None:
        self.run(asyncio.sleep(wait_s))

    def list_in_force(self, at: float, bound_s: float) -> list[InForce]:
        """Return what was in force at a time, or within the bound before it."""
        ends = [row.since for row in self.in_force[1:]] + [at]
        return [
            row
            for row, end in zip(self.in_force, ends, strict=True)
            if row.since <= at and end >= at - bound_s
        ]

    @invariant()
    def check_places(self) -> None:
        for number, member in self.cluster.members.items():
            upstream, cfg = member.upstream, member.cfg
            first, self.checked[number] = self.checked[number], len(upstream.requests)
            for request, at in zip(
                upstream.requests[first:], upstream.arrival_times[first:], strict=True
            ):
                if request.head.path.startswith(("/bound/", "/once/")):
                    rows = self.list_in_force(at, REGIONS_BOUND_S)
                    assert any(cfg.region in row.regions for row in rows), (number, at, rows)
                rows = self.list_in_force(at, EVACUATION_BOUND_S)
                assert any(cfg.data_centre not in row.evacuated for row in rows), (number, at)

    def check_responses(self) -> None:
        """Check that refused requests have not run, and that none ran twice that must not."""
        for number, (path, task) in enumerate(self.sent, start=1):
            runs = sum(
                row.upstream.run_counts[f"r{number}"] for row in self.cluster.members.values()
            )
            assert task.done()
            if task.result().status == 503:
                assert runs == 0, (path, number)
            if path.startswith("/once/"):
                assert runs <= 1, (path, number)


TestPlacedRequests = PlacedRequests.TestCase
TestPlacedRequests.settings = settings(max_examples=12, stateful_step_count=16, deadline=None)
