from __future__ import annotations

import asyncio

import pytest

from tests.test_mesh.builders import run_virtual
from tests.test_mesh.quota_builders import (
    Traffic,
    accounts_from_headers,
    count_most,
    get_bound,
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

    with accounts_from_headers():
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

    with accounts_from_headers():
        run_virtual(main)
