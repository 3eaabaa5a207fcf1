from __future__ import annotations

from balsamhead.mesh._fairness import RankFairness


def test_rank_stays_while_all_are_served_alike() -> None:
    fairness = RankFairness()
    for _ in range(50):
        fairness.record("desk", 1, served=False)
        fairness.record("desk", 2, served=False)
    assert [fairness.get_rank("desk", rank) for rank in (1, 2)] == [1, 2]


def test_starved_rank_is_raised_until_it_is_served_again() -> None:
    fairness = RankFairness()
    for _ in range(10):
        fairness.record("desk", 1, served=True)
        fairness.record("desk", 2, served=False)
    assert [fairness.get_rank("desk", rank) for rank in (1, 2)] == [1, 0]
    assert fairness.get_rank("registry", 2) == 2
    for _ in range(10):
        fairness.record("desk", 2, served=True)
    assert fairness.get_rank("desk", 2) == 2


def test_rank_that_is_served_less_than_the_others_but_not_starved_stays() -> None:
    fairness = RankFairness()
    for number in range(100):
        fairness.record("desk", 1, served=True)
        fairness.record("desk", 2, served=number % 2 == 0)
    assert fairness.get_rank("desk", 2) == 2
    assert fairness.is_urgent("desk", 1)
    assert not fairness.is_urgent("desk", 2)
