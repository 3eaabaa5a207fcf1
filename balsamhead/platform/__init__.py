"""Meet the names, formats and calls of the users' platform; nothing here decides."""

from __future__ import annotations

__all__ = ()
