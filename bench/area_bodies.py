"""Measure large request bodies on real nodes: memory, losses, and what other calls notice."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any, Final, NamedTuple

from bench._frame import Measure, percentile
from bench._mesh_processes import MeshProcesses, read_memory
from bench._two_hops import measure_request

__all__ = ("run",)

#: bodies that are sent at once through one node; every second one goes to a slow upstream
BODY_COUNT: Final = 16
BODY_BYTES: Final = 64 << 20
#: rate at which the slow upstream reads each body, in bytes/s
SLOW_BYTES_PER_S: Final = 8 << 20
#: rate of the other calls, in calls/s, and the time for which they are measured alone, in s
OTHER_CALLS_PER_S: Final = 50.0
QUIET_S: Final = 6.0
#: sizes of small bodies, and number of requests with each
SMALL_BYTES: Final = (1 << 10, 24 << 10)
SMALL_COUNT: Final = 3000
#: targets
MEMORY_TARGET_MB: Final = 80.0
ADDED_TARGET_MS: Final = 10.0
#: path of each service
_PATHS: Final = {"fast": "/fast/1", "slow": "/slow/1"}


class BodyFigures(NamedTuple):
    """Figures of one run."""

    #: number of bodies that were not answered with 200
    lost: int
    #: time until the last answer, in s
    took_s: float
    #: largest peak of the resident memory of a node, in MB
    memory_mb: float
    #: 99th percentiles of the times of other calls alone, and beside the bodies, in ms
    quiet_ms: float
    busy_ms: float


def run() -> list[Measure]:
    """Send large bodies through one node and measure all nodes."""
    figures = asyncio.run(measure_bodies())
    rows = [
        ("lost", "requests", float(figures.lost), None, 0.0),
        ("took", "s", figures.took_s, None, None),
        ("memory_peak", "MB", figures.memory_mb, None, MEMORY_TARGET_MB),
        ("other_calls_p99", "ms", figures.busy_ms, figures.quiet_ms, None),
        ("added_ms_p99", "ms", figures.busy_ms - figures.quiet_ms, None, ADDED_TARGET_MS),
    ]
    return [
        Measure("bodies", f"bodies.{name}", unit, value, baseline, target, "lower", 0, 1)
        for name, unit, value, baseline, target in rows
    ] + [_measure_small(size) for size in SMALL_BYTES]


def _measure_small(size: int) -> Measure:
    cpu_ms = measure_request(size, count=SMALL_COUNT)
    name = f"bodies.request_cpu_{size >> 10}k"
    return Measure("bodies", name, "ms", cpu_ms, None, None, "lower", 0, SMALL_COUNT)


async def measure_bodies() -> BodyFigures:
    """Run three nodes with a fast and a slow upstream, and send bodies through the third one."""
    async with MeshProcesses(network="127.83.1") as mesh:
        mesh.put_config(_make_config())
        for service, rate in (("fast", 0), ("slow", SLOW_BYTES_PER_S)):
            ports = mesh.start_node(service)
            arguments = (ports.upstream, ports.announce, service, str(rate))
            mesh.spawn("bench._body_load", "upstream", *arguments)
        address = mesh.start_node("front").caller
        await mesh.wait_until_ready()
        await asyncio.sleep(3.0)
        quiet = await _measure_calls(address, asyncio.create_task(asyncio.sleep(QUIET_S)))
        paths = list(_PATHS.values()) * (BODY_COUNT // len(_PATHS))
        upload = mesh.spawn("bench._body_load", "upload", address, str(BODY_BYTES), *paths)
        output = asyncio.create_task(asyncio.to_thread(upload.communicate))
        busy = await _measure_calls(address, output)
        result = json.loads((await output)[0])
        return BodyFigures(
            lost=sum(status != 200 for status in result["statuses"]),
            took_s=result["took_s"],
            memory_mb=max(map(read_memory, mesh.processes)),
            quiet_ms=percentile(quiet, 0.99),
            busy_ms=percentile(busy, 0.99),
        )


async def _measure_calls(address: str, until: asyncio.Task[Any]) -> list[float]:
    """Send short calls to both upstreams until a task has ended; return their times in ms."""
    times: list[float] = []
    tasks: list[asyncio.Task[None]] = []
    while not until.done():
        path = list(_PATHS.values())[len(tasks) % 2]
        tasks.append(asyncio.create_task(_measure_call(address, path, len(tasks), times)))
        await asyncio.sleep(1 / OTHER_CALLS_PER_S)
    await asyncio.gather(*tasks)
    return times


async def _measure_call(address: str, path: str, number: int, times: list[float]) -> None:
    host, _, port = address.rpartition(":")
    started_at = time.monotonic()
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f"GET {path} HTTP/1.1\r\nHost: plots.example\r\nRequest-Id: g{number}-{time.time_ns()}\r\n"
        "Deadline-Ms: 5000\r\nConnection: close\r\n\r\n".encode()
    )
    status = await reader.readline()
    assert b" 200 " in status, status
    times.append((time.monotonic() - started_at) * 1000)
    writer.close()


def _make_config() -> dict[str, Any]:
    routes = {
        service: {
            "host": "plots.example",
            "path_prefix": f"/{service}/",
            "kind": "unsafe",
            "timeout": "120s",
            "target_latency": "120s",
            "priority": 1,
            "service": service,
            "max_attempts": 2,
        }
        for service in _PATHS
    }
    service = {"health_path": "/health", "max_conns": 130, "protocol": "h1", "tls": False}
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": BODY_BYTES,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    }
    services = dict.fromkeys(_PATHS, service)
    return {"version": 1, "routes": routes, "services": services, "limits": limits}
