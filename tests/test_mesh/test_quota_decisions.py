from __future__ import annotations

import pytest

from balsamhead.mesh.model import Account
from balsamhead.mesh.quotas import (
    TERM_S,
    Followers,
    QuotaOwner,
    QuotaShare,
    TokenBucket,
    compute_share,
)
from tests.test_mesh.quota_simulation import SimulatedMesh

ACME = Account("acme", 1, 40.0, 40.0, ())


def make_owner(now: float, *, share: float = 1.0) -> QuotaOwner:
    owner = QuotaOwner()
    owner.set_members(share, lambda name: True, now)
    return owner


def run_until(owner: QuotaOwner, start: float, end: float) -> None:
    """Let an owner's process run without a gap."""
    while start < end:
        owner.record_running(start)
        start += 0.2
    owner.record_running(end)


def test_bucket_keeps_its_rate_and_burst() -> None:
    bucket = TokenBucket(rate=5.0, burst=5.0, tokens=5.0, now=0.0)
    assert (bucket.take(9, 0.0), bucket.take(1, 0.1)) == (5, 0)
    assert bucket.get_delay(0.1) == pytest.approx(0.1)
    assert bucket.take(1, 0.2) == 1
    assert bucket.take(9, 100.0) == 5


def test_bucket_ignores_a_clock_that_runs_backwards() -> None:
    bucket = TokenBucket(rate=5.0, burst=5.0, tokens=0.0, now=10.0)
    assert (bucket.take(9, 9.0), bucket.take(9, 10.2)) == (0, 1)


def test_lowered_limit_takes_the_tokens_beyond_it() -> None:
    bucket = TokenBucket(rate=40.0, burst=40.0, tokens=40.0, now=0.0)
    bucket.set_limit(rate=5.0, burst=5.0, now=0.0)
    assert (bucket.take(40, 0.0), bucket.take(40, 1.0)) == (5, 5)


# QUOTA: an owner's successor let the burst pass once more.
def test_new_owner_begins_almost_empty() -> None:
    owner = make_owner(100.0)
    assert owner.request(ACME, "a", 40, 100.0).tokens == 5
    assert owner.request(ACME, "a", 40, 100.5).tokens == 20


def test_account_without_requests_so_far_has_its_burst() -> None:
    owner = make_owner(100.0)
    run_until(owner, 100.0, 102.0)
    assert owner.request(ACME, "a", 50, 102.0).tokens == 40


# QUOTA: a node that owned an account again and again got the first tokens each time.
def test_owner_that_changes_back_and_forth_gains_nothing() -> None:
    owner, tokens = make_owner(100.0), 0
    for number in range(50):
        now = 100.0 + number * 0.02
        tokens += owner.request(ACME, "a", 40, now).tokens
        owner.set_members(1.0, lambda name: False, now)
        owner.set_members(1.0, lambda name: True, now)
    assert tokens <= 5 + 40


def test_owner_that_was_paused_begins_again_almost_empty() -> None:
    owner = make_owner(100.0)
    owner.request(ACME, "a", 5, 100.0)
    assert owner.request(ACME, "a", 40, 105.0).tokens == 5


@pytest.mark.parametrize(
    ("live", "known", "share"),
    [(1, 1, 1.0), (70, 70, 1.0), (67, 70, 1.0), (35, 70, 0.5), (3, 70, 3 / 70), (3, 4, 0.75)],
)
def test_owner_grants_the_share_of_the_nodes_that_it_reaches(
    live: int, known: int, share: float
) -> None:
    assert compute_share(live, known) == share


@pytest.mark.parametrize("known", [2, 3, 10, 70, 2900])
def test_both_sides_of_a_cut_together_stay_within_the_tolerance(known: int) -> None:
    for live in range(1, known):
        assert compute_share(live, known) + compute_share(known - live, known) <= 1.0 + 0.05 + 1e-9


# QUOTA: full buckets of idle accounts were kept for good, or their burst was lost with them.
def test_idle_accounts_are_dropped_and_keep_their_burst() -> None:
    owner = make_owner(100.0)
    for number in range(10_000):
        owner.request(ACME._replace(name=f"a{number}"), "a", 1, 100.0)
    run_until(owner, 100.0, 102.0)
    owner.drop_idle(102.0)
    assert len(owner) == 0
    assert owner.request(ACME._replace(name="a1"), "a", 50, 102.0).tokens == 40


# QUOTA: requests within the limit were refused, since other nodes had taken tokens in advance.
def test_tokens_for_expected_requests_come_from_the_upper_half_of_the_bucket() -> None:
    owner = make_owner(100.0)
    run_until(owner, 100.0, 102.0)
    assert owner.request(ACME, "a", 2, 102.0, spare=30).tokens == 2 + 18
    assert owner.request(ACME, "a", 2, 102.0, spare=30).tokens == 2
    assert owner.request(ACME, "b", 30, 102.0, spare=30).tokens == 18


def test_refused_requests_get_times_that_follow_each_other() -> None:
    owner = make_owner(100.0)
    owner.request(ACME, "a", 5, 100.0)
    times = [owner.request(ACME, "a", 1, 100.0).retry_after_s for _ in range(4)]
    assert times == pytest.approx([0.025, 0.05, 0.075, 0.1])


def test_owner_takes_back_at_most_what_it_granted() -> None:
    owner = make_owner(100.0)
    owner.request(ACME, "a", 5, 100.0)
    assert owner.request(ACME, "a", 40, 100.0, unused=30).tokens == 5
    assert owner.request(ACME, "b", 40, 100.0, unused=30).tokens == 0


# QUOTA: nodes between two owners counted for both.
def test_owner_grants_the_share_of_the_nodes_that_follow_it() -> None:
    followers = Followers()
    assert (followers.is_due(100.0), followers.is_due(100.5)) == (True, False)
    assert followers.get_share(100.0) == 1.0
    for node, follows in (("a", True), ("b", False), ("c", False)):
        followers.record(node, follows, 100.0)
    assert followers.get_share(101.0) == 0.5
    assert followers.get_share(103.0) == 1.0
    owner = make_owner(100.0)
    owner.request(ACME, "a", 5, 100.0)
    owner.set_followed_share("acme", 0.5, 100.0)
    assert owner.request(ACME, "a", 40, 100.5).tokens == 10


def make_share() -> QuotaShare:
    return QuotaShare(lambda: 0.5)


def grant(share: QuotaShare, count: int, *, sent_at: float, arrives_at: float) -> bool:
    number, _, _ = share.record_sent("acme", "owner", sent_at)
    return share.record_grant("acme", number, count, 0.0, 0.0, arrives_at)


def test_token_expires_a_term_after_its_request_was_sent() -> None:
    share = make_share()
    assert grant(share, 3, sent_at=100.0, arrives_at=100.3)
    assert share.take("acme", 100.39) == 100.0 + TERM_S
    assert share.take("acme", 100.4) == 0.0


def test_late_unknown_and_repeated_grants_count_nothing() -> None:
    share = make_share()
    assert not grant(share, 3, sent_at=100.0, arrives_at=100.5)
    number, _, _ = share.record_sent("acme", "owner", 101.0)
    assert not share.record_grant("acme", number + 1, 3, 0.0, 0.0, 101.0)
    assert share.record_grant("acme", number, 1, 0.0, 0.0, 101.0)
    assert not share.record_grant("acme", number, 1, 0.0, 0.0, 101.0)
    assert share.take("acme", 101.0) > 0.0
    assert share.take("acme", 101.0) == 0.0


def test_returned_token_is_used_again_only_while_it_is_valid() -> None:
    share = make_share()
    grant(share, 1, sent_at=100.0, arrives_at=100.0)
    expires_at = share.take("acme", 100.0)
    share.give_back("acme", expires_at, 100.1)
    assert share.take("acme", 100.2) == expires_at
    share.give_back("acme", expires_at, 100.5)
    assert share.take("acme", 100.5) == 0.0


def test_busy_account_asks_ahead_and_a_quiet_one_does_not() -> None:
    share = make_share()
    for number in range(400):
        share.admit("busy", 100.0 + number * 0.01)
    share.admit("quiet", 104.0)
    assert share.record_sent("busy", "owner", 104.0)[1] == pytest.approx(40, abs=3)
    assert share.record_sent("quiet", "owner", 104.0)[1] == 0


def test_unused_tokens_are_reported_once_to_the_node_that_granted_them() -> None:
    share = make_share()
    grant(share, 3, sent_at=100.0, arrives_at=100.0)
    assert share.admit("acme", 100.6) == 0.0
    assert share.record_sent("acme", "owner", 100.6)[2] == 3
    assert share.record_sent("acme", "owner", 100.7)[2] == 0
    grant(share, 3, sent_at=101.0, arrives_at=101.0)
    share.admit("acme", 101.6)
    assert share.record_sent("acme", "other", 101.6)[2] == 0


# QUOTA: the static share came on top of what a slow owner granted.
def test_static_share_is_not_used_beside_an_owner_that_answers_late() -> None:
    share = make_share()
    assert share.record_timeout("acme", "owner", 100.0)
    grant(share, 1, sent_at=100.0, arrives_at=100.35)
    assert not share.record_timeout("acme", "owner", 101.0)
    assert not share.is_owner_silent("acme", 101.0)


# QUOTA: after an outage all nodes of a large mesh used a saved-up token at once.
def test_static_shares_of_a_large_mesh_stay_within_the_tolerance() -> None:
    small = ACME._replace(rate_per_s=5.0, burst=5.0)
    admitted = 0
    for number in range(70):
        share = QuotaShare(lambda phase=(number + 0.5) / 70: phase)  # type: ignore[misc]
        for step in range(500):
            admitted += share.take_static(small, 70, 100.0 + step * 0.01)
    assert 0 < admitted <= 23


def test_idle_accounts_of_a_share_are_dropped() -> None:
    share = make_share()
    for number in range(10_000):
        share.admit(f"a{number}", 100.0)
    share.drop_idle(104.0)
    assert len(share) == 10_000
    share.drop_idle(106.0)
    assert len(share) == 0


# Load: an account that sends 10 requests/s in all, 1 to each of 10 nodes.
def test_small_account_needs_at_most_one_pair_of_messages_a_request() -> None:
    mesh = SimulatedMesh(count=10, rate=40.0, burst=40.0, seed=1)
    mesh.run(2.0)
    mesh.load_per_s = 10.0
    mesh.run(10.0)
    assert mesh.message_count <= 2 * len(mesh.admitted_at)
    assert len(mesh.admitted_at) == pytest.approx(100, abs=10)
