"""Stand-in for the application worker of a machine."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from typing import NamedTuple

from lib.http import HEAD_LIMIT, Message, encode_response, read_message, send_request

#: time between two heartbeats, in s: `heartbeat` of the settings
HEARTBEAT_S = 1.5
#: time after which a worker that has crashed is back, in s
BACK_AFTER_S = 3.0


class Run(NamedTuple):
    """A request that the worker has run."""

    time: float
    request_id: str
    worker: str
    #: it crashed the worker
    fatal: bool


class Worker:
    """Run requests, one heartbeat each 1.5 s to the node of the same machine."""

    def __init__(
        self,
        worker_id: str,
        *,
        service: str,
        address: str,
        control: str,
        zone: str,
        version: str = "v1",
        slots: int = 6,
        work_s: float = 0.03,
        log: Callable[..., None],
    ) -> None:
        self.id = worker_id
        self.service = service
        self.address = address
        self.version = version
        self.state = "ready"
        self.runs: list[Run] = []
        #: a request for this path crashes the worker as it begins to run; empty for none
        self.fatal_path = ""
        self._control = control
        self._zone = zone
        self._slots = slots
        self._work_s = work_s
        self._log = log
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._running = 0
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._restart: asyncio.Task[None] | None = None
        self._down = False
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Serve requests and send heartbeats."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port), limit=HEAD_LIMIT)
        self._beats = asyncio.create_task(self._beat_repeatedly())

    def stop_beats(self) -> None:
        """Send no more heartbeats."""
        if self._beats is not None:
            self._beats.cancel()

    def crash(self) -> None:
        """End at once, and come back after some seconds as a new incarnation."""
        self._log("crash", worker=self.id)
        self._down = True
        self.stop_beats()
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self._restart = asyncio.create_task(self._come_back())

    async def _come_back(self) -> None:
        await asyncio.sleep(BACK_AFTER_S)
        self._down = False
        self.id = f"{self.id.partition('.')[0]}.{int(time.time())}"
        self._born, self._sequence, self._running = int(time.time() * 1000), 0, 0
        await self.start()
        self._log("back", worker=self.id)

    def make_heartbeat(self, **changes: object) -> dict[str, object]:
        """Return the body of the next heartbeat."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self._zone,
            "version": self.version,
            "slots": self._slots,
            "state": self.state,
            "cold_left": "0ms",
            "sequence": self._sequence,
            "born": self._born,
            **changes,
        }

    async def put(self, heartbeat: dict[str, object]) -> int:
        """Send a heartbeat; return the status of the answer, 0 for none."""
        return await self._call("PUT", json.dumps(heartbeat).encode())

    async def leave(self) -> int:
        """Send DELETE; return the status of the answer, 0 for none."""
        return await self._call("DELETE", b"")

    async def _call(self, method: str, body: bytes) -> int:
        headers = {"Host": "control", "Content-Type": "application/json"}
        try:
            answer = await send_request(
                self._control, method, f"/instances/{self.id}", body, headers=headers, timeout_s=1.0
            )
        except (OSError, EOFError):
            return 0
        return int(answer.start[1])

    async def _beat_repeatedly(self) -> None:
        while True:
            status = await self.put(self.make_heartbeat())
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.3)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                writer.write(await self._run(request))
                await writer.drain()
        except (OSError, EOFError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _run(self, request: Message) -> bytes:
        if self._down:
            raise EOFError
        request_id = request.headers.get("request-id", "")
        headers = {"Request-Id": request_id, "Instance-Id": self.id}
        if request.headers.get("target-instance", self.id) != self.id:
            return encode_response(421, b"", headers | {"Not-Executed": "1"})
        if self._running >= self._slots:
            return encode_response(503, b"", headers | {"Not-Executed": "1"})
        now = time.monotonic()
        fatal = request.start[1] == self.fatal_path
        self.runs.append(Run(now, request_id, self.id, fatal))
        self._log("run", worker=self.id, version=self.version, request=request_id)
        if fatal:
            self.crash()
            raise EOFError
        self._running += 1
        try:
            await asyncio.sleep(self._work_s)
        finally:
            self._running -= 1
        return encode_response(
            200, f"answer of {self.id}".encode(), headers | {"Server-Stamp": f"{self.id}.stamp"}
        )
