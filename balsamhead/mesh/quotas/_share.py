"""Keep the tokens that this node was granted, and decide when to request more."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamhead.mesh.model import Account

__all__ = ("ANSWER_TIMEOUT_S", "TERM_S", "QuotaShare")

#: how long an owner's answer is waited for, in s; less than the term of what it grants
ANSWER_TIMEOUT_S: Final = 0.3
#: how long a token is valid after its request was sent, in s
TERM_S: Final = 0.4
#: time constant of the mean demand, in s
_DEMAND_S: Final = 1.0
#: largest number of tokens in one request for requests that are expected
_MAX_SPARE: Final = 256
#: how long an owner that hasn't answered is asked nothing, in s
_SILENT_OWNER_S: Final = 0.2
#: how long an owner that has answered late isn't replaced by the static share, in s
_SLOW_OWNER_S: Final = 5.0
#: how long the state of an account without requests is kept, in s
_IDLE_S: Final = 5.0
#: longest time for which an owner is asked nothing after it had no token; its limit may be raised
_MAX_BLOCKED_S: Final = 1.0
#: how long tokens that expired may be reported to their owner, in s
_REPORT_S: Final = 1.0
#: how long a token of the static share may be used, in s; a longer time would let the nodes of a
#: large mesh save up more tokens than the quota allows at once
_STATIC_TERM_S: Final = 0.25


#: window over which a quota is measured, in s, and what is tolerated in it beyond the quota: a
#: share of it, and a number of requests
_WINDOW_S: Final = 5.0
_TOLERATED_SHARE: Final = 0.1
_TOLERATED: Final = 20.0
#: part of that tolerance which the static shares of all nodes may use
_STATIC_TOLERANCE_SHARE: Final = 0.2


class _Batch:
    """Tokens of one grant; mutable, since each request takes one."""

    __slots__ = ("expires_at", "tokens")

    def __init__(self, expires_at: float, tokens: int) -> None:
        self.expires_at = expires_at
        self.tokens = tokens


class _Sent(NamedTuple):
    """Request for tokens that was sent."""

    sent_at: float
    owner: str


class _StaticShare:
    """This node's part of the rate, for a short time while no owner can be reached.

    It begins at a random phase, so that the nodes of a mesh don't get their tokens all at once. The
    owner may still grant the whole rate to nodes that reach it, until it notices that it doesn't
    reach all; so the time is limited to what the tolerance of the quota covers.
    """

    __slots__ = ("_begun_at", "_level", "_updated_at", "taken")

    def __init__(self, phase: float, now: float) -> None:
        self._begun_at = now
        self._level = phase
        self._updated_at = now
        #: when tokens were taken
        self.taken: list[float] = []

    def is_over(self, now: float) -> bool:
        """Return whether another one may begin."""
        return now - self._begun_at >= _WINDOW_S

    def take(self, rate: float, limit_s: float, now: float) -> bool:
        """Take a token; return whether there was one.

        :param limit_s: for how long there are tokens.
        """
        level = self._level + rate * (now - self._updated_at)
        self._updated_at = now
        # tokens that have been whole for longer than their term are lost
        valid = int(level) - int(max(0.0, level - rate * _STATIC_TERM_S))
        self._level = level % 1.0 + valid
        if not valid or now - self._begun_at > limit_s:
            return False
        self._level -= 1.0
        self.taken.append(now)
        return True


class _Held:
    """What this node holds of one account."""

    __slots__ = (
        "batches",
        "blocked_until",
        "demand_at",
        "demand_per_s",
        "expired",
        "owner",
        "retry_at",
        "sent",
        "silent_until",
        "static",
    )

    def __init__(self, now: float) -> None:
        self.batches: list[_Batch] = []
        #: tokens that expired since they were last reported, when, and who granted them
        self.expired: list[tuple[float, int]] = []
        self.owner = ""
        self.demand_per_s = 0.0
        self.demand_at = now
        #: the owner has no token before this time, and no room for callers before the next one
        self.blocked_until = -math.inf
        self.retry_at = -math.inf
        self.sent: dict[int, _Sent] = {}
        #: the owner hasn't answered and is asked nothing before this time
        self.silent_until = -math.inf
        self.static: _StaticShare | None = None


class QuotaShare:
    """Tokens of this node by account; all times are in s of one clock.

    :param draw: returns a random number from 0 to 1.
    """

    def __init__(self, draw: Callable[[], float]) -> None:
        self._draw = draw
        self._held: dict[str, _Held] = {}
        self._number = 0
        #: until when owners that have answered late count as reachable, by name
        self._slow_until: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._held)

    def admit(self, name: str, now: float) -> float:
        """Record a request of an account, and take a token for it if there is one.

        :return: when the token expires; 0 if there was none.
        """
        held = self._held.get(name)
        if held is None:
            held = self._held[name] = _Held(now)
        elapsed_s = now - held.demand_at
        if elapsed_s > 0.0:
            # below 5 time constants the exact decay differs little from this one
            held.demand_per_s /= 1.0 + elapsed_s / _DEMAND_S
            held.demand_at = now
        held.demand_per_s += 1.0 / _DEMAND_S
        return self._take(held, now) if held.batches else 0.0

    def take(self, name: str, now: float) -> float:
        """Take a token for a request that was recorded; see :meth:`admit`."""
        held = self._held.get(name)
        return 0.0 if held is None else self._take(held, now)

    def _take(self, held: _Held, now: float) -> float:
        batches = held.batches
        while batches:
            batch = batches[0]
            expires_at = batch.expires_at
            if expires_at <= now:
                held.expired.append((expires_at, batch.tokens))
                del batches[0]
                continue
            batch.tokens -= 1
            if not batch.tokens:
                del batches[0]
            return expires_at
        return 0.0

    def give_back(self, name: str, expires_at: float, now: float) -> None:
        """Return the token of a request that wasn't sent, unless it has expired."""
        held = self._held.get(name)
        if held is not None and expires_at > now:
            held.batches.append(_Batch(expires_at, 1))
            held.batches.sort(key=_get_expiry)

    def get_blocked_time(self, name: str, now: float) -> tuple[float, float]:
        """Return for how long nothing needs to be requested, and until when callers wait, in s."""
        held = self._held.get(name)
        if held is None or now >= held.blocked_until:
            return 0.0, 0.0
        return held.blocked_until - now, max(held.blocked_until, held.retry_at) - now

    def record_sent(self, name: str, owner: str, now: float) -> tuple[int, int, int]:
        """Record that a request for tokens is sent.

        :return: its number, how many tokens to request for requests that are expected soon, and
            how many are reported as unused.
        """
        held = self._held.setdefault(name, _Held(now))
        self._number += 1
        held.sent = {number: row for number, row in held.sent.items() if now - row.sent_at < TERM_S}
        held.sent[self._number] = _Sent(now, owner)
        expected = int(held.demand_per_s * TERM_S) if held.demand_per_s > 2.0 / _DEMAND_S else 0
        unused = 0
        if owner == held.owner:
            unused = sum(count for at, count in held.expired if now - at < _REPORT_S)
        held.expired.clear()
        held.owner = owner
        return self._number, min(_MAX_SPARE, expected), unused

    def record_timeout(self, name: str, owner: str, now: float) -> bool:
        """Record that an owner hasn't answered in time; return whether it counts as unreachable.

        An owner that answers late may grant the account's whole rate, so that the static share
        would come on top of it.
        """
        if now < self._slow_until.get(owner, -math.inf):
            return False
        held = self._held.get(name)
        if held is not None:
            held.silent_until = now + _SILENT_OWNER_S
        return True

    def is_owner_silent(self, name: str, now: float) -> bool:
        """Return whether the owner of an account hasn't answered and is asked nothing for now."""
        held = self._held.get(name)
        return held is not None and now < held.silent_until

    def forget_silence(self) -> None:
        """Record that the owners may have changed."""
        for held in self._held.values():
            held.silent_until = -math.inf

    def record_grant(
        self, name: str, number: int, count: int, next_s: float, retry_after_s: float, now: float
    ) -> bool:
        """Record the answer to a request for tokens; return False if it is unknown or too late.

        A grant counts from the time when its request was sent. Tokens that the static share has
        replaced since then are used up.
        """
        held = self._held.get(name)
        sent = None if held is None else held.sent.pop(number, None)
        if held is None or sent is None:
            return False
        held.silent_until = -math.inf
        if now - sent.sent_at >= ANSWER_TIMEOUT_S:
            self._slow_until[sent.owner] = now + _SLOW_OWNER_S
        expires_at = sent.sent_at + TERM_S
        if count <= 0:
            held.blocked_until = now + min(next_s, _MAX_BLOCKED_S)
            held.retry_at = now + retry_after_s
            return True
        if now >= expires_at:
            return False
        if held.static is not None:
            replaced = sum(at >= sent.sent_at for at in held.static.taken)
            count -= replaced
        if count > 0:
            held.batches.append(_Batch(expires_at, count))
            held.batches.sort(key=_get_expiry)
        return True

    def take_static(self, account: Account, known: int, now: float) -> bool:
        """Take a token of this node's part of the rate while the owner can't be reached.

        :param known: number of nodes that the rate is divided among.
        :return: whether there was one.
        """
        held = self._held.setdefault(account.name, _Held(now))
        if held.static is None or held.static.is_over(now):
            held.static = _StaticShare(self._draw(), now)
        rate = account.rate_per_s
        tolerance = _TOLERATED_SHARE * (rate * _WINDOW_S + account.burst) + _TOLERATED
        limit_s = _STATIC_TOLERANCE_SHARE * tolerance / rate
        return held.static.take(rate / known, limit_s, now)

    def drop_idle(self, now: float) -> None:
        """Drop the state of accounts without recent requests."""
        for name in [name for name, row in self._held.items() if now - row.demand_at > _IDLE_S]:
            del self._held[name]
        self._slow_until = {name: at for name, at in self._slow_until.items() if at > now}


def _get_expiry(batch: _Batch) -> float:
    return batch.expires_at
