"""Run a small deployment: the project's nodes as processes, all else as stand-ins on loopback."""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from typing import NamedTuple

from lib.http import KeptConnection, send_request
from lib.store import Store
from lib.worker import Worker

ROOT = Path(__file__).resolve().parents[2]
#: `contact` of the site: how long a machine must have been without disruption, in s
CONTACT_S = 3.0
#: `drain` of the site, in s
DRAIN_S = 2.0
#: time from the start of the machines to that of the traffic, in s
LEAD_S = 10.0
SERVICES = ("desk", "registry")


class Attempt(NamedTuple):
    """A request of a client."""

    sent_at: float
    machine: int
    status: int


class Machine:
    """A machine: its addresses, its node process and its worker."""

    def __init__(self, number: int, host: str, *, service: str, zone: str, version: str) -> None:
        self.number = number
        self.name = f"sidecar-{zone}-{number}"
        self.service = service
        self.zone = zone
        self.version = version
        names = ("app", "outbound", "ready", "control", "peer", "metrics")
        self.ports = dict(zip(names, _find_free_ports(host, len(names)), strict=True))
        self.host = host
        self.process: subprocess.Popen[bytes] | None = None
        #: when the process was last started, killed or stopped by the script
        self.disturbed_at = 0.0
        self.ready = False
        self.misses = 0

    def get_address(self, name: str) -> str:
        """Return an address of the machine."""
        return f"{self.host}:{self.ports[name]}"


class Deployment:
    """A store, machines with nodes and workers, and clients."""

    def __init__(self, folder: Path) -> None:
        self.store = Store()
        self.machines: list[Machine] = []
        self.workers: dict[int, Worker] = {}
        self.attempts: dict[str, Attempt] = {}
        #: requests on kept connections that were closed without an answer
        self.unanswered: list[str] = []
        self._folder = folder
        self._scratch = tempfile.TemporaryDirectory()
        self._record = (folder / "record.txt").open("w")
        self._started_at = time.monotonic()
        self._network = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self._store_address = ""
        self._tasks: set[asyncio.Task[None]] = set()
        self._request_count = 0
        self._deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]

    def log(self, event: str, **fields: object) -> None:
        """Write a line to the record."""
        if self._record.closed:
            return
        row = {"t": round(time.monotonic() - self._started_at, 3), "event": event, **fields}
        self._record.write(json.dumps(row) + "\n")
        self._record.flush()

    # -- start and end -------------------------------------------------------------------------

    async def start(self, services: list[str]) -> None:
        """Start the store and one machine for each name of a service."""
        host = f"{self._network}.250"
        self._store_address = f"{host}:{_find_free_ports(host, 1)[0]}"
        await self.store.start(self._store_address)
        self.put_config(1)
        for service in services:
            await self.add_machine(service)

    async def add_machine(
        self, service: str, *, version: str = "v1", work_s: float = 0.03
    ) -> Machine:
        """Add a machine with a worker of a service, and start both."""
        number = len(self.machines) + 1
        zone = ("east-tbilisi", "east-telavi")[number % 2]
        machine = Machine(
            number, f"{self._network}.{number}", service=service, zone=zone, version=version
        )
        self.machines.append(machine)
        self.start_node(machine)
        worker = Worker(
            f"i-{random.getrandbits(32):08x}",
            service=service,
            address=machine.get_address("app"),
            control=machine.get_address("control"),
            zone=zone,
            version=version,
            work_s=work_s,
            log=self.log,
        )
        self.workers[number] = worker
        await worker.start()
        self.spawn(self._ask_ready(machine))
        return machine

    def put_config(self, version: int) -> None:
        """Write the operator's configuration."""
        routes = {
            "look": _make_route("/look/", "safe", "desk"),
            "accept": _make_route("/accept/", "unsafe", "desk", priority=1),
            "export": _make_route("/export/", "download", "registry"),
        }
        service = {"health_path": "/health", "max_conns": 130, "protocol": "h1", "tls": False}
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        }
        self.store.put(
            "keyed.op",
            "config",
            {
                "version": version,
                "routes": routes,
                "services": dict.fromkeys(SERVICES, service),
                "limits": limits,
            },
        )
        self.log("config", version=version)

    def start_node(self, machine: Machine) -> None:
        """Start the node of a machine with the command and the template of the deploy file."""
        settings = Path(self._scratch.name) / f"{machine.name}.toml"
        settings.write_text(self._fill_template(machine))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BALSAMHEAD_SETTINGS": str(settings),
        }
        output = (Path(self._scratch.name) / f"{machine.name}.log").open("ab")
        machine.process = subprocess.Popen(
            shlex.split(self._deploy["run"]),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
        )
        output.close()
        machine.disturbed_at = time.monotonic()
        self.log("node-started", node=machine.name, pid=machine.process.pid)

    def _fill_template(self, machine: Machine) -> str:
        values = {
            "node": machine.name,
            "region": "east",
            "zone": machine.zone,
            "service": machine.service,
            "app_addr": machine.get_address("app"),
            "listen.outbound": machine.get_address("outbound"),
            "listen.ready": machine.get_address("ready"),
            "listen.control": machine.get_address("control"),
            "ip": machine.host,
            "port_range.0": machine.ports["peer"],
            "platform.address": self._store_address,
            "heartbeat": "1500ms",
            "bounds.grace": "6s",
            "bounds.budget_ratio": 0.2,
            "bounds.budget_slack": 64,
            "bounds.budget_window": "10s",
        }

        def fill(found: re.Match[str]) -> str:
            name, _, form = found[1].partition("|")
            return json.dumps(values[name]) if form == "json" else str(values[name])

        template = (ROOT / self._deploy["template"]).read_text()
        text = re.sub(r"\{\{([^}]*)\}\}", fill, template)
        # the port of the deploy file is for one node an address; here any free one will do
        return re.sub(r"metrics_port = \d+", f"metrics_port = {machine.ports['metrics']}", text)

    def kill_node(self, machine: Machine, signal_number: int = signal.SIGKILL) -> None:
        """Send a signal to the node of a machine; after SIGKILL, wait for its end."""
        assert machine.process is not None
        machine.process.send_signal(signal_number)
        machine.disturbed_at = time.monotonic()
        self.log("signal", node=machine.name, signal=int(signal_number))
        if signal_number == signal.SIGKILL:
            machine.process.wait()

    def close(self) -> None:
        """End all that was started."""
        for task in self._tasks:
            task.cancel()
        for worker in self.workers.values():
            worker.stop_beats()
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        self._record.close()
        self._scratch.cleanup()

    def spawn(self, coro: object) -> None:
        """Run a coroutine until the deployment ends."""
        task = asyncio.ensure_future(coro)  # type: ignore[call-overload]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # -- platform ------------------------------------------------------------------------------

    async def _ask_ready(self, machine: Machine) -> None:
        while True:
            try:
                answer = await send_request(
                    machine.get_address("ready"), "GET", "/readiness", headers={"Host": "x"}
                )
                ok = answer.start[1] == "200"
            except (OSError, EOFError):
                ok = False
            machine.misses = 0 if ok else machine.misses + 1
            ready = machine.misses < 2 if machine.ready else ok
            if ready != machine.ready:
                self.log("ready" if ready else "not-ready", node=machine.name)
            machine.ready = ready
            await asyncio.sleep(1.0)

    async def wait_until_ready(self) -> bool:
        """Wait until all nodes are ready and the lead time is over; return whether they are."""
        await asyncio.sleep(LEAD_S)
        for _ in range(100):
            if all(machine.ready for machine in self.machines):
                return True
            await asyncio.sleep(0.1)
        return False

    def was_in_touch(self, machine: Machine, at: float) -> bool:
        """Return whether a machine had no disruption for `contact` before a moment."""
        alive = machine.process is not None and machine.process.poll() is None
        return alive and at - machine.disturbed_at >= CONTACT_S

    # -- clients -------------------------------------------------------------------------------

    def start_clients(self, machine: Machine, path: str, per_s: float) -> None:
        """Send requests to the node of a machine, each on a connection of its own."""
        self.spawn(self._send_repeatedly(machine, path, per_s))

    async def _send_repeatedly(self, machine: Machine, path: str, per_s: float) -> None:
        while True:
            if machine.ready:
                self.spawn(self.send(machine, path))
            await asyncio.sleep(random.uniform(0.5, 1.5) / per_s)

    def keep_requesting(self, machine: Machine, path: str) -> None:
        """Send one request after the other to the node of a machine on a kept connection."""
        self.spawn(self._request_repeatedly(machine, path))

    async def _request_repeatedly(self, machine: Machine, path: str) -> None:
        connection = KeptConnection(machine.get_address("outbound"))
        while True:
            if not machine.ready:
                connection.close()
                await asyncio.sleep(0.1)
                continue
            try:
                await connection.open()
            except OSError:
                await asyncio.sleep(0.1)
                continue
            await self._request(connection, machine, path)

    async def _request(self, connection: KeptConnection, machine: Machine, path: str) -> None:
        request_id = self._make_id()
        headers = {"Host": "plots.example", "Request-Id": request_id, "Deadline-Ms": "1000"}
        sent_at = time.monotonic()
        self.attempts[request_id] = Attempt(sent_at, machine.number, -1)
        self.log("sent", request=request_id, node=machine.name, path=path, kept=True)
        status = 0
        try:
            status = int((await connection.request(path, headers, timeout_s=1.2)).start[1])
        except TimeoutError:
            connection.close()
        except (OSError, EOFError):
            connection.close()
            self.unanswered.append(request_id)
        self.attempts[request_id] = Attempt(sent_at, machine.number, status)
        self.log("answered" if status else "unanswered", request=request_id, status=status)

    async def send_at_once(self, machines: list[Machine], path: str) -> None:
        """Send copies of a request to several machines at the same moment."""
        connections = [KeptConnection(row.get_address("outbound")) for row in machines]
        await asyncio.gather(*(row.open() for row in connections))
        pairs = zip(connections, machines, strict=True)
        await asyncio.gather(*(self._request(one, row, path) for one, row in pairs))
        for row in connections:
            row.close()

    def _make_id(self) -> str:
        self._request_count += 1
        return f"{self._request_count:08x}{random.getrandbits(32):08x}"

    async def send(self, machine: Machine, path: str, *, body: bytes = b"") -> None:
        """Send one request and record the result."""
        request_id = self._make_id()
        method = "POST" if path.startswith("/accept/") else "GET"
        headers = {"Host": "plots.example", "Request-Id": request_id, "Deadline-Ms": "1000"}
        sent_at = time.monotonic()
        self.attempts[request_id] = Attempt(sent_at, machine.number, -1)
        self.log("sent", request=request_id, node=machine.name, path=path, bytes=len(body))
        try:
            answer = await send_request(
                machine.get_address("outbound"),
                method,
                path,
                body or (b"{}" if method == "POST" else b""),
                headers=headers,
                timeout_s=1.0,
            )
            status = int(answer.start[1])
        except (OSError, EOFError):
            status = 0
        self.attempts[request_id] = Attempt(sent_at, machine.number, status)
        self.log("answered", request=request_id, status=status)


def _make_route(prefix: str, kind: str, service: str, *, priority: int = 2) -> dict[str, object]:
    return {
        "host": "plots.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout": "1000ms",
        "target_latency": "250ms",
        "priority": priority,
        "service": service,
        "max_attempts": 2,
    }


def _find_free_ports(host: str, count: int) -> list[int]:
    sockets = []
    try:
        for _ in range(count):
            sock = socket.socket()
            sock.bind((host, 0))
            sockets.append(sock)
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def is_troubled() -> bool:
    """Return whether the disruption is to be made: not with TROUBLE=0."""
    return os.environ.get("TROUBLE", "1") != "0"
