from __future__ import annotations

import functools

import pytest

from tests.test_mesh.overload_model import CHAIN, Goodput, measure_goodput

#: loads as multiples of the normal one
LOADS = (1.0, 1.5, 2.0, 3.0)


@functools.cache
def measure_typical(load: float) -> Goodput:
    return measure_goodput(load, decides=True)


# Requests took slots for work that could not end, and all services filled up with it.
@pytest.mark.parametrize("load", LOADS[1:])
def test_goodput_stays_near_its_best_under_overload(load: float) -> None:
    best = max(measure_typical(row).total for row in LOADS)
    assert measure_typical(load).total >= 0.95 * best


# The same model must show the failure that the decisions answer.
def test_goodput_collapses_without_the_decisions() -> None:
    best = max(measure_typical(row).total for row in LOADS)
    without = measure_goodput(2.0, decides=False)
    assert without.total < 0.8 * best
    assert without.rates["second"] < 0.5 * measure_typical(2.0).rates["second"]


# Requests that held all slots of one service waited for slots of another, and the reverse.
@pytest.mark.parametrize("load", LOADS)
def test_services_that_call_each_other_do_not_block_each_other(load: float) -> None:
    goodput = measure_goodput(load, decides=True, services=CHAIN, duration_s=10.0)
    assert max(goodput.longest_gap_s.values()) < 1.0
