"""Measure the latency and cost of calls, and their behaviour under load and faults."""

from __future__ import annotations

import http.client
import itertools
import os
import random
import socket
import subprocess
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from pathlib import Path
from typing import NamedTuple

from bench._call_faults import count_aborted_calls, count_crashed_upstreams, run_calls_with_faults
from bench._call_model import Scenario, count_amplification, run_scenario
from bench._frame import Measure, percentile
from bench._hops import HOST
from standin.upstream import Faults, Upstream, UpstreamConfig

__all__ = ("run",)

#: arrival rate of the latency measurement, in calls/s
_ARRIVAL_RATE = 180.0
#: rounds of the latency measurement; each round calls every path for one second
_ROUNDS = 6
#: connections over which the client distributes its calls
_CONNECTIONS = 4
_SEED = 7
#: latency that a node may add to a call at p99, in ms
_ADDED_P99_TARGET_MS = 0.55

#: upstreams of the overload measurement, slots of each, and time per request in ms
_UPSTREAMS = 2
_SLOTS = 4
_SERVICE_TIME_MS = 100.0
#: deadline of calls in the overload measurement, in ms, and duration of each load level, in s
_DEADLINE_MS = 500
_OVERLOAD_DURATION_S = 6.0
#: largest number of concurrent calls in the overload measurement
_MAX_OPEN_CALLS = 128
#: seed of the simulations under a virtual clock
_MODEL_SEED = 11
#: calls of the fault measurement, and of its baseline
_FAULTY_CALLS = 100_000
_BASELINE_FAULTY_CALLS = 5_000
#: number of nodes stopped under load
_STOP_COUNT = 5
#: number of times that the request that crashes upstreams is sent
_CRASH_REQUEST_COUNT = 30

_REQUEST = f"GET /read/1 HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()


class _Hop(NamedTuple):
    process: subprocess.Popen[str]
    port: int

    def cpu_s(self) -> float:
        """Return the processor time that the process has used, in s."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _start_hop(stack: ExitStack, *args: str) -> _Hop:
    command = [sys.executable, "-m", "bench._hops", *args]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    stack.callback(process.wait)
    stack.callback(process.terminate)
    assert process.stdout is not None
    return _Hop(process, int(process.stdout.readline()))


class _Client:
    """Client that calls one port over several connections, round-robin."""

    def __init__(self, port: int) -> None:
        self._conns = [socket.create_connection(("127.0.0.1", port)) for _ in range(_CONNECTIONS)]
        for conn in self._conns:
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._calls = 0
        self.latencies_ms: list[float] = []

    def call(self, *, is_recorded: bool = True) -> None:
        """Make one call, and record its latency if ``is_recorded``."""
        conn = self._conns[self._calls % _CONNECTIONS]
        self._calls += 1
        started_at = time.perf_counter()
        conn.sendall(_REQUEST)
        _read_response(conn)
        if is_recorded:
            self.latencies_ms.append((time.perf_counter() - started_at) * 1000)


def _read_response(conn: socket.socket) -> None:
    data = b""
    while b"\r\n\r\n" not in data:
        data += conn.recv(65536)
    header, _, body = data.partition(b"\r\n\r\n")
    length = int(header.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
    while len(body) < length:
        body += conn.recv(65536)
    if not header.startswith(b"HTTP/1.1 200"):
        raise RuntimeError(f"the call failed: {header!r}")


def _call_for_one_second(client: _Client, rng: random.Random) -> None:
    """Make calls with exponential inter-arrival times for one second."""
    due_at = time.perf_counter()
    end = due_at + 1.0
    while (due_at := due_at + rng.expovariate(_ARRIVAL_RATE)) < end:
        time.sleep(max(0.0, due_at - time.perf_counter()))
        client.call()


def _measure_added_latency() -> list[Measure]:
    rng = random.Random(_SEED)
    with ExitStack() as stack:
        upstream = _start_hop(stack, "upstream")
        hops = {
            "direct": upstream,
            "bare": _start_hop(stack, "bare", str(upstream.port)),
            "relay": _start_hop(stack, "relay", str(upstream.port)),
            "node": _start_hop(stack, "node", "64", "2000", str(upstream.port)),
        }
        clients = {name: _Client(hop.port) for name, hop in hops.items()}
        for client in clients.values():
            for _ in range(100):
                client.call(is_recorded=False)
        cpu_before = hops["node"].cpu_s()
        for _ in range(_ROUNDS):
            for client in clients.values():
                _call_for_one_second(client, rng)
        cpu_s = hops["node"].cpu_s() - cpu_before
    latencies = {name: client.latencies_ms for name, client in clients.items()}
    return [*_compare_latency(latencies), _make_cpu_measure(cpu_s, len(latencies["node"]))]


def _compare_latency(latencies: dict[str, list[float]]) -> list[Measure]:
    measures = []
    for name, share, target in (("p50", 0.5, None), ("p99", 0.99, _ADDED_P99_TARGET_MS)):
        path_latencies = {path: percentile(values, share) for path, values in latencies.items()}
        direct = path_latencies["direct"]
        runs = len(latencies["node"])
        rows = (
            (f"call.direct_ms_{name}", direct, None, None),
            (f"call.bare_added_ms_{name}", path_latencies["bare"] - direct, None, None),
            (f"call.relay_added_ms_{name}", path_latencies["relay"] - direct, None, None),
            (
                f"call.added_ms_{name}",
                path_latencies["node"] - direct,
                path_latencies["bare"] - direct,
                target,
            ),
        )
        for measure, value, baseline, target_ms in rows:
            row = Measure("call", measure, "ms", value, baseline, target_ms, "lower", _SEED, runs)
            measures.append(row)
    return measures


def _make_cpu_measure(cpu_s: float, calls: int) -> Measure:
    value = cpu_s / calls * 1e6
    return Measure("call", "call.cpu_us_per_call", "us", value, None, None, "lower", _SEED, calls)


class _OpenLoopClient:
    """Open-loop client: sends calls at a fixed mean rate, regardless of earlier responses."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._local = threading.local()
        self._lock = threading.Lock()
        self.on_time_responses = 0

    def run(self, rate: float, duration_s: float) -> float:
        """Send calls for ``duration_s``, and return the goodput.

        :returns: responses with status 200 within the deadline, per second.
        """
        self.on_time_responses = 0
        rng = random.Random(_SEED)
        with ThreadPoolExecutor(max_workers=_MAX_OPEN_CALLS) as executor:
            due_at = time.perf_counter()
            end = due_at + duration_s
            while (due_at := due_at + rng.expovariate(rate)) < end:
                time.sleep(max(0.0, due_at - time.perf_counter()))
                executor.submit(self._call, due_at)
        return self.on_time_responses / duration_s

    def _call(self, due_at: float) -> None:
        conn: http.client.HTTPConnection | None = getattr(self._local, "conn", None)
        if conn is None:
            conn = http.client.HTTPConnection("127.0.0.1", self._port, timeout=5)
            self._local.conn = conn
        try:
            conn.request("GET", "/read/1", headers={"Host": HOST})
            res = conn.getresponse()
            res.read()
        except (OSError, http.client.HTTPException):
            conn.close()
            return
        is_on_time = (time.perf_counter() - due_at) * 1000 <= _DEADLINE_MS
        with self._lock:
            self.on_time_responses += res.status == 200 and is_on_time


def _start_upstreams(stack: ExitStack) -> list[str]:
    ports = []
    for number in range(_UPSTREAMS):
        cfg = UpstreamConfig("127.0.0.1", 0, "desk", "v1", _SLOTS, seed=number)
        upstream = Upstream.from_config(cfg, faults=Faults(latency_ms=_SERVICE_TIME_MS))
        upstream.start()
        stack.callback(upstream.stop)
        ports.append(upstream.address.rpartition(":")[2])
    return ports


def _measure_overload() -> list[Measure]:
    capacity = _UPSTREAMS * _SLOTS / (_SERVICE_TIME_MS / 1000)
    ratios = {}
    for name, args in (("node", ("node", str(_SLOTS), str(_DEADLINE_MS))), ("bare", ("bare",))):
        with ExitStack() as stack:
            hop = _start_hop(stack, *args, *_start_upstreams(stack))
            client = _OpenLoopClient(hop.port)
            client.run(capacity, 1.0)
            goodput_at_capacity = client.run(capacity, _OVERLOAD_DURATION_S)
            ratios[name] = client.run(3 * capacity, _OVERLOAD_DURATION_S) / goodput_at_capacity
    return [
        Measure(
            "call",
            "call.goodput_ratio_at_3x",
            "1",
            ratios["node"],
            ratios["bare"],
            0.95,
            "higher",
            _SEED,
            int(4 * capacity * _OVERLOAD_DURATION_S),
        )
    ]


def _make_model_measure(
    measure: str, unit: str, value: float, baseline: float | None, runs: int
) -> Measure:
    target = {"call.p99_ratio_one_slow_upstream": 1.2, "call.retry_amplification": 1.1}
    return Measure(
        "call", measure, unit, value, baseline, target.get(measure), "lower", _MODEL_SEED, runs
    )


def _measure_slow_upstream() -> Measure:
    ratios = {}
    for policy in ("own-counts", "round-robin"):
        healthy = Scenario(policy, 0.5, deadline_s=5.0, seed=_MODEL_SEED)
        slow = healthy._replace(slow_factor=10.0)
        ratios[policy] = run_scenario(slow).p99_ms / run_scenario(healthy).p99_ms
    name = "call.p99_ratio_one_slow_upstream"
    return _make_model_measure(name, "1", ratios["own-counts"], ratios["round-robin"], 1)


def _measure_amplification() -> list[Measure]:
    amplification = count_amplification(depth=9, calls=2000, retry_all=False)
    baseline_amplification = count_amplification(depth=9, calls=1, retry_all=True)
    growth_per_layer = [b / a for a, b in itertools.pairwise([1.0, *amplification])]
    return [
        _make_model_measure("call.retry_amplification", "1", max(growth_per_layer), 3.0, 2000),
        _make_model_measure(
            "call.retry_amplification_bottom",
            "1",
            amplification[-1],
            baseline_amplification[-1],
            2000,
        )._replace(target=1.5),
    ]


def _compare_policies() -> list[Measure]:
    """Compare load balancing by own counts, shared counts, exact counts and round-robin."""
    measures = []
    for load in (0.8, 3.0):
        results = {
            policy: run_scenario(Scenario(policy, load, seed=_MODEL_SEED))
            for policy in ("own-counts", "shared-counts", "exact", "round-robin")
        }
        round_robin = results["round-robin"]
        for policy, result in results.items():
            name = f"call.model_{policy.replace('-', '_')}_at_{load:g}x"
            rows = (
                ("goodput", "calls/s", result.goodput, round_robin.goodput, "higher"),
                ("p99_ms", "ms", result.p99_ms, round_robin.p99_ms, "lower"),
                ("attempts", "1", result.attempts, round_robin.attempts, "lower"),
                ("control_bytes", "B/s", result.control_bytes_per_s, 0.0, "lower"),
            )
            for part, unit, value, baseline, better in rows:
                row = _make_model_measure(f"{name}_{part}", unit, value, baseline, 1)
                measures.append(row._replace(better=better))
    return measures


def _measure_faults() -> list[Measure]:
    measured = run_calls_with_faults(_FAULTY_CALLS, seed=_SEED)
    baseline_counts = run_calls_with_faults(_BASELINE_FAULTY_CALLS, seed=_SEED, retry_all=True)
    scale = _FAULTY_CALLS / _BASELINE_FAULTY_CALLS
    aborted, answered = count_aborted_calls(rounds=_STOP_COUNT)
    rows = (
        (
            "call.double_runs",
            measured.duplicate_executions,
            baseline_counts.duplicate_executions * scale,
            _FAULTY_CALLS,
        ),
        (
            "call.false_not_run",
            measured.false_not_executed,
            baseline_counts.false_not_executed * scale,
            _FAULTY_CALLS,
        ),
        (
            "call.wrong_answers",
            measured.wrong_responses,
            baseline_counts.wrong_responses * scale,
            _FAULTY_CALLS,
        ),
        ("stop.cut_calls", aborted, None, answered),
    )
    return [
        *(
            Measure("call", name, "1", float(value), baseline, 0.0, "lower", _SEED, runs)
            for name, value, baseline, runs in rows
        ),
        _measure_crashed_upstreams(),
    ]


def _measure_crashed_upstreams() -> Measure:
    crashed = count_crashed_upstreams(upstreams=9, request_count=_CRASH_REQUEST_COUNT)
    name = "call.upstreams_crashed_by_one_request"
    return Measure(
        "call", name, "1", float(crashed), None, 2.0, "lower", _SEED, _CRASH_REQUEST_COUNT
    )


def run() -> list[Measure]:
    """Run the benchmarks of this area and return their measures."""
    return [
        *_measure_added_latency(),
        *_measure_overload(),
        _measure_slow_upstream(),
        *_measure_amplification(),
        *_compare_policies(),
        *_measure_faults(),
    ]
