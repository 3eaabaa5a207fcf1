"""Route callers' requests through a mesh of nodes that discover each other via the store."""

from __future__ import annotations

__all__ = ()
