"""Read and write non-blocking sockets with absolute deadlines."""

from __future__ import annotations

import io
import select
import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import socket

__all__ = ("DeadlineReader", "SendError", "is_readable", "send_all", "wait_readable")

_POLL_IN = select.POLLIN | select.POLLHUP | select.POLLERR
_POLL_OUT = select.POLLOUT


def _wait_for_events(sock: socket.socket, events: int, deadline_at: float) -> None:
    poller = select.poll()
    poller.register(sock, events)
    remaining_s = deadline_at - time.monotonic()
    if remaining_s <= 0 or not poller.poll(remaining_s * 1000):
        raise TimeoutError("socket was not ready before the deadline")


def is_readable(sock: socket.socket) -> bool:
    """Return whether a socket has data, end of stream or an error to read."""
    poller = select.poll()
    poller.register(sock, _POLL_IN)
    return bool(poller.poll(0))


def wait_readable(
    sock: socket.socket, deadline_at: float, *, abort_on_close: socket.socket | None = None
) -> bool:
    """Wait until a socket has data, end of stream or an error to read.

    :param deadline_at: deadline on the monotonic clock, in s.
    :param abort_on_close: socket whose peer ends the wait by closing its side.
    :returns: False if the peer of ``abort_on_close`` closed first.
    :raises TimeoutError: the deadline passed.
    """
    poller = select.poll()
    poller.register(sock, _POLL_IN)
    if abort_on_close is not None:
        poller.register(abort_on_close, select.POLLRDHUP)
    remaining_s = deadline_at - time.monotonic()
    ready = poller.poll(remaining_s * 1000) if remaining_s > 0 else []
    if not ready:
        raise TimeoutError("socket was not ready before the deadline")
    sock_fd = sock.fileno()
    return any(fd == sock_fd for fd, _ in ready)


class SendError(Exception):
    """Raised when data could not be sent completely.

    :ivar sent: number of bytes that the socket accepted.
    :ivar is_timeout: True if the deadline passed, False if the connection failed.
    """

    def __init__(self, sent: int, *, is_timeout: bool) -> None:
        super().__init__(sent)
        self.sent = sent
        self.is_timeout = is_timeout


def send_all(sock: socket.socket, data: bytes, deadline_at: float) -> None:
    """Send all of the data.

    :param deadline_at: deadline on the monotonic clock, in s.
    :raises SendError: the deadline passed or the connection failed.
    """
    sent = 0
    view = memoryview(data)
    while sent < len(data):
        try:
            sent += sock.send(view[sent:] if sent else data)
        except BlockingIOError:
            _wait_writable(sock, deadline_at, sent)
        except OSError as exc:
            raise SendError(sent, is_timeout=False) from exc


def _wait_writable(sock: socket.socket, deadline_at: float, sent: int) -> None:
    try:
        _wait_for_events(sock, _POLL_OUT, deadline_at)
    except TimeoutError as exc:
        raise SendError(sent, is_timeout=True) from exc


class _DeadlineRawIO(io.RawIOBase):
    """Raw stream over a non-blocking socket whose reads wait until a deadline."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__()
        self.sock = sock
        self.deadline_at = 0.0
        self.is_nonblocking = False

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int | None:
        if self.is_nonblocking:
            return None
        while True:
            try:
                size = self.sock.recv_into(buffer)
            except BlockingIOError:
                _wait_for_events(self.sock, _POLL_IN, self.deadline_at)
                continue
            if size and time.monotonic() >= self.deadline_at:
                # a peer that sends without end never makes a read wait
                raise TimeoutError("data still arrived after the deadline")
            return size


class DeadlineReader(io.BufferedReader):
    """Buffered reader over a non-blocking socket whose reads time out at a deadline."""

    def __init__(self, sock: socket.socket, size: int = io.DEFAULT_BUFFER_SIZE) -> None:
        self._raw_io = _DeadlineRawIO(sock)
        super().__init__(self._raw_io, size)
        # read by cheroot's worker threads for their statistics
        self.bytes_read = 0

    def set_deadline(self, deadline_at: float) -> None:
        """Set the deadline of all following reads, on the monotonic clock, in s."""
        self._raw_io.deadline_at = deadline_at

    def has_data(self) -> bool:
        """Return whether unread bytes are available without waiting."""
        self._raw_io.is_nonblocking = True
        try:
            return bool(self.peek(1))
        finally:
            self._raw_io.is_nonblocking = False
