"""Build documents and their TOML text."""

from __future__ import annotations

import copy
import json
from datetime import UTC, datetime
from typing import Any

from hypothesis import strategies as st

#: time at which the documents are written, in s since the epoch
NOW = 1_900_000_000.0

Tree = dict[str, Any]

NAMES = st.from_regex(r"[a-z][a-z0-9-]{0,8}", fullmatch=True)


def make_tree() -> Tree:
    """Return a new TOML tree of a small valid document."""
    return copy.deepcopy(
        {
            "name": "garden",
            "region": [
                {"name": "east", "data-centres": ["east-a", "east-b"]},
                {"name": "west", "data-centres": ["west-a"]},
            ],
            "service": [make_service("desk", ["store"]), make_service("store", [])],
            "route": [
                make_route("read", "desk", "/items/{item}", ["GET"]),
                make_route("write", "desk", "/items/{item}", ["POST"]),
                make_route("rest", "store", "/files/**", ["GET", "HEAD"]),
            ],
        }
    )


def make_service(name: str, depends_on: list[str]) -> Tree:
    """Return the TOML tree of a service."""
    return {
        "name": name,
        "workers": 3,
        "slots": 6,
        "connections": 130,
        "depends-on": depends_on,
        "version": "1.0",
        "due": datetime.fromtimestamp(NOW + 600, tz=UTC),
        "objective": {"availability": 0.999, "latency-ms": 250, "latency-share": 0.99},
        "rollout": {"preset": "on-time"},
    }


def make_route(name: str, service: str, path: str, methods: list[str]) -> Tree:
    """Return the TOML tree of a route."""
    return {
        "name": name,
        "service": service,
        "host": "garden.example",
        "path": path,
        "methods": methods,
        "deadline-ms": 2000,
        "idempotent": True,
        "bulk": False,
    }


def render_toml(tree: Tree) -> str:
    """Render a tree as TOML, with inline tables."""
    return "\n".join(f"{json.dumps(key)} = {_render(value)}" for key, value in tree.items())


def _render(value: Any) -> str:
    if isinstance(value, dict):
        return "{" + ", ".join(f"{json.dumps(k)} = {_render(v)}" for k, v in value.items()) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(_render(item) for item in value) + "]"
    if isinstance(value, datetime):
        return value.isoformat()
    if isinstance(value, float):
        return repr(value)
    return json.dumps(value)


@st.composite
def trees(draw: st.DrawFn) -> Tree:
    """Draw the TOML tree of a valid document."""
    names = draw(st.lists(NAMES, min_size=1, max_size=5, unique=True))
    services = []
    for number, name in enumerate(names):
        dependencies = (
            draw(st.lists(st.sampled_from(names[:number]), unique=True)) if number else []
        )
        service = make_service(name, dependencies)
        service["workers"] = draw(st.integers(1, 10_000))
        service["objective"]["availability"] = draw(st.floats(0.5, 0.999))
        service["rollout"] = {"preset": draw(st.sampled_from(["on-time", "quick-rollback"]))}
        service["due"] = datetime.fromtimestamp(NOW + draw(st.integers(10, 10**7)), tz=UTC)
        services.append(service)

    routes = []
    for name in draw(st.lists(NAMES, min_size=1, max_size=6, unique=True)):
        route = make_route(name, draw(st.sampled_from(names)), f"/{name}/{{item}}", ["GET"])
        route["deadline-ms"] = draw(st.integers(1, 3_600_000))
        route["bulk"] = draw(st.booleans())
        routes.append(route)
    regions = [{"name": "east", "data-centres": ["east-a"]}]
    return {"name": draw(NAMES), "region": regions, "service": services, "route": routes}
