"""Control the processes under test, and poll the nodes' versions and the upstreams' run counts."""

from __future__ import annotations

import json
import signal
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Final

import urllib3

from balsamhead.errors import BalsamheadError
from balsamhead.operator import OperatorClient
from balsamhead.util.secret import Secret
from soak._invariants import Invariant
from standin.local_cluster import OPERATOR_PORT, OPERATOR_TOKEN, UPSTREAM_PORT, wait_for_port

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamhead.operator_responses import PublishResponse, StatusResponse
    from soak._invariants import InvariantChecker
    from standin.local_cluster import LocalCluster, Vm

__all__ = ("Mesh",)

#: pause between two polls of all nodes, in s
POLL_INTERVAL_S: Final = 0.5

#: timeout of a request to the log or to a test upstream, in s
REQUEST_TIMEOUT_S: Final = 3.0

POLL_THREADS: Final = 16

#: response time of the upstreams, in ms
UPSTREAM_LATENCY_MS: Final = "40"


class Mesh:
    """Start, stop, signal and monitor the processes of one environment."""

    def __init__(self, fleet: LocalCluster, vms: Sequence[Vm], checker: InvariantChecker) -> None:
        self.fleet = fleet
        self.vms = {vm.name: vm for vm in vms}
        self._checker = checker
        self._services: dict[str, str] = {}
        #: number of starts by process name; distinguishes successive processes of one name
        self._start_counts: Counter[str] = Counter()
        #: by node: highest version offset reported, and start count of the last process to report
        self._highest_versions: dict[str, tuple[int, int]] = {}
        self._lock = threading.Lock()
        self._stop_event = threading.Event()
        self._monitor_thread = threading.Thread(target=self._monitor)

    def start_node(self, name: str) -> None:
        """Start the node of a VM."""
        with self._lock:
            self._start_counts[name] += 1
            self.fleet.start_node(name)

    def start_upstream(self, name: str, service: str) -> None:
        """Start the upstream of a VM and wait until it listens."""
        with self._lock:
            self._services[name] = service
            self._start_counts[f"{name}.{service}"] += 1
            self.fleet.start_upstream(name, service, "1.0.0", "--latency-ms", UPSTREAM_LATENCY_MS)
        # an upstream can't be asked to drain before it listens
        wait_for_port(f"{self.vms[name].host}:{UPSTREAM_PORT}")

    def get_upstream_process(self, name: str) -> str:
        """Return the process name of the upstream of a VM."""
        return f"{name}.{self._services[name]}"

    def start_monitor(self) -> None:
        """Start the thread that polls all nodes and upstreams."""
        self._monitor_thread.start()

    def stop_monitor(self) -> None:
        """Stop polling, and collect the run counts of all upstreams a last time."""
        self._stop_event.set()
        self._monitor_thread.join()
        self.collect_run_counts(list(self.vms))

    def kill(self, process: str) -> None:
        """Kill a process with SIGKILL if it is running."""
        if process in self.fleet.processes:
            self.fleet.kill(process)

    def stop(self, process: str) -> None:
        """Stop a process gracefully and check that it exits with 0."""
        self._checker.record_stop(process, time.monotonic())
        code = self.fleet.stop(process, timeout_s=60.0)
        self._checker.check(
            Invariant.STOP_IS_CLEAN, holds=code == 0, detail=f"{process} ended with {code}"
        )

    def pause(self, process: str) -> None:
        """Suspend a process with SIGSTOP until it is resumed."""
        self.fleet.send_signal(process, signal.SIGSTOP)

    def resume(self, process: str) -> None:
        """Resume a suspended process with SIGCONT."""
        self.fleet.send_signal(process, signal.SIGCONT)

    def set_log_faults(self, faults: dict[str, float]) -> None:
        """Replace the faults that the log injects; an empty mapping clears them."""
        url = f"http://{self.fleet.log_address}/faults"
        urllib3.request("POST", url, json=faults, timeout=REQUEST_TIMEOUT_S, retries=False)

    def publish(self, name: str, text: str) -> PublishResponse | None:
        """Publish a document through a node; return None if the request fails."""
        try:
            return self._make_client(name).publish(text, file="soak.toml")
        except BalsamheadError:
            return None

    def fetch_status(self, name: str) -> StatusResponse | None:
        """Fetch the status of a node; return None if the request fails."""
        client = self._make_client(name)
        try:
            return client.fetch_status()
        except BalsamheadError:
            return None
        finally:
            client.close()

    def fetch_all_statuses(self) -> dict[str, StatusResponse | None]:
        """Fetch the status of all nodes in parallel; return them by VM name."""
        with ThreadPoolExecutor(POLL_THREADS) as pool:
            return dict(zip(self.vms, pool.map(self.fetch_status, self.vms), strict=True))

    def collect_run_counts(self, names: Sequence[str]) -> None:
        """Fetch and record how often the upstreams of VMs ran each request.

        Upstreams that do not respond are skipped.
        """
        with ThreadPoolExecutor(POLL_THREADS) as pool:
            list(pool.map(self._collect_from_upstream, names))

    def _make_client(self, name: str) -> OperatorClient:
        address = f"{self.vms[name].host}:{OPERATOR_PORT}"
        return OperatorClient(address, token=Secret(OPERATOR_TOKEN))

    def _collect_from_upstream(self, name: str) -> None:
        with self._lock:
            process = (
                f"{self.get_upstream_process(name)}#"
                f"{self._start_counts[self.get_upstream_process(name)]}"
            )
        url = f"http://{self.vms[name].host}:{UPSTREAM_PORT}/runs"
        try:
            resp = urllib3.request("GET", url, timeout=REQUEST_TIMEOUT_S, retries=False)
        except urllib3.exceptions.HTTPError:
            return
        if resp.status == 200:
            self._checker.record_run_counts(process, json.loads(resp.data))

    def _monitor(self) -> None:
        while not self._stop_event.wait(POLL_INTERVAL_S):
            with self._lock:
                start_counts = dict(self._start_counts)
            statuses = self.fetch_all_statuses()
            with self._lock:
                current_start_counts = dict(self._start_counts)
            for name, status in statuses.items():
                # if the node was restarted during the poll, it is unknown which process responded
                if status is not None and start_counts[name] == current_start_counts[name]:
                    self._check_version(name, start_counts[name], status)
            self.collect_run_counts(list(self.vms))

    def _check_version(self, name: str, start_count: int, status: StatusResponse) -> None:
        if status.offset < 0:
            return
        highest_offset, previous_start = self._highest_versions.get(name, (-1, start_count))
        same_process = previous_start == start_count
        self._checker.check(
            Invariant.VERSION_NEVER_DECREASES if same_process else Invariant.RESTART_KEEPS_VERSION,
            holds=status.offset >= highest_offset,
            detail=f"{name}: {highest_offset} (process {previous_start}), "
            f"then {status.offset} ({start_count})",
        )
        self._highest_versions[name] = (max(highest_offset, status.offset), start_count)
