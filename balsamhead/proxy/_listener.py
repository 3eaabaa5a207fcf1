"""Close a listening socket without resetting established connections in its backlog."""

from __future__ import annotations

import contextlib
import ctypes
import socket
import struct
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("close_listener",)

#: Linux socket option that attaches a classic BPF filter
_SO_ATTACH_FILTER = 26
#: classic BPF program: load the TCP flags, drop the segment if SYN is set, else accept it
_DROP_SYN_PROGRAM = (
    (0x30, 0, 0, 13),
    (0x45, 0, 1, 0x02),
    (0x06, 0, 0, 0),
    (0x06, 0, 0, 0xFFFFFFFF),
)
#: number of passes that accept queued connections, and the pause between them, in s;
#: handshakes under way when the filter is attached complete in between
_ACCEPT_PASSES = 3
_ACCEPT_PAUSE_S = 0.01


def close_listener(
    listener: socket.socket, handle_connection: Callable[[socket.socket], None]
) -> None:
    """Stop new connections, accept those already established, and close the socket.

    A SYN that arrives in the meantime is dropped, and its retransmission is refused by the
    closed port. No caller can therefore send a request on a connection that is never accepted.

    :param handle_connection: called with each accepted connection.
    """
    with contextlib.suppress(OSError):
        _drop_new_syns(listener)
        for _ in range(_ACCEPT_PASSES):
            _accept_queued(listener, handle_connection)
            time.sleep(_ACCEPT_PAUSE_S)
        _accept_queued(listener, handle_connection)
    listener.close()


def _drop_new_syns(listener: socket.socket) -> None:
    code = b"".join(struct.pack("HBBI", *instruction) for instruction in _DROP_SYN_PROGRAM)
    program = ctypes.create_string_buffer(code, len(code))
    filter_ = struct.pack("HP", len(_DROP_SYN_PROGRAM), ctypes.addressof(program))
    listener.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, filter_)


def _accept_queued(
    listener: socket.socket, handle_connection: Callable[[socket.socket], None]
) -> None:
    listener.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        while True:
            sock, _ = listener.accept()
            handle_connection(sock)
