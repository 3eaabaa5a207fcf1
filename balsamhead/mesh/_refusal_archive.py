"""Keep refusals of requests that crash upstreams in the store, for when all nodes have ended."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING, Final

from balsamhead.errors import LogError, MalformedMessageError
from balsamhead.mesh._crash_registry import check_rows
from balsamhead.mesh.model import Refusal, SuspectRow

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamhead.mesh._crash_registry import CrashRegistry
    from balsamhead.mesh._records import RefusalStore

__all__ = ("RefusalArchive",)

logger = logging.getLogger(__name__)

#: delay between attempts to write to the store, in s
_WRITE_RETRY_S: Final = 0.5


class RefusalArchive:
    """Write the refusals that begin with a crash of this node's upstream, and delete them again.

    A refusal whose node ends before it stays in the store, and is ignored once it is over.
    """

    def __init__(self, registry: CrashRegistry, store: RefusalStore) -> None:
        self._registry = registry
        self._store = store
        self._loop = asyncio.get_running_loop()
        self._tasks: dict[bytes, asyncio.Task[None]] = {}
        registry.on_refusal = self._begin

    def restore(self, refusals: Iterable[Refusal]) -> None:
        """Refuse what was refused when the records were written, unless that time is over."""
        now_ms = time.time_ns() // 1_000_000
        for refusal in refusals:
            if refusal.expires_at_ms <= now_ms:
                continue
            rows = [SuspectRow(refusal.fingerprint, crash) for crash in refusal.crashes]
            try:
                check_rows(rows, peer="store")
            except MalformedMessageError as exc:
                logger.warning("refusal-malformed", extra={"error": str(exc)})
                continue
            self._registry.add(rows, self._loop.time())

    def stop(self) -> None:
        """Cancel the writes that are in progress or due."""
        for task in self._tasks.values():
            task.cancel()

    def _begin(self, fingerprint: bytes, refusal_s: float) -> None:
        previous = self._tasks.get(fingerprint)
        if previous is not None:
            previous.cancel()
        task = self._loop.create_task(self._write_and_delete(fingerprint, refusal_s))
        self._tasks[fingerprint] = task
        task.add_done_callback(lambda done: self._forget(fingerprint, done))

    def _forget(self, fingerprint: bytes, task: asyncio.Task[None]) -> None:
        if self._tasks.get(fingerprint) is task:
            del self._tasks[fingerprint]

    async def _write_and_delete(self, fingerprint: bytes, refusal_s: float) -> None:
        expires_at = self._loop.time() + refusal_s
        crashes = tuple(self._registry.get_crashes(fingerprint))
        expires_at_ms = time.time_ns() // 1_000_000 + int(refusal_s * 1000)
        refusal = Refusal(fingerprint, crashes, expires_at_ms)
        while self._loop.time() < expires_at:
            try:
                await self._store.write_refusal(refusal)
                break
            except LogError as exc:
                logger.warning("refusal-not-written", extra={"error": str(exc)})
                await asyncio.sleep(_WRITE_RETRY_S)
        await asyncio.sleep(max(0.0, expires_at - self._loop.time()))
        try:
            await self._store.delete_refusal(fingerprint)
        except LogError as exc:
            logger.warning("refusal-not-deleted", extra={"error": str(exc)})
