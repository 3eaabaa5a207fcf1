from __future__ import annotations

import asyncio
import math
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import pytest

from balsamhead.mesh._selection import Candidate, Locality
from balsamhead.mesh.balancing import ReportedLoad, expect_requests_ahead, is_even
from balsamhead.mesh.model import Account, Config, Limits, Route, RouteKind, WeightedService
from tests.test_mesh.balancing_model import Figures, Model
from tests.test_mesh.balancing_ways import choose_evenly, choose_least_wait
from tests.test_mesh.builders import (
    NODE_1,
    NODE_2,
    InMemoryCluster,
    RequestSender,
    make_config,
    make_route,
    make_settings,
    run_virtual,
    start_cluster,
)

NEARBY = Locality(same_vm=False, same_data_centre=True, same_region=True)
OTHER_DATA_CENTRE = Locality(same_vm=False, same_data_centre=False, same_region=True)
#: speeds of 36 upstreams, 0.7 to 1.6
SPEEDS = tuple(0.7 + 0.9 * number / 35 for number in range(36))
#: how much the imbalance of one run of a second differs by chance; with 3/4 of the slots in use, a
#: single full upstream of 36 already gives 1.33
IMBALANCE_NOISE = 0.1
ROUTE = Route(
    "a", "a.example", "/", RouteKind.SAFE, 1.0, 0.25, 2, 2, (WeightedService("desk", 1.0),)
)
Way = Callable[[list[Candidate], random.Random], Any]


def make_candidates(*running: float, age_s: float = 0.45, **changes: Any) -> list[Candidate]:
    """Return nearby upstreams of 5 slots by their reported load, with the load to expect."""
    expected = expect_requests_ahead([ReportedLoad(5, ahead, 60.0, age_s) for ahead in running])
    return [
        Candidate(
            f"node-{number}",
            "v1",
            5,
            requests_ahead,
            60.0,
            in_slow_start=False,
            locality=NEARBY,
            load_age_s=age_s,
            reported_ahead=running[number],
        )._replace(**changes)
        for number, requests_ahead in enumerate(expected)
    ]


def count_choices(candidates: list[Candidate], way: Way = choose_evenly) -> Counter[str]:
    """Return how many of 1,000 callers with the same candidates choose each upstream."""
    return Counter(way(candidates, random.Random(number)).candidate.node for number in range(1000))


# Many callers see the same old report of an idle upstream among busy ones.
@pytest.mark.parametrize("age_s", [0.1, 0.5])
def test_callers_with_the_same_old_report_do_not_all_choose_the_same_upstream(age_s: float) -> None:
    assert count_choices(make_candidates(0, *[4] * 7, age_s=age_s))["node-0"] <= 250


# Many callers see a report of an idle upstream, which is a few ms old and thus still right.
def test_free_slots_of_a_recent_report_are_used() -> None:
    assert count_choices(make_candidates(0, *[4] * 7, age_s=0.002))["node-0"] >= 350


# A caller's own response shows an upstream idle, while all others know older reports.
def test_report_that_no_other_node_has_counts_more_than_a_shared_one() -> None:
    shared = make_candidates(0, *[3] * 7, age_s=0.005)
    private = [shared[0]._replace(load_is_private=True), *shared[1:]]
    assert count_choices(private)["node-0"] >= 1.5 * count_choices(shared)["node-0"]


# Reports are lost, or never came, while the mesh is loaded.
def test_upstreams_without_recent_reports_get_equal_shares() -> None:
    counts = count_choices(make_candidates(0, 5, 2, 3, 4, 4, age_s=math.inf))
    assert min(counts.values()) > 0.7 * 1000 / 6
    assert max(counts.values()) < 1.3 * 1000 / 6


# An upstream reports idle slots by mistake, again and again, while all are loaded.
def test_upstream_that_always_reports_no_load_gets_less_than_by_least_wait() -> None:
    candidates = make_candidates(0, *[4] * 7, age_s=0.05)
    assert (
        count_choices(candidates)["node-0"]
        < count_choices(candidates, choose_least_wait)["node-0"] / 2
    )


# An upstream reports full slots by mistake, again and again.
def test_upstream_that_always_reports_full_slots_still_gets_calls() -> None:
    assert count_choices(make_candidates(5, *[2] * 7))["node-0"] > 50


# All slots of the data centre are in use.
def test_full_data_centre_leaves_the_wait_to_the_shortest_queue() -> None:
    candidates = make_candidates(9, 6, 9, age_s=0.01)
    selection = choose_evenly(candidates, random.Random(1))
    assert selection.candidate.node == "node-1"
    assert selection.wait_ms > 0


# Another data centre is as loaded as the own one, or the own one has no slots left.
def test_calls_leave_the_data_centre_only_if_another_one_has_more_room() -> None:
    remote = make_candidates(4, 4, locality=OTHER_DATA_CENTRE, node="remote")
    nearby = make_candidates(*[4] * 8, age_s=0.01)
    assert "remote" not in count_choices([*nearby, *remote])
    nearby = make_candidates(*[8] * 8, age_s=0.01)
    assert count_choices([*nearby, *remote]) == {"remote": 1000}


# An upstream fails requests, or is in slow start, or has reached its rate limit, under load.
@pytest.mark.parametrize(
    ("changes", "at_most"),
    [({"failure_rate": 0.5}, 20), ({"in_slow_start": True}, 80), ({"limit_wait_ms": 5.0}, 0)],
)
def test_impaired_upstream_gets_fewer_calls(changes: dict[str, Any], at_most: int) -> None:
    first, *others = make_candidates(*[3] * 8)
    assert count_choices([first._replace(**changes), *others])["node-0"] <= at_most


def make_model_config(**changes: Any) -> Config:
    route = ROUTE._replace(**changes)
    return Config(1, Limits(1, 1, 1.0, 1.0), ("desk",), {"a": route})


def test_mode_follows_the_configuration_only_if_it_is_automatic() -> None:
    plain = make_model_config()
    with_accounts = plain._replace(accounts={"a": Account("a", 0, 0.0, 0.0, ())})
    asking = [
        with_accounts,
        make_model_config(allowed_regions=("east",)),
        make_model_config(large_requests=True),
    ]
    assert all(is_even("auto", config) for config in asking)
    assert not is_even("auto", plain)
    assert not is_even("auto", None)
    assert not any(is_even("least-wait", config) for config in asking)
    assert is_even("even", None)


def run_model(way: Way, *, load: float = 0.75, remote: int = 0, **changes: Any) -> Figures:
    model = Model(
        way,
        load=load,
        speeds=SPEEDS,
        remote=remote,
        even=way is choose_evenly,
        **changes,
    )
    return model.run(warm_up_s=0.6, duration_s=1.0)


# Many callers choose by the same old reports at a load of three quarters.
@pytest.mark.parametrize("callers", [100, 320])
@pytest.mark.parametrize("report_s", [0.1, 0.5])
def test_even_load_at_least_halves_arrivals_at_full_upstreams(
    callers: int, report_s: float
) -> None:
    least = run_model(choose_least_wait, callers=callers, report_s=report_s)
    even = run_model(choose_evenly, callers=callers, report_s=report_s)
    assert even.misplaced <= least.misplaced / 2
    assert even.mean_wait_ms <= least.mean_wait_ms / 2
    assert even.imbalance <= least.imbalance + IMBALANCE_NOISE


# Nine tenths of the slots are needed, and reports are old: the target is the same.
def test_even_load_halves_arrivals_at_full_upstreams_near_capacity() -> None:
    least = run_model(choose_least_wait, callers=100, report_s=0.5, load=0.9)
    even = run_model(choose_evenly, callers=100, report_s=0.5, load=0.9)
    assert even.misplaced <= least.misplaced / 2


# Few callers, new reports or a light load: what least-wait does well must not become worse.
@pytest.mark.parametrize(
    ("callers", "report_s", "load"),
    [(10, 0.01, 0.75), (10, 0.5, 0.75), (320, 0.01, 0.75), (10, 0.1, 0.3), (320, 0.5, 0.3)],
)
def test_even_load_is_not_worse_elsewhere(callers: int, report_s: float, load: float) -> None:
    least = run_model(choose_least_wait, callers=callers, report_s=report_s, load=load)
    even = run_model(choose_evenly, callers=callers, report_s=report_s, load=load)
    assert even.misplaced <= least.misplaced + 0.1
    assert even.mean_wait_ms <= least.mean_wait_ms + 1.0
    assert even.mean_time_ms <= least.mean_time_ms * 1.1


# Few callers, each of which knows much from its own responses, and nine tenths of the slots needed.
def test_even_load_is_not_worse_with_few_callers_near_capacity() -> None:
    least = run_model(choose_least_wait, callers=10, report_s=0.5, load=0.9, seed=4)
    even = run_model(choose_evenly, callers=10, report_s=0.5, load=0.9, seed=4)
    assert even.misplaced <= least.misplaced + 0.1
    assert even.mean_wait_ms <= least.mean_wait_ms + 1.0


# The data centre gets more requests than it can run, and another one has room.
def test_overload_of_a_data_centre_goes_to_another_one() -> None:
    least = run_model(choose_least_wait, callers=100, report_s=0.5, load=1.2, remote=36)
    even = run_model(choose_evenly, callers=100, report_s=0.5, load=1.2, remote=36)
    assert even.remote >= 0.15
    assert even.mean_wait_ms <= least.mean_wait_ms + 1.0
    light = run_model(choose_evenly, callers=100, report_s=0.5, load=0.6, remote=36)
    assert light.remote <= 0.01


def list_modes(cluster: InMemoryCluster) -> set[bool]:
    return {row.node._caller_side.balances_evenly() for row in cluster.members.values()}


def test_mode_changes_with_the_configuration_in_force() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_2)
        assert list_modes(cluster) == {False}
        upload = make_route(path_prefix="/upload/", kind="upload")
        cluster.store.put("keyed.op", "config", make_config(2, upload=upload))
        await asyncio.sleep(2.0)
        assert list_modes(cluster) == {True}
        assert (await send_request(NODE_1)).status == 200
        cluster.store.put("keyed.op", "config", make_config(3))
        await asyncio.sleep(2.0)
        assert list_modes(cluster) == {False}
        assert (await send_request(NODE_1)).status == 200

    run_virtual(main)


@pytest.mark.parametrize(("setting", "even"), [("least-wait", False), ("even", True)])
def test_setting_overrules_the_configuration(setting: str, even: bool) -> None:
    async def main() -> None:
        routes = {} if even else {"upload": make_route(path_prefix="/upload/", kind="upload")}
        cluster, _ = await start_cluster(
            NODE_1._replace(load_balancing=setting), config=make_config(1, **routes)
        )
        assert list_modes(cluster) == {even}

    run_virtual(main)


# Six nodes send bursts at the same moment: all are answered, and no upstream is left idle.
def test_bursts_of_all_nodes_use_the_slots_of_all_upstreams() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        settings = [make_settings(number)._replace(load_balancing="even") for number in range(1, 7)]
        await cluster.start(*settings)
        for _ in range(20):
            burst = [send_request(cfg) for cfg in settings for _ in range(3)]
            assert {row.status for row in await asyncio.gather(*burst)} == {200}
        counts = [sum(row.upstream.run_counts.values()) for row in cluster.members.values()]
        assert sum(counts) == 360
        assert min(counts) >= 30
        text = b"".join(row.node._metrics.render() for row in cluster.members.values())
        assert b'balsamhead_load_age_seconds_bucket{kind="response"' in text
        assert b'balsamhead_choice_full_total{kind="first"}' in text

    run_virtual(main)
