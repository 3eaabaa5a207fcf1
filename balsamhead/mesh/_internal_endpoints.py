"""Serve what a node's VM asks of it: readiness, announcements of the upstream, and metrics."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

from balsamhead.errors import MalformedMessageError
from balsamhead.mesh._server import HttpServer, Reply, Request
from balsamhead.mesh.model import Limits, UpstreamRecord, UpstreamState
from balsamhead.platform.messages import (
    decode_heartbeat,
    encode_heartbeat_response,
    is_upstream_id,
    parse_announcement_path,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamhead.mesh._metrics import MeshMetrics
    from balsamhead.mesh._settings import MeshSettings
    from balsamhead.mesh._stored_record import StoredRecord
    from balsamhead.mesh._upstream import LocalUpstream
    from balsamhead.mesh.model import Departure

__all__ = ("DEFAULT_LIMITS", "InternalEndpoints")

logger = logging.getLogger(__name__)

#: limits of callers' requests before a configuration names any
DEFAULT_LIMITS: Final = Limits(16_384, 64 << 20, 10.0, 60.0)
#: limits of what the platform and the upstream ask
_INTERNAL_LIMITS: Final = Limits(16_384, 64 << 10, 10.0, 60.0)
#: longest time that an acknowledgement of a departure waits for the store, in s; an upstream gives
#: up after a second
_STORE_TIMEOUT_S: Final = 0.5
#: settings with addresses at which the node listens
_ADDRESS_SETTINGS: Final = (
    "caller_address",
    "ready_address",
    "announce_address",
    "peer_address",
)


class InternalEndpoints:
    """HTTP servers that only the platform and this VM's upstream call."""

    def __init__(
        self,
        cfg: MeshSettings,
        *,
        upstream: LocalUpstream,
        metrics: MeshMetrics,
        is_ready: Callable[[], bool],
        has_joined: Callable[[], bool],
        stored_departures: StoredRecord[tuple[Departure, ...]],
    ) -> None:
        """Create the servers; they listen from :meth:`start` on.

        :param has_joined: returns whether peers would remember a departure that is acknowledged.
        """
        self._cfg = cfg
        self._upstream = upstream
        self._metrics = metrics
        self._is_ready = is_ready
        self._has_joined = has_joined
        self._stored_departures = stored_departures
        self._ready, self._announcements, self._metrics_server = (
            HttpServer(handle, get_limits=lambda: _INTERNAL_LIMITS)
            for handle in (self._handle_ready, self._handle_announcement, self._handle_metrics)
        )

    async def start(self) -> None:
        """Listen on all addresses.

        :raises OSError: an address can't be bound.
        """
        await self._ready.start(self._cfg.ready_address)
        await self._announcements.start(self._cfg.announce_address)
        await self._start_metrics()

    async def _start_metrics(self) -> None:
        """Serve metrics, unless another address of the node has their port.

        That port may be drawn anew for each deployment, and calls matter more than metrics.
        """
        cfg = self._cfg
        if not cfg.metrics_port:
            return
        host = cfg.peer_address.rpartition(":")[0]
        address = f"{host}:{cfg.metrics_port}"
        taken_by = [name for name in _ADDRESS_SETTINGS if getattr(cfg, name) == address]
        if taken_by:
            extra = {"metrics_port": cfg.metrics_port, "taken_by": taken_by, "address": address}
            logger.error("metrics-port-taken", extra=extra)
            return
        await self._metrics_server.start(address)

    def stop_listening(self) -> None:
        """Close all listening sockets."""
        for server in (self._ready, self._announcements, self._metrics_server):
            server.stop_listening()

    async def _handle_ready(self, request: Request) -> Reply:
        del request
        return Reply(200 if self._is_ready() else 503)

    async def _handle_metrics(self, request: Request) -> Reply:
        del request
        return Reply(200, self._metrics.render(), b"Content-Type: text/plain; version=0.0.4\r\n")

    async def _handle_announcement(self, request: Request) -> Reply:
        head = request.head
        upstream_id = parse_announcement_path(head.path)
        if upstream_id is None:
            return Reply(404)
        record: UpstreamRecord | None = None
        if head.method != "DELETE":
            try:
                record = decode_heartbeat(upstream_id, request.body)
            except MalformedMessageError as exc:
                logger.warning("announcement-malformed", extra={"error": str(exc)})
                return Reply(400)
            if record.service != self._cfg.service:
                extra = {"upstream": upstream_id, "service": record.service}
                logger.warning("announcement-of-other-service", extra=extra)
                return Reply(400)
        elif not is_upstream_id(upstream_id):
            return Reply(400)
        if record is None:
            self._upstream.deregister(upstream_id)
        else:
            self._upstream.apply_announcement(record)
        if record is None or record.state is UpstreamState.DRAINING:
            if not self._has_effect(upstream_id, record):
                return Reply(503)
            if not await self._will_be_remembered(upstream_id):
                return Reply(503)
        return Reply(200, encode_heartbeat_response(), b"Content-Type: application/json\r\n")

    def _has_effect(self, upstream_id: str, record: UpstreamRecord | None) -> bool:
        """Return whether an upstream that says that it leaves gets no more requests."""
        if record is None or self._upstream.is_known_to_leave(record):
            return True
        logger.warning("departure-not-applied", extra={"upstream": upstream_id})
        return False

    async def _will_be_remembered(self, upstream_id: str) -> bool:
        """Wait until a departure would be known after a restart of this node.

        :returns: False if neither the store nor a peer would remember it.
        """
        if await self._stored_departures.wait_until_stored(timeout_s=_STORE_TIMEOUT_S):
            return True
        joined = self._has_joined()
        event = "departure-not-stored" if joined else "departure-not-acknowledged"
        logger.warning(event, extra={"upstream": upstream_id})
        return joined
