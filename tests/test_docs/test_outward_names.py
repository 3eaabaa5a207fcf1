"""Each name that leaves a process is still written in the package: a peer, the log, the store,
an operator's script or a caller reads it.
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
def test_name_is_written_in_the_package(kind: str) -> None:
    package = read_package()
    # flags follow from the attributes of the command classes
    spelled = {name: name.lstrip("-") for name in read_names()[kind]}
    missing = [
        name
        for name, text in spelled.items()
        if text.lower() not in package and text.replace("-", "_") not in package
    ]
    assert missing == []
