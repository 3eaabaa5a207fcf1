"""Check that every name that leaves a process still occurs in the package.

Peers, the log, the store, operators' scripts or callers read these names.
"""

from __future__ import annotations

from pathlib import Path
from typing import Final

import pytest

ROOT: Final = Path(__file__).parents[2]


def read_names() -> dict[str, list[str]]:
    names: dict[str, list[str]] = {}
    kind = ""
    for line in (ROOT / "docs" / "outward-names.txt").read_text().splitlines():
        if line.startswith("# "):
            kind = line.removeprefix("# ")
            names[kind] = []
        elif line:
            names[kind].append(line)
    return names


def read_package() -> str:
    files = [*(ROOT / "balsamhead").rglob("*.py"), ROOT / "deploy" / "system.toml"]
    return "\n".join(path.read_text().lower() for path in sorted(files))


@pytest.mark.parametrize("kind", sorted(read_names()))
def test_names_occur_in_the_package(kind: str) -> None:
    package = read_package()
    # command-line flags are derived from the attributes of the command classes
    spellings = {name: name.lstrip("-") for name in read_names()[kind]}
    missing = [
        name
        for name, text in spellings.items()
        if text.lower() not in package and text.replace("-", "_") not in package
    ]
    assert missing == []
