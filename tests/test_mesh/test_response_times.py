from __future__ import annotations

import pytest

from balsamhead.mesh._response_times import ResponseTimes


def test_route_without_a_response_has_no_bound() -> None:
    assert ResponseTimes().get_upper_bound("export") == 0.0


def test_bound_of_steady_times_approaches_them() -> None:
    times = ResponseTimes()
    for _ in range(100):
        times.record("export", 2.0)
    assert times.get_upper_bound("export") == pytest.approx(2.0, abs=0.01)


def test_bound_of_varying_times_exceeds_the_longest() -> None:
    times = ResponseTimes()
    for number in range(100):
        times.record("export", 1.0 if number % 2 else 3.0)
    assert 3.0 < times.get_upper_bound("export") < 7.0


def test_routes_have_bounds_of_their_own() -> None:
    times = ResponseTimes()
    times.record("export", 4.0)
    times.record("check", 0.1)
    assert times.get_upper_bound("check") < 0.5 < times.get_upper_bound("export")
