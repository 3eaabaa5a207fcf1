from __future__ import annotations

from balsamhead.mesh.evacuation import EvacuationBegun, EvacuationEnded, EvacuationTracker
from balsamhead.mesh.model import OperatorState


def make_state(offset: int, *evacuated: str) -> OperatorState:
    return OperatorState(offset, None, {}, evacuated)


def test_evacuation_begins_and_ends_once() -> None:
    tracker = EvacuationTracker("east-a")
    begun = [EvacuationBegun("east-a", 1, True), EvacuationBegun("west-a", 1, False)]
    assert tracker.apply(make_state(1, "east-a", "west-a")) == begun
    assert tracker.evacuated == {"east-a", "west-a"}
    assert tracker.apply(make_state(2, "east-a", "west-a")) == []
    assert tracker.apply(make_state(3, "west-a")) == [EvacuationEnded("east-a", 3, True)]
    assert tracker.evacuated == {"west-a"}
    assert not tracker.own_evacuated


# A node that starts during an evacuation must not take its first state for one without.
def test_evacuation_in_the_first_state_begins() -> None:
    tracker = EvacuationTracker("east-a")
    assert tracker.apply(make_state(9, "east-a")) == [EvacuationBegun("east-a", 9, True)]


def test_one_data_centre_ends_as_another_begins() -> None:
    tracker = EvacuationTracker("east-b")
    tracker.apply(make_state(1, "east-a"))
    assert tracker.apply(make_state(2, "west-a")) == [
        EvacuationEnded("east-a", 2, False),
        EvacuationBegun("west-a", 2, False),
    ]


# A late state must not lift an evacuation that a newer one holds.
def test_older_state_has_no_effect() -> None:
    tracker = EvacuationTracker("east-a")
    tracker.apply(make_state(5, "east-a"))
    assert tracker.apply(make_state(4)) == []
    assert tracker.own_evacuated


def test_unknown_data_centre_is_listed_once_per_evacuation() -> None:
    tracker = EvacuationTracker("east-a")
    tracker.apply(make_state(1, "north-a", "east-a"))
    assert tracker.list_new_unknown({"east-a"}) == ["north-a"]
    assert tracker.list_new_unknown({"east-a"}) == []
    tracker.apply(make_state(2, "east-a"))
    tracker.apply(make_state(3, "east-a", "north-a"))
    assert tracker.list_new_unknown({"east-a"}) == ["north-a"]
