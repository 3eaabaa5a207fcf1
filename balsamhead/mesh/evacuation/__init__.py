"""Decide when evacuations of data centres begin and end, and which of them concern a node."""

from __future__ import annotations

from balsamhead.mesh.evacuation._tracker import (
    EvacuationBegun,
    EvacuationEnded,
    EvacuationTracker,
    Transition,
)

__all__ = ("EvacuationBegun", "EvacuationEnded", "EvacuationTracker", "Transition")
