"""Typed settings of a node."""

from __future__ import annotations

from typing import NamedTuple

from balsamhead.util.secret import Secret

__all__ = ("NodeSettings",)


class NodeSettings(NamedTuple):
    """Settings of a node; ``_schema.py`` describes each of them."""

    node: str
    environment: str
    promotes_from: str
    region: str
    data_centre: str
    caller_address: str
    peer_address: str
    border_address: str
    operator_address: str
    announce_address: str
    seeds: tuple[str, ...]
    log_url: str
    log_region: str
    mesh_key_file: str
    operator_token_file: str
    log_level: str
    tick_interval_s: float
    stop_deadline_s: float
    link_heartbeat_s: float
    link_silence_s: float
    suspicion_s: float
    announce_silence_s: float
    log_timeout_s: float
    log_wait_s: float
    log_retention_s: float
    call_threads: int
    caller_connections: int
    call_body_bytes: int
    operator_threads: int
    #: key shared by all nodes
    mesh_key: Secret
    #: token with which operators authenticate
    operator_token: Secret
