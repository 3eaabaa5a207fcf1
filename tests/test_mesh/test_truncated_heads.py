from __future__ import annotations

import io
from typing import Any

import pytest

from balsamhead.mesh._calls import OutcomeUnknown
from balsamhead.proxy._http import read_response_head
from tests.test_mesh.connection_builders import run_exchange

HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Type: text/plain\r\n"
    b"Content-Length: 4\r\n\r\n"
)
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


# MIXED: a response that ended within its head was delivered as a whole one with an empty body.
@pytest.mark.parametrize("prefix", [b"", INTERIM])
def test_response_that_ends_within_its_head_is_lost(prefix: bytes) -> None:
    for end in range(len(HEAD)):
        outcome = run_exchange(prefix + HEAD[:end], close=True)
        assert isinstance(outcome, OutcomeUnknown), HEAD[:end]


# The same on the first path, which reads from a blocking stream.
@pytest.mark.parametrize("prefix", [b"", INTERIM])
def test_blocking_reader_reports_a_head_that_ends_early(prefix: bytes) -> None:
    for end in range(1, len(HEAD)):
        reader: Any = io.BufferedReader(io.BytesIO(prefix + HEAD[:end]))
        with pytest.raises(EOFError):
            read_response_head(reader, method="GET", limit=4096)
