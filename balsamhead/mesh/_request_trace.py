"""Record, for the log, which nodes a request was sent to and how the last one was selected."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, NamedTuple

if TYPE_CHECKING:
    from balsamhead.mesh._selection import Selection
    from balsamhead.mesh.model import Account

__all__ = ("MAX_LOAD_AGE_S", "Attempt", "Decision", "RequestTrace")

#: age that is logged and counted for a load that was never reported, in s
MAX_LOAD_AGE_S: Final = 999.0


class Decision(NamedTuple):
    """An upstream selection and its inputs."""

    selection: Selection
    #: how long the request may wait for a slot, in ms
    max_wait_ms: float
    #: number of upstreams that were compared
    candidate_count: int

    def describe(self) -> dict[str, Any]:
        """Return the decision as fields of a log line."""
        candidate = self.selection.candidate
        return {
            "node": candidate.node,
            "wait_ms": round(self.selection.wait_ms),
            "room_ms": round(self.max_wait_ms),
            "request_ms": round(candidate.request_ms),
            "load_age_s": round(min(candidate.load_age_s, MAX_LOAD_AGE_S), 2),
            "saturated": candidate.saturated,
            "slots": round(candidate.slots, 1),
            "limit_wait_ms": round(candidate.limit_wait_ms),
            "upstreams": self.candidate_count,
        }


class Attempt(NamedTuple):
    """A node that a request was sent to, and how that ended."""

    node: str
    #: time until the outcome was known, in ms
    took_ms: float
    #: code of the outcome, or the status of the response
    outcome: str


class RequestTrace:
    """State of a request while it is routed."""

    __slots__ = (
        "attempted_nodes",
        "attempts",
        "client_account",
        "deliveries",
        "failure_code",
        "key_digest_prefix",
        "last_decision",
        "may_have_run",
        "nested",
        "objective_deadline",
        "queue_deadline",
        "request_id",
        "route",
        "starved",
        "urgent",
    )

    def __init__(self, request_id: bytes) -> None:
        self.request_id = request_id.decode("latin-1")
        self.route = ""
        #: None if the request needs no key
        self.client_account: Account | None = None
        #: first bytes of the digest of an unknown key, in hexadecimal
        self.key_digest_prefix = ""
        self.attempted_nodes: list[str] = []
        #: the attempts that have ended
        self.attempts: list[Attempt] = []
        #: the last selection and its inputs
        self.last_decision: Decision | None = None
        #: number of upstreams that received the request
        self.deliveries = 0
        #: code with which this node refused or failed the request; empty if it did neither
        self.failure_code = ""
        #: an upstream may have run the request
        self.may_have_run = False
        #: an upstream makes the request while it runs another one
        self.nested = False
        #: requests of its priority are starved, and only the upstream's node may refuse it as busy
        self.starved = False
        #: requests with a lower priority are sent to the same service
        self.urgent = False
        #: when the latency objective is missed, in s of the loop's clock
        self.objective_deadline = 0.0
        #: until when the request may wait for a slot, in s of the loop's clock
        self.queue_deadline = 0.0

    @property
    def account(self) -> str:
        """Return the name of the client account; empty if the request needs no key."""
        return "" if self.client_account is None else self.client_account.name

    def describe_account(self) -> dict[str, str]:
        """Return what is known of the client account as fields of a log line."""
        fields = {"account": self.account, "key_digest": self.key_digest_prefix}
        return {name: value for name, value in fields.items() if value}

    def describe_attempts(self) -> list[str]:
        """Return the attempts as a field of a log line; the last one may not have ended."""
        ended = [f"{row.node} {row.took_ms:.1f} {row.outcome}" for row in self.attempts]
        return ended + [f"{node} unfinished" for node in self.attempted_nodes[len(ended) :]]
