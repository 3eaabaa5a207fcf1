from __future__ import annotations

from pathlib import Path

import pytest

from balsamhead.document import PRESETS

PAGE = Path(__file__).parents[2] / "docs" / "operators" / "documents.md"


@pytest.mark.parametrize("name", sorted(PRESETS))
def test_documents_page_lists_the_values_of_each_preset(name: str) -> None:
    rows = [line for line in PAGE.read_text().splitlines() if line.startswith(f"| `{name}` |")]
    values = [float(cell) for cell in rows[0].split("|")[3:-1]]
    assert values == list(PRESETS[name][1:])
