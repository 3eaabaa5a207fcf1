"""Carry callers' requests between nodes that know of each other through the platform's store."""

from __future__ import annotations

__all__ = ()
