"""Entry point of ``python -m balsamhead``."""

from __future__ import annotations

import sys

from balsamhead._cli import main

__all__ = ()

if __name__ == "__main__":
    sys.exit(main())
