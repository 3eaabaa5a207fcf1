"""Decide to which client account a request belongs, by the key that it carries."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from balsamhead.mesh.accounts._index import AccountIndex
    from balsamhead.mesh.model import Account, Route

__all__ = (
    "Authenticated",
    "Authentication",
    "Denied",
    "NoAccountNeeded",
    "NotFresh",
    "authenticate",
)

#: longest key that is looked up, in bytes
_MAX_KEY_BYTES: Final = 1024
#: first part of a digest that may be logged, in bytes; too short to test guessed keys against
_LOGGED_DIGEST_BYTES: Final = 4


class NoAccountNeeded(NamedTuple):
    """The request needs no key."""


class Authenticated(NamedTuple):
    """The request belongs to an account."""

    account: Account


class Denied(NamedTuple):
    """The request has no key of an account."""

    #: "key-missing", "key-malformed" or "key-unknown"
    code: str
    #: first bytes of the digest of an unknown key, in hexadecimal; empty otherwise
    digest_prefix: str = ""


class NotFresh(NamedTuple):
    """The configuration may have been replaced, so that it doesn't show whose key this is."""


Authentication = NoAccountNeeded | Authenticated | Denied | NotFresh

_NO_ACCOUNT_NEEDED: Final = NoAccountNeeded()
_MISSING: Final = Denied("key-missing")
_MALFORMED: Final = Denied("key-malformed")
_NOT_FRESH: Final = NotFresh()


def authenticate(
    route: Route,
    keys: Sequence[bytes],
    index: AccountIndex | None,
    is_fresh: Callable[[], bool],
) -> Authentication:
    """Return to which account a request on a route belongs.

    :param keys: values of the request's headers that hold a key.
    :param index: None if the configuration has no accounts.
    :param is_fresh: returns whether the configuration was the newest a short time ago.
    """
    if index is None or route.public:
        return _NO_ACCOUNT_NEEDED
    if not keys:
        return _MISSING
    key = keys[0]
    if len(keys) > 1 or not key or len(key) > _MAX_KEY_BYTES or not key.isascii():
        return _MALFORMED
    if not is_fresh():
        return _NOT_FRESH
    digest = index.digest_key(key)
    account = index.find(digest)
    if account is None:
        return Denied("key-unknown", digest[:_LOGGED_DIGEST_BYTES].hex())
    return Authenticated(account)
