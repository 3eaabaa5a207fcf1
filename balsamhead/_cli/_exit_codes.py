"""Define the exit codes of the commands."""

from __future__ import annotations

from enum import IntEnum
from typing import Final

from balsamhead.errors import BalsamheadError
from balsamhead.operator_responses import PublishResponse

__all__ = ("ExitCode", "get_error_exit", "get_response_exit")


class ExitCode(IntEnum):
    """Exit codes of the program."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    DOCUMENT_INVALID = 3
    REFUSED = 4
    OUTCOME_UNKNOWN = 5
    UNREACHABLE = 6
    AUTHENTICATION = 7
    ROLLED_BACK = 8
    TIMED_OUT = 9
    WARNINGS = 10


_EXIT_BY_OUTCOME: Final = {
    "accepted": ExitCode.DONE,
    "refused": ExitCode.REFUSED,
    "unknown": ExitCode.OUTCOME_UNKNOWN,
}

_EXIT_BY_ERROR_CODE: Final = {
    "answer-late": ExitCode.OUTCOME_UNKNOWN,
    "answer-lost": ExitCode.OUTCOME_UNKNOWN,
    "authentication-failed": ExitCode.AUTHENTICATION,
    "document-invalid": ExitCode.DOCUMENT_INVALID,
    "file-unusable": ExitCode.USAGE,
    "internal-error": ExitCode.FAILED,
    "node-unreachable": ExitCode.UNREACHABLE,
    "port-unavailable": ExitCode.FAILED,
    "node-unset": ExitCode.USAGE,
    "settings-invalid": ExitCode.USAGE,
    "token-missing": ExitCode.USAGE,
}


def get_response_exit(answer: PublishResponse) -> ExitCode:
    """Return the exit code for the outcome of a publish, promote or rollout request."""
    return _EXIT_BY_OUTCOME.get(answer.outcome, ExitCode.FAILED)


def get_error_exit(exc: BalsamheadError) -> ExitCode:
    """Return the exit code for an error; REFUSED if its error code has none of its own."""
    return _EXIT_BY_ERROR_CODE.get(exc.error_code, ExitCode.REFUSED)
