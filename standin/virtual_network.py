"""Run event loops on a virtual clock, over a network in memory with fault injection."""

from __future__ import annotations

import asyncio
import selectors
from collections import Counter
from contextvars import ContextVar, copy_context
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("CURRENT_HOST", "MemoryNetwork", "MemoryTransport", "VirtualLoop")

#: network delay in each direction, in s
_DELAY_S: Final = 0.0005
#: bytes that one end hasn't read above which the other one is asked to pause writing
_MAX_UNREAD_BYTES: Final = 64 << 10
#: shortest time between two deliveries on a connection, which keeps them in order, in s
_DELIVERY_GAP_S: Final = 1e-9

#: IP address of the simulated host on which the current task runs
CURRENT_HOST: ContextVar[str] = ContextVar("RUNNING_AS", default="127.0.0.1")

_ProtocolFactory = Any


class _VirtualClockSelector(selectors.BaseSelector):
    """Advance a virtual clock instead of waiting for I/O."""

    def __init__(self) -> None:
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the clock by the timeout.

        :raises RuntimeError: the loop has no scheduled callback, so it would wait for ever.
        """
        if timeout is None:
            raise RuntimeError("deadlock: the event loop has no scheduled callback")
        self.now += max(0.0, timeout)
        return []

    def register(self, fileobj: Any, events: int, data: Any = None) -> Any:
        """Raise NotImplementedError: the loop does no I/O on files."""
        raise NotImplementedError

    def unregister(self, fileobj: Any) -> Any:
        """Raise NotImplementedError: the loop does no I/O on files."""
        raise NotImplementedError

    def get_map(self) -> Any:
        """Return an empty mapping, as no file is registered."""
        return {}

    def close(self) -> None:
        """Do nothing."""


class MemoryTransport(asyncio.Transport):
    """Transport at one end of a connection in memory."""

    def __init__(
        self, loop: VirtualLoop, protocol: asyncio.BaseProtocol, local: str, peer: str
    ) -> None:
        super().__init__({"peername": _split_address(peer), "sockname": _split_address(local)})
        self._loop = loop
        self._protocol: Any = protocol
        self._is_closing = False
        self._is_connection_lost = False
        #: data received while reading is paused; None while reading
        self._unread: list[bytes] | None = None
        #: the other end has been asked to pause writing
        self._is_pressing_back = False
        self._last_arrival = 0.0
        self.local, self.peer = local, peer
        #: context of this end's host, in which its protocol is called
        self.context = copy_context()
        self.context.run(CURRENT_HOST.set, local.split(":")[0])
        self.other: MemoryTransport | None = None
        #: data written while the path is held; discarded when the connection is closed or aborted
        self.held_data: list[bytes] = []
        #: whether data to and from this end, and the notice that the connection ended, are dropped
        self.is_blackholed = False

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Replace the protocol that receives the data."""
        self._protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol that receives the data."""
        return self._protocol  # type: ignore[no-any-return]

    def is_closing(self) -> bool:
        """Return whether the transport is closing or closed."""
        return self._is_closing

    def write(self, data: Any) -> None:
        """Send data to the other end, or buffer it while the path is held."""
        other = self.other
        if self._is_closing or other is None or self.is_blackholed or not data:
            return
        if self._loop.network.is_path_cut(self):
            return
        if self._loop.network.is_path_held(self):
            self.held_data.append(bytes(data))
            return
        self._loop.call_at(
            self._next_arrival(len(data)), other.receive, bytes(data), context=other.context
        )

    def receive(self, data: bytes) -> None:
        """Pass data from the other end to the protocol, or buffer it while reading is paused."""
        if self._is_connection_lost or self.is_blackholed:
            return
        if self._unread is not None:
            self._unread.append(data)
            self._press_back()
        else:
            self._protocol.data_received(data)

    def _press_back(self) -> None:
        """Ask the other end to pause writing while too much is unread, and to go on after it."""
        is_full = self._unread is not None and sum(map(len, self._unread)) > _MAX_UNREAD_BYTES
        other = self.other
        if is_full == self._is_pressing_back or other is None or other._is_connection_lost:
            return
        self._is_pressing_back = is_full
        change = other._protocol.pause_writing if is_full else other._protocol.resume_writing
        self._loop.call_soon(change, context=other.context)

    def pause_reading(self) -> None:
        """Buffer received data until ``resume_reading``."""
        if self._unread is None:
            self._unread = []

    def resume_reading(self) -> None:
        """Pass the buffered data to the protocol and stop buffering."""
        chunks, self._unread = self._unread, None
        self._press_back()
        for data in chunks or ():
            self._loop.call_soon(self.receive, data, context=self.context)

    def is_reading(self) -> bool:
        """Return whether received data is passed to the protocol."""
        return self._unread is None

    def get_write_buffer_size(self) -> int:
        """Return 0: writes are never reported as pending."""
        return 0

    def can_write_eof(self) -> bool:
        """Return False: one direction alone can't be closed."""
        return False

    def close(self) -> None:
        """Close the connection after delivery of the data in transit; discard held data."""
        self._close(None)

    def abort(self) -> None:
        """Close the connection; the other end sees a reset."""
        self._close(ConnectionResetError("reset"))

    def _close(self, exc: Exception | None) -> None:
        if self._is_closing:
            return
        self._is_closing = True
        self.held_data.clear()
        if self._loop.is_closed():
            # a stream that is collected after its loop has nobody to notify
            return
        self._loop.call_soon(self._notify_connection_lost, None, context=self.context)
        other = self.other
        if (
            other is not None
            and not self.is_blackholed
            and not self._loop.network.is_path_cut(self)
        ):
            self._loop.call_at(
                self._next_arrival(), other.handle_peer_close, exc, context=other.context
            )

    def _next_arrival(self, size: int = 0) -> float:
        """Return the arrival time of data sent now, later than that of all data sent before.

        :param size: size of the data, in bytes.
        """
        sent_at = self._loop.time()
        if self.local.split(":")[0] != self.peer.split(":")[0]:
            sent_at = self._loop.network.transmit(
                self.local.split(":")[0], self.peer.split(":")[0], size, sent_at
            )
        delay_s = self._loop.network.get_delay(self.local.split(":")[0], self.peer.split(":")[0])
        self._last_arrival = max(sent_at + delay_s, self._last_arrival + _DELIVERY_GAP_S)
        return self._last_arrival

    def handle_peer_close(self, exc: Exception | None) -> None:
        """Handle that the other end closed or reset the connection."""
        if self.is_blackholed or self._is_connection_lost:
            return
        if exc is None and not self._is_closing:
            self._protocol.eof_received()
        self._is_closing = True
        self._notify_connection_lost(exc)

    def _notify_connection_lost(self, exc: Exception | None) -> None:
        if not self._is_connection_lost:
            self._is_connection_lost = True
            self._protocol.connection_lost(exc)


class _MemoryServer:
    def __init__(self, network: MemoryNetwork, address: str) -> None:
        self._network, self._address = network, address

    def close(self) -> None:
        """Stop accepting connections."""
        self._network.listeners.pop(self._address, None)


class MemoryNetwork:
    """Listeners and connections of a network in memory, and the faults to inject."""

    def __init__(self) -> None:
        self.listeners: dict[str, Callable[[], asyncio.BaseProtocol]] = {}
        self.connections: list[MemoryTransport] = []
        #: addresses to which a connect attempt gets no response
        self.unresponsive: set[str] = set()
        self.held_hosts: set[str] = set()
        #: returns whether nothing passes between two hosts; what is sent meanwhile is lost
        self.is_cut: Callable[[str, str], bool] = lambda host, peer: False
        #: rate at which a host sends to others, in bytes/s; unlimited if it is not listed
        self.send_rates: dict[str, float] = {}
        self._idle_at: dict[str, float] = {}
        #: returns the delay from one host to another, in s
        self.get_delay: Callable[[str, str], float] = lambda host, peer: _DELAY_S
        #: bytes sent from one host to another
        self.sent_bytes: Counter[tuple[str, str]] = Counter()

    def transmit(self, host: str, peer: str, size: int, now: float) -> float:
        """Return when a host has sent data, after all data that it sent before, on any connection.

        :param size: size of the data, in bytes.
        """
        self.sent_bytes[host, peer] += size
        rate = self.send_rates.get(host)
        if rate is None:
            return now
        self._idle_at[host] = max(now, self._idle_at.get(host, 0.0)) + size / rate
        return self._idle_at[host]

    def hold(self, host: str) -> None:
        """Buffer the traffic between a host and all others; its traffic to itself passes."""
        self.held_hosts.add(host)

    def release(self) -> None:
        """Deliver the buffered traffic of all hosts and stop buffering."""
        self.held_hosts.clear()
        for transport in self.connections:
            chunks, transport.held_data = transport.held_data, []
            for data in chunks:
                transport.write(data)

    def is_path_held(self, transport: MemoryTransport) -> bool:
        """Return whether traffic of a connection is buffered because of a held host."""
        hosts = {transport.local.split(":")[0], transport.peer.split(":")[0]}
        return len(hosts) > 1 and bool(hosts & self.held_hosts)

    def is_path_cut(self, transport: MemoryTransport) -> bool:
        """Return whether the traffic of a connection is lost because of a cut."""
        return self.is_cut(transport.local.split(":")[0], transport.peer.split(":")[0])

    def disconnect(self, host: str, *, blackhole: bool = False) -> None:
        """Abort the connections of a host or, if ``blackhole``, drop all their further data."""
        for transport in list(self.connections):
            if host in (transport.local.split(":")[0], transport.peer.split(":")[0]):
                if blackhole:
                    transport.is_blackholed = True
                else:
                    transport.abort()

    def remove(self, host: str) -> None:
        """Remove the listeners of a host and abort its connections."""
        for address in [listener for listener in self.listeners if listener.split(":")[0] == host]:
            del self.listeners[address]
        self.disconnect(host)


class VirtualLoop(asyncio.BaseEventLoop):
    """Event loop on a virtual clock: waits advance the clock at once."""

    def __init__(self) -> None:
        super().__init__()
        self._selector = _VirtualClockSelector()
        self.network = MemoryNetwork()
        self._last_port = 40_000

    def time(self) -> float:
        """Return the time of the virtual clock, in s."""
        return self._selector.now

    def _process_events(self, event_list: list[Any]) -> None:
        del event_list

    def _write_to_self(self) -> None:
        pass

    async def create_server(  # type: ignore[override]
        self, protocol_factory: _ProtocolFactory, host: str, port: int, **options: Any
    ) -> _MemoryServer:
        """Listen on an address of the network in memory.

        :raises OSError: the address is in use.
        """
        del options
        address = f"{host}:{port}"
        if address in self.network.listeners:
            raise OSError(f"address {address} is already in use")
        self.network.listeners[address] = protocol_factory
        return _MemoryServer(self.network, address)

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: _ProtocolFactory, host: str, port: int, **options: Any
    ) -> tuple[MemoryTransport, Any]:
        """Connect from the host of the current task (``CURRENT_HOST``) over the network in memory.

        :raises ConnectionRefusedError: nothing listens on the address.
        """
        del options
        address = f"{host}:{port}"
        own_host = CURRENT_HOST.get()
        await asyncio.sleep(2 * self.network.get_delay(own_host, host))
        hosts = {host, own_host}
        while (
            address in self.network.unresponsive
            or (len(hosts) > 1 and hosts & self.network.held_hosts)
            or self.network.is_cut(own_host, host)
        ):
            await asyncio.sleep(1.0)
        make_server_protocol = self.network.listeners.get(address)
        if make_server_protocol is None:
            raise ConnectionRefusedError(address)
        self._last_port += 1
        local = f"{CURRENT_HOST.get()}:{self._last_port}"
        client, server = protocol_factory(), make_server_protocol()
        client_transport = MemoryTransport(self, client, local, address)
        server_transport = MemoryTransport(self, server, address, local)
        client_transport.other, server_transport.other = server_transport, client_transport
        self.network.connections += [client_transport, server_transport]
        server.connection_made(server_transport)
        client.connection_made(client_transport)
        return client_transport, client


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
