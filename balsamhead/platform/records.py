"""Read and write the mesh's records in the platform's store.

They are the operator's state, the nodes with what they remember, and the states of the rollouts.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final, TypeVar

import cbor2
import msgspec

from balsamhead.errors import LogExpiredError, MalformedMessageError
from balsamhead.mesh.model import (
    MAX_INTEGER,
    Config,
    CrashReport,
    Departure,
    Directory,
    NodeRecord,
    OperatorReading,
    OperatorState,
    Order,
    Phase,
    Refusal,
    Rollout,
    WithdrawnVersion,
)
from balsamhead.platform.messages import (
    CONFIG_KEY,
    EVACUATION_KEY_PREFIX,
    ROLLOUT_KEY_PREFIX,
    decode_config,
    decode_order,
    decode_rollout_status,
    encode_rollout_status,
)
from balsamhead.util import codec
from balsamhead.util.positions import get_era, get_offset, make_position

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from balsamhead.platform.store import KeyedRecord, StoreClient

__all__ = ("PlatformRecords",)

logger = logging.getLogger(__name__)

T = TypeVar("T")

_OPERATOR_TOPIC: Final = "keyed.op"
_STATUS_TOPIC: Final = "keyed.status"
_NODES_TOPIC: Final = "keyed.nodes"
#: prefix of the keys of refusals in the topic of the nodes, before the fingerprint in hexadecimal
_REFUSAL_KEY_PREFIX: Final = "refusal/"
#: prefix of the keys of departures in the topic of the nodes, before the name of their node
_DEPARTURES_KEY_PREFIX: Final = "departures/"
#: prefix of the keys of crashes in the topic of the nodes, before the name of their node
_CRASHES_KEY_PREFIX: Final = "crashes/"
#: prefix of the keys of withdrawn versions in the topic of the nodes, before the name of a service
_WITHDRAWN_KEY_PREFIX: Final = "withdrawn/"
#: largest record in the topic of the nodes that is decoded, in bytes; decoding a large one takes
#: long
_MAX_NODE_BYTES: Final = 4096
#: rows of one configuration that can't be read and get a log line each
_MAX_LOGGED_ROWS: Final = 20


class PlatformRecords:
    """Read and write typed records in the topics of the store."""

    def __init__(self, store: StoreClient) -> None:
        self._store = store
        #: era and end offset of the status topic after the last access, the condition of the next
        #: append; None if it must be read first
        self._status_end: tuple[int, int] | None = None

    @property
    def round_trip_s(self) -> float:
        """Return the round trip to the store, in s; infinite before the first call."""
        return self._store.round_trip_s

    async def read_operator_state(self, known: OperatorState, *, wait_s: float) -> OperatorReading:
        """Read the operator's state, waiting for a change from the known state.

        Without a change, the known state is returned. If its offset is negative, the current
        state is read without waiting.

        :param wait_s: maximum wait for a change, in s.
        :raises LogError: the store gave no valid response.
        """
        if known.offset < 0:
            return await self._read_newest_state(known)
        start = get_offset(known.offset)
        try:
            batch = await self._store.read(_OPERATOR_TOPIC, start, wait_s=wait_s)
        except LogExpiredError:
            return await self._read_newest_state(known)
        if batch.era != get_era(known.offset):
            # the offsets of another era say nothing about the known state
            return await self._read_newest_state(known)
        end = batch.records[-1].offset + 1 if batch.records else start
        # A response may hold a part of the records only, or come from a store that lacks some.
        confirmed = batch.end == end
        if not batch.records:
            return OperatorReading(known, confirmed)
        state = _apply_records(known, batch.records, known.offset - start + end)
        return OperatorReading(state, confirmed)

    async def _read_newest_state(self, known: OperatorState) -> OperatorReading:
        newest = await self._store.read_newest(_OPERATOR_TOPIC)
        known_era = get_era(known.offset)
        if newest.era == known_era:
            position = known.offset - get_offset(known.offset) + newest.end
        else:
            position = make_position(newest.era, newest.end, carried=known.offset >= 0)
        if position < known.offset:
            logger.info(
                "store-state-ignored",
                extra={"era": newest.era, "end": newest.end, "known_offset": known.offset},
            )
            return OperatorReading(known, confirmed=False)
        if known_era not in (-1, newest.era):
            logger.warning(
                "store-restored",
                extra={
                    "era": newest.era,
                    "end": newest.end,
                    "previous_era": known_era,
                    "previous_offset": get_offset(known.offset),
                },
            )
        # A record that was removed isn't listed, so the evacuations listed are all there are.
        state = _apply_records(known._replace(evacuated=()), newest.records, position)
        return OperatorReading(state, confirmed=True)

    async def write_node(self, record: NodeRecord) -> None:
        """Write a node's record.

        :raises LogError: the record was not written, or it is unknown whether it was.
        """
        value = cbor2.dumps(msgspec.to_builtins(record))
        await self._store.append_keyed(_NODES_TOPIC, record.name, value)

    async def write_refusal(self, refusal: Refusal) -> None:
        """Write a refusal in place of an earlier one of the same fingerprint.

        :raises LogError: the record was not written, or it is unknown whether it was.
        """
        await self._store.append_keyed(
            _NODES_TOPIC, _make_refusal_key(refusal.fingerprint), codec.encode(refusal)
        )

    async def delete_refusal(self, fingerprint: bytes) -> None:
        """Delete the refusal of a fingerprint.

        :raises LogError: the record was not deleted, or it is unknown whether it was.
        """
        await self._store.append_keyed(_NODES_TOPIC, _make_refusal_key(fingerprint), b"")

    async def write_departures(self, node: str, departures: Sequence[Departure]) -> None:
        """Write the departures that a node remembers, in place of those written before.

        :raises LogError: the record was not written, or it is unknown whether it was.
        """
        await self._store.append_keyed(
            _NODES_TOPIC, _DEPARTURES_KEY_PREFIX + node, codec.encode(departures)
        )

    async def write_crash_report(self, node: str, report: CrashReport) -> None:
        """Write the crashes of a node's upstream, in place of those written before.

        :raises LogError: the record was not written, or it is unknown whether it was.
        """
        await self._store.append_keyed(
            _NODES_TOPIC, _CRASHES_KEY_PREFIX + node, codec.encode(report)
        )

    async def delete_crash_report(self, node: str) -> None:
        """Delete the crashes of a node's upstream.

        :raises LogError: the record was not deleted, or it is unknown whether it was.
        """
        await self._store.append_keyed(_NODES_TOPIC, _CRASHES_KEY_PREFIX + node, b"")

    async def write_withdrawn(self, service: str, rows: Sequence[WithdrawnVersion]) -> None:
        """Write the withdrawn versions of a service, in place of those written before.

        :raises LogError: the record was not written, or it is unknown whether it was.
        """
        await self._store.append_keyed(
            _NODES_TOPIC, _WITHDRAWN_KEY_PREFIX + service, codec.encode(rows)
        )

    async def read_directory(self) -> Directory:
        """Return the records of all nodes, and what they keep there for each other.

        Records that can't be decoded are left out.

        :raises LogError: the store gave no valid response.
        """
        newest = await self._store.read_newest(_NODES_TOPIC)
        directory = Directory([], [], {}, {}, {})
        for record in newest.records:
            try:
                _add_to_directory(directory, record)
            except MalformedMessageError as exc:
                logger.warning(
                    "node-record-malformed", extra={"key": record.key, "error": str(exc)}
                )
        return directory

    async def read_rollouts(self) -> list[Rollout]:
        """Return the recorded states of all rollouts, without those that can't be decoded.

        :raises LogError: the store gave no valid response.
        """
        newest = await self._store.read_newest(_STATUS_TOPIC)
        self._status_end = (newest.era, newest.end)
        rollouts = []
        for record in newest.records:
            if record.key.startswith(ROLLOUT_KEY_PREFIX) and record.value:
                try:
                    service = record.key.removeprefix(ROLLOUT_KEY_PREFIX)
                    rollouts.append(decode_rollout_status(service, record.value))
                except MalformedMessageError as exc:
                    logger.warning("status-malformed", extra={"key": record.key, "error": str(exc)})
        return rollouts

    async def write_rollout(self, rollout: Rollout) -> Rollout:
        """Record a rollout's state unless a final state is recorded; return the recorded state.

        :raises LogConflictError: another node has written to the topic since; retry the call.
        :raises LogError: the state was not written, or it is unknown whether it was.
        """
        final = await self._find_final_state(rollout)
        if final is not None:
            return final
        key, value = encode_rollout_status(rollout)
        status_end, self._status_end = self._status_end, None
        end = await self._store.append_keyed(
            _STATUS_TOPIC, key, value, expected_end=status_end[1] if status_end else None
        )
        self._status_end = (self._store.era, end)
        return rollout

    async def _find_final_state(self, rollout: Rollout) -> Rollout | None:
        era = self._status_end[0] if self._status_end is not None else -1
        if era == self._store.era and rollout.phase is Phase.RUNNING:
            return None
        for record in await self.read_rollouts():
            is_same_order = (record.service, record.order) == (rollout.service, rollout.order)
            if is_same_order and record.phase is not Phase.RUNNING:
                return record
        return None


def _apply_records(
    known: OperatorState, records: Iterable[KeyedRecord], position: int
) -> OperatorState:
    """Apply the operator's records to a state by offset, skipping malformed ones.

    :param position: position after the last record.
    """
    base = position - get_offset(position)
    config, orders, evacuated = known.config, dict(known.orders), set(known.evacuated)
    newest, outdated = None, known.config_outdated
    for record in sorted(records, key=lambda record: record.offset):
        if record.key.startswith(EVACUATION_KEY_PREFIX):
            data_centre = record.key.removeprefix(EVACUATION_KEY_PREFIX)
            (evacuated.add if record.value else evacuated.discard)(data_centre)
            continue
        if not record.value:
            continue
        try:
            if record.key == CONFIG_KEY:
                outdated = config is not None and config.accounts is not None
                newest = decode_config(record.value)
                outdated = False
            elif record.key.startswith(ROLLOUT_KEY_PREFIX):
                order: Order = decode_order(record.value, offset=base + record.offset)
                if order.offset > orders.get(order.service, order._replace(offset=-1)).offset:
                    orders[order.service] = order
        except MalformedMessageError as exc:
            logger.warning(
                "operator-record-malformed", extra={"key": record.key, "error": str(exc)}
            )
    if newest is not None and (config is None or newest.version >= config.version):
        config = newest
        _log_unreadable(config)
    return OperatorState(position, config, orders, tuple(sorted(evacuated)), outdated)


def _log_unreadable(config: Config) -> None:
    for reason in config.unreadable[:_MAX_LOGGED_ROWS]:
        logger.warning("config-row-unreadable", extra={"version": config.version, "reason": reason})
    if len(config.unreadable) > _MAX_LOGGED_ROWS:
        logger.warning(
            "config-rows-unreadable",
            extra={"version": config.version, "rows": len(config.unreadable)},
        )


def _add_to_directory(directory: Directory, record: KeyedRecord) -> None:
    kind, slash, name = record.key.partition("/")
    prefix = kind + slash
    if prefix == _REFUSAL_KEY_PREFIX:
        directory.refusals.append(_decode_refusal(record))
    elif prefix == _DEPARTURES_KEY_PREFIX:
        directory.departures[name] = _decode_departures(record)
    elif prefix == _CRASHES_KEY_PREFIX:
        directory.crash_reports[name] = _decode_crash_report(record)
    elif prefix == _WITHDRAWN_KEY_PREFIX:
        directory.withdrawn[name] = _decode_withdrawn(record)
    else:
        directory.nodes.append(_decode_node(record))


def _decode_node(record: KeyedRecord) -> NodeRecord:
    node = _decode(record, NodeRecord, step="decode-node")
    try:
        node.check()
    except ValueError as exc:
        raise MalformedMessageError(f"node can't be dialled: {exc}", step="decode-node") from exc
    if node.name != record.key:
        raise MalformedMessageError(f"record is of node {node.name[:80]!r}", step="decode-node")
    return node


def _make_refusal_key(fingerprint: bytes) -> str:
    return _REFUSAL_KEY_PREFIX + fingerprint.hex()


def _decode_refusal(record: KeyedRecord) -> Refusal:
    refusal = _decode(record, Refusal, step="decode-refusal")
    if _make_refusal_key(refusal.fingerprint) != record.key:
        raise MalformedMessageError("record is of another request", step="decode-refusal")
    times = [refusal.expires_at_ms, *(crash.started_at_ms for crash in refusal.crashes)]
    _check_times(times, step="decode-refusal")
    return refusal


def _decode_departures(record: KeyedRecord) -> tuple[Departure, ...]:
    departures = _decode(record, tuple[Departure, ...], step="decode-departures")
    _check_times([row.time_ms for row in departures], step="decode-departures")
    return departures


def _decode_crash_report(record: KeyedRecord) -> CrashReport:
    report = _decode(record, CrashReport, step="decode-crashes")
    times = [report.written_at_ms, *(row.crash.started_at_ms for row in report.rows)]
    _check_times(times, step="decode-crashes")
    return report


def _decode_withdrawn(record: KeyedRecord) -> tuple[WithdrawnVersion, ...]:
    rows = _decode(record, tuple[WithdrawnVersion, ...], step="decode-withdrawn")
    if not all(0 <= row.order <= MAX_INTEGER for row in rows):
        raise MalformedMessageError("order is out of range", step="decode-withdrawn")
    return rows


def _check_times(times_ms: Iterable[int], *, step: str) -> None:
    if not all(0 <= time_ms <= MAX_INTEGER for time_ms in times_ms):
        raise MalformedMessageError("time is out of range", step=step)


def _decode(record: KeyedRecord, kind: type[T], *, step: str) -> T:
    if len(record.value) > _MAX_NODE_BYTES:
        raise MalformedMessageError("record is too large", step=step)
    return codec.decode(record.value, kind, step=step)
