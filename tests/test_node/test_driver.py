from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from balsamhead import commands, events
from balsamhead.errors import LogOutcomeUnknownError, LogUnavailableError, OperatorError
from balsamhead.log import Batch
from balsamhead.membership import Place
from balsamhead.node import Core, Driver, Identity, Tables
from balsamhead.node._driver import MAX_PENDING_REQUESTS
from balsamhead.operator_responses import PublishResponse
from balsamhead.util.clock import Clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamhead.commands import Command
    from balsamhead.events import Event
    from balsamhead.wire import Message

IDENTITY = Identity("n1", 1, Place("dc", "region"), "127.0.0.1:1", "trial")


class RecordingSystem:
    """Record the handled events and return the commands of a callback."""

    def __init__(self, respond: Callable[[Event], list[Command]]) -> None:
        self.handled: list[Event] = []
        self._respond = respond

    def handle(self, event: Event, now: float) -> list[Command]:
        self.handled.append(event)
        return self._respond(event)

    def tick(self, now: float) -> list[Command]:
        return []


class RecordingLinks:
    """Record sent messages, fail each connect, and report each close as an event."""

    def __init__(self, driver: Driver) -> None:
        self.sent: list[tuple[str, Message]] = []
        self._driver = driver

    def connect(self, address: str) -> None:
        self._driver.handle(events.ConnectFailed(address, "refused"))

    def send(self, peer: str, message: Message) -> None:
        self.sent.append((peer, message))

    def close(self, peer: str, reason: str) -> None:
        self._driver.handle(events.LinkClosed(peer, reason))


class FailingLog:
    """Raise a given exception on each append, and return no records on each read."""

    def __init__(self, exc: Exception) -> None:
        self._exc = exc

    def append(self, stream: str, data: bytes) -> int:
        raise self._exc

    def read(self, stream: str, *, start: int, limit: int, wait_s: float) -> Batch:
        return Batch(0, start, ())


def make_driver(system: RecordingSystem, exc: Exception) -> Driver:
    return Driver(Core(Tables(IDENTITY), (system,)), log=FailingLog(exc), clock=Clock())


def run_append(exc: Exception) -> events.AppendFailed:
    async def run() -> events.AppendFailed:
        done = asyncio.get_running_loop().create_future()

        def respond(event: Event) -> list[Command]:
            match event:
                case events.StopRequested():
                    return [commands.Append("trial", "r1", b"data")]
                case events.AppendFailed():
                    done.set_result(event)
            return []

        driver = make_driver(RecordingSystem(respond), exc)
        driver.start(RecordingLinks(driver))
        driver.handle(events.StopRequested())
        failed: events.AppendFailed = await done
        driver.stop()
        return failed

    return asyncio.run(run())


@pytest.mark.parametrize(
    ("exc", "may_be_written"),
    [
        (LogUnavailableError("refused", step="append"), False),
        (LogOutcomeUnknownError("no answer", step="append"), True),
        (RuntimeError("unexpected"), True),
    ],
)
def test_append_failure_reports_whether_record_may_be_written(
    exc: Exception, may_be_written: bool
) -> None:
    assert run_append(exc).may_be_written is may_be_written


def test_event_raised_by_command_is_handled_after_current_event() -> None:
    order: list[str] = []

    def respond(event: Event) -> list[Command]:
        order.append(type(event).__name__)
        if isinstance(event, events.StopRequested):
            return [commands.CloseLink("p", "stop"), commands.Connect("127.0.0.1:2")]
        return []

    async def run() -> None:
        driver = make_driver(RecordingSystem(respond), RuntimeError())
        driver.start(RecordingLinks(driver))
        driver.handle(events.StopRequested())

    asyncio.run(run())
    assert order == ["StopRequested", "LinkClosed", "ConnectFailed"]


def test_handler_failure_does_not_block_next_event() -> None:
    def respond(event: Event) -> list[Command]:
        if isinstance(event, events.StopRequested):
            raise ValueError("no such row")
        return []

    system = RecordingSystem(respond)

    async def run() -> None:
        driver = make_driver(system, RuntimeError())
        driver.start(RecordingLinks(driver))
        driver.handle(events.StopRequested())
        driver.handle(events.LinkClosed("p", "gone"))

    asyncio.run(run())
    assert [type(event) for event in system.handled] == [events.StopRequested, events.LinkClosed]


def test_second_reply_is_ignored_and_excess_requests_are_refused() -> None:
    answer = PublishResponse("accepted", "", "", 3, "00")

    def respond(event: Event) -> list[Command]:
        if isinstance(event, events.StatusRequested) and event.request_id == "r0":
            return [commands.Reply("r0", answer), commands.Reply("r0", answer)]
        return []

    async def run() -> None:
        driver = make_driver(RecordingSystem(respond), RuntimeError())
        driver.start(RecordingLinks(driver))
        first = driver.submit(events.StatusRequested("r0"))
        assert await asyncio.wrap_future(first) == answer
        for number in range(1, MAX_PENDING_REQUESTS + 1):
            driver.submit(events.StatusRequested(f"r{number}"))
        with pytest.raises(OperatorError) as caught:
            driver.submit(events.StatusRequested("one-too-many"))
        assert caught.value.error_code == "operator-port-busy"

    asyncio.run(run())
