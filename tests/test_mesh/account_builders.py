"""Configurations with client accounts, and requests that carry keys."""

from __future__ import annotations

from typing import Any

from balsamhead.mesh.model import Account
from balsamhead.platform.configuration import digest_key
from tests.test_mesh.builders import make_config, make_route

KEY = "k-1f0a77"
SECOND_KEY = "k-59bc20"


def make_account(name: str = "acme", *keys: str, **changes: Any) -> Account:
    """Return an account whose keys are given in plain text."""
    account = Account(name, 0, 0.0, 0.0, tuple(digest_key(key.encode()) for key in keys))
    return account._replace(**changes)


def make_account_config(
    version: int = 1, *, accounts: dict[str, list[str]] | None = None, priority: int = 1
) -> dict[str, Any]:
    """Return a configuration with accounts, and a public route besides the usual ones.

    :param accounts: keys by the names of the accounts.
    """
    config = make_config(version, open=make_route(path_prefix="/open/", public=True))
    rows = {"acme": [KEY], "basil": [SECOND_KEY]} if accounts is None else accounts
    config["tenants"] = {
        name: {"api_keys": keys, "priority": priority, "rate_per_s": 0, "burst": 0}
        for name, keys in rows.items()
    }
    return config


def make_key_header(key: str = KEY) -> str:
    """Return the header line with a key."""
    return f"Key: {key}\r\n"
