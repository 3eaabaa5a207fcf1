"""Maintain the record of this node, which includes the upstream on its VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamhead.membership._member_table import get_record_version
from balsamhead.membership._model import Member, MemberStatus, Upstream, UpstreamState

if TYPE_CHECKING:
    from balsamhead.events import UpstreamAnnounced
    from balsamhead.node import Identity

__all__ = ("OwnRecord",)


class OwnRecord:
    """Maintain the record of this node; each change gives it a higher version."""

    def __init__(self, identity: Identity) -> None:
        self.record = Member(
            node=identity.node,
            incarnation=identity.incarnation,
            sequence=1,
            status=MemberStatus.ALIVE,
            place=identity.place,
            peer_address=identity.peer_address,
            upstream=None,
            border_address=identity.border_address,
        )
        #: process id of the upstream in its last announcement
        self._process: int | None = None

    def update_upstream(self, event: UpstreamAnnounced, now: float) -> bool:
        """Apply an announcement of the upstream; return whether it changed the record.

        :param now: time in s since the epoch.
        """
        old = self.record.upstream
        is_new_process = old is None or event.process != self._process
        incarnation = old.incarnation if old else 0
        if is_new_process:
            incarnation = max(incarnation + 1, int(now * 1000))
        self._process = event.process
        state = event.state
        if self.record.status is not MemberStatus.ALIVE and state is not UpstreamState.GONE:
            state = UpstreamState.DRAINING
        upstream = Upstream(
            service=event.service,
            version=event.version,
            host=event.host,
            port=event.port,
            slots=event.slots,
            connections=event.connections,
            state=state,
            incarnation=incarnation,
        )
        if upstream == old:
            return False
        self._update(upstream=upstream)
        return True

    def mark_upstream_gone(self) -> bool:
        """Mark the upstream as gone; return whether that changed the record."""
        upstream = self.record.upstream
        if upstream is None or upstream.state is UpstreamState.GONE:
            return False
        self._update(upstream=upstream._replace(state=UpstreamState.GONE))
        # the next announcement counts as a new process, even if it has the same process id
        self._process = None
        return True

    def mark_leaving(self) -> None:
        """Mark this node as leaving and its upstream as draining."""
        upstream = self.record.upstream
        if upstream is not None and upstream.state is not UpstreamState.GONE:
            upstream = upstream._replace(state=UpstreamState.DRAINING)
        self._update(status=MemberStatus.LEAVING, upstream=upstream)

    def mark_left(self) -> None:
        """Mark this node as stopped."""
        self._update(status=MemberStatus.LEFT)

    def refute(self, received: Member) -> bool:
        """Supersede a newer record of this node that a peer sent; return whether it was newer."""
        if get_record_version(received) <= get_record_version(self.record):
            return False
        if received.incarnation > self.record.incarnation:
            # the clock was behind at this start, so a former process has a higher incarnation
            self.record = self.record._replace(incarnation=received.incarnation + 1)
            return True
        self.record = self.record._replace(sequence=received.sequence + 1)
        return True

    def _update(self, **fields: object) -> None:
        self.record = self.record._replace(
            sequence=self.record.sequence + 1, **fields  # type: ignore[arg-type]
        )
