"""Configuration of the caller-facing HTTP port."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ("ProxyConfig",)


class ProxyConfig(NamedTuple):
    """Limits and timeouts of the caller-facing port."""

    host: str
    port: int
    #: name of this node; reported as the caller in counts of failed calls
    node: str = ""
    #: worker threads; each runs one call at a time
    worker_threads: int = 48
    #: worker threads that run no calls, so that excess calls are refused immediately
    reserved_threads: int = 8
    #: maximum number of calls that wait for a slot of one service
    max_waiting_calls: int = 16
    #: caller connections above which a connection is closed after its response
    max_connections: int = 1024
    #: maximum size of the head of a request, in bytes
    max_header_bytes: int = 16384
    #: maximum size of the body of a request, in bytes
    max_body_bytes: int = 1 << 30
    #: largest body that is buffered, in bytes; larger ones are streamed
    max_buffered_body_bytes: int = 65536
    #: time within which the head of a request must arrive, in s
    header_timeout_s: float = 5.0
    #: time after which a caller's idle connection is closed, in s
    keep_alive_timeout_s: float = 30.0
    #: timeout for connecting to an upstream, in s
    connect_timeout_s: float = 1.0
    #: longest time since its last response for which a pooled connection may carry a
    #: non-idempotent request, in s
    non_idempotent_reuse_s: float = 3.0
    #: time after which an idle connection to an upstream is closed, in s
    idle_timeout_s: float = 8.0
    #: longest time for which a cancelled call keeps its slot at the upstream, in s
    max_cancelled_s: float = 30.0
