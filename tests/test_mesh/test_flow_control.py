from __future__ import annotations

import asyncio
from typing import NamedTuple

from balsamhead.mesh._flow_control import CHUNK_BYTES, InFlightLimit, PeerCredit, SendWindow
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
        credit = PeerCredit()
        credit.record(CHUNK_BYTES)
        window = SendWindow(InFlightLimit(), credit)
        assert await send_chunks(window, 10, within_s=5.0) == 2
        window.grant(CHUNK_BYTES)
        assert await send_chunks(window, 10, within_s=5.0) == 1

    run_virtual(main)


def test_responses_of_a_node_share_what_may_be_in_flight() -> None:
    async def main() -> None:
        limit, credit = InFlightLimit(), PeerCredit()
        first, second = SendWindow(limit, credit), SendWindow(limit, credit)
        assert await send_chunks(first, 10, within_s=0.01) == 2
        assert await send_chunks(second, 10, within_s=0.01) == 0
        first.grant(CHUNK_BYTES)
        assert await send_chunks(second, 10, within_s=0.01) == 1

    run_virtual(main)


# Guards against fast links being used for a window of 16 KiB a round trip only.
def test_window_grows_while_credit_comes_back_soon() -> None:
    async def main() -> None:
        limit = InFlightLimit()
        window = SendWindow(limit, PeerCredit())
        for _ in range(100):
            await window.acquire(CHUNK_BYTES)
            await asyncio.sleep(0.002)
            window.grant(CHUNK_BYTES)
        assert limit.window_bytes == 256 << 10

    run_virtual(main)


def test_window_shrinks_while_credit_comes_back_late() -> None:
    async def main() -> None:
        limit = InFlightLimit()
        limit.window_bytes = 256 << 10
        window = SendWindow(limit, PeerCredit())
        for _ in range(4):
            await window.acquire(CHUNK_BYTES)
            await asyncio.sleep(0.05)
            window.grant(CHUNK_BYTES)
        assert limit.window_bytes == 2 * CHUNK_BYTES

    run_virtual(main)


def test_oldest_response_is_sent_first() -> None:
    async def main() -> None:
        limit, credit = InFlightLimit(), PeerCredit()
        older, newer, last = (SendWindow(limit, credit) for _ in range(3))
        assert await send_chunks(last, 2, within_s=0.01) == 2
        tasks = [asyncio.create_task(send_chunks(row, 1, within_s=1.0)) for row in (newer, older)]
        await asyncio.sleep(0.01)
        last.grant(CHUNK_BYTES)
        await asyncio.sleep(0.01)
        assert [task.done() for task in tasks] == [False, True]

    run_virtual(main)


# Guards against one caller that stops reading holding up all other responses of the node.
def test_stalled_reader_does_not_hold_up_other_responses() -> None:
    async def main() -> None:
        limit, credit = InFlightLimit(), PeerCredit()
        credit.record(CHUNK_BYTES)
        stalled, other = SendWindow(limit, credit), SendWindow(limit, credit)
        assert await send_chunks(stalled, 10, within_s=0.01) == 2
        assert await send_chunks(other, 10, within_s=0.2) == 2

    run_virtual(main)


# Guards against waiting for ever for a peer that grants credit only for more than a window.
def test_peer_that_grants_credit_in_large_steps_gets_the_whole_response() -> None:
    async def main() -> None:
        credit = PeerCredit()
        window = SendWindow(InFlightLimit(), credit)
        assert await send_chunks(window, 64, within_s=1.0) == 32
        window.grant(64 << 10)
        assert await send_chunks(window, 64, within_s=1.0) == 8
        assert credit.in_large_steps

    run_virtual(main)


class Senders(NamedTuple):
    """A sender that has filled the window, and two that wait for it in this order."""

    first: SendWindow
    second: asyncio.Task[int]
    third: asyncio.Task[int]


async def start_senders() -> Senders:
    limit, credit = InFlightLimit(), PeerCredit()
    first, second, third = (SendWindow(limit, credit) for _ in range(3))
    assert await send_chunks(first, 2, within_s=0.01) == 2
    senders = Senders(
        first,
        asyncio.create_task(send_chunks(second, 1, within_s=1.0)),
        asyncio.create_task(send_chunks(third, 1, within_s=1.0)),
    )
    await asyncio.sleep(0.01)
    return senders


def test_turn_of_a_sender_cancelled_after_it_was_woken_goes_to_the_next() -> None:
    async def main() -> None:
        senders = await start_senders()
        senders.first.grant(CHUNK_BYTES)
        senders.second.cancel()
        await asyncio.sleep(0.01)
        assert senders.third.done()

    run_virtual(main)


def test_sender_ends_when_its_link_closes() -> None:
    async def main() -> None:
        window = SendWindow(InFlightLimit(), PeerCredit())
        window.close()
        assert await send_chunks(window, 10, within_s=0.05) == 10

    run_virtual(main)


def test_cancelled_sender_leaves_its_turn_to_the_next() -> None:
    async def main() -> None:
        senders = await start_senders()
        senders.second.cancel()
        senders.first.grant(CHUNK_BYTES)
        assert not senders.third.done()
        await asyncio.sleep(0.01)
        assert senders.third.done()

    run_virtual(main)
