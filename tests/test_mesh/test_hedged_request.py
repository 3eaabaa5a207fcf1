from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from balsamhead.mesh._hedged_request import send_hedged
from tests.test_mesh.builders import run_virtual


async def respond(value: str, delay_s: float) -> str:
    await asyncio.sleep(delay_s)
    return value


async def fail(text: str, delay_s: float) -> str:
    await asyncio.sleep(delay_s)
    raise OSError(text)


def run(main: Callable[[], Awaitable[None]]) -> None:
    run_virtual(main)


def test_response_in_time_needs_no_second_request() -> None:
    async def main() -> None:
        second: list[str] = []

        async def make_second() -> str:
            second.append("sent")
            return "second"

        assert await send_hedged(respond("first", 0.2), make_second, delay_s=0.3) == "first"
        assert second == []

    run(main)


@pytest.mark.parametrize(
    ("first_s", "second_s", "expected", "took_s"),
    [(9.0, 0.1, "second", 0.4), (0.35, 0.1, "first", 0.35)],
)
def test_first_response_counts(
    first_s: float, second_s: float, expected: str, took_s: float
) -> None:
    async def main() -> None:
        started_at = asyncio.get_running_loop().time()
        result = await send_hedged(
            respond("first", first_s), lambda: respond("second", second_s), delay_s=0.3
        )
        assert result == expected
        assert asyncio.get_running_loop().time() - started_at == pytest.approx(took_s)

    run(main)


@pytest.mark.parametrize(("first_s", "second_s"), [(0.35, 1.0), (2.0, 1.0)])
def test_failure_of_one_request_waits_for_the_other(first_s: float, second_s: float) -> None:
    async def main() -> None:
        result = await send_hedged(
            fail("first", first_s), lambda: respond("second", second_s), delay_s=0.3
        )
        assert result == "second"

    run(main)


def test_error_is_raised_if_all_requests_fail() -> None:
    async def main() -> None:
        with pytest.raises(OSError, match="first"):
            await send_hedged(fail("first", 0.1), lambda: fail("second", 0.1), delay_s=0.3)
        with pytest.raises(OSError, match="first"):
            await send_hedged(fail("first", 2.0), lambda: fail("second", 0.1), delay_s=0.3)

    run(main)


def test_no_request_goes_on_after_its_sender_was_cancelled() -> None:
    async def main() -> None:
        ended: list[str] = []

        async def record(name: str) -> str:
            try:
                await asyncio.sleep(9.0)
            finally:
                ended.append(name)
            return name

        task = asyncio.ensure_future(
            send_hedged(record("first"), lambda: record("second"), delay_s=0.3)
        )
        await asyncio.sleep(0.5)
        task.cancel()
        await asyncio.sleep(0.1)
        assert sorted(ended) == ["first", "second"]

    run(main)
