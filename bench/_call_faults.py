"""Put calls through faulty exchanges and count what must never happen."""

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

__all__ = ("Verdict", "count_crashed_upstreams", "count_cut_calls", "run_faulty_exchanges")

#: share of exchanges that meet no fault, 0 to 1
_HEALTHY_SHARE = 0.3
#: callers that call while the node stops
_CALLERS = 12


class Verdict(NamedTuple):
    """Count the promises that were broken."""

    double_runs: int
    false_not_run: int
    wrong_answers: int


def run_faulty_exchanges(count: int, *, seed: int, blind: bool = False) -> Verdict:
    """Make calls whose attempts meet random faults.

    :param blind: declare every route idempotent, as a proxy that retries anything would.
    """
    rng = random.Random(seed)
    double_runs = false_not_run = wrong_answers = 0
    network = Network(all_idempotent=blind)
    for number in range(count):
        request_id = f"r{number}"
        got = network.call(
            request_id,
            idempotent=False,
            behaviours=_draw_fates(rng),
            disconnect=rng.random() < 0.05,
        )
        runs = network.upstreams.runs.pop(request_id, 0)
        double_runs += runs > 1
        false_not_run += got.outcome == "not-run" and runs > 0
        wrong_answers += got.status == 200 and got.body != request_id.encode()
        if rng.random() < 0.1:
            network.upstreams.send_delayed_responses()
            network.dispatcher.release_finished_calls()
        if rng.random() < 0.02:
            network.upstreams.send_unsolicited_responses()
        if number % 1000 == 999:
            network.close()
            network = Network(all_idempotent=blind)
    network.close()
    return Verdict(double_runs, false_not_run, wrong_answers)


def _draw_fates(rng: random.Random) -> list[str]:
    if rng.random() < _HEALTHY_SHARE:
        return ["answer"]
    return [rng.choice(UPSTREAM_BEHAVIOURS) for _ in range(3)]


class _Caller(threading.Thread):
    """Call until the node is gone; count calls that ended without an answer or a refusal."""

    def __init__(self, server: CallerServer) -> None:
        super().__init__(daemon=True)
        host, _, port = server.address.rpartition(":")
        self._address = (host, int(port))
        self.answered = 0
        self.refused = 0
        self.cut = 0

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
            self.refused += status == b"503"
            if status not in (b"200", b"503"):
                self.cut += 1
                return
            if status == b"503":
                time.sleep(0.02)


def count_cut_calls(*, rounds: int) -> tuple[int, int]:
    """Stop a node under load, round after round.

    :returns: calls that were cut, and calls that were answered in all.
    """
    cut = answered = 0
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
        cut += server.stop(5.0)
        for caller in callers:
            caller.join()
            cut += caller.cut
            answered += caller.answered
        upstream.stop()
    return cut, answered


def count_crashed_upstreams(*, upstreams: int, sends: int) -> int:
    """Send a request that ends each upstream that runs it, again and again, to one node."""
    running: list[ScriptedUpstream] = []

    def crash(conn: socket.socket) -> None:
        if read_request(conn):
            own = conn.getsockname()[1]
            next(upstream for upstream in running if upstream.port == own).close()

    running.extend(ScriptedUpstream(crash) for _ in range(upstreams))
    server = CallerServer.from_config(
        ProxyConfig("127.0.0.1", 0, worker_threads=12), rng=random.Random(1)
    )
    server.start()
    server.update_snapshot(make_snapshot([upstream.port for upstream in running]))
    host, _, port = server.address.rpartition(":")
    request = f"GET /read/1 HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
    for _ in range(sends):
        with socket.create_connection((host, int(port)), timeout=5) as conn:
            conn.sendall(request)
            read_request(conn)
    server.stop(1.0)
    crashed = sum(upstream.is_closed for upstream in running)
    for upstream in running:
        upstream.close()
    return crashed
