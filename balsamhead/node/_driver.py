"""Feed events and ticks to the core of a node and execute the commands that it returns."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import Counter, deque
from concurrent.futures import Future, ThreadPoolExecutor
from typing import TYPE_CHECKING, Final, Protocol, assert_never

from balsamhead import commands, events
from balsamhead.errors import LogOutcomeUnknownError, LogUnavailableError, OperatorError

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamhead.commands import Command
    from balsamhead.events import Event
    from balsamhead.log import Log
    from balsamhead.node._core import Core
    from balsamhead.operator_responses import OperatorResponse
    from balsamhead.util.clock import Clock
    from balsamhead.wire import Message

__all__ = ("Driver", "LinkPort")

logger = logging.getLogger(__name__)

#: maximum number of records that one read of the log returns
MAX_READ_RECORDS: Final = 256

#: number of concurrent reads of the log; each may be a long poll
READ_THREADS: Final = 2

#: number of concurrent appends to the log
APPEND_THREADS: Final = 1

#: maximum number of operator requests that await a response
MAX_PENDING_REQUESTS: Final = 64

#: attribute names of a log record, which ``extra`` must not overwrite
_RESERVED_FIELDS: Final = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}

_LOG_LEVELS: Final = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class LinkPort(Protocol):
    """Interface of the links to peers, as the driver uses it."""

    def connect(self, address: str) -> None:
        """Start to open a link and return at once."""

    def send(self, peer: str, message: Message) -> None:
        """Send a message, or drop it if the link is down."""

    def close(self, peer: str, reason: str) -> None:
        """Close the link to a peer."""


class Driver:
    """Run the core in the thread of one event loop; other threads post events to it."""

    def __init__(self, core: Core, *, log: Log, clock: Clock) -> None:
        self._core = core
        self._log = log
        self._clock = clock
        self._links: LinkPort | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._queue: deque[Event] = deque()
        self._is_processing = False
        #: number of finished log requests by kind and outcome
        self.log_requests: Counter[tuple[str, str]] = Counter()
        #: CPU time spent in the core and in executing its commands, in s
        self.cpu_time_s = 0.0
        self._pending_requests: dict[str, Future[OperatorResponse]] = {}
        self._read_pool = ThreadPoolExecutor(READ_THREADS, thread_name_prefix="log-read")
        self._append_pool = ThreadPoolExecutor(APPEND_THREADS, thread_name_prefix="log-append")

    def start(self, links: LinkPort) -> None:
        """Attach the driver to the running event loop and to the links."""
        self._links = links
        self._loop = asyncio.get_running_loop()

    def stop(self) -> None:
        """Cancel queued log requests and accept no more; running ones end by their timeouts."""
        self._read_pool.shutdown(wait=False, cancel_futures=True)
        self._append_pool.shutdown(wait=False, cancel_futures=True)

    def post(self, event: Event) -> None:
        """Schedule an event for handling in the event loop; callable from any thread.

        The event is dropped if the driver was not started or its loop is closed.
        """
        loop = self._loop
        if loop is None or loop.is_closed():
            return
        loop.call_soon_threadsafe(self.handle, event)

    def submit(self, event: Event) -> Future[OperatorResponse]:
        """Post an operator request and return a future of its response.

        :raises OperatorError: too many requests await a response.
        """
        request_id = getattr(event, "request_id", "")
        if len(self._pending_requests) >= MAX_PENDING_REQUESTS:
            raise OperatorError(
                "too many requests are pending; try again later",
                step="submit-request",
                code="operator-port-busy",
            )
        fut: Future[OperatorResponse] = Future()
        self._pending_requests[request_id] = fut
        fut.add_done_callback(lambda _: self._pending_requests.pop(request_id, None))
        self.post(event)
        return fut

    def handle(self, event: Event) -> None:
        """Handle an event and execute the resulting commands; call only in the loop's thread.

        Events raised by these commands are queued and handled after the current event.
        """
        self._queue.append(event)
        if self._is_processing:
            return
        self._is_processing = True
        started_at = time.thread_time()
        try:
            self._process_queue()
        finally:
            self._is_processing = False
            self.cpu_time_s += time.thread_time() - started_at

    def tick(self) -> None:
        """Adjust the clock, tick the core once and execute the resulting commands."""
        started_at = time.thread_time()
        self._clock.adjust()
        for command in self._core.tick(self._clock.get_now()):
            self._execute(command)
        self.cpu_time_s += time.thread_time() - started_at

    def _process_queue(self) -> None:
        while self._queue:
            event = self._queue.popleft()
            self._count_log_request(event)
            try:
                for command in self._core.handle(event, self._clock.get_now()):
                    self._execute(command)
            except Exception:
                # a failure on one event must not prevent the handling of the next ones
                logger.exception("event handling failed", extra={"event": type(event).__name__})

    def _count_log_request(self, event: Event) -> None:
        match event:
            case events.LogRead():
                self.log_requests["read", "answered"] += 1
            case events.LogReadFailed(code=code):
                self.log_requests["read", code] += 1
            case events.AppendFinished():
                self.log_requests["append", "answered"] += 1
            case events.AppendFailed(code=code):
                self.log_requests["append", code] += 1

    def _execute(self, command: Command) -> None:
        assert self._links is not None, "the driver was not started"
        match command:
            case commands.Send(peer=peer, message=message):
                self._links.send(peer, message)
            case commands.Connect(address=address):
                self._links.connect(address)
            case commands.CloseLink(peer=peer, reason=reason):
                self._links.close(peer, reason)
            case commands.ReadLog():
                self._run_in_pool(self._read_pool, lambda: self._read_log(command))
            case commands.Append():
                self._run_in_pool(self._append_pool, lambda: self._append(command))
            case commands.Reply(request_id=request_id, response=response):
                self._resolve_request(request_id, response)
            case commands.WriteLogLine(level=level, message=text, fields=fields):
                logger.log(
                    _LOG_LEVELS.get(level, logging.INFO),
                    text,
                    extra=_escape_reserved_fields(fields),
                )
            case _:
                assert_never(command)

    def _run_in_pool(self, pool: ThreadPoolExecutor, log_request: Callable[[], Event]) -> None:
        def run() -> None:
            self.post(log_request())

        try:
            pool.submit(run)
        except RuntimeError:
            logger.info("log request dropped: the node is stopping")

    def _read_log(self, command: commands.ReadLog) -> Event:
        try:
            batch = self._log.read(
                command.stream, start=command.start, limit=MAX_READ_RECORDS, wait_s=command.wait_s
            )
        except LogUnavailableError as exc:
            return events.LogReadFailed(command.stream, exc.error_code)
        except Exception:
            logger.exception("log read failed unexpectedly", extra={"stream": command.stream})
            return events.LogReadFailed(command.stream, "log-failed")
        return events.LogRead(command.stream, command.start, batch)

    def _append(self, command: commands.Append) -> Event:
        try:
            offset = self._log.append(command.stream, command.data)
        except LogUnavailableError as exc:
            return events.AppendFailed(command.record_id, False, exc.error_code)
        except LogOutcomeUnknownError as exc:
            return events.AppendFailed(command.record_id, True, exc.error_code)
        except Exception:
            logger.exception("log append failed unexpectedly", extra={"stream": command.stream})
            return events.AppendFailed(command.record_id, True, "log-failed")
        return events.AppendFinished(command.record_id, offset)

    def _resolve_request(self, request_id: str, response: OperatorResponse) -> None:
        fut = self._pending_requests.get(request_id)
        if fut is not None and not fut.done():
            fut.set_result(response)


def _escape_reserved_fields(fields: dict[str, str | int | float]) -> dict[str, str | int | float]:
    return {f"{key}_" if key in _RESERVED_FIELDS else key: value for key, value in fields.items()}
