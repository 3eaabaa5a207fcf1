"""Print results and errors as text or as JSON."""

from __future__ import annotations

import os
import sys
import time
from typing import TYPE_CHECKING, Any, NamedTuple, TextIO

import msgspec

from balsamhead.errors import DocumentError, SettingsError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from balsamhead.errors import BalsamheadError

__all__ = ("Console",)


class Console(NamedTuple):
    """Streams, environment and clock that a command uses."""

    stdin: TextIO
    stdout: TextIO
    stderr: TextIO
    environ: Mapping[str, str]
    #: returns the current time in s since the epoch
    now: Callable[[], float]
    #: sleeps for a duration in s
    sleep: Callable[[float], None]

    @classmethod
    def from_process(cls) -> Console:
        """Return a console with the streams, environment and clock of this process."""
        return cls(sys.stdin, sys.stdout, sys.stderr, os.environ, time.time, time.sleep)

    def print_lines(self, lines: Iterable[str]) -> None:
        """Print lines to standard output."""
        for line in lines:
            print(line, file=self.stdout)
        self.stdout.flush()

    def print_json(self, value: Any) -> None:
        """Print a value as one line of JSON to standard output."""
        self.print_lines([msgspec.json.encode(value).decode()])

    def print_error_lines(self, lines: Iterable[str]) -> None:
        """Print lines to standard error."""
        for line in lines:
            print(line, file=self.stderr)

    def print_error(self, exc: BalsamheadError, *, as_json: bool) -> None:
        """Print an error with its code, step, peer and mistakes to standard error."""
        mistakes = exc.mistakes if isinstance(exc, DocumentError | SettingsError) else ()
        if as_json:
            body = {
                "code": exc.error_code,
                "message": exc.message,
                "step": exc.step,
                "peer": exc.peer,
                "mistakes": [mistake._asdict() for mistake in mistakes],
            }
            print(msgspec.json.encode(body).decode(), file=self.stderr)
            return
        for mistake in mistakes:
            print(mistake, file=self.stderr)
        print(f"balsamhead: {exc}", file=self.stderr)
