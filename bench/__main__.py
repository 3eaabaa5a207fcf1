"""Run the benchmarks: ``python -m bench --area all|config|call|rollout|size``."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from bench._frame import Measure, find_areas, format_table, run_area, write_measures

#: JSON file to which each run writes its measures
RESULT_PATH = Path("build/bench.json")


@dataclass
class Bench:
    """Measure one area, or all of them."""

    area: Annotated[str, cappa.Arg(long=True, help="all, or the name of an area")] = "all"


def main() -> int:
    """Run the selected areas, print a table of the measures and write them to a file."""
    options = cappa.parse(Bench)
    areas = find_areas()
    if options.area != "all" and options.area not in areas:
        print(f"unknown area {options.area!r}; known areas: {', '.join(areas)}", file=sys.stderr)
        return 2

    names = areas if options.area == "all" else (options.area,)
    measures: list[Measure] = []
    for name in names:
        measures.extend(run_area(name))

    print(format_table(measures))
    write_measures(measures, RESULT_PATH)
    return 0


if __name__ == "__main__":
    sys.exit(main())
