"""Collect the metrics of a mesh node and render them in the Prometheus text format."""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

__all__ = ("MeshMetrics",)

#: upper bounds of the histogram buckets, in s
_BUCKET_BOUNDS_S: Final = (0.001, 0.003, 0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0)


class MeshMetrics:
    """Registry of counters, histograms and gauges, each with one optional label."""

    def __init__(self) -> None:
        self._counters: dict[str, dict[str, int]] = {}
        self._histograms: dict[str, dict[str, list[float]]] = {}
        self._gauges: dict[str, Callable[[], Mapping[str, float]]] = {}

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Increment a counter."""
        row = self._counters.setdefault(name, {})
        row[label] = row.get(label, 0) + amount

    def observe(self, name: str, seconds: float, label: str = "") -> None:
        """Record a duration in a histogram."""
        rows = self._histograms.setdefault(name, {})
        row = rows.get(label)
        if row is None:
            row = rows[label] = [0.0] * (len(_BUCKET_BOUNDS_S) + 2)
        row[bisect_left(_BUCKET_BOUNDS_S, seconds)] += 1
        row[-1] += seconds

    def register_gauge(self, name: str, read: Callable[[], Mapping[str, float]]) -> None:
        """Register a callback that returns the values of a gauge by label at each scrape."""
        self._gauges[name] = read

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        lines = []
        for name, row in sorted(self._counters.items()):
            lines.append(f"# TYPE balsamhead_{name}_total counter")
            lines += [
                f"balsamhead_{name}_total{_format_label(label)} {value}"
                for label, value in row.items()
            ]
        for name, read in sorted(self._gauges.items()):
            lines.append(f"# TYPE balsamhead_{name} gauge")
            lines += [
                f"balsamhead_{name}{_format_label(label)} {v:g}" for label, v in read().items()
            ]
        for name, rows in sorted(self._histograms.items()):
            lines.append(f"# TYPE balsamhead_{name} histogram")
            for label, buckets in rows.items():
                lines += _render_histogram(f"balsamhead_{name}", label, buckets)
        return ("\n".join(lines) + "\n").encode()


def _format_label(label: str) -> str:
    return f'{{kind="{label}"}}' if label else ""


def _render_histogram(name: str, label: str, buckets: list[float]) -> list[str]:
    lines, total = [], 0.0
    for bound, count in zip((*_BUCKET_BOUNDS_S, "+Inf"), buckets[:-1], strict=True):
        total += count
        lines.append(f'{name}_bucket{{kind="{label}",le="{bound}"}} {total:g}')
    lines.append(f"{name}_sum{_format_label(label)} {buckets[-1]:g}")
    lines.append(f"{name}_count{_format_label(label)} {total:g}")
    return lines
