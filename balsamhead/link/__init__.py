"""Links to peers: WebSocket connections that carry CBOR messages."""

from __future__ import annotations

from balsamhead.link._links import Limits, Links
from balsamhead.link._peer import TrafficKey

__all__ = ("Limits", "Links", "TrafficKey")
