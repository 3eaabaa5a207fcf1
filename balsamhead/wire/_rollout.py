"""Messages that carry evidence about versions: call counts and crashes."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

__all__ = ("CallCount", "CrashCleared", "CrashNotice", "EvidenceReport")


class CallCount(NamedTuple):
    """Counts of the calls on one route to one version in one period."""

    service: str
    route: str
    version: str
    calls: int
    #: 5xx responses, resets and timeouts that the upstream caused
    errors: int
    #: responses that took longer than the latency objective
    slow: int
    #: calls that the upstream shed; they don't count as failures of the version
    shed: int
    #: crashes of the upstream while it ran a call
    crashes: int
    #: node of the upstream that was called; empty in a sum over all upstreams
    upstream: str = ""
    #: node of the caller, set only if calls failed; empty in a sum over all callers
    caller: str = ""


class EvidenceReport(msgspec.Struct, frozen=True, tag="evidence", array_like=True):
    """Send the call counts of a node or a data centre since its last report.

    :ivar source: name of the node, or of the data centre whose counts an aggregator has summed.
    :ivar sequence: number of this report of its source, so that duplicates are not counted.
    :ivar callers: number of nodes that the counts come from.
    """

    source: str
    sequence: int
    counts: tuple[CallCount, ...]
    callers: int = 1


class CrashNotice(msgspec.Struct, frozen=True, tag="crash", array_like=True):
    """Report that a request was in flight when an upstream's process ended.

    :ivar fingerprint: digest of the request's method, route, path and body prefix.
    :ivar node: node of the upstream.
    :ivar incarnation: incarnation of the upstream that ran the request.
    :ivar confirmed: the upstream's own node has observed the end of the process.
    """

    fingerprint: bytes
    node: str
    incarnation: int
    confirmed: bool


class CrashCleared(msgspec.Struct, frozen=True, tag="crash-cleared", array_like=True):
    """Announce that a request suspected of causing crashes has completed without one.

    :ivar fingerprint: digest of the request, as in :class:`CrashNotice`.
    :ivar crashes: node and incarnation of the crashes that no longer count against the request.
    """

    fingerprint: bytes
    crashes: tuple[tuple[str, int], ...]
