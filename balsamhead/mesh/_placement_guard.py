"""Deny the calls at the upstream of this VM that may not be served here."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from balsamhead.mesh._calls import Call
    from balsamhead.mesh._placement import Placement

__all__ = ("PlacementGuard",)

logger = logging.getLogger(__name__)


class PlacementGuard:
    """Check calls against the operator's restrictions, also while they wait for a slot."""

    def __init__(self) -> None:
        #: where the operator allows requests to be served; None for everywhere
        self.placement: Placement | None = None
        #: queued calls by the timeout that ends their wait
        self._waiting_calls: dict[asyncio.Timeout, Call] = {}

    def is_held(self) -> bool:
        """Return whether the upstream of this node gets no requests at all."""
        return self.placement is not None and bool(self.placement.hold_code)

    def find_misplacement(self, call: Call) -> str:
        """Return the code with which a call is refused since it may not be served here, or ""."""
        return "" if self.placement is None else self.placement.find_refusal_code(call)

    async def wait(self, call: Call, slot: Awaitable[bool]) -> bool:
        """Wait for a slot until the call may not be served here any more.

        :param slot: returns whether a slot was granted in time.
        :returns: False without a slot.
        """
        try:
            async with asyncio.timeout(None) as timeout:
                self._waiting_calls[timeout] = call
                try:
                    return await slot
                finally:
                    del self._waiting_calls[timeout]
        except TimeoutError:
            # the configuration or an evacuation forbids the call by now
            return False

    def deny_misplaced(self) -> None:
        """End the wait of the calls that may not be served here any more."""
        denied: Counter[str] = Counter()
        now = asyncio.get_running_loop().time()
        for timeout, call in self._waiting_calls.items():
            code = self.find_misplacement(call)
            if code:
                timeout.reschedule(now)
                denied[code] += 1
        for code, count in denied.items():
            logger.info("waiting-refused", extra={"code": code, "requests": count})
