"""Keep the crashes of a node's upstream in the store, for when all nodes have ended."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING, Final

from balsamhead.errors import MalformedMessageError
from balsamhead.mesh._crash_registry import check_rows
from balsamhead.mesh._stored_record import StoredRecord
from balsamhead.mesh.model import CrashReport, SuspectRow
from balsamhead.util.suspects import SUSPECT_TTL_S

if TYPE_CHECKING:
    from collections.abc import Mapping

    from balsamhead.mesh._crash_registry import CrashRegistry
    from balsamhead.mesh._records import CrashReportStore

__all__ = ("CrashArchive",)

logger = logging.getLogger(__name__)

#: maximum number of requests in the record of a node
_MAX_STORED_ROWS: Final = 32


class CrashArchive:
    """Write which requests were running when this node's upstream crashed.

    Requests that are cleared or forgotten leave the record with the next update.
    """

    def __init__(self, node: str, registry: CrashRegistry, store: CrashReportStore) -> None:
        self._node = node
        self._registry = registry
        self._store = store
        self._loop = asyncio.get_running_loop()
        self._record = StoredRecord(
            get_value=self._list_own_rows, write=self._write, failure_event="crashes-not-written"
        )
        registry.on_own_crash = self.update

    def restore(self, reports: Mapping[str, CrashReport]) -> None:
        """Suspect what was suspected when the records of all nodes were written."""
        now_ms = time.time_ns() // 1_000_000
        for node, report in reports.items():
            if now_ms - report.written_at_ms > SUSPECT_TTL_S * 1000:
                continue
            try:
                check_rows(report.rows, peer=node)
            except MalformedMessageError as exc:
                logger.warning("crash-report-malformed", extra={"error": str(exc)})
                continue
            self._registry.add(report.rows, self._loop.time())
        own_report = reports.get(self._node)
        self._record.set_stored(own_report.rows if own_report is not None else ())

    def update(self) -> None:
        """Begin to write, if other requests are suspected than the record says."""
        self._record.update()

    def stop(self) -> None:
        """Cancel the write that is in progress or due."""
        self._record.stop()

    def _list_own_rows(self) -> tuple[SuspectRow, ...]:
        rows = [row for row in self._registry.list_rows() if row.crash.node == self._node]
        rows.sort(key=lambda row: (row.crash.started_at_ms, row))
        return tuple(rows[-_MAX_STORED_ROWS:])

    async def _write(self, rows: tuple[SuspectRow, ...]) -> None:
        if rows:
            written_at_ms = time.time_ns() // 1_000_000
            await self._store.write_crash_report(self._node, CrashReport(written_at_ms, rows))
        else:
            await self._store.delete_crash_report(self._node)
