from __future__ import annotations

import asyncio

from standin.virtual_network import CURRENT_HOST
from tests.test_mesh.builders import make_settings, run_virtual, start_cluster

NODES = [make_settings(number) for number in range(1, 9)]


# BUDGET: each part of a divided mesh used the slack of the whole mesh.
def test_nodes_of_a_divided_mesh_share_the_slack_of_the_retry_budget() -> None:
    async def main() -> None:
        cluster, _ = await start_cluster(*NODES)
        CURRENT_HOST.set("10.0.0.1")
        for number in range(2, 9):
            cluster.network.hold(f"10.0.0.{number}")
        await asyncio.sleep(5.0)
        node = cluster.members[1].node
        assert not node._link_manager.list_live()
        now = asyncio.get_running_loop().time()
        acquired = sum(node._budget.try_acquire("desk", now) for _ in range(100))
        assert acquired <= NODES[0].retry_slack / len(NODES)

    run_virtual(main)
