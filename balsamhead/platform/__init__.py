"""Adapt the mesh to the platform that hosts it: its headers, messages and record store."""

from __future__ import annotations

__all__ = ()
