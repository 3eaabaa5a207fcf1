"""Measure the traffic and the times of membership in simulated meshes of several sizes."""

from __future__ import annotations

import math
from typing import Final

from balsamhead import events
from balsamhead.membership import UpstreamState, can_take_calls
from balsamhead.wire import MemberUpdate
from bench._fit import fit_line
from bench._frame import Measure, percentile
from bench._size_frame import (
    BYTES_TARGET_S,
    DAY_S,
    NODES,
    PLACES,
    RECORD_VERSIONS_PER_DAY,
    SEED,
    build_member,
    make_measure,
)
from standin.membership_simulation import MembershipSimulation

__all__ = ("measure_meshes",)

MESH_SIZES: Final = (24, 48, 96, 192)

#: duration of the measurement of an idle mesh, in s
IDLE_WINDOW_S: Final = 15.0

#: number of changed records while bytes are counted, and the time between two changes in s
CHANGE_COUNT: Final = 10
CHANGE_INTERVAL_S: Final = 1.5

DEPARTURE_TARGET_S: Final = 3.0


def measure_meshes() -> list[Measure]:
    """Measure bytes, the arrival of a new node, departures and the loss of a data centre."""
    return [
        *_measure_bytes(),
        *_measure_resync(),
        *_measure_departures(),
        *_measure_data_centre_loss(),
    ]


def _build_mesh(size: int, *, seed: int = SEED) -> MembershipSimulation:
    """Start nodes in six data centres under a virtual clock, and wait until their tables agree."""
    wire = MembershipSimulation(seed)
    names = [f"vm-{number:04d}" for number in range(size)]
    for number, name in enumerate(names):
        wire.start(name, PLACES[number % len(PLACES)], seeds=names[:6])
        wire.run(0.02)
    for name in names:
        wire.announce(name)
    wire.run_until(wire.has_converged, 120.0)
    wire.run(15.0)
    return wire


def _measure_bytes() -> list[Measure]:
    """Measure the bytes that each node sends, idle and per changed record."""
    idle, change, inter_region = [], [], []
    for size in MESH_SIZES:
        wire = _build_mesh(size)
        idle.append(
            (math.log2(size), _measure_sent_bytes(wire, IDLE_WINDOW_S) / IDLE_WINDOW_S / size)
        )
        before = sum(n for (_, is_border), n in wire.bytes_by_kind.items() if is_border)
        inter_region.append((float(size), before / IDLE_WINDOW_S))
        idle_bytes_sent = idle[-1][1] * size * CHANGE_COUNT * CHANGE_INTERVAL_S
        wire.bytes_by_kind.clear()
        for number in range(CHANGE_COUNT):
            wire.announce(f"vm-{number:04d}", UpstreamState.DRAINING)
            wire.run(CHANGE_INTERVAL_S)
        broadcast_bytes = _stop_counting(wire) - idle_bytes_sent
        change.append((math.log2(size), broadcast_bytes / CHANGE_COUNT / size))
    # the number of hops grows with the logarithm of the size, and no other term grows faster
    idle_line, change_line = fit_line(idle), fit_line(change)
    per_change = change_line.predict(math.log2(NODES))
    idle_bytes = idle_line.predict(math.log2(NODES))
    bytes_per_s = idle_bytes + per_change * RECORD_VERSIONS_PER_DAY / DAY_S
    return [
        make_measure("bytes_idle_192", "B/s", idle[-1][1], target=BYTES_TARGET_S),
        make_measure("bytes_idle_2900_fit", "B/s", idle_bytes, target=BYTES_TARGET_S),
        make_measure("bytes_idle_fit_error", "share", idle_line.max_relative_error, runs=len(idle)),
        make_measure("bytes_per_change_192", "B", change[-1][1], runs=CHANGE_COUNT),
        make_measure("bytes_per_change_2900_fit", "B", per_change, runs=len(change)),
        make_measure(
            "bytes_per_change_fit_error", "share", change_line.max_relative_error, runs=len(change)
        ),
        make_measure("bytes_day_2900_fit", "B/s", bytes_per_s, target=BYTES_TARGET_S),
        make_measure("border_bytes_idle_192", "B/s", inter_region[-1][1]),
    ]


def _measure_sent_bytes(wire: MembershipSimulation, duration_s: float) -> float:
    wire.is_counting = True
    wire.sent_bytes.clear()
    wire.bytes_by_kind.clear()
    wire.run(duration_s)
    sent_bytes_total = float(sum(wire.sent_bytes.values()))
    wire.sent_bytes.clear()
    return sent_bytes_total


def _stop_counting(wire: MembershipSimulation) -> float:
    wire.is_counting = False
    return float(sum(wire.sent_bytes.values()))


def _measure_resync() -> list[Measure]:
    """Measure the time and traffic with which a new node receives a table of the design size."""
    wire = MembershipSimulation(SEED)
    wire.start("old", PLACES[0])
    wire.run(1.0)
    # the failure detector does not monitor members of other regions, so they need not run
    members = [build_member(n)._replace(place=PLACES[2]) for n in range(NODES)]
    wire.post("old", events.LinkOpened("vm-00000", "addr-vm-00000", PLACES[2], True))
    for start in range(0, NODES, 100):
        update = MemberUpdate(tuple(members[start : start + 100]))
        wire.post("old", events.MessageReceived("vm-00000", update))
    wire.post("old", events.LinkClosed("vm-00000", "surplus"))
    wire.run(30.0)
    wire.is_counting = True
    new = wire.start("new", PLACES[0], seeds=["old"])
    elapsed_s = wire.run_until(lambda: len(new.tables.members) >= NODES + 2, 120.0)
    sent_bytes_total = wire.sent_bytes["old"]
    return [
        make_measure("resync_2900_s", "s", elapsed_s),
        make_measure("resync_2900_bytes", "B", sent_bytes_total),
        make_measure("resync_2900_bytes_per_s", "B/s", sent_bytes_total / elapsed_s),
    ]


def _measure_departures() -> list[Measure]:
    """Measure the time until no node calls an upstream that is drained, killed or silent."""
    wire = _build_mesh(64)
    names = iter(sorted(wire.nodes)[6:])
    times: dict[str, list[float]] = {"drained": [], "killed": [], "silent": []}
    for _ in range(8):
        for kind, durations_s in times.items():
            name = next(names)
            match kind:
                case "drained":
                    wire.announce(name, UpstreamState.DRAINING)
                case "killed":
                    wire.kill([name])
                case "silent":
                    wire.stop_vm(name)
            durations_s.append(wire.run_until(lambda name=name: _is_excluded(wire, name), 30.0))  # type: ignore[misc]
            wire.run(2.0)
    return [
        make_measure(
            f"departed_{kind}_s_p99",
            "s",
            percentile(durations_s, 0.99),
            target=DEPARTURE_TARGET_S,
            runs=len(durations_s),
        )
        for kind, durations_s in times.items()
    ]


def _is_excluded(wire: MembershipSimulation, name: str) -> bool:
    views = (node.tables.members.get(name) for node in wire.nodes.values())
    return not any(member is not None and can_take_calls(member) for member in views)


def _measure_data_centre_loss() -> list[Measure]:
    """Measure the simultaneous loss and return of all nodes of a data centre."""
    wire = _build_mesh(96)
    lost_names = [n for n, node in wire.nodes.items() if node.identity.place == PLACES[0]]
    for name in lost_names:
        wire.stop_vm(name)
    excluded_after_s = wire.run_until(
        lambda: all(_is_excluded(wire, name) for name in lost_names), 60.0
    )
    wire.run(10.0)

    wire.is_counting = True
    for name in lost_names:
        wire.start(name, PLACES[0], seeds=sorted(wire.nodes)[:6])
    peak_bytes, elapsed = 0.0, 0.0
    while not wire.has_converged():
        wire.sent_bytes.clear()
        wire.run(1.0)
        elapsed += 1.0
        peak_bytes = max(peak_bytes, max(wire.sent_bytes.values()))
        assert elapsed < 120.0, "the tables did not agree within 120 s of the data centre's return"
    return [
        make_measure("centre_lost_left_alone_s", "s", excluded_after_s),
        make_measure("centre_back_agreed_s", "s", elapsed),
        make_measure("centre_back_peak_bytes_s", "B/s", peak_bytes),
    ]
