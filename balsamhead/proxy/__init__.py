"""Proxy callers' HTTP requests to upstreams."""

from __future__ import annotations

from balsamhead.proxy._announce import AnnounceConfig, AnnounceServer
from balsamhead.proxy._config import ProxyConfig
from balsamhead.proxy._crash import CrashRegistry, CrashView
from balsamhead.proxy._server import CallerServer

__all__ = (
    "AnnounceConfig",
    "AnnounceServer",
    "CallerServer",
    "CrashRegistry",
    "CrashView",
    "ProxyConfig",
)
