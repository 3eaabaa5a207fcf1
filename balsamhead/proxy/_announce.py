"""Receive the announcements of the upstream on this node's VM and detect its loss."""

from __future__ import annotations

import json
import logging
import socket
import threading
import time
from typing import TYPE_CHECKING, Annotated, NamedTuple

import msgspec
from cheroot.server import Gateway, HTTPServer

from balsamhead.events import Event, UpstreamAnnounced, UpstreamLost
from balsamhead.membership import UpstreamState

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("AnnounceConfig", "AnnounceServer")

logger = logging.getLogger(__name__)

#: path to which an upstream sends its announcements
_ANNOUNCE_PATH = b"/v1/upstream"
#: maximum size of the body of an announcement, in bytes
_MAX_BODY_BYTES = 4096
#: maximum size of the request head of an announcement, in bytes
_MAX_HEADER_BYTES = 8192
#: worker threads; few suffice because a single upstream announces itself here
_WORKER_THREADS = 2
#: interval at which the upstream is checked, in s
_CHECK_INTERVAL_S = 0.25
#: time without an announcement after which the upstream is probed by connecting to it, in s
_PROBE_AFTER_S = 0.75
#: timeout of the probe connection, in s
_PROBE_TIMEOUT_S = 0.25

_Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
_Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
_Count = Annotated[int, msgspec.Meta(ge=1, le=65536)]
_ProcessId = Annotated[int, msgspec.Meta(ge=1, le=1 << 40)]


class AnnounceConfig(NamedTuple):
    """Configuration of the announce port."""

    #: address of the VM; announcements from other addresses are refused
    host: str
    port: int
    #: time without an announcement after which the upstream is reported as lost, in s
    silence_timeout_s: float = 2.0


class _Announcement(msgspec.Struct, frozen=True):
    """JSON body of an announcement."""

    service: _Name
    version: _Name
    host: str
    port: _Port
    slots: _Count
    connections: _Count
    state: UpstreamState
    process: _ProcessId

    def to_event(self) -> UpstreamAnnounced:
        return UpstreamAnnounced(
            service=self.service,
            version=self.version,
            host=self.host,
            port=self.port,
            slots=self.slots,
            connections=self.connections,
            state=self.state,
            process=self.process,
        )


class _Rejection(NamedTuple):
    """Error response to an invalid announcement."""

    status: bytes
    code: str
    reason: str


class _AnnounceGateway(Gateway):
    """Handle one request on the announce port."""

    def respond(self) -> None:
        """Process an announcement and send the response."""
        req = self.req
        rejection = self._handle_announcement(req.server.announce_server)
        payload = {} if rejection is None else {"code": rejection.code, "reason": rejection.reason}
        body = json.dumps(payload).encode()
        req.status = b"200 OK" if rejection is None else rejection.status
        req.outheaders = [
            (b"Content-Length", str(len(body)).encode()),
            (b"Content-Type", b"application/json"),
        ]
        req.close_connection = req.close_connection or rejection is not None
        req.ensure_headers_sent()
        req.write(body)

    def _handle_announcement(self, announce_server: AnnounceServer) -> _Rejection | None:
        req = self.req
        peer = req.conn.remote_addr
        if peer != announce_server.cfg.host:
            logger.warning("announcement refused", extra={"peer": peer, "step": "announce"})
            return _Rejection(
                b"403 Forbidden", "authentication-failed", "announce from the upstream's own VM"
            )
        if req.uri != _ANNOUNCE_PATH:
            return _Rejection(b"404 Not Found", "path-unknown", "use /v1/upstream")
        if req.method != b"PUT":
            return _Rejection(b"405 Method Not Allowed", "method-not-allowed", "use PUT")
        try:
            announcement = msgspec.json.decode(req.rfile.read(_MAX_BODY_BYTES), type=_Announcement)
        except (msgspec.MsgspecError, ValueError) as exc:
            return _Rejection(b"400 Bad Request", "message-malformed", str(exc))
        if announcement.host != peer or announcement.state is UpstreamState.GONE:
            return _Rejection(b"400 Bad Request", "message-malformed", "host is not the sender's")
        announce_server.record_announcement(announcement.to_event())
        return None


class _Server(HTTPServer):
    announce_server: AnnounceServer
    max_request_header_size = _MAX_HEADER_BYTES
    max_request_body_size = _MAX_BODY_BYTES
    keep_alive_conn_limit = 8
    timeout = 5
    shutdown_timeout = 1

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Forward cheroot's messages to the log."""
        logger.debug("message from the announce port's HTTP server", extra={"reason": msg})


class AnnounceServer:
    """HTTP server that emits events when the local upstream changes or is lost.

    :param emit: called with each event, from any thread.
    """

    def __init__(
        self, cfg: AnnounceConfig, emit: Callable[[Event], None], clock: Callable[[], float]
    ) -> None:
        self.cfg = cfg
        self._emit = emit
        self._server = _Server((cfg.host, cfg.port), _AnnounceGateway, minthreads=_WORKER_THREADS)
        self._server.announce_server = self
        self._clock = clock
        self._lock = threading.Lock()
        self._last_announcement: UpstreamAnnounced | None = None
        self._last_announced_at = 0.0
        self._stop_requested = threading.Event()

    @classmethod
    def from_config(
        cls,
        cfg: AnnounceConfig,
        *,
        emit: Callable[[Event], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> AnnounceServer:
        """Create a server without starting it.

        :param clock: returns the current time, in s; measures the time without announcements.
        """
        return cls(cfg, emit, clock)

    @property
    def address(self) -> str:
        """Return the bound address as "host:port"."""
        host, port = self._server.bind_addr
        return f"{host}:{port}"

    def start(self) -> None:
        """Bind the port and start serving.

        :raises OSError: the address cannot be bound.
        """
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()
        threading.Thread(target=self._run_checks, daemon=True).start()

    def stop(self) -> None:
        """Close the port and stop checking the upstream."""
        self._stop_requested.set()
        self._server.stop()

    def record_announcement(self, event: UpstreamAnnounced) -> None:
        """Record an announcement and emit it if it differs from the previous one."""
        with self._lock:
            self._last_announced_at = self._clock()
            if event == self._last_announcement:
                return
            self._last_announcement = event
            self._emit(event)

    def check_upstream(self) -> None:
        """Emit ``UpstreamLost`` after the silence timeout, or earlier if connections are refused.

        The upstream is probed by connecting to it only after 0.75 s without an announcement.
        """
        with self._lock:
            last_announcement = self._last_announcement
            silence_s = self._clock() - self._last_announced_at
        if last_announcement is None or silence_s < min(_PROBE_AFTER_S, self.cfg.silence_timeout_s):
            return
        if silence_s >= self.cfg.silence_timeout_s:
            self._report_loss(last_announcement, "announcements stopped")
        elif not _accepts_connections(last_announcement.host, last_announcement.port):
            self._report_loss(last_announcement, "connection refused")

    def _report_loss(self, last_announcement: UpstreamAnnounced, reason: str) -> None:
        with self._lock:
            if self._last_announcement is not last_announcement:
                return
            self._last_announcement = None
            self._emit(UpstreamLost(reason))

    def _run_checks(self) -> None:
        while not self._stop_requested.wait(_CHECK_INTERVAL_S):
            self.check_upstream()


def _accepts_connections(host: str, port: int) -> bool:
    try:
        socket.create_connection((host, port), timeout=_PROBE_TIMEOUT_S).close()
    except ConnectionRefusedError:
        return False
    except OSError:
        # only a refused connection proves that the upstream is gone; other errors, such as a
        # timeout, leave the decision to the silence timeout
        return True
    return True
