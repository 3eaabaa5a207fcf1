"""Run mesh nodes as processes on loopback addresses, with a store in this process."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final, NamedTuple

from standin.platform_store import PlatformStore

if TYPE_CHECKING:
    from types import TracebackType

__all__ = ("MeshProcesses", "NodePorts", "read_memory")

#: port of the store, on the first host
_STORE_PORT: Final = 8000
#: longest time until all nodes are ready, in s
_READY_TIMEOUT_S: Final = 20.0


class NodePorts(NamedTuple):
    """Addresses of a node, each as host:port."""

    upstream: str
    caller: str
    ready: str
    announce: str
    peer: str

    @classmethod
    def from_host(cls, host: str) -> NodePorts:
        """Return the addresses on a loopback host."""
        return cls(*(f"{host}:{port}" for port in range(8001, 8006)))


class MeshProcesses:
    """A store, and nodes that are started as processes of their own and ended with it."""

    def __init__(self, *, network: str) -> None:
        """Create a mesh without nodes.

        :param network: the first three parts of the loopback addresses to use.
        """
        self._network = network
        self._folder = tempfile.TemporaryDirectory(prefix="balsamhead-")
        self._children: list[subprocess.Popen[bytes]] = []
        self.store = PlatformStore()
        self.nodes: list[NodePorts] = []
        self.processes: list[subprocess.Popen[bytes]] = []

    async def __aenter__(self) -> MeshProcesses:
        await self.store.start(f"{self._network}.250:{_STORE_PORT}")
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for child in self._children:
            child.kill()
            child.wait()
        self._folder.cleanup()

    def put_config(self, config: dict[str, Any]) -> None:
        """Write the configuration."""
        self.store.put("keyed.op", "config", config)

    def start_node(self, service: str) -> NodePorts:
        """Start a node beside an upstream of a service, and return its addresses."""
        number = len(self.nodes) + 1
        ports = NodePorts.from_host(f"{self._network}.{number}")
        settings = {
            "node": f"node-{number}",
            "region": "east",
            "data_centre": "east-a",
            "service": service,
            "upstream_address": ports.upstream,
            "caller_address": ports.caller,
            "ready_address": ports.ready,
            "announce_address": ports.announce,
            "peer_address": ports.peer,
            "store_address": f"{self._network}.250:{_STORE_PORT}",
        }
        path = Path(self._folder.name) / f"node-{number}.toml"
        path.write_text("".join(f'{key} = "{value}"\n' for key, value in settings.items()))
        process = self.spawn("balsamhead", "mesh", env={"BALSAMHEAD_SETTINGS": str(path)})
        self.nodes.append(ports)
        self.processes.append(process)
        return ports

    def spawn(
        self, module: str, *arguments: str, env: dict[str, str] | None = None
    ) -> subprocess.Popen[bytes]:
        """Start a Python module as a process; its output can be read."""
        child = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            env=os.environ | (env or {}),
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL if module == "balsamhead" else subprocess.PIPE,
        )
        self._children.append(child)
        return child

    async def wait_until_ready(self) -> None:
        """Wait until all nodes say that they are ready.

        :raises TimeoutError: they are not in time.
        """
        async with asyncio.timeout(_READY_TIMEOUT_S):
            for ports in self.nodes:
                while not await _is_ready(ports.ready):
                    await asyncio.sleep(0.1)


async def _is_ready(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    writer.write(b"GET /readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
    status = await reader.readline()
    writer.close()
    return b" 200 " in status


def read_memory(process: subprocess.Popen[bytes]) -> float:
    """Return the peak of the resident memory of a process, in MB."""
    lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
    return sum(int(line.split()[1]) / 1024 for line in lines if line.startswith("VmHWM"))
