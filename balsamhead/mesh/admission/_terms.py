"""Tell which configurations ask for the decisions of this release."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamhead.mesh.model import Config

__all__ = ("has_demanding_terms",)


def has_demanding_terms(config: Config | None) -> bool:
    """Return whether a configuration has accounts, cold starts, uploads or resident routes."""
    return config is not None and (
        config.accounts is not None
        or bool(config.cold_starts)
        or any(route.large_requests or route.allowed_regions for route in config.routes.values())
    )
