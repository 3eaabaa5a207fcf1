"""Run a test upstream: ``python -m standin.upstream --address IP:PORT ...``."""

from __future__ import annotations

import errno
import hashlib
import json
import logging
import os
import random
import signal
import sys
import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated, Any, NamedTuple
from urllib.parse import parse_qs

import cappa
import msgspec
import urllib3
from cheroot.server import Gateway, HTTPRequest, HTTPServer

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("Faults", "Upstream", "UpstreamConfig")

logger = logging.getLogger(__name__)

#: interval of the announcements, in s
ANNOUNCE_INTERVAL_S = 0.5
#: shortest time in the state "draining" before the process exits, in s
DRAIN_S = 1.5
#: size of the chunks in which bodies are read and streamed, in bytes
_CHUNK_BYTES = 65536
#: threads in addition to the slots, which refuse requests while all slots are in use
_SPARE_THREADS = 16


class Faults(msgspec.Struct, frozen=True):
    """Faults of a test upstream; ``POST /faults`` replaces single fields.

    :ivar latency_ms: processing time of each request, in ms.
    :ivar error_share: share of requests with a 500 response, 0 to 1.
    :ivar crash_on: exit the process on a request whose target contains this; empty for never.
    :ivar slow_factor: factor by which the latency is multiplied.
    :ivar fail_on: respond with 500 if the target contains this; empty for never.
    :ivar shed: refuse every request without processing it.
    :ivar reset_share: share of requests whose connection fails after processing, 0 to 1; these
        requests count towards ``error_share``.
    """

    latency_ms: float = 0.0
    error_share: float = 0.0
    crash_on: str = ""
    slow_factor: float = 1.0
    fail_on: str = ""
    shed: bool = False
    reset_share: float = 0.0


class UpstreamConfig(NamedTuple):
    """Configuration of a test upstream."""

    host: str
    port: int
    service: str
    version: str
    slots: int
    #: base URL of the node's announce port; empty to send no announcements
    announce: str = ""
    connections: int = 130
    #: time from the start to the state "ready", in s
    start_s: float = 0.0
    #: time after the start from which the latency is 10 times as high, in s; 0 for never
    slow_after_s: float = 0.0
    seed: int = 1


class _Response(NamedTuple):
    status: str
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()


class _UpstreamGateway(Gateway):
    """Handle one request to a test upstream."""

    req: HTTPRequest

    def respond(self) -> None:
        """Process or refuse the request; ``/runs`` and ``/faults`` are always served."""
        upstream: Upstream = self.req.server.upstream
        target = self.req.uri.decode("latin-1")
        path, _, query = target.partition("?")
        if path == "/runs":
            self._send(_Response("200 OK", json.dumps(upstream.runs).encode()))
            return
        if path == "/faults":
            upstream.set_faults(json.loads(self.req.rfile.read() or b"{}"))
            self._send(_Response("200 OK", b"{}"))
            return
        if not upstream.try_acquire_slot():
            self._refuse()
            return
        try:
            self._process(upstream, target, query)
        finally:
            upstream.release_slot()

    def _refuse(self) -> None:
        self.req.close_connection = True
        self._send(_Response("503 Service Unavailable", b"shed", ((b"X-Shed", b"1"),)))

    def _process(self, upstream: Upstream, target: str, query: str) -> None:
        headers = self.req.inheaders
        request_id = headers.get(b"X-Request-Id", b"").decode("latin-1")
        digest = hashlib.blake2b(digest_size=8)
        size = 0
        while chunk := self.req.rfile.read(_CHUNK_BYTES):
            digest.update(chunk)
            size += len(chunk)
        upstream.count_execution(request_id)
        status = upstream.simulate_work(target, headers.get(b"X-Deadline-Ms"))
        requested_sizes = parse_qs(query).get("bytes")
        if status == "200 OK" and requested_sizes:
            self._stream(int(requested_sizes[0]))
            return
        details = {
            "service": upstream.cfg.service,
            "version": upstream.cfg.version,
            "address": upstream.address,
            "target": target,
            "request_id": request_id,
            "body_bytes": size,
            "body_digest": digest.hexdigest(),
        }
        self._send(_Response(status, json.dumps(details).encode()))

    def _send(self, response: _Response) -> None:
        req = self.req
        req.status = response.status.encode()  # type: ignore[assignment]
        req.outheaders = [
            (b"Content-Length", str(len(response.body)).encode()),
            (b"Content-Type", b"application/json"),
            *response.headers,
        ]
        req.ensure_headers_sent()
        req.write(response.body)

    def _stream(self, size: int) -> None:
        req = self.req
        req.status = b"200 OK"  # type: ignore[assignment]
        req.outheaders = [(b"Content-Length", str(size).encode())]
        req.ensure_headers_sent()
        chunk = b"x" * _CHUNK_BYTES
        while size > 0:
            req.write(chunk[:size])
            size -= len(chunk)


class _Server(HTTPServer):
    """Serve requests and log connection errors at debug level instead of printing them."""

    upstream: Upstream
    request_queue_size = 256

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Log an error that cheroot reports."""
        logger.debug("upstream connection failed", extra={"reason": msg})


class Upstream:
    """Serve HTTP as a test upstream, in background threads of this process."""

    def __init__(self, cfg: UpstreamConfig, faults: Faults) -> None:
        self.cfg = cfg
        self.faults = faults
        #: number of times that each request id was processed
        self.runs: dict[str, int] = {}
        self.in_flight = 0
        self.max_in_flight = 0
        self.shed = 0
        #: called for ``crash_on``; exits the process, and tests can replace it
        self.crash: Callable[[], None] = lambda: os._exit(70)
        self._lock = threading.Lock()
        self._rng = random.Random(cfg.seed)
        self._state = "starting"
        self._stopped = threading.Event()
        self._state_changed = threading.Event()
        self._started_at = time.monotonic()
        self._server = _Server(
            (cfg.host, cfg.port), _UpstreamGateway, minthreads=cfg.slots + _SPARE_THREADS
        )
        self._server.upstream = self
        self._server.keep_alive_conn_limit = cfg.connections
        self._server.timeout = 60
        self._server.shutdown_timeout = 1

    @classmethod
    def from_config(cls, cfg: UpstreamConfig, *, faults: Faults | None = None) -> Upstream:
        """Return a test upstream that has not been started."""
        return cls(cfg, faults or Faults())

    @property
    def address(self) -> str:
        """Return the "host:port" that it listens on."""
        host, port = self._server.bind_addr
        return f"{host}:{port}"

    def start(self) -> None:
        """Bind the port, serve requests and send announcements."""
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()
        if not self.cfg.start_s:
            self._state = "ready"
        if self.cfg.announce:
            threading.Thread(target=self._announce_repeatedly, daemon=True).start()

    def drain(self) -> None:
        """Refuse new requests and announce the state "draining"."""
        self._state = "draining"
        self._state_changed.set()

    def stop(self) -> None:
        """Stop the server and the announcements; running requests are aborted."""
        self._stopped.set()
        self._state_changed.set()
        self._server.stop()

    def wait_until_idle(self) -> None:
        """Wait until no request is in flight."""
        while self.in_flight:
            time.sleep(0.02)

    def try_acquire_slot(self) -> bool:
        """Acquire a slot, or return False if the request must be refused."""
        with self._lock:
            is_full = self.in_flight >= self.cfg.slots
            if is_full or self.faults.shed or self._state == "draining":
                self.shed += 1
                return False
            self.in_flight += 1
            self.max_in_flight = max(self.max_in_flight, self.in_flight)
            return True

    def release_slot(self) -> None:
        """Release a slot."""
        with self._lock:
            self.in_flight -= 1

    def count_execution(self, request_id: str) -> None:
        """Count one execution of a request id."""
        with self._lock:
            self.runs[request_id] = self.runs.get(request_id, 0) + 1

    def set_faults(self, changes: dict[str, Any]) -> None:
        """Replace the faults named in ``changes``."""
        merged = msgspec.structs.asdict(self.faults) | changes
        self.faults = msgspec.convert(merged, Faults)

    def simulate_work(self, target: str, deadline_ms: bytes | None) -> str:
        """Sleep for the processing time of a request and return its HTTP status.

        :raises ConnectionResetError: a fault closes the connection.
        """
        faults = self.faults
        if faults.crash_on and faults.crash_on in target:
            self.crash()
            raise ConnectionResetError(errno.ECONNRESET, "injected fault")
        latency_ms = faults.latency_ms * faults.slow_factor
        slow_after = self.cfg.slow_after_s
        if slow_after and time.monotonic() - self._started_at > slow_after:
            latency_ms *= 10
        if deadline_ms is not None and float(deadline_ms) < latency_ms:
            time.sleep(float(deadline_ms) / 1000)
            return "504 Gateway Timeout"
        if latency_ms:
            time.sleep(latency_ms / 1000)
        with self._lock:
            draw = self._rng.random()
        if draw < faults.reset_share:
            raise ConnectionResetError(errno.ECONNRESET, "injected fault")
        is_failed = draw < faults.error_share or (faults.fail_on and faults.fail_on in target)
        return "500 Internal Server Error" if is_failed else "200 OK"

    def _announce_repeatedly(self) -> None:
        http = urllib3.PoolManager(source_address=(self.cfg.host, 0), retries=False, timeout=1.0)
        while not self._stopped.is_set():
            if self._state == "starting" and self._is_startup_over():
                self._state = "ready"
            self._announce_once(http)
            self._state_changed.wait(ANNOUNCE_INTERVAL_S)
            self._state_changed.clear()

    def _is_startup_over(self) -> bool:
        return time.monotonic() - self._started_at >= self.cfg.start_s

    def _announce_once(self, http: urllib3.PoolManager) -> None:
        host, port = self._server.bind_addr
        record = {
            "service": self.cfg.service,
            "version": self.cfg.version,
            "host": host,
            "port": port,
            "slots": self.cfg.slots,
            "connections": self.cfg.connections,
            "state": self._state,
            "process": os.getpid(),
        }
        try:
            http.request("PUT", f"{self.cfg.announce}/v1/upstream", json=record)
        except urllib3.exceptions.HTTPError:
            logger.debug("announcement failed", extra={"peer": self.cfg.announce})


@dataclass
class Options:
    """Run a test upstream."""

    address: Annotated[str, cappa.Arg(long=True, help="IP:PORT to serve on")]
    service: Annotated[str, cappa.Arg(long=True)]
    version: Annotated[str, cappa.Arg(long=True)]
    slots: Annotated[int, cappa.Arg(long=True)] = 6
    announce: Annotated[str, cappa.Arg(long=True, help="http://IP:PORT of the node")] = ""
    connections: Annotated[int, cappa.Arg(long=True)] = 130
    latency_ms: Annotated[float, cappa.Arg(long=True)] = 0.0
    error_share: Annotated[float, cappa.Arg(long=True)] = 0.0
    crash_on: Annotated[str, cappa.Arg(long=True, help="end on targets with this")] = ""
    fail_on: Annotated[str, cappa.Arg(long=True, help="answer 500 to targets with this")] = ""
    slow_after_s: Annotated[float, cappa.Arg(long=True)] = 0.0
    start_s: Annotated[float, cappa.Arg(long=True, help="time until ready")] = 0.0
    seed: Annotated[int, cappa.Arg(long=True)] = 1


def main() -> int:
    """Serve until SIGTERM or SIGINT, then drain and exit."""
    options = cappa.parse(Options)
    host, _, port = options.address.rpartition(":")
    cfg = UpstreamConfig(
        host,
        int(port),
        options.service,
        options.version,
        options.slots,
        announce=options.announce,
        connections=options.connections,
        start_s=options.start_s,
        slow_after_s=options.slow_after_s,
        seed=options.seed,
    )
    faults = Faults(
        latency_ms=options.latency_ms,
        error_share=options.error_share,
        crash_on=options.crash_on,
        fail_on=options.fail_on,
    )
    upstream = Upstream.from_config(cfg, faults=faults)
    stop_requested = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop_requested.set())
    signal.signal(signal.SIGINT, lambda *_: stop_requested.set())
    upstream.start()
    stop_requested.wait()

    upstream.drain()
    time.sleep(DRAIN_S)
    upstream.wait_until_idle()
    upstream.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
