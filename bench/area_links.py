"""Measure what callers of a mesh are served when its nodes share thin links."""

from __future__ import annotations

import logging
from typing import Final

from bench._frame import Measure
from bench._link_load import KINDS, run_load

__all__ = ("run",)

#: rate of a thin link, in bytes/s
_LINK_RATE: Final = 875_000.0
#: factors on the usual rate of requests
_LOADS: Final = (1.0, 1.3, 1.6)
#: duration of a run on the virtual clock, in s
_SECONDS: Final = 10.0
_SEED: Final = 7


def run() -> list[Measure]:
    """Measure the worth earned by kind and load; the baseline is the same on unlimited links."""
    logging.disable(logging.WARNING)
    try:
        return [measure for load in _LOADS for measure in _measure_load(load)]
    finally:
        logging.disable(logging.NOTSET)


def _measure_load(load: float) -> list[Measure]:
    thin = run_load(load=load, link_rate=_LINK_RATE, seconds=_SECONDS, seed=_SEED)
    unlimited = run_load(load=load, link_rate=None, seconds=_SECONDS, seed=_SEED)
    return [
        Measure(
            area="links",
            measure=f"links.worth_{name}_load_{load}",
            unit="share",
            value=thin.compute_worth(name),
            baseline=unlimited.compute_worth(name),
            target=None,
            better="higher",
            seed=_SEED,
            runs=thin.count(name),
        )
        for name, kind in KINDS.items()
        if kind.weight
    ]
