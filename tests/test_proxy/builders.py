"""Run a caller-facing server with scripted upstreams on loopback."""

from __future__ import annotations

import contextlib
import random
import socket
import threading
from typing import TYPE_CHECKING

import urllib3

from balsamhead.proxy import CallerServer, ProxyConfig
from standin.upstream import Faults, Upstream, UpstreamConfig
from tests.test_routing.builders import HOST, make_member, make_snapshot

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from balsamhead.fold import ConfigState


class ScriptedUpstream:
    """Accept connections, count them, and run a script on each."""

    def __init__(self, script: Callable[[socket.socket], None]) -> None:
        self._script = script
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._listener.getsockname()[1]
        self.accepted = 0
        self.is_closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            self.accepted += 1
            threading.Thread(target=self._run, args=(conn,), daemon=True).start()

    def _run(self, conn: socket.socket) -> None:
        with conn, contextlib.suppress(OSError):
            conn.settimeout(10)
            self._script(conn)

    def close(self) -> None:
        self.is_closed = True
        # a thread blocked in accept() would keep the port open
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()


def read_request(conn: socket.socket) -> bytes:
    """Read one message, with its body if it has a Content-Length."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = conn.recv(65536)
        if not piece:
            return data
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    while len(body) < length:
        body += conn.recv(65536)
    return head + b"\r\n\r\n" + body


@contextlib.contextmanager
def run_server(
    ports: list[int],
    *,
    config: ConfigState | None = None,
    slots: int = 6,
    cfg: ProxyConfig | None = None,
) -> Iterator[CallerServer]:
    """Run a caller-facing server that routes to upstreams on the given ports."""
    cfg = cfg or ProxyConfig("127.0.0.1", 0, worker_threads=12, reserved_threads=4)
    server = CallerServer.from_config(cfg, rng=random.Random(1))
    server.start()
    members = [make_member(f"n{i}", port=port, slots=slots) for i, port in enumerate(ports)]
    server.update_snapshot(make_snapshot(members, config=config))
    try:
        yield server
    finally:
        server.stop(0.0)


@contextlib.contextmanager
def run_upstreams(
    count: int = 1, *, slots: int = 6, faults: Faults | None = None
) -> Iterator[list[Upstream]]:
    """Run test upstreams on ports chosen by the system."""
    upstreams = []
    for number in range(count):
        cfg = UpstreamConfig("127.0.0.1", 0, "desk", "v1", slots, seed=number)
        upstream = Upstream.from_config(cfg, faults=faults)
        upstream.start()
        upstreams.append(upstream)
    try:
        yield upstreams
    finally:
        for upstream in upstreams:
            upstream.stop()


def get_port(upstream: Upstream) -> int:
    return int(upstream.address.rpartition(":")[2])


def exchange(server: CallerServer, data: bytes, *, timeout_s: float = 10.0) -> bytes:
    """Send raw bytes on a new connection and read one response."""
    host, _, port = server.address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=timeout_s) as conn:
        conn.sendall(data)
        return read_response(conn)


def read_response(conn: socket.socket) -> bytes:
    """Read one response, or what arrives of it before the connection closes."""
    return read_request(conn)


def call(
    server: CallerServer,
    method: str,
    path: str,
    *,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> urllib3.BaseHTTPResponse:
    """Send a request with an HTTP client that does not retry."""
    return urllib3.request(
        method,
        f"http://{server.address}{path}",
        body=body,
        headers={"host": HOST} | (headers or {}),
        retries=False,
        timeout=10.0,
    )
