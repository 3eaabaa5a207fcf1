"""Measure the processor time and memory of idle node processes."""

from __future__ import annotations

import statistics
import time
from pathlib import Path
from typing import TYPE_CHECKING, Final

from balsamhead.operator import OperatorClient
from balsamhead.util.secret import Secret
from bench._frame import Measure
from standin.local_cluster import (
    CALLER_PORT,
    OPERATOR_PORT,
    OPERATOR_TOKEN,
    LocalCluster,
    wait_for_port,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ("measure_processes",)

AREA: Final = "size"

EXAMPLE_PATH: Final = Path(__file__).resolve().parent.parent / "examples" / "plotlist.toml"

PLACES: Final = (("east", "e1"), ("east", "e2"), ("west", "w1"), ("west", "w2"))

#: number of nodes in each measured fleet
FLEET_SIZES: Final = (4, 8, 16, 32)

#: settling time of a fleet before the measurement, and duration of the measurement, in s
SETTLING_TIME_S: Final = 8.0
MEASUREMENT_TIME_S: Final = 10.0

#: limits required by the users: time on one core in ms/s, memory in MB
CPU_TARGET_MS_S: Final = 13.0
MEMORY_TARGET_MB: Final = 32.0


def measure_processes() -> list[Measure]:
    """Measure processor time and memory of idle nodes in fleets of several sizes."""
    cpu_points: list[tuple[int, float]] = []
    resident_mb = 0.0
    baseline_mb = 0.0
    for size in FLEET_SIZES:
        with LocalCluster.open() as fleet:
            pids = _start_fleet(fleet, size)
            cpu_points.append((size, _measure_cpu(pids)))
            resident_mb = statistics.median(_read_resident_mb(pid) for pid in pids)
            if size == FLEET_SIZES[-1]:
                baseline_mb = _measure_proxy_only(fleet)
    measures = [
        Measure(
            AREA, f"size.node_cpu_idle_{size}", "ms/s", cpu, None, CPU_TARGET_MS_S, "lower", 0, size
        )
        for size, cpu in cpu_points
    ]
    added_mb = resident_mb - baseline_mb
    runs = FLEET_SIZES[-1]
    return [
        *measures,
        Measure(AREA, "size.process_mb", "MB", resident_mb, baseline_mb, None, "lower", 0, runs),
        Measure(AREA, "size.control_mb", "MB", added_mb, None, MEMORY_TARGET_MB, "lower", 0, runs),
    ]


def _start_fleet(fleet: LocalCluster, size: int) -> list[int]:
    vms = fleet.add_vms(PLACES, count=size, environment="production")
    names = [vm.name for vm in vms]
    fleet.start_log()
    for name in names:
        fleet.start_node(name)
    fleet.wait_ready(names)
    client = OperatorClient(f"{vms[0].host}:{OPERATOR_PORT}", token=Secret(OPERATOR_TOKEN))
    client.publish(EXAMPLE_PATH.read_text(), file=EXAMPLE_PATH.name)
    client.close()
    time.sleep(SETTLING_TIME_S)
    return [fleet.processes[name].pid for name in names]


def _measure_cpu(pids: Sequence[int]) -> float:
    """Return the median processor time of the processes, in ms/s."""
    before = [_read_cpu_ms(pid) for pid in pids]
    started_at = time.monotonic()
    time.sleep(MEASUREMENT_TIME_S)
    elapsed_s = time.monotonic() - started_at
    after = [_read_cpu_ms(pid) for pid in pids]
    return statistics.median((b - a) / elapsed_s for a, b in zip(before, after, strict=True))


def _measure_proxy_only(fleet: LocalCluster) -> float:
    address = f"127.{fleet.network}.249.1:{CALLER_PORT}"
    process = "proxy-only"
    fleet.start_program(process, "-m", "bench._proxy_only", address)
    wait_for_port(address)
    time.sleep(1.0)
    return _read_resident_mb(fleet.processes[process].pid)


def _read_cpu_ms(pid: int) -> float:
    # the first field of schedstat is the time spent on a processor, in ns
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e6


def _read_resident_mb(pid: int) -> float:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    row = next(line for line in lines if line.startswith("VmRSS"))
    return int(row.split()[1]) / 1024
