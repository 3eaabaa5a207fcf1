"""Keep a record in the store equal to what its node knows, for when all nodes have ended."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final, Generic, TypeVar

from balsamhead.errors import LogError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ("StoredRecord",)

logger = logging.getLogger(__name__)

T = TypeVar("T")

#: delay between attempts to write to the store, in s
_WRITE_RETRY_S: Final = 0.5


class StoredRecord(Generic[T]):
    """Write a value whenever the store holds another one.

    Nothing is written until it is known what the store holds from earlier runs of the node.
    """

    def __init__(
        self,
        *,
        get_value: Callable[[], T],
        write: Callable[[T], Awaitable[None]],
        failure_event: str,
    ) -> None:
        """Create the keeper of a record.

        :param get_value: returns the value that the store is to hold.
        :param write: writes a value to the store.
        :param failure_event: event of the log line of a failed write.
        """
        self._get_value = get_value
        self._write_value = write
        self._failure_event = failure_event
        self._stored: T | None = None
        self._up_to_date = asyncio.Event()
        self._writing: asyncio.Task[None] | None = None

    def set_stored(self, value: T) -> None:
        """Record what the store holds."""
        self._stored = value
        self.update()

    def update(self) -> None:
        """Begin to write, if the store holds another value."""
        if self._stored is None:
            return
        if self._get_value() == self._stored:
            self._up_to_date.set()
            return
        self._up_to_date.clear()
        if self._writing is None or self._writing.done():
            self._writing = asyncio.get_running_loop().create_task(self._write())

    async def wait_until_stored(self, *, timeout_s: float) -> bool:
        """Wait until the store holds the value; return False if it doesn't in time."""
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
        while (value := self._get_value()) != self._stored:
            try:
                await self._write_value(value)
                self._stored = value
            except LogError as exc:
                logger.warning(self._failure_event, extra={"error": str(exc)})
                await asyncio.sleep(_WRITE_RETRY_S)
        self._up_to_date.set()
