from __future__ import annotations

import asyncio
import time

import pytest

from balsamhead.errors import LogUnavailableError
from balsamhead.mesh._crash_registry import CrashRegistry
from balsamhead.mesh._refusal_archive import RefusalArchive
from balsamhead.mesh.model import Crash, Refusal
from tests.test_mesh.builders import run_virtual

KEY = b"k" * 16
CRASHES = (Crash("n1", 1, False, True, "desk"), Crash("n2", 1, True, True, "desk"))


class Store:
    """Refusals by fingerprint; some writes fail."""

    def __init__(self, *, failures: int = 0) -> None:
        self.failures = failures
        self.refusals: dict[bytes, Refusal] = {}

    async def write_refusal(self, refusal: Refusal) -> None:
        if self.failures:
            self.failures -= 1
            raise LogUnavailableError("away", step="append-record")
        self.refusals[refusal.fingerprint] = refusal

    async def delete_refusal(self, fingerprint: bytes) -> None:
        self.refusals.pop(fingerprint, None)


def get_refusal_time(registry: CrashRegistry) -> float:
    return registry.get_refusal_time(KEY, "desk", asyncio.get_running_loop().time())


@pytest.mark.parametrize("failures", [0, 3])
def test_refusal_is_written_and_deleted_when_it_is_over(failures: int) -> None:
    async def main() -> None:
        registry, store = CrashRegistry("n1"), Store(failures=failures)
        archive = RefusalArchive(registry, store)
        registry.on_refusal(KEY, 60.0)
        await asyncio.sleep(2.0)
        assert store.refusals[KEY].fingerprint == KEY
        await asyncio.sleep(60.0)
        assert store.refusals == {}
        archive.stop()

    run_virtual(main)


def test_later_refusal_replaces_the_earlier_one_and_lasts_longer() -> None:
    async def main() -> None:
        registry, store = CrashRegistry("n1"), Store()
        RefusalArchive(registry, store)
        registry.on_refusal(KEY, 60.0)
        await asyncio.sleep(50.0)
        registry.on_refusal(KEY, 120.0)
        await asyncio.sleep(60.0)
        assert KEY in store.refusals
        await asyncio.sleep(61.0)
        assert store.refusals == {}

    run_virtual(main)


@pytest.mark.parametrize(("remaining_ms", "expected"), [(30_000, True), (-1, False)])
def test_refusal_is_restored_unless_it_is_over(remaining_ms: int, expected: bool) -> None:
    async def main() -> None:
        registry = CrashRegistry("n1")
        archive = RefusalArchive(registry, Store())
        now_ms = time.time_ns() // 1_000_000
        archive.restore([Refusal(KEY, CRASHES, now_ms + remaining_ms)])
        assert (get_refusal_time(registry) > 0.0) is expected

    run_virtual(main)


def test_malformed_refusal_is_not_restored() -> None:
    async def main() -> None:
        registry = CrashRegistry("n1")
        archive = RefusalArchive(registry, Store())
        expires_at_ms = time.time_ns() // 1_000_000 + 30_000
        archive.restore([Refusal(b"short", CRASHES, expires_at_ms)])
        assert len(registry) == 0

    run_virtual(main)
