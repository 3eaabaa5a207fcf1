"""Subsetting: limit the upstreams that a node connects to."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import xxhash

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

__all__ = ("MIN_SUBSET_SIZE", "compute_connection_budget", "rank_by_rendezvous", "select_subset")

T = TypeVar("T")

#: smallest subset: one upstream may fail while two remain to choose between
MIN_SUBSET_SIZE = 3
#: fraction of an upstream's connections to allocate; the rest absorbs an uneven distribution
#: of nodes over upstreams
_TARGET_UTILISATION = 0.6


def compute_connection_budget(*, connections: int, upstreams: int, nodes: int) -> int:
    """Return the number of idle connections that a node may keep to the upstreams of a version.

    :param connections: connections that one upstream accepts from all nodes together.
    :param upstreams: number of upstreams of the version.
    :param nodes: number of nodes that may call the service.
    """
    available = _TARGET_UTILISATION * connections * upstreams
    return max(1, int(available / max(1, nodes)))


def rank_by_rendezvous(node: str, items: Sequence[T], get_name: Callable[[T], str]) -> list[T]:
    """Sort items by their rendezvous hash with the node's name, highest first.

    Removing an item doesn't change the order of the others, so a membership change affects
    only the nodes that use the changed item.
    """

    def sort_key(item: T) -> tuple[int, str]:
        item_name = get_name(item)
        return xxhash.xxh3_64_intdigest(f"{node}\0{item_name}".encode()), item_name

    return sorted(items, key=sort_key, reverse=True)


def select_subset(
    node: str, items: Sequence[T], get_name: Callable[[T], str], *, size: int
) -> list[T]:
    """Return the items that a node uses: ``size`` of them, but no fewer than ``MIN_SUBSET_SIZE``.

    If there are fewer items, return all of them.
    """
    return rank_by_rendezvous(node, items, get_name)[: max(size, MIN_SUBSET_SIZE)]
