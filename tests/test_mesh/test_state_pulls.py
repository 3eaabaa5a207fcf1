from __future__ import annotations

import asyncio
import random
from typing import Any

from balsamhead.mesh._peers import Peer
from balsamhead.mesh._state_pull import StatePull
from balsamhead.mesh.model import NodeRecord
from tests.test_mesh.builders import (
    PLACES,
    InMemoryCluster,
    RequestSender,
    make_config,
    make_route,
    make_settings,
    run_virtual,
)


def make_record(name: str, place: str) -> NodeRecord:
    return NodeRecord(name, 1, "10.0.0.1:1", place, PLACES[place], "desk")


def make_peer(name: str, place: str, *, offset: int) -> Peer:
    peer = Peer(make_record(name, place))
    peer.offset = offset
    return peer


def make_pull(place: str = "west-a") -> StatePull:
    return StatePull(make_record("own", place), rng=random.Random(1))


NEARBY = make_peer("nearby", "west-a", offset=5)
SAME_REGION = make_peer("same-region", "west-b", offset=6)
REMOTE = make_peer("remote", "east-a", offset=7)
REMOTE_2 = make_peer("remote-2", "east-a", offset=7)


def test_nearest_peer_with_a_later_state_is_asked() -> None:
    assert make_pull().start(4, [REMOTE, SAME_REGION, NEARBY], 0.0) is NEARBY
    assert make_pull().start(5, [REMOTE, SAME_REGION, NEARBY], 0.0) is SAME_REGION
    assert make_pull().start(7, [REMOTE, SAME_REGION, NEARBY], 0.0) is None


def test_no_other_peer_is_asked_while_a_request_is_in_progress() -> None:
    pull = make_pull()
    assert pull.start(4, [NEARBY], 0.0) is NEARBY
    assert pull.start(4, [NEARBY, REMOTE], 0.4) is None


def test_next_request_follows_an_answer_at_once() -> None:
    pull = make_pull()
    assert pull.start(4, [NEARBY, REMOTE], 0.0) is NEARBY
    assert pull.start(5, [NEARBY, REMOTE], 0.1) is REMOTE


def test_each_peer_is_asked_in_turn_when_none_answers() -> None:
    pull = make_pull()
    asked: list[tuple[Peer, float]] = []
    now = 0.0
    peers = [REMOTE, NEARBY, REMOTE_2]
    while len(asked) < 4:
        peer = pull.start(4, peers, now)
        if peer is not None:
            asked.append((peer, round(now, 1)))
        now += 0.1
    assert asked[0] == (NEARBY, 0.0)
    assert {row[0] for row in asked[1:3]} == {REMOTE, REMOTE_2}
    assert asked[3][0] is NEARBY
    assert asked[1][1] <= 0.6
    assert asked[3][1] <= 4.0


def count_deltas(node: Any) -> list[int]:
    """Return the sizes of the deltas that a node receives from now on, in bytes."""
    sizes: list[int] = []
    handle = node._sync.handle_delta

    def record(peer: Any, link: Any, frame: Any) -> None:
        sizes.append(len(frame.body))
        handle(peer, link, frame)

    node._sync.handle_delta = record
    return sizes


# CONFIG: nodes that lacked a state requested it from every peer; the copies filled the border
# between the regions, and the next changes came too late.
def test_restarted_node_gets_the_state_of_its_peers_once() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        routes = {f"r{n}": make_route(path_prefix=f"/r{n}/") for n in range(200)}
        settings = [
            make_settings(number, place=place)
            for number, place in enumerate(["east-a"] * 4 + ["west-a"] * 3, start=1)
        ]
        await cluster.start(*settings, config=make_config(1, **routes))
        member = cluster.kill(7)
        cluster.store.faults.silent = True
        joined = await cluster.add(member.cfg, upstream=member.upstream)
        sizes = count_deltas(joined.node)
        await asyncio.sleep(2.0)
        assert (await send_request(joined.cfg, "/r7/1")).status == 200
        assert len(sizes) == 1

    run_virtual(main)


# The same for nodes that missed changes: a base that no peer knows makes each copy a whole state.
def test_nodes_that_missed_changes_get_them_once() -> None:
    async def main() -> None:
        cluster, send_request = InMemoryCluster(), RequestSender()
        settings = [make_settings(number) for number in range(1, 9)]
        await cluster.start(*settings)
        members = cluster.members.values()
        lagging = [member for member in members if not member.node._sync.is_reader()][:2]
        sizes = [count_deltas(member.node) for member in lagging]
        for member in lagging:
            history: Any = member.node._sync._history
            history.apply_delta = lambda delta: None
        for version in (2, 3):
            new = {f"r{version}": make_route(path_prefix=f"/r{version}/")}
            cluster.store.put("keyed.op", "config", make_config(version, **new))
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.05)
        broadcast = [len(row) for row in sizes]
        for member in lagging:
            history = member.node._sync._history
            del history.apply_delta
        await asyncio.sleep(1.5)
        for member, row, received in zip(lagging, sizes, broadcast, strict=True):
            assert (await send_request(member.cfg, "/r3/1")).status == 200
            assert len(row) - received <= 2

    run_virtual(main)
