"""Bounds of what other processes decide the size of; docs/design/bounds.md lists them all."""

from __future__ import annotations

import struct

import pytest

from balsamhead.errors import LogError, MalformedMessageError
from balsamhead.mesh._departures import Departures
from balsamhead.mesh._frames import MAX_FRAME_BYTES, extract_frames
from balsamhead.mesh._server import HttpServer, Reply
from balsamhead.platform.records import PlatformRecords
from balsamhead.platform.store import StoreClient
from standin.platform_store import PlatformStore
from tests.test_mesh.builders import LIMITS, NODE_1, STORE, run_virtual, send, start_cluster


def test_frame_above_its_bound_is_rejected_by_its_length() -> None:
    data = struct.pack(">IBII", MAX_FRAME_BYTES + 1, 31, 0, 0)
    with pytest.raises(MalformedMessageError):
        extract_frames(bytearray(data))


def test_heartbeat_above_its_bound_is_refused() -> None:
    async def main() -> None:
        await start_cluster(NODE_1)
        body = b" " * ((64 << 10) + 1)
        response = await send(NODE_1.announce_address, "PUT", "/instances/i-1", body)
        assert response.status == 413

    run_virtual(main)


@pytest.mark.parametrize("key", ["node-1", "departures/node-1", "crashes/node-1", "refusal/00"])
def test_record_above_its_bound_is_not_decoded(key: str) -> None:
    async def main() -> None:
        store = PlatformStore()
        await store.start(STORE)
        store.put("keyed.nodes", key, b"\x80" * 5000)
        directory = await PlatformRecords(StoreClient(STORE)).read_directory()
        assert not any(directory)

    run_virtual(main)


def test_response_of_the_store_above_its_bound_fails_the_call() -> None:
    async def main() -> None:
        server = HttpServer(answer, get_limits=lambda: LIMITS)
        await server.start(STORE)
        with pytest.raises(LogError):
            await StoreClient(STORE).read_newest("keyed.op")

    async def answer(request: object) -> Reply:
        del request
        return Reply(200, bytes((8 << 20) + 1))

    run_virtual(main)


def test_oldest_departures_are_forgotten() -> None:
    departures = Departures()
    for number in range(300):
        departures.add_incarnation(f"i-{number}", number)
        departures.add_unannounced(f"j-{number}", number)
    assert len(departures._sequences) == len(departures._unannounced) == 256
    assert min(key[1] for key in departures._sequences) == 44
