"""Exchange the states of rollouts and their evidence with peers, and coordinate the own ones."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, NamedTuple

from balsamhead.mesh._evidence import CallCounter, EvidenceRow
from balsamhead.mesh._frames import Frame, FrameKind, decode_header, encode_frame
from balsamhead.mesh._peers import rank_nodes
from balsamhead.mesh._rollouts import RolloutController, UpstreamSummary
from balsamhead.mesh._stored_record import StoredRecord
from balsamhead.mesh.model import Phase, Rollout, WithdrawnVersion

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from balsamhead.mesh._link import Link
    from balsamhead.mesh._link_manager import LinkManager
    from balsamhead.mesh._peers import UpstreamView
    from balsamhead.mesh._records import RolloutStore
    from balsamhead.mesh._traffic_split import TrafficSplit
    from balsamhead.mesh._upstream import CallResult
    from balsamhead.mesh.model import Load, NodeRecord, Order

__all__ = ("RolloutExchange",)

logger = logging.getLogger(__name__)


class _RolloutHeader(NamedTuple):
    rollout: Rollout
    elapsed_s: float


class _EvidenceHeader(NamedTuple):
    service: str
    rows: list[EvidenceRow]


class _WithdrawnHeader(NamedTuple):
    service: str
    rows: tuple[WithdrawnVersion, ...]


class RolloutExchange:
    """Connect the rollouts of this node with those of its peers."""

    def __init__(
        self,
        own_record: NodeRecord,
        records: RolloutStore,
        *,
        link_manager: LinkManager,
        traffic_split: TrafficSplit,
        get_own_upstream: Callable[[], tuple[UpstreamView | None, Load]],
    ) -> None:
        self._own_record = own_record
        self._link_manager = link_manager
        self._traffic_split = traffic_split
        self._get_own_upstream = get_own_upstream
        self._outcome_counts = CallCounter()
        self._records = records
        #: what the store holds of the withdrawn versions of services that this node coordinates
        self._stored_withdrawn: dict[str, StoredRecord[tuple[WithdrawnVersion, ...]]] = {}
        #: the same as it was read at the start; None before that
        self._read_withdrawn: Mapping[str, tuple[WithdrawnVersion, ...]] | None = None
        self._controller = RolloutController(traffic_split, records, publish=self._publish)
        #: the node stops and coordinates no more rollouts
        self.stopping = False

    def add_result(self, result: CallResult) -> None:
        """Count the result of a call at this node's upstream."""
        self._outcome_counts.add(result)

    def record_orders(self, orders: Iterable[Order]) -> None:
        """Record when orders were first received, and which were recorded again."""
        for order in orders:
            previous = self._traffic_split.renumber(order)
            if previous is not None:
                self._controller.renumber_order(order, previous)
            self._controller.record_order(order)

    def report_evidence(self) -> None:
        """Send the call results since the last call to the coordinator of this node's service."""
        rows = self._outcome_counts.drain()
        rollout = self._traffic_split.rollouts.get(self._own_record.service)
        if not rows or rollout is None or rollout.phase is not Phase.RUNNING:
            return
        coordinator = self._find_coordinator(rollout.service)
        if coordinator == self._own_record.name:
            self._controller.add_evidence(rollout.service, rows)
            return
        peer = self._link_manager.table.peers.get(coordinator)
        link = self._link_manager.get_link(peer) if peer is not None else None
        if link is not None:
            link.send(FrameKind.EVIDENCE, 0, _EvidenceHeader(rollout.service, rows))

    def advance(self, orders: Iterable[Order]) -> None:
        """Advance the rollouts that this node coordinates."""
        for order in orders:
            if self._find_coordinator(order.service) == self._own_record.name:
                self._controller.advance(order, self._summarize(order.service, order.version))
                self._store_withdrawn(order.service)

    def restore_withdrawn(self, withdrawn: Mapping[str, tuple[WithdrawnVersion, ...]]) -> None:
        """Adopt the withdrawn versions that the store holds."""
        self._read_withdrawn = withdrawn
        self._stored_withdrawn.clear()
        for service, rows in withdrawn.items():
            self._traffic_split.restore_withdrawn(service, rows)

    def _store_withdrawn(self, service: str) -> None:
        """Write the withdrawn versions of a service, if the store holds others."""
        if self._read_withdrawn is None:
            return
        record = self._stored_withdrawn.get(service)
        if record is None:
            record = self._stored_withdrawn[service] = StoredRecord(
                get_value=lambda: self._traffic_split.list_withdrawn(service),
                write=lambda rows: self._records.write_withdrawn(service, rows),
                failure_event="withdrawn-not-written",
            )
            record.set_stored(self._read_withdrawn.get(service, ()))
        else:
            record.update()

    def stop(self) -> None:
        """Cancel the writes that are in progress or due."""
        self._controller.stop()
        for record in self._stored_withdrawn.values():
            record.stop()

    def send_withdrawn(self, link: Link) -> None:
        """Send the withdrawn versions of all services to a peer."""
        for service in self._traffic_split.list_withdrawn_services():
            rows = self._traffic_split.list_withdrawn(service)
            link.send(FrameKind.WITHDRAWN, 0, _WithdrawnHeader(service, rows))

    def handle_withdrawn(self, frame: Frame, link: Link) -> None:
        """Adopt the withdrawn versions that a peer knows.

        :raises MalformedMessageError: the frame can't be decoded.
        """
        header = decode_header(frame, _WithdrawnHeader, peer=link.peer)
        self._traffic_split.restore_withdrawn(header.service, header.rows)

    def send_states(self, link: Link) -> None:
        """Send the states of all rollouts to a peer."""
        for rollout in self._traffic_split.rollouts.values():
            link.send_encoded(self._encode(rollout))

    def handle_state(self, frame: Frame, link: Link) -> None:
        """Apply the state of a rollout from a peer.

        :raises MalformedMessageError: the frame can't be decoded.
        """
        header = decode_header(frame, _RolloutHeader, peer=link.peer)
        if not self._traffic_split.apply_state(header.rollout):
            return
        rollout = header.rollout
        self._controller.record_elapsed(rollout, header.elapsed_s)
        logger.info(
            "rollout-heard",
            extra={
                "service": rollout.service,
                "version": rollout.version,
                "phase": rollout.phase.value,
                "share": rollout.share,
            },
        )

    def handle_evidence(self, frame: Frame, link: Link) -> None:
        """Add the evidence of a peer to that of this node.

        :raises MalformedMessageError: the frame can't be decoded.
        """
        evidence = decode_header(frame, _EvidenceHeader, peer=link.peer)
        self._controller.add_evidence(evidence.service, evidence.rows)

    def _publish(self, rollout: Rollout) -> None:
        if self._traffic_split.apply_state(rollout):
            self._link_manager.broadcast(self._encode(rollout))

    def _encode(self, rollout: Rollout) -> bytes:
        elapsed_s = self._controller.get_elapsed(rollout.service)
        return encode_frame(FrameKind.ROLLOUT, 0, _RolloutHeader(rollout, elapsed_s))

    def _find_coordinator(self, service: str) -> str:
        names = [peer.record.name for peer in self._link_manager.list_live() if not peer.stopping]
        if not self.stopping:
            names.append(self._own_record.name)
        ranked = rank_nodes(names, f"rollout/{service}")
        return ranked[0] if ranked else ""

    def _summarize(self, service: str, version: str) -> UpstreamSummary:
        new_ready = old_busy = 0
        rows = [self._get_own_upstream()] if self._own_record.service == service else []
        for peer in self._link_manager.table.peers.values():
            if peer.record.service == service and self._link_manager.get_link(peer) is not None:
                rows.append((peer.upstream, peer.load))
        for upstream_view, load in rows:
            if upstream_view is None:
                continue
            if upstream_view.version == version:
                new_ready += upstream_view.accepts_requests
            else:
                old_busy += load.running + load.waiting
        checksum = self._traffic_split.checksum
        in_force = all(peer.rollout_checksum == checksum for peer in self._link_manager.list_live())
        return UpstreamSummary(new_ready, old_busy, in_force)
