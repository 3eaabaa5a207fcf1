from __future__ import annotations

import asyncio

import pytest

from balsamhead.mesh._server import Reply, Request
from tests.test_mesh.builders import (
    NODE_1,
    NODE_3,
    InMemoryCluster,
    RequestSender,
    make_config,
    make_route,
    run_virtual,
    send,
    start_cluster,
)


def test_request_is_answered_by_an_upstream_of_its_service() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_3)
        response = await send_request(NODE_3)
        assert (response.status, response.body) == (200, b"from i-node-1")
        seen = cluster.members[1].upstream.requests[0].head
        assert seen.headers[b"caller-service"] == [b"registry"]
        assert int(seen.headers[b"deadline-ms"][0]) <= 1000
        assert response.headers[b"server-stamp"] == [b"i-node-1"]

    run_virtual(main)


def test_caller_service_header_of_a_caller_is_overwritten() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1)
        await send_request(NODE_1, headers="Caller-Service: forged\r\n")
        seen = cluster.members[1].upstream.requests[0].head
        assert seen.headers[b"caller-service"] == [b"desk"]

    run_virtual(main)


def test_path_without_route_gets_404() -> None:
    async def main() -> None:
        _cluster, send_request = await start_cluster(NODE_1)
        assert (await send_request(NODE_1, "/nowhere/1")).status == 404

    run_virtual(main)


def test_node_without_configuration_answers_503_and_is_not_ready() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        cluster.store.faults.status = 503
        await cluster.start(NODE_1)
        response = await send_request(NODE_1)
        assert response.status == 503
        assert b"retry-after" in response.headers
        assert (await send(NODE_1.ready_address, "GET", "/")).status == 503

    run_virtual(main)


def test_caller_disconnect_cancels_an_idempotent_request_at_the_upstream() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_3)
        upstream = cluster.members[1].upstream
        upstream.service_time_s = 5.0
        task = asyncio.ensure_future(send_request(NODE_3, deadline_ms=900))
        await asyncio.sleep(0.1)
        assert upstream.running == 1
        task.cancel()
        await asyncio.sleep(0.1)
        assert upstream.running == 0

    run_virtual(main)


def test_request_is_answered_within_the_timeout_of_its_route() -> None:
    async def main() -> None:
        config = make_config(check=make_route(timeout="300ms"))
        cluster, send_request = await start_cluster(NODE_1, config=config)
        cluster.members[1].upstream.service_time_s = 5.0
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        assert (await send_request(NODE_1)).status == 504
        assert loop.time() - started_at < 0.4

    run_virtual(main)


def test_large_response_arrives_complete_over_a_link() -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1, NODE_3)
        body = bytes(range(256)) * 8000

        def answer(request: Request) -> Reply:
            request_id = request.head.headers[b"request-id"][0]
            return Reply(200, body, b"Request-Id: %b\r\nServer-Stamp: s\r\n" % request_id)

        cluster.members[1].upstream.make_custom_reply = answer
        response = await send_request(NODE_3)
        assert response.body == body

    run_virtual(main)


def test_log_line_of_a_refusal_holds_the_inputs_of_the_decision(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO")

    async def main() -> None:
        _cluster, send_request = await start_cluster(NODE_1)
        await asyncio.gather(*(send_request(NODE_1) for _ in range(100)))

    run_virtual(main)
    records = [row for row in caplog.records if row.message == "request-failed"]
    line = next(vars(row) for row in records if vars(row)["code"] == "upstreams-busy")
    assert line["config"] == 1
    assert line["decided"]["node"] == "node-1"
    assert line["decided"]["wait_ms"] > line["decided"]["room_ms"]
    assert line["decided"]["load_age_s"] == 0.0
