"""Meshes with a rollout from upstreams of one version to those of another, and load on them."""

from __future__ import annotations

import asyncio
from typing import Any

from balsamhead.mesh._server import Reply, Request
from tests.test_mesh.builders import InMemoryCluster, Member, RequestSender, make_settings

#: nodes in one data centre: two beside upstreams of the old version, one beside "registry"
OLD = [make_settings(1), make_settings(2), make_settings(3, service="registry")]
#: nodes beside upstreams of the new version
NEW = [make_settings(4), make_settings(5)]


async def start_rollout(fleet: InMemoryCluster) -> list[Member]:
    await fleet.start(*OLD)
    order = {"service": "desk", "target_version": "v2", "duration": "16s"}
    fleet.store.put("keyed.op", "rollout/desk", order)
    return [await fleet.add(cfg, version="v2") for cfg in NEW]


async def send_load(ask: RequestSender, seconds: float, statuses: list[int]) -> None:
    """Send 100 requests a second from the VM of another service."""

    async def send_one() -> None:
        statuses.append((await ask(OLD[2])).status)

    tasks = []
    for _ in range(int(seconds * 100)):
        tasks.append(asyncio.ensure_future(send_one()))
        await asyncio.sleep(0.01)
    await asyncio.gather(*tasks)


def get_status(fleet: InMemoryCluster) -> dict[str, Any]:
    row: dict[str, Any] = fleet.store.read_newest("keyed.status").get("rollout/desk", {})
    return row


def answer_500(request: Request) -> Reply:
    """Return a failure of the upstream."""
    request_id = request.head.headers[b"request-id"][0]
    return Reply(500, b"", b"Request-Id: %b\r\nServer-Stamp: s\r\n" % request_id)
