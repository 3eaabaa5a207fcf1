"""Set options of sockets; a failure is logged."""

from __future__ import annotations

import logging
import socket
import struct
from typing import Final

__all__ = ("reset_on_close", "set_option")

logger = logging.getLogger(__name__)

#: SO_LINGER value with a time of zero: unsent data is discarded and the peer gets a reset
_RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)


def set_option(sock: socket.socket, level: int, option: int, value: int | bytes) -> None:
    """Set an option of a socket."""
    try:
        sock.setsockopt(level, option, value)
    except OSError as exc:
        logger.warning("socket-option-failed", extra={"error": repr(exc)})


def reset_on_close(sock: socket.socket) -> None:
    """Let the close of a socket discard unsent data and reset the connection."""
    set_option(sock, socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
