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
FATES = (
    "answer",
    "answer-twice",
    "answer-and-close",
    "shed",
    "close-unrun",
    "close-after-run",
    "half-head-after-run",
    "half-body-after-run",
    "garbage-after-run",
    "silent-unrun",
    "silent-after-run",
    "refuse-connection",
)


class Outcome(NamedTuple):
    """Hold the response that a caller received; the status is 0 if there was none."""

    status: int
    outcome: str
    body: bytes


class _Connection:
    """Replace urllib3's connection by one end of a socket pair."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock: socket.socket | None = sock

    def close(self) -> None:
        assert self.sock is not None
        self.sock.close()


class _Socket(socket.socket):
    """Run the simulated upstream as soon as bytes are sent."""

    oracle: SimulatedUpstreams
    other: socket.socket

    def send(self, data: bytes, *args: int) -> int:  # type: ignore[override]
        sent = super().send(data, *args)
        self.oracle.handle_request(self.other)
        return sent


class SimulatedUpstreams:
    """Simulate all upstreams by a list of behaviours and count the runs of each request."""

    def __init__(self) -> None:
        self.fates: list[str] = []
        self.runs: dict[str, int] = {}
        self.open: list[socket.socket] = []
        self.delayed: list[tuple[socket.socket, bytes]] = []

    def connect(self, endpoint: Endpoint, timeout_s: float) -> UpstreamConnection:
        if self._peek_fate() == "refuse-connection":
            self.fates.pop(0)
            raise CallError("refused", step="connect", peer=endpoint.node)
        near, far = socket.socketpair()
        sock = _Socket(fileno=near.detach())
        sock.oracle, sock.other = self, far
        self.open.append(far)
        conn: HTTPConnection = _Connection(sock)  # type: ignore[assignment]
        return UpstreamConnection(endpoint, conn)

    def _peek_fate(self) -> str:
        return self.fates[0] if self.fates else "answer"

    def handle_request(self, far: socket.socket) -> None:
        data = far.recv(65536)
        request_id = _find_header(data, b"x-request-id")
        fate = self.fates.pop(0) if self.fates else "answer"
        if fate == "refuse-connection":
            fate = "answer"
        if fate not in ("shed", "close-unrun", "silent-unrun"):
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self._send_delayed(far)
        self._respond(far, fate, request_id.encode())

    def _respond(self, far: socket.socket, fate: str, body: bytes) -> None:
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        match fate:
            case "answer":
                far.sendall(answer)
            case "answer-twice":
                far.sendall(answer + answer)
            case "answer-and-close":
                far.sendall(answer.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n"))
                far.close()
            case "shed":
                far.sendall(b"HTTP/1.1 503 No\r\nX-Shed: 1\r\nContent-Length: 0\r\n\r\n")
            case "half-head-after-run":
                far.sendall(answer[:25])
                far.close()
            case "half-body-after-run":
                far.sendall(answer[:-1])
                far.close()
            case "garbage-after-run":
                far.sendall(b"what\r\n\r\n")
            case "silent-unrun" | "silent-after-run":
                self.delayed.append((far, answer))
            case _:
                far.close()

    def _send_delayed(self, far: socket.socket) -> None:
        # responses on a connection are sent in the order of its requests
        delayed_answers = [answer for other, answer in self.delayed if other is far]
        self.delayed = [row for row in self.delayed if row[0] is not far]
        for answer in delayed_answers:
            _send_quietly(far, answer)

    def deliver_late(self) -> None:
        """Send the responses that were held back."""
        delayed, self.delayed = self.delayed, []
        for far, answer in delayed:
            _send_quietly(far, answer)

    def send_strays(self) -> None:
        """Send an unsolicited response on every open connection."""
        for far in self.open:
            _send_quietly(far, b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")


def _send_quietly(far: socket.socket, data: bytes) -> None:
    with contextlib.suppress(OSError):
        far.sendall(data)


def _find_header(data: bytes, name: bytes) -> str:
    for line in data.split(b"\r\n"):
        key, _, value = line.partition(b":")
        if key.lower() == name:
            return value.strip().decode()
    return ""


class Network:
    """Run a gateway with three simulated upstreams.

    :param blind: declare every route idempotent.
    """

    def __init__(self, *, blind: bool = False) -> None:
        cfg = ProxyConfig("127.0.0.1", 0, max_waiting_calls=0)
        self.now = 0.0
        self.oracle = SimulatedUpstreams()
        self.dispatcher = Dispatcher(cfg, random.Random(1), clock=lambda: self.now)
        self.pool = ConnectionPool(idle_timeout_s=3600.0, opener=self.oracle.connect)
        self.gateway = Gateway(cfg, self.dispatcher, self.pool)
        members = [make_member(f"n{number}") for number in range(3)]
        routes = (READ, WRITE._replace(idempotent=blind))
        self.dispatcher.update_snapshot(make_snapshot(members, config=make_config(routes)))

    def call(self, request_id: str, *, idempotent: bool, fates: list[str], leave: bool) -> Outcome:
        """Run one call whose attempts meet the given upstream behaviours in turn.

        :param leave: whether the caller closes its connection after sending the request.
        """
        self.oracle.fates = list(fates)
        # advance the clock past the back-off of any upstream
        self.now += 20.0
        is_silent = any(fate.startswith("silent") for fate in fates)
        line = b"GET /read/1" if idempotent else b"POST /write/1"
        lines = [line + b" HTTP/1.1", b"Host: mesh.test", b"X-Request-Id: " + request_id.encode()]
        if is_silent and not leave:
            # the deadline passes immediately, so that the test need not wait for it
            lines.append(b"X-Deadline-Ms: 0")
        near, far = socket.socketpair()
        with near, far:
            far.sendall(b"\r\n".join(lines) + b"\r\n\r\n")
            near.setblocking(False)
            reader = DeadlineReader(near)
            reader.set_deadline(time.monotonic() + 5)
            head = read_request_head(reader, limit=10_000)
            assert head is not None
            if leave:
                far.shutdown(socket.SHUT_WR)
            self.gateway.serve(head, near, reader)
            near.shutdown(socket.SHUT_WR)
            return _read_outcome(far)

    def close(self) -> None:
        self.pool.close()
        for far in self.oracle.open:
            far.close()


def _read_outcome(far: socket.socket) -> Outcome:
    data = b""
    while piece := far.recv(65536):
        data += piece
    if not data:
        return Outcome(0, "", b"")
    head, _, body = data.partition(b"\r\n\r\n")
    return Outcome(int(head.split()[1]), _find_header(head, b"x-balsamhead-outcome"), body)
