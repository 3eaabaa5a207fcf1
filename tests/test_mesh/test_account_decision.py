"""Which account a request belongs to, and the priority of its requests, without a network."""

from __future__ import annotations

import random
import timeit

import pytest

from balsamhead.mesh.accounts import (
    AccountIndex,
    Authenticated,
    Denied,
    NoAccountNeeded,
    NotFresh,
    authenticate,
    compute_account_priority,
)
from balsamhead.mesh.model import ROUTE_PRIORITIES, Route, RouteKind
from balsamhead.platform.configuration import digest_key
from tests.test_mesh.account_builders import KEY, make_account

ROUTE = Route("check", "h", "/", RouteKind.SAFE, 1.0, 0.25, 2, 2, ())
ACME = make_account("acme", KEY, "k-2")
INDEX = AccountIndex([ACME, make_account("basil", "k-3")], digest_key=digest_key)


def is_fresh() -> bool:
    return True


def is_not_fresh() -> bool:
    return False


def test_each_key_of_an_account_names_it() -> None:
    for key in (KEY, "k-2"):
        assert authenticate(ROUTE, [key.encode()], INDEX, is_fresh) == Authenticated(ACME)


def test_unknown_key_is_denied_with_the_first_bytes_of_its_digest() -> None:
    decision = authenticate(ROUTE, [b"other"], INDEX, is_fresh)
    assert decision == Denied("key-unknown", digest_key(b"other").hex()[:8])


def test_missing_key_is_denied() -> None:
    assert authenticate(ROUTE, [], INDEX, is_fresh) == Denied("key-missing")


# A proxy that reads the first of two keys and a node that reads the last would disagree.
@pytest.mark.parametrize(
    "keys",
    [[KEY.encode(), KEY.encode()], [b""], [b"\xe9"], [b"k" * 1025]],
    ids=["twice", "empty", "non-ascii", "over-long"],
)
def test_malformed_keys_are_denied_whether_fresh_or_not(keys: list[bytes]) -> None:
    for fresh in (is_fresh, is_not_fresh):
        assert authenticate(ROUTE, keys, INDEX, fresh) == Denied("key-malformed")


# A key that a newer configuration may have added or revoked is neither accepted nor answered 401.
@pytest.mark.parametrize("key", [KEY.encode(), b"other"])
def test_no_key_is_judged_while_the_configuration_is_not_fresh(key: bytes) -> None:
    assert authenticate(ROUTE, [key], INDEX, is_not_fresh) == NotFresh()


def test_public_routes_and_deployments_without_accounts_need_no_key() -> None:
    public = ROUTE._replace(public=True)
    for keys in ([], [b"other"], [b"", b""]):
        assert authenticate(public, keys, INDEX, is_not_fresh) == NoAccountNeeded()
        assert authenticate(ROUTE, keys, None, is_not_fresh) == NoAccountNeeded()


def test_without_any_account_all_keys_are_unknown() -> None:
    index = AccountIndex([], digest_key=digest_key)
    assert isinstance(authenticate(ROUTE, [b"x"], index, is_fresh), Denied)


# The requests of one client would count as another's.
def test_digest_that_several_accounts_hold_names_none_of_them() -> None:
    accounts = [make_account(name, "shared", f"own-{name}") for name in ("a", "b", "c")]
    index = AccountIndex(accounts, digest_key=digest_key)
    assert index.find(digest_key(b"shared")) is None
    assert index.ambiguous == {digest_key(b"shared"): ("a", "b", "c")}
    assert index.find(digest_key(b"own-b")) == accounts[1]


def test_key_that_one_account_lists_twice_still_names_it() -> None:
    account = make_account("a", "twice", "twice")
    index = AccountIndex([account], digest_key=digest_key)
    assert index.find(digest_key(b"twice")) == account
    assert index.ambiguous == {}


@pytest.mark.parametrize("route_priority", [0, 5, 15, 16, 4000])
def test_priority_of_the_account_takes_precedence_over_any_of_the_route(
    route_priority: int,
) -> None:
    high, low = make_account("a", priority=1), make_account("b", priority=2)
    assert compute_account_priority(high, route_priority) < compute_account_priority(low, 0)


def test_route_priorities_order_the_requests_of_one_account() -> None:
    account = make_account("a", priority=3)
    priorities = [compute_account_priority(account, row) for row in range(ROUTE_PRIORITIES)]
    assert priorities == list(range(3 * ROUTE_PRIORITIES, 4 * ROUTE_PRIORITIES))


# The load is 78 accounts with 2 keys each; a node may get 10,000 accounts.
@pytest.mark.parametrize("count", [78, 10_000])
def test_key_check_takes_less_than_10_microseconds(count: int) -> None:
    accounts = [make_account(f"a{number}", f"x{number}", f"y{number}") for number in range(count)]
    index = AccountIndex(accounts, digest_key=digest_key)
    rng = random.Random(count)
    keys = [[f"x{rng.randrange(count)}".encode()] for _ in range(1000)]

    def check_all() -> None:
        for values in keys:
            authenticate(ROUTE, values, index, is_fresh)

    best_s = min(timeit.repeat(check_all, number=5, repeat=7)) / 5 / len(keys)
    assert best_s < 10e-6
