"""Run the program in this process with a simulated clock."""

from __future__ import annotations

from collections.abc import Callable
from io import StringIO
from typing import NamedTuple

from balsamhead._cli import main
from balsamhead._cli._console import Console
from tests.test_document.builders import NOW
from tests.test_settings.builders import TOKEN


class Result(NamedTuple):
    """Exit code and output of a run of the program."""

    code: int
    out: str
    err: str


class Program:
    """Run commands against one node.

    The clock advances only when a command sleeps.

    :ivar on_sleep: called after each sleep with the number of sleeps so far.
    """

    def __init__(self, address: str) -> None:
        self.environ = {"BALSAMHEAD_NODE": address, "BALSAMHEAD_OPERATOR_TOKEN": TOKEN}
        self.now = NOW
        self.sleeps = 0
        self.on_sleep: Callable[[int], None] = lambda number: None

    def run(self, *argv: str, stdin: str = "") -> Result:
        """Run a command with some arguments and return its result."""
        out, err = StringIO(), StringIO()
        console = Console(StringIO(stdin), out, err, self.environ, lambda: self.now, self._sleep)
        code = main(argv, console=console)
        return Result(code, out.getvalue(), err.getvalue())

    def _sleep(self, seconds: float) -> None:
        self.now += seconds
        self.sleeps += 1
        self.on_sleep(self.sleeps)
