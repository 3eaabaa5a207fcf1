"""Messages of the platform."""

from __future__ import annotations

from typing import Any

HEARTBEAT: dict[str, Any] = {
    "service": "desk",
    "address": "10.0.0.1:8000",
    "zone": "east-a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_left": "1500ms",
    "sequence": 4,
    "born": 1000,
}
