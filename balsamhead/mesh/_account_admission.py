"""Check the account of a request and its quota before the request is routed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.mesh._quota_exchange import QuotaRefusal, QuotaToken
from balsamhead.mesh.accounts import (
    Authenticated,
    Denied,
    NoAccountNeeded,
    NotFresh,
    compute_account_priority,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamhead.mesh._account_gate import AccountGate
    from balsamhead.mesh._quota_exchange import QuotaExchange
    from balsamhead.mesh._request_trace import RequestTrace
    from balsamhead.mesh.model import Config, Route

__all__ = ("QUOTA_EXCEEDED", "AccountAdmission", "AccountRefusal")

#: Retry-After while it is unknown whether the configuration is the newest, in s
_NOT_FRESH_RETRY_AFTER_S: Final = 0.5
#: code of a refusal since the account has used up its quota
QUOTA_EXCEEDED: Final = "quota-exceeded"


class AccountRefusal(NamedTuple):
    """A request is refused for its account."""

    code: str
    #: status of the reply
    status: int
    #: None for a reply without Retry-After
    retry_after_s: float | None = None


class AccountAdmission:
    """Find the account of a request by its key, and take a token from the account's quota."""

    def __init__(self, gate: AccountGate, quotas: QuotaExchange) -> None:
        self._gate = gate
        self._quotas = quotas
        self._loop = asyncio.get_running_loop()

    @property
    def in_force(self) -> bool:
        """Return whether the configuration has accounts."""
        return self._gate.in_force

    def set_config(self, config: Config) -> None:
        """Apply the accounts of a configuration."""
        self._gate.set_config(config)

    def authenticate(
        self, route: Route, keys: Sequence[bytes], trace: RequestTrace
    ) -> Route | AccountRefusal:
        """Return the route with the priority of the request's account, or a refusal.

        :param keys: values of the request's headers that hold a key.
        """
        match self._gate.check(route, keys):
            case Authenticated(account):
                trace.client_account = account
                return route._replace(priority=compute_account_priority(account, route.priority))
            case Denied(code, digest_prefix):
                trace.key_digest_prefix = digest_prefix
                return AccountRefusal(code, 401)
            case NotFresh():
                return AccountRefusal("configuration-not-fresh", 503, _NOT_FRESH_RETRY_AFTER_S)
            case NoAccountNeeded():
                return route

    async def acquire_token(
        self, deadline: float, trace: RequestTrace
    ) -> QuotaToken | AccountRefusal:
        """Take a token of the request's account, or return why the request is refused.

        :param deadline: in s of the loop's clock.
        """
        try:
            token = await self._quotas.admit(trace.client_account, self._loop.time(), deadline)
        except TimeoutError:
            return AccountRefusal("deadline-passed", 504)
        if isinstance(token, QuotaRefusal):
            return AccountRefusal(QUOTA_EXCEEDED, 429, token.retry_after_s)
        return token

    def release_token(self, token: QuotaToken, status: int, trace: RequestTrace) -> None:
        """Return the token of a request that was refused and has reached no upstream.

        :param status: status of the reply.
        """
        if status == 503 and not trace.deliveries and not trace.may_have_run:
            self._quotas.give_back(token)
