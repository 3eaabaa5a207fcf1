from __future__ import annotations

import asyncio
import random
from collections import Counter

import pytest

from balsamhead.mesh.admission import (
    NESTED_PRIORITY,
    AdmissionQueue,
)
from balsamhead.mesh.model import ROUTE_PRIORITIES
from tests.test_mesh.builders import NODE_1, make_config, run_virtual, start_cluster


def drain(queue: AdmissionQueue, *, limited_room: bool = True) -> list[int]:
    """Grant slots until no request may start, and return the order by number of arrival."""
    numbers = []
    while (request := queue.find_next(limited_room=limited_room)) is not None:
        queue.grant(request)
        numbers.append(request.number)
    return numbers


def make_fair_queue() -> AdmissionQueue:
    queue = AdmissionQueue()
    queue.fair = True
    return queue


def share_grants(
    demands: dict[str, tuple[float, int]], *, count: int, seed: int, queue_size: int = 60
) -> tuple[Counter[str], Counter[str]]:
    """Grant one request per turn while the queue is full, and count grants and arrivals.

    :param demands: weight of an account's arrivals, and its priority.
    """
    rng = random.Random(seed)
    queue = make_fair_queue()
    names, weights = list(demands), [weight for weight, _ in demands.values()]
    granted: Counter[str] = Counter()
    arrived: Counter[str] = Counter()
    for _ in range(count):
        while len(queue) < queue_size:
            name = rng.choices(names, weights)[0]
            arrived[name] += 1
            queue.add(demands[name][1] * ROUTE_PRIORITIES + 2, account=name)
        request = queue.find_next(limited_room=True)
        assert request is not None
        queue.grant(request)
        granted[request.account] += 1
    return granted, arrived


# Deployments without accounts must be served as before.
@pytest.mark.parametrize("seed", range(5))
def test_without_accounts_the_order_is_that_of_priority_and_arrival(seed: int) -> None:
    rng = random.Random(seed)
    queue = AdmissionQueue()
    rows = [queue.add(rng.randrange(-1, 20), account=rng.choice("abc")) for _ in range(60)]
    assert drain(queue) == [row.number for row in sorted(rows, key=lambda row: row[1::-1])]


def test_nested_calls_precede_all_accounts() -> None:
    queue = make_fair_queue()
    for number in range(8):
        queue.add(0, account=f"a{number}")
    nested = [queue.add(NESTED_PRIORITY).number for _ in range(3)]
    assert queue.count_ahead(NESTED_PRIORITY) == 3
    assert drain(queue)[:3] == nested


def test_limited_requests_are_passed_over_while_their_limit_has_no_room() -> None:
    queue = AdmissionQueue()
    first = queue.add(0, limited=True)
    second = queue.add(3)
    assert drain(queue, limited_room=False) == [second.number]
    assert drain(queue) == [first.number]


def test_accounts_of_a_priority_take_turns() -> None:
    queue = make_fair_queue()
    greedy = [queue.add(2, account="greedy").number for _ in range(6)]
    modest = [queue.add(2, account="modest").number for _ in range(2)]
    order = drain(queue)
    assert order[:3] == [greedy[0], modest[0], greedy[1]]
    # one in four grants is by the turns of all accounts, whatever their priority
    assert order.index(modest[1]) <= 4


def test_route_priority_orders_requests_within_an_account() -> None:
    queue = make_fair_queue()
    late, urgent = queue.add(5, account="a"), queue.add(1, account="a")
    assert drain(queue) == [urgent.number, late.number]


# One account at nine times its usual rate must cost the others nothing measurable.
@pytest.mark.parametrize("seed", range(3))
def test_account_at_nine_times_its_rate_takes_nothing_from_the_others(seed: int) -> None:
    demands = {f"a{number}": (1.0, 0) for number in range(6)}
    # the others send less than their shares, so that all they send is served without a backlog
    granted, arrived = share_grants(demands | {"greedy": (9.0, 0)}, count=3000, seed=seed)
    for name in demands:
        assert arrived[name] - granted[name] <= 5, (granted, arrived)


# Requests of a low account priority got nothing while those before them filled the slots.
@pytest.mark.parametrize("seed", range(3))
def test_account_of_low_priority_gets_a_quarter_of_the_mean_share(seed: int) -> None:
    demands = {f"a{number}": (1.0, number // 2) for number in range(8)}
    granted, _ = share_grants(demands, count=4000, seed=seed)
    for name in demands:
        assert granted[name] >= 0.25 * 4000 / 8, granted


def test_expected_wait_of_a_low_priority_counts_its_turns() -> None:
    queue = make_fair_queue()
    for _ in range(100):
        queue.add(0, account="high")
    low = 3 * ROUTE_PRIORITIES
    # otherwise it would be refused before it could get its turn
    ahead = queue.count_ahead(low, "low")
    assert ahead < 10
    request = queue.add(low, account="low")
    assert drain(queue).index(request.number) <= ahead


@pytest.mark.parametrize("seed", range(20))
def test_estimate_of_requests_ahead_is_not_exceeded(seed: int) -> None:
    rng = random.Random(seed)
    queue = make_fair_queue()
    for _ in range(40):
        queue.add(rng.randrange(48), account=rng.choice("abcd"))
    priority, account = rng.randrange(48), rng.choice("abcd")
    ahead = queue.count_ahead(priority, account)
    request = queue.add(priority, account=account)
    assert drain(queue).index(request.number) <= ahead + 4


def test_removed_request_gets_no_slot() -> None:
    queue = AdmissionQueue()
    request = queue.add(1)
    queue.remove(request)
    queue.remove(request)
    assert drain(queue) == []


# The turns must not apply where the configuration has no accounts, nor be forgotten where it has.
def test_queue_of_an_upstream_is_fair_only_with_accounts() -> None:
    async def main() -> None:
        cluster, _ = await start_cluster(NODE_1)
        slots = cluster.members[1].node._local_upstream._slots
        for version, accounts, ahead in ((2, None, 6), (3, {}, 1)):
            raw = make_config(version) | ({} if accounts is None else {"tenants": accounts})
            cluster.store.put("keyed.op", "config", raw)
            await asyncio.sleep(2.0)
            rows = [slots._order.add(2, account="greedy") for _ in range(6)]
            assert slots.count_ahead(2, "modest") == ahead
            for row in rows:
                slots._order.remove(row)

    run_virtual(main)
