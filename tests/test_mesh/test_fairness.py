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
