"""Run event loops on a virtual clock, over a network in memory that can be cut and silenced."""

from __future__ import annotations

import asyncio
import selectors
from contextvars import ContextVar
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("RUNNING_AS", "MemoryNetwork", "MemoryTransport", "VirtualLoop")

#: time that bytes take from one end to the other, in s
_DELAY_S: Final = 0.0005
#: least time between two arrivals on a connection, in s
_ORDER_S: Final = 1e-9

#: host that the running task belongs to
RUNNING_AS: ContextVar[str] = ContextVar("RUNNING_AS", default="127.0.0.1")

_Factory = Any


class _Clock(selectors.BaseSelector):
    """Let the loop's time pass instead of waiting for files."""

    def __init__(self) -> None:
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the clock."""
        if timeout is None:
            raise RuntimeError("nothing is left that could happen")
        self.now += max(0.0, timeout)
        return []

    def register(self, fileobj: Any, events: int, data: Any = None) -> Any:
        """Refuse files."""
        raise NotImplementedError

    def unregister(self, fileobj: Any) -> Any:
        """Refuse files."""
        raise NotImplementedError

    def get_map(self) -> Any:
        """Return that there are no files."""
        return {}

    def close(self) -> None:
        """Do nothing."""


class MemoryTransport(asyncio.Transport):
    """Carry bytes to the other end of a connection in memory."""

    def __init__(
        self, loop: VirtualLoop, protocol: asyncio.BaseProtocol, local: str, peer: str
    ) -> None:
        super().__init__({"peername": _split(peer), "sockname": _split(local)})
        self._loop = loop
        self._protocol: Any = protocol
        self._closing = False
        self._lost = False
        self._paused: list[bytes] | None = None
        self._arrival = 0.0
        self.local, self.peer = local, peer
        self.other: MemoryTransport | None = None
        #: bytes that a cut path holds back; a reset discards them
        self.held: list[bytes] = []
        #: bytes vanish and nothing is said
        self.silent = False

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Change who gets the bytes."""
        self._protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return who gets the bytes."""
        return self._protocol  # type: ignore[no-any-return]

    def is_closing(self) -> bool:
        """Answer whether the connection ends."""
        return self._closing

    def write(self, data: Any) -> None:
        """Send bytes."""
        other = self.other
        if self._closing or other is None or self.silent or not data:
            return
        if self._loop.network.is_held(self):
            self.held.append(bytes(data))
            return
        self._loop.call_at(self._next_arrival(), other.receive, bytes(data))

    def receive(self, data: bytes) -> None:
        """Take in bytes of the other end."""
        if self._lost or self.silent:
            return
        if self._paused is not None:
            self._paused.append(data)
        else:
            self._protocol.data_received(data)

    def pause_reading(self) -> None:
        """Hold bytes back."""
        if self._paused is None:
            self._paused = []

    def resume_reading(self) -> None:
        """Give the bytes that were held back."""
        held, self._paused = self._paused, None
        for data in held or ():
            self._loop.call_soon(self.receive, data)

    def is_reading(self) -> bool:
        """Answer whether bytes are given on."""
        return self._paused is None

    def get_write_buffer_size(self) -> int:
        """Return that nothing waits."""
        return 0

    def can_write_eof(self) -> bool:
        """Answer that only both directions end."""
        return False

    def close(self) -> None:
        """End the connection after what was written."""
        self._end(None)

    def abort(self) -> None:
        """Reset the connection."""
        self._end(ConnectionResetError("reset"))

    def _end(self, exc: Exception | None) -> None:
        if self._closing:
            return
        self._closing = True
        self.held.clear()
        self._loop.call_soon(self._lose, None)
        other = self.other
        if other is not None and not self.silent:
            self._loop.call_at(self._next_arrival(), other.end_by_peer, exc)

    def _next_arrival(self) -> float:
        """Return when what is sent now arrives, in the order in which it was sent."""
        self._arrival = max(self._loop.time() + _DELAY_S, self._arrival + _ORDER_S)
        return self._arrival

    def end_by_peer(self, exc: Exception | None) -> None:
        """Take in that the other end closed or reset."""
        if self.silent or self._lost:
            return
        if exc is None and not self._closing:
            self._protocol.eof_received()
        self._closing = True
        self._lose(exc)

    def _lose(self, exc: Exception | None) -> None:
        if not self._lost:
            self._lost = True
            self._protocol.connection_lost(exc)


class _MemoryServer:
    def __init__(self, network: MemoryNetwork, address: str) -> None:
        self._network, self._address = network, address

    def close(self) -> None:
        """Take no more connections."""
        self._network.listeners.pop(self._address, None)


class MemoryNetwork:
    """Hold listeners and connections, and what is wrong with the paths between them."""

    def __init__(self) -> None:
        self.listeners: dict[str, Callable[[], asyncio.BaseProtocol]] = {}
        self.connections: list[MemoryTransport] = []
        #: addresses that don't answer at all
        self.dark: set[str] = set()
        self.held_hosts: set[str] = set()

    def hold(self, host: str) -> None:
        """Hold back what a host and others send each other; the host reaches itself."""
        self.held_hosts.add(host)

    def release(self) -> None:
        """Deliver what was held back."""
        self.held_hosts.clear()
        for transport in self.connections:
            held, transport.held = transport.held, []
            for data in held:
                transport.write(data)

    def is_held(self, transport: MemoryTransport) -> bool:
        """Answer whether a connection's path is cut."""
        ends = {transport.local.split(":")[0], transport.peer.split(":")[0]}
        return len(ends) > 1 and bool(ends & self.held_hosts)

    def cut(self, host: str, *, silent: bool = False) -> None:
        """Reset, or silence for good, all connections of a host."""
        for transport in list(self.connections):
            if host in (transport.local.split(":")[0], transport.peer.split(":")[0]):
                if silent:
                    transport.silent = True
                else:
                    transport.abort()

    def remove(self, host: str) -> None:
        """Let a host vanish: its connections are reset and it listens no more."""
        for address in [row for row in self.listeners if row.split(":")[0] == host]:
            del self.listeners[address]
        self.cut(host)


class VirtualLoop(asyncio.BaseEventLoop):
    """Run callbacks in order of their time without waiting."""

    def __init__(self) -> None:
        super().__init__()
        self._selector = _Clock()
        self.network = MemoryNetwork()
        self._ports = 40_000

    def time(self) -> float:
        """Return the virtual time, in s."""
        return self._selector.now

    def _process_events(self, event_list: list[Any]) -> None:
        del event_list

    def _write_to_self(self) -> None:
        pass

    async def create_server(  # type: ignore[override]
        self, protocol_factory: _Factory, host: str, port: int, **options: Any
    ) -> _MemoryServer:
        """Listen in memory."""
        del options
        address = f"{host}:{port}"
        if address in self.network.listeners:
            raise OSError(f"{address} is in use")
        self.network.listeners[address] = protocol_factory
        return _MemoryServer(self.network, address)

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: _Factory, host: str, port: int, **options: Any
    ) -> tuple[MemoryTransport, Any]:
        """Connect in memory; the host that connects is the one that is run as."""
        del options
        address = f"{host}:{port}"
        await asyncio.sleep(_DELAY_S)
        ends = {host, RUNNING_AS.get()}
        while address in self.network.dark or (len(ends) > 1 and ends & self.network.held_hosts):
            await asyncio.sleep(1.0)
        accept = self.network.listeners.get(address)
        if accept is None:
            raise ConnectionRefusedError(address)
        self._ports += 1
        local = f"{RUNNING_AS.get()}:{self._ports}"
        client, server = protocol_factory(), accept()
        near = MemoryTransport(self, client, local, address)
        far = MemoryTransport(self, server, address, local)
        near.other, far.other = far, near
        self.network.connections += [near, far]
        server.connection_made(far)
        client.connection_made(near)
        return near, client


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
