"""Run the processes of a small mesh on loopback addresses."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Final, NamedTuple

from standin.relay import Pair, Relay

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

__all__ = ("LocalCluster", "Vm", "wait_for_port")

LOG_PORT: Final = 6060
CALLER_PORT: Final = 8080
PEER_PORT: Final = 7070
BORDER_PORT: Final = 7071
OPERATOR_PORT: Final = 9090
ANNOUNCE_PORT: Final = 7080
UPSTREAM_PORT: Final = 8000

#: number of loopback networks, 127.1.0.0/16 to 127.254.0.0/16; each running cluster uses one
NETWORKS: Final = 254
#: port that a cluster binds while it uses a network
RESERVATION_PORT: Final = 6059

#: time that a process has to exit after SIGTERM before it is killed, in s
STOP_TIMEOUT_S: Final = 20.0

OPERATOR_TOKEN: Final = "demo-operator-token"
MESH_KEY: Final = "demo-mesh-key-of-at-least-32-bytes-length"


class Vm(NamedTuple):
    """Name, loopback address and location of a simulated VM."""

    name: str
    host: str
    region: str
    data_centre: str
    environment: str


class LocalCluster:
    """Manage the processes, settings files and output files of one mesh."""

    def __init__(self, directory: Path, *, network: int, seed_count: int = 3) -> None:
        self.directory = directory
        #: second octet of the loopback addresses of this cluster
        self.network = network
        self.log_address = f"127.{network}.250.1:{LOG_PORT}"
        self.vms: dict[str, Vm] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        #: relay between the regions, or None if they are connected directly
        self.relay: Relay | None = None
        self._seed_count = seed_count
        directory.mkdir(parents=True, exist_ok=True)
        self._write_key("mesh.key", MESH_KEY)
        self._write_key("operator.token", OPERATOR_TOKEN)

    @classmethod
    @contextlib.contextmanager
    def open(cls, *, seed_count: int = 3) -> Iterator[LocalCluster]:
        """Yield a cluster in a temporary directory; on exit, stop its processes and its relay."""
        with (
            contextlib.closing(_reserve_network()) as reservation,
            tempfile.TemporaryDirectory(prefix="balsamhead-") as name,
        ):
            network = int(reservation.getsockname()[0].split(".")[1])
            fleet = cls(Path(name), network=network, seed_count=seed_count)
            try:
                yield fleet
            finally:
                fleet.stop_all()
                if fleet.relay is not None:
                    fleet.relay.stop()

    def add_vms(
        self, places: Sequence[tuple[str, str]], *, count: int, environment: str
    ) -> tuple[Vm, ...]:
        """Add VMs, assigned round-robin to (region, data centre) pairs; start no process."""
        first_subnet = len({vm.host.split(".")[2] for vm in self.vms.values()})
        vms = []
        for number in range(count):
            row, column = divmod(number, len(places))
            region, data_centre = places[column]
            host = f"127.{self.network}.{first_subnet + column}.{10 + row}"
            vms.append(
                Vm(f"{environment}-{data_centre}-{row}", host, region, data_centre, environment)
            )
        self.vms.update({vm.name: vm for vm in vms})
        return tuple(vms)

    def start_log(self, *options: str) -> None:
        """Start a replacement for the platform's log and wait until it accepts connections."""
        self.start_program("log", "-m", "standin.log", "--address", self.log_address, *options)
        wait_for_port(self.log_address)

    def start_border_relay(self, *, delay_ms: float = 8.0, rate_mbit: float = 30.0) -> Relay:
        """Start a relay that carries the traffic between regions and return it.

        Only nodes that are started afterwards use it. The log is in the region of the
        first VM.
        """
        pairs = [
            Pair(get_border_address(vm), f"{vm.host}:{PEER_PORT}", "elsewhere", vm.region)
            for vm in self.vms.values()
        ]
        pairs.append(Pair(self._log_border_address, self.log_address, "elsewhere", self.log_region))
        self.relay = Relay(pairs, delay_ms=delay_ms, rate_mbit=rate_mbit)
        self.relay.start()
        return self.relay

    def start_node(self, name: str, **settings: str | float | int) -> None:
        """Start the node of a VM, with settings that override the generated ones."""
        path = self._write_settings(self.vms[name], settings)
        self.start_program(name, "-m", "balsamhead", "node", "--settings", str(path))

    def start_upstream(self, name: str, service: str, version: str, *options: str) -> None:
        """Start a test upstream on a VM; it announces itself to the node of that VM."""
        host = self.vms[name].host
        self.start_program(
            f"{name}.{service}",
            *("-m", "standin.upstream"),
            *("--address", f"{host}:{UPSTREAM_PORT}"),
            *("--announce", f"http://{host}:{ANNOUNCE_PORT}"),
            *("--service", service, "--version", version),
            *options,
        )

    def wait_ready(self, names: Sequence[str], *, timeout_s: float = 60.0) -> None:
        """Wait until the operator, caller and announce ports of nodes accept connections.

        :raises TimeoutError: a port did not accept connections within ``timeout_s``.
        """
        for name in names:
            host = self.vms[name].host
            for port in (OPERATOR_PORT, CALLER_PORT, ANNOUNCE_PORT):
                wait_for_port(f"{host}:{port}", timeout_s=timeout_s)

    def send_signal(self, process: str, number: signal.Signals) -> None:
        """Send a signal to one process of this cluster."""
        self.processes[process].send_signal(number)

    def stop(self, process: str, *, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Terminate a process, wait for it and return its exit code.

        A process that has not exited after ``timeout_s`` is killed.
        """
        child = self.processes.pop(process)
        child.send_signal(signal.SIGCONT)
        child.terminate()
        return self._wait_for_exit(child, timeout_s)

    def kill(self, process: str) -> None:
        """Kill a process and wait for its exit."""
        child = self.processes.pop(process)
        child.kill()
        child.wait()

    def stop_all(self) -> dict[str, int]:
        """Terminate all processes and return their exit codes by process name."""
        if self.relay is not None:
            self.relay.restore()
        children = dict(self.processes)
        self.processes.clear()
        for child in children.values():
            child.send_signal(signal.SIGCONT)
            child.terminate()
        return {
            name: self._wait_for_exit(child, STOP_TIMEOUT_S) for name, child in children.items()
        }

    def read_output(self, process: str) -> str:
        """Return the combined standard output and error of a process."""
        return (self.directory / f"{process}.out").read_text(errors="replace")

    def _wait_for_exit(self, child: subprocess.Popen[bytes], timeout_s: float) -> int:
        try:
            return child.wait(timeout_s)
        except subprocess.TimeoutExpired:
            child.kill()
            return child.wait()

    def start_program(self, process: str, *arguments: str) -> None:
        """Start a Python interpreter with arguments as a process of this cluster."""
        env = dict(os.environ, PYTHONUNBUFFERED="1")
        with (self.directory / f"{process}.out").open("ab") as out:
            self.processes[process] = subprocess.Popen(
                [sys.executable, *arguments], stdout=out, stderr=out, env=env
            )

    def _write_key(self, name: str, text: str) -> None:
        path = self.directory / name
        path.write_text(text)
        path.chmod(0o600)

    @property
    def log_region(self) -> str:
        """Return the region of the log."""
        return next(iter(self.vms.values())).region

    @property
    def _log_border_address(self) -> str:
        return f"127.{self.network}.250.2:{LOG_PORT}"

    def _get_log_address(self, vm: Vm) -> str:
        is_remote = self.relay is not None and vm.region != self.log_region
        return self._log_border_address if is_remote else self.log_address

    def _get_peer_address(self, vm: Vm, source: Vm) -> str:
        if self.relay is not None and vm.region != source.region:
            return get_border_address(vm)
        return f"{vm.host}:{PEER_PORT}"

    def _write_settings(self, vm: Vm, settings: dict[str, str | float | int]) -> Path:
        seeds = [
            self._get_peer_address(other, vm)
            for other in self.vms.values()
            if other.environment == vm.environment and other.name != vm.name
        ]
        values: dict[str, str | float | int | list[str]] = {
            "node": vm.name,
            "environment": vm.environment,
            "promotes_from": "trial" if vm.environment == "production" else "",
            "region": vm.region,
            "data_centre": vm.data_centre,
            "caller_address": f"{vm.host}:{CALLER_PORT}",
            "peer_address": f"{vm.host}:{PEER_PORT}",
            "operator_address": f"{vm.host}:{OPERATOR_PORT}",
            "announce_address": f"{vm.host}:{ANNOUNCE_PORT}",
            "seeds": seeds[: self._seed_count],
            "border_address": get_border_address(vm) if self.relay else "",
            "log_url": f"http://{self._get_log_address(vm)}",
            "mesh_key_file": str(self.directory / "mesh.key"),
            "operator_token_file": str(self.directory / "operator.token"),
            **settings,
        }
        path = self.directory / f"{vm.name}.toml"
        path.write_text(
            "".join(f"{key} = {_format_toml_value(value)}\n" for key, value in values.items())
        )
        return path


def get_border_address(vm: Vm) -> str:
    """Return the relay address through which other regions reach a VM's peer port."""
    return f"{vm.host}:{BORDER_PORT}"


def wait_for_port(address: str, *, timeout_s: float = 60.0) -> None:
    """Wait until a port accepts connections.

    :raises TimeoutError: the port did not accept connections within ``timeout_s``.
    """
    host, _, port = address.rpartition(":")
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError), socket.create_connection((host, int(port)), 1.0):
            return
        time.sleep(0.05)
    raise TimeoutError(f"{address} accepted no connection within the time-out")


def _reserve_network() -> socket.socket:
    # The bound port keeps other clusters from using this network until the socket is closed.
    start = os.getpid()
    for step in range(NETWORKS):
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{1 + (start + step) % NETWORKS}.250.1", RESERVATION_PORT))
        except OSError:
            reservation.close()
            continue
        return reservation
    raise OSError("all loopback networks are in use by other clusters")


def _format_toml_value(value: str | float | int | list[str]) -> str:
    if isinstance(value, list):
        return "[" + ", ".join(f'"{item}"' for item in value) + "]"
    return f'"{value}"' if isinstance(value, str) else str(value)
