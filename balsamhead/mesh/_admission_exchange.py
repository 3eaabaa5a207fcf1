"""Tell callers' nodes which routes carry nested calls, as learned beside the upstreams."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamhead.mesh._frames import Frame, FrameKind, decode_header
from balsamhead.mesh.admission import ANNOUNCE_INTERVAL_S

if TYPE_CHECKING:
    from balsamhead.mesh._calls import Call
    from balsamhead.mesh._link import Link
    from balsamhead.mesh._link_manager import LinkManager
    from balsamhead.mesh.admission import NestedRoutes

__all__ = ("AdmissionExchange",)


class AdmissionExchange:
    """Announce the learned routes to the nodes whose upstreams call them, and take what peers say.

    Nothing is sent unless the configuration lets nested calls be learned.
    """

    def __init__(self, nested_routes: NestedRoutes, *, link_manager: LinkManager) -> None:
        self._nested_routes = nested_routes
        self._link_manager = link_manager
        self._loop = asyncio.get_running_loop()
        self._announced_at: dict[str, float] = {}

    def call_received(self, call: Call) -> None:
        """Announce the route of a peer's call if it carries nested calls and the time has come."""
        services = self._nested_routes.list_callers(call.route)
        now = self._loop.time()
        announced_at = self._announced_at.get(call.route)
        if not services or (announced_at is not None and now - announced_at < ANNOUNCE_INTERVAL_S):
            return
        self._announced_at[call.route] = now
        for peer in self._link_manager.table.peers.values():
            if peer.link is not None and peer.record.service in services:
                peer.link.send(FrameKind.ADMISSION, 0, (call.route,))

    def handle_nested_route(self, link: Link, frame: Frame) -> None:
        """Take the name of a route that carries nested calls from an upstream's node.

        :raises MalformedMessageError: the frame can't be decoded.
        """
        (route,) = decode_header(frame, tuple[str], peer=link.peer)
        self._nested_routes.record_told(route, self._loop.time())
