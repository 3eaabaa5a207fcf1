from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st
from websockets.asyncio.server import ServerConnection, serve

from balsamhead.errors import AuthenticationError
from balsamhead.events import ConnectFailed, LinkOpened
from balsamhead.link._handshake import (
    FORMATS,
    Hello,
    Proof,
    Refusal,
    check_hello,
    check_proof,
    compute_proof,
)
from balsamhead.membership import Place
from balsamhead.util import codec
from balsamhead.wire import FORMAT
from tests.test_link.builders import (
    KEY,
    build_raw_hello,
    exchange_hellos,
    open_node,
    open_raw,
    receive_handshake_message,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from websockets.asyncio.connection import Connection

NAMES = st.text(max_size=6)
HELLOS = st.builds(
    Hello,
    node=NAMES,
    incarnation=st.integers(0, 9),
    place=st.builds(Place, NAMES, NAMES),
    environment=NAMES,
    address=NAMES,
    formats=st.tuples(st.integers(0, 3), st.integers(0, 3)),
    nonce=st.binary(max_size=32),
)
HANDSHAKES = st.tuples(
    st.binary(min_size=1, max_size=8), st.sampled_from(("opener", "acceptor")), HELLOS, HELLOS
)


@given(signed=HANDSHAKES, drawn=HANDSHAKES)
def test_proof_is_valid_for_its_own_handshake_only(
    signed: tuple[bytes, str, Hello, Hello], drawn: tuple[bytes, str, Hello, Hello]
) -> None:
    key, role, opener, acceptor = signed
    proof = compute_proof(key, role=role, opener=opener, acceptor=acceptor)
    check_proof(key, proof, role=role, opener=opener, acceptor=acceptor)
    variants = (
        (drawn[0], role, opener, acceptor),
        (key, drawn[1], opener, acceptor),
        (key, role, drawn[2], acceptor),
        (key, role, opener, drawn[3]),
        (key, role, acceptor, opener),
    )
    for other in variants:
        if other == signed:
            continue
        with pytest.raises(AuthenticationError, match="mesh-key-wrong"):
            check_proof(other[0], proof, role=other[1], opener=other[2], acceptor=other[3])


@pytest.mark.parametrize(
    ("changed", "code"),
    [
        ({"environment": "production"}, "environment-differs"),
        ({"formats": (2, 3)}, "format-unknown"),
        ({"formats": (0, 0)}, "format-unknown"),
        ({"nonce": b"short"}, "nonce-invalid"),
        ({"nonce": b"a" * 32}, "nonce-invalid"),
        ({"node": "a"}, "link-to-itself"),
        ({"node": ""}, "hello-out-of-bounds"),
        ({"node": "x" * 200}, "hello-out-of-bounds"),
    ],
)
def test_unacceptable_hello_is_refused(changed: dict[str, object], code: str) -> None:
    own = build_raw_hello("a", nonce=b"a" * 32)
    fields = {name: getattr(own, name) for name in Hello.__struct_fields__}
    other = Hello(**(fields | {"node": "b", "nonce": b"b" * 32} | changed))
    with pytest.raises(AuthenticationError) as caught:
        check_hello(own, other, peer="b")
    assert caught.value.error_code == code


def test_highest_common_format_is_used() -> None:
    own = build_raw_hello("a", nonce=b"a" * 32)
    newer = Hello("b", 1, own.place, own.environment, "", (1, 4), b"b" * 32)
    assert check_hello(own, newer, peer="b") == 1
    assert check_hello(newer, own, peer="a") == 1


def test_wrong_key_is_refused_on_both_sides_and_not_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def run() -> None:
        wrong = b"another key of thirty-two bytes.."
        async with open_node("a", key=wrong) as a, open_node("b") as b:
            a.links.connect(b.links.address)
            assert (await a.wait_for(ConnectFailed)).reason == "mesh-key-wrong"
            assert b.queue.empty()

    asyncio.run(run())
    refusals = [record for record in caplog.records if record.getMessage() == "link refused"]
    assert refusals
    assert "another key" not in caplog.text
    assert KEY.decode() not in caplog.text


@pytest.mark.parametrize(
    "proof", [codec.encode(Proof(b"")), codec.encode(Proof(KEY)), b"", b"\xff", "text", b"x" * 5000]
)
def test_opener_without_the_key_is_refused(proof: bytes | str) -> None:
    async def run() -> None:
        async with open_node("b") as b, open_node("a") as a:
            async with open_raw(b) as conn:
                await exchange_hellos(conn, build_raw_hello())
                await conn.send(proof)
                await conn.wait_closed()
            # the refusal leaves no state behind: the next node can open a link
            a.links.connect(b.links.address)
            assert (await b.wait_for(LinkOpened)).peer == "a"

    asyncio.run(run())


def test_replayed_handshake_is_refused() -> None:
    async def run() -> None:
        async with open_node("b") as b:
            own = build_raw_hello()
            async with open_raw(b) as conn:
                other = await exchange_hellos(conn, own)
                proof = compute_proof(KEY, role="opener", opener=own, acceptor=other)
                await conn.send(codec.encode(proof))
                assert isinstance(await receive_handshake_message(conn), Proof)
                await b.wait_for(LinkOpened)
            async with open_raw(b) as conn:
                await exchange_hellos(conn, own)
                await conn.send(codec.encode(proof))
                assert await receive_handshake_message(conn) == Refusal("mesh-key-wrong")

    asyncio.run(run())


async def _connect_to_fake_peer(respond: Callable[[Connection], Awaitable[None]]) -> str:
    """Connect a node to a peer that lacks the key; return the reason of the failure."""

    async def handle(conn: ServerConnection) -> None:
        await respond(conn)
        await conn.wait_closed()

    async with serve(handle, "127.0.0.1", 0, compression=None) as fake, open_node("a") as a:
        port = next(iter(fake.sockets)).getsockname()[1]
        a.links.connect(f"127.0.0.1:{port}")
        return (await a.wait_for(ConnectFailed)).reason


def test_reflected_proof_is_refused() -> None:
    async def reflect(conn: Connection) -> None:
        await exchange_hellos(conn, build_raw_hello("fake"))
        await conn.send(await conn.recv())

    assert asyncio.run(_connect_to_fake_peer(reflect)) == "mesh-key-wrong"


def test_reflected_hello_is_refused() -> None:
    async def reflect(conn: Connection) -> None:
        await conn.send(await conn.recv())

    assert asyncio.run(_connect_to_fake_peer(reflect)) == "nonce-invalid"


def test_acceptor_that_skips_its_hello_is_refused() -> None:
    async def respond(conn: Connection) -> None:
        await conn.recv()
        await conn.send(codec.encode(Proof(b"x" * 32)))

    assert asyncio.run(_connect_to_fake_peer(respond)) == "message-malformed"


def test_highest_supported_format_is_the_one_that_is_written() -> None:
    assert FORMATS[0] <= FORMAT == FORMATS[1]
