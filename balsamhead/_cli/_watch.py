"""Print the status whenever it changes."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Final

from balsamhead._cli._exit_codes import ExitCode
from balsamhead._cli._render import NEXT_STEP_PREFIX, is_rolled_back, is_settled, render_status
from balsamhead.errors import OperatorError
from balsamhead.util.times import render_time

if TYPE_CHECKING:
    from balsamhead._cli._commands import Watch
    from balsamhead._cli._console import Console
    from balsamhead.operator import OperatorClient
    from balsamhead.operator_responses import StatusResponse

__all__ = ("watch",)

#: codes of errors after which a later request may succeed
_TRANSIENT_CODES: Final = frozenset(
    ("answer-late", "answer-lost", "node-stopping", "node-unreachable", "operator-port-busy")
)

_DIGITS = re.compile(r"\d+")

#: minimum time between two requests, in s
MIN_POLL_INTERVAL_S: Final = 0.1


def watch(client: OperatorClient, command: Watch, console: Console) -> int:
    """Poll the status, print its changes, and return the exit code.

    A transient error, such as an unreachable node, is printed once, and polling goes on.

    :raises OperatorError: a request failed with an error that isn't transient.
    """
    deadline = console.now() + command.timeout if command.timeout > 0 else None
    printed: dict[str, str] = {}
    while True:
        status = None
        try:
            status = client.fetch_status()
            lines = render_status(status)
        except OperatorError as exc:
            if exc.error_code not in _TRANSIENT_CODES:
                raise
            lines = printed | {"node": f"{exc.message} [{exc.error_code}]"}

        _print_changes(printed, lines, status, command, console)
        printed = lines
        if status is not None and command.until_done and is_settled(status):
            return ExitCode.ROLLED_BACK if is_rolled_back(status) else ExitCode.DONE
        if deadline is not None and console.now() >= deadline:
            return ExitCode.TIMED_OUT
        console.sleep(max(command.interval, MIN_POLL_INTERVAL_S))


def _is_changed(previous: str | None, current: str) -> bool:
    """Return whether a value differs in more than the numbers in its next step.

    A change of these numbers alone, such as a count of calls, is not printed.
    """
    if previous is None:
        return True
    state, _, next_step = current.partition(NEXT_STEP_PREFIX)
    old_state, _, old_next_step = previous.partition(NEXT_STEP_PREFIX)
    return state != old_state or _DIGITS.sub("", next_step) != _DIGITS.sub("", old_next_step)


def _print_changes(
    printed: dict[str, str],
    lines: dict[str, str],
    status: StatusResponse | None,
    command: Watch,
    console: Console,
) -> None:
    changes = [key for key, value in lines.items() if _is_changed(printed.get(key), value)]
    removed = [key for key in printed if key not in lines]
    if not changes and not removed:
        return
    if command.json:
        if status is not None:
            console.print_json(status)
        return
    timestamp = render_time(console.now())
    console.print_lines(f"{timestamp} {key}: {lines[key]}" for key in changes)
    console.print_lines(
        f"{timestamp} {key}: {'answers again' if key == 'node' else 'ended'}" for key in removed
    )
