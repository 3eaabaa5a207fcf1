"""Keep the mesh's records in the platform's store: operator's state, nodes, ends of rollouts."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import cbor2
import msgspec

from balsamhead.errors import LogExpiredError, MalformedMessageError
from balsamhead.mesh.model import NodeRecord, OperatorState, Order, Phase, Rollout
from balsamhead.platform.messages import (
    CONFIG_KEY,
    ROLLOUT_KEY_PREFIX,
    decode_config,
    decode_order,
    decode_rollout_status,
    encode_rollout_status,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamhead.platform.store import KeyedRecord, StoreClient

__all__ = ("PlatformRecords",)

logger = logging.getLogger(__name__)

_OPERATOR_TOPIC: Final = "keyed.op"
_STATUS_TOPIC: Final = "keyed.status"
_NODES_TOPIC: Final = "keyed.nodes"


class PlatformRecords:
    """Read and write typed records by the store's topics."""

    def __init__(self, store: StoreClient) -> None:
        self._store = store
        self._status_end: int | None = None

    async def read_operator_state(self, known: OperatorState, *, wait_s: float) -> OperatorState:
        """Return the operator's state after the known one, waiting for a change.

        :raises LogError: the store gave no usable answer.
        """
        if known.offset < 0:
            return await self._read_newest(known)
        try:
            batch = await self._store.read(_OPERATOR_TOPIC, known.offset, wait_s=wait_s)
        except LogExpiredError:
            return await self._read_newest(known)
        if not batch.records:
            return known
        offset = batch.records[-1].offset + 1
        return _fold(known, batch.records)._replace(offset=offset)

    async def _read_newest(self, known: OperatorState) -> OperatorState:
        newest = await self._store.read_newest(_OPERATOR_TOPIC)
        if newest.end < known.offset:
            return known
        return _fold(known, newest.records)._replace(offset=max(known.offset, newest.end))

    async def write_node(self, record: NodeRecord) -> None:
        """Write a node's record.

        :raises LogError: it may not have been written.
        """
        value = cbor2.dumps(msgspec.to_builtins(record))
        await self._store.append_keyed(_NODES_TOPIC, record.name, value)

    async def read_nodes(self) -> list[NodeRecord]:
        """Return the records of all nodes.

        :raises LogError: the store gave no usable answer.
        """
        newest = await self._store.read_newest(_NODES_TOPIC)
        nodes = []
        for row in newest.records:
            try:
                nodes.append(msgspec.convert(cbor2.loads(row.value), NodeRecord))
            except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError) as exc:
                logger.warning("node-record-malformed", extra={"key": row.key, "error": str(exc)})
        return nodes

    async def read_rollouts(self) -> list[Rollout]:
        """Return the recorded rollouts.

        :raises LogError: the store gave no usable answer.
        """
        newest = await self._store.read_newest(_STATUS_TOPIC)
        self._status_end = newest.end
        rollouts = []
        for row in newest.records:
            if row.key.startswith(ROLLOUT_KEY_PREFIX) and row.value:
                try:
                    service = row.key.removeprefix(ROLLOUT_KEY_PREFIX)
                    rollouts.append(decode_rollout_status(service, row.value))
                except MalformedMessageError as exc:
                    logger.warning("status-malformed", extra={"key": row.key, "error": str(exc)})
        return rollouts

    async def write_rollout(self, rollout: Rollout) -> Rollout:
        """Record a rollout's state, unless its end is recorded; return what is recorded.

        :raises LogConflictError: another node wrote meanwhile; try again.
        :raises LogError: it may not have been written.
        """
        known = await self._find_end(rollout)
        if known is not None:
            return known
        key, value = encode_rollout_status(rollout)
        at, self._status_end = self._status_end, None
        self._status_end = await self._store.append_keyed(_STATUS_TOPIC, key, value, at=at)
        return rollout

    async def _find_end(self, rollout: Rollout) -> Rollout | None:
        if self._status_end is not None and rollout.phase is Phase.RUNNING:
            return None
        for row in await self.read_rollouts():
            same = (row.service, row.order) == (rollout.service, rollout.order)
            if same and row.phase is not Phase.RUNNING:
                return row
        return None


def _fold(known: OperatorState, records: Iterable[KeyedRecord]) -> OperatorState:
    config, orders = known.config, dict(known.orders)
    newest = None
    for row in sorted(records, key=lambda row: row.offset):
        if not row.value:
            continue
        try:
            if row.key == CONFIG_KEY:
                newest = decode_config(row.value)
            elif row.key.startswith(ROLLOUT_KEY_PREFIX):
                order: Order = decode_order(row.value, offset=row.offset)
                if order.offset > orders.get(order.service, order._replace(offset=-1)).offset:
                    orders[order.service] = order
        except MalformedMessageError as exc:
            logger.warning("operator-record-malformed", extra={"key": row.key, "error": str(exc)})
    if newest is not None and (config is None or newest.version >= config.version):
        config = newest
    return OperatorState(known.offset, config, orders)
