"""Remember a bounded number of recent values."""

from __future__ import annotations

from typing import Generic, TypeVar

__all__ = ("RecentValues",)

T = TypeVar("T")


class RecentValues(Generic[T]):
    """The last different values that were added."""

    def __init__(self, max_count: int) -> None:
        self._max_count = max_count
        self._values: dict[T, None] = {}

    def add(self, value: T) -> bool:
        """Add a value and return True, or return False if it is remembered already."""
        if value in self._values:
            return False
        if len(self._values) >= self._max_count:
            del self._values[next(iter(self._values))]
        self._values[value] = None
        return True
