"""Run real mesh nodes with fake upstreams and a store, in memory and on a virtual clock."""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from balsamhead.mesh._calls import Call
from balsamhead.mesh._node import MeshNode
from balsamhead.mesh._server import HttpServer, Reply, Request
from balsamhead.mesh._settings import MeshSettings
from balsamhead.mesh.model import Limits, RouteKind
from balsamhead.platform.records import PlatformRecords
from balsamhead.platform.store import StoreClient
from balsamhead.util.http1 import BodyDecoder, parse_response_head
from standin.platform_store import PlatformStore
from standin.virtual_network import CURRENT_HOST, VirtualLoop

STORE = "10.9.0.1:8000"
LIMITS = Limits(16_384, 8 << 20, 10.0, 60.0)
PLACES = {"east-a": "east", "east-b": "east", "west-a": "west", "west-b": "west"}
NO_HEADERS: frozenset[bytes] = frozenset()


def run_virtual(main: Callable[[], Awaitable[None]]) -> None:
    """Run a coroutine on an event loop with a virtual clock."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(main())
    finally:
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        asyncio.set_event_loop(None)
        loop.close()


def make_settings(number: int, *, service: str = "desk", place: str = "east-a") -> MeshSettings:
    host = f"10.0.0.{number}"
    return MeshSettings(
        node=f"node-{number}",
        region=PLACES[place],
        data_centre=place,
        service=service,
        upstream_address=f"{host}:8000",
        caller_address=f"{host}:8001",
        ready_address=f"{host}:8002",
        announce_address=f"{host}:8003",
        peer_address=f"{host}:8004",
        metrics_port=8005,
        store_address=STORE,
        announce_interval=1.5,
        stop_deadline=6.0,
        retry_ratio=0.2,
        retry_slack=64.0,
        retry_window=10.0,
        log_level="info",
    )


#: nodes in one data centre: two beside upstreams of the service "desk", one beside "registry"
NODE_1, NODE_2, NODE_3 = make_settings(1), make_settings(2), make_settings(3, service="registry")


def make_route(**changes: Any) -> dict[str, Any]:
    row = {
        "host": "plots.example",
        "path_prefix": "/check/",
        "kind": "safe",
        "timeout": "1000ms",
        "target_latency": "250ms",
        "priority": 2,
        "service": "desk",
        "max_attempts": 2,
    }
    row.update(changes)
    return row


def make_config(version: int = 1, **routes: dict[str, Any]) -> dict[str, Any]:
    rows = {
        "check": make_route(),
        "accept": make_route(path_prefix="/accept/", kind="unsafe", priority=1),
        **routes,
    }
    service = {"health_path": "/health", "max_conns": 130, "protocol": "h1", "tls": False}
    return {
        "version": version,
        "routes": rows,
        "services": {"desk": service, "registry": service},
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1 << 20,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
    }


class Response(NamedTuple):
    status: int
    headers: dict[bytes, list[bytes]]
    body: bytes


class FakeUpstream:
    """HTTP upstream that announces itself, answers after a fixed time and records its requests."""

    def __init__(self, cfg: MeshSettings, *, version: str = "v1", slots: int = 4) -> None:
        self.cfg = cfg
        self.id = f"i-{cfg.node}"
        self.version = version
        self.slots = slots
        self.service_time_s = 0.05
        #: returns the time of the next request, in s
        self.draw_service_time: Callable[[], float] = lambda: self.service_time_s
        self.born = 1000
        self.state = "ready"
        self.sequence = 0
        #: time until which the upstream is cold, in s of the loop's clock
        self.cold_ends_at = 0.0
        self.run_counts: Counter[str] = Counter()
        self.requests: list[Request] = []
        self.running = 0
        self.max_running = 0
        #: header lines of each response besides the usual ones
        self.extra_headers = b""
        #: when each request arrived, in s of the loop's clock
        self.arrival_times: list[float] = []
        #: returns whether a request crashes the upstream as it begins to run
        self.is_fatal: Callable[[Request], bool] = lambda request: False
        #: time until the upstream runs again after a crash, in s
        self.restart_delay_s = 3.0
        self._restarts: set[asyncio.Task[None]] = set()
        #: returns a reply that replaces the usual one, or None
        self.make_custom_reply: Callable[[Request], Reply | None] = lambda request: None
        self._server = HttpServer(self._run, get_limits=lambda: LIMITS)
        self._announcing: asyncio.Task[None] | None = None

    async def start(self) -> None:
        CURRENT_HOST.set(self.cfg.upstream_address.split(":")[0])
        await self._server.start(self.cfg.upstream_address)
        self._announcing = asyncio.get_running_loop().create_task(self._announce_repeatedly())

    def crash(self) -> None:
        """Stop at once, without leaving or draining."""
        self._server.stop_listening()
        for conn in list(self._server.connections):
            conn._abort()
        if self._announcing is not None:
            self._announcing.cancel()

    def crash_and_restart(self) -> None:
        """Stop at once, and run again as a new incarnation after the restart delay."""
        if self._restarts:
            return
        self.crash()
        task = asyncio.get_running_loop().create_task(self._restart())
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _restart(self) -> None:
        await asyncio.sleep(self.restart_delay_s)
        self.born += 1
        self.sequence = 0
        self._server = HttpServer(self._run, get_limits=lambda: LIMITS)
        await self.start()

    async def announce(self, *, without: object = None, **changes: object) -> Response:
        """Announce itself, with some fields changed, or without one."""
        self.sequence += 1
        body = {
            "service": self.cfg.service,
            "address": self.cfg.upstream_address,
            "zone": self.cfg.data_centre,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_left": f"{self._get_cold_ms()}ms",
            "sequence": self.sequence,
            "born": self.born,
            **changes,
        }
        body = {name: value for name, value in body.items() if name != without}
        return await send(
            self.cfg.announce_address, "PUT", f"/instances/{self.id}", json.dumps(body).encode()
        )

    def _get_cold_ms(self) -> int:
        return max(0, round((self.cold_ends_at - asyncio.get_running_loop().time()) * 1000))

    async def leave(self) -> Response:
        return await send(self.cfg.announce_address, "DELETE", f"/instances/{self.id}")

    async def _announce_repeatedly(self) -> None:
        while True:
            try:
                await self.announce()
            except OSError:
                await asyncio.sleep(0.3)
                continue
            await asyncio.sleep(1.5)

    async def _run(self, request: Request) -> Reply:
        values = request.head.headers
        request_id = values[b"request-id"][0]
        if values.get(b"target-instance", [self.id.encode()])[0].decode() != self.id:
            return Reply(421, headers=b"Instance-Id: other\r\nRequest-Id: %b\r\n" % request_id)
        self.requests.append(request)
        self.arrival_times.append(asyncio.get_running_loop().time())
        self.run_counts[request_id.decode()] += 1
        if self.is_fatal(request):
            self.crash_and_restart()
            return Reply(0, abort=True)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            await asyncio.sleep(self.draw_service_time())
            other = self.make_custom_reply(request)
            if other is not None:
                return other
            headers = b"Request-Id: %b\r\nServer-Stamp: %b\r\n" % (request_id, self.id.encode())
            return Reply(200, b"from " + self.id.encode(), headers + self.extra_headers)
        finally:
            self.running -= 1


class Member(NamedTuple):
    cfg: MeshSettings
    node: MeshNode
    upstream: FakeUpstream
    task: asyncio.Task[None]


class InMemoryCluster:
    """Run mesh nodes with their upstreams and one platform store in memory."""

    def __init__(self) -> None:
        self.store = PlatformStore()
        self.members: dict[int, Member] = {}
        #: time by which the boot-time clock of a node is ahead of the loop's clock, in s, by name
        self.paused_s: defaultdict[str, float] = defaultdict(float)
        self.network = asyncio.get_running_loop().network  # type: ignore[attr-defined]

    async def start(self, *settings: MeshSettings, config: dict[str, Any] | None = None) -> None:
        CURRENT_HOST.set(STORE.split(":")[0])
        await self.store.start(STORE)
        self.store.put("keyed.op", "config", config or make_config())
        for cfg in settings:
            await self.add(cfg)
        await asyncio.sleep(3.0)

    async def add(
        self,
        cfg: MeshSettings,
        *,
        version: str = "v1",
        upstream: FakeUpstream | None = None,
        read_boot_time: Callable[[], float] | None = None,
    ) -> Member:
        CURRENT_HOST.set(cfg.peer_address.split(":")[0])
        store = StoreClient(cfg.store_address)
        loop = asyncio.get_running_loop()
        node = MeshNode(
            cfg,
            records=PlatformRecords(store),
            store=store,
            rng=random.Random(cfg.node),
            read_boot_time=read_boot_time or (lambda: loop.time() + self.paused_s[cfg.node]),
        )
        task = asyncio.get_running_loop().create_task(node.run())
        if upstream is None:
            upstream = FakeUpstream(cfg, version=version)
            await upstream.start()
        member = Member(cfg, node, upstream, task)
        self.members[int(cfg.node.split("-")[1])] = member
        return member

    def kill(self, number: int) -> Member:
        """Kill a node's process abruptly; its upstream keeps running."""
        member = self.members.pop(number)
        member.task.cancel()
        member.node.kill()
        host = member.cfg.peer_address.split(":")[0]
        listeners = self.network.listeners
        upstream = listeners.get(member.cfg.upstream_address)
        self.network.remove(host)
        if upstream is not None:
            listeners[member.cfg.upstream_address] = upstream
        return member

    async def restart_all(self, *, down_s: float = 0.8) -> None:
        """Kill all nodes at once, and start them again beside the same upstreams."""
        members = [self.kill(number) for number in list(self.members)]
        await asyncio.sleep(down_s)
        for member in members:
            await self.add(member.cfg, upstream=member.upstream)


async def start_cluster(
    *settings: MeshSettings, config: dict[str, Any] | None = None
) -> tuple[InMemoryCluster, RequestSender]:
    """Start a cluster, and return it with a sender of requests."""
    cluster = InMemoryCluster()
    await cluster.start(*settings, config=config)
    return cluster, RequestSender()


def make_call(request_id: bytes = b"r1", **changes: Any) -> Call:
    """Return a call of an idempotent request."""
    call = Call(
        request_id=request_id,
        method="GET",
        target=b"/a",
        headers=b"",
        route="check",
        route_kind=RouteKind.SAFE,
        priority=2,
        service="desk",
        version="",
        caller_service="desk",
        remaining_ms=1000,
        objective_ms=250,
        queue_timeout_ms=400,
    )
    return call._replace(**changes)


class RequestSender:
    """Send requests to nodes, each with a unique request id."""

    def __init__(self) -> None:
        self.number = 0

    async def __call__(
        self,
        cfg: MeshSettings,
        path: str = "/check/1",
        *,
        method: str = "GET",
        deadline_ms: int = 1000,
        body: bytes = b"",
        headers: str = "",
    ) -> Response:
        self.number += 1
        extra = f"Request-Id: r{self.number}\r\nDeadline-Ms: {deadline_ms}\r\n{headers}"
        return await send(cfg.caller_address, method, path, body, headers=extra)


async def get_statuses(
    cluster: InMemoryCluster, send_request: RequestSender, path: str
) -> list[int]:
    """Send a request to each node, and return the statuses of their responses."""
    return [(await send_request(row.cfg, path)).status for row in cluster.members.values()]


async def send(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    *,
    headers: str = "",
    host: str = "plots.example",
) -> Response:
    """Send one request on a new connection and return the response."""
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n{headers}"
    writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
    try:
        return await read_response(reader, method)
    finally:
        writer.transport.close()


async def read_response(reader: asyncio.StreamReader, method: str) -> Response:
    start = parse_response_head(
        await reader.readuntil(b"\r\n\r\n"), method=method, excluded_headers=NO_HEADERS
    )
    decoder, buffer, chunks = BodyDecoder(start.length), bytearray(), []
    while not decoder.done:
        data = await reader.read(65536)
        if not data:
            raise EOFError
        buffer += data
        chunks.append(decoder.decode(buffer))
    return Response(start.status, start.headers, b"".join(chunks))
