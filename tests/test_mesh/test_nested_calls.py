from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest

from balsamhead.mesh._calls import Call, Refused
from balsamhead.mesh.admission import (
    NestedRoutes,
    compute_nested_wait,
    has_demanding_terms,
)
from balsamhead.mesh.model import (
    Account,
    ColdStart,
    Config,
    Limits,
    Route,
    RouteKind,
    WeightedService,
)
from tests.test_mesh.builders import (
    NODE_1,
    NODE_2,
    NODE_3,
    make_call,
    make_config,
    make_route,
    run_virtual,
    start_cluster,
)

SERVICES = ("desk", "registry", "vault")


def make_model_route(name: str, **changes: Any) -> Route:
    parts = (WeightedService("vault", 1.0),)
    route = Route(name, "a.example", f"/{name}/", RouteKind.SAFE, 4.0, 0.8, 2, 2, parts)
    return route._replace(**changes)


def make_model_config(*routes: Route, **changes: Any) -> Config:
    rows = routes or (make_model_route("inner"), make_model_route("outer"))
    config = Config(1, Limits(1, 1, 1.0, 1.0), SERVICES, {row.name: row for row in rows})
    return config._replace(**(changes or {"cold_starts": {"vault": ColdStart(5.0, 20.0)}}))


def make_learner(config: Config) -> NestedRoutes:
    routes = NestedRoutes()
    routes.set_config(config)
    return routes


def feed(
    learner: NestedRoutes,
    weights: dict[str, tuple[float, ...]],
    *,
    count: int,
    seed: int = 1,
    start: float = 0.0,
    per_s: float = 50.0,
) -> float:
    """Record requests of each route, drawn by the weights of the callers' services."""
    rng = random.Random(seed)
    now = start
    for _ in range(count):
        now += 1 / per_s
        for route, row in weights.items():
            learner.record(route, rng.choices(SERVICES, row)[0], now)
    return now


def test_only_new_terms_ask_for_decisions_on_nested_calls() -> None:
    plain = make_model_config(cold_starts=None)
    assert not has_demanding_terms(None)
    assert not has_demanding_terms(plain)
    assert has_demanding_terms(plain._replace(accounts={}))
    assert has_demanding_terms(plain._replace(cold_starts={"vault": ColdStart(5.0, 20.0)}))
    for changes in ({"large_requests": True}, {"allowed_regions": ("east",)}):
        assert has_demanding_terms(
            make_model_config(make_model_route("a", **changes), cold_starts=None)
        )


def test_public_routes_carry_the_nested_calls_of_deployments_with_accounts() -> None:
    routes = (make_model_route("inner", public=True), make_model_route("outer"))
    accounts = {"acme": Account("acme", 0, 0.0, 0.0, ())}
    learner = make_learner(make_model_config(*routes, accounts=accounts))
    assert learner.is_nested("inner", 0.0)
    assert not learner.is_nested("outer", 0.0)
    # what comes only from some services is not learned besides
    now = feed(learner, {"inner": (1, 1, 1), "outer": (1, 0, 0)}, count=500)
    assert not learner.is_nested("outer", now)


def test_public_routes_mean_nothing_without_accounts() -> None:
    routes = (make_model_route("inner", public=True), make_model_route("outer"))
    assert not make_learner(make_model_config(*routes)).is_nested("inner", 0.0)


def test_route_whose_requests_come_from_one_service_is_learned() -> None:
    learner = make_learner(make_model_config())
    now = feed(learner, {"inner": (0, 1, 0), "outer": (1, 1, 1)}, count=200)
    assert learner.is_nested("inner", now)
    assert not learner.is_nested("outer", now)
    assert learner.list_callers("inner") == {"registry"}


def test_nothing_is_learned_where_the_configuration_asks_for_nothing_new() -> None:
    learner = make_learner(make_model_config(cold_starts=None))
    now = feed(learner, {"inner": (0, 1, 0), "outer": (1, 1, 1)}, count=500)
    learner.record_told("inner", now)
    assert not learner.is_nested("inner", now)


# A rare route may happen to be requested from one service for a while.
@pytest.mark.parametrize("seed", range(40))
def test_route_that_is_rare_is_not_taken_for_nested(seed: int) -> None:
    learner = make_learner(make_model_config())
    rng = random.Random(seed)
    now = 0.0
    for _ in range(4000):
        now += 0.02
        learner.record("outer", rng.choice(SERVICES), now)
        if rng.random() < 0.01:
            learner.record("inner", rng.choice(SERVICES), now)
        assert not learner.is_nested("inner", now)


# Another route with nested calls must not make the usual callers of a rare route look unusual.
@pytest.mark.parametrize("seed", range(10))
def test_rare_route_beside_a_frequent_nested_one_is_not_taken_for_nested(seed: int) -> None:
    rows = [make_model_route(name) for name in ("inner", "outer", "rare")]
    learner = make_learner(make_model_config(*rows))
    rng = random.Random(seed)
    now = 0.0
    for _ in range(3000):
        now += 0.02
        for _ in range(10):
            learner.record("inner", "desk", now)
        learner.record("outer", rng.choice(SERVICES), now)
        if rng.random() < 0.01:
            learner.record("rare", rng.choice(SERVICES), now)
        assert not learner.is_nested("rare", now)
        assert not learner.is_nested("outer", now)
    assert learner.is_nested("inner", now)


def test_uneven_callers_alone_do_not_make_a_route_nested() -> None:
    learner = make_learner(make_model_config())
    now = feed(learner, {"inner": (8, 1, 1), "outer": (1, 1, 8)}, count=3000)
    assert not learner.is_nested("inner", now)
    assert not learner.is_nested("outer", now)


def test_without_a_route_from_everywhere_nothing_is_learned() -> None:
    learner = make_learner(make_model_config())
    now = feed(learner, {"inner": (1, 0, 0), "outer": (0, 1, 1)}, count=3000)
    assert not learner.is_nested("inner", now)


# Bulk requests stay in their data centre, which may have VMs of some services only.
def test_bulk_routes_are_not_learned() -> None:
    rows = (make_model_route("inner", kind=RouteKind.BULK), make_model_route("outer"))
    learner = make_learner(make_model_config(*rows))
    now = feed(learner, {"inner": (1, 0, 0), "outer": (1, 1, 1)}, count=3000)
    assert not learner.is_nested("inner", now)


# Requests of a restricted route come from far away, those of others from nearby.
def test_routes_beside_a_restricted_one_are_not_taken_for_nested() -> None:
    rows = (make_model_route("inner", allowed_regions=("east",)), make_model_route("outer"))
    learner = make_learner(make_model_config(*rows))
    now = feed(learner, {"inner": (1, 1, 1), "outer": (1, 1, 0)}, count=3000)
    assert not learner.is_nested("outer", now)
    assert not learner.is_nested("inner", now)


def test_learned_route_is_unlearned_once_others_call_it() -> None:
    learner = make_learner(make_model_config())
    now = feed(learner, {"inner": (0, 1, 0), "outer": (1, 1, 1)}, count=500)
    assert learner.is_nested("inner", now)
    now = feed(learner, {"inner": (1, 1, 1), "outer": (1, 1, 1)}, count=200, start=now)
    assert not learner.is_nested("inner", now)


# A few samples of long ago must not outweigh the present.
def test_samples_are_forgotten_slowly() -> None:
    learner = make_learner(make_model_config())
    now = feed(learner, {"inner": (1, 1, 1), "outer": (1, 1, 1)}, count=300)
    assert not learner.is_nested("inner", now)
    now = feed(learner, {"inner": (0, 1, 0), "outer": (1, 1, 1)}, count=6000, start=now, per_s=5.0)
    assert learner.is_nested("inner", now)


# Names in messages of peers must not make the samples grow.
def test_callers_of_unknown_services_are_not_counted() -> None:
    learner = make_learner(make_model_config())
    now = feed(learner, {"inner": (0, 1, 0), "outer": (1, 1, 1)}, count=200)
    for number in range(1000):
        learner.record("inner", f"unknown-{number}", now)
    assert learner.is_nested("inner", now)
    assert learner.list_callers("inner") == {"registry"}


def test_what_peers_say_expires() -> None:
    learner = make_learner(make_model_config())
    learner.record_told("inner", 100.0)
    assert learner.is_nested("inner", 129.0)
    assert not learner.is_nested("inner", 131.0)


def test_new_configuration_drops_routes_that_are_gone() -> None:
    learner = make_learner(make_model_config())
    now = feed(learner, {"inner": (0, 1, 0), "outer": (1, 1, 1)}, count=200)
    learner.set_config(make_model_config(make_model_route("outer")))
    assert not learner.is_nested("inner", now)


def test_nested_call_waits_until_it_could_not_end_in_time() -> None:
    assert compute_nested_wait(remaining_ms=3000, service_ms=60) == pytest.approx(2910)
    assert compute_nested_wait(remaining_ms=80, service_ms=60) < 0


# -- at the upstream ----------------------------------------------------------------------


def make_full_call(name: str, **changes: Any) -> Call:
    """Return a call with the header lines that an upstream requires."""
    headers = f"Host: plots.example\r\nRequest-Id: {name}\r\n".encode()
    return make_call(name.encode(), headers=headers, **changes)


def test_nested_call_runs_before_queued_new_ones() -> None:
    async def main() -> None:
        cluster, _ = await start_cluster(NODE_1)
        local = cluster.members[1].node._local_upstream
        upstream = cluster.members[1].upstream
        upstream.service_time_s = 0.1
        upstream.slots = 1
        await upstream.announce()
        ended: list[str] = []

        async def run(name: str, **changes: Any) -> None:
            outcome = await local.run(make_full_call(name, **changes), b"")
            ended.append(name if not isinstance(outcome, Refused) else f"{name} {outcome.code}")

        async with asyncio.TaskGroup() as group:
            new = {"priority": 0, "objective_ms": 2000, "queue_timeout_ms": 2000}
            for name in ("new-1", "new-2", "new-3"):
                group.create_task(run(name, remaining_ms=2000, **new))
            await asyncio.sleep(0.01)
            # its own objective is long missed; its parent still waits for it
            group.create_task(
                run("nested", nested=True, priority=5, remaining_ms=2000, objective_ms=-500)
            )
        assert ended == ["new-1", "nested", "new-2", "new-3"]

    run_virtual(main)


def test_load_shows_nested_calls_ahead_of_all_others() -> None:
    async def main() -> None:
        cluster, _ = await start_cluster(NODE_1)
        local = cluster.members[1].node._local_upstream
        upstream = cluster.members[1].upstream
        upstream.service_time_s = 0.1
        upstream.slots = 1
        await upstream.announce()
        async with asyncio.TaskGroup() as group:
            for number in range(3):
                call = make_full_call(f"n{number}", nested=number > 0)
                group.create_task(local.run(call, b""))
            await asyncio.sleep(0.01)
            load = local.get_load()
            assert load.queue == ((-1, 2),)
            assert load.count_requests_ahead(0) == 3
            assert load.count_requests_ahead(-1) == 3

    run_virtual(main)


# The caller's node must learn it too: it would refuse the call by the objective of its own route.
def test_callers_node_is_told_which_calls_are_nested() -> None:
    async def main() -> None:
        config = make_config(1, call=make_route(path_prefix="/call/", service="desk"))
        config["services"]["desk"] |= {"cold_start": "5000ms", "cold_per_s": 20.0}
        cluster, send_request = await start_cluster(NODE_1, NODE_2, NODE_3, config=config)
        for _ in range(120):
            for cfg in (NODE_1, NODE_2, NODE_3):
                await send_request(cfg, "/check/1")
            await send_request(NODE_3, "/call/1")
        now = asyncio.get_running_loop().time()
        learned = cluster.members[3].node._local_upstream.nested_routes
        assert learned.is_nested("call", now)
        assert not learned.is_nested("check", now)

    run_virtual(main)


def test_call_that_can_still_end_is_not_refused_by_the_callers_node() -> None:
    async def main() -> None:
        call = make_route(
            path_prefix="/call/", public=True, target_latency="60ms", timeout="4000ms"
        )
        check = make_route(timeout="4000ms", target_latency="3000ms", priority=0)
        config = make_config(1, call=call, check=check) | {"tenants": {}}
        cluster, send_request = await start_cluster(NODE_1, NODE_3, config=config)
        upstream = cluster.members[1].upstream
        upstream.service_time_s = 0.4
        upstream.slots = 1
        await upstream.announce()
        await send_request(NODE_3, "/call/0", deadline_ms=4000)
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(send_request(NODE_3, f"/call/{number}", deadline_ms=4000))
                for number in range(4)
            ]
        assert [task.result().status for task in tasks] == [200] * 4

    run_virtual(main)
