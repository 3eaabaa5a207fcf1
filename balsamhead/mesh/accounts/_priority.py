"""Combine the priority of a client account with that of a route."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from balsamhead.mesh.model import ROUTE_PRIORITIES

if TYPE_CHECKING:
    from balsamhead.mesh.model import Account

__all__ = ("compute_account_priority",)

#: lowest priority of an account that is told apart from lower ones; bounds the numbers in messages
_MAX_ACCOUNT_PRIORITY: Final = (1 << 20) - 1


def compute_account_priority(account: Account, route_priority: int) -> int:
    """Return the priority of an account's requests on a route; 0 is the highest.

    The account's priority takes precedence, so route priorities from the highest number on that
    are told apart count as equal.
    """
    account_priority = min(account.priority, _MAX_ACCOUNT_PRIORITY)
    return account_priority * ROUTE_PRIORITIES + min(route_priority, ROUTE_PRIORITIES - 1)
