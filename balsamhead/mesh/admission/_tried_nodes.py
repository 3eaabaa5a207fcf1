"""Remember which nodes have refused a request for lack of room, and when it may queue at one."""

from __future__ import annotations

from typing import Final

from balsamhead.mesh.admission._called_services import CALLED_SERVICE_BUSY

__all__ = ("TriedNodes",)

#: number of nodes that may refuse a request as full before it is allowed to queue at one
_MAX_FULL_NODES: Final = 4


class TriedNodes:
    """Nodes that a request was sent to, as far as they matter for its next attempt."""

    def __init__(self) -> None:
        #: nodes that the request isn't sent to again
        self.excluded: set[str] = set()
        #: number of refusals by nodes that had no room at once
        self.full_count = 0
        #: code of a refusal for lack of room at a called service; empty if there was none
        self.held_back_code = ""
        #: nodes that hold the request back until a service that it would call has room
        self._limiting: set[str] = set()
        self._queues = False

    def list_excluded(self) -> set[str]:
        """Return the nodes that the next attempt leaves out."""
        return self.excluded | self._limiting

    def may_wait(self, wait_ms: float) -> bool:
        """Return whether the request may wait at the next node.

        :param wait_ms: expected wait there.
        """
        return self._queues or wait_ms > 0 or self.full_count >= _MAX_FULL_NODES

    def record_full(self, node: str, code: str) -> None:
        """Record a refusal by a node that has no room at once.

        Its load shows whether its slots are in use, but not that it limits new requests.
        """
        self.full_count += 1
        if code == CALLED_SERVICE_BUSY:
            self.held_back_code = code
            self._limiting.add(node)
        if self.full_count >= _MAX_FULL_NODES:
            self._limiting.clear()

    def allow_queueing(self) -> bool:
        """Let the request wait at a limiting node if there is one, since no other takes it."""
        if not self._limiting:
            return False
        self._limiting.clear()
        self._queues = True
        return True
