"""Order nodes on a ring by the hashes of their names."""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    import random

__all__ = ("HashRing",)


class HashRing:
    """Keep nodes sorted by the hashes of their names, and find the successors of a node.

    If each node links to its successor, these links connect all nodes of the ring.
    """

    def __init__(self) -> None:
        self._points: list[tuple[int, str]] = []

    def __len__(self) -> int:
        return len(self._points)

    def add(self, node: str) -> None:
        """Add a node, unless it is on the ring already."""
        point = _compute_point(node)
        index = bisect_left(self._points, point)
        if index == len(self._points) or self._points[index] != point:
            insort(self._points, point)

    def remove(self, node: str) -> None:
        """Remove a node, if it is on the ring."""
        point = _compute_point(node)
        index = bisect_left(self._points, point)
        if index < len(self._points) and self._points[index] == point:
            del self._points[index]

    def list_successors(self, node: str, count: int) -> list[str]:
        """Return up to ``count`` nodes that follow a node; that node need not be on the ring."""
        start = bisect_right(self._points, _compute_point(node))
        total = len(self._points)
        following = (self._points[(start + step) % total][1] for step in range(min(count, total)))
        return [name for name in following if name != node]

    def choose_random(self, rng: random.Random) -> str:
        """Return a random node; empty when the ring is empty."""
        return rng.choice(self._points)[1] if self._points else ""


def _compute_point(node: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(node.encode()), node
