"""Configure Hypothesis for reproducible runs, and expect the failures that KNOWN-RED.txt lists."""

from __future__ import annotations

import re
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    max_examples=50,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("ci")

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"


def list_known_failures() -> set[str]:
    """Return the ids of the tests that are listed as failing, without their parameters."""
    if not KNOWN_RED.exists():
        return set()
    return set(re.findall(r"test: (tests/\S+::\w+)", KNOWN_RED.read_text()))


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Run listed tests and expect them to fail; one that passes must be taken off the list."""
    known_failures = list_known_failures()
    for item in items:
        if item.nodeid.partition("[")[0] in known_failures:
            item.add_marker(pytest.mark.xfail(strict=True, reason="listed in KNOWN-RED.txt"))
