from __future__ import annotations

import asyncio
import json
import random

import cbor2
import pytest

from balsamhead.errors import MalformedMessageError
from balsamhead.mesh._link_manager import LinkManager, PeerEventHandler
from balsamhead.mesh._peers import Heartbeat, Hello
from balsamhead.mesh.model import Load, NodeRecord
from balsamhead.platform.messages import decode_heartbeat
from tests.test_mesh.builders import (
    NODE_1,
    NODE_2,
    NODE_3,
    InMemoryCluster,
    make_settings,
    run_virtual,
    start_cluster,
)
from tests.test_platform.builders import HEARTBEAT

BAD_ADDRESSES = (
    "10.0.0.66:99999",
    "10.0.0.66:-4",
    "10.0.0.66",
    "10.0.0\0.66:8004",
    f"{'a' * 70}.example:8004",
)


def encode_node(**changes: object) -> bytes:
    row = {
        "name": "odd",
        "incarnation": 1,
        "address": "10.0.0.66:8004",
        "data_centre": "east-a",
        "region": "east",
        "service": "desk",
        **changes,
    }
    return cbor2.dumps(list(row.values()))


ODD_NODES = (
    *(encode_node(address=address) for address in BAD_ADDRESSES),
    encode_node(name=""),
    encode_node(name="node-1", address="10.0.0.66:8004"),
    encode_node(incarnation=10**40),
    encode_node(incarnation=-1),
    encode_node(address=None),
    # a regular expression that takes half a second to compile
    cbor2.dumps(cbor2.CBORTag(35, "|".join(f"a{number}" for number in range(30_000)))),
    b"\x81" * 300 + b"\x01",
    b"\x81" * 100_000 + b"\x01",
    b"\xd8\x1c\x81\xd8\x1d\x00",
    b"",
    b"\xff",
)


class IdleHandler(PeerEventHandler):
    """Node without an upstream."""

    def make_hello(self) -> Hello:
        return Hello(OWN, None, Load(0, 0.0), -1, False)

    def make_heartbeat(self) -> Heartbeat:
        return Heartbeat(-1, Load(0, 0.0), False, 0)


OWN = NodeRecord("own", 1, "127.0.0.1:8004", "east-a", "east", "desk")


# A node dialled an address with a port out of range at each round, and never backed off.
@pytest.mark.parametrize("address", BAD_ADDRESSES)
def test_peer_that_cannot_be_dialled_is_backed_off(address: str) -> None:
    """Use a real event loop, since the virtual network takes any port."""

    async def main() -> None:
        manager = LinkManager(OWN, IdleHandler(), rng=random.Random(1))
        manager.add_node(NodeRecord("odd", 1, address, "east-a", "east", "desk"))
        peer = manager.table.peers["odd"]
        await manager._connect(peer)
        assert peer.failed_dials == 1
        assert peer.dial_at > asyncio.get_running_loop().time()
        assert not peer.dialling

    asyncio.run(main())


# An odd entry among those of the nodes must not end a node or keep it from following the others.
def test_odd_records_of_nodes_name_no_peer_and_harm_nobody(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1)
        for number, value in enumerate(ODD_NODES):
            cluster.store.put("keyed.nodes", f"odd-{number}", value)
        for cfg in (NODE_2, NODE_3):
            await cluster.add(cfg)
        await asyncio.sleep(5.0)
        for member in cluster.members.values():
            names = set(member.node._link_manager.table.peers)
            assert names == {"node-1", "node-2", "node-3"} - {member.cfg.node}
        for cfg in (NODE_1, NODE_2, NODE_3):
            assert (await send_request(cfg)).status == 200

    run_virtual(main)
    assert not [row for row in caplog.records if "exception" in row.message.lower()]


@pytest.mark.parametrize(
    "changes",
    [
        {"address": "10.0.0.1:99999"},
        {"address": "10.0.0.1:-4"},
        {"address": "10.0.0\0.1:8000"},
        {"address": "10.0.0.1"},
        {"sequence": 10**40},
        {"sequence": -1},
        {"born": 10**40},
        {"slots": 10**40},
        {"cold_left": "9" * 400 + "s"},
    ],
)
def test_odd_heartbeat_is_rejected_and_the_next_one_counts(changes: dict[str, object]) -> None:
    async def main() -> None:
        cluster, send_request = await start_cluster(NODE_1)
        upstream = cluster.members[1].upstream
        assert (await upstream.announce(**changes)).status == 400
        upstream.slots = 2
        assert (await upstream.announce()).status == 200
        assert (await send_request(NODE_1)).status == 200
        record = cluster.members[1].node._local_upstream.record
        assert record is not None
        assert record.slots == 2

    run_virtual(main)


# An id that no header can hold failed each request that was to be sent to the upstream.
@pytest.mark.parametrize("name", ["", "a b", "\u00fc", "x" * 200])
def test_id_of_an_upstream_that_cannot_stand_in_a_header_is_rejected(name: str) -> None:
    body = json.dumps(HEARTBEAT).encode()
    with pytest.raises(MalformedMessageError):
        decode_heartbeat(name, body)


def test_hello_of_a_peer_without_an_address_is_rejected() -> None:
    async def main() -> None:
        cluster = InMemoryCluster()
        await cluster.start(NODE_1, NODE_2)
        odd = make_settings(9)
        member = await cluster.add(odd)
        node = member.node
        node._own_record = node._own_record._replace(address="10.0.0.9:99999")
        for other in (1, 2):
            cluster.members[other].node._link_manager.table.peers.pop("node-9", None)
        cluster.network.disconnect("10.0.0.9")
        await asyncio.sleep(3.0)
        peers = cluster.members[1].node._link_manager.table.peers
        assert "node-9" not in peers
        assert "node-2" in peers

    run_virtual(main)
