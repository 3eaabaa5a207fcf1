from __future__ import annotations

from typing import TYPE_CHECKING

from balsamhead.rollout._tracker import FleetHistory, count_fleet
from tests.test_rollout.builders import make_member, make_rollout, make_service

if TYPE_CHECKING:
    from balsamhead.rollout._decision import Fleet

#: service whose document states more workers than most tests run
SERVICE = make_service(workers=9, slots=6)


def count(history: FleetHistory, *, old: int, new: int) -> Fleet:
    members = [make_member(f"old-{number}", "v1") for number in range(old)]
    members += [make_member(f"new-{number}", "v2") for number in range(new)]
    return count_fleet(SERVICE, make_rollout(), members, history)


def test_new_version_has_capacity_if_it_matches_the_old_one() -> None:
    assert count(FleetHistory(), old=4, new=4).capacity_share == 1.0


def test_old_upstreams_that_left_still_count_as_load() -> None:
    history = FleetHistory()
    count(history, old=9, new=0)
    assert count(history, old=1, new=1).capacity_share < 0.25


def test_document_counts_if_the_old_version_was_never_seen() -> None:
    assert count(FleetHistory(), old=0, new=1).capacity_share < 0.25


def test_required_capacity_never_exceeds_the_document() -> None:
    assert count(FleetHistory(), old=90, new=9).capacity_share == 1.0
