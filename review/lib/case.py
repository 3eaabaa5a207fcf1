"""Run a case and turn its result into the exit code of its script."""

from __future__ import annotations

import asyncio
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from lib.deployment import Deployment

#: longest time of a case, in s
LIMIT_S = 110.0
#: exit codes
HELD, BROKEN, NOT_RUN = 0, 1, 2


def run_case(play: Callable[[Deployment], Awaitable[int]], folder: Path) -> None:
    """Play a case with a new deployment, end all that it started, and exit."""

    async def play_in_time() -> int:
        deployment = Deployment(folder)
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(LIMIT_S):
                return await play(deployment)
        finally:
            deployment.close()

    try:
        code = asyncio.run(play_in_time())
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        code = NOT_RUN
    sys.exit(code)
