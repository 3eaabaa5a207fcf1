"""Measure how soon a fleet withdraws a bad version, and the traffic of the call counts."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.document import PRESETS, Document, Objective, Region, Route, Service
from balsamhead.fold import empty_state
from balsamhead.membership import Member, MemberStatus, Place, Upstream, UpstreamState
from balsamhead.rollout import Finding, RolloutTracker
from bench._frame import Measure, percentile
from bench._rollout_start import START, make_rollout
from standin.rollout_simulation import NodeStub, RolloutSimulation

if TYPE_CHECKING:
    from balsamhead.wire import CallCount

__all__ = ("FleetResult", "make_fleet_measures", "measure_fleet")

#: nodes of the fleet, spread over four data centres
NODES: Final = 24
#: runs of a bad version while the log is available, and again while it is unavailable
RUNS: Final = 20
#: time after which a run ends even if the version is not withdrawn on all nodes, in s
MAX_RUN_S: Final = 90.0
PLACES: Final = (
    Place("east-tbilisi", "east"),
    Place("east-telavi", "east"),
    Place("west-kutaisi", "west"),
    Place("west-batumi", "west"),
)


class FleetResult(NamedTuple):
    """Results of all runs."""

    #: time from sufficient evidence until the last node has withdrawn the version, in s
    stopped_s_p99: float
    #: the same time, with the log unavailable
    log_down_stopped_s_p99: float
    #: bytes sent per second during a rollout, as the mean of all nodes
    bytes_per_node_s: float
    #: bytes sent per second by the node that sent most
    max_bytes_per_node_s: float
    #: runs in which some node had not withdrawn the bad version after MAX_RUN_S
    unstopped_runs: int


class _FleetRun:
    """One fleet, and an observer that receives all call counts without delay."""

    def __init__(
        self, seed: int, *, failure_rate: float, calls_per_tick: float, share: float
    ) -> None:
        rng = random.Random(seed)
        document = _make_document()
        rollout = make_rollout(due_at=START + 600.0, share=share)
        state = empty_state()._replace(
            offset=1, document_offset=1, document=document, rollouts=(rollout,)
        )

        def draw(version: str, calls: int, now: float) -> tuple[int, int, int]:
            probability = failure_rate if version == "v2" else 0.002
            return (calls if rng.random() < probability else 0), 0, 0

        self.fleet = RolloutSimulation(
            _make_members(),
            state,
            seed=seed,
            start=START,
            calls_per_tick=calls_per_tick,
            draw_failures=draw,
        )
        self.fleet.on_counts = self._observe
        self._tracker = RolloutTracker(rollout, document.services[0], document, START)
        self.detectable_at = 0.0

    def _observe(self, node: NodeStub, counts: tuple[CallCount, ...]) -> None:
        now = self.fleet.now
        place = node.tables.identity.place.data_centre
        self._tracker.add(
            self.fleet.rollout, counts, data_centre=place, source=place, callers=6, now=now
        )
        is_detectable = isinstance(self._tracker.evidence.evaluate(vms=NODES // 2), Finding)
        if not is_detectable:
            # failures of the old version removed the evidence before the fleet received it
            self.detectable_at = 0.0
        elif not self.detectable_at:
            self.detectable_at = now

    def measure_stop(self) -> float:
        """Return the time from sufficient evidence to the withdrawal on the last node, in s.

        The result is -1 if the version is not withdrawn on all nodes within MAX_RUN_S.
        """
        while self.fleet.now < START + MAX_RUN_S:
            self.fleet.step()
            times = [node.withdrawn_at for node in self.fleet.nodes.values()]
            if all(times) and self.detectable_at:
                return max(0.0, max(times) - self.detectable_at)
        return -1.0

    def measure_bytes(self, seconds: float) -> list[float]:
        """Run the fleet, and return the bytes per second that each node sent."""
        self.fleet.run(seconds)
        return [size / seconds for size in self.fleet.sent_bytes.values()]


def measure_fleet(seed: int) -> FleetResult:
    """Run fleets with bad versions and one fleet with a good version."""
    rng = random.Random(seed)
    stop_times: dict[bool, list[float]] = {True: [], False: []}
    for is_log_up in (True, False):
        for _ in range(RUNS):
            failure_rate = rng.choice((0.1, 0.3, 1.0))
            run = _FleetRun(
                rng.randrange(1 << 30), failure_rate=failure_rate, calls_per_tick=1.0, share=0.04
            )
            run.fleet.is_log_up = is_log_up
            stop_times[is_log_up].append(run.measure_stop())
    good_rates = _FleetRun(seed, failure_rate=0.002, calls_per_tick=2.0, share=0.04).measure_bytes(
        60.0
    )
    stopped = {
        key: [stop_s for stop_s in times if stop_s >= 0.0] for key, times in stop_times.items()
    }
    return FleetResult(
        stopped_s_p99=percentile(stopped[True], 0.99),
        log_down_stopped_s_p99=percentile(stopped[False], 0.99),
        bytes_per_node_s=sum(good_rates) / len(good_rates),
        max_bytes_per_node_s=max(good_rates),
        unstopped_runs=sum(stop_s < 0.0 for times in stop_times.values() for stop_s in times),
    )


def make_fleet_measures(result: FleetResult, *, seed: int) -> list[Measure]:
    """Return the fleet's results as measures."""
    rows = (
        ("shown_to_stopped_s_p99", "s", result.stopped_s_p99, 2.0, RUNS),
        ("log_down_stopped_s_p99", "s", result.log_down_stopped_s_p99, 2.0, RUNS),
        ("control_bytes_per_node_s", "B/s", result.bytes_per_node_s, 200.0, 1),
        ("control_bytes_busiest_node_s", "B/s", result.max_bytes_per_node_s, None, 1),
        ("unstopped_runs", "", float(result.unstopped_runs), 0.0, 2 * RUNS),
    )
    return [
        Measure("rollout", f"rollout.{name}", unit, value, None, target, "lower", seed, runs)
        for name, unit, value, target, runs in rows
    ]


def _make_members() -> dict[str, Member]:
    members = {}
    for index in range(NODES):
        place = PLACES[index % len(PLACES)]
        version = "v2" if index % 8 >= 4 else "v1"
        upstream = Upstream("svc", version, "127.0.0.1", 1, 6, 130, UpstreamState.READY, 1)
        node = f"{place.data_centre}-{index}"
        members[node] = Member(node, 1, 1, MemberStatus.ALIVE, place, f"{node}:1", upstream)
    return members


def _make_document() -> Document:
    service = Service(
        name="svc",
        workers=NODES // 2,
        slots=6,
        connections=130,
        depends_on=(),
        version="v2",
        due_at=START + 600.0,
        objective=Objective(0.995, 100.0, 0.99),
        rollout=PRESETS["on-time"],
    )
    regions = (
        Region("east", ("east-tbilisi", "east-telavi")),
        Region("west", ("west-kutaisi", "west-batumi")),
    )
    route = Route("lookup", "svc", "h", "/lookup", ("GET",), 1000, True, False)
    return Document("bench", regions, (service,), (route,))
