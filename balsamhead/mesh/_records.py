"""Name what a mesh node asks of the place where its records last."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamhead.mesh.model import NodeRecord, OperatorState, Rollout

__all__ = ("Records", "StatusRecords")


class StatusRecords(Protocol):
    """Record the state of rollouts; the first recorded end of a rollout stays."""

    async def record(self, rollout: Rollout) -> Rollout:
        """Record a state, unless the rollout's end is recorded; return what is recorded.

        :raises LogConflictError: another node wrote meanwhile; try again.
        :raises LogError: it may not have been written.
        """

    async def read_rollouts(self) -> list[Rollout]:
        """Return the recorded rollouts.

        :raises LogError: the store gave no usable answer.
        """


class Records(StatusRecords, Protocol):
    """Read the operator's state, and keep the list of nodes."""

    async def read_operator(self, known: OperatorState, *, wait_s: float) -> OperatorState:
        """Return the state after the known one, waiting for a change.

        :raises LogError: the store gave no usable answer.
        """

    async def write_node(self, record: NodeRecord) -> None:
        """Write a node's record.

        :raises LogError: it may not have been written.
        """

    async def read_nodes(self) -> list[NodeRecord]:
        """Return the records of all nodes.

        :raises LogError: the store gave no usable answer.
        """
