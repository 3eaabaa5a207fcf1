"""Messages of the membership protocol: heartbeats, probes and gossip."""

from __future__ import annotations

import msgspec

from balsamhead.membership import Member

__all__ = ("Heartbeat", "MemberDigest", "MemberPull", "MemberUpdate", "Probe", "ProbeResult")


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat", array_like=True):
    """Check that a link works in both directions.

    :ivar sequence: number of this heartbeat on its link.
    :ivar seen: highest sequence number received from the peer, which shows the peer that its own
        heartbeats arrive.
    """

    sequence: int
    seen: int


class MemberUpdate(msgspec.Struct, frozen=True, tag="member-update", array_like=True):
    """Send records that are new to the sender, or that a peer has pulled.

    :ivar buckets: in the response to a pull, the buckets that are complete with this message.
    """

    members: tuple[Member, ...]
    buckets: tuple[int, ...] = ()


class MemberDigest(msgspec.Struct, frozen=True, tag="member-digest", array_like=True):
    """Send digests of the sender's membership table, so that the peer finds the differences.

    :ivar buckets: digest of the records of each bucket, or a single digest of the whole table.
    """

    buckets: tuple[bytes, ...]


class MemberPull(msgspec.Struct, frozen=True, tag="member-pull", array_like=True):
    """Request the records of the buckets that differ.

    :ivar buckets: numbers of the buckets.
    """

    buckets: tuple[int, ...]


class Probe(msgspec.Struct, frozen=True, tag="probe", array_like=True):
    """Ask a peer to check whether it can reach a third node.

    :ivar nonce: value that the result repeats.
    """

    target: str
    nonce: int


class ProbeResult(msgspec.Struct, frozen=True, tag="probe-result", array_like=True):
    """Report the result of a probe.

    :ivar nonce: value of the probe.
    :ivar reached: whether the sender reached the target.
    """

    target: str
    nonce: int
    reached: bool
