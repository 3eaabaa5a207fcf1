"""Make event loops that ask the kernel for events no more often than needed."""

from __future__ import annotations

import asyncio
import selectors
from typing import Final

__all__ = ("make_event_loop",)

#: rounds of ready callbacks after which the kernel is asked all the same
_MAX_ROUNDS: Final = 8


class _SparseSelector(selectors.EpollSelector):
    """Leave out calls that would not wait, while the loop has callbacks to run."""

    def __init__(self) -> None:
        super().__init__()
        self._rounds = 0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events; return none at once when the loop only looks in passing."""
        if timeout is not None and timeout <= 0 and self._rounds < _MAX_ROUNDS:
            self._rounds += 1
            return []
        self._rounds = 0
        return super().select(timeout)


def make_event_loop() -> asyncio.AbstractEventLoop:
    """Make an event loop for a daemon."""
    return asyncio.SelectorEventLoop(_SparseSelector())
