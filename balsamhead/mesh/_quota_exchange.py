"""Admit requests of accounts within their quotas; request and grant tokens over the links."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.mesh._frames import Frame, FrameKind, decode_header
from balsamhead.mesh._peers import hash_name
from balsamhead.mesh.quotas import (
    ANSWER_TIMEOUT_S,
    Followers,
    Grant,
    QuotaOwner,
    QuotaShare,
    compute_share,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from balsamhead.mesh._link import Link
    from balsamhead.mesh._link_manager import LinkManager
    from balsamhead.mesh._metrics import MeshMetrics
    from balsamhead.mesh._peers import Peer
    from balsamhead.mesh.model import Account, Config

__all__ = ("QuotaExchange", "QuotaGrant", "QuotaRefusal", "QuotaRequest", "QuotaToken")

logger = logging.getLogger(__name__)

#: how long a request waits for a token that its owner has announced, in s
_MAX_WAIT_S: Final = 0.35
#: time until a node that doesn't consider itself the owner is asked again, in s
_OTHER_OWNER_RETRY_S: Final = 0.05
#: number of times that one request asks for tokens
_MAX_ATTEMPTS: Final = 4
#: how long the set of live nodes is kept, in s
_MEMBERS_AGE_S: Final = 0.2
#: the same while this node has granted no tokens, in s
_MAX_MEMBERS_AGE_S: Final = 1.0
#: fraction of the silence after which a peer isn't live; after it, the peer doesn't count for the
#: share of the rate that an owner grants. Beyond a cut another owner begins at the full time
_REACHED_FRACTION: Final = 0.8
#: how long a known node that this node has never reached counts, in s; a node that was removed for
#: good leaves its record in the store
_UNREACHED_S: Final = 60.0
#: Retry-After of a request that no owner could decide on, in s
_UNDECIDED_RETRY_S: Final = 0.5
#: least Retry-After, in s
_MIN_RETRY_S: Final = 0.01
#: least interval between two lines about refusals of one account, in s
_LOG_INTERVAL_S: Final = 1.0
_CLEANING_INTERVAL_S: Final = 2.0
#: number of nodes that are asked whom they take for the owner
_MAX_ASKED: Final = 16
#: number of a request by which an owner asks that, and which no request for tokens has
_OWNER_QUERY: Final = 0


class QuotaRequest(NamedTuple):
    """Request for tokens of an account."""

    account: str
    #: number that the answer repeats
    number: int
    #: tokens for requests that wait
    tokens: int
    #: tokens of earlier grants that expired without having been used
    unused: int
    #: tokens besides, for requests that are expected soon
    spare: int = 0


class QuotaGrant(NamedTuple):
    """Answer to a request for tokens."""

    account: str
    number: int
    tokens: int
    #: time until the owner has a token, in s
    next_s: float
    #: time until there is room for the caller of a refused request, in s
    retry_after_s: float
    #: owner of the account in the view of the sender; empty while it doesn't know
    owner: str


class QuotaToken(NamedTuple):
    """Permission to run one request of an account."""

    account: str
    #: until when it can be returned, in s of the loop's clock; 0 if it can't
    expires_at: float


class QuotaRefusal(NamedTuple):
    """The account has used up its quota."""

    retry_after_s: float


#: token of a request without an account, or whose account has no limit
_UNLIMITED: Final = QuotaToken("", 0.0)


class UploadServices:
    """Services that get large requests, read once for each configuration."""

    def __init__(self) -> None:
        self._config: Config | None = None
        self._services: frozenset[str] = frozenset()

    def get(self, config: Config | None) -> frozenset[str]:
        """Return the services that routes with large requests lead to."""
        if config is not self._config:
            self._config = config
            routes = () if config is None else config.routes.values()
            self._services = frozenset(
                part.service for route in routes if route.large_requests for part in route.parts
            )
        return self._services


class _Answer(NamedTuple):
    """What became of a request for tokens."""

    #: the owner has decided; otherwise it could not be reached, or didn't answer in time
    decided: bool
    #: the node that was asked is not the owner in its own view
    other_owner: bool = False


class _Flight:
    """Request for tokens whose answer is awaited."""

    __slots__ = ("answer", "number", "owner", "timer")

    def __init__(self, number: int, owner: str, timer: asyncio.TimerHandle) -> None:
        self.number = number
        self.owner = owner
        self.timer = timer
        self.answer: asyncio.Future[_Answer] = asyncio.get_running_loop().create_future()

    def finish(self, answer: _Answer) -> None:
        """Pass the answer to the requests that wait for it."""
        self.timer.cancel()
        if not self.answer.done():
            self.answer.set_result(answer)


class _Refusals:
    """Refusals of one account since the last line about them."""

    __slots__ = ("logged_at", "suppressed")

    def __init__(self, now: float) -> None:
        self.logged_at = now
        self.suppressed = 0


class QuotaExchange:
    """Hold the tokens of this node, ask the owners of accounts for more, and grant as an owner.

    :param is_ready: returns whether this node knows the nodes of the mesh and had time to reach
        them; before, it neither grants tokens nor uses its static share.
    """

    def __init__(
        self,
        own_name: str,
        *,
        link_manager: LinkManager,
        metrics: MeshMetrics,
        rng: random.Random,
        get_config: Callable[[], Config | None],
        is_ready: Callable[[], bool],
    ) -> None:
        self._own_name = own_name
        self._link_manager = link_manager
        self._metrics = metrics
        self._get_config = get_config
        self._is_ready = is_ready
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()
        self._owner = QuotaOwner()
        self._share = QuotaShare(rng.random)
        self._live: tuple[str, ...] = ()
        #: live nodes that may own accounts
        self._eligible: tuple[str, ...] = ()
        self._upload_services = UploadServices()
        self._known = 1
        #: share of the rate of its accounts that this node grants, 0 to 1
        self._owned_share = 0.0
        self._epoch = -1
        self._members_at = float("-inf")
        #: owner by account, as long as the same nodes are live
        self._owners: dict[str, str] = {}
        #: owner by account before the last change of the live nodes
        self._former_owners: dict[str, str] = {}
        #: known nodes that aren't live and haven't said that they stop
        self._missing: tuple[str, ...] = ()
        #: answers on the owner of accounts that a missing node would own before this one
        self._followers: dict[str, Followers] = {}
        self._rng = rng
        self._flights: dict[str, _Flight] = {}
        self._waiting: dict[str, int] = {}
        self._refusals: dict[str, _Refusals] = {}
        self._clean_at = 0.0

    # -- admission -------------------------------------------------------------------------

    async def admit(
        self, account: Account | None, now: float, deadline: float
    ) -> QuotaToken | QuotaRefusal:
        """Admit a request of an account, or refuse it; it may wait for a token.

        :param deadline: in s of the loop's clock.
        :raises TimeoutError: the deadline has passed.
        """
        if account is None or account.rate_per_s <= 0.0:
            return _UNLIMITED
        expires_at = self._share.admit(account.name, now)
        if expires_at:
            return QuotaToken(account.name, expires_at)
        name = account.name
        self._waiting[name] = self._waiting.get(name, 0) + 1
        try:
            async with asyncio.timeout_at(deadline):
                result = await self._wait_for_token(account, now)
        finally:
            self._waiting[name] -= 1
            if not self._waiting[name]:
                del self._waiting[name]
        if isinstance(result, QuotaRefusal):
            self._record_refusal(account, result)
        return result

    def give_back(self, token: QuotaToken) -> None:
        """Return the token of a request that reached no upstream, while it is valid."""
        if token.expires_at:
            self._share.give_back(token.account, token.expires_at, self._loop.time())

    async def _wait_for_token(
        self, account: Account, received_at: float
    ) -> QuotaToken | QuotaRefusal:
        name, wait_until = account.name, received_at + _MAX_WAIT_S
        for _ in range(_MAX_ATTEMPTS):
            now = self._loop.time()
            if now > wait_until:
                break
            blocked_s, retry_after_s = self._share.get_blocked_time(name, now)
            if blocked_s:
                if now + blocked_s > wait_until:
                    return QuotaRefusal(max(_MIN_RETRY_S, retry_after_s))
                await asyncio.sleep(blocked_s)
                if expires_at := self._share.take(name, self._loop.time()):
                    return QuotaToken(name, expires_at)
            answer = await self._request_tokens(account)
            now = self._loop.time()
            if expires_at := self._share.take(name, now):
                return QuotaToken(name, expires_at)
            if answer.other_owner and now + _OTHER_OWNER_RETRY_S <= wait_until:
                await asyncio.sleep(_OTHER_OWNER_RETRY_S)
                continue
            if answer.other_owner:
                break
            if not answer.decided:
                return self._take_static(account, now)
        blocked_s, retry_after_s = self._share.get_blocked_time(name, self._loop.time())
        return QuotaRefusal(max(_MIN_RETRY_S, retry_after_s or _UNDECIDED_RETRY_S))

    async def _request_tokens(self, account: Account) -> _Answer:
        """Ask the owner for tokens, or join the request that is under way."""
        flight = self._flights.get(account.name)
        if flight is None:
            owner = self._find_owner(account.name)
            if owner == self._own_name:
                return self._grant_to_itself(account)
            sent = self._send_request(account.name, owner)
            if sent is None:
                return _Answer(decided=False)
            flight = sent
        return await asyncio.shield(flight.answer)

    def _grant_to_itself(self, account: Account) -> _Answer:
        if not self._is_ready():
            return _Answer(decided=False, other_owner=True)
        now, name = self._loop.time(), account.name
        number, _, unused = self._share.record_sent(name, self._own_name, now)
        grant = self._owner.request(account, self._own_name, 1, now, unused=unused)
        self._metrics.count("quota_tokens_granted", amount=grant.tokens)
        self._share.record_grant(name, number, *grant, now)
        return _Answer(decided=True)

    def _send_request(self, name: str, owner: str) -> _Flight | None:
        """Send a request for tokens; return None if the owner can't be reached."""
        now = self._loop.time()
        peer = self._link_manager.table.peers.get(owner)
        link = None if peer is None else self._link_manager.get_link(peer)
        if link is None or self._share.is_owner_silent(name, now):
            return None
        number, spare, unused = self._share.record_sent(name, owner, now)
        timer = self._loop.call_later(ANSWER_TIMEOUT_S, self._handle_timeout, name)
        flight = self._flights[name] = _Flight(number, owner, timer)
        link.send(
            FrameKind.QUOTA_REQUEST,
            0,
            QuotaRequest(name, number, self._waiting[name], unused, spare),
        )
        self._metrics.count("quota_requests")
        return flight

    def _handle_timeout(self, name: str) -> None:
        flight, now = self._flights.pop(name), self._loop.time()
        unreachable = self._share.record_timeout(name, flight.owner, now)
        if unreachable:
            logger.info("quota-owner-silent", extra={"account": name, "owner": flight.owner})
        other_owner = self._find_owner(name) != flight.owner
        flight.finish(_Answer(decided=not unreachable, other_owner=other_owner))

    def _take_static(self, account: Account, now: float) -> QuotaToken | QuotaRefusal:
        """Use this node's part of the rate, since no owner can be reached."""
        if self._is_ready() and self._share.take_static(account, self._known, now):
            self._metrics.count("quota_static")
            return QuotaToken(account.name, 0.0)
        return QuotaRefusal(_UNDECIDED_RETRY_S)

    def _record_refusal(self, account: Account, refusal: QuotaRefusal) -> None:
        self._metrics.count("quota_refused")
        now, name = self._loop.time(), account.name
        row = self._refusals.get(name)
        if row is not None and now - row.logged_at < _LOG_INTERVAL_S:
            row.suppressed += 1
            return
        logger.info(
            "quota-exceeded",
            extra={
                "account": name,
                "rate_per_s": account.rate_per_s,
                "burst": account.burst,
                "owner": self._owners.get(name, ""),
                "retry_after_s": round(refusal.retry_after_s, 3),
                "suppressed": 0 if row is None else row.suppressed,
            },
        )
        self._refusals[name] = _Refusals(now)

    # -- owners ----------------------------------------------------------------------------

    def update(self) -> None:
        """Notice changes of the live nodes, and drop what is idle; called at each tick."""
        now = self._loop.time()
        config = self._get_config()
        if config is None or config.accounts is None:
            return
        # between two requests, too, since a new owner's bucket begins at the change
        if len(self._owner) or now - self._members_at >= _MAX_MEMBERS_AGE_S:
            self._update_members(now)
        self._owner.record_running(now)
        self._ask_for_followers(now)
        if now >= self._clean_at:
            self._clean_at = now + _CLEANING_INTERVAL_S
            self._owner.drop_idle(now)
            self._share.drop_idle(now)
            for name in [
                name
                for name, row in self._refusals.items()
                if now - row.logged_at > _LOG_INTERVAL_S
            ]:
                if not self._refusals[name].suppressed:
                    del self._refusals[name]

    def _find_owner(self, name: str) -> str:
        """Return the live node that owns an account, in this node's view."""
        self._update_members(self._loop.time())
        owner = self._owners.get(name)
        if owner is None:
            topic = f"quota/{name}"
            owner = min(self._eligible, key=lambda node: hash_name(topic, node), default="")
            self._owners[name] = owner
            former = self._former_owners.pop(name, owner)
            if former != owner:
                logger.info(
                    "quota-owner-changed",
                    extra={"account": name, "owner": owner, "former": former},
                )
        return owner

    def _update_members(self, now: float) -> None:
        """Apply the set of live nodes, unless it was read just before."""
        manager = self._link_manager
        if manager.epoch == self._epoch and now - self._members_at < _MEMBERS_AGE_S:
            return
        self._epoch, self._members_at = manager.epoch, now
        live = [peer for peer in manager.list_live() if not peer.stopping]
        names = tuple(sorted([*(peer.record.name for peer in live), self._own_name]))
        reached = 1 + sum(
            peer.is_live(now, manager.get_suspect_timeout(peer) * _REACHED_FRACTION)
            for peer in live
        )
        unreached_count = now - self._started_at < _UNREACHED_S
        expected = [
            name
            for name, peer in manager.table.peers.items()
            if not peer.stopping and (peer.hello_received or unreached_count)
        ]
        self._known = 1 + len(expected)
        self._missing = tuple(set(expected).difference(names))
        share = compute_share(reached, self._known)
        eligible = self._list_eligible(names)
        if (names, eligible, share) == (self._live, self._eligible, self._owned_share):
            return
        if eligible != self._eligible:
            self._former_owners.update(self._owners)
            self._owners.clear()
            self._share.forget_silence()
        self._live, self._eligible, self._owned_share = names, eligible, share
        self._owner.set_members(share, self._is_own, now)

    def _list_eligible(self, names: tuple[str, ...]) -> tuple[str, ...]:
        """Return the nodes that may own accounts: all, or those that get no large requests.

        Large bodies fill the link of a small VM, and requests for tokens would wait behind them.
        """
        services = self._upload_services.get(self._get_config())
        if not services:
            return names
        peers = self._link_manager.table.peers
        records = {name: peer.record for name, peer in peers.items()}
        records[self._own_name] = self._link_manager.table.own
        return tuple(name for name in names if records[name].service not in services) or names

    def _is_own(self, name: str) -> bool:
        topic = f"quota/{name}"
        return min(self._eligible, key=lambda node: hash_name(topic, node)) == self._own_name

    def _ask_for_followers(self, now: float) -> None:
        """Ask other nodes whom they follow, for accounts that a missing node may own, too."""
        owned = self._owner.list_accounts() if self._missing else []
        doubtful = [name for name in owned if self._may_have_other_owner(name)]
        for name in [name for name in self._followers if name not in doubtful]:
            del self._followers[name]
            self._owner.set_followed_share(name, 1.0, now)
        for name in doubtful:
            followers = self._followers.setdefault(name, Followers())
            self._owner.set_followed_share(name, followers.get_share(now), now)
            if followers.is_due(now):
                peers = [peer for peer in self._link_manager.list_live() if not peer.stopping]
                for peer in self._rng.sample(peers, min(len(peers), _MAX_ASKED)):
                    if peer.link is not None:
                        query = QuotaRequest(name, _OWNER_QUERY, 0, 0)
                        peer.link.send(FrameKind.QUOTA_REQUEST, 0, query)

    def _may_have_other_owner(self, name: str) -> bool:
        topic = f"quota/{name}"
        own_rank = hash_name(topic, self._own_name)
        return any(hash_name(topic, node) < own_rank for node in self._missing)

    # -- frames ----------------------------------------------------------------------------

    def handle_request(self, peer: Peer, link: Link, frame: Frame) -> None:
        """Grant tokens to a peer, if this node owns the account.

        :raises MalformedMessageError: the frame can't be decoded.
        """
        request = decode_header(frame, QuotaRequest, peer=link.peer)
        config, now = self._get_config(), self._loop.time()
        accounts = None if config is None else config.accounts
        account = None if accounts is None else accounts.get(request.account)
        owner = ""
        if account is not None and account.rate_per_s > 0.0 and self._is_ready():
            owner = self._find_owner(request.account)
        grant = Grant(0)
        if owner == self._own_name and request.number != _OWNER_QUERY:
            assert account is not None
            grant = self._owner.request(
                account,
                peer.record.name,
                max(0, request.tokens),
                now,
                unused=max(0, request.unused),
                spare=max(0, request.spare),
            )
            self._metrics.count("quota_tokens_granted", amount=grant.tokens)
        answer = QuotaGrant(request.account, request.number, *grant, owner)
        link.send(FrameKind.QUOTA_GRANT, 0, answer)

    def handle_grant(self, peer: Peer, link: Link, frame: Frame) -> None:
        """Add the tokens that an owner has granted.

        :raises MalformedMessageError: the frame can't be decoded.
        """
        grant = decode_header(frame, QuotaGrant, peer=link.peer)
        now, name = self._loop.time(), grant.account
        if grant.number == _OWNER_QUERY:
            if name in self._followers and grant.owner:
                follows = grant.owner == self._own_name
                self._followers[name].record(peer.record.name, follows, now)
            return
        flight = self._flights.get(name)
        in_time = flight is not None and flight.number == grant.number
        is_owner = grant.owner == peer.record.name
        if is_owner:
            self._share.record_grant(
                name, grant.number, grant.tokens, grant.next_s, grant.retry_after_s, now
            )
        if in_time:
            assert flight is not None
            del self._flights[name]
            flight.finish(_Answer(decided=is_owner, other_owner=not is_owner))
