"""Decide from the settings and the configuration whether requests are spread evenly."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamhead.mesh.model import Config

__all__ = ("is_even",)


def is_even(setting: str, config: Config | None) -> bool:
    """Return whether requests are spread evenly.

    :param setting: "least-wait", "even" or "auto".
    :param config: the configuration in force, if any.
    """
    if setting != "auto":
        return setting == "even"
    return config is not None and (
        config.accounts is not None
        or any(route.allowed_regions or route.large_requests for route in config.routes.values())
    )
