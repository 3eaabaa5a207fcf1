from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from balsamhead.util.recent import RecentValues
from balsamhead.util.suspects import SuspectTable, hash_parts


def make_table() -> SuspectTable[int]:
    return SuspectTable(is_conclusive=lambda crashes: len(crashes) >= 2, initial_refusal_s=30.0)


def test_different_parts_have_different_hashes() -> None:
    assert hash_parts(b"a", b"bc") != hash_parts(b"ab", b"c")
    assert hash_parts(b"a", b"bc") == hash_parts(b"a", b"bc")


def test_refusal_begins_with_conclusive_crashes_and_each_one_lasts_twice_as_long() -> None:
    table = make_table()
    assert table.add(b"x", 1, 0.0) == 0.0
    assert table.add(b"x", 2, 1.0) == 30.0
    assert table.add(b"x", 3, 2.0) == 0.0
    assert table.get_refusal_time(b"x", 11.0) == 21.0
    assert table.expire(32.0)
    assert not table.is_refused(b"x")
    assert table.add(b"x", 4, 40.0) == 60.0


def test_crash_that_is_reported_twice_counts_once() -> None:
    table = make_table()
    table.add(b"x", 1, 0.0)
    table.add(b"x", 1, 1.0)
    assert not table.is_refused(b"x")


# A crash that was reported just before a refusal ended here was forgotten with it.
def test_crash_during_a_refusal_extends_it() -> None:
    table = make_table()
    for crash in (1, 2):
        table.add(b"x", crash, 0.0)
    table.add(b"x", 3, 29.9)
    table.expire(31.0)
    assert table.get_refusal_time(b"x", 31.0) == pytest.approx(28.9)


def test_crash_after_a_refusal_renews_it_also_before_the_table_is_tidied() -> None:
    table = make_table()
    for crash in (1, 2):
        table.add(b"x", crash, 0.0)
    assert table.add(b"x", 3, 30.1) == 60.0


def test_discarded_crashes_end_the_suspicion() -> None:
    table = make_table()
    table.add(b"x", 1, 0.0)
    table.add(b"x", 2, 0.0)
    assert not table.discard(b"x", [1])
    assert table.discard(b"x", [2, 3])
    assert b"x" not in table


# Thousands of requests that crash upstreams must not fill a node's memory or push out refusals.
def test_flood_of_suspects_is_bounded_and_keeps_what_is_refused() -> None:
    table = make_table()
    for crash in (1, 2):
        table.add(b"refused", crash, 0.0)
    for number in range(5000):
        table.add(b"%d" % number, 1, 1.0)
    assert len(table) == 1024
    assert table.is_refused(b"refused")


def test_recent_values_are_bounded() -> None:
    recent: RecentValues[int] = RecentValues(2)
    assert [recent.add(value) for value in (1, 1, 2, 3, 1)] == [True, False, True, True, True]


class Suspects(RuleBasedStateMachine):
    """Add, discard and expire in any order; one crash alone never refuses a new fingerprint."""

    def __init__(self) -> None:
        super().__init__()
        self.table = make_table()
        self.now = 0.0

    @rule(key=st.sampled_from([b"x", b"y"]), crash=st.integers(0, 5))
    def add(self, key: bytes, crash: int) -> None:
        was_known = key in self.table
        self.table.add(key, crash, self.now)
        assert was_known or not self.table.is_refused(key)

    @rule(key=st.sampled_from([b"x", b"y"]), crashes=st.lists(st.integers(0, 5)))
    def discard(self, key: bytes, crashes: list[int]) -> None:
        self.table.discard(key, crashes)

    @rule(seconds=st.floats(0.0, 1000.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.table.expire(self.now)

    @invariant()
    def each_fingerprint_is_refused_or_suspected(self) -> None:
        refused, suspected = self.table.list_refused(), self.table.list_suspected()
        assert not refused & suspected
        assert len(refused | suspected) == len(self.table)
        assert all(self.table.get_refusal_time(key, self.now) > 0.0 for key in refused)
        assert all(self.table.get_crashes(key) for key in refused | suspected)


TestSuspects = Suspects.TestCase
TestSuspects.settings = settings(max_examples=60, stateful_step_count=25, deadline=None)
