"""Check the keys of requests against the client accounts of the configuration in force."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from balsamhead.mesh.accounts import AccountIndex, Authentication, authenticate

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from balsamhead.mesh.model import Account, Config, Route

__all__ = ("AccountGate",)

logger = logging.getLogger(__name__)


class AccountGate:
    """Keep the index of the accounts current, and check keys by it.

    :param digest_key: returns the digest of a key.
    :param is_fresh: returns whether the configuration is known to have been the newest a short
        time ago.
    """

    def __init__(
        self, *, digest_key: Callable[[bytes], bytes], is_fresh: Callable[[], bool]
    ) -> None:
        self._digest_key = digest_key
        self._is_fresh = is_fresh
        self._accounts: dict[str, Account] | None = None
        self._index: AccountIndex | None = None
        #: digests of more than one account that have been logged
        self._logged: set[bytes] = set()

    @property
    def in_force(self) -> bool:
        """Return whether the configuration has accounts."""
        return self._index is not None

    def set_config(self, config: Config) -> None:
        """Apply the accounts of a configuration."""
        accounts = config.accounts
        if accounts is None:
            self._accounts = self._index = None
        elif accounts is not self._accounts:
            self._accounts = accounts
            self._index = AccountIndex(accounts.values(), digest_key=self._digest_key)
            self._log_ambiguous(self._index)

    def check(self, route: Route, keys: Sequence[bytes]) -> Authentication:
        """Return to which account a request on a route belongs.

        :param keys: values of the request's headers that hold a key.
        """
        return authenticate(route, keys, self._index, self._is_fresh)

    def _log_ambiguous(self, index: AccountIndex) -> None:
        for digest, names in index.ambiguous.items():
            if digest not in self._logged:
                logger.warning("key-of-several-accounts", extra={"accounts": names})
        self._logged = set(index.ambiguous)
