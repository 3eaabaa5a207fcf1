"""Implement the commands."""

from __future__ import annotations

import getpass
import re
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead._cli._commands import (
    Check,
    Command,
    Mesh,
    Node,
    Promote,
    Publish,
    RemoteCommand,
    Report,
    Rollout,
    Settings,
    Show,
    Watch,
)
from balsamhead._cli._exit_codes import ExitCode, get_error_exit, get_response_exit
from balsamhead._cli._render import render_accepted, render_failed, render_status
from balsamhead._cli._watch import watch
from balsamhead.document import (
    MAX_DOCUMENT_BYTES,
    Document,
    Mistake,
    digest_document,
    find_warnings,
    parse_document,
    render_difference,
)
from balsamhead.errors import BalsamheadError, OperatorError
from balsamhead.operator import OperatorClient
from balsamhead.rollout import get_shortest_rollout_s
from balsamhead.settings import KEY_VARIABLES, load_key, render_reference
from balsamhead.util.secret import Secret

if TYPE_CHECKING:
    from balsamhead._cli._console import Console
    from balsamhead.operator_responses import PublishResponse

__all__ = ("run_command",)

#: largest number of warnings that are printed as text
MAX_WARNINGS: Final = 200

_NODE_VARIABLE: Final = "BALSAMHEAD_NODE"
_TOKEN_VARIABLE: Final = KEY_VARIABLES["operator_token_file"]


class _InForce(NamedTuple):
    """The document in force that a checked document is compared with."""

    document: Document | None = None
    #: file or node that it comes from; empty if there is none
    source: str = ""
    #: why there is none although a node is named; empty otherwise
    reason: str = ""


def run_command(command: Command, console: Console) -> int:
    """Run a command, print its result or its error, and return the exit code.

    A keyboard interrupt is the normal end of ``watch`` and a failure of any other command.
    """
    as_json = getattr(command, "json", False)
    try:
        return _dispatch(command, console)
    except BalsamheadError as exc:
        console.print_error(exc, as_json=as_json)
        return get_error_exit(exc)
    except KeyboardInterrupt:
        return ExitCode.DONE if isinstance(command, Watch) else ExitCode.FAILED


def _dispatch(command: Command, console: Console) -> int:
    match command:
        case Node():
            from balsamhead._cli._daemon import run_node_command

            return run_node_command(command.settings)
        case Mesh():
            from balsamhead._cli._daemon import run_mesh_command

            return run_mesh_command()
        case Settings():
            console.print_lines([render_reference().rstrip()])
            return ExitCode.DONE
        case Check():
            return _check(command, console)
        case _:
            return _run_remote(command, console)


def _run_remote(command: RemoteCommand, console: Console) -> int:
    client = _make_client(command, console)
    match command:
        case Publish():
            text = _read_text(command.file, console)
            response = client.publish(text, file=command.file, base=command.base)
            return _print_response(response, client, command, console)
        case Promote():
            response = client.promote(digest=command.digest)
            return _print_response(response, client, command, console)
        case Rollout():
            response = client.change_rollout(command.service, command.action)
            return _print_response(response, client, command, console)
        case Report():
            return _print_report(client, command, console)
        case Show():
            return _print_document(client, command, console)
        case Watch():
            return watch(client, command, console)
        case _:
            return _print_status(client, command, console)


def _check(command: Check, console: Console) -> int:
    in_force = _find_in_force(command, console)
    text = _read_text(command.file, console)
    written_at = console.now()
    document = parse_document(
        text, file=command.file, written_at=written_at, previous=in_force.document
    )
    warnings = find_warnings(
        document,
        written_at=written_at,
        get_shortest_rollout_s=get_shortest_rollout_s,
        previous=in_force.document,
    )
    if command.json:
        _print_check_as_json(command, console, document, in_force, warnings)
    else:
        _print_check(command, console, document, in_force, warnings)
    return ExitCode.WARNINGS if warnings and command.fail_on_warnings else ExitCode.DONE


def _print_check_as_json(
    command: Check,
    console: Console,
    document: Document,
    in_force: _InForce,
    warnings: tuple[Mistake, ...],
) -> None:
    body = {
        "file": command.file,
        "digest": digest_document(document),
        "difference": _list_differences(in_force, document),
        "compared_with": in_force.source,
        "not_compared": in_force.reason,
        "warnings": [warning._asdict() for warning in warnings],
    }
    console.print_json(body)


def _print_check(
    command: Check,
    console: Console,
    document: Document,
    in_force: _InForce,
    warnings: tuple[Mistake, ...],
) -> None:
    file = command.file
    if in_force.reason:
        console.print_error_lines([f"balsamhead: not compared: {in_force.reason}"])
    noun = "warning" if len(warnings) == 1 else "warnings"
    found = f"no mistakes, {len(warnings):,} {noun}" if warnings else "no mistakes"
    counts = f"{len(document.services)} services, {len(document.routes)} routes"
    console.print_lines([f"{file}: {found}; {counts}, digest {digest_document(document)}"])
    console.print_lines(f"{file}: warning: {row}" for row in warnings[:MAX_WARNINGS])
    if len(warnings) > MAX_WARNINGS:
        console.print_lines([f"{file}: and {len(warnings) - MAX_WARNINGS:,} more warnings"])
    differences = _list_differences(in_force, document)
    if in_force.source and not command.against:
        found = "differs from" if differences else "is the same as"
        console.print_lines([f"{file}: {found} the document in force on {in_force.source}"])
    console.print_lines(f"  {line}" for line in differences)


def _list_differences(in_force: _InForce, document: Document) -> list[str]:
    return list(render_difference(in_force.document, document)) if in_force.document else []


def _find_in_force(command: Check, console: Console) -> _InForce:
    """Return the document in force from the file or the node that is named.

    A node that only the environment names need not answer, since a check needs no node.

    :raises BalsamheadError: the file, or the node that an option names, has no valid document.
    """
    if command.against:
        text = _read_text(command.against, console)
        return _InForce(_parse_in_force(text, command.against, console), command.against)
    address = command.node or console.environ.get(_NODE_VARIABLE, "")
    if not address:
        return _InForce()
    try:
        text = _make_client(command, console).fetch_document()
        source = f"node {address}"
        return _InForce(_parse_in_force(text, source, console), source)
    except BalsamheadError as exc:
        if command.node and exc.error_code != "document-missing":
            raise
        return _InForce(reason=str(exc))


def _parse_in_force(text: str, file: str, console: Console) -> Document:
    return parse_document(text, file=file, written_at=console.now(), is_in_force=True)


def _print_document(client: OperatorClient, command: Show, console: Console) -> int:
    text = client.fetch_document()
    if command.json:
        console.print_json(tomllib.loads(text))
    else:
        console.print_lines([text.rstrip("\n")])
    return ExitCode.DONE


def _print_status(client: OperatorClient, command: RemoteCommand, console: Console) -> int:
    status = client.fetch_status()
    if command.json:
        console.print_json(status)
    else:
        console.print_lines(f"{key}: {value}" for key, value in render_status(status).items())
    return ExitCode.DONE


def _print_report(client: OperatorClient, command: Report, console: Console) -> ExitCode:
    kind = "html" if command.html else "json" if command.json else "text"
    report = client.fetch_report(
        report_format=kind, service=command.service, include_cleared=command.cleared
    )
    if command.html:
        _write_file(command.html, report)
    else:
        console.print_lines([report.decode().rstrip("\n")])
    return ExitCode.DONE


def _print_response(
    response: PublishResponse, client: OperatorClient, command: RemoteCommand, console: Console
) -> int:
    if command.json:
        console.print_json(response)
    elif response.outcome == "accepted":
        console.print_lines(render_accepted(response))
    else:
        step = type(command).__name__.lower()
        console.print_error_lines(render_failed(response, step=step, peer=client.address))
    return get_response_exit(response)


def _read_text(file: str, console: Console) -> str:
    """Return the text of a file, or of standard input for "-".

    Reads one byte or character beyond the size limit, so that the parser can refuse larger input.

    :raises OperatorError: the file can't be read or isn't UTF-8.
    """
    try:
        if file == "-":
            return console.stdin.read(MAX_DOCUMENT_BYTES + 1)
        with Path(file).open("rb") as stream:
            return stream.read(MAX_DOCUMENT_BYTES + 1).decode()
    except OSError as exc:
        raise _make_file_error(file, f"can't be read: {exc.strerror}") from exc
    except UnicodeError as exc:
        raise _make_file_error(file, "is not UTF-8 text") from exc


def _write_file(file: str, data: bytes) -> None:
    try:
        Path(file).write_bytes(data)
    except OSError as exc:
        raise _make_file_error(file, f"can't be written: {exc.strerror}") from exc


def _make_file_error(file: str, reason: str) -> OperatorError:
    return OperatorError(f"{file} {reason}", step="open-file", code="file-unusable")


def _make_client(command: RemoteCommand, console: Console) -> OperatorClient:
    """Return a client for the node that an option or the environment names.

    :raises OperatorError: no node is named, or there is no valid token.
    """
    address = command.node or console.environ.get(_NODE_VARIABLE, "")
    if not address:
        message = f"no node given; use --node ip:port or set {_NODE_VARIABLE}"
        raise OperatorError(message, step="find-node", code="node-unset")
    return OperatorClient(address, token=_read_token(command, console), operator=_get_operator())


def _read_token(command: RemoteCommand, console: Console) -> Secret:
    """Return the operator token from the file that an option names, or else the environment.

    :raises OperatorError: there is no valid token.
    """
    if not command.token_file:
        token = console.environ.get(_TOKEN_VARIABLE, "").strip()
        if token.isascii() and token.isprintable() and token:
            return Secret(token)
        message = f"no valid operator token; use --token-file FILE or set {_TOKEN_VARIABLE}"
        raise OperatorError(message, step="read-token", code="token-missing")
    try:
        return load_key(command.token_file)
    except OSError as exc:
        raise _make_file_error(command.token_file, f"can't be read: {exc.strerror}") from exc
    except ValueError as exc:
        message = "contains no valid token; a token is one line of at least 16 printable characters"
        raise _make_file_error(command.token_file, message) from exc


def _get_operator() -> str:
    """Return the user's login name in the form that the operator port accepts, empty if unknown."""
    try:
        name = getpass.getuser()
    except (KeyError, OSError):
        return ""
    return re.sub(r"[^A-Za-z0-9._@-]", "-", name).lstrip("._@-")[:64]
