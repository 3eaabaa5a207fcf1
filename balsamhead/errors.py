"""The tree of errors that balsamhead raises, each with a stable code."""

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
    """Carry what went wrong, at which step, and with which peer.

    :param message: one sentence that tells the operator what to do.
    :param step: what was being done, as lower-case words joined by hyphens.
    :param peer: the address or name of the other side; empty when there is none.
    :param code: a code for this instance, where one class has several.
    """

    #: the stable, documented code of this class of error
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
    """State one mistake of a file."""

    #: the file and the path of the key in it, such as "plotlist.toml: route[3].deadline-ms"
    place: str
    #: stable code of the kind of mistake
    code: str
    #: what is wrong and what is allowed
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message} [{self.code}]"


class _FileError(BalsamheadError):
    """Carry the mistakes of a file."""

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
    """Report every mistake of a settings file at once."""

    code = "settings-invalid"


class DocumentError(_FileError):
    """Report every mistake of a configuration document at once."""

    code = "document-invalid"


class MalformedMessageError(BalsamheadError):
    """Report a message that can't be decoded or breaks a bound."""

    code = "message-malformed"


class AuthenticationError(BalsamheadError):
    """Report a wrong or missing token, key or source address."""

    code = "authentication-failed"


class LinkError(BalsamheadError):
    """Report a link to a peer that can't be opened or was closed."""

    code = "link-closed"


class LogError(BalsamheadError):
    """Report a failure of the platform's append-only log."""

    code = "log-failed"


class LogUnavailableError(LogError):
    """Report a log request that had no effect."""

    code = "log-unavailable"


class LogOutcomeUnknownError(LogError):
    """Report an append that may have been written."""

    code = "log-outcome-unknown"


class LogConflictError(LogError):
    """Report a conditional append whose condition didn't hold.

    :ivar end: offset after the last record of the partition.
    """

    code = "log-conflict"

    def __init__(self, end: int, *, step: str, peer: str = "") -> None:
        super().__init__(f"the partition ends at {end}", step=step, peer=peer)
        self.end = end


class LogExpiredError(LogError):
    """Report a read of records that the log no longer keeps."""

    code = "log-expired"


class OperatorError(BalsamheadError):
    """Report a request of an operator that was refused."""

    code = "operator-request-refused"


class CallError(BalsamheadError):
    """Report a caller's request that got no answer from an upstream."""

    code = "call-failed"
