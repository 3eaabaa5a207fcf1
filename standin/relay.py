"""Simulate the link between two regions: a TCP relay with a delay and limited bandwidth.

Run ``python -m standin.relay --listen IP:PORT --to IP:PORT``, with one pair of options for
each node; all pairs share the bandwidth of each direction. ``--pair`` also names the regions.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
import threading
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Annotated, Any, Final, NamedTuple

import cappa
from cheroot.wsgi import Server as WsgiServer

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

__all__ = ("Pair", "Relay", "RelayMode", "parse_pair")

#: largest chunk that is read at once, in bytes
CHUNK_BYTES: Final = 16 * 1024

#: limit on the bytes in transit in one direction of a connection
WINDOW_BYTES: Final = 256 * 1024

DEFAULT_DELAY_MS: Final = 8.0
DEFAULT_RATE_MBIT: Final = 30.0


class Pair(NamedTuple):
    """Addresses where the relay listens and connects to, and the regions on both sides."""

    #: "address:port" that accepts connections from the source region
    listen: str
    #: "address:port" in the target region
    to: str
    source: str = "a"
    target: str = "b"


def parse_pair(text: str) -> Pair:
    """Parse "LISTEN,TO" or "LISTEN,TO,SOURCE,TARGET".

    :raises ValueError: the text is in neither form.
    """
    parts = text.split(",")
    if len(parts) not in (2, 4):
        raise ValueError(f"a pair is LISTEN,TO or LISTEN,TO,SOURCE,TARGET, not {text!r}")
    return Pair(*parts)


class RelayMode(Enum):
    """What the relay does with the data of its connections."""

    PASS = "pass"
    #: data of existing and new connections is discarded
    CUT = "cut"


class _SharedLink:
    """Schedule the bytes of all connections in one direction over a link of limited bandwidth."""

    def __init__(self, rate_bytes_s: float) -> None:
        self._rate_bytes_s = rate_bytes_s
        self._free_at = 0.0
        self.sent_bytes = 0

    def reserve(self, size: int, now: float) -> float:
        """Return the time at which a chunk of ``size`` bytes received now has been transmitted."""
        self.sent_bytes += size
        self._free_at = max(self._free_at, now) + size / self._rate_bytes_s
        return self._free_at


class _Connection:
    """The two sockets of one relayed connection, and its task."""

    def __init__(self) -> None:
        self.is_blackholed = False
        self.writers: list[asyncio.StreamWriter] = []
        # The event loop keeps only weak references to tasks. While the data of a connection is
        # discarded, this can be the only strong reference to its task, and keeps it alive.
        self.task = asyncio.current_task()

    def abort(self) -> None:
        for writer in self.writers:
            writer.transport.abort()
        if self.task is not None and self.task is not asyncio.current_task():
            self.task.cancel()


class Relay:
    """Relay TCP connections between regions in a background thread; thread-safe."""

    def __init__(
        self,
        pairs: Iterable[Pair],
        *,
        delay_ms: float = DEFAULT_DELAY_MS,
        rate_mbit: float = DEFAULT_RATE_MBIT,
    ) -> None:
        self._pairs = tuple(pairs)
        self._delay_s = delay_ms / 1000
        self._rate_bytes_s = rate_mbit * 1_000_000 / 8
        self._mode = RelayMode.PASS
        self._links: dict[tuple[str, str], _SharedLink] = {}
        self._connections: set[_Connection] = set()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, name="relay", daemon=True)
        self._servers: list[asyncio.Server] = []
        #: addresses that accept connections, in the order of the pairs
        self.addresses: tuple[str, ...] = ()

    def start(self) -> None:
        """Start the thread and accept connections."""
        self._thread.start()
        asyncio.run_coroutine_threadsafe(self._listen(), self._loop).result()

    def stop(self) -> None:
        """Close all connections and stop the thread."""
        asyncio.run_coroutine_threadsafe(self._close_all(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def cut(self) -> None:
        """Discard the data of existing and new connections until ``restore`` is called."""
        self._call(self._cut)

    def blackhole_connections(self) -> None:
        """Discard all further data of the existing connections; new ones are not affected."""
        self._call(self._silence)

    def reset(self) -> None:
        """Abort the existing connections; new ones are not affected."""
        self._call(self._reset)

    def restore(self) -> None:
        """Forward data again after ``cut`` and abort all existing connections."""
        self._call(self._mend)

    def count_bytes(self) -> dict[str, int]:
        """Return the number of bytes received for each direction, keyed by "source>target"."""
        return {
            f"{source}>{target}": link.sent_bytes for (source, target), link in self._links.items()
        }

    def count_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def _call(self, action: Callable[[], None]) -> None:
        async def run() -> None:
            action()

        asyncio.run_coroutine_threadsafe(run(), self._loop).result()

    def _cut(self) -> None:
        self._mode = RelayMode.CUT
        self._silence()

    def _silence(self) -> None:
        for conn in self._connections:
            conn.is_blackholed = True

    def _reset(self) -> None:
        for conn in self._connections:
            conn.abort()

    def _mend(self) -> None:
        self._mode = RelayMode.PASS
        self._reset()

    async def _listen(self) -> None:
        for pair in self._pairs:
            host, _, port = pair.listen.rpartition(":")
            handle_connection = self._make_connection_handler(pair)
            server = await asyncio.start_server(
                handle_connection, host, int(port), limit=CHUNK_BYTES
            )
            self._servers.append(server)
        bound = (server.sockets[0].getsockname() for server in self._servers)
        self.addresses = tuple(f"{host}:{port}" for host, port in bound)

    async def _close_all(self) -> None:
        for server in self._servers:
            server.close()
        self._reset()
        current = asyncio.current_task()
        tasks = [task for task in asyncio.all_tasks() if task is not current]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _make_connection_handler(self, pair: Pair) -> Callable[..., Any]:
        async def handle_connection(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            conn = _Connection()
            conn.writers.append(writer)
            conn.is_blackholed = self._mode is RelayMode.CUT
            self._connections.add(conn)
            try:
                await self._relay(pair, conn, reader, writer)
            except (OSError, asyncio.CancelledError):
                # One side failed, or the relay is being stopped.
                pass
            finally:
                conn.abort()
                self._connections.discard(conn)

        return handle_connection

    async def _relay(
        self,
        pair: Pair,
        conn: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        host, _, port = pair.to.rpartition(":")
        target_reader, target_writer = await asyncio.open_connection(
            host, int(port), limit=CHUNK_BYTES
        )
        conn.writers.append(target_writer)
        outbound = self._get_link(pair.source, pair.target)
        inbound = self._get_link(pair.target, pair.source)
        directions = (
            asyncio.ensure_future(self._forward(conn, reader, target_writer, outbound)),
            asyncio.ensure_future(self._forward(conn, target_reader, writer, inbound)),
        )
        try:
            await asyncio.gather(*directions)
        finally:
            for direction in directions:
                direction.cancel()

    def _get_link(self, source: str, target: str) -> _SharedLink:
        return self._links.setdefault((source, target), _SharedLink(self._rate_bytes_s))

    async def _forward(
        self,
        conn: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        link: _SharedLink,
    ) -> None:
        queue = _DelayQueue()
        delivery = asyncio.ensure_future(self._deliver(conn, writer, queue))
        try:
            while data := await reader.read(CHUNK_BYTES):
                sent_at = link.reserve(len(data), self._loop.time())
                queue.push(data, sent_at + self._delay_s)
                await queue.wait_for_space()
            queue.push(b"", self._loop.time() + self._delay_s)
            await delivery
        finally:
            delivery.cancel()

    async def _deliver(
        self, conn: _Connection, writer: asyncio.StreamWriter, queue: _DelayQueue
    ) -> None:
        while True:
            data, due = await queue.pop()
            await asyncio.sleep(max(0.0, due - self._loop.time()))
            if conn.is_blackholed:
                # Neither the data nor the end of the stream is forwarded.
                continue
            if not data:
                with contextlib.suppress(OSError):
                    writer.write_eof()
                return
            writer.write(data)
            await writer.drain()


class _DelayQueue:
    """Queue the chunks in transit in one direction of a connection."""

    def __init__(self) -> None:
        self._chunks: deque[tuple[bytes, float]] = deque()
        self._size = 0
        self._changed = asyncio.Event()
        self._has_space = asyncio.Event()
        self._has_space.set()

    def push(self, data: bytes, due: float) -> None:
        """Add a chunk that is to be delivered at ``due``, a time of the event loop's clock."""
        self._chunks.append((data, due))
        self._size += len(data)
        self._changed.set()
        if self._size >= WINDOW_BYTES:
            self._has_space.clear()

    async def wait_for_space(self) -> None:
        """Wait until fewer than ``WINDOW_BYTES`` bytes are in transit."""
        await self._has_space.wait()

    async def pop(self) -> tuple[bytes, float]:
        """Remove and return the next chunk and its delivery time; wait if there is none."""
        while not self._chunks:
            self._changed.clear()
            await self._changed.wait()
        data, due = self._chunks.popleft()
        self._size -= len(data)
        if self._size < WINDOW_BYTES:
            self._has_space.set()
        return data, due


@dataclass
class Options:
    """Relay TCP between two regions, with a delay and limited bandwidth."""

    listen: Annotated[list[str], cappa.Arg(long=True, help="IP:PORT, one for each --to")] = field(
        default_factory=list
    )
    to: Annotated[list[str], cappa.Arg(long=True, help="IP:PORT")] = field(default_factory=list)
    pair: Annotated[
        list[str], cappa.Arg(long=True, help="LISTEN,TO,SOURCE,TARGET with names of regions")
    ] = field(default_factory=list)
    delay_ms: Annotated[float, cappa.Arg(long=True, help="delay each way, in ms")] = (
        DEFAULT_DELAY_MS
    )
    rate_mbit: Annotated[float, cappa.Arg(long=True, help="rate each way, in Mbit/s")] = (
        DEFAULT_RATE_MBIT
    )
    control: Annotated[
        str, cappa.Arg(long=True, help="IP:PORT for GET /counts, POST /cut /silence /reset /mend")
    ] = ""


def _serve_control(relay: Relay, address: str) -> None:
    actions = {
        "/cut": relay.cut,
        "/silence": relay.blackhole_connections,
        "/reset": relay.reset,
        "/mend": relay.restore,
    }

    def handle(environ: dict[str, Any], start_response: Callable[..., Any]) -> Sequence[bytes]:
        path = environ["PATH_INFO"]
        if environ["REQUEST_METHOD"] == "POST" and path in actions:
            actions[path]()
        elif path != "/counts":
            start_response("404 Not Found", [])
            return [b""]
        counts = {"bytes": relay.count_bytes(), "connections": relay.count_connections()}
        start_response("200 OK", [("Content-Type", "application/json")])
        return [json.dumps(counts).encode()]

    host, _, port = address.rpartition(":")
    server = WsgiServer((host, int(port)), handle, numthreads=1)
    server.safe_start()


def main() -> int:
    """Run the relay until it receives SIGINT."""
    options = cappa.parse(Options)
    pairs = [Pair(*addresses) for addresses in zip(options.listen, options.to, strict=True)]
    pairs.extend(parse_pair(text) for text in options.pair)
    relay = Relay(pairs, delay_ms=options.delay_ms, rate_mbit=options.rate_mbit)
    relay.start()
    print("relay listens on", *relay.addresses, flush=True)
    try:
        if options.control:
            _serve_control(relay, options.control)
        else:
            threading.Event().wait()
    except KeyboardInterrupt:
        pass
    relay.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
