"""Keep the departures of a node's upstreams in the store, for when all nodes have ended."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final

from balsamhead.errors import LogError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamhead.mesh._departures import Departures
    from balsamhead.mesh._records import DepartureStore
    from balsamhead.mesh.model import Departure

__all__ = ("DepartureArchive",)

logger = logging.getLogger(__name__)

#: delay between attempts to write to the store, in s
_WRITE_RETRY_S: Final = 0.5


class DepartureArchive:
    """Write the departures that a node remembers whenever the store holds others.

    Nothing is written until it is known what the store holds from earlier runs of the node.
    """

    def __init__(self, node: str, departures: Departures, store: DepartureStore) -> None:
        self._node = node
        self._departures = departures
        self._store = store
        self._stored: tuple[Departure, ...] | None = None
        self._up_to_date = asyncio.Event()
        self._writing: asyncio.Task[None] | None = None

    def set_stored(self, departures: Sequence[Departure]) -> None:
        """Record what the store holds."""
        self._stored = tuple(departures)
        self.update()

    def update(self) -> None:
        """Begin to write, if the store holds other departures than the node remembers."""
        if self._stored is None:
            return
        if self._departures.list_newest() == self._stored:
            self._up_to_date.set()
            return
        self._up_to_date.clear()
        if self._writing is None or self._writing.done():
            self._writing = asyncio.get_running_loop().create_task(self._write())

    async def wait_until_stored(self, *, timeout_s: float) -> bool:
        """Wait until the store holds all departures; return False if it doesn't in time."""
        self.update()
        try:
            async with asyncio.timeout(timeout_s):
                await self._up_to_date.wait()
        except TimeoutError:
            return False
        return True

    def stop(self) -> None:
        """Cancel the write that is in progress or due."""
        if self._writing is not None:
            self._writing.cancel()

    async def _write(self) -> None:
        while (departures := self._departures.list_newest()) != self._stored:
            try:
                await self._store.write_departures(self._node, departures)
                self._stored = departures
            except LogError as exc:
                logger.warning("departures-not-written", extra={"error": str(exc)})
                await asyncio.sleep(_WRITE_RETRY_S)
        self._up_to_date.set()
