from __future__ import annotations

import contextlib
import socket
import threading
from typing import TYPE_CHECKING

import pytest

from standin.relay import Pair, Relay, _SharedLink, parse_pair

if TYPE_CHECKING:
    from collections.abc import Iterator

#: timeout of a socket operation that should complete at once, in s
SOCKET_TIMEOUT_S = 20.0


@contextlib.contextmanager
def serve_echo() -> Iterator[str]:
    server = socket.create_server(("127.0.0.1", 0))

    def echo(conn: socket.socket) -> None:
        with conn, contextlib.suppress(OSError):
            while data := conn.recv(65536):
                conn.sendall(data)

    def accept() -> None:
        with contextlib.suppress(OSError):
            while True:
                conn, _ = server.accept()
                threading.Thread(target=echo, args=(conn,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    host, port = server.getsockname()
    try:
        yield f"{host}:{port}"
    finally:
        server.close()


@contextlib.contextmanager
def open_relay(count: int = 1, *, rate_mbit: float = 1000.0) -> Iterator[Relay]:
    with serve_echo() as target:
        pairs = [Pair("127.0.0.1:0", target, "east", "west") for _ in range(count)]
        relay = Relay(pairs, delay_ms=1, rate_mbit=rate_mbit)
        relay.start()
        try:
            yield relay
        finally:
            relay.stop()


def connect(relay: Relay, number: int = 0) -> socket.socket:
    host, port = relay.addresses[number].split(":")
    conn = socket.create_connection((host, int(port)), timeout=SOCKET_TIMEOUT_S)
    conn.settimeout(SOCKET_TIMEOUT_S)
    return conn


def exchange(conn: socket.socket, data: bytes) -> bytes:
    threading.Thread(target=conn.sendall, args=(data,), daemon=True).start()
    received = b""
    while len(received) < len(data):
        chunk = conn.recv(65536)
        if not chunk:
            break
        received += chunk
    return received


def wait_for_connections(relay: Relay, count: int) -> None:
    while relay.count_connections() != count:
        pass


def test_bytes_are_relayed_unchanged_and_counted_per_direction() -> None:
    data = bytes(range(256)) * 4000
    with open_relay(2) as relay, connect(relay, 0) as first, connect(relay, 1) as second:
        assert exchange(first, data) == data
        assert exchange(second, b"x" * 10) == b"x" * 10
        total = len(data) + 10
        assert relay.count_bytes() == {"east>west": total, "west>east": total}


def test_silenced_connection_drops_data_and_new_connections_work() -> None:
    with open_relay() as relay, connect(relay) as old:
        assert exchange(old, b"before") == b"before"
        relay.blackhole_connections()
        old.sendall(b"lost")
        with connect(relay) as new:
            assert exchange(new, b"after") == b"after"
        old.setblocking(False)
        with pytest.raises(BlockingIOError):
            old.recv(1)


def test_cut_drops_data_of_old_and_new_connections_until_mended() -> None:
    with open_relay() as relay, connect(relay) as old:
        assert exchange(old, b"before") == b"before"
        relay.cut()
        with connect(relay) as during:
            wait_for_connections(relay, 2)
            during.sendall(b"lost")
            relay.restore()
            for conn in (old, during):
                with contextlib.suppress(ConnectionResetError):
                    assert conn.recv(1) == b""
        with connect(relay) as after:
            assert exchange(after, b"after") == b"after"


def test_shared_link_schedules_chunks_at_its_rate() -> None:
    link = _SharedLink(1000.0)
    assert [link.reserve(500, 10.0) for _ in range(3)] == [10.5, 11.0, 11.5]
    assert link.reserve(100, 20.0) == pytest.approx(20.1)
    assert link.sent_bytes == 1600


def test_pair_is_parsed_with_and_without_regions() -> None:
    assert parse_pair("h:1,h:2") == Pair("h:1", "h:2", "a", "b")
    assert parse_pair("h:1,h:2,east,west") == Pair("h:1", "h:2", "east", "west")
    with pytest.raises(ValueError, match="LISTEN,TO"):
        parse_pair("h:1")
