from __future__ import annotations

import contextlib
import logging
import pickle
from io import StringIO
from pathlib import Path
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from balsamhead.settings import NodeSettings, SettingsError, load_settings, render_reference
from balsamhead.settings._schema import SETTINGS
from balsamhead.util.logs import configure_logging
from tests.test_settings.builders import (
    ENVIRON,
    TOKEN,
    make_required_settings,
    make_settings,
    write_settings,
)

REFERENCE = Path(__file__).parents[2] / "docs" / "operators" / "settings.md"


def find_mistakes(path: Path, environ: dict[str, str]) -> dict[str, str]:
    with pytest.raises(SettingsError) as info:
        load_settings(path, environ=environ)
    return {
        mistake.place.removeprefix(f"{path}: "): mistake.code for mistake in info.value.mistakes
    }


def test_schema_and_model_declare_the_same_settings() -> None:
    assert [field.attribute for field in SETTINGS] == list(NodeSettings._fields[:-2])


def test_defaults_are_within_their_bounds(tmp_path: Path) -> None:
    cfg = make_settings(tmp_path)
    values = {field.key: getattr(cfg, field.key) for field in SETTINGS}
    values["seeds"] = list(cfg.seeds)
    reloaded = make_settings(tmp_path, **values)
    assert reloaded[:-2] == cfg[:-2]


#: invalid settings, each with the code of its mistake
MISTAKES: list[tuple[str, Any, str]] = [
    ("nodes", "x", "key-unknown"),
    ("node", "Node 1", "value-not-allowed"),
    ("region", 4, "type-wrong"),
    ("promotes_from", "trial", "value-not-allowed"),
    ("caller_address", "127.0.0.256:80", "value-not-allowed"),
    ("peer_address", "127.0.0.1:65536", "value-not-allowed"),
    ("announce_address", "localhost:80", "value-not-allowed"),
    ("seeds", ["127.0.0.1:1", "127.0.0.1:1"], "name-duplicate"),
    ("log_url", "ftp://127.0.0.1", "value-not-allowed"),
    ("log_level", "loud", "value-not-allowed"),
    ("tick_interval_s", float("nan"), "value-out-of-range"),
    ("link_silence_s", 0.5, "value-out-of-range"),
    ("call_threads", 0, "value-out-of-range"),
    ("caller_connections", 1.5, "type-wrong"),
    ("mesh_key_file", "/missing/key", "file-unreadable"),
]


def test_all_mistakes_are_reported_at_once(tmp_path: Path) -> None:
    path = write_settings(tmp_path, **{key: value for key, value, _ in MISTAKES})
    assert find_mistakes(path, ENVIRON) == {key: code for key, _, code in MISTAKES}


@pytest.mark.parametrize(("key", "value", "code"), MISTAKES)
def test_mistake_is_reported_alone(tmp_path: Path, key: str, value: Any, code: str) -> None:
    assert find_mistakes(write_settings(tmp_path, **{key: value}), ENVIRON) == {key: code}


@pytest.mark.parametrize("key", sorted(make_required_settings()))
def test_missing_setting_is_reported(tmp_path: Path, key: str) -> None:
    path = write_settings(tmp_path)
    lines = path.read_text().splitlines()
    path.write_text("\n".join(line for line in lines if not line.startswith(f'"{key}"')))
    assert find_mistakes(path, ENVIRON) == {key: "key-missing"}


def test_address_used_twice_is_reported(tmp_path: Path) -> None:
    path = write_settings(tmp_path, caller_address="127.0.0.1:80", peer_address="127.0.0.1:80")
    assert find_mistakes(path, ENVIRON) == {"peer_address": "value-not-allowed"}


def test_missing_and_short_keys_are_reported(tmp_path: Path) -> None:
    path = write_settings(tmp_path)
    environ = {"BALSAMHEAD_MESH_KEY": "short"}
    assert find_mistakes(path, environ) == {
        "BALSAMHEAD_MESH_KEY": "key-invalid",
        "operator_token_file": "key-missing",
    }


def test_key_file_takes_precedence_over_the_environment(tmp_path: Path) -> None:
    key = tmp_path / "key"
    key.write_text("key-from-the-file-system\n")
    cfg = make_settings(tmp_path, mesh_key_file=str(key))
    assert cfg.mesh_key.reveal() == "key-from-the-file-system"
    assert cfg.operator_token.is_equal(TOKEN)


def test_message_about_an_invalid_key_does_not_contain_it(tmp_path: Path) -> None:
    key = tmp_path / "key"
    key.write_text("se cret but broken by a space")
    with pytest.raises(SettingsError) as info:
        make_settings(tmp_path, mesh_key_file=str(key))
    assert "cret" not in str(info.value.mistakes)


def test_keys_are_redacted_in_logs(tmp_path: Path) -> None:
    cfg = make_settings(tmp_path)
    stream = StringIO()
    root = logging.getLogger()
    before = root.handlers[:], root.level
    try:
        configure_logging(level="info", node="node-1", stream=stream)
        logging.getLogger("test").info("settings %s", cfg, extra={"token": cfg.operator_token})
    finally:
        root.handlers[:], level = before
        root.setLevel(level)

    assert '"node": "node-1"' in stream.getvalue()
    assert "redacted" in stream.getvalue()
    assert TOKEN not in stream.getvalue()
    with pytest.raises(TypeError):
        pickle.dumps(cfg)


@settings(suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(data=st.binary(max_size=200))
def test_arbitrary_file_raises_no_error_but_settings_error(tmp_path: Path, data: bytes) -> None:
    path = tmp_path / "junk.toml"
    path.write_bytes(data)
    with contextlib.suppress(SettingsError):
        load_settings(path, environ=ENVIRON)


def test_reference_page_contains_the_printed_reference() -> None:
    assert render_reference() in REFERENCE.read_text()
