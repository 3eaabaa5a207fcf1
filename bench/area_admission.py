"""Measure the goodput of services that call each other under overload, on a virtual clock."""

from __future__ import annotations

from bench._frame import Measure
from tests.test_mesh.overload_model import measure_goodput

__all__ = ("run",)

#: loads as multiples of the normal one
_LOADS = (1.0, 1.5, 2.0, 3.0)
_SEED = 1
#: least goodput, as a fraction of the best of all loads
_TARGET = 0.95


def run() -> list[Measure]:
    """Return the goodput at each load as a fraction of the best, with and without the decisions."""
    totals = {
        decides: [measure_goodput(load, decides=decides, seed=_SEED).total for load in _LOADS]
        for decides in (True, False)
    }
    best = max(totals[True])
    return [
        Measure(
            area="admission",
            measure=f"admission.goodput_at_{load:g}",
            unit="fraction",
            value=with_decisions / best,
            baseline=without / best,
            target=None if load == 1.0 else _TARGET,
            better="higher",
            seed=_SEED,
            runs=1,
        )
        for load, with_decisions, without in zip(_LOADS, totals[True], totals[False], strict=True)
    ]
