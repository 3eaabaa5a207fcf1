"""Run one hop of the call bench as a process: ``python -m bench._hops KIND [PORT]``."""

from __future__ import annotations

import itertools
import selectors
import socket
import sys
import threading
from typing import TYPE_CHECKING

import urllib3
from cheroot.server import Gateway, HTTPServer

from balsamhead.document import Document, Objective, Region, RolloutPolicy, Route, Service
from balsamhead.fold import empty_state
from balsamhead.membership import Member, MemberStatus, Place, Upstream, UpstreamState
from balsamhead.node import Identity
from balsamhead.proxy import CallerServer, ProxyConfig
from balsamhead.routing import Snapshot, build_snapshot

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ("ANSWER_BYTES", "HOST", "make_snapshot")

#: size of an answer's body, in bytes
ANSWER_BYTES = 64
#: host of the routes
HOST = "bench.test"
#: attempts of the bare hop
_BLIND_ATTEMPTS = 3

_HERE = Place("east-a", "east")


def make_snapshot(
    ports: Sequence[int],
    *,
    slots: int = 64,
    deadline_ms: int = 2000,
    tiers: Sequence[Place] = (),
) -> Snapshot:
    """Make a snapshot of one service with upstreams on loopback ports.

    :param tiers: place of each upstream; the node's own when not given.
    """
    policy = RolloutPolicy("on-time", 60.0, 0.01, 2.0, 0.01)
    service = Service(
        "desk", len(ports), slots, 130, (), "v1", 0.0, Objective(0.999, 500, 0.99), policy
    )
    routes = (
        Route("read", "desk", HOST, "/read/{id}", ("GET",), deadline_ms, True, False),
        Route("write", "desk", HOST, "/write/{id}", ("POST",), deadline_ms, False, False),
    )
    document = Document("bench", (Region("east", ("east-a",)),), (service,), routes)
    members = []
    for number, port in enumerate(ports):
        upstream = Upstream("desk", "v1", "127.0.0.1", port, slots, 130, UpstreamState.READY, 1)
        place = tiers[number] if tiers else _HERE
        members.append(Member(f"n{number}", 1, 1, MemberStatus.ALIVE, place, "", upstream))
    return build_snapshot(
        config=empty_state()._replace(offset=1, document_offset=1, document=document),
        withdrawn={},
        members=members,
        identity=Identity("bench", 1, _HERE, "127.0.0.1:1", "trial"),
    )


class _AnswerGateway(Gateway):
    """Answer a fixed body."""

    def respond(self) -> None:
        """Answer at once."""
        req = self.req
        req.status = b"200 OK"
        req.outheaders = [(b"Content-Length", str(ANSWER_BYTES).encode())]
        req.ensure_headers_sent()
        req.write(b"x" * ANSWER_BYTES)


class _BareGateway(Gateway):
    """Pass a request through urllib3's pools in turn, with blind retries and nothing else."""

    pools: itertools.cycle[urllib3.HTTPConnectionPool]

    def respond(self) -> None:
        """Pass on the request and the answer."""
        req = self.req
        for _ in range(_BLIND_ATTEMPTS):
            res = next(self.pools).request(
                req.method.decode(), req.uri.decode(), headers={"Host": HOST}, retries=False
            )
            if res.status < 500:
                break
        req.status = f"{res.status} {res.reason}".encode()
        req.outheaders = [(b"Content-Length", str(len(res.data)).encode())]
        req.ensure_headers_sent()
        req.write(res.data)


def _serve(gateway: type[Gateway]) -> None:
    server = HTTPServer(("127.0.0.1", 0), gateway, minthreads=48)
    server.keep_alive_conn_limit = 100
    server.timeout = 60
    server.prepare()
    _announce(server.bind_addr[1])
    server.serve()


def _announce(port: int) -> None:
    print(port, flush=True)


def _relay(port: int) -> None:
    """Copy bytes between each caller and its own upstream connection, in one thread."""
    listener = socket.create_server(("127.0.0.1", 0))
    selector = selectors.DefaultSelector()
    selector.register(listener, selectors.EVENT_READ, None)
    _announce(listener.getsockname()[1])
    while True:
        for key, _ in selector.select():
            if key.data is None:
                _accept(listener, selector, port)
            else:
                _copy(selector, key.fileobj, key.data)  # type: ignore[arg-type]


def _accept(listener: socket.socket, selector: selectors.BaseSelector, port: int) -> None:
    caller, _ = listener.accept()
    upstream = socket.create_connection(("127.0.0.1", port))
    for one, other in ((caller, upstream), (upstream, caller)):
        one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        selector.register(one, selectors.EVENT_READ, other)


def _copy(selector: selectors.BaseSelector, one: socket.socket, other: socket.socket) -> None:
    data = one.recv(65536)
    if data:
        other.sendall(data)
        return
    for sock in (one, other):
        selector.unregister(sock)
        sock.close()


def _run_callers_port(ports: Sequence[int], *, slots: int, deadline_ms: int) -> None:
    server = CallerServer.from_config(ProxyConfig("127.0.0.1", 0))
    server.start()
    server.update_snapshot(make_snapshot(ports, slots=slots, deadline_ms=deadline_ms))
    _announce(int(server.address.rpartition(":")[2]))
    threading.Event().wait()


def main(args: Sequence[str]) -> None:
    """Run the hop that the arguments name, and print its port."""
    match args:
        case ["upstream"]:
            _serve(_AnswerGateway)
        case ["bare", *ports]:
            pools = [urllib3.HTTPConnectionPool("127.0.0.1", int(p), maxsize=64) for p in ports]
            _BareGateway.pools = itertools.cycle(pools)
            _serve(_BareGateway)
        case ["relay", port]:
            _relay(int(port))
        case ["node", slots, deadline_ms, *ports]:
            _run_callers_port(
                [int(port) for port in ports], slots=int(slots), deadline_ms=int(deadline_ms)
            )
        case _:
            sys.exit(
                "usage: python -m bench._hops upstream | bare|relay PORT | node SLOTS MS PORT..."
            )


if __name__ == "__main__":
    main(sys.argv[1:])
