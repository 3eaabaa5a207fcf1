"""Model services that call each other under overload, on a virtual clock and without a network."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import NamedTuple

from balsamhead.mesh._metrics import MeshMetrics
from balsamhead.mesh._queue_timeout import compute_max_wait
from balsamhead.mesh._slot_queue import SlotQueue
from balsamhead.mesh.admission import (
    NESTED_PRIORITY,
    CalledServices,
    compute_nested_wait,
    is_late,
)
from balsamhead.util.moving_mean import MovingMean
from standin.virtual_network import VirtualLoop

#: slots of each upstream
SLOTS = 5
#: how many upstreams a caller's node compares, and to how many it sends a call
COMPARED, ATTEMPTS = 8, 3
#: most nested calls of a request at once, and how often a client repeats a refused request
CALLS, REPEATS = 2, 2


class ServiceModel(NamedTuple):
    """Upstreams of a service, and the new requests and calls that reach it."""

    name: str
    upstreams: int
    #: new requests per s at normal load
    rate_per_s: float
    #: time of a new request without its calls, and of a call, in s
    own_s: float
    call_s: float
    objective_s: float
    call_objective_s: float
    deadline_s: float
    #: service that its requests call twice at once; empty for none
    calls: str = ""
    #: requests make calls if fewer requests than this stand between them and the client
    call_depth: int = 1


#: the typical services, at half of their size
SERVICES = (
    ServiceModel("first", 18, 203.0, 0.183, 0.061, 0.67, 0.29, 3.3, "second"),
    ServiceModel("second", 13, 85.5, 0.261, 0.061, 0.99, 0.29, 3.8, "third"),
    ServiceModel("third", 4, 30.0, 0.289, 0.061, 2.3, 0.8, 4.4),
)

#: services of which each new request of the one makes calls that call it back
CHAIN = (
    ServiceModel("ask", 6, 60.0, 0.1, 0.05, 0.5, 0.3, 2.0, "answer"),
    ServiceModel("answer", 6, 20.0, 0.1, 0.05, 0.5, 0.3, 2.0, "ask", call_depth=2),
)


class UpstreamModel:
    """An upstream with its queue, and the decisions of its node."""

    def __init__(self, service: ServiceModel, *, decides: bool) -> None:
        self.service = service
        self.decides = decides
        self.called = CalledServices()
        self.mean_ms = {nested: MovingMean(weight=0.05, default=60.0) for nested in (True, False)}
        self.loop = asyncio.get_running_loop()
        self.slots = SlotQueue(
            count_slots=lambda: SLOTS, metrics=MeshMetrics(), get_new_limit=self.get_new_limit
        )

    def get_new_limit(self) -> float:
        return self.called.get_limit(SLOTS, self.loop.time())

    def estimate_wait_ms(self, ahead: int, *, limited: bool = False) -> float:
        mean_ms = sum(mean.value for mean in self.mean_ms.values()) / len(self.mean_ms)
        slots = min(float(SLOTS), max(1.0, self.get_new_limit())) if limited else SLOTS
        return (ahead + 1) * mean_ms / slots

    async def admit(
        self, deadline: float, objective: float, *, nested: bool, limited: bool
    ) -> bool:
        if self.slots.has_free_slot(limited=limited):
            self.slots.acquire(limited=limited)
            return True
        now = self.loop.time()
        if nested and self.decides:
            self.called.record_wait(now)
        remaining_ms, service_ms = (deadline - now) * 1000, self.mean_ms[nested].value
        if nested and self.decides:
            max_wait_ms = compute_nested_wait(remaining_ms=remaining_ms, service_ms=service_ms)
        else:
            max_wait_ms = compute_max_wait(
                objective_ms=(objective - now) * 1000,
                queue_timeout_ms=remaining_ms * 0.4,
                remaining_ms=remaining_ms,
                service_ms=service_ms,
                bound_by_objective=self.slots.is_saturated()
                or (limited and not self.slots.has_limited_room()),
            )
        priority = NESTED_PRIORITY if nested and self.decides else 1
        if self.estimate_wait_ms(self.slots.count_ahead(priority), limited=limited) > max_wait_ms:
            return False
        return await self.slots.wait(priority, max_wait_s=max_wait_ms / 1000, limited=limited)


class OverloadModel:
    """Send new requests at a multiple of the normal load, and count those that end in time."""

    def __init__(
        self, services: tuple[ServiceModel, ...], load: float, *, decides: bool, seed: int
    ) -> None:
        self.services = {service.name: service for service in services}
        self.load = load
        self.decides = decides
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.upstreams = {
            service.name: [
                UpstreamModel(service, decides=decides) for _ in range(service.upstreams)
            ]
            for service in services
        }
        self.good: Counter[str] = Counter()
        #: longest time in which no request of a service has ended in time, in s
        self.longest_gap_s: dict[str, float] = {}
        self._ended_at: dict[str, float] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, *, warm_up_s: float, duration_s: float) -> dict[str, float]:
        """Return the requests that end in time, per s, by service."""
        sources = [self.loop.create_task(self.send_all(row)) for row in self.services.values()]
        await asyncio.sleep(warm_up_s)
        self.good.clear()
        self.longest_gap_s = dict.fromkeys(self.services, 0.0)
        self._ended_at = dict.fromkeys(self.services, self.loop.time())
        await asyncio.sleep(duration_s)
        for name in self.services:
            self.record_gap(name)
        good = {name: self.good[name] / duration_s for name in self.services}
        for task in [*sources, *self.tasks]:
            task.cancel()
        return good

    def record_gap(self, name: str) -> None:
        now = self.loop.time()
        gap_s = now - self._ended_at.get(name, now)
        self._ended_at[name] = now
        self.longest_gap_s[name] = max(self.longest_gap_s.get(name, 0.0), gap_s)

    async def send_all(self, service: ServiceModel) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(service.rate_per_s * self.load))
            task = self.loop.create_task(self.send_new(service))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def send_new(self, service: ServiceModel) -> None:
        deadline = self.loop.time() + service.deadline_s
        objective = self.loop.time() + service.objective_s
        for _ in range(1 + REPEATS):
            status = await self.send(service.name, deadline, objective, depth=0)
            if status != 503:
                break
            await asyncio.sleep(0.3)
        if status == 200 and self.loop.time() <= deadline:
            self.good[service.name] += 1
            self.record_gap(service.name)

    async def send(self, name: str, deadline: float, objective: float, *, depth: int) -> int:
        nested = depth > 0
        priority = NESTED_PRIORITY if nested and self.decides else 1
        excluded: list[UpstreamModel] = []
        for _ in range(ATTEMPTS):
            rows = [row for row in self.upstreams[name] if row not in excluded]
            if not rows:
                break
            upstream = min(
                self.rng.sample(rows, min(COMPARED, len(rows))),
                key=lambda row: row.slots.running + row.slots.count_ahead(priority),
            )
            limited = not nested and upstream.called.is_calling(name)
            if await upstream.admit(deadline, objective, nested=nested, limited=limited):
                return await self.run_at(upstream, deadline, depth=depth, limited=limited)
            excluded.append(upstream)
        return 503

    async def run_at(
        self, upstream: UpstreamModel, deadline: float, *, depth: int, limited: bool
    ) -> int:
        nested = depth > 0
        service, started_at = upstream.service, self.loop.time()
        calls_before = upstream.called.call_count
        status = 200
        try:
            async with asyncio.timeout_at(deadline):
                mean_s = service.call_s if nested else service.own_s
                await asyncio.sleep(mean_s * self.rng.uniform(0.6, 1.4))
                if service.calls and depth < service.call_depth:
                    calls = (self.call(upstream, deadline, depth + 1) for _ in range(CALLS))
                    status = 200 if all(await asyncio.gather(*calls)) else 500
        except TimeoutError:
            status = 504
        finally:
            upstream.slots.release(limited=limited)
            if not nested:
                upstream.called.record_request(service.name, calls_before=calls_before)
        if status == 200:
            upstream.mean_ms[nested].add((self.loop.time() - started_at) * 1000)
        return status

    async def call(self, upstream: UpstreamModel, deadline: float, depth: int) -> bool:
        service = self.services[upstream.service.calls]
        started_at = self.loop.time()
        objective = started_at + service.call_objective_s
        if self.decides:
            upstream.called.record_call()
        status = await self.send(service.name, deadline, objective, depth=depth)
        if self.decides:
            upstream.called.record_outcome(
                service.name,
                failed=status in (503, 504)
                or is_late(self.loop.time() - started_at, service.call_objective_s),
                running=upstream.slots.running_limited,
                slots=SLOTS,
                now=self.loop.time(),
            )
        return status == 200


class Goodput(NamedTuple):
    """Requests of new clients that end in time."""

    #: requests per s by service
    rates: dict[str, float]
    #: longest time without one, in s, by service
    longest_gap_s: dict[str, float]

    @property
    def total(self) -> float:
        """Return the requests per s of all services."""
        return sum(self.rates.values())


def measure_goodput(
    load: float,
    *,
    decides: bool,
    services: tuple[ServiceModel, ...] = SERVICES,
    seed: int = 1,
    warm_up_s: float = 4.0,
    duration_s: float = 6.0,
) -> Goodput:
    """Return the requests that end in time at a multiple of the normal load."""

    async def main() -> Goodput:
        model = OverloadModel(services, load, decides=decides, seed=seed)
        rates = await model.run(warm_up_s=warm_up_s, duration_s=duration_s)
        return Goodput(rates, model.longest_gap_s)

    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(main())
    finally:
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        asyncio.set_event_loop(None)
        loop.close()
