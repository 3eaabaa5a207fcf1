"""Measure the replication of accepted configurations between real node processes."""

from __future__ import annotations

import re
import threading
import time
from pathlib import Path
from typing import Final

from bench._frame import Measure, percentile
from bench._mesh import BenchFleet, open_mesh

__all__ = ("run",)

#: node processes, half of them in each region
NODES: Final = 32

#: number of timed changes of the configuration
CHANGES: Final = 30

#: number of times that half of the fleet is killed and restarted
MASS_RESTARTS: Final = 2

#: settling time of the mesh before a measurement, in s
SETTLING_TIME_S: Final = 10.0

#: duration of the measurement of idle traffic, in s
IDLE_WINDOW_S: Final = 20.0

#: configuration changes per day that the fleet must handle, and the number of them that are
#: measured at that rate
CHANGES_PER_DAY: Final = 4_100
SPACED_CHANGES: Final = 2

#: interval between two reads of the metrics during a mass restart, in s
SCRAPE_INTERVAL_S: Final = 1.0

#: targets: convergence times in s, bytes between regions as a fraction of sending full copies,
#: and traffic of a node in bytes/s
CONVERGENCE_TARGET_S: Final = 2.0
RESTART_CONVERGENCE_TARGET_S: Final = 7.0
INTER_REGION_SHARE_TARGET: Final = 0.02
NODE_BYTES_TARGET_S: Final = 2_000.0

PLOTLIST_PATH: Final = Path(__file__).resolve().parent.parent / "examples" / "plotlist.toml"
LARGE_SERVICE_COUNT: Final = 100


class _Publisher:
    """Publishes successive changes of one document."""

    def __init__(self, fleet: BenchFleet, text: str) -> None:
        self._fleet = fleet
        self._text = text
        self._name = next(iter(fleet.vms))
        self._count = 0

    @property
    def size(self) -> int:
        """Return the size of the document, in bytes."""
        return len(self._text)

    def publish(self) -> int:
        """Change the deadline of the first route, publish, and return the record's offset."""
        self._count += 1
        deadline_ms = 1_000 + self._count
        text = re.sub(r"deadline-ms = \d+", f"deadline-ms = {deadline_ms}", self._text, count=1)
        client = self._fleet.make_client(self._name)
        response = client.publish(text, file="bench.toml")
        client.close()
        if response.outcome != "accepted":
            raise RuntimeError(f"publishing failed: {response.code}: {response.reason}")
        return response.offset


def run() -> list[Measure]:
    """Run the benchmarks of this area on a mesh, and return their measures."""
    with open_mesh(NODES) as fleet:
        plotlist_publisher = _Publisher(fleet, PLOTLIST_PATH.read_text())
        fleet.wait_converged(plotlist_publisher.publish())
        time.sleep(SETTLING_TIME_S)
        idle_measure, idle_inter_region_rate = _measure_idle(fleet)
        measures = [idle_measure]
        measures += _measure_changes(fleet, plotlist_publisher, idle_inter_region_rate, "plotlist")
        measures.append(_measure_regular_changes(fleet, plotlist_publisher))
        measures += _measure_mass_restarts(fleet, plotlist_publisher)
        large_publisher = _Publisher(fleet, _render_large_document())
        fleet.wait_converged(large_publisher.publish())
        time.sleep(SETTLING_TIME_S)
        measures += _measure_changes(fleet, large_publisher, idle_inter_region_rate, "100_services")
    return measures


def _measure_idle(fleet: BenchFleet) -> tuple[Measure, float]:
    names = list(fleet.vms)
    inter_region_before = fleet.count_inter_region_bytes()
    rates = _measure_rates(fleet, names, IDLE_WINDOW_S)
    inter_region_rate = (fleet.count_inter_region_bytes() - inter_region_before) / IDLE_WINDOW_S
    return (
        _make_measure("node_bytes_per_s_idle", "B/s", max(rates), NODE_BYTES_TARGET_S),
        inter_region_rate,
    )


def _measure_rates(fleet: BenchFleet, names: list[str], seconds: float) -> list[float]:
    started_at = time.monotonic()
    before = fleet.read_link_bytes(names)
    time.sleep(seconds)
    after = fleet.read_link_bytes(names)
    elapsed = time.monotonic() - started_at
    return [(after[name] - before[name]) / elapsed for name in names]


def _measure_changes(
    fleet: BenchFleet, publisher: _Publisher, idle_inter_region_rate: float, label: str
) -> list[Measure]:
    inter_region_before = fleet.count_inter_region_bytes()
    started_at = time.monotonic()
    offsets = []
    for _ in range(CHANGES):
        offsets.append(publisher.publish())
        time.sleep(0.5)
    fleet.wait_converged(offsets[-1])
    inter_region_bytes = fleet.count_inter_region_bytes() - inter_region_before
    idle_inter_region_bytes = idle_inter_region_rate * (time.monotonic() - started_at)
    change_times = [fleet.measure_convergence(offset) for offset in offsets]

    full_copy_bytes = float(publisher.size * NODES // 2)
    per_change = (inter_region_bytes - idle_inter_region_bytes) / CHANGES
    suffix = "" if label == "plotlist" else f"_{label}"
    return [
        _make_measure(
            f"convergence_s_p99{suffix}",
            "s",
            percentile(change_times, 0.99),
            CONVERGENCE_TARGET_S,
            CHANGES,
        ),
        _make_measure(
            f"convergence_s_p50{suffix}", "s", percentile(change_times, 0.5), None, CHANGES
        ),
        _make_measure(
            f"border_bytes_per_change_{label}",
            "B",
            per_change,
            full_copy_bytes * INTER_REGION_SHARE_TARGET,
            CHANGES,
            baseline=full_copy_bytes,
        ),
    ]


def _measure_regular_changes(fleet: BenchFleet, publisher: _Publisher) -> Measure:
    interval_s = 86_400 / CHANGES_PER_DAY
    names = list(fleet.vms)
    started_at = time.monotonic()
    before = fleet.read_link_bytes(names)
    for _ in range(SPACED_CHANGES):
        publisher.publish()
        time.sleep(interval_s)
    after = fleet.read_link_bytes(names)
    elapsed = time.monotonic() - started_at
    value = max((after[name] - before[name]) / elapsed for name in names)
    return _make_measure("node_bytes_per_s_4100_changes", "B/s", value, NODE_BYTES_TARGET_S)


def _measure_mass_restarts(fleet: BenchFleet, publisher: _Publisher) -> list[Measure]:
    convergence_times, recovery_times, peak_rates = [], [], []
    names = list(fleet.vms)
    # the publisher's node keeps running; each data centre loses half of its nodes
    restarted = [name for number, name in enumerate(names) if (number // 4) % 2]
    survivors = [name for name in names if name not in restarted]
    for _ in range(MASS_RESTARTS):
        for name in restarted:
            fleet.kill(name)
        started_at = time.monotonic()
        with _PeakRateMonitor(fleet, survivors) as monitor:
            for name in restarted:
                fleet.start_node(name)
            offset = publisher.publish()
            fleet.wait_converged(offset)
            recovery_times.append(_wait_until_in_force(fleet, survivors[-1], offset) - started_at)
        convergence_times.append(fleet.measure_convergence(offset))
        peak_rates.append(monitor.peak_rate)
        time.sleep(SETTLING_TIME_S)
    return [
        _make_measure(
            "convergence_cold_log_s_p99",
            "s",
            max(convergence_times),
            RESTART_CONVERGENCE_TARGET_S,
            MASS_RESTARTS,
        ),
        _make_measure("storm_recovery_s", "s", max(recovery_times), None, MASS_RESTARTS),
        _make_measure("storm_peak_bytes_per_s", "B/s", max(peak_rates), None, MASS_RESTARTS),
    ]


def _wait_until_in_force(fleet: BenchFleet, name: str, offset: int) -> float:
    """Wait until a node reports a version as in force on all nodes; return the monotonic time."""
    client = fleet.make_client(name)
    deadline = time.monotonic() + 90.0
    while time.monotonic() < deadline:
        counts = {row.offset: row.nodes for row in client.fetch_status().in_force}
        if counts == {offset: NODES}:
            return time.monotonic()
        time.sleep(0.1)
    raise TimeoutError(f"{name} reports these versions in force: {counts}")


class _PeakRateMonitor:
    """Records the highest link traffic of any node, in bytes/s, until its context ends."""

    def __init__(self, fleet: BenchFleet, names: list[str]) -> None:
        self._fleet = fleet
        self._names = names
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.peak_rate = 0.0

    def __enter__(self) -> _PeakRateMonitor:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        before = self._fleet.read_link_bytes(self._names)
        read_at = time.monotonic()
        while not self._stopped.wait(SCRAPE_INTERVAL_S):
            after = self._fleet.read_link_bytes(self._names)
            now = time.monotonic()
            rates = [(after[name] - before[name]) / (now - read_at) for name in self._names]
            self.peak_rate = max(self.peak_rate, *rates)
            before, read_at = after, now


def _render_large_document() -> str:
    lines = ['name = "large"']
    for region, data_centres in (("east", '"dc-1", "dc-2"'), ("west", '"dc-3", "dc-4"')):
        lines += ["[[region]]", f'name = "{region}"', f"data-centres = [{data_centres}]"]
    for number in range(LARGE_SERVICE_COUNT):
        lines += [
            *("[[service]]", f'name = "service-{number}"', "workers = 29", "slots = 6"),
            *("connections = 130", 'version = "1.0.0"'),
            *("[service.objective]", "availability = 0.999", "latency-ms = 250"),
            *("latency-share = 0.99", "[service.rollout]", 'preset = "on-time"'),
        ]
    for number in range(LARGE_SERVICE_COUNT):
        lines += [
            *("[[route]]", f'name = "route-{number}"', f'service = "service-{number}"'),
            *('host = "large.example"', f'path = "/part-{number}/{{id}}"', 'methods = ["GET"]'),
            *("deadline-ms = 500", "idempotent = true"),
        ]
    return "\n".join(lines) + "\n"


def _make_measure(
    name: str,
    unit: str,
    value: float,
    target: float | None,
    runs: int = 1,
    *,
    baseline: float | None = None,
) -> Measure:
    return Measure("config", f"config.{name}", unit, value, baseline, target, "lower", 0, runs)
