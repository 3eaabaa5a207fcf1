"""Exponentially weighted moving mean whose first samples all count alike."""

from __future__ import annotations

__all__ = ("MovingMean",)


class MovingMean:
    """Mean of the recent samples.

    :param weight: weight of a new sample, once there are enough of them.
    :param default: value before the first sample.
    """

    __slots__ = ("_weight", "count", "value")

    def __init__(self, *, weight: float, default: float = 0.0) -> None:
        self._weight = weight
        self.value = default
        #: number of samples
        self.count = 0

    def add(self, sample: float) -> None:
        """Add a sample."""
        self.count += 1
        self.value += max(self._weight, 1.0 / self.count) * (sample - self.value)
