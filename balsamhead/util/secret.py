"""Wrap a secret so that it does not appear in logs by accident."""

from __future__ import annotations

import hmac

__all__ = ("Secret",)


class Secret:
    """Secret text that ``repr`` redacts and that cannot be pickled."""

    __slots__ = ("_text",)

    def __init__(self, text: str) -> None:
        self._text = text

    def reveal(self) -> str:
        """Return the secret text."""
        return self._text

    def is_equal(self, text: str) -> bool:
        """Return whether a text equals the secret, in constant time to prevent timing attacks."""
        return hmac.compare_digest(self._text.encode(), text.encode("utf-8", errors="replace"))

    def __bool__(self) -> bool:
        return bool(self._text)

    def __repr__(self) -> str:
        return "Secret(redacted)"

    def __reduce__(self) -> str:
        raise TypeError("a Secret cannot be serialized")
