"""Parse network addresses."""

from __future__ import annotations

import re
from typing import Final, NamedTuple

__all__ = ("Address", "parse_address")

#: host name or IPv4 address, and a port in decimal digits
_ADDRESS: Final = re.compile(
    r"(?=.{1,253}:)((?:[A-Za-z0-9_-]{1,63}\.)*[A-Za-z0-9_-]{1,63}):([0-9]{1,5})"
)
_MAX_PORT: Final = 65_535


class Address(NamedTuple):
    """A host and a TCP port."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Parse an address of the form ``host:port``.

    :raises ValueError: the host is malformed, or the port is not between 1 and 65535.
    """
    found = _ADDRESS.fullmatch(text)
    if found is None or not 1 <= int(found[2]) <= _MAX_PORT:
        raise ValueError(f"{text[:80]!r} is not a host and a port, such as '10.0.0.1:8000'")
    return Address(found[1], int(found[2]))
