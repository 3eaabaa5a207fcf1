"""Connect a gateway to simulated upstreams over socket pairs, in a single thread."""

from __future__ import annotations

import contextlib
import random
import socket
import time
from typing import TYPE_CHECKING, NamedTuple

from balsamhead.errors import CallError
from balsamhead.proxy import ProxyConfig
from balsamhead.proxy._dispatch import Dispatcher
from balsamhead.proxy._gateway import Gateway
from balsamhead.proxy._http import read_request_head
from balsamhead.proxy._pool import ConnectionPool, UpstreamConnection
from balsamhead.proxy._stream import DeadlineReader
from tests.test_routing.builders import (
    READ,
    WRITE,
    make_config,
    make_member,
    make_snapshot,
)

if TYPE_CHECKING:
    from urllib3.connection import HTTPConnection

    from balsamhead.routing import Endpoint

#: behaviours of an upstream; each name tells whether the request is run
UPSTREAM_BEHAVIOURS = (
    "answer",
    "answer-twice",
    "answer-and-close",
    "shed",
    "close-unrun",
    "close-after-run",
    "half-head-after-run",
    "half-body-after-run",
    "garbage-after-run",
    "odd-status-after-run",
    "interim-status-after-run",
    "silent-unrun",
    "silent-after-run",
    "refuse-connection",
)


class Outcome(NamedTuple):
    """Response that a caller received; the status is 0 if there was none."""

    status: int
    outcome: str
    body: bytes


class _FakeConnection:
    """Replace urllib3's connection by one end of a socket pair."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock: socket.socket | None = sock

    def close(self) -> None:
        assert self.sock is not None
        self.sock.close()


class _NotifyingSocket(socket.socket):
    """Run the simulated upstream as soon as bytes are sent."""

    oracle: SimulatedUpstreams
    upstream_sock: socket.socket

    def send(self, data: bytes, *args: int) -> int:  # type: ignore[override]
        sent = super().send(data, *args)
        self.oracle.handle_request(self.upstream_sock)
        return sent


class SimulatedUpstreams:
    """Simulate all upstreams by a list of behaviours and count the runs of each request."""

    def __init__(self) -> None:
        self.fates: list[str] = []
        self.runs: dict[str, int] = {}
        self.open_sockets: list[socket.socket] = []
        self.delayed: list[tuple[socket.socket, bytes]] = []

    def connect(self, endpoint: Endpoint, timeout_s: float) -> UpstreamConnection:
        if self._peek_fate() == "refuse-connection":
            self.fates.pop(0)
            raise CallError("refused", step="connect", peer=endpoint.node)
        proxy_sock, upstream_sock = socket.socketpair()
        sock = _NotifyingSocket(fileno=proxy_sock.detach())
        sock.oracle, sock.upstream_sock = self, upstream_sock
        self.open_sockets.append(upstream_sock)
        conn: HTTPConnection = _FakeConnection(sock)  # type: ignore[assignment]
        return UpstreamConnection(endpoint, conn)

    def _peek_fate(self) -> str:
        return self.fates[0] if self.fates else "answer"

    def handle_request(self, upstream_sock: socket.socket) -> None:
        data = upstream_sock.recv(65536)
        request_id = _find_header(data, b"x-request-id")
        fate = self.fates.pop(0) if self.fates else "answer"
        if fate == "refuse-connection":
            fate = "answer"
        if fate not in ("shed", "close-unrun", "silent-unrun"):
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self._send_delayed(upstream_sock)
        self._respond(upstream_sock, fate, request_id.encode())

    def _respond(self, upstream_sock: socket.socket, fate: str, body: bytes) -> None:
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        match fate:
            case "answer":
                upstream_sock.sendall(answer)
            case "answer-twice":
                upstream_sock.sendall(answer + answer)
            case "answer-and-close":
                upstream_sock.sendall(answer.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n"))
                upstream_sock.close()
            case "shed":
                upstream_sock.sendall(b"HTTP/1.1 503 No\r\nX-Shed: 1\r\nContent-Length: 0\r\n\r\n")
            case "half-head-after-run":
                upstream_sock.sendall(answer[:25])
                upstream_sock.close()
            case "half-body-after-run":
                upstream_sock.sendall(answer[:-1])
                upstream_sock.close()
            case "garbage-after-run":
                upstream_sock.sendall(b"what\r\n\r\n")
            case "odd-status-after-run":
                upstream_sock.sendall(answer.replace(b" 200 ", b" 999 ", 1))
            case "interim-status-after-run":
                upstream_sock.sendall(answer.replace(b" 200 ", b" 103 ", 1))
            case "silent-unrun" | "silent-after-run":
                self.delayed.append((upstream_sock, answer))
            case _:
                upstream_sock.close()

    def _send_delayed(self, upstream_sock: socket.socket) -> None:
        # responses on a connection are sent in the order of its requests
        delayed_answers = [answer for sock, answer in self.delayed if sock is upstream_sock]
        self.delayed = [row for row in self.delayed if row[0] is not upstream_sock]
        for answer in delayed_answers:
            _send_quietly(upstream_sock, answer)

    def send_delayed_responses(self) -> None:
        """Send the responses that upstreams have delayed."""
        delayed, self.delayed = self.delayed, []
        for upstream_sock, answer in delayed:
            _send_quietly(upstream_sock, answer)

    def send_unsolicited_responses(self) -> None:
        """Send an unsolicited response on every open connection."""
        for upstream_sock in self.open_sockets:
            _send_quietly(upstream_sock, b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")


def _send_quietly(upstream_sock: socket.socket, data: bytes) -> None:
    with contextlib.suppress(OSError):
        upstream_sock.sendall(data)


def _find_header(data: bytes, name: bytes) -> str:
    for line in data.split(b"\r\n"):
        key, _, value = line.partition(b":")
        if key.lower() == name:
            return value.strip().decode()
    return ""


class Network:
    """Run a gateway with three simulated upstreams.

    :param all_idempotent: declare every route idempotent.
    """

    def __init__(self, *, all_idempotent: bool = False) -> None:
        cfg = ProxyConfig("127.0.0.1", 0, max_waiting_calls=0)
        self.now = 0.0
        self.upstreams = SimulatedUpstreams()
        self.dispatcher = Dispatcher(cfg, random.Random(1), clock=lambda: self.now)
        self.pool = ConnectionPool(idle_timeout_s=3600.0, opener=self.upstreams.connect)
        self.gateway = Gateway(cfg, self.dispatcher, self.pool)
        members = [make_member(f"n{number}") for number in range(3)]
        routes = (READ, WRITE._replace(idempotent=all_idempotent))
        self.dispatcher.update_snapshot(make_snapshot(members, config=make_config(routes)))

    def call(
        self, request_id: str, *, idempotent: bool, behaviours: list[str], disconnect: bool
    ) -> Outcome:
        """Run one call whose attempts meet the given upstream behaviours in turn.

        :param disconnect: whether the caller closes its connection after sending the request.
        """
        self.upstreams.fates = list(behaviours)
        # advance the clock past the back-off of any upstream
        self.now += 20.0
        is_silent = any(fate.startswith("silent") for fate in behaviours)
        line = b"GET /read/1" if idempotent else b"POST /write/1"
        lines = [line + b" HTTP/1.1", b"Host: mesh.test", b"X-Request-Id: " + request_id.encode()]
        if is_silent and not disconnect:
            # the deadline passes immediately, so that the test need not wait for it
            lines.append(b"X-Deadline-Ms: 0")
        proxy_sock, caller_sock = socket.socketpair()
        with proxy_sock, caller_sock:
            caller_sock.sendall(b"\r\n".join(lines) + b"\r\n\r\n")
            proxy_sock.setblocking(False)
            reader = DeadlineReader(proxy_sock)
            reader.set_deadline(time.monotonic() + 5)
            head = read_request_head(reader, limit=10_000)
            assert head is not None
            if disconnect:
                caller_sock.shutdown(socket.SHUT_WR)
            self.gateway.serve(head, proxy_sock, reader)
            proxy_sock.shutdown(socket.SHUT_WR)
            return _read_outcome(caller_sock)

    def close(self) -> None:
        self.pool.close()
        for upstream_sock in self.upstreams.open_sockets:
            upstream_sock.close()


def _read_outcome(caller_sock: socket.socket) -> Outcome:
    data = b""
    while piece := caller_sock.recv(65536):
        data += piece
    if not data:
        return Outcome(0, "", b"")
    head, _, body = data.partition(b"\r\n\r\n")
    return Outcome(int(head.split()[1]), _find_header(head, b"x-balsamhead-outcome"), body)
