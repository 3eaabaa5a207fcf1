"""Clients that send safe requests before the first one has been answered, on one connection."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from balsamhead.mesh._calls import BodyPipe
from balsamhead.mesh._server_connection import (
    _MAX_CONCURRENT_AHEAD,
    _MAX_HELD_BYTES,
    _MAX_PIPELINED_BYTES,
    _MAX_PIPELINED_REQUESTS,
)
from balsamhead.mesh._server_context import Reply
from balsamhead.util.http1 import CHUNKED
from standin.virtual_network import CURRENT_HOST
from tests.test_mesh.builders import (
    NODE_1,
    NODE_2,
    NODE_3,
    Response,
    read_response,
    run_virtual,
    start_cluster,
)
from tests.test_mesh.server_builders import LIMITS, PipelinedConnection, make_request

Scenario = Callable[[PipelinedConnection], Awaitable[None]]


def play(scenario: Scenario) -> None:
    """Run a scenario on a new connection."""

    async def main() -> None:
        await scenario(PipelinedConnection())

    run_virtual(main)


# Late: a request waited for the sum of all in front of it before it began to run.
def test_safe_requests_run_beside_each_other_and_are_answered_in_order() -> None:
    async def scenario(client: PipelinedConnection) -> None:
        await client.send(b"".join(make_request(number) for number in (1, 2, 3)))
        assert client.list_started() == [1, 2, 3]
        await client.finish(3)
        await client.finish(2)
        assert client.list_answered() == []
        await client.finish(1)
        assert client.list_answered() == [1, 2, 3]
        assert (client.context.running_ahead, client.context.held_bytes) == (0, 0)

    play(scenario)


def test_request_that_runs_at_most_once_waits_for_those_before_it_and_those_behind_for_it() -> None:
    async def scenario(client: PipelinedConnection) -> None:
        await client.send(
            make_request(1), make_request(2), make_request(3, once=True), make_request(4)
        )
        assert client.list_started() == [1, 2]
        await client.finish(2)
        assert client.list_started() == [1, 2]
        await client.finish(1)
        assert client.list_started() == [1, 2, 3]
        await client.finish(3)
        assert client.list_started() == [1, 2, 3, 4]
        await client.finish(4)
        assert client.list_answered() == [1, 2, 3, 4]

    play(scenario)


# BUDGET: a request that waited for others on its connection got its whole deadline again.
def test_time_of_arrival_is_that_of_the_bytes_and_not_of_the_start() -> None:
    async def scenario(client: PipelinedConnection) -> None:
        await client.send(make_request(1, once=True), make_request(2, once=True))
        await asyncio.sleep(0.7)
        await client.finish(1)
        assert [request.received_at for request in client.started] == [0.0, 0.0]

    play(scenario)


def test_requests_behind_one_that_closes_the_connection_are_not_run() -> None:
    async def scenario(client: PipelinedConnection) -> None:
        await client.send(
            make_request(1), make_request(2, headers="Connection: close\r\n"), make_request(3)
        )
        await client.finish(2)
        await client.finish(1)
        assert client.list_started() == [1, 2]
        assert client.list_answered() == [1, 2]
        assert client.transport.ended

    play(scenario)


def test_cut_response_ends_the_connection_and_cancels_the_requests_behind_it() -> None:
    async def scenario(client: PipelinedConnection) -> None:
        await client.send(make_request(1), make_request(2), make_request(3))
        cancelled: list[bool] = []
        held = BodyPipe()
        held.on_cancel = lambda: cancelled.append(True)
        await client.finish(3, Reply(200, b"<3>", length=100, body_stream=held))
        rest = BodyPipe()
        await client.finish(1, Reply(200, b"<1>", length=100, body_stream=rest))
        rest.fail("upstream-cut")
        await client.settle()
        assert client.transport.aborted
        assert client.list_answered() == [1]
        assert (client.cancelled, cancelled) == ([2], [True])
        assert (client.context.running_ahead, client.context.held_bytes) == (0, 0)

    play(scenario)


# A response that broke off looked complete to a caller that knows no chunks.
@pytest.mark.parametrize("cut", [False, True])
def test_stream_for_an_old_caller_ends_with_the_connection_or_is_reset(cut: bool) -> None:
    async def scenario(client: PipelinedConnection) -> None:
        await client.send(make_request(1, minor_version=0, headers="Connection: keep-alive\r\n"))
        rest = BodyPipe()
        await client.finish(1, Reply(200, b"<1>", length=CHUNKED, body_stream=rest))
        rest.push(b"more")
        await client.settle()
        if cut:
            rest.fail("upstream-cut")
        else:
            rest.finish()
        await client.settle()
        head, _, body = bytes(client.transport.written).partition(b"\r\n\r\n")
        assert body == b"<1>more"
        assert b"Transfer-Encoding" not in head
        assert b"Content-Length" not in head
        assert (client.transport.ended, client.transport.aborted) == (True, cut)

    play(scenario)


# GONE: requests of a client that has left went on running.
def test_all_requests_of_a_client_that_leaves_are_cancelled() -> None:
    async def scenario(client: PipelinedConnection) -> None:
        await client.send(*(make_request(number) for number in (1, 2, 3, 4)))
        await client.finish(2)
        client.transport.abort()
        await client.settle()
        assert sorted(client.cancelled) == [1, 3, 4]
        assert (client.context.running_ahead, client.context.held_bytes) == (0, 0)

    play(scenario)


def test_bad_request_behind_good_ones_is_rejected_after_their_responses() -> None:
    async def scenario(client: PipelinedConnection) -> None:
        await client.send(make_request(1), make_request(2), b"GET /safe/3\r\n\r\n", make_request(4))
        await client.finish(2)
        await client.finish(1)
        assert client.list_started() == [1, 2]
        assert client.list_statuses() == [200, 200, 400]
        assert client.transport.eof_written

    play(scenario)


# LOST: a stop cut requests that had been read behind others.
def test_stop_answers_what_was_read_and_reads_no_more() -> None:
    async def scenario(client: PipelinedConnection) -> None:
        await client.send(make_request(1), make_request(2), make_request(3, once=True))
        client.context.closing = True
        await client.send(make_request(4), make_request(5, once=True))
        for number in (2, 1, 3):
            await client.finish(number)
        assert client.list_started() == [1, 2, 3]
        assert client.list_statuses() == [200, 200, 200]
        assert client.transport.written.count(b"Connection: close") == 1
        assert client.transport.eof_written

    play(scenario)


# LOST: bytes that crossed the last response reset the connection before the client had read it.
def test_connection_that_the_server_ends_is_read_on_until_the_client_closes() -> None:
    async def scenario(client: PipelinedConnection) -> None:
        client.context.closing = True
        await client.send(make_request(1))
        await client.finish(1)
        await client.send(make_request(2))
        assert (client.transport.eof_written, client.transport.ended) == (True, False)
        assert client.list_started() == [1]
        await asyncio.sleep(1.1)
        assert client.transport.ended

    play(scenario)


# LOST: a stopping node ended while the last part of a response was still in its buffer.
@pytest.mark.parametrize("closing", [False, True])
def test_connection_is_busy_until_its_response_has_been_sent(closing: bool) -> None:
    async def scenario(client: PipelinedConnection) -> None:
        client.context.closing = closing
        client.transport.client_reads = False
        await client.send(make_request(1))
        await client.finish(1, Reply(200, b"z" * 40_000))
        assert client.conn.is_busy()
        client.transport.read_all()
        assert not client.conn.is_busy()

    play(scenario)


def test_endless_bytes_behind_the_last_response_end_the_connection() -> None:
    async def scenario(client: PipelinedConnection) -> None:
        await client.send(b"no request\r\n\r\n")
        for _ in range(5):
            assert not client.transport.ended
            await client.send(b"x" * (64 << 10))
        assert client.transport.ended

    play(scenario)


def test_stream_before_short_responses_is_sent_as_the_client_reads() -> None:
    async def scenario(client: PipelinedConnection) -> None:
        await client.send(make_request(1), make_request(2))
        client.transport.client_reads = False
        rest = BodyPipe()
        await client.finish(1, Reply(200, b"<1>", length=3 + (4 << 20), body_stream=rest))
        await client.finish(2)
        for _ in range(64):
            rest.push(b"x" * (64 << 10))
            await client.settle()
        rest.finish()
        assert client.transport.unread_bytes <= 3 * (64 << 10)
        client.transport.read_all()
        await client.settle()
        assert client.list_answered() == [1, 2]

    play(scenario)


def test_client_that_sends_on_and_reads_nothing_is_held_to_a_few_responses() -> None:
    async def scenario(client: PipelinedConnection) -> None:
        client.transport.client_reads = False
        for number in range(2000):
            if client.transport.is_paused:
                break
            await client.send(make_request(number))
            for running in list(client.running):
                await client.finish(running, Reply(200, b"y" * 40_000))
        assert client.transport.is_paused
        assert len(client.started) <= 2 * _MAX_PIPELINED_REQUESTS
        assert client.transport.unread_bytes <= 3 * 41_000
        assert len(client.conn._reader) <= _MAX_PIPELINED_BYTES + 500
        client.conn.enforce_timeouts(LIMITS.idle_timeout_s - 1.0, LIMITS)
        assert not client.transport.ended
        client.conn.enforce_timeouts(LIMITS.idle_timeout_s + 1.0, LIMITS)
        await client.settle()
        assert client.transport.aborted
        assert (client.context.running_ahead, client.context.held_bytes) == (0, 0)

    play(scenario)


def test_large_bodies_behind_an_unanswered_request_are_not_collected() -> None:
    async def scenario(client: PipelinedConnection) -> None:
        body = b"x" * 50_000
        for number in range(8):
            if client.transport.is_paused:
                break
            await client.send(make_request(number, once=True, body=body))
        assert client.transport.is_paused
        assert len(client.conn._exchanges) == 2
        await client.finish(0)
        await client.finish(1)
        assert client.list_started() == [0, 1, 2]

    play(scenario)


@pytest.mark.parametrize("limit", ["requests", "bytes"])
def test_requests_run_ahead_within_the_limits_of_the_node(limit: str) -> None:
    async def scenario(client: PipelinedConnection) -> None:
        if limit == "requests":
            client.context.running_ahead = _MAX_CONCURRENT_AHEAD
        else:
            client.context.held_bytes = _MAX_HELD_BYTES + 1
        await client.send(make_request(1), make_request(2))
        assert client.list_started() == [1]
        await client.finish(1)
        await client.finish(2)
        assert client.list_answered() == [1, 2]

    play(scenario)


def test_client_is_told_to_send_a_body_only_after_the_responses_before_it() -> None:
    async def scenario(client: PipelinedConnection) -> None:
        expecting = b"POST /once/2 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
        await client.send(make_request(1), expecting + b"Content-Length: 4\r\n\r\n")
        assert client.list_statuses() == []
        await client.finish(1)
        assert client.list_statuses() == [200, 100]
        await client.send(b"body")
        await client.finish(2)
        assert client.list_statuses() == [200, 100, 200]

    play(scenario)


async def send_ahead(count: int) -> list[Response]:
    """Send safe requests to a node on one connection, and return their responses."""
    host, _, port = NODE_3.caller_address.rpartition(":")
    CURRENT_HOST.set(host)
    reader, writer = await asyncio.open_connection(host, int(port))
    for number in range(count):
        head = f"GET /check/{number} HTTP/1.1\r\nHost: plots.example\r\n"
        writer.write(f"{head}Request-Id: a{number}\r\nDeadline-Ms: 1000\r\n\r\n".encode())
    responses = [await read_response(reader, "GET") for _ in range(count)]
    writer.close()
    return responses


# Late: the fourth of four requests of 50 ms each reached its first upstream after 150 ms.
def test_requests_sent_ahead_reach_upstreams_at_once_and_get_their_own_responses() -> None:
    async def main() -> None:
        cluster, _ = await start_cluster(NODE_1, NODE_2, NODE_3)
        started_at = asyncio.get_running_loop().time()
        responses = await send_ahead(4)
        took_s = asyncio.get_running_loop().time() - started_at
        assert [row.headers[b"request-id"] for row in responses] == [
            [b"a0"],
            [b"a1"],
            [b"a2"],
            [b"a3"],
        ]
        assert took_s < 0.08
        arrivals = [at for row in cluster.members.values() for at in row.upstream.arrival_times]
        assert len(arrivals) == 4
        assert max(arrivals) - started_at < 0.02

    run_virtual(main)


# LOST: requests that had been sent ahead were cut as their node stopped.
def test_stopping_node_answers_the_requests_that_were_sent_ahead() -> None:
    async def main() -> None:
        cluster, _ = await start_cluster(NODE_1, NODE_2, NODE_3)
        for member in cluster.members.values():
            member.upstream.service_time_s = 0.5
        sent = asyncio.ensure_future(send_ahead(6))
        await asyncio.sleep(0.1)
        cluster.members[3].node.stop()
        responses = await sent
        assert [response.status for response in responses] == [200] * 6
        closes = [b"connection" in response.headers for response in responses]
        assert closes == [False] * 5 + [True]

    run_virtual(main)
