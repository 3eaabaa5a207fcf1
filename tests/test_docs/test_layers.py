from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[2] / "balsamhead"

#: layers of the mesh package, lowest first; a module may import only from lower layers
LAYERS = (
    (
        "_account_gate",
        "_prior_attempts",
        "_announcement_order",
        "_budget",
        "_calls",
        "_departures",
        "_fairness",
        "_hedged_request",
        "_metrics",
        "_model",
        "_queue_timeout",
        "_rate_limit",
        "_records",
        "_response_times",
        "_route_times",
        "_settings",
        "_slot_usage",
        "_stored_record",
        "_upstream_statistics",
    ),
    ("model",),
    (
        "_fingerprint",
        "_frames",
        "_order_history",
        "_cold_guard",
        "_flow_control",
        "_link_headers",
        "_nested_call_limit",
        "_placement",
        "_request_reader",
        "_routes",
        "_selection",
        "_slot_queue",
        "_traffic_split",
        "_state_history",
    ),
    ("_body_transfer", "_server_context", "_placement_guard"),
    (
        "_server_connection",
        "_upstream_connection",
        "_link",
        "_request_trace",
        "_crash_detector",
    ),
    ("_server",),
    ("_crash_registry",),
    ("_refusal_archive", "_crash_archive"),
    ("_peers", "_connection_pool"),
    ("_crash_guard", "_reader_selection", "_caller_crash_view", "_lost_peers"),
    ("_upstream",),
    ("_link_manager", "_evidence", "_state_pull", "_internal_endpoints"),
    ("_upstream_index", "_rollouts", "_sync", "_freshness_exchange"),
    ("_upstream_selector",),
    ("_quota_exchange",),
    ("_account_admission",),
    ("_request_router", "_rollout_exchange", "_crash_exchange", "_admission_exchange"),
    ("_node",),
    ("_daemon",),
    ("node",),
)
#: number of the layer above which the public modules of decision packages may be imported, since
#: mesh modules that may import the platform adapter
ADAPTER_USERS = {
    "_request_router",
    "_daemon",
    "_upstream_connection",
    "_node",
    "_internal_endpoints",
}
#: wire names of the platform, which only the adapter may contain
WIRE_WORDS = re.compile(
    r"beat_addr|target_latency|Target-Instance|Not-Executed|Server-Stamp|(?<!X-)Deadline-Ms"
    r"|Caller-Service|Server-Limit|Server-Leaving|/log-append|/log-newest|/log-read|keyed\.|path_prefix|cold_left|/instances"
    r"|allowed_regions\"|cold_per_s|cold_start\"|Cold-Remaining-Ms|api_keys|\btenant|\bTenant|evacuate/"
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


def test_every_mesh_module_has_a_layer() -> None:
    names = {path.stem for path in list_modules("mesh")} - {"__init__"}
    assert names == {name for layer in LAYERS for name in layer}


@pytest.mark.parametrize("number", range(len(LAYERS)))
def test_mesh_modules_import_only_lower_layers(number: int) -> None:
    allowed = {name for layer in LAYERS[:number] for name in layer}
    # The public model module may be imported from every layer, and so may the packages with
    # decisions: they import nothing of the mesh but that module.
    allowed |= {"model", *(path.name for path in list_decision_packages())}
    for name in LAYERS[number]:
        for module in find_imports(PACKAGE / "mesh" / f"{name}.py"):
            if module.startswith("balsamhead.mesh."):
                target = module.removeprefix("balsamhead.mesh.")
                assert target in allowed, (name, target)


#: modules of the mesh that its sub-packages with decisions may import
DECISION_IMPORTS = ("balsamhead.mesh.model", "balsamhead.errors", "balsamhead.util")
#: modules of the standard library that do input or output
IO_MODULES = ("asyncio", "socket", "selectors", "threading")


def list_decision_packages() -> list[Path]:
    folders = (PACKAGE / "mesh").iterdir()
    return sorted(path for path in folders if (path / "__init__.py").exists())


# Decisions that know the node or its sockets can't run in a test without a network.
def test_decision_packages_import_neither_the_node_nor_input_and_output() -> None:
    for folder in list_decision_packages():
        own = f"balsamhead.mesh.{folder.name}"
        for path in folder.glob("*.py"):
            for module in find_imports(path):
                assert module.partition(".")[0] not in IO_MODULES, (path, module)
                if module.startswith("balsamhead."):
                    assert module.startswith((own, *DECISION_IMPORTS)), (path, module)


def test_adapter_imports_only_errors_utilities_and_the_mesh_model() -> None:
    for path in list_modules("platform"):
        for module in find_imports(path):
            if module.startswith("balsamhead."):
                assert module.startswith(
                    ("balsamhead.errors", "balsamhead.util", "balsamhead.platform")
                ) or (module == "balsamhead.mesh.model"), (path.name, module)


def test_only_listed_mesh_modules_import_the_adapter() -> None:
    users = {
        path.stem
        for path in list_modules("mesh")
        if any(module.startswith("balsamhead.platform") for module in find_imports(path))
    }
    assert users == ADAPTER_USERS


def test_wire_names_of_the_platform_occur_only_in_the_adapter() -> None:
    found = [
        (path.name, line)
        for path in PACKAGE.rglob("*.py")
        if path.parent.name != "platform"
        for line in path.read_text().splitlines()
        if WIRE_WORDS.search(line)
    ]
    assert found == []
