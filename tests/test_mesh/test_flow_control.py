from __future__ import annotations

import asyncio

from balsamhead.mesh._flow_control import CHUNK_BYTES, PeerCredit, SendWindow
from tests.test_mesh.builders import run_virtual


async def send_chunks(window: SendWindow, count: int, *, within_s: float) -> int:
    """Return how many of some chunks were sent within a time."""
    sent = 0
    try:
        async with asyncio.timeout(within_s):
            for _ in range(count):
                await window.acquire(CHUNK_BYTES)
                sent += 1
    except TimeoutError:
        pass
    return sent


def test_only_a_window_is_in_flight_until_the_peer_grants_credit() -> None:
    async def main() -> None:
        window = SendWindow(PeerCredit())
        assert await send_chunks(window, 10, within_s=0.05) == 2
        window.grant(CHUNK_BYTES)
        assert await send_chunks(window, 10, within_s=5.0) == 1

    run_virtual(main)


# Guards against a response that never ends since the peer, of an earlier release, grants credit
# for 64 KiB at once and so never for a window of 16 KiB.
def test_peer_that_grants_credit_in_large_steps_gets_the_whole_response() -> None:
    async def main() -> None:
        credit = PeerCredit()
        window = SendWindow(credit)
        assert await send_chunks(window, 64, within_s=1.0) == 32
        window.grant(64 << 10)
        assert await send_chunks(window, 64, within_s=1.0) == 8
        assert not credit.granted_per_chunk

    run_virtual(main)


def test_sender_ends_when_its_link_closes() -> None:
    async def main() -> None:
        window = SendWindow(PeerCredit())
        window.remove_limit()
        assert await send_chunks(window, 10, within_s=0.05) == 10

    run_virtual(main)
