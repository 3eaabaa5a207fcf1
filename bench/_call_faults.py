"""Make calls through faulty upstreams and stopping nodes, and count violated guarantees."""

from __future__ import annotations

import random
import socket
import threading
import time
from typing import NamedTuple

from balsamhead.proxy import CallerServer, ProxyConfig
from bench._hops import HOST, make_snapshot
from standin.upstream import Faults, Upstream, UpstreamConfig
from tests.test_proxy.builders import ScriptedUpstream, read_request
from tests.test_proxy.fake_network import UPSTREAM_BEHAVIOURS, Network

__all__ = (
    "ViolationCounts",
    "count_aborted_calls",
    "count_crashed_upstreams",
    "run_calls_with_faults",
)

#: fraction of calls without a fault, 0 to 1
_FAULT_FREE_SHARE = 0.3
#: concurrent callers while the node stops
_CALLERS = 12


class ViolationCounts(NamedTuple):
    """Number of violations of each guarantee."""

    #: non-idempotent requests that ran more than once
    duplicate_executions: int
    #: requests that were reported as not executed, but had run
    false_not_executed: int
    #: responses with the body of another request
    wrong_responses: int


def run_calls_with_faults(count: int, *, seed: int, retry_all: bool = False) -> ViolationCounts:
    """Make calls to upstreams that fail at random, and count violated guarantees.

    :param retry_all: declare every route idempotent, like a proxy that retries any request.
    """
    rng = random.Random(seed)
    duplicate_executions = false_not_executed = wrong_responses = 0
    network = Network(all_idempotent=retry_all)
    for number in range(count):
        request_id = f"r{number}"
        response = network.call(
            request_id,
            idempotent=False,
            behaviours=_draw_behaviours(rng),
            disconnect=rng.random() < 0.05,
        )
        executions = network.upstreams.runs.pop(request_id, 0)
        duplicate_executions += executions > 1
        false_not_executed += response.outcome == "not-run" and executions > 0
        wrong_responses += response.status == 200 and response.body != request_id.encode()
        if rng.random() < 0.1:
            network.upstreams.send_delayed_responses()
            network.dispatcher.release_finished_calls()
        if rng.random() < 0.02:
            network.upstreams.send_unsolicited_responses()
        if number % 1000 == 999:
            network.close()
            network = Network(all_idempotent=retry_all)
    network.close()
    return ViolationCounts(duplicate_executions, false_not_executed, wrong_responses)


def _draw_behaviours(rng: random.Random) -> list[str]:
    if rng.random() < _FAULT_FREE_SHARE:
        return ["answer"]
    return [rng.choice(UPSTREAM_BEHAVIOURS) for _ in range(3)]


class _Caller(threading.Thread):
    """Call until the node has stopped; count the calls that ended without a 200 or 503 response."""

    def __init__(self, server: CallerServer) -> None:
        super().__init__(daemon=True)
        host, _, port = server.address.rpartition(":")
        self._address = (host, int(port))
        self.answered = 0
        self.rejected = 0
        self.aborted = 0

    def run(self) -> None:

        request = f"POST /write/1 HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 0\r\n\r\n".encode()
        while True:
            try:
                conn = socket.create_connection(self._address, timeout=5)
            except OSError:
                return
            with conn:
                try:
                    conn.sendall(request)
                    status = conn.recv(65536)[9:12]
                except OSError:
                    status = b""
            self.answered += status == b"200"
            self.rejected += status == b"503"
            if status not in (b"200", b"503"):
                self.aborted += 1
                return
            if status == b"503":
                time.sleep(0.02)


def count_aborted_calls(*, rounds: int) -> tuple[int, int]:
    """Stop nodes under load, one in each round.

    :returns: the number of aborted calls and the number of answered calls, over all rounds.
    """
    aborted = answered = 0
    for number in range(rounds):
        upstream = Upstream.from_config(
            UpstreamConfig("127.0.0.1", 0, "desk", "v1", 24, seed=number),
            faults=Faults(latency_ms=40),
        )
        upstream.start()
        server = CallerServer.from_config(
            ProxyConfig("127.0.0.1", 0, worker_threads=24), rng=random.Random(number)
        )
        server.start()
        port = int(upstream.address.rpartition(":")[2])
        server.update_snapshot(make_snapshot([port], slots=24))
        callers = [_Caller(server) for _ in range(_CALLERS)]
        for caller in callers:
            caller.start()
        time.sleep(0.4)
        server.begin_stop()
        time.sleep(0.2)
        aborted += server.stop(5.0)
        for caller in callers:
            caller.join()
            aborted += caller.aborted
            answered += caller.answered
        upstream.stop()
    return aborted, answered


def count_crashed_upstreams(*, upstreams: int, request_count: int) -> int:
    """Send a request that crashes every upstream that runs it; return how many crashed.

    The same request is sent ``request_count`` times through one node.
    """
    running: list[ScriptedUpstream] = []

    def crash(conn: socket.socket) -> None:
        if read_request(conn):
            local_port = conn.getsockname()[1]
            next(upstream for upstream in running if upstream.port == local_port).close()

    running.extend(ScriptedUpstream(crash) for _ in range(upstreams))
    server = CallerServer.from_config(
        ProxyConfig("127.0.0.1", 0, worker_threads=12), rng=random.Random(1)
    )
    server.start()
    server.update_snapshot(make_snapshot([upstream.port for upstream in running]))
    host, _, port = server.address.rpartition(":")
    request = f"GET /read/1 HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
    for _ in range(request_count):
        with socket.create_connection((host, int(port)), timeout=5) as conn:
            conn.sendall(request)
            read_request(conn)
    server.stop(1.0)
    crashed = sum(upstream.is_closed for upstream in running)
    for upstream in running:
        upstream.close()
    return crashed
