from __future__ import annotations

import pytest

from balsamhead.util.addresses import Address, parse_address


@pytest.mark.parametrize(
    ("text", "address"),
    [
        ("10.0.0.1:8000", Address("10.0.0.1", 8000)),
        ("node-1.example:1", Address("node-1.example", 1)),
        ("127.0.0.1:65535", Address("127.0.0.1", 65535)),
    ],
)
def test_address_is_split(text: str, address: Address) -> None:
    assert parse_address(text) == address


@pytest.mark.parametrize(
    "text",
    [
        "",
        "10.0.0.1",
        ":8000",
        "10.0.0.1:",
        "10.0.0.1:0",
        "10.0.0.1:-4",
        "10.0.0.1:99999",
        "10.0.0.1:65536",
        "10.0.0.1:8e3",
        "10.0.0.1:8000\n",
        "10.0.0.1\0:8000",
        "10.0.0.1 :8000",
        "a..b:8000",
        f"{'a' * 64}.example:8000",
        f"{'a.' * 200}b:8000",
        "10.0.0.1:" + "1" * 5000,
    ],
)
def test_address_that_cannot_be_connected_to_is_rejected(text: str) -> None:
    with pytest.raises(ValueError, match="is not a host and a port"):
        parse_address(text)
