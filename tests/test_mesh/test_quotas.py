from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Sequence

import pytest

from balsamhead.mesh._peers import rank_nodes
from tests.test_mesh.builders import (
    NODE_1,
    NODE_2,
    NODE_3,
    InMemoryCluster,
    make_route,
    run_virtual,
    start_cluster,
)
from tests.test_mesh.quota_builders import (
    Traffic,
    count_most,
    cut_between,
    get_bound,
    list_members,
    make_quota_config,
    start_quota_cluster,
)


# QUOTA: requests within the limit were refused since they entered unevenly.
@pytest.mark.parametrize("count", [3, 6])
def test_account_within_its_limit_is_never_refused(count: int) -> None:
    async def main() -> None:
        cluster, send_request = await start_quota_cluster(count, acme=(40.0, 40.0))
        traffic = Traffic(cluster, send_request, seed=1)
        weights = [10.0, 3.0, 1.0, 1.0, 0.5, 0.1]
        await traffic.run("acme", 6.0, 10.0, weights=weights)
        # four times its usual rate
        await traffic.run("acme", 24.0, 10.0, weights=weights[::-1][:count])
        assert set(traffic.statuses["acme"]) == {200}

    run_virtual(main)


# QUOTA: one account's excess must cost others nothing, and itself nothing of its rate.
def test_account_at_nine_times_its_rate_gets_its_rate_and_others_all() -> None:
    async def main() -> None:
        cluster, send_request = await start_quota_cluster(4, loud=(10.0, 10.0), calm=(10.0, 10.0))
        traffic = Traffic(cluster, send_request, seed=2)
        calm = Traffic(cluster, send_request, seed=3)
        await asyncio.gather(traffic.run("loud", 90.0, 15.0), calm.run("calm", 5.0, 15.0))
        assert set(calm.statuses["calm"]) == {200}
        assert set(traffic.statuses["loud"]) == {200, 429}
        assert 135 <= traffic.statuses["loud"][200] <= 165
        assert count_most(traffic.admitted_at["loud"]) <= get_bound(10.0, 10.0)
        await asyncio.sleep(max(traffic.retry_times))
        after = Traffic(cluster, send_request, seed=4)
        await after.run("loud", 5.0, 2.0, regular=True)
        assert set(after.statuses["loud"]) == {200}

    run_virtual(main)


#: rate and burst of the account in the tests of failures
RATE, BURST = 40.0, 40.0


def find_quota_owner(cluster: InMemoryCluster, account: str) -> int:
    """Return the number of the node that owns an account."""
    names = [member.cfg.node for member in cluster.members.values()]
    return int(rank_nodes(names, f"quota/{account}")[0].split("-")[1])


def run_failure(
    fail: Callable[[InMemoryCluster], Awaitable[None]],
    *,
    places: Sequence[str] = ("east-a",),
    load: float = 9 * RATE,
    count: int = 5,
) -> Traffic:
    """Run nodes under load, with a failure after 4 s; check the bound."""
    result: list[Traffic] = []

    async def main() -> None:
        cluster, send_request = await start_quota_cluster(count, places=places, acme=(RATE, BURST))
        traffic = Traffic(cluster, send_request, seed=5)
        running = asyncio.create_task(traffic.run("acme", load, 11.0))
        await asyncio.sleep(4.0)
        await fail(cluster)
        await running
        result.append(traffic)

    run_virtual(main)
    assert count_most(result[0].admitted_at["acme"]) <= get_bound(RATE, BURST)
    return result[0]


# QUOTA: both sides of a cut granted the whole rate.
@pytest.mark.parametrize("duration_s", [0.5, 3.0, 10.0])
def test_quota_holds_in_a_mesh_that_is_cut_in_two(duration_s: float) -> None:
    async def cut(cluster: InMemoryCluster) -> None:
        cut_between(cluster, list_members(cluster, "east-a"), list_members(cluster, "west-a"))
        await asyncio.sleep(duration_s)
        cluster.network.is_cut = lambda host, peer: False

    traffic = run_failure(cut, places=("east-a", "west-a"))
    # both sides together go on with about the rate
    assert traffic.statuses["acme"][200] >= 0.8 * 11.0 * RATE


def find_account_with_two_owners(places: Sequence[str]) -> str:
    """Return an account that has an owner in each of the first two places if these are cut."""
    names = {f"node-{number}": places[number % 3] for number in range(1, 7)}
    for number in itertools.count():
        ranked = [names[name] for name in rank_nodes(names, f"quota/a{number}")]
        if ranked[0] == places[0] and ranked.index(places[1]) < ranked.index(places[2]):
            return f"a{number}"
    raise AssertionError


# QUOTA: two owners that did not see each other granted the rate to the nodes between them twice.
def test_quota_holds_while_two_of_three_data_centres_do_not_reach_each_other() -> None:
    places, rate, burst = ("east-a", "east-b", "west-a"), 100.0, 10.0
    account = find_account_with_two_owners(places)

    async def main() -> None:
        cluster, send_request = await start_quota_cluster(
            6, places=places, **{account: (rate, burst)}
        )
        traffic = Traffic(cluster, send_request, seed=5)
        running = asyncio.create_task(traffic.run(account, 4 * rate, 10.0))
        await asyncio.sleep(1.0)
        cut_between(cluster, list_members(cluster, "east-a"), list_members(cluster, "east-b"))
        await running
        assert count_most(traffic.admitted_at[account]) <= get_bound(rate, burst)

    run_virtual(main)


# QUOTA: each start of all nodes let the whole burst pass again.
def test_quota_holds_when_all_nodes_are_restarted_at_once() -> None:
    async def restart(cluster: InMemoryCluster) -> None:
        for _ in range(3):
            await cluster.restart_all(down_s=0.1)
            await asyncio.sleep(1.0)

    run_failure(restart)


def test_quota_holds_when_the_owner_is_killed_and_comes_back() -> None:
    async def kill(cluster: InMemoryCluster) -> None:
        member = cluster.kill(find_quota_owner(cluster, "acme"))
        await asyncio.sleep(2.0)
        await cluster.add(member.cfg, upstream=member.upstream)

    traffic = run_failure(kill)
    assert traffic.statuses["acme"][200] >= 0.8 * 11.0 * RATE


# QUOTA: the death of the owner cost requests of accounts within their limits.
def test_account_within_its_limit_is_not_refused_when_the_owner_is_killed() -> None:
    async def kill(cluster: InMemoryCluster) -> None:
        cluster.kill(find_quota_owner(cluster, "acme"))

    traffic = run_failure(kill, load=10.0)
    assert traffic.statuses["acme"][429] == 0


# QUOTA: an owner that ran again granted what another one had granted meanwhile.
def test_quota_holds_when_the_owner_is_silent_and_comes_back() -> None:
    async def hold(cluster: InMemoryCluster) -> None:
        owner = find_quota_owner(cluster, "acme")
        cut_between(cluster, [owner], set(cluster.members) - {owner})
        await asyncio.sleep(3.0)
        cluster.network.is_cut = lambda host, peer: False

    run_failure(hold)


# QUOTA: a lowered limit did not reach the buckets.
def test_lowered_limit_holds_after_it_has_arrived() -> None:
    async def main() -> None:
        cluster, send_request = await start_quota_cluster(4, acme=(40.0, 40.0))
        await Traffic(cluster, send_request, seed=6).run("acme", 90.0, 4.0)
        lowered = make_quota_config({"acme": (5.0, 5.0)}, version=2)
        cluster.store.put("keyed.op", "config", lowered)
        await asyncio.sleep(5.0)
        traffic = Traffic(cluster, send_request, seed=7)
        await traffic.run("acme", 45.0, 10.0)
        assert count_most(traffic.admitted_at["acme"]) <= get_bound(5.0, 5.0)
        assert 45 <= traffic.statuses["acme"][200] <= 60

    run_virtual(main)


# QUOTA: nodes of the release before would log each frame as rejected.
def test_nothing_is_sent_for_accounts_without_a_limit_or_without_requests() -> None:
    async def main() -> None:
        cluster, send_request = await start_quota_cluster(4, free=(0.0, 0.0), idle=(5.0, 5.0))
        traffic = Traffic(cluster, send_request, seed=8)
        await traffic.run("free", 50.0, 2.0)
        assert set(traffic.statuses["free"]) == {200}
        for member in cluster.members.values():
            assert b"quota" not in member.node._metrics.render()

    run_virtual(main)


# QUOTA: requests of a busy account cost more messages than the requests themselves.
def test_busy_accounts_need_few_messages() -> None:
    async def main() -> None:
        cluster, send_request = await start_quota_cluster(3, acme=(400.0, 400.0))
        traffic = Traffic(cluster, send_request, seed=9)
        await traffic.run("acme", 300.0, 4.0)
        asked = sum(
            int(line.split()[1])
            for member in cluster.members.values()
            for line in member.node._metrics.render().decode().splitlines()
            if line.startswith("balsamhead_quota_requests_total ")
        )
        assert set(traffic.statuses["acme"]) == {200}
        assert asked <= 0.2 * traffic.statuses["acme"][200]

    run_virtual(main)


# QUOTA: requests that waited for tokens outlived their deadlines.
def test_request_waits_for_a_silent_owner_only_until_its_deadline() -> None:
    async def main() -> None:
        cluster, send_request = await start_quota_cluster(3, acme=(5.0, 5.0))
        owner = find_quota_owner(cluster, "acme")
        others = [number for number in cluster.members if number != owner]
        cut_between(cluster, [owner], others)
        caller = cluster.members[others[0]]
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        response = await send_request(caller.cfg, deadline_ms=60, headers="Key: acme\r\n")
        assert response.status == 504
        assert loop.time() - started_at <= 0.08
        assert not caller.node._quotas._waiting

    run_virtual(main)


# QUOTA: requests that no upstream took used up the quota of those that one could have taken.
def test_request_that_is_refused_later_returns_its_token() -> None:
    async def main() -> None:
        cluster, send_request = await start_quota_cluster(2, acme=(5.0, 5.0))
        owner = cluster.members[find_quota_owner(cluster, "acme")]
        for member in cluster.members.values():
            await member.upstream.leave()
            member.upstream.crash()
        headers = "Key: acme\r\n"
        statuses = [(await send_request(owner.cfg, headers=headers)).status for _ in range(20)]
        assert statuses == [503] * 20

    run_virtual(main)


# QUOTA: a line for each refusal filled the log.
def test_refusals_of_an_account_are_logged_once_a_second(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO")

    async def main() -> None:
        cluster, send_request = await start_quota_cluster(1, acme=(5.0, 5.0))
        await Traffic(cluster, send_request, seed=10).run("acme", 100.0, 4.0)

    run_virtual(main)
    lines = [row for row in caplog.records if row.message == "quota-exceeded"]
    refused = [row for row in caplog.records if row.message == "request-failed"]
    assert 3 <= len(lines) <= 5
    assert sum(row.suppressed for row in lines) >= 0.7 * len(refused)  # type: ignore[attr-defined]


# QUOTA: requests for tokens waited behind large bodies on the thin link of their owner's VM, and
# accounts within their limits got 429.
def test_nodes_that_get_large_requests_own_no_accounts() -> None:
    async def main() -> None:
        accounts = {f"a{number}": (5.0, 5.0) for number in range(20)}
        config = make_quota_config(accounts)
        config["routes"]["accept"] = make_route(
            path_prefix="/accept/", kind="upload", service="registry"
        )
        cluster, _ = await start_cluster(NODE_1, NODE_2, NODE_3, config=config)
        for member in cluster.members.values():
            owners = {member.node._quotas._find_owner(name) for name in accounts}
            assert owners == {NODE_1.node, NODE_2.node}
        for number in (1, 2):
            cluster.kill(number)
        await asyncio.sleep(3.0)
        node = cluster.members[3].node
        assert {node._quotas._find_owner(name) for name in accounts} == {NODE_3.node}

    run_virtual(main)
