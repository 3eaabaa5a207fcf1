"""Measure how the costs of membership and links at one node grow with the size of the mesh."""

from __future__ import annotations

import asyncio
import gc
import random
import time
import tracemalloc
from typing import Final

from balsamhead import commands, events
from balsamhead.link import Links
from balsamhead.membership import (
    Membership,
    Place,
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
from bench._frame import Measure
from bench._size_frame import (
    DAY_S,
    NODES,
    PLACES,
    RECORD_VERSIONS_PER_DAY,
    SEED,
    build_member,
    make_measure,
)
from bench._size_mesh import measure_meshes
from bench._size_process import measure_processes
from bench._size_tables import measure_tables
from standin.membership_simulation import TICK_S

__all__ = ("run",)

TABLE_SIZES: Final = (360, 725, 1450, 2900)

#: targets for the whole control plane
CPU_TARGET_MS_S: Final = 13.0
MEMORY_TARGET_BYTES: Final = 32e6


def run() -> list[Measure]:
    """Run the benchmarks of this area and return their measures."""
    return [
        *measure_memory(),
        *measure_cpu(),
        measure_link_message(),
        *measure_meshes(),
        *measure_tables(),
        *measure_processes(),
    ]


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
            members = tuple(build_member(n) for n in range(start, min(start + 100, size)))
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
        member = build_member(number)._replace(sequence=sequence)
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
        make_measure("member_bytes", "B", line.slope, runs=len(points)),
        make_measure(
            "member_table_bytes_2900", "B", line.predict(NODES), target=MEMORY_TARGET_BYTES
        ),
        make_measure("member_bytes_fit_error", "share", line.max_relative_error, runs=len(points)),
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
        make_measure("cpu_idle_2900", "ms/s", largest_idle_cpu, target=CPU_TARGET_MS_S),
        make_measure("cpu_idle_per_1000_members", "ms/s", line.slope * 1000, runs=len(idle_points)),
        make_measure("cpu_per_change_2900", "us", change_costs_us[-1], runs=200),
        make_measure("cpu_day_2900", "ms/s", daily_cpu, target=CPU_TARGET_MS_S),
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

    return make_measure("link_message_us", "us", asyncio.run(exchange()), runs=count)
