"""Write the log of a process as lines of JSON."""

from __future__ import annotations

import logging
import os
import sys
from collections import deque
from typing import TYPE_CHECKING, Final

from pythonjsonlogger.json import JsonFormatter

if TYPE_CHECKING:
    from typing import TextIO

__all__ = ("BoundedHandler", "configure_bounded_logging", "configure_logging")

_FIELDS: Final = ("levelname", "name", "message")
#: bytes of lines that wait for a reader of the output
_MAX_WAITING_BYTES: Final = 1 << 20
_NAMES: Final = {"levelname": "level", "name": "logger", "exc_info": "traceback"}


def configure_logging(*, level: str, node: str, stream: TextIO | None = None) -> None:
    """Write the log as lines of JSON with the node's name in each.

    :param level: lowest level written: "debug", "info", "warning" or "error".
    :param stream: where the lines go; standard error when None.
    """
    formatter = JsonFormatter(
        _FIELDS, rename_fields=_NAMES, static_fields={"node": node}, timestamp="time"
    )
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())

    # these libraries log each connection at info
    for name in ("urllib3", "websockets"):
        logging.getLogger(name).setLevel(max(logging.WARNING, root.level))


def configure_bounded_logging(*, level: str, node: str) -> None:
    """Write the log to standard output as lines of JSON, without ever waiting for its reader.

    :param level: lowest level written: "debug", "info", "warning" or "error".
    """
    configure_logging(level=level, node=node)
    formatter = logging.getLogger().handlers[0].formatter
    handler = BoundedHandler(sys.stdout.fileno())
    handler.setFormatter(formatter)
    logging.getLogger().handlers[:] = [handler]


class BoundedHandler(logging.Handler):
    """Write lines to a file descriptor that may be full: keep some, drop the rest and count them.

    :param fd: where the lines go; it is made non-blocking.
    :param max_bytes: lines that are kept while the reader is behind, in bytes.
    """

    def __init__(self, fd: int, *, max_bytes: int = _MAX_WAITING_BYTES) -> None:
        super().__init__()
        self._fd = fd
        self._max_bytes = max_bytes
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._unreported = 0
        #: lines that were dropped since the start
        self.dropped = 0
        os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or keep it, or drop it."""
        try:
            line = self.format(record).encode("utf-8", "replace") + b"\n"
        except Exception:
            self.handleError(record)
            return
        if self._waiting_bytes + len(line) > self._max_bytes:
            self.dropped += 1
            self._unreported += 1
        else:
            self._add(line)
        self._write_waiting()

    def _add(self, line: bytes) -> None:
        self._waiting.append(line)
        self._waiting_bytes += len(line)

    def _write_waiting(self) -> None:
        while self._waiting:
            line = self._waiting[0]
            try:
                size = os.write(self._fd, line)
            except BlockingIOError:
                return
            except OSError:
                # the reader has gone for good
                self.dropped += len(self._waiting)
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= size
            if size < len(line):
                self._waiting[0] = line[size:]
                return
            self._waiting.popleft()
            if not self._waiting and self._unreported:
                number, self._unreported = self._unreported, 0
                self._add(
                    b'{"level": "WARNING", "message": "lines-dropped", "lines": %d}\n' % number
                )
