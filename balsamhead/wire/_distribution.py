"""Messages that replicate the accepted configuration between nodes."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

__all__ = (
    "Announce",
    "Delta",
    "InForceCount",
    "InForceReport",
    "Pull",
    "Resource",
    "WithdrawnNotice",
)


class Resource(NamedTuple):
    """One named part of the accepted configuration.

    ``name`` is "<kind>/<key>", as in "route/queue-position"; ``body`` is canonical CBOR.
    """

    name: str
    body: bytes


class Announce(msgspec.Struct, frozen=True, tag="announce", array_like=True):
    """Announce the version that is in force on the sender."""

    offset: int
    digest: bytes


class Pull(msgspec.Struct, frozen=True, tag="pull", array_like=True):
    """Request the delta from the sender's version to the version of the peer."""

    offset: int
    digest: bytes


class Delta(msgspec.Struct, frozen=True, tag="delta", array_like=True):
    """Respond to a pull with the resources that differ.

    :ivar base: digest of the version to which the delta applies; empty for a complete snapshot.
    """

    offset: int
    digest: bytes
    base: bytes
    changed: tuple[Resource, ...]
    removed: tuple[str, ...]


class WithdrawnNotice(msgspec.Struct, frozen=True, tag="withdrawn", array_like=True):
    """Announce that a version is withdrawn and must get no calls.

    Nodes forward it to one another, which is faster than the record in the log.

    :ivar document_offset: version of the record whose document started the rollout to ``version``.
    """

    service: str
    version: str
    document_offset: int
    reason: str


class InForceCount(NamedTuple):
    """Number of nodes of a data centre on which a version is in force."""

    data_centre: str
    offset: int
    nodes: int


class InForceReport(msgspec.Struct, frozen=True, tag="in-force", array_like=True):
    """Report to a linked peer on how many nodes each version is in force.

    The nodes form a tree, along which counts are summed up towards the root and the totals are
    sent back.

    :ivar counts: sums over the sender's subtree; sent only to its parent, empty otherwise.
    :ivar totals: sums over the whole environment; sent only to the sender's children, empty
        otherwise.
    :ivar root: node at the root of the tree.
    :ivar hops: number of links between the sender and the root.
    :ivar parent: the sender's parent in the tree; empty if it has none.
    """

    counts: tuple[InForceCount, ...]
    totals: tuple[InForceCount, ...] = ()
    root: str = ""
    hops: int = 0
    parent: str = ""
