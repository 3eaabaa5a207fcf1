from __future__ import annotations

import pytest

from balsamhead.mesh._attempts import SpentTime


def test_caller_that_comes_back_has_spent_time() -> None:
    spent = SpentTime()
    assert spent.estimate("check", 1.0) == 0.0
    assert spent.estimate("check", 0.7) == pytest.approx(0.3)
    assert spent.estimate("accept", 0.7) == 0.0


def test_usual_deadline_follows_when_callers_give_a_shorter_one() -> None:
    spent = SpentTime()
    spent.estimate("check", 2.0)
    for _ in range(3000):
        spent.estimate("check", 1.0)
    assert spent.estimate("check", 1.0) < 0.01
