"""Find and run benchmark areas; format and store their measures."""

from __future__ import annotations

import importlib
import json
import math
import pkgutil
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

__all__ = ("Measure", "find_areas", "format_table", "percentile", "run_area", "write_measures")

#: prefix of the names of modules that measure an area
_AREA_PREFIX = "area_"


class Measure(NamedTuple):
    """One measured value with its baseline and its target."""

    area: str
    #: name, prefixed with the area, such as "call.added_ms_p99"
    measure: str
    unit: str
    value: float
    #: value of the simplest alternative, measured in the same run; None if there is none
    baseline: float | None
    #: value to reach; None if there is none
    target: float | None
    #: which values are better: "lower" or "higher"
    better: str
    #: seed of the random number generator; 0 if none is used
    seed: int
    #: number of repetitions, or of samples if the value is a percentile
    runs: int


def percentile(values: Sequence[float], fraction: float) -> float:
    """Return a percentile, given as a fraction (0 to 1), by the nearest-rank method."""
    ordered = sorted(values)
    index = max(0, math.ceil(fraction * len(ordered)) - 1)
    return ordered[index]


def find_areas() -> tuple[str, ...]:
    """Return the names of all areas, sorted."""
    import bench

    names = (module.name for module in pkgutil.iter_modules(bench.__path__))
    return tuple(sorted(n.removeprefix(_AREA_PREFIX) for n in names if n.startswith(_AREA_PREFIX)))


def run_area(name: str) -> list[Measure]:
    """Run the benchmarks of an area and return their measures."""
    module = importlib.import_module(f"bench.{_AREA_PREFIX}{name}")
    measures: list[Measure] = module.run()
    return measures


def _format_value(value: float | None) -> str:
    return "-" if value is None else f"{value:.4g}"


def format_table(measures: Iterable[Measure]) -> str:
    """Format measures as a plain-text table."""
    rows = [("measure", "value", "unit", "baseline", "target", "better", "seed", "runs")]
    for item in measures:
        formatted = (_format_value(n) for n in (item.value, item.baseline, item.target))
        value, baseline, target = formatted
        trailing = (item.better, str(item.seed), str(item.runs))
        rows.append((item.measure, value, item.unit, baseline, target, *trailing))
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    lines = ("  ".join(cell.ljust(w) for cell, w in zip(row, widths, strict=True)) for row in rows)
    return "\n".join(line.rstrip() for line in lines)


def write_measures(measures: Iterable[Measure], path: Path) -> None:
    """Write measures as a JSON list of objects."""
    path.parent.mkdir(parents=True, exist_ok=True)
    rows = [item._asdict() for item in measures]
    path.write_text(json.dumps(rows, indent=1) + "\n", encoding="utf-8")
