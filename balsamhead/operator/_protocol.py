"""Define the messages, headers and limits of the operator port's HTTP API."""

from __future__ import annotations

from typing import Final

import msgspec

from balsamhead.document import MAX_DOCUMENT_BYTES

__all__ = (
    "MAX_BODY_BYTES",
    "MAX_HEADER_BYTES",
    "OPERATOR_HEADER",
    "REPORT_CONTENT_TYPES",
    "REQUEST_TIMEOUT_S",
    "ROLLOUT_ACTIONS",
    "STATUS_BY_OUTCOME",
    "ErrorBody",
    "MistakeBody",
    "PromoteBody",
    "RolloutBody",
)

#: limits on the body and the header of a request, in bytes
MAX_BODY_BYTES: Final = MAX_DOCUMENT_BYTES
MAX_HEADER_BYTES: Final = 16 * 1024

#: timeout for the node's response to a request, in s
REQUEST_TIMEOUT_S: Final = 20.0

#: request header with the operator's name, which is logged and stored with each change
OPERATOR_HEADER: Final = "Balsamhead-Operator"

#: values of ``RolloutBody.action``
ROLLOUT_ACTIONS: Final = ("pause", "resume", "speed-up", "take-back")

#: content type of the report by format
REPORT_CONTENT_TYPES: Final = {
    "text": "text/plain; charset=utf-8",
    "json": "application/json",
    "html": "text/html; charset=utf-8",
}

#: HTTP status of a ``PublishResponse`` by its outcome
STATUS_BY_OUTCOME: Final = {"accepted": 200, "refused": 409, "unknown": 504}


class PromoteBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a request to promote a document from the trial environment.

    :ivar digest: hexadecimal digest of the tested document; empty for the current one.
    """

    digest: str = ""


class RolloutBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a request to change a rollout.

    :ivar action: one of ``ROLLOUT_ACTIONS``.
    """

    action: str


class MistakeBody(msgspec.Struct, frozen=True):
    """One error in a document.

    :ivar place: file and key of the error.
    """

    place: str
    code: str
    message: str


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of an error response.

    :ivar peer: the remote end as the node saw it; the client, unless the error names another peer.
    :ivar mistakes: errors in the document; empty for errors of another kind.
    """

    code: str
    message: str
    step: str
    peer: str
    mistakes: tuple[MistakeBody, ...] = ()
