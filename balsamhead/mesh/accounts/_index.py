"""Find client accounts by the digests of their keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from balsamhead.mesh.model import Account

__all__ = ("AccountIndex",)


class AccountIndex:
    """Client accounts by the digests of their keys.

    :param accounts: all accounts of a configuration.
    :param digest_key: returns the digest of a key.
    """

    def __init__(
        self, accounts: Iterable[Account], *, digest_key: Callable[[bytes], bytes]
    ) -> None:
        self.digest_key = digest_key
        self._by_digest: dict[bytes, Account] = {}
        #: names of the accounts that hold each digest of more than one account; such a digest
        #: names no account
        self.ambiguous: dict[bytes, tuple[str, ...]] = {}
        for account in accounts:
            for digest in account.key_digests:
                self._add(digest, account)

    def _add(self, digest: bytes, account: Account) -> None:
        names = self.ambiguous.get(digest)
        if names is not None:
            if account.name not in names:
                self.ambiguous[digest] = (*names, account.name)
            return
        other = self._by_digest.setdefault(digest, account)
        if other.name != account.name:
            del self._by_digest[digest]
            self.ambiguous[digest] = (other.name, account.name)

    def __len__(self) -> int:
        return len(self._by_digest)

    def find(self, digest: bytes) -> Account | None:
        """Return the account that holds a digest; None if none or more than one does."""
        return self._by_digest.get(digest)
