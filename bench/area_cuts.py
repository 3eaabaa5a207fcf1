"""Measure how a mesh heals after cuts, and what a cut costs, on a virtual clock."""

from __future__ import annotations

import logging
import os
from typing import Final

from bench._frame import Measure
from tests.test_mesh.builders import run_virtual
from tests.test_mesh.cut_builders import (
    HEAL_TIMEOUT_S,
    STORE_HOST,
    CutFigures,
    cut_and_heal,
    divide,
    list_region_hosts,
    start_mesh,
)

__all__ = ("run",)

NODE_COUNT: Final = 60
#: lengths of the cuts, in min; an hour of the virtual clock takes some minutes
MINUTES: Final = tuple(int(text) for text in os.environ.get("CUT_MINUTES", "1,10").split(","))


def run() -> list[Measure]:
    """Cut off one node, a region, and a region without the store, for several times."""
    measures = []
    for minutes in MINUTES:
        for kind in ("node", "region", "region_store"):
            measures += _make_measures(f"{kind}_{minutes}", measure_cut(kind, minutes))
    return measures


def measure_cut(kind: str, minutes: int) -> CutFigures:
    """Start a mesh, divide it for a time, and wait until it is whole."""
    figures: list[CutFigures] = []
    logging.getLogger("balsamhead").setLevel(logging.CRITICAL)

    async def main() -> None:
        cluster = await start_mesh(NODE_COUNT)
        hosts = {"10.0.0.1"} if kind == "node" else list_region_hosts(cluster, "east")
        if kind == "region":
            hosts.add(STORE_HOST)
        figures.append(await cut_and_heal(cluster, divide(hosts), duration_s=minutes * 60.0))

    run_virtual(main)
    return figures[0]


def _make_measures(name: str, figures: CutFigures) -> list[Measure]:
    rows = [
        ("healed", "s", figures.healed_s, HEAL_TIMEOUT_S),
        ("dials", "1/min", figures.dials, None),
        ("store_calls", "1/min", figures.store_calls, None),
    ]
    return [
        Measure("cuts", f"cuts.{row}_{name}", unit, value, None, target, "lower", 0, 1)
        for row, unit, value, target in rows
    ]
