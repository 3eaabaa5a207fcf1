"""Send a second request if the response to the first is overdue."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

__all__ = ("send_hedged",)

T = TypeVar("T")


async def send_hedged(
    first: Coroutine[None, None, T],
    make_second: Callable[[], Coroutine[None, None, T]],
    *,
    delay_s: float,
) -> T:
    """Return the first successful result of a request and, if it is overdue, of a second one.

    :param delay_s: time after which the response to the first request is overdue, in s.
    :raises Exception: the error of the last request that failed, if all have failed.
    """
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(first)]
    try:
        done, pending = await asyncio.wait(tasks, timeout=delay_s)
        if not done:
            tasks.append(loop.create_task(make_second()))
            done, pending = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        while pending and all(task.exception() is not None for task in done):
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            if task.exception() is None:
                return task.result()
        return next(iter(done)).result()
    finally:
        for task in tasks:
            task.cancel()
