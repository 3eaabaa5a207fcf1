"""Measure how soon a fleet stops a bad version, and the bytes that evidence takes."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.document import PRESETS, Document, Objective, Region, Route, Service
from balsamhead.fold import Rollout, RolloutPhase, empty_state
from balsamhead.membership import Member, MemberStatus, Place, Upstream, UpstreamState
from balsamhead.rollout import Finding, RolloutTracker
from bench._frame import Measure, percentile
from standin.rollouts import Fleet, NodeStub

if TYPE_CHECKING:
    from balsamhead.wire import CallCount

__all__ = ("FleetFigures", "make_fleet_measures", "measure_fleet")

START: Final = 1_000_000.0
#: nodes of the fleet, over four data centres
NODES: Final = 24
#: runs of a bad version with the log up, and as many with the log down
RUNS: Final = 20
#: longest run, in s
LIMIT_S: Final = 90.0
PLACES: Final = (
    Place("east-tbilisi", "east"),
    Place("east-telavi", "east"),
    Place("west-kutaisi", "west"),
    Place("west-batumi", "west"),
)


class FleetFigures(NamedTuple):
    """Hold the figures of all runs."""

    #: from the call since which the evidence suffices until the last node obeyed, in s
    stopped_s_p99: float
    log_down_stopped_s_p99: float
    #: mean over nodes and time while a version rolls out
    bytes_per_node_s: float
    #: the same of the node that sent most
    bytes_busiest_s: float
    unstopped: int


class _Run:
    """Hold one fleet and an observer that sees all calls without delay."""

    def __init__(self, seed: int, *, failing: float, calls_per_tick: float, share: float) -> None:
        rng = random.Random(seed)
        document = _make_document()
        rollout = _make_rollout(share)
        state = empty_state()._replace(
            offset=1, document_offset=1, document=document, rollouts=(rollout,)
        )

        def draw(version: str, calls: int, now: float) -> tuple[int, int, int]:
            chance = failing if version == "v2" else 0.002
            return (calls if rng.random() < chance else 0), 0, 0

        self.fleet = Fleet(
            _make_members(),
            state,
            seed=seed,
            start=START,
            calls_per_tick=calls_per_tick,
            draw_failures=draw,
        )
        self.fleet.on_counts = self._observe
        self._track = RolloutTracker(rollout, document.services[0], document, START)
        self.shown_at = 0.0

    def _observe(self, node: NodeStub, counts: tuple[CallCount, ...]) -> None:
        now = self.fleet.now
        place = node.tables.identity.place.data_centre
        self._track.add(
            self.fleet.rollout, counts, data_centre=place, source=place, callers=6, now=now
        )
        is_shown = isinstance(self._track.evidence.evaluate(vms=NODES // 2), Finding)
        if not is_shown:
            # a failure of the old version refuted it before the fleet could see it
            self.shown_at = 0.0
        elif not self.shown_at:
            self.shown_at = now

    def measure_stop(self) -> float:
        """Return the time from the evidence until the last node obeyed, or -1."""
        while self.fleet.now < START + LIMIT_S:
            self.fleet.step()
            times = [node.withdrawn_at for node in self.fleet.nodes.values()]
            if all(times) and self.shown_at:
                return max(0.0, max(times) - self.shown_at)
        return -1.0

    def measure_bytes(self, seconds: float) -> list[float]:
        """Return the bytes per second that each node sent."""
        self.fleet.run(seconds)
        return [size / seconds for size in self.fleet.sent_bytes.values()]


def measure_fleet(seed: int) -> FleetFigures:
    """Run the fleet with bad versions, and once with a good one."""
    rng = random.Random(seed)
    stops: dict[bool, list[float]] = {True: [], False: []}
    for is_log_up in (True, False):
        for _ in range(RUNS):
            failing = rng.choice((0.1, 0.3, 1.0))
            run = _Run(rng.randrange(1 << 30), failing=failing, calls_per_tick=1.0, share=0.04)
            run.fleet.is_log_up = is_log_up
            stops[is_log_up].append(run.measure_stop())
    good = _Run(seed, failing=0.002, calls_per_tick=2.0, share=0.04).measure_bytes(60.0)
    stopped = {key: [at for at in times if at >= 0.0] for key, times in stops.items()}
    return FleetFigures(
        stopped_s_p99=percentile(stopped[True], 0.99),
        log_down_stopped_s_p99=percentile(stopped[False], 0.99),
        bytes_per_node_s=sum(good) / len(good),
        bytes_busiest_s=max(good),
        unstopped=sum(at < 0.0 for times in stops.values() for at in times),
    )


def make_fleet_measures(figures: FleetFigures, *, seed: int) -> list[Measure]:
    """Return the measures of the fleet."""
    rows = (
        ("shown_to_stopped_s_p99", "s", figures.stopped_s_p99, 2.0, RUNS),
        ("log_down_stopped_s_p99", "s", figures.log_down_stopped_s_p99, 2.0, RUNS),
        ("control_bytes_per_node_s", "B/s", figures.bytes_per_node_s, 200.0, 1),
        ("control_bytes_busiest_node_s", "B/s", figures.bytes_busiest_s, None, 1),
        ("unstopped_runs", "", float(figures.unstopped), 0.0, 2 * RUNS),
    )
    return [
        Measure("rollout", f"rollout.{name}", unit, value, None, goal, "lower", seed, runs)
        for name, unit, value, goal, runs in rows
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


def _make_rollout(share: float) -> Rollout:
    return Rollout(
        service="svc",
        offset=1,
        document_offset=1,
        old="v1",
        new="v2",
        share=share,
        phase=RolloutPhase.SHIFTING,
        paused=False,
        due_at=START + 600.0,
        started_at=START,
        reason="",
        stepped_at=START,
    )
