from __future__ import annotations

import asyncio

from balsamhead.mesh._server import Reply, Request
from standin.virtual_network import CURRENT_HOST
from tests.test_mesh.builders import (
    NODE_1,
    NODE_2,
    NODE_3,
    run_virtual,
    start_cluster,
)


def test_at_most_once_request_is_not_retried_after_a_lost_response() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_2, NODE_3)
        for number in (1, 2):
            cluster.members[number].upstream.make_custom_reply = lambda request: Reply(
                0, abort=True
            )
        response = await send_request(NODE_3, "/accept/1", method="POST", body=b"x" * 5000)
        assert response.status == 502
        run_counts = cluster.members[1].upstream.run_counts + cluster.members[2].upstream.run_counts
        assert run_counts["r1"] == 1

    run_virtual(main)


def test_idempotent_request_is_retried_on_another_node_after_a_lost_response() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_2, NODE_3)
        cluster.members[1].upstream.make_custom_reply = lambda request: Reply(0, abort=True)
        responses = [await send_request(NODE_3) for _ in range(6)]
        assert [response.status for response in responses] == [200] * 6

    run_virtual(main)


def test_truncated_response_is_not_delivered_as_complete() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1)

        def reply_truncated(request: Request) -> Reply:
            headers = (
                b"Request-Id: %b\r\nServer-Stamp: s\r\n" % request.head.headers[b"request-id"][0]
            )
            return Reply(200, b"half", headers, length=8)

        cluster.members[1].upstream.make_custom_reply = reply_truncated
        response = await send_request(NODE_1, "/accept/1", method="POST", deadline_ms=400)
        assert response.status in (502, 504)

    run_virtual(main)


def test_response_to_another_request_is_not_delivered() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1)
        cluster.members[1].upstream.make_custom_reply = lambda request: Reply(
            200, b"wrong", b"Request-Id: another\r\nServer-Stamp: s\r\n"
        )
        response = await send_request(NODE_1, "/accept/1", method="POST", deadline_ms=300)
        assert response.status in (502, 504)
        assert response.body == b""

    run_virtual(main)


def test_success_response_without_server_stamp_becomes_502() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1)
        cluster.members[1].upstream.make_custom_reply = lambda request: Reply(
            200, b"?", b"Request-Id: %b\r\n" % request.head.headers[b"request-id"][0]
        )
        assert (await send_request(NODE_1, "/accept/1", method="POST")).status == 502

    run_virtual(main)


def test_delayed_call_is_not_executed_after_its_sender_gave_up() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_3)
        cluster.network.hold("10.0.0.3")
        CURRENT_HOST.set("10.0.0.3")
        response = await send_request(NODE_3, "/accept/1", method="POST", deadline_ms=800)
        assert response.status in (502, 504)
        await asyncio.sleep(3.0)
        cluster.network.release()
        await asyncio.sleep(2.0)
        assert cluster.members[1].upstream.run_counts["r1"] == 0
        assert (await send_request(NODE_3)).status == 200

    run_virtual(main)


def test_at_most_once_request_does_not_reuse_an_idle_connection() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1)
        for pause_s in (0.0, 0.05, 0.3):
            await asyncio.sleep(pause_s)
            assert (await send_request(NODE_1, "/accept/1", method="POST")).status == 200
        first, second, third = [request.peer for request in cluster.members[1].upstream.requests]
        assert first == second
        assert third != second

    run_virtual(main)
