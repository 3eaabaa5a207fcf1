from __future__ import annotations

import itertools
import socket
from typing import Any, cast

import pytest

from balsamhead.proxy._http import read_response_head
from balsamhead.proxy._stream import DeadlineReader

#: receive calls after which the test gives up
_MAX_RECEIVE_CALLS = 10_000


class EndlessSocket:
    """Socket that always has more bytes, so that a read never waits."""

    def __init__(self, piece: bytes) -> None:
        self._bytes = itertools.cycle(piece)
        self._receive_calls = 0

    def recv_into(self, buffer: Any) -> int:
        self._receive_calls += 1
        if self._receive_calls > _MAX_RECEIVE_CALLS:
            raise AssertionError("read goes on after its deadline")
        buffer[:] = bytes(itertools.islice(self._bytes, len(buffer)))
        return len(buffer)


def make_reader(piece: bytes, monkeypatch: pytest.MonkeyPatch) -> DeadlineReader:
    """Return a reader whose deadline passes after some reads."""
    clock = itertools.count(0.0, 0.01)
    monkeypatch.setattr("time.monotonic", lambda: next(clock))
    reader = DeadlineReader(cast("socket.socket", EndlessSocket(piece)))
    reader.set_deadline(1.0)
    return reader


def read_to_end(reader: DeadlineReader) -> None:
    while reader.read(65536):
        pass


# Guards against a thread lost to a peer that keeps sending: only waits looked at the deadline.
def test_endless_interim_responses_end_at_the_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    reader = make_reader(b"HTTP/1.1 100 Continue\r\n\r\n", monkeypatch)
    with pytest.raises(TimeoutError):
        read_response_head(reader, method="GET", limit=65536)


def test_endless_body_ends_at_the_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    reader = make_reader(b"x", monkeypatch)
    with pytest.raises(TimeoutError):
        read_to_end(reader)
