from __future__ import annotations

import socket

import pytest

from balsamhead.proxy._listener import close_listener


def test_queued_connections_are_accepted_and_later_ones_refused() -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    address = listener.getsockname()
    callers = [socket.create_connection(address, timeout=5) for _ in range(8)]
    accepted: list[socket.socket] = []
    close_listener(listener, accepted.append)
    assert sorted(sock.getpeername() for sock in accepted) == sorted(
        c.getsockname() for c in callers
    )
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address, timeout=5)
    for sock in (*accepted, *callers):
        sock.close()
