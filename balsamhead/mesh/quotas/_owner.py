"""Grant tokens for the accounts that this node owns."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.mesh.quotas._bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamhead.mesh.model import Account

__all__ = ("Grant", "QuotaOwner", "compute_share")

#: what a new owner's bucket holds, as the time in which the rate yields it, in s, and at least as
#: a number of requests. Another node may have granted the whole quota just before, so this comes
#: out of what is tolerated beyond it: a tenth, and 20 requests.
_FRESH_S: Final = 0.1
_FRESH_TOKENS: Final = 5.0
#: gap between two calls after which the process counts as paused, in s; the node calls every 0.2 s
_MAX_GAP_S: Final = 1.0
#: how long the content of a bucket is remembered after another node became its owner, in s; as long
#: as the window over which a quota is measured
_FORMER_S: Final = 5.0
#: share of the known nodes that may be unreachable without effect on the rate; with it, both sides
#: of a cut together exceed the quota by less than the tenth that is tolerated
_MAX_IGNORED_SHARE: Final = 0.05
#: longest time until which room is promised to refused requests, in s
_MAX_PROMISE_S: Final = 2.0
#: retry time when a rate is 0, in s
_MAX_RETRY_S: Final = 5.0


class Grant(NamedTuple):
    """Answer of an owner to a request for tokens."""

    #: number of tokens; 0 if there are none
    tokens: int
    #: time until the bucket has a token, in s; nothing needs to be asked before
    next_s: float = 0.0
    #: time until there is room for the caller of a refused request, after those refused
    #: before, in s
    retry_after_s: float = 0.0


class _Owned:
    """Bucket of an account, and what each node was granted of it."""

    __slots__ = ("account", "bucket", "followed_share", "granted", "promised_until")

    def __init__(self, account: Account, bucket: TokenBucket) -> None:
        self.account = account
        self.bucket = bucket
        #: tokens by node that may still be reported as unused
        self.granted: dict[str, int] = {}
        #: until when the tokens to come are promised to refused requests
        self.promised_until = 0.0
        #: part of the nodes that this one reaches which take it for the owner, 0 to 1
        self.followed_share = 1.0


def compute_share(live: int, known: int) -> float:
    """Return the share of an account's rate that an owner may grant, 0 to 1.

    :param live: number of nodes that the owner reaches, including itself.
    :param known: number of all nodes that haven't said that they stop, including itself.
    """
    if known <= 0 or live >= known:
        return 1.0 if live else 0.0
    return 1.0 if (known - live) <= _MAX_IGNORED_SHARE * known else live / known


class QuotaOwner:
    """Buckets of the accounts that this node owns; all times are in s of one clock.

    A bucket that is full is dropped. Its account's next request finds the same content again, since
    the node has owned the account for longer than it takes to fill the bucket.
    """

    def __init__(self) -> None:
        self._owned: dict[str, _Owned] = {}
        self._share = 0.0
        #: since when the same nodes have been live and this node has run without a gap
        self._stable_since = 0.0
        self._ran_at = -math.inf
        #: content and time of the buckets that other nodes have taken over
        self._former: dict[str, tuple[float, float]] = {}

    def __len__(self) -> int:
        return len(self._owned)

    def record_running(self, now: float) -> None:
        """Record that the process runs; after a pause all buckets begin again almost empty.

        While it was paused, another node may have granted the same tokens.
        """
        if now - self._ran_at > _MAX_GAP_S:
            self._owned.clear()
            self._former.clear()
            self._stable_since = now
        self._ran_at = now

    def set_members(self, share: float, is_owner: Callable[[str], bool], now: float) -> None:
        """Apply a change of the live or the known nodes.

        :param share: see :func:`compute_share`.
        :param is_owner: returns whether this node is now the owner of the account of that name.
        """
        self.record_running(now)
        self._share = share
        self._stable_since = now
        for name in [name for name in self._owned if not is_owner(name)]:
            self._former[name] = (self._owned.pop(name).bucket.get_tokens(now), now)
        for owned in self._owned.values():
            self._apply_limit(owned, now)

    def list_accounts(self) -> list[str]:
        """Return the names of the accounts for which there is a bucket."""
        return list(self._owned)

    def set_followed_share(self, name: str, followed_share: float, now: float) -> None:
        """Set which part of the nodes that this one reaches takes it for the owner of an account.

        :param followed_share: 0 to 1.
        """
        owned = self._owned.get(name)
        if owned is not None and owned.followed_share != followed_share:
            owned.followed_share = followed_share
            self._apply_limit(owned, now)

    def request(
        self,
        account: Account,
        node: str,
        count: int,
        now: float,
        *,
        unused: int = 0,
        spare: int = 0,
    ) -> Grant:
        """Grant up to ``count`` tokens of an account that this node owns to a node.

        :param unused: tokens of earlier grants that the node has not used and that have expired.
        :param spare: tokens that the node would like besides, for requests that it expects. They
            are granted only from the upper half of the bucket: below, they would be missing for
            requests that arrive earlier elsewhere.
        """
        self.record_running(now)
        owned = self._owned.get(account.name)
        if owned is None:
            owned = self._owned[account.name] = _Owned(account, self._make_bucket(account, now))
        elif owned.account is not account and owned.account != account:
            owned.account = account
            self._apply_limit(owned, now)
        if unused > 0:
            self._take_back(owned, node, unused, now)
        taken = owned.bucket.take(count, now)
        if taken == count and spare > 0:
            taken += owned.bucket.take_upper_half(spare, now)
        if taken:
            owned.granted[node] = owned.granted.get(node, 0) + taken
            return Grant(taken)
        next_s = min(_MAX_RETRY_S, owned.bucket.get_delay(now))
        rate = account.rate_per_s * self._share * owned.followed_share
        step_s = 1.0 / rate if rate > 0.0 else _MAX_RETRY_S
        until = now + max(next_s, _MAX_PROMISE_S)
        room_at = max(now + next_s, min(owned.promised_until, until))
        owned.promised_until = min(until, room_at + count * step_s)
        return Grant(0, next_s, room_at - now)

    def drop_idle(self, now: float) -> None:
        """Drop the buckets that are full."""
        for name in [name for name, owned in self._owned.items() if owned.bucket.is_full(now)]:
            del self._owned[name]
        self._former = {name: row for name, row in self._former.items() if now - row[1] < _FORMER_S}

    def _make_bucket(self, account: Account, now: float) -> TokenBucket:
        rate = account.rate_per_s * self._share
        gained = rate * (now - self._stable_since)
        tokens = max(_FRESH_TOKENS, account.rate_per_s * _FRESH_S)
        former, left_at = self._former.pop(account.name, (math.inf, 0.0))
        if now - left_at < _FORMER_S:
            tokens = min(tokens, former)
        burst = account.burst * self._share
        return TokenBucket(rate=rate, burst=burst, tokens=tokens + gained, now=now)

    def _apply_limit(self, owned: _Owned, now: float) -> None:
        account, share = owned.account, self._share * owned.followed_share
        owned.bucket.set_limit(
            rate=account.rate_per_s * share, burst=account.burst * share, now=now
        )

    def _take_back(self, owned: _Owned, node: str, unused: int, now: float) -> None:
        granted = owned.granted.pop(node, 0)
        owned.bucket.give_back(min(unused, granted), now)
