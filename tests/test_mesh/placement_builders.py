"""Meshes in two regions with a route that is bound to one of them, and evacuations."""

from __future__ import annotations

from typing import Any

from tests.test_mesh.builders import (
    PLACES,
    InMemoryCluster,
    Member,
    RequestSender,
    make_config,
    make_route,
    make_settings,
    start_cluster,
)

#: one node in each data centre: 1 and 2 in the region "east", 3 and 4 in "west"
NODES = [make_settings(number, place=place) for number, place in enumerate(PLACES, start=1)]
EAST, WEST = (1, 2), (3, 4)


def make_bound_config(version: int = 1, *regions: str, **changes: Any) -> dict[str, Any]:
    """Return a configuration whose routes "bound" and "once" are bound to some regions."""
    allowed = list(regions or ("east",))
    return make_config(
        version,
        bound=make_route(path_prefix="/bound/", allowed_regions=allowed, **changes),
        once=make_route(path_prefix="/once/", allowed_regions=allowed, kind="unsafe"),
        images=make_route(path_prefix="/images/", kind="download"),
    )


async def start_bound_cluster(
    config: dict[str, Any] | None = None,
) -> tuple[InMemoryCluster, RequestSender]:
    return await start_cluster(*NODES, config=config or make_bound_config())


def set_config(cluster: InMemoryCluster, config: dict[str, Any]) -> None:
    cluster.store.put("keyed.op", "config", config)


def evacuate(cluster: InMemoryCluster, *data_centres: str) -> None:
    for data_centre in data_centres:
        cluster.store.put("keyed.op", f"evacuate/{data_centre}", {})


def lift(cluster: InMemoryCluster, data_centre: str) -> None:
    cluster.store.put("keyed.op", f"evacuate/{data_centre}", b"")


def list_served(cluster: InMemoryCluster, prefix: str = "/") -> dict[int, int]:
    """Return how many requests with a path prefix arrived at each upstream that got any."""
    counts = {
        number: sum(request.head.path.startswith(prefix) for request in member.upstream.requests)
        for number, member in cluster.members.items()
    }
    return {number: count for number, count in counts.items() if count}


def forget_requests(cluster: InMemoryCluster) -> None:
    for member in cluster.members.values():
        member.upstream.requests.clear()


def get_failures(member: Member) -> dict[str, int]:
    """Return the number of requests that failed at a node, by code."""
    return member.node._metrics._counters.get("requests_failed", {})
