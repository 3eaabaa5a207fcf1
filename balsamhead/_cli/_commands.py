"""Declare the commands with their arguments and options."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated

import cappa

__all__ = (
    "Check",
    "Command",
    "Mesh",
    "Node",
    "Program",
    "Promote",
    "Publish",
    "RemoteCommand",
    "Report",
    "Rollout",
    "Settings",
    "Show",
    "Status",
    "Watch",
)

_JSON_FLAG: cappa.Arg[bool] = cappa.Arg(long="--json", help="Print JSON.")
_FILE_ARGUMENT: cappa.Arg[str] = cappa.Arg(
    value_name="FILE", help='Configuration document, or "-" for standard input.'
)


@dataclass(kw_only=True)
class RemoteCommand:
    """Options of the commands that send a request to a node."""

    node: Annotated[
        str,
        cappa.Arg(
            long=True,
            value_name="ADDRESS",
            help='Operators\' port of a node, "ip:port"; BALSAMHEAD_NODE by default.',
        ),
    ] = ""
    token_file: Annotated[
        str,
        cappa.Arg(
            long=True,
            value_name="FILE",
            help="File with the operators' token; BALSAMHEAD_OPERATOR_TOKEN by default.",
        ),
    ] = ""
    json: Annotated[bool, _JSON_FLAG] = False


@cappa.command(name="node", help="Run a node until it is told to stop.")
@dataclass
class Node:
    """Options of ``node``."""

    settings: Annotated[
        str, cappa.Arg(long=True, value_name="FILE", help="Settings of the node, in TOML.")
    ]


@cappa.command(
    name="mesh",
    help="Run a mesh node until it is told to stop; BALSAMHEAD_SETTINGS names its settings.",
)
@dataclass
class Mesh:
    """Options of ``mesh``: none; see docs/operators/mesh-settings.md."""


@cappa.command(name="check", help="Check a document without publishing it.")
@dataclass
class Check(RemoteCommand):
    """Options of ``check``, which asks a node only for the document in force."""

    file: Annotated[str, _FILE_ARGUMENT] = field(kw_only=False)
    against: Annotated[
        str,
        cappa.Arg(
            long=True,
            value_name="FILE",
            help="Document in force: shows what differs; its times due may have passed. "
            "No node is asked.",
        ),
    ] = ""
    fail_on_warnings: Annotated[
        bool, cappa.Arg(long=True, help="Exit with 10 if there are warnings.")
    ] = False


@cappa.command(name="publish", help="Publish a document in the environment of a node.")
@dataclass
class Publish(RemoteCommand):
    """Options of ``publish``."""

    file: Annotated[str, _FILE_ARGUMENT] = field(kw_only=False)
    base: Annotated[
        int | None,
        cappa.Arg(
            long=True,
            value_name="VERSION",
            help="Refuse unless this document version is still the current one.",
        ),
    ] = None


@cappa.command(name="promote", help="Promote the document of the trial environment.")
@dataclass
class Promote(RemoteCommand):
    """Options of ``promote``."""

    digest: Annotated[
        str,
        cappa.Arg(long=True, help="Refuse unless trial still runs the document of this digest."),
    ] = ""


@cappa.command(name="status", help="Show what is in force, and where rollouts stand.")
@dataclass
class Status(RemoteCommand):
    """Options of ``status``."""


@cappa.command(name="show", help="Print the document in force.")
@dataclass
class Show(RemoteCommand):
    """Options of ``show``."""


@cappa.command(name="watch", help="Print each change of the status.")
@dataclass
class Watch(RemoteCommand):
    """Options of ``watch``."""

    interval: Annotated[
        float, cappa.Arg(long=True, value_name="SECONDS", help="Time between requests.")
    ] = 1.0
    until_done: Annotated[
        bool,
        cappa.Arg(
            long=True, help="End when all nodes run the newest version and no rollout goes on."
        ),
    ] = False
    timeout: Annotated[
        float, cappa.Arg(long=True, value_name="SECONDS", help="Give up after; 0 for never.")
    ] = 0.0


@cappa.command(name="report", help="Show the report on service-level burn.")
@dataclass
class Report(RemoteCommand):
    """Options of ``report``."""

    service: Annotated[
        str, cappa.Arg(long=True, value_name="NAME", help="Show one service and its rollout.")
    ] = ""
    html: Annotated[
        str, cappa.Arg(long=True, value_name="FILE", help="Write one HTML page with plots.")
    ] = ""
    cleared: Annotated[
        bool, cappa.Arg(long=True, help="Show also what burned and cleared up on its own.")
    ] = False


@cappa.command(name="rollout", help="Change the rollout of a service.")
@dataclass
class Rollout(RemoteCommand):
    """Options of ``rollout``."""

    service: Annotated[str, cappa.Arg(help="Name of the service.")] = field(kw_only=False)
    action: Annotated[
        str,
        cappa.Arg(choices=["pause", "resume", "speed-up", "take-back"], help="What to do with it."),
    ] = field(kw_only=False)


@cappa.command(name="settings", help="Print the reference of a node's settings.")
@dataclass
class Settings:
    """Options of ``settings``."""


Command = (
    Node | Mesh | Check | Publish | Promote | Status | Show | Watch | Report | Rollout | Settings
)


@cappa.command(
    name="balsamhead", help="Distribute the configuration of a service mesh and watch it."
)
@dataclass
class Program:
    """The program and its commands."""

    command: cappa.Subcommands[Command]
