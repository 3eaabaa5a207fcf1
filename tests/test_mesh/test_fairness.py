from __future__ import annotations

from balsamhead.mesh._fairness import PriorityFairness


def test_priority_is_kept_while_all_are_served_equally() -> None:
    fairness = PriorityFairness()
    for _ in range(50):
        fairness.record("desk", 1, served=False)
        fairness.record("desk", 2, served=False)
    assert [fairness.get_effective_priority("desk", priority) for priority in (1, 2)] == [1, 2]


def test_starved_priority_is_raised_until_it_is_served_again() -> None:
    fairness = PriorityFairness()
    for _ in range(10):
        fairness.record("desk", 1, served=True)
        fairness.record("desk", 2, served=False)
    assert [fairness.get_effective_priority("desk", priority) for priority in (1, 2)] == [1, 0]
    assert fairness.get_effective_priority("registry", 2) == 2
    for _ in range(10):
        fairness.record("desk", 2, served=True)
    assert fairness.get_effective_priority("desk", 2) == 2


def test_priority_that_is_served_less_but_not_starved_is_kept() -> None:
    fairness = PriorityFairness()
    for number in range(100):
        fairness.record("desk", 1, served=True)
        fairness.record("desk", 2, served=number % 2 == 0)
    assert fairness.get_effective_priority("desk", 2) == 2
    assert fairness.is_urgent("desk", 1)
    assert not fairness.is_urgent("desk", 2)


# A starved account must not go before accounts of a higher priority.
def test_starved_priority_is_raised_within_that_of_its_account() -> None:
    fairness = PriorityFairness()
    for _ in range(10):
        fairness.record("desk", 1, served=True)
        fairness.record("desk", 35, served=False)
    assert fairness.is_starved("desk", 35)
    assert not fairness.is_starved("desk", 1)
    assert fairness.get_effective_priority("desk", 35, priorities_per_account=16) == 32
    assert fairness.get_effective_priority("desk", 1, priorities_per_account=16) == 1
