"""Command-line interface."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamhead._cli._console import Console

__all__ = ("main",)


def main(argv: Sequence[str] | None = None, *, console: Console | None = None) -> int:
    """Run the program and return its exit code.

    :param argv: arguments without the program's name; those of the process if None.
    :param console: streams, environment and clock to use; those of the process if None.
    """
    from balsamhead._cli._console import Console

    arguments = list(sys.argv[1:] if argv is None else argv)
    console = console or Console.from_process()
    # a daemon doesn't load the command-line library, since it takes 6.5 MB of memory
    if arguments == ["mesh"] or (len(arguments) == 3 and arguments[:2] == ["node", "--settings"]):
        return _run_daemon(arguments, console)
    return _run_client(arguments, console)


def _suggest_command(arguments: list[str], console: Console) -> None:
    """Print the command whose name is most like an unknown one, if any is similar."""
    from typing import get_args

    from balsamhead._cli._commands import Command
    from balsamhead.util.fields import find_closest_key

    names = [kind.__name__.lower() for kind in get_args(Command)]
    if not arguments or arguments[0].startswith("-") or arguments[0] in names:
        return
    nearest = find_closest_key(arguments[0], names)
    if nearest:
        console.print_error_lines([f'did you mean "{nearest}"?'])


def _run_daemon(arguments: list[str], console: Console) -> int:
    from balsamhead._cli._daemon import run_mesh_command, run_node_command
    from balsamhead._cli._exit_codes import get_error_exit
    from balsamhead.errors import BalsamheadError

    try:
        return run_mesh_command() if arguments == ["mesh"] else run_node_command(arguments[2])
    except BalsamheadError as exc:
        console.print_error(exc, as_json=False)
        return get_error_exit(exc)


def _run_client(arguments: list[str], console: Console) -> int:
    import cappa

    from balsamhead import __version__
    from balsamhead._cli._commands import Program
    from balsamhead._cli._run import run_command

    try:
        program = cappa.parse(Program, argv=arguments, version=__version__, completion=False)
    except cappa.Exit as exc:
        if "Did you mean" not in str(exc.message):
            _suggest_command(arguments, console)
        return exc.code if isinstance(exc.code, int) else 1
    return run_command(program.command, console)
