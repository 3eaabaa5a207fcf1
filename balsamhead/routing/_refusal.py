"""Refusals that a caller may get instead of an upstream's response."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

__all__ = ("REFUSALS", "Outcome", "Refusal", "RefusalKind", "make_refusal")


class Outcome(StrEnum):
    """Whether a refused request may have run."""

    #: no upstream ran any part of the request
    NOT_RUN = "not-run"
    #: an upstream may have run the request, in whole or in part
    UNKNOWN = "unknown"


class RefusalKind(NamedTuple):
    """HTTP status and meaning of a refusal code."""

    status: int
    reason: str
    #: the same request may succeed later
    is_transient: bool


#: all refusal codes that a caller can get
REFUSALS: dict[str, RefusalKind] = {
    "request-malformed": RefusalKind(400, "the request breaks HTTP/1.1", False),
    "headers-too-large": RefusalKind(431, "the request's head is over the limit", False),
    "body-too-large": RefusalKind(413, "the request's body is over the limit", False),
    "transfer-encoding-unsupported": RefusalKind(501, "only chunked is understood", False),
    "request-timeout": RefusalKind(408, "the request did not arrive in time", True),
    "route-unknown": RefusalKind(404, "no route matches host and path", False),
    "method-not-allowed": RefusalKind(405, "the route has other methods", False),
    "too-many-hops": RefusalKind(508, "the call went through too many nodes", False),
    "configuration-missing": RefusalKind(503, "no configuration is in force yet", True),
    "version-withdrawn": RefusalKind(503, "all versions of the service are withdrawn", True),
    "no-upstream": RefusalKind(503, "no upstream of the version is ready", True),
    "no-upstream-in-regions": RefusalKind(
        503, "no upstream in the regions of the route is ready", True
    ),
    "overloaded": RefusalKind(503, "the wait for a free slot would be too long", True),
    "upstream-shed": RefusalKind(503, "the upstreams asked refused for load", True),
    "connect-failed": RefusalKind(503, "no connection to an upstream could be opened", True),
    "request-crashes-upstreams": RefusalKind(
        503, "the same request ended more than one upstream", True
    ),
    "stopping": RefusalKind(503, "the node stops", True),
    "deadline-passed": RefusalKind(504, "the deadline passed", True),
    "connection-lost": RefusalKind(502, "the connection to the upstream broke", True),
    "answer-malformed": RefusalKind(502, "the upstream's answer breaks HTTP/1.1", True),
    "duplicate-key": RefusalKind(409, "a request with this idempotency key was sent", False),
    "internal-error": RefusalKind(500, "the node failed", True),
}


class Refusal(NamedTuple):
    """Refusal of a call: a stable code and whether the request may have run."""

    code: str
    outcome: Outcome
    #: delay before the caller should retry, in s; 0 if none is suggested
    retry_after_s: float = 0.0

    @property
    def kind(self) -> RefusalKind:
        """Return the HTTP status and the meaning of the code."""
        return REFUSALS[self.code]


def make_refusal(code: str, *, may_have_run: bool = False, retry_after_s: float = 0.0) -> Refusal:
    """Return a refusal, with the outcome "unknown" if the request may have run."""
    outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
    return Refusal(code, outcome, retry_after_s)
