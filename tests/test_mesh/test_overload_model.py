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


#: the chain with one upstream per service, which can hold all its slots for requests of one kind
SMALL_CHAIN = tuple(row._replace(upstreams=1, rate_per_s=row.rate_per_s / 6) for row in CHAIN)


# Requests that held all slots of one service waited for slots of another, and the reverse, until
# their deadlines had passed.
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("load", [2.0, 3.0])
def test_services_that_call_each_other_do_not_block_each_other(load: float, seed: int) -> None:
    goodput = measure_goodput(load, decides=True, services=SMALL_CHAIN, seed=seed, duration_s=20.0)
    for service in SMALL_CHAIN:
        assert goodput.longest_gap_s[service.name] < service.deadline_s


def test_services_that_call_each_other_block_each_other_without_the_decisions() -> None:
    goodput = measure_goodput(3.0, decides=False, services=SMALL_CHAIN, duration_s=20.0)
    for service in SMALL_CHAIN:
        assert goodput.longest_gap_s[service.name] > service.deadline_s
