"""Model callers and upstreams of a mesh whose nodes share thin links, on a virtual clock.

Nodes, links and store are the real ones, in memory; callers retry as the platform's do.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import TYPE_CHECKING, Any, Final, NamedTuple

from balsamhead.mesh._server import Reply, Request
from tests.test_mesh.builders import (
    PLACES,
    FakeUpstream,
    InMemoryCluster,
    RequestSender,
    make_config,
    make_route,
    make_settings,
    run_virtual,
)

if TYPE_CHECKING:
    from balsamhead.mesh._settings import MeshSettings

__all__ = ("KINDS", "LoadResult", "run_load")

#: nodes with an upstream of each service, in each data centre
_DESKS: Final = 7
_REGISTRIES: Final = 2
#: requests at once that an upstream runs
_SLOTS: Final = 2
#: factors on the work of the upstreams of each service, in turn
_SPEEDS: Final = {"desk": (0.5, 1.0, 1.0, 1.5), "registry": (0.7, 0.7, 1.6)}
#: requests of callers at a load of 1, in 1/s
_REQUEST_RATE: Final = 385.0
#: probability that a check makes calls of its own, and how many it makes
_CALL_SHARE: Final = 0.7
_CALL_COUNT: Final = 2
#: attempts of a caller, and the delay before a second one if it was told none, in s
_MAX_ATTEMPTS: Final = 2
_RETRY_DELAY_S: Final = 0.05
#: time that a caller must have left for another attempt, in s
_MIN_TIME_LEFT_S: Final = 0.05
#: worth of a response that misses its objective
_LATE_WORTH: Final = 0.5


class Kind(NamedTuple):
    """Kind of request."""

    method: str
    #: kind of its route, in the platform's words
    route_kind: str
    service: str
    #: share of the callers' requests, relative to that of the others; 0 for calls of upstreams
    weight: float
    #: mean of the work in ms, and standard deviation of its logarithm
    work_ms: float
    spread: float
    objective_s: float
    timeout_s: float
    deadline_s: float
    response_bytes: int = 400


KINDS: Final = {
    "check": Kind("GET", "safe", "desk", 4.6, 77.0, 0.8, 0.478, 0.8, 1.79),
    "accept": Kind("POST", "unsafe", "desk", 1.9, 100.0, 0.3, 0.485, 0.8, 1.82),
    "export": Kind("GET", "download", "registry", 0.74, 62.0, 0.5, 0.731, 2.0, 2.9, 90_000),
    "withdraw": Kind("POST", "unsafe", "registry", 0.57, 62.0, 0.5, 0.38, 1.2, 1.52, 1_500),
    "lookup": Kind("GET", "safe", "registry", 0.0, 19.0, 0.5, 0.158, 0.494, 0.494),
}


class _Sample(NamedTuple):
    kind: str
    status: int
    took_s: float


class LoadResult(NamedTuple):
    """Responses of a run."""

    samples: list[_Sample]

    def count(self, kind: str) -> int:
        """Return the number of requests of a kind."""
        return sum(1 for sample in self.samples if sample.kind == kind)

    def compute_worth(self, kind: str) -> float:
        """Return the share of a kind's worth that was earned, 0 to 1."""
        served = [row.took_s for row in self.samples if row.kind == kind and row.status == 200]
        in_time = sum(1 for took_s in served if took_s <= KINDS[kind].objective_s)
        earned = in_time + _LATE_WORTH * (len(served) - in_time)
        return earned / max(1, self.count(kind))


class _Model:
    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.ask = RequestSender()
        self.loop = asyncio.get_running_loop()
        self.nodes: list[MeshSettings] = []
        self.samples: list[_Sample] = []

    async def send(self, kind_name: str, delay_s: float) -> None:
        """Send a caller's request, and again if it may be repeated, and record the end."""
        kind = KINDS[kind_name]
        await asyncio.sleep(delay_s)
        started_at = self.loop.time()
        status = 0
        for _ in range(_MAX_ATTEMPTS):
            left_s = kind.deadline_s - (self.loop.time() - started_at)
            if left_s < _MIN_TIME_LEFT_S:
                break
            status, retry_delay_s = await self._attempt(kind_name, kind, left_s)
            if status == 200 or (kind.route_kind == "unsafe" and status != 503):
                break
            await asyncio.sleep(retry_delay_s)
        self.samples.append(_Sample(kind_name, status, self.loop.time() - started_at))

    async def _attempt(self, kind_name: str, kind: Kind, left_s: float) -> tuple[int, float]:
        node = self.rng.choice(self.nodes)
        try:
            async with asyncio.timeout(left_s):
                response = await self.ask(
                    node, f"/{kind_name}/1", method=kind.method, deadline_ms=int(left_s * 1000)
                )
        except (TimeoutError, EOFError, OSError):
            return 0, _RETRY_DELAY_S
        retry_after = response.headers.get(b"retry-after")
        return response.status, float(retry_after[0]) if retry_after else _RETRY_DELAY_S


class _CallingUpstream(FakeUpstream):
    """Upstream with random work, whose checks call the registry through the mesh."""

    def __init__(self, cfg: MeshSettings, model: _Model, speed: float) -> None:
        super().__init__(cfg, slots=_SLOTS)
        self._model = model
        self._speed = speed

    async def _run(self, request: Request) -> Reply:
        kind_name = request.head.path.split("/")[1]
        kind = KINDS[kind_name]
        headers = request.head.headers
        deadline = self._model.loop.time() + int(headers[b"deadline-ms"][0]) / 1000
        signature = b"Request-Id: %b\r\nServer-Stamp: s\r\n" % headers[b"request-id"][0]
        work_s = self._draw_work(kind)
        await asyncio.sleep(work_s / 2)
        if kind_name == "check" and self._model.rng.random() < _CALL_SHARE:
            for _ in range(_CALL_COUNT):
                if not await self._look_up(deadline):
                    return Reply(500, headers=signature)
        await asyncio.sleep(work_s / 2)
        if self._model.loop.time() > deadline:
            return Reply(504, headers=signature)
        return Reply(200, b"x" * kind.response_bytes, signature)

    async def _look_up(self, deadline: float) -> bool:
        left_s = min(deadline - self._model.loop.time(), KINDS["lookup"].deadline_s)
        if left_s <= 0:
            return False
        response = await self._model.ask(
            self.cfg, "/lookup/1", deadline_ms=max(1, int(left_s * 1000))
        )
        return response.status == 200

    def _draw_work(self, kind: Kind) -> float:
        factor = self._model.rng.lognormvariate(-(kind.spread**2) / 2, kind.spread)
        return self._speed * kind.work_ms / 1000 * factor


def _make_routes() -> dict[str, dict[str, Any]]:
    return {
        name: make_route(
            path_prefix=f"/{name}/",
            kind=kind.route_kind,
            service=kind.service,
            priority=1 if name == "accept" else 2,
            timeout=f"{kind.timeout_s * 1000:.0f}ms",
            target_latency=f"{kind.objective_s * 1000:.0f}ms",
        )
        for name, kind in KINDS.items()
    }


async def _start(model: _Model, link_rate: float | None) -> None:
    cluster = InMemoryCluster()
    await cluster.start(config=make_config(1, **_make_routes()))
    places: Counter[str] = Counter()
    for place in PLACES:
        for service in ["desk"] * _DESKS + ["registry"] * _REGISTRIES:
            speeds = _SPEEDS[service]
            cfg = make_settings(len(model.nodes) + 1, service=service, place=place)
            upstream = _CallingUpstream(cfg, model, speeds[places[service] % len(speeds)])
            places[service] += 1
            await upstream.start()
            await cluster.add(cfg, upstream=upstream)
            model.nodes.append(cfg)
            if link_rate is not None:
                cluster.network.send_rates[cfg.peer_address.split(":")[0]] = link_rate
    await asyncio.sleep(3.0)


def run_load(*, load: float, link_rate: float | None, seconds: float, seed: int) -> LoadResult:
    """Send requests at random times to random nodes and return how they ended.

    :param load: factor on the usual rate of requests.
    :param link_rate: rate at which each node sends to others, in bytes/s; None if unlimited.
    """
    results: list[LoadResult] = []

    async def main() -> None:
        model = _Model(random.Random(seed))
        await _start(model, link_rate)
        names = [name for name, kind in KINDS.items() if kind.weight]
        weights = [KINDS[name].weight for name in names]
        tasks = []
        sent_at = 0.0
        while sent_at < seconds:
            sent_at += model.rng.expovariate(_REQUEST_RATE * load)
            name = model.rng.choices(names, weights)[0]
            tasks.append(model.loop.create_task(model.send(name, sent_at)))
        await asyncio.gather(*tasks)
        results.append(LoadResult(model.samples))

    run_virtual(main)
    return results[0]
