"""Decide which unbound requests leave a region that carries all the load of bound routes.

A region that is the only one allowed for a route can't pass that route's requests on. Once its
upstreams are crowded, requests that may be served anywhere go to other regions, so that the bound
ones find slots. The share that leaves grows with the utilisation; a threshold alone would move all
unbound requests of all nodes to and fro at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Sequence

__all__ = ("UpstreamRoom", "compute_utilisation", "compute_yield_probability", "list_yielding")

#: utilisation of a region's upstreams at which the first unbound requests leave it, 0 to 1
_YIELD_FROM: Final = 0.7
#: utilisation at which all of them leave it, 0 to 1; below 1, since the slots of some upstreams
#: are all in use before those of the mean are
_YIELD_ALL: Final = 0.9


class UpstreamRoom(NamedTuple):
    """Load of an upstream, as far as a node knows it."""

    region: str
    #: number of requests that it can run at once
    slots: float
    #: number of requests that are running or queued there
    requests: float
    #: a request would get a slot at once
    has_room: bool


def compute_utilisation(rooms: Iterable[UpstreamRoom]) -> float:
    """Return the requests per slot of some upstreams; 0 if there are none."""
    slots = requests = 0.0
    for room in rooms:
        slots += room.slots
        requests += room.requests
    return requests / slots if slots else 0.0


def compute_yield_probability(utilisation: float) -> float:
    """Return the share of the unbound requests that leave a region that carries bound routes."""
    return min(1.0, max(0.0, (utilisation - _YIELD_FROM) / (_YIELD_ALL - _YIELD_FROM)))


def list_yielding(
    rooms: Sequence[UpstreamRoom], *, carrying: Collection[str], draw: float
) -> list[int]:
    """Return the indices of the upstreams that an unbound request leaves to bound ones.

    None are left if no upstream would have room outside the regions that are left. Regions that
    carry bound routes, too, count as others if they are less crowded.

    :param carrying: regions that carry the load of bound routes of the service.
    :param draw: random number from 0 to 1 of the request.
    """
    crowded = set()
    for region in {room.region for room in rooms}.intersection(carrying):
        utilisation = compute_utilisation(room for room in rooms if room.region == region)
        if draw < compute_yield_probability(utilisation):
            crowded.add(region)
    if not any(room.has_room and room.region not in crowded for room in rooms):
        return []
    return [index for index, room in enumerate(rooms) if room.region in crowded]
