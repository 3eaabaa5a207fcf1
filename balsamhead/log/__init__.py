"""Client interface of the platform's append-only log."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from balsamhead.log._model import Batch, Entry, Log

if TYPE_CHECKING:
    from balsamhead.log._http import HttpLog

__all__ = ("Batch", "Entry", "HttpLog", "Log")


def __getattr__(name: str) -> Any:
    # imported lazily, as the modules that only use the row types don't need the HTTP client
    if name == "HttpLog":
        from balsamhead.log._http import HttpLog

        return HttpLog
    raise AttributeError(name)
