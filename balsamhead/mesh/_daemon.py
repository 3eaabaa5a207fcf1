"""Run a mesh node as a process: load settings, handle signals, reload a changed settings file."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
from pathlib import Path
from typing import TYPE_CHECKING, Final

from balsamhead.errors import SettingsError
from balsamhead.mesh._node import MeshNode
from balsamhead.mesh._settings import MeshSettings, load_mesh_settings
from balsamhead.platform.records import PlatformRecords
from balsamhead.platform.store import StoreClient
from balsamhead.util.logs import configure_bounded_logging
from balsamhead.util.loop import make_event_loop

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("run_mesh_node",)

logger = logging.getLogger(__name__)

#: interval at which the settings file is checked for changes, in s
_SETTINGS_POLL_INTERVAL_S: Final = 2.0


def run_mesh_node(path: str) -> int:
    """Run a mesh node until it is stopped by a signal, and return the exit code.

    :param path: path of the settings file.
    :raises SettingsError: the settings are unreadable or invalid.
    """
    cfg = load_mesh_settings(path)
    configure_bounded_logging(level=cfg.log_level, node=cfg.node)
    with asyncio.Runner(loop_factory=make_event_loop) as runner:
        runner.run(_run(cfg, path))
    return 0


async def _run(cfg: MeshSettings, path: str) -> None:
    store = StoreClient(cfg.store_address)
    node = MeshNode(cfg, records=PlatformRecords(store), store=store)
    loop = asyncio.get_running_loop()

    def reload() -> None:
        try:
            node.reload(load_mesh_settings(path))
        except SettingsError as exc:
            logger.error("settings-refused", extra={"error": str(exc)})

    loop.add_signal_handler(signal.SIGTERM, node.stop)
    loop.add_signal_handler(signal.SIGINT, node.stop)
    loop.add_signal_handler(signal.SIGHUP, reload)
    watcher = loop.create_task(_watch_file(path, reload))
    try:
        await node.run()
    finally:
        watcher.cancel()


async def _watch_file(path: str, reload: Callable[[], None]) -> None:
    last_stamp = _get_file_stamp(path)
    while True:
        await asyncio.sleep(_SETTINGS_POLL_INTERVAL_S)
        stamp = _get_file_stamp(path)
        if stamp != last_stamp:
            last_stamp = stamp
            reload()


def _get_file_stamp(path: str) -> tuple[int, int]:
    try:
        status = os.stat(Path(path))
    except OSError as exc:
        logger.warning("settings-unreadable", extra={"error": repr(exc)})
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)
