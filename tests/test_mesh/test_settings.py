from __future__ import annotations

import re
from pathlib import Path

import pytest

from balsamhead.errors import SettingsError
from balsamhead.mesh._settings import MESH_SETTINGS, load_mesh_settings
from balsamhead.settings import render_fields

ROOT = Path(__file__).parents[2]
TEMPLATE = ROOT / "deploy" / "settings.toml.in"

VALID = """
node = "n-1"
region = "east"
data_centre = "east-a"
service = "desk"
upstream_address = "10.0.0.1:8000"
caller_address = "10.0.0.1:8001"
ready_address = "10.0.0.1:8002"
announce_address = "10.0.0.1:8003"
peer_address = "10.0.0.1:8004"
store_address = "10.9.0.1:8000"
announce_interval = "1500ms"
stop_deadline = "6s"
"""


def write_settings(folder: Path, text: str) -> Path:
    path = folder / "settings.toml"
    path.write_text(text)
    return path


def test_durations_are_parsed_to_seconds(tmp_path: Path) -> None:
    cfg = load_mesh_settings(write_settings(tmp_path, VALID))
    assert (cfg.announce_interval, cfg.stop_deadline, cfg.retry_ratio) == (1.5, 6.0, 0.2)


def test_all_mistakes_are_reported_at_once(tmp_path: Path) -> None:
    text = VALID.replace('"10.0.0.1:8000"', '"nowhere"').replace('"1500ms"', '"soon"')
    path = write_settings(
        tmp_path, 'unknown = 1\nlog_level = "loud"\n' + text.replace('node = "n-1"', "")
    )
    with pytest.raises(SettingsError) as caught:
        load_mesh_settings(path)
    codes = sorted(mistake.code for mistake in caught.value.mistakes)
    assert codes == [
        "key-missing",
        "key-unknown",
        "value-not-allowed",
        "value-not-allowed",
        "value-not-allowed",
    ]


def test_unreadable_file_is_named_in_the_error(tmp_path: Path) -> None:
    with pytest.raises(SettingsError) as caught:
        load_mesh_settings(tmp_path / "missing.toml")
    assert "missing.toml" in caught.value.mistakes[0].place


def test_template_contains_each_required_setting() -> None:
    given = set(re.findall(r"^(\w+) =", TEMPLATE.read_text(), re.MULTILINE))
    known = {field.key for field in MESH_SETTINGS}
    assert {field.key for field in MESH_SETTINGS if field.default is None} <= given
    assert given <= known


def test_documentation_contains_the_settings_table() -> None:
    page = (ROOT / "docs" / "operators" / "mesh-settings.md").read_text()
    assert render_fields(MESH_SETTINGS) in page
