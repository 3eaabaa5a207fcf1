"""Keys of client accounts at whole nodes, on the caller's VM and on the upstream's."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from balsamhead.mesh._settings import MeshSettings
from balsamhead.platform.configuration import digest_key
from tests.test_mesh.account_builders import (
    KEY,
    SECOND_KEY,
    make_account_config,
    make_key_header,
)
from tests.test_mesh.body_builders import BodyClient, exchange, make_body
from tests.test_mesh.builders import (
    NODE_1,
    NODE_2,
    NODE_3,
    InMemoryCluster,
    RequestSender,
    make_call,
    make_config,
    run_virtual,
    start_cluster,
)

#: a node beside the upstream of the route's service, and one that sends its requests to a peer
BOTH_HOPS = pytest.mark.parametrize(
    "cfg", [NODE_1, NODE_3], ids=["own upstream", "upstream of a peer"]
)


async def start(config: dict[str, Any] | None = None) -> tuple[InMemoryCluster, RequestSender]:
    return await start_cluster(
        NODE_1, NODE_3, config=make_account_config() if config is None else config
    )


def get_headers(cluster: InMemoryCluster, number: int = 1) -> dict[bytes, list[bytes]]:
    """Return the headers of the last request that an upstream got."""
    return cluster.members[number].upstream.requests[-1].head.headers


@BOTH_HOPS
def test_upstream_gets_the_name_of_the_account_and_no_key(cfg: MeshSettings) -> None:
    async def main() -> None:
        cluster, send_request = await start()
        for key, name in ((KEY, b"acme"), (SECOND_KEY, b"basil")):
            response = await send_request(cfg, headers=make_key_header(key))
            assert response.status == 200
            assert get_headers(cluster)[b"tenant"] == [name]
            assert b"key" not in get_headers(cluster)

    run_virtual(main)


@BOTH_HOPS
def test_requests_without_a_key_of_an_account_get_401_and_do_not_run(cfg: MeshSettings) -> None:
    async def main() -> None:
        cluster, send_request = await start()
        for headers in ("", make_key_header("other"), make_key_header() * 2):
            response = await send_request(cfg, headers=headers)
            assert (response.status, response.body) == (401, b"")
        assert cluster.members[1].upstream.requests == []

    run_virtual(main)


@BOTH_HOPS
def test_public_route_needs_no_key_and_forwards_no_header_about_accounts(
    cfg: MeshSettings,
) -> None:
    async def main() -> None:
        cluster, send_request = await start()
        for headers in ("", make_key_header(), make_key_header("other") + "Tenant: basil\r\n"):
            assert (await send_request(cfg, "/open/1", headers=headers)).status == 200
            assert not {b"key", b"tenant"} & get_headers(cluster).keys()

    run_virtual(main)


@BOTH_HOPS
def test_account_name_that_the_client_sends_is_replaced(cfg: MeshSettings) -> None:
    async def main() -> None:
        cluster, send_request = await start()
        forged = "tenant: basil\r\nTENANT:basil\r\nTenant: \r\nX-Other: 1\r\n"
        assert (await send_request(cfg, headers=forged + f"kEY: {KEY}\r\n")).status == 200
        values = get_headers(cluster)
        assert values[b"tenant"] == [b"acme"]
        assert b"key" not in values
        assert values[b"x-other"] == [b"1"]

    run_virtual(main)


# The head of a request with a long body is sent to the upstream on another path.
@BOTH_HOPS
@pytest.mark.parametrize("chunked", [False, True])
def test_long_bodies_come_with_the_account_and_without_the_key(
    cfg: MeshSettings, chunked: bool
) -> None:
    async def main() -> None:
        cluster, _ = await start()
        body = make_body(200 << 10)
        headers = make_key_header() + "Tenant: basil\r\n"
        client = BodyClient(body, headers=headers, chunked=chunked)
        assert (await exchange(client, cfg.caller_address)).status == 200
        assert get_headers(cluster)[b"tenant"] == [b"acme"]
        assert b"key" not in get_headers(cluster)

    run_virtual(main)


def test_long_body_without_a_key_gets_401() -> None:
    async def main() -> None:
        cluster, _ = await start()
        client = BodyClient(make_body(200 << 10))
        assert (await exchange(client)).status == 401
        assert cluster.members[1].upstream.requests == []

    run_virtual(main)


@BOTH_HOPS
def test_without_accounts_both_headers_are_forwarded(cfg: MeshSettings) -> None:
    async def main() -> None:
        cluster, send_request = await start(make_config())
        headers = "Key: a\r\nTenant: b\r\nKey: c\r\n"
        assert (await send_request(cfg, headers=headers)).status == 200
        values = get_headers(cluster)
        assert (values[b"key"], values[b"tenant"]) == ([b"a", b"c"], [b"b"])

    run_virtual(main)


def test_accounts_take_effect_on_open_connections_and_end_again() -> None:
    async def main() -> None:
        cluster, _ = await start(make_config())
        connection = BodyClient(b"")
        await connection.open()
        await connection.send()
        assert (await connection.read()).status == 200

        async def send_again(headers: str) -> int:
            connection.writer.write(BodyClient(b"", headers=headers, request_id="b2").head)
            return (await connection.read()).status

        cluster.store.put("keyed.op", "config", make_account_config(2))
        await asyncio.sleep(1.0)
        dropped = cluster.members[1].node._caller_server._context.dropped_headers
        assert {b"key", b"tenant"} <= dropped
        assert await send_again("") == 401
        assert await send_again(make_key_header()) == 200
        assert b"key" not in get_headers(cluster)
        cluster.store.put("keyed.op", "config", make_config(3))
        await asyncio.sleep(1.0)
        assert await send_again(make_key_header()) == 200
        assert b"key" in get_headers(cluster)

    run_virtual(main)


# The head is parsed under the configuration without accounts, and the request handled under the
# later one: the headers that the parser kept would be forwarded.
@BOTH_HOPS
def test_request_whose_head_arrived_before_the_accounts_forwards_no_key(
    cfg: MeshSettings,
) -> None:
    async def main() -> None:
        cluster, _ = await start(make_config())
        headers = make_key_header() + "Tenant: basil\r\n"
        client = BodyClient(make_body(1000), headers=headers)
        await client.open(cfg.caller_address)
        await client.send(500)
        cluster.store.put("keyed.op", "config", make_account_config(2))
        await asyncio.sleep(1.0)
        await client.send()
        assert (await client.read()).status == 200
        assert get_headers(cluster)[b"tenant"] == [b"acme"]
        assert b"key" not in get_headers(cluster)

    run_virtual(main)


# Nodes of the release before, and those that lag behind, don't know of accounts.
def test_call_without_an_account_from_a_peer_reaches_the_upstream_without_a_key() -> None:
    async def main() -> None:
        cluster, _ = await start()
        headers = b"Host: a\r\nRequest-Id: p1\r\nKey: k\r\ntenant: basil\r\nX-Key: 1\r\n"
        call = make_call(b"p1", headers=headers)
        await cluster.members[1].node.run_call(call, b"", None)
        values = get_headers(cluster)
        assert not {b"key", b"tenant"} & values.keys()
        assert values[b"x-key"] == [b"1"]

    run_virtual(main)


def test_key_that_two_accounts_hold_gets_401_and_is_logged_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def main() -> None:
        accounts = {"acme": [KEY, "both"], "basil": ["both"]}
        cluster, send_request = await start(make_account_config(accounts=accounts))
        assert (await send_request(NODE_1, headers=make_key_header("both"))).status == 401
        assert (await send_request(NODE_1, headers=make_key_header())).status == 200
        cluster.store.put("keyed.op", "config", make_account_config(2, accounts=accounts))
        await asyncio.sleep(1.0)

    caplog.set_level(logging.INFO)
    run_virtual(main)
    rows = [row for row in caplog.records if row.message == "key-of-several-accounts"]
    assert len(rows) == 2  # one at each node


def test_logs_and_metrics_hold_no_key(caplog: pytest.LogCaptureFixture) -> None:
    async def main() -> None:
        cluster, send_request = await start()
        for key in (KEY, "k-unknown-1"):
            for headers in (make_key_header(key), make_key_header(key) * 2):
                await send_request(NODE_3, headers=headers)
        cluster.members[1].upstream.crash()
        await send_request(NODE_3, headers=make_key_header())
        text = b"".join(row.node._metrics.render() for row in cluster.members.values()).decode()
        assert 'requests_failed_total{kind="key-unknown"} 1' in text
        assert 'requests_failed_total{kind="key-malformed"} 2' in text
        caplog.records[0].metrics = text

    caplog.set_level(logging.DEBUG)
    run_virtual(main)
    text = "\n".join(str(row.__dict__) for row in caplog.records)
    digest = digest_key(b"k-unknown-1").hex()
    assert digest[:8] in text
    for secret in (KEY, "k-unknown-1", digest, digest_key(KEY.encode()).hex()):
        assert secret not in text


# A client that changes keys, or several of one account, would crash as many upstreams again.
def test_crashing_requests_match_under_other_keys_and_no_key_is_stored() -> None:
    async def main() -> None:
        accounts = {"acme": [KEY, "k-other"]}
        cluster, send_request = await start_cluster(
            NODE_1, NODE_2, NODE_3, config=make_account_config(accounts=accounts)
        )
        for number in (1, 2):
            upstream = cluster.members[number].upstream
            upstream.is_fatal = lambda request: request.body == b"fatal"
        for number in range(12):
            key = (KEY, "k-other")[number % 2]
            await send_request(
                NODE_3, "/check/1", method="POST", body=b"fatal", headers=make_key_header(key)
            )
            await asyncio.sleep(1.0)
        registries = [row.node._crash_registry for row in cluster.members.values()]
        assert [registry.count_refused() for registry in registries] == [1, 1, 1]
        # all that nodes have written; the keys stand in the operator's record, as they must
        texts = [repr(registry.list_rows()).encode() for registry in registries]
        for topic in ("keyed.nodes", "keyed.status"):
            for key, value in cluster.store.read_newest(topic).items():
                texts += [key.encode(), value if isinstance(value, bytes) else repr(value).encode()]
        assert len(texts) > 5
        for secret in (b"k-other", KEY.encode()):
            for form in (secret, digest_key(secret), digest_key(secret).hex().encode()):
                assert not any(form in text for text in texts)

    run_virtual(main)


#: header lines that a client may send for a key, each with whether it names an account
ODD_KEYS = st.one_of(
    st.just(("Key: \r\n", False)),
    st.just(("Key:\t \r\n", False)),
    st.just((f"Key: {KEY}\r\nkey: {KEY}\r\n", False)),
    st.just((f"Key: {KEY}\r\nKEY: \r\n", False)),
    st.just((f"Key: {KEY}, {KEY}\r\n", False)),
    st.just((f"Key: {KEY}\r\n folded\r\n", False)),
    st.just((f"Key:\r\n {KEY}\r\n", False)),
    st.just((f"Key : {KEY}\r\n", False)),
    st.just((f"Key: {KEY}\r\nConnection: Key\r\n", True)),
    st.just((f"kEy:\t{KEY} \r\n", True)),
    st.integers(1, 20_000).map(lambda size: (f"Key: {'k' * size}\r\n", False)),
    st.text(st.characters(min_codepoint=0x80, max_codepoint=0xFF), min_size=1, max_size=20).map(
        lambda text: (f"Key: {text}\r\n", False)
    ),
    st.text(st.characters(min_codepoint=0, max_codepoint=0xFF), max_size=20)
    .filter(lambda text: KEY not in text)
    .map(lambda text: (f"Key: {text}\r\n", False)),
    st.text(st.characters(min_codepoint=0x20, max_codepoint=0x7E), max_size=20).map(
        lambda text: (f"Key: {KEY}\r\nTenant: {text}\r\nTENANT:{text}\r\n", True)
    ),
)


# A key that one hop reads in another way than the other reaches an upstream, or opens a route.
@settings(max_examples=25, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(rows=st.lists(ODD_KEYS, min_size=1, max_size=6))
def test_odd_keys_open_no_route_and_reach_no_upstream(rows: list[tuple[str, bool]]) -> None:
    async def main() -> None:
        cluster, _ = await start()
        upstream = cluster.members[1].upstream
        for number, (lines, named) in enumerate(rows):
            for cfg in (NODE_1, NODE_3):
                upstream.requests.clear()
                headers = f"Request-Id: o{number}{cfg.node}\r\n{lines}"
                status = await send_latin(cfg.caller_address, headers)
                assert status in ((200,) if named else (400, 401, 431)), lines
                assert len(upstream.requests) == named
                for request in upstream.requests:
                    assert request.head.headers[b"tenant"] == [b"acme"]
                    assert b"key" not in request.head.headers

    run_virtual(main)


async def send_latin(address: str, headers: str) -> int:
    """Send a request whose header lines are encoded as Latin-1, and return the status."""
    client = BodyClient(b"")
    client.head = (
        f"POST /check/1 HTTP/1.1\r\nHost: plots.example\r\n{headers}Content-Length: 0\r\n\r\n"
    ).encode("latin-1")
    await client.open(address)
    try:
        return (await client.read()).status
    finally:
        client.leave()
