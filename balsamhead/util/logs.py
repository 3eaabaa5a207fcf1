"""Configure logging of a process as JSON lines."""

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
#: default size limit of the lines that are buffered while the output is blocked, in bytes
_MAX_PENDING_BYTES: Final = 1 << 20
_RENAMED_FIELDS: Final = {"levelname": "level", "name": "logger", "exc_info": "traceback"}


def configure_logging(*, level: str, node: str, stream: TextIO | None = None) -> None:
    """Write the log of the process as JSON lines, each with the name of the node.

    :param level: lowest level that is written: "debug", "info", "warning" or "error".
    :param stream: output stream; standard error if it is None.
    """
    formatter = JsonFormatter(
        _FIELDS, rename_fields=_RENAMED_FIELDS, static_fields={"node": node}, timestamp="time"
    )
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())

    # these libraries log each connection at level info
    for name in ("urllib3", "websockets"):
        logging.getLogger(name).setLevel(max(logging.WARNING, root.level))


def configure_bounded_logging(*, level: str, node: str) -> None:
    """Write the log to standard output as JSON lines, without blocking on a slow reader.

    :param level: lowest level that is written: "debug", "info", "warning" or "error".
    """
    configure_logging(level=level, node=node)
    formatter = logging.getLogger().handlers[0].formatter
    handler = BoundedHandler(sys.stdout.fileno())
    handler.setFormatter(formatter)
    logging.getLogger().handlers[:] = [handler]


class BoundedHandler(logging.Handler):
    """Write lines to a file descriptor without blocking.

    While the descriptor is blocked, lines are buffered up to a limit; further lines are dropped
    and counted.

    :param fd: file descriptor to write to; it is made non-blocking.
    :param max_bytes: size limit of the buffered lines, in bytes.
    """

    def __init__(self, fd: int, *, max_bytes: int = _MAX_PENDING_BYTES) -> None:
        super().__init__()
        self._fd = fd
        self._max_bytes = max_bytes
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._unreported_drops = 0
        #: total number of lines dropped
        self.dropped = 0
        os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line if the descriptor accepts it, else buffer it or drop it."""
        try:
            line = self.format(record).encode("utf-8", "replace") + b"\n"
        except Exception:
            self.handleError(record)
            return
        if self._pending_bytes + len(line) > self._max_bytes:
            self.dropped += 1
            self._unreported_drops += 1
        else:
            self._append_line(line)
        self._write_pending()

    def _append_line(self, line: bytes) -> None:
        self._pending.append(line)
        self._pending_bytes += len(line)

    def _write_pending(self) -> None:
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._fd, line)
            except BlockingIOError:
                return
            except OSError:
                # the reader has closed its end, so no line can be written any more
                self.dropped += len(self._pending)
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written < len(line):
                self._pending[0] = line[written:]
                return
            self._pending.popleft()
            if not self._pending and self._unreported_drops:
                dropped, self._unreported_drops = self._unreported_drops, 0
                self._append_line(
                    b'{"level": "WARNING", "message": "lines-dropped", "lines": %d}\n' % dropped
                )
