"""Hold what was tried for a request and what its last choice was made from, for the log."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, NamedTuple

if TYPE_CHECKING:
    from balsamhead.mesh._choice import Choice

__all__ = ("Decision", "Trace")

#: age of a load that was never heard, in s
_OLDEST_S: Final = 999.0


class Decision(NamedTuple):
    """Hold what a choice was made from."""

    choice: Choice
    #: how long the request may wait, in ms
    room_ms: float
    #: upstreams that were looked at
    upstreams: int

    def describe(self) -> dict[str, Any]:
        """Return the fields that a line of the log shows."""
        found = self.choice.candidate
        return {
            "node": found.node,
            "wait_ms": round(self.choice.wait_ms),
            "room_ms": round(self.room_ms),
            "load_age_s": round(min(found.age_s, _OLDEST_S), 2),
            "saturated": found.saturated,
            "upstreams": self.upstreams,
        }


class Trace:
    """Hold what was tried for a request, for the log."""

    __slots__ = (
        "arrivals",
        "decided",
        "maybe_run",
        "objective_at",
        "patience_ends_at",
        "request_id",
        "route",
        "tried",
        "urgent",
    )

    def __init__(self, request_id: bytes) -> None:
        self.request_id = request_id.decode("latin-1")
        self.route = ""
        self.tried: list[str] = []
        #: what the last choice was made from
        self.decided: Decision | None = None
        #: upstreams that got it
        self.arrivals = 0
        #: an upstream may have run it
        self.maybe_run = False
        #: less urgent requests go to the same service
        self.urgent = False
        #: time until which its answer has its full worth, in s of the loop's clock
        self.objective_at = 0.0
        #: time until which it may wait for a slot, in s of the loop's clock
        self.patience_ends_at = 0.0
