"""Measure how the costs of membership and links grow with the size of the mesh."""

from __future__ import annotations

import asyncio
import gc
import math
import random
import time
import tracemalloc
from typing import Final

from balsamhead import commands, events
from balsamhead.link import Links
from balsamhead.membership import (
    Member,
    Membership,
    MemberStatus,
    Place,
    Upstream,
    UpstreamState,
    can_take_calls,
)
from balsamhead.node import Identity, Tables
from balsamhead.wire import (
    FORMAT,
    Heartbeat,
    MemberUpdate,
    decode_message,
    encode_message,
)
from bench._fit import fit_line
from bench._frame import Measure, percentile
from bench._size_process import measure_processes
from bench._size_tables import measure_tables
from standin.membership_simulation import TICK_S, MembershipSimulation

__all__ = ("run",)

AREA: Final = "size"
SEED: Final = 4

#: number of nodes for which the system is designed
NODES: Final = 2900

#: new record versions on an ordinary day: 286 replaced VMs with 6 versions each; the 4,100
#: changes of the configuration leave member records unchanged
RECORD_VERSIONS_PER_DAY: Final = 286 * 6

DAY_S: Final = 86_400.0

TABLE_SIZES: Final = (360, 725, 1450, 2900)
MESH_SIZES: Final = (24, 48, 96, 192)

#: duration of the measurement of an idle mesh, in s
IDLE_WINDOW_S: Final = 15.0

#: number of changed records while bytes are counted, and the time between two changes in s
CHANGE_COUNT: Final = 10
CHANGE_INTERVAL_S: Final = 1.5

#: targets for the whole control plane
CPU_TARGET_MS_S: Final = 13.0
BYTES_TARGET_S: Final = 2000.0
MEMORY_TARGET_BYTES: Final = 32e6
DEPARTURE_TARGET_S: Final = 3.0

PLACES: Final = tuple(
    Place(f"{region}-{letter}", region) for region in ("r0", "r1", "r2") for letter in "ab"
)


def run() -> list[Measure]:
    """Run the benchmarks of this area and return their measures."""
    measures = [*measure_memory(), *measure_cpu(), measure_link_message()]
    measures.extend(measure_bytes())
    measures.extend(measure_resync())
    measures.extend(measure_departures())
    measures.extend(measure_data_centre_loss())
    measures.extend(measure_tables())
    measures.extend(measure_processes())
    return measures


def _make_measure(
    name: str,
    unit: str,
    value: float,
    *,
    target: float | None = None,
    baseline: float | None = None,
    runs: int = 1,
) -> Measure:
    return Measure(
        AREA, f"{AREA}.{name}", unit, value, baseline, target, "lower", seed=SEED, runs=runs
    )


def _build_member(number: int) -> Member:
    upstream = Upstream(
        f"service-{number % 100}", "v1", f"10.0.{number // 250}.{number % 250}", 8000, 6, 130,
        UpstreamState.READY, 1_700_000_000_000 + number,
    )  # fmt: skip
    return Member(
        f"vm-{number:05d}", 1_700_000_000_000 + number, 3, MemberStatus.ALIVE,
        PLACES[number % len(PLACES)], f"10.0.{number // 250}.{number % 250}:7070", upstream,
    )  # fmt: skip


class SingleNode:
    """Membership of a single node, with simulated peers that send heartbeats and member records."""

    def __init__(self, size: int) -> None:
        self.now = 1_000_000.0
        self.tables = Tables(Identity("vm-own", 1, PLACES[0], "10.1.0.1:7070", "trial"))
        self.membership = Membership.from_config(self.tables, seeds=(), rng=random.Random(SEED))
        self.peers: list[str] = []
        self.sent_bytes_total = 0
        self._open_link("vm-00000", PLACES[0])
        for start in range(0, size, 100):
            members = tuple(_build_member(n) for n in range(start, min(start + 100, size)))
            # decoded from bytes, as in a real node; objects with shared literals take less memory
            data = encode_message(MemberUpdate(members))
            self._handle(events.MessageReceived("vm-00000", decode_message(data, peer="")))
        self.run(20.0)

    def run(self, duration_s: float) -> None:
        """Advance the clock by a number of seconds, with ticks and heartbeats from each peer."""
        for step in range(round(duration_s / TICK_S)):
            self.now += TICK_S
            if step % 5 == 0:
                for number, peer in enumerate(self.peers):
                    data = encode_message(Heartbeat(step + number, step))
                    message = decode_message(data, peer=peer)
                    self._handle(events.MessageReceived(peer, message))
            self._execute(self.membership.tick(self.now))

    def change_record(self, number: int, sequence: int) -> None:
        """Deliver the same new record from three peers."""
        member = _build_member(number)._replace(sequence=sequence)
        data = encode_message(MemberUpdate((member,)))
        for peer in self.peers[1:4]:
            self._handle(events.MessageReceived(peer, decode_message(data, peer=peer)))

    def _open_link(self, peer: str, place: Place) -> None:
        self.peers.append(peer)
        self._handle(events.LinkOpened(peer, f"addr-{peer}", place, len(self.peers) > 4))

    def _handle(self, event: events.Event) -> None:
        self._execute(self.membership.handle(event, self.now))

    def _execute(self, node_commands: list[commands.Command]) -> None:
        by_address = {}
        for command in node_commands:
            match command:
                case commands.Send(message=message):
                    self.sent_bytes_total += len(encode_message(message))
                case commands.Connect(address=address):
                    by_address[address] = True
        for address in by_address:
            members = self.tables.members.values()
            for member in [m for m in members if m.peer_address == address]:
                if len(self.peers) < 8 and member.node not in self.peers:
                    self._open_link(member.node, member.place)


def measure_memory() -> list[Measure]:
    """Measure the memory of the member table at several sizes."""
    points = []
    for size in TABLE_SIZES:
        gc.collect()
        tracemalloc.start()
        node = SingleNode(size)
        gc.collect()
        points.append((float(size), float(tracemalloc.get_traced_memory()[0])))
        tracemalloc.stop()
        assert len(node.tables.members) == size + 1
    line = fit_line(points)
    return [
        _make_measure("member_bytes", "B", line.slope, runs=len(points)),
        _make_measure(
            "member_table_bytes_2900", "B", line.predict(NODES), target=MEMORY_TARGET_BYTES
        ),
        _make_measure("member_bytes_fit_error", "share", line.max_relative_error, runs=len(points)),
    ]


def measure_cpu() -> list[Measure]:
    """Measure the processor time of membership and codec, idle and per changed record."""
    idle_points = []
    change_costs_us = []
    for size in TABLE_SIZES:
        node = SingleNode(size)
        start = time.process_time()
        node.run(60.0)
        idle_points.append((float(size), (time.process_time() - start) * 1000 / 60.0))

        rng = random.Random(SEED)
        start = time.process_time()
        for step in range(200):
            node.change_record(rng.randrange(size), 10 + step)
            node.run(TICK_S)
        cpu_s = time.process_time() - start
        idle_cpu_s = idle_points[-1][1] / 1000 * 200 * TICK_S
        change_costs_us.append((cpu_s - idle_cpu_s) / 200 * 1e6)
    line = fit_line(idle_points)
    largest_idle_cpu = idle_points[-1][1]
    daily_cpu = largest_idle_cpu + change_costs_us[-1] / 1000 * RECORD_VERSIONS_PER_DAY / DAY_S
    return [
        _make_measure("cpu_idle_2900", "ms/s", largest_idle_cpu, target=CPU_TARGET_MS_S),
        _make_measure(
            "cpu_idle_per_1000_members", "ms/s", line.slope * 1000, runs=len(idle_points)
        ),
        _make_measure("cpu_per_change_2900", "us", change_costs_us[-1], runs=200),
        _make_measure("cpu_day_2900", "ms/s", daily_cpu, target=CPU_TARGET_MS_S),
    ]


def measure_link_message() -> Measure:
    """Measure the processor time of one heartbeat at both ends of a link together."""
    count = 4000

    async def exchange() -> float:
        received = asyncio.Event()
        opened = asyncio.Event()

        def emit(event: events.Event) -> None:
            match event:
                case events.LinkOpened():
                    opened.set()
                case events.MessageReceived(message=Heartbeat(sequence=sequence)):
                    if sequence == count - 1:
                        received.set()

        key = b"bench-mesh-key-of-32-bytes-length"
        ends = [
            Links.from_config(
                identity=Identity(name, FORMAT, PLACES[0], "127.0.0.1:0", "trial"),
                key=key,
                listen="127.0.0.1:0",
                emit=emit,
            )
            for name in ("a", "b")
        ]
        for end in ends:
            await end.start()
        ends[0].connect(ends[1].address)
        await opened.wait()
        start = time.process_time()
        for number in range(count):
            ends[0].send("b", Heartbeat(number, number))
            if number % 4 == 0:
                await asyncio.sleep(0)
        await received.wait()
        cpu_s = time.process_time() - start
        for end in ends:
            await end.stop()
        return cpu_s / count * 1e6

    return _make_measure("link_message_us", "us", asyncio.run(exchange()), runs=count)


def build_mesh(size: int, *, seed: int = SEED) -> MembershipSimulation:
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


def measure_bytes() -> list[Measure]:
    """Measure the bytes that each node sends, idle and per changed record."""
    idle, change, inter_region = [], [], []
    for size in MESH_SIZES:
        wire = build_mesh(size)
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
        _make_measure("bytes_idle_192", "B/s", idle[-1][1], target=BYTES_TARGET_S),
        _make_measure("bytes_idle_2900_fit", "B/s", idle_bytes, target=BYTES_TARGET_S),
        _make_measure(
            "bytes_idle_fit_error", "share", idle_line.max_relative_error, runs=len(idle)
        ),
        _make_measure("bytes_per_change_192", "B", change[-1][1], runs=CHANGE_COUNT),
        _make_measure("bytes_per_change_2900_fit", "B", per_change, runs=len(change)),
        _make_measure(
            "bytes_per_change_fit_error", "share", change_line.max_relative_error, runs=len(change)
        ),
        _make_measure("bytes_day_2900_fit", "B/s", bytes_per_s, target=BYTES_TARGET_S),
        _make_measure("border_bytes_idle_192", "B/s", inter_region[-1][1]),
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


def measure_resync() -> list[Measure]:
    """Measure the time and traffic with which a new node receives a table of the design size."""
    wire = MembershipSimulation(SEED)
    wire.start("old", PLACES[0])
    wire.run(1.0)
    # the failure detector does not monitor members of other regions, so they need not run
    members = [_build_member(n)._replace(place=PLACES[2]) for n in range(NODES)]
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
        _make_measure("resync_2900_s", "s", elapsed_s),
        _make_measure("resync_2900_bytes", "B", sent_bytes_total),
        _make_measure("resync_2900_bytes_per_s", "B/s", sent_bytes_total / elapsed_s),
    ]


def measure_departures() -> list[Measure]:
    """Measure the time until no node calls an upstream that is drained, killed or silent."""
    wire = build_mesh(64)
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
        _make_measure(
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


def measure_data_centre_loss() -> list[Measure]:
    """Measure the simultaneous loss and return of all nodes of a data centre."""
    wire = build_mesh(96)
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
        _make_measure("centre_lost_left_alone_s", "s", excluded_after_s),
        _make_measure("centre_back_agreed_s", "s", elapsed),
        _make_measure("centre_back_peak_bytes_s", "B/s", peak_bytes),
    ]
