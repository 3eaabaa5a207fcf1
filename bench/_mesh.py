"""Run a mesh of real node processes in two regions, and read their metrics and logs."""

from __future__ import annotations

import contextlib
import json
import time
from datetime import datetime
from typing import TYPE_CHECKING, Final

import urllib3

from balsamhead.operator import OperatorClient
from balsamhead.util.secret import Secret
from standin.local_cluster import OPERATOR_PORT, OPERATOR_TOKEN, LocalCluster
from standin.log import LogServer, MemoryLog

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

__all__ = ("PLACES", "BenchFleet", "TimedLog", "open_mesh")

#: regions and data centres; the log runs in the first region
PLACES: Final = (("east", "dc-1"), ("east", "dc-2"), ("west", "dc-3"), ("west", "dc-4"))

ENVIRONMENT: Final = "production"

#: delay and bandwidth of the link between the regions
INTER_REGION_DELAY_MS: Final = 8.0
INTER_REGION_RATE_MBIT: Final = 30.0

#: timeout for the start of all nodes, in s
START_TIMEOUT_S: Final = 90.0


class TimedLog(MemoryLog):
    """In-memory log that keeps the time at which each record was appended."""

    def __init__(self) -> None:
        super().__init__()
        self.appended_at: dict[int, float] = {}

    def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset."""
        offset = super().append(stream, data)
        self.appended_at[offset] = time.time()
        return offset


class BenchFleet(LocalCluster):
    """Cluster whose nodes run with few threads and use the log in the first region."""

    log: TimedLog

    def start_node(self, name: str, **settings: str | float | int) -> None:
        """Start the node of a VM; ``settings`` override the benchmark's defaults."""
        options: dict[str, str | float | int] = {
            "log_region": PLACES[0][0],
            "call_threads": 2,
            "operator_threads": 2,
            **settings,
        }
        super().start_node(name, **options)

    def make_client(self, name: str) -> OperatorClient:
        """Return a client for the operator port of a node."""
        address = f"{self.vms[name].host}:{OPERATOR_PORT}"
        return OperatorClient(address, token=Secret(OPERATOR_TOKEN), operator="bench")

    def count_inter_region_bytes(self) -> int:
        """Return the bytes sent between the regions, in both directions together."""
        assert self.relay is not None
        return sum(self.relay.count_bytes().values())

    def read_link_bytes(self, names: Sequence[str]) -> dict[str, float]:
        """Return the bytes that each node has sent and received on its links since its start."""
        totals = {}
        for name in names:
            url = f"http://{self.vms[name].host}:{OPERATOR_PORT}/metrics"
            headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
            text = urllib3.request("GET", url, headers=headers, timeout=10.0).data.decode()
            lines = [line for line in text.splitlines() if "link_bytes" in line]
            totals[name] = sum(float(line.split()[-1]) for line in lines if line[0] != "#")
        return totals

    def list_config_activations(self, name: str) -> list[tuple[float, int]]:
        """Return the time and offset of each version that came into force on a node."""
        activations = []
        for line in (self.directory / f"{name}.out").read_text().splitlines():
            if '"config in force"' not in line:
                continue
            row = json.loads(line)
            activations.append(
                (datetime.fromisoformat(row["time"]).timestamp(), int(row["offset"]))
            )
        return activations

    def measure_convergence(self, offset: int) -> float:
        """Return the time from a record's append until it is in force on all nodes, in s.

        The result is infinite while any node still has an older version in force.
        """
        latest = 0.0
        for name in self.vms:
            times = [at for at, version in self.list_config_activations(name) if version >= offset]
            latest = max(latest, min(times, default=float("inf")))
        return latest - self.log.appended_at[offset]

    def wait_converged(self, offset: int, *, timeout_s: float = 60.0) -> None:
        """Wait until a version is in force on all nodes.

        :raises TimeoutError: a node still has an older version in force after ``timeout_s``.
        """
        deadline = time.monotonic() + timeout_s
        while self.measure_convergence(offset) == float("inf"):
            if time.monotonic() > deadline:
                raise TimeoutError(f"version {offset} is not in force on all nodes")
            time.sleep(0.1)


@contextlib.contextmanager
def open_mesh(count: int) -> Iterator[BenchFleet]:
    """Yield a running mesh of nodes in two regions, which a relay connects."""
    with BenchFleet.open() as fleet:
        assert isinstance(fleet, BenchFleet)
        vms = fleet.add_vms(PLACES, count=count, environment=ENVIRONMENT)
        fleet.log = TimedLog()
        host, _, port = fleet.log_address.rpartition(":")
        server = LogServer(host=host, port=int(port))
        server.log = fleet.log
        server.start()
        fleet.start_border_relay(delay_ms=INTER_REGION_DELAY_MS, rate_mbit=INTER_REGION_RATE_MBIT)
        try:
            for vm in vms:
                fleet.start_node(vm.name)
            fleet.wait_ready([vm.name for vm in vms], timeout_s=START_TIMEOUT_S)
            yield fleet
        finally:
            fleet.stop_all()
            server.stop()
