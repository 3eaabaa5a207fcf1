from __future__ import annotations

import asyncio

import pytest

from balsamhead.mesh._calls import Answer, Call, Lost, Outcome, Rejected
from balsamhead.mesh._exchange import UpstreamConnection
from balsamhead.mesh.model import RouteKind
from standin.virtual import MemoryTransport
from tests.test_mesh.builders import run_virtual

CALL = Call(
    request_id=b"r1",
    method="GET",
    target=b"/a?q=1",
    headers=b"Host: a\r\nRequest-Id: r1\r\n",
    route="check",
    kind=RouteKind.SAFE,
    priority=2,
    service="desk",
    version="v1",
    caller_service="registry",
    left_ms=1000,
    objective_ms=250,
    patience_ms=400,
)
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n"
WHOLE = HEAD + b"Content-Length: 4\r\n\r\nfine"


class RawUpstream(asyncio.Protocol):
    """Give the test the bytes that came, and let it write what it likes."""

    def __init__(self) -> None:
        self.got = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, MemoryTransport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.got += data


async def connect() -> tuple[UpstreamConnection, RawUpstream]:
    loop = asyncio.get_running_loop()
    upstream = RawUpstream()
    await loop.create_server(lambda: upstream, "10.0.0.1", 80)
    _, conn = await loop.create_connection(UpstreamConnection, "10.0.0.1", 80)
    return conn, upstream


def send(conn: UpstreamConnection) -> asyncio.Future[Outcome]:
    return conn.send(CALL, b"", upstream_id="i-1", left_ms=900, done=lambda: None)


async def exchange(*pieces: bytes, reset: bool = False, close: bool = False) -> Outcome:
    conn, upstream = await connect()
    future = send(conn)
    await asyncio.sleep(0.01)
    for piece in pieces:
        upstream.transport.write(piece)
        await asyncio.sleep(0.01)
    if reset:
        upstream.transport.abort()
    if close:
        upstream.transport.close()
    await asyncio.sleep(0.01)
    conn.give_up("deadline-passed")
    return await future


def run_exchange(*pieces: bytes, reset: bool = False, close: bool = False) -> Outcome:
    found: list[Outcome] = []

    async def main() -> None:
        found.append(await exchange(*pieces, reset=reset, close=close))

    run_virtual(main)
    return found[0]


def test_request_is_passed_on_with_the_fields_of_the_platform() -> None:
    async def main() -> None:
        conn, upstream = await connect()
        send(conn)
        await asyncio.sleep(0.01)
        assert upstream.got == (
            b"GET /a?q=1 HTTP/1.1\r\nHost: a\r\nRequest-Id: r1\r\nDeadline-Ms: 900\r\n"
            b"Caller-Service: registry\r\nTarget-Instance: i-1\r\n\r\n"
        )

    run_virtual(main)


def test_whole_answer_is_delivered_however_it_is_cut_into_pieces() -> None:
    for at in range(1, len(WHOLE), 7):
        outcome = run_exchange(WHOLE[:at], WHOLE[at:])
        assert isinstance(outcome, Answer)
        assert (outcome.status, outcome.body, outcome.rest) == (200, b"fine", None)


def test_late_answer_to_an_earlier_request_is_passed_over() -> None:
    stray = WHOLE.replace(b"r1", b"r0").replace(b"fine", b"old!")
    outcome = run_exchange(stray + WHOLE)
    assert isinstance(outcome, Answer)
    assert outcome.body == b"fine"


def test_answer_without_length_is_whole_when_its_connection_closes() -> None:
    outcome = run_exchange(HEAD + b"\r\nfi", b"ne", close=True)
    assert isinstance(outcome, Answer)
    assert outcome.body == b"fine"


@pytest.mark.parametrize(
    ("pieces", "reset"),
    [
        ((HEAD + b"\r\nfi",), True),
        ((HEAD + b"Content-Length: 9\r\n\r\nfine",), True),
        ((HEAD + b"Content-Length: 9\r\n\r\nfine",), False),
        ((HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n",), True),
        ((b"\x00\x01garbage\r\n\r\n",), False),
        ((WHOLE.replace(b"Server-Stamp", b"Other"),), False),
        ((WHOLE.replace(b"Server-Stamp: s", b"Server-Stamp: s\r\nContent-Encoding: br"),), False),
        ((WHOLE.replace(b"r1", b"r0"),), False),
        ((), True),
    ],
)
def test_what_is_no_whole_answer_is_lost(pieces: tuple[bytes, ...], reset: bool) -> None:
    assert isinstance(run_exchange(*pieces, reset=reset), Lost)


@pytest.mark.parametrize(
    ("status", "line"), [(b"503", b"Not-Executed: 1\r\n"), (b"421", b"Instance-Id: i-2\r\n")]
)
def test_upstream_that_did_not_run_the_request_is_believed(status: bytes, line: bytes) -> None:
    head = b"HTTP/1.1 " + status + b" No\r\nRequest-Id: r1\r\n" + line
    assert isinstance(run_exchange(head + b"Content-Length: 0\r\n\r\n"), Rejected)


def test_connection_with_bytes_after_the_answer_is_not_used_again() -> None:
    async def main() -> None:
        conn, upstream = await connect()
        future = send(conn)
        upstream.transport.write(WHOLE + b"extra")
        assert isinstance(await future, Answer)
        assert not conn.is_usable(asyncio.get_running_loop().time())

    run_virtual(main)


def test_bytes_on_an_idle_connection_end_it() -> None:
    async def main() -> None:
        conn, upstream = await connect()
        future = send(conn)
        upstream.transport.write(WHOLE)
        assert isinstance(await future, Answer)
        loop = asyncio.get_running_loop()
        assert conn.is_usable(loop.time())
        upstream.transport.write(WHOLE)
        await asyncio.sleep(0.01)
        assert not conn.is_usable(loop.time())

    run_virtual(main)


def test_idle_connection_is_given_up_before_the_upstream_closes_it() -> None:
    async def main() -> None:
        conn, upstream = await connect()
        future = send(conn)
        upstream.transport.write(WHOLE.replace(b"s\r\n", b"s\r\nKeep-Alive: timeout=3\r\n", 1))
        await future
        loop = asyncio.get_running_loop()
        assert conn.is_usable(loop.time() + 1.5)
        assert not conn.is_usable(loop.time() + 2.5)

    run_virtual(main)


def test_connection_that_the_upstream_closes_is_not_used_again() -> None:
    async def main() -> None:
        conn, upstream = await connect()
        future = send(conn)
        upstream.transport.write(WHOLE.replace(b"s\r\n", b"s\r\nConnection: close\r\n", 1))
        await future
        assert not conn.is_usable(asyncio.get_running_loop().time())

    run_virtual(main)
