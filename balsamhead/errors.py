"""The exception hierarchy of balsamhead; each class has a stable error code."""

from __future__ import annotations

from typing import ClassVar, NamedTuple

__all__ = (
    "AuthenticationError",
    "BalsamheadError",
    "CallError",
    "DocumentError",
    "LinkError",
    "LogConflictError",
    "LogError",
    "LogExpiredError",
    "LogOutcomeUnknownError",
    "LogUnavailableError",
    "MalformedMessageError",
    "Mistake",
    "OperatorError",
    "SettingsError",
)


class BalsamheadError(Exception):
    """Base class of all errors that balsamhead raises.

    :param message: one sentence that tells the operator how to resolve the error.
    :param step: operation that failed, as lower-case words joined by hyphens.
    :param peer: address or name of the remote side; empty if there is none.
    :param code: error code of this instance, if it is not the code of its class.
    """

    #: stable, documented error code of the class
    code: ClassVar[str] = "internal-error"

    def __init__(self, message: str, *, step: str, peer: str = "", code: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer
        self.error_code = code or type(self).code

    def __str__(self) -> str:
        at_peer = f", peer {self.peer}" if self.peer else ""
        return f"{self.message} [{self.error_code}; step {self.step}{at_peer}]"


class Mistake(NamedTuple):
    """One mistake in a file."""

    #: the file and the path of the key in it, such as "plotlist.toml: route[3].deadline-ms"
    place: str
    #: stable code of this kind of mistake
    code: str
    #: description of the mistake and of the allowed values
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message} [{self.code}]"


class _FileError(BalsamheadError):
    """Base class of errors that list the mistakes in a file."""

    def __init__(
        self,
        message: str,
        *,
        step: str,
        peer: str = "",
        code: str = "",
        mistakes: tuple[Mistake, ...] = (),
    ) -> None:
        super().__init__(message, step=step, peer=peer, code=code)
        self.mistakes = mistakes


class SettingsError(_FileError):
    """Report an invalid settings file with all of its mistakes."""

    code = "settings-invalid"


class DocumentError(_FileError):
    """Report an invalid configuration document with its mistakes."""

    code = "document-invalid"


class MalformedMessageError(BalsamheadError):
    """Report a message that cannot be decoded or exceeds a limit."""

    code = "message-malformed"


class AuthenticationError(BalsamheadError):
    """Report a wrong or missing token, key or source address."""

    code = "authentication-failed"


class LinkError(BalsamheadError):
    """Report a link to a peer that cannot be opened or was closed."""

    code = "link-closed"


class LogError(BalsamheadError):
    """Report a failure of the platform's append-only log."""

    code = "log-failed"


class LogUnavailableError(LogError):
    """Report a log request that had no effect."""

    code = "log-unavailable"


class LogOutcomeUnknownError(LogError):
    """Report an append that may or may not have been written."""

    code = "log-outcome-unknown"


class LogConflictError(LogError):
    """Report a conditional append whose condition was not met.

    :ivar end: offset after the last record of the partition.
    """

    code = "log-conflict"

    def __init__(self, end: int, *, step: str, peer: str = "") -> None:
        super().__init__(f"the partition ends at {end}", step=step, peer=peer)
        self.end = end


class LogExpiredError(LogError):
    """Report a read of records that the log no longer retains."""

    code = "log-expired"


class OperatorError(BalsamheadError):
    """Report an operator's request that was refused."""

    code = "operator-request-refused"


class CallError(BalsamheadError):
    """Report a caller's request that received no response from an upstream."""

    code = "call-failed"
