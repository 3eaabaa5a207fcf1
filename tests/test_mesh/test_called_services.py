from __future__ import annotations

import asyncio
import math

import pytest

from balsamhead.mesh.admission import (
    CALLED_SERVICE_BUSY,
    CalledServices,
    TriedNodes,
    is_late,
    shows_lack_of_room,
)
from tests.test_mesh.builders import (
    NODE_1,
    NODE_3,
    Response,
    make_config,
    make_route,
    run_virtual,
    start_cluster,
)

SLOTS = 5


def record(
    services: CalledServices, outcomes: str, *, start: float = 0.0, gap_s: float = 0.02
) -> float:
    """Record outcomes of nested calls: "x" for a failed one, "." for one that ended well."""
    now = start
    for outcome in outcomes:
        now += gap_s
        services.record_call()
        services.record_outcome("vault", failed=outcome == "x", running=SLOTS, slots=SLOTS, now=now)
    return now


def test_nothing_is_limited_while_nested_calls_end_well() -> None:
    services = CalledServices()
    for round_number in range(100):
        now = record(services, "." * 50, start=float(round_number))
        assert services.get_limit(SLOTS, now) == math.inf


# Single failures have other causes, as the end of an upstream.
def test_single_failure_limits_nothing() -> None:
    services = CalledServices()
    now = record(services, "." * 100 + "x" + "." * 100 + "x")
    assert services.get_limit(SLOTS, now) == math.inf


def test_failed_calls_limit_new_requests_down_to_one() -> None:
    services = CalledServices()
    now = record(services, "x" * 10)
    limit = services.get_limit(SLOTS, now)
    assert limit < SLOTS
    now = record(services, "x" * 200, start=now)
    assert services.get_limit(SLOTS, now) == pytest.approx(1.0, abs=0.1)
    assert services.describe(SLOTS, now).service == "vault"


def test_limit_ends_within_two_seconds_after_the_last_failure() -> None:
    services = CalledServices()
    now = record(services, "x" * 200)
    assert services.get_limit(SLOTS, now + 0.5) < SLOTS
    assert services.get_limit(SLOTS, now + 2.0) == math.inf


# The decrease counted the outcomes of calls that had begun before it.
def test_burst_of_failures_decreases_the_limit_once() -> None:
    services = CalledServices()
    now = record(services, "x" * 10, gap_s=0.001)
    assert services.get_limit(SLOTS, now) == pytest.approx(0.7 * SLOTS)


def test_only_routes_whose_requests_make_calls_are_limited() -> None:
    services = CalledServices()
    for _ in range(20):
        before = services.call_count
        services.record_call()
        services.record_request("calling", calls_before=before)
        services.record_request("leaf", calls_before=services.call_count)
    assert services.is_calling("calling")
    assert not services.is_calling("leaf")
    assert not services.is_calling("unknown")


def test_call_is_late_at_twice_its_objective() -> None:
    assert not is_late(0.5, 0.29)
    assert is_late(0.6, 0.29)


# A called service that sheds for other reasons held back all requests that would call it: 205 of
# 890 refusals on a day with upstreams that shed half of their requests.
@pytest.mark.parametrize(
    ("code", "expected"),
    [
        ("upstream-busy", True),
        ("deadline-passed", True),
        ("", True),
        ("upstream-shed", False),
        ("connection-lost", False),
        ("no-upstream", False),
    ],
)
def test_only_failures_for_lack_of_room_limit_new_requests(code: str, expected: bool) -> None:
    assert shows_lack_of_room(code) is expected


def test_limiting_nodes_are_left_out_until_none_remains() -> None:
    tried = TriedNodes()
    tried.record_full("node-1", CALLED_SERVICE_BUSY)
    assert tried.list_excluded() == {"node-1"}
    assert not tried.may_wait(0.0)
    # no other node takes the request: it may wait at this one
    assert tried.allow_queueing()
    assert tried.list_excluded() == set()
    assert tried.may_wait(0.0)
    assert not tried.allow_queueing()


def test_full_nodes_may_be_selected_again() -> None:
    tried = TriedNodes()
    for _ in range(4):
        assert not tried.may_wait(0.0)
        tried.record_full("node-1", "upstream-full")
    assert tried.list_excluded() == set()
    assert tried.may_wait(0.0)


# Requests that hold all slots here may wait for calls that need one of these slots.
def test_slot_is_kept_for_nested_calls_once_one_had_to_wait() -> None:
    services = CalledServices()
    services.record_wait(1.0)
    assert services.get_limit(SLOTS, 2.0) == SLOTS - 1
    assert services.get_limit(1, 2.0) == math.inf
    assert services.describe(SLOTS, 2.0).service == "reserved"
    assert services.get_limit(SLOTS, 12.0) == math.inf


def test_kept_slot_does_not_hide_the_service_that_has_no_room() -> None:
    services = CalledServices()
    now = record(services, "x" * 50)
    services.record_wait(now)
    assert services.get_limit(SLOTS, now) < SLOTS - 1
    assert services.describe(SLOTS, now).service == "vault"


# Requests whose calls found no room took slots and failed with a 500 after their work was done.
def test_new_requests_are_refused_truly_while_their_calls_find_no_room(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO")

    async def main() -> None:
        call = make_route(
            path_prefix="/call/", service="registry", timeout="300ms", target_latency="50ms"
        )
        config = make_config(1, call=call)
        config["services"]["registry"] |= {"cold_start": "5000ms", "cold_per_s": 20.0}
        cluster, send_request = await start_cluster(NODE_1, NODE_3, config=config)
        local = cluster.members[1].node._local_upstream
        cluster.members[1].upstream.service_time_s = 0.2
        cluster.members[3].upstream.service_time_s = 0.5
        local.nested_routes.record_told("call", asyncio.get_running_loop().time())

        async def buy() -> Response:
            parent = asyncio.create_task(send_request(NODE_1, "/check/1"))
            await asyncio.sleep(0.05)
            await send_request(NODE_1, "/call/1", deadline_ms=300)
            return await parent

        for _ in range(10):
            await asyncio.gather(buy(), buy(), buy())
        assert local.called_services.is_calling("check")
        assert local.get_new_limit() < cluster.members[1].upstream.slots
        runs = len(cluster.members[1].upstream.requests)
        responses = await asyncio.gather(*(send_request(NODE_1, "/check/2") for _ in range(8)))
        refused = [row for row in responses if row.status == 503]
        assert refused
        assert all(float(row.headers[b"retry-after"][0]) > 0 for row in refused)
        # what was refused has not run
        served = len(cluster.members[1].upstream.requests) - runs
        assert served == len(responses) - len(refused) >= 1
        codes = [row.__dict__.get("code") for row in caplog.records]
        assert codes.count("called-service-busy") >= len(refused)
        # the upstream's node logs one a second, the first of them while the limit came into force
        lines = [row.__dict__ for row in caplog.records if row.message == "called-service-busy"]
        assert lines
        assert all(row["called"] == "registry" and row["limit"] < 4 for row in lines)
        # the limit is gone soon after the last failure
        await asyncio.sleep(2.5)
        assert local.get_new_limit() == math.inf
        responses = await asyncio.gather(*(send_request(NODE_1, "/check/3") for _ in range(4)))
        assert [row.status for row in responses] == [200] * 4

    run_virtual(main)
