"""Run one process on the path of a benchmarked call: ``python -m bench._hops KIND [PORT]``."""

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

__all__ = ("HOST", "RESPONSE_BYTES", "make_snapshot")

#: size of a response body, in bytes
RESPONSE_BYTES = 64
#: Host header that the routes match
HOST = "bench.test"
#: attempts per request of the minimal proxy, which retries every 5xx response
_UNCONDITIONAL_ATTEMPTS = 3

_LOCAL_PLACE = Place("east-a", "east")


def make_snapshot(
    ports: Sequence[int],
    *,
    slots: int = 64,
    deadline_ms: int = 2000,
    places: Sequence[Place] = (),
) -> Snapshot:
    """Build a snapshot of one service with upstreams on loopback ports.

    :param places: place of each upstream; by default, the place of the node itself.
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
        place = places[number] if places else _LOCAL_PLACE
        members.append(Member(f"n{number}", 1, 1, MemberStatus.ALIVE, place, "", upstream))
    return build_snapshot(
        config=empty_state()._replace(offset=1, document_offset=1, document=document),
        withdrawn={},
        members=members,
        identity=Identity("bench", 1, _LOCAL_PLACE, "127.0.0.1:1", "trial"),
    )


class _FixedResponseGateway(Gateway):
    """Respond to every request with a fixed body."""

    def respond(self) -> None:
        """Send the response immediately."""
        req = self.req
        req.status = b"200 OK"
        req.outheaders = [(b"Content-Length", str(RESPONSE_BYTES).encode())]
        req.ensure_headers_sent()
        req.write(b"x" * RESPONSE_BYTES)


class _MinimalProxyGateway(Gateway):
    """Forward requests round-robin through urllib3 pools, and retry every 5xx response."""

    pools: itertools.cycle[urllib3.HTTPConnectionPool]

    def respond(self) -> None:
        """Forward the request and relay the response."""
        req = self.req
        for _ in range(_UNCONDITIONAL_ATTEMPTS):
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
    _print_port(server.bind_addr[1])
    server.serve()


def _print_port(port: int) -> None:
    print(port, flush=True)


def _relay(port: int) -> None:
    """Copy bytes between each caller and its own upstream connection, all in one thread."""
    listener = socket.create_server(("127.0.0.1", 0))
    selector = selectors.DefaultSelector()
    selector.register(listener, selectors.EVENT_READ, None)
    _print_port(listener.getsockname()[1])
    while True:
        for key, _ in selector.select():
            if key.data is None:
                _accept(listener, selector, port)
            else:
                _copy(selector, key.fileobj, key.data)  # type: ignore[arg-type]


def _accept(listener: socket.socket, selector: selectors.BaseSelector, port: int) -> None:
    caller, _ = listener.accept()
    upstream = socket.create_connection(("127.0.0.1", port))
    for source, destination in ((caller, upstream), (upstream, caller)):
        source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        selector.register(source, selectors.EVENT_READ, destination)


def _copy(
    selector: selectors.BaseSelector, source: socket.socket, destination: socket.socket
) -> None:
    data = source.recv(65536)
    if data:
        destination.sendall(data)
        return
    for sock in (source, destination):
        selector.unregister(sock)
        sock.close()


def _run_caller_server(ports: Sequence[int], *, slots: int, deadline_ms: int) -> None:
    server = CallerServer.from_config(ProxyConfig("127.0.0.1", 0))
    server.start()
    server.update_snapshot(make_snapshot(ports, slots=slots, deadline_ms=deadline_ms))
    _print_port(int(server.address.rpartition(":")[2]))
    threading.Event().wait()


def main(args: Sequence[str]) -> None:
    """Run the process that the arguments select, and print the port on which it listens."""
    match args:
        case ["upstream"]:
            _serve(_FixedResponseGateway)
        case ["bare", *ports]:
            pools = [urllib3.HTTPConnectionPool("127.0.0.1", int(p), maxsize=64) for p in ports]
            _MinimalProxyGateway.pools = itertools.cycle(pools)
            _serve(_MinimalProxyGateway)
        case ["relay", port]:
            _relay(int(port))
        case ["node", slots, deadline_ms, *ports]:
            _run_caller_server(
                [int(port) for port in ports], slots=int(slots), deadline_ms=int(deadline_ms)
            )
        case _:
            sys.exit(
                "usage: python -m bench._hops upstream | bare|relay PORT | node SLOTS MS PORT..."
            )


if __name__ == "__main__":
    main(sys.argv[1:])
