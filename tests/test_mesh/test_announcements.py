from __future__ import annotations

import asyncio

import pytest

from tests.test_mesh.builders import (
    NODE_1,
    NODE_2,
    NODE_3,
    run_virtual,
    send,
    start_cluster,
)


def test_draining_upstream_gets_no_new_requests() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_2, NODE_3)
        upstream = cluster.members[1].upstream
        upstream.state = "draining"
        assert (await upstream.announce()).status == 200
        before = len(upstream.requests)
        responses = await asyncio.gather(
            *(send_request(cfg) for cfg in (NODE_1, NODE_2, NODE_3) for _ in range(4))
        )
        assert [response.status for response in responses] == [200] * 12
        assert len(upstream.requests) == before

    run_virtual(main)


def test_upstream_that_left_without_draining_gets_no_new_requests() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_2)
        upstream = cluster.members[1].upstream
        assert (await upstream.leave()).status == 200
        before = len(upstream.requests)
        # a heartbeat that was sent before the departure may arrive after it
        upstream.sequence -= 1
        await upstream.announce()
        responses = await asyncio.gather(
            *(send_request(cfg) for cfg in (NODE_1, NODE_2) for _ in range(2))
        )
        assert [response.status for response in responses] == [200] * 4
        assert len(upstream.requests) == before

    run_virtual(main)


def test_late_heartbeat_of_a_replaced_upstream_is_ignored() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1)
        upstream = cluster.members[1].upstream
        upstream.id, upstream.born, upstream.sequence = "i-new", 2000, 0
        await upstream.announce()
        upstream.id, upstream.born, upstream.sequence = "i-node-1", 1000, 90
        await upstream.announce()
        upstream.id = "i-new"
        assert (await send_request(NODE_1)).status == 200

    run_virtual(main)


def test_malformed_heartbeat_is_rejected_and_has_no_effect() -> None:
    async def main() -> None:
        _cluster, send_request = await start_cluster(NODE_1)
        for body in (b"\xff", b"{}", b'{"service": 3}', b"[]"):
            address = NODE_1.announce_address
            assert (await send(address, "PUT", "/instances/i-foreign", body)).status == 400
        assert (await send_request(NODE_1)).status == 200

    run_virtual(main)


# DRAIN: a heartbeat without a zone was taken for the upstream's, and its "draining" was ignored.
@pytest.mark.parametrize("field", ["zone", "cold_left"])
def test_heartbeat_that_lacks_a_field_does_not_hide_that_the_upstream_drains(field: str) -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_2, NODE_3)
        upstream = cluster.members[1].upstream
        assert (await upstream.announce(without=field, born=9000)).status == 400
        upstream.state = "draining"
        assert (await upstream.announce()).status == 200
        before = len(upstream.requests)
        for _ in range(10):
            assert (await send_request(NODE_3)).status == 200
        assert len(upstream.requests) == before

    run_virtual(main)


# DRAIN: "draining" was acknowledged, but not acted upon, after a heartbeat that looked newer.
def test_draining_is_acknowledged_only_once_it_has_an_effect() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_2, NODE_3)
        upstream = cluster.members[1].upstream
        assert (await upstream.announce(born=9000)).status == 200
        upstream.state = "draining"
        statuses = []
        for _ in range(10):
            statuses.append((await upstream.announce()).status)
            await asyncio.sleep(0.5)
        assert statuses[0] == 503
        assert statuses[-1] == 200
        before = len(upstream.requests)
        for _ in range(10):
            assert (await send_request(NODE_3)).status == 200
        assert len(upstream.requests) == before

    run_virtual(main)


def test_heartbeat_of_another_service_is_refused() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1)
        upstream = cluster.members[1].upstream
        response = await upstream.announce(service="registry", state="draining", born=9000)
        assert response.status == 400
        assert (await send_request(NODE_1)).status == 200

    run_virtual(main)


# DRAIN: "draining" was acknowledged and not kept, if another id had been announced since.
def test_draining_is_remembered_also_if_another_id_looks_newer() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_2, NODE_3)
        upstream = cluster.members[1].upstream
        own_id = upstream.id
        assert upstream._announcing is not None
        upstream._announcing.cancel()
        upstream.id = "i-odd"
        assert (await upstream.announce(born=9000)).status == 200
        upstream.id = own_id
        upstream.sequence += 5
        assert (await upstream.announce(state="draining")).status == 200
        await asyncio.sleep(3.5)
        # a heartbeat that was sent before that comes late
        upstream.sequence -= 3
        await upstream.announce()
        before = len(upstream.requests)
        for _ in range(10):
            assert (await send_request(NODE_3)).status == 200
        assert len(upstream.requests) == before

    run_virtual(main)
