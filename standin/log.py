"""Serve a replacement for the platform's append-only log, with fault injection."""

from __future__ import annotations

import argparse
import json
import signal
import threading
import time
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import parse_qs, unquote

import msgspec
from cheroot import wsgi

from balsamhead.log import Batch, Entry
from balsamhead.util import codec

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = ("Faults", "LogServer", "MemoryLog", "TooManyAppendsError", "main")

#: response header that says that the append had no effect
NOT_WRITTEN_HEADER: Final = "X-Log-Not-Written"

#: upper limit of the long-poll time of a read, in s
MAX_WAIT_S: Final = 60.0

#: number of requests served concurrently, including reads that wait for records
THREADS: Final = 48


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that the log injects.

    :ivar answer_delay_s: delay of each response to a read or an append, in s.
    :ivar lost_answers: number of upcoming appends that are stored without a response.
    :ivar refuse_for_s: time for which all reads and appends are refused, in s.
    :ivar appends_per_s: rate above which appends are refused; 0 for no limit.
    :ivar retention_records: number of newest records that each stream keeps; 0 for no limit.
    :ivar empty: delete all records once and restart the offsets at 0.
    """

    answer_delay_s: float = 0.0
    lost_answers: int = 0
    refuse_for_s: float = 0.0
    appends_per_s: float = 0.0
    retention_records: int = 0
    empty: bool = False


class TooManyAppendsError(Exception):
    """Raised when an append exceeds the configured rate."""


class _Stream:
    def __init__(self) -> None:
        self.first = 0
        self.records: list[bytes] = []

    @property
    def end(self) -> int:
        return self.first + len(self.records)


class MemoryLog:
    """Store streams of records in memory; thread-safe."""

    def __init__(self, *, retention_records: int = 0) -> None:
        self.retention_records = retention_records
        self.appends = 0
        self._streams: dict[str, _Stream] = {}
        self._changed = threading.Condition()

    def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset."""
        with self._changed:
            stored = self._streams.setdefault(stream, _Stream())
            stored.records.append(data)
            self.appends += 1
            self._apply_retention(stored)
            self._changed.notify_all()
            return stored.end - 1

    def read(self, stream: str, *, start: int, limit: int, wait_s: float) -> Batch:
        """Return up to ``limit`` records from offset ``start`` on.

        At the end of the stream, wait up to ``wait_s`` for a record. A start beyond the
        end returns at once.
        """
        with self._changed:
            stored = self._streams.setdefault(stream, _Stream())
            self._changed.wait_for(lambda: start != stored.end, timeout=wait_s)
            stored = self._streams.setdefault(stream, _Stream())
            index = max(0, start - stored.first)
            records = stored.records[index : index + limit]
            entries = tuple(Entry(stored.first + index + i, data) for i, data in enumerate(records))
            return Batch(stored.first, stored.end, entries)

    def set_retention(self, records: int) -> None:
        """Keep only the newest ``records`` records of each stream; 0 for no limit."""
        with self._changed:
            self.retention_records = records
            for stored in self._streams.values():
                self._apply_retention(stored)

    def clear(self) -> None:
        """Delete all records and restart the offsets at 0."""
        with self._changed:
            for stored in self._streams.values():
                stored.first = 0
                stored.records = []
            self._changed.notify_all()

    def _apply_retention(self, stored: _Stream) -> None:
        excess = len(stored.records) - self.retention_records
        if self.retention_records and excess > 0:
            del stored.records[:excess]
            stored.first += excess


class LogServer:
    """Serve a log over HTTP in background threads."""

    def __init__(
        self,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        retention_records: int = 0,
        appends_per_s: float = 0.0,
    ) -> None:
        self.log = MemoryLog(retention_records=retention_records)
        self.faults = Faults(appends_per_s=appends_per_s, retention_records=retention_records)
        self._refuse_until = 0.0
        self._tokens = 1.0
        self._refilled_at = time.monotonic()
        self._lock = threading.Lock()
        self._server = wsgi.Server((host, port), self._handle, numthreads=THREADS)
        self._server.gateway = _Gateway
        self._server.shutdown_timeout = 0.2
        self._thread: threading.Thread | None = None

    @property
    def url(self) -> str:
        """Return the base URL; a port chosen by the system is known only after ``start``."""
        host, port = self._server.bind_addr[:2]
        return f"http://{host}:{port}"

    def start(self) -> None:
        """Bind the port and start to serve requests."""
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Close the port and stop the threads."""
        self._server.stop()
        if self._thread is not None:
            self._thread.join(timeout=5)

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults, apply the retention and delete all records if ``empty`` is set."""
        with self._lock:
            self.faults = faults
            self._refuse_until = time.monotonic() + faults.refuse_for_s
            self._tokens = min(self._tokens, max(1.0, faults.appends_per_s))
        self.log.set_retention(faults.retention_records)
        if faults.empty:
            self.log.clear()

    def _handle(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path == "/faults":
            return self._handle_faults(environ, start_response)

        parts = path.strip("/").split("/")
        if len(parts) != 3 or (parts[0], parts[2]) != ("streams", "records"):
            return _respond(start_response, "404 Not Found", b"")
        if time.monotonic() < self._refuse_until:
            return _refuse(start_response, "503 Service Unavailable")

        stream = unquote(parts[1])
        if environ["REQUEST_METHOD"] == "POST":
            return self._handle_append(stream, environ, start_response)
        return self._handle_read(stream, environ, start_response)

    def _handle_append(
        self, stream: str, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        data = environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
        try:
            self._acquire_append_token()
        except TooManyAppendsError:
            return _refuse(start_response, "429 Too Many Requests")

        offset = self.log.append(stream, data)
        time.sleep(self.faults.answer_delay_s)
        if self._should_drop_response():
            environ["standin.lose"]()
        return _respond(
            start_response, "201 Created", json.dumps({"offset": offset}).encode(), "json"
        )

    def _handle_read(
        self, stream: str, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        query = parse_qs(environ.get("QUERY_STRING", ""))
        try:
            start = int(query["start"][0])
            limit = int(query["limit"][0])
            wait_s = min(float(query["wait_s"][0]), MAX_WAIT_S)
        except (KeyError, ValueError):
            return _respond(start_response, "400 Bad Request", b"")

        batch = self.log.read(stream, start=start, limit=limit, wait_s=wait_s)
        time.sleep(self.faults.answer_delay_s)
        if time.monotonic() < self._refuse_until:
            return _refuse(start_response, "503 Service Unavailable")
        return _respond(start_response, "200 OK", codec.encode(batch))

    def _handle_faults(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        if environ["REQUEST_METHOD"] == "POST":
            data = environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
            try:
                self.set_faults(msgspec.json.decode(data, type=Faults))
            except msgspec.DecodeError as exc:
                return _respond(start_response, "400 Bad Request", str(exc).encode(), "json")
        return _respond(start_response, "200 OK", msgspec.json.encode(self.faults), "json")

    def _acquire_append_token(self) -> None:
        with self._lock:
            rate = self.faults.appends_per_s
            if not rate:
                return
            now = time.monotonic()
            refill = (now - self._refilled_at) * rate
            self._refilled_at = now
            self._tokens = min(max(1.0, rate), self._tokens + refill)
            if self._tokens < 1.0:
                raise TooManyAppendsError
            self._tokens -= 1.0

    def _should_drop_response(self) -> bool:
        with self._lock:
            if self.faults.lost_answers <= 0:
                return False
            self.faults.lost_answers -= 1
            return True


class _Gateway(wsgi.Gateway_10):
    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        environ: dict[str, Any] = super().get_environ()  # type: ignore[no-untyped-call]
        environ["standin.lose"] = self._drop_response
        return environ

    def _drop_response(self) -> None:
        self.req.close_connection = True
        self.req.conn.linger = False
        self.req.conn.socket.shutdown(2)


def _respond(
    start_response: Callable[..., Any], status: str, body: bytes, subtype: str = "cbor"
) -> Iterable[bytes]:
    headers = [("Content-Type", f"application/{subtype}"), ("Content-Length", str(len(body)))]
    start_response(status, headers)
    return [body]


def _refuse(start_response: Callable[..., Any], status: str) -> Iterable[bytes]:
    start_response(status, [(NOT_WRITTEN_HEADER, "1"), ("Content-Length", "0")])
    return [b""]


def main() -> None:
    """Serve until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog="python -m standin.log", description=__doc__)
    parser.add_argument("--address", default="127.0.0.1:7000", help="address:port to listen on")
    parser.add_argument("--retention-records", type=int, default=0)
    parser.add_argument("--appends-per-s", type=float, default=0.0)
    args = parser.parse_args()

    host, _, port = args.address.rpartition(":")
    server = LogServer(
        host=host,
        port=int(port),
        retention_records=args.retention_records,
        appends_per_s=args.appends_per_s,
    )
    stop_requested = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_requested.set())
    server.start()
    print(f"log listens on {server.url}", flush=True)
    stop_requested.wait()
    server.stop()


if __name__ == "__main__":
    main()
