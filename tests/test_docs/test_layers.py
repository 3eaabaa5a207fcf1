from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[2] / "balsamhead"

#: modules of the mesh path, lowest first; each may import those before it
LAYERS = (
    (
        "_prior_attempts",
        "_budget",
        "_calls",
        "_fairness",
        "_metrics",
        "_model",
        "_queue_timeout",
        "_records",
        "_settings",
    ),
    ("model",),
    ("_frames", "_routes", "_selection", "_traffic_split", "_state_history"),
    ("_server", "_upstream_connection", "_link", "_request_trace"),
    ("_peers", "_upstream"),
    ("_link_manager", "_evidence"),
    ("_upstream_index", "_rollouts", "_sync"),
    ("_request_router",),
    ("_node",),
    ("_daemon",),
    ("node",),
)
#: modules that may call the adapter
USERS_OF_ADAPTER = {"_request_router", "_daemon", "_upstream_connection", "_node"}
#: words of the platform, which the adapter alone knows
WIRE_WORDS = re.compile(
    r"beat_addr|target_latency|Target-Instance|Not-Executed|Server-Stamp|(?<!X-)Deadline-Ms"
    r"|Caller-Service|/log-append|/log-newest|/log-read|keyed\.|path_prefix|cold_left|/instances"
)


def find_imports(path: Path) -> Iterator[str]:
    for node in ast.walk(ast.parse(path.read_text())):
        match node:
            case ast.ImportFrom(module=str(module)):
                yield module
            case ast.Import(names=names):
                yield from (row.name for row in names)


def list_modules(package: str) -> list[Path]:
    return sorted((PACKAGE / package).glob("*.py"))


def test_each_module_of_the_mesh_path_has_its_layer() -> None:
    names = {path.stem for path in list_modules("mesh")} - {"__init__"}
    assert names == {name for layer in LAYERS for name in layer}


@pytest.mark.parametrize("number", range(len(LAYERS)))
def test_modules_of_the_mesh_path_import_only_layers_below(number: int) -> None:
    allowed = {name for layer in LAYERS[:number] for name in layer}
    # a private module of the same layer may be used where its names say so
    for name in LAYERS[number]:
        for module in find_imports(PACKAGE / "mesh" / f"{name}.py"):
            if module.startswith("balsamhead.mesh."):
                target = module.removeprefix("balsamhead.mesh.")
                assert target in allowed or target == "model", (name, target)


def test_adapter_imports_the_rows_of_the_mesh_and_nothing_above() -> None:
    for path in list_modules("platform"):
        for module in find_imports(path):
            if module.startswith("balsamhead."):
                assert module.startswith(
                    ("balsamhead.errors", "balsamhead.util", "balsamhead.platform")
                ) or (module == "balsamhead.mesh.model"), (path.name, module)


def test_few_modules_call_the_adapter() -> None:
    users = {
        path.stem
        for path in list_modules("mesh")
        if any(module.startswith("balsamhead.platform") for module in find_imports(path))
    }
    assert users == USERS_OF_ADAPTER


def test_words_of_the_platform_stay_in_the_adapter() -> None:
    found = [
        (path.name, line)
        for path in PACKAGE.rglob("*.py")
        if path.parent.name != "platform"
        for line in path.read_text().splitlines()
        if WIRE_WORDS.search(line)
    ]
    assert found == []
