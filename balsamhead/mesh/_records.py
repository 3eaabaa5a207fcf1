"""Interfaces of the persistent store of a mesh node's records."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamhead.mesh.model import (
        CrashReport,
        Departure,
        Directory,
        NodeRecord,
        OperatorReading,
        OperatorState,
        Refusal,
        Rollout,
        WithdrawnVersion,
    )

__all__ = ("CrashReportStore", "DepartureStore", "RecordStore", "RefusalStore", "RolloutStore")


class RolloutStore(Protocol):
    """Persistent states of rollouts; the first final state of a rollout is never overwritten."""

    async def write_rollout(self, rollout: Rollout) -> Rollout:
        """Write a state, unless a final state is stored; return the stored state.

        :raises LogConflictError: another node has written concurrently; retry.
        :raises LogError: the write failed, or its outcome is unknown.
        """

    async def read_rollouts(self) -> list[Rollout]:
        """Return the stored states of all rollouts.

        :raises LogError: the store gave no valid response.
        """

    async def write_withdrawn(self, service: str, rows: Sequence[WithdrawnVersion]) -> None:
        """Write the withdrawn versions of a service, in place of those written before.

        :raises LogError: the write failed, or its outcome is unknown.
        """


class RefusalStore(Protocol):
    """Persistent refusals of requests that crash upstreams, for nodes that start later."""

    async def write_refusal(self, refusal: Refusal) -> None:
        """Write a refusal in place of an earlier one of the same fingerprint.

        :raises LogError: the write failed, or its outcome is unknown.
        """

    async def delete_refusal(self, fingerprint: bytes) -> None:
        """Delete the refusal of a fingerprint.

        :raises LogError: the write failed, or its outcome is unknown.
        """


class DepartureStore(Protocol):
    """Persistent departures of upstreams, for when a node and its peers have ended."""

    async def write_departures(self, node: str, departures: Sequence[Departure]) -> None:
        """Write the departures that a node remembers, in place of those written before.

        :raises LogError: the write failed, or its outcome is unknown.
        """


class CrashReportStore(Protocol):
    """Persistent crashes of upstreams, for when all nodes have ended."""

    async def write_crash_report(self, node: str, report: CrashReport) -> None:
        """Write the crashes of a node's upstream, in place of those written before.

        :raises LogError: the write failed, or its outcome is unknown.
        """

    async def delete_crash_report(self, node: str) -> None:
        """Delete the crashes of a node's upstream.

        :raises LogError: the write failed, or its outcome is unknown.
        """


class RecordStore(RolloutStore, RefusalStore, DepartureStore, CrashReportStore, Protocol):
    """Persistent state of the operator, and records of the nodes."""

    @property
    def round_trip_s(self) -> float:
        """Return the round trip to the store, in s; infinite before the first call."""

    async def read_operator_state(self, known: OperatorState, *, wait_s: float) -> OperatorReading:
        """Wait up to ``wait_s`` seconds for newer records, and return the newest state.

        :raises LogError: the store gave no valid response.
        """

    async def write_node(self, record: NodeRecord) -> None:
        """Write the record of a node.

        :raises LogError: the write failed, or its outcome is unknown.
        """

    async def read_directory(self) -> Directory:
        """Return the records of all nodes, the refusals, the departures and the crashes.

        :raises LogError: the store gave no valid response.
        """
