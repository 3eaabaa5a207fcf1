"""Test warnings about entries of valid documents that have no effect or contradict each other."""

from __future__ import annotations

from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamhead.document import (
    PRESETS,
    Document,
    DocumentError,
    Mistake,
    RolloutPolicy,
    find_warnings,
    parse_document,
)
from balsamhead.rollout import get_shortest_rollout_s, plan_rollout
from balsamhead.routing import RouteTable
from tests.test_document.builders import NOW, Tree, make_route, make_service, make_tree, render_toml

EXAMPLES = Path(__file__).parents[2] / "examples"


def parse(tree: Tree) -> Document:
    return parse_document(render_toml(tree), file="a.toml", written_at=NOW)


def warn(tree: Tree, previous: Document | None = None) -> tuple[Mistake, ...]:
    return find_warnings(
        parse(tree),
        written_at=NOW,
        get_shortest_rollout_s=get_shortest_rollout_s,
        previous=previous,
    )


def list_codes(tree: Tree, previous: Document | None = None) -> list[tuple[str, str]]:
    return [(warning.place, warning.code) for warning in warn(tree, previous)]


def find_mistakes(tree: Tree) -> set[str]:
    try:
        parse(tree)
    except DocumentError as exc:
        return {mistake.code for mistake in exc.mistakes}
    return set()


def find_route(tree: Tree, path: str, method: str = "GET") -> str | None:
    table = RouteTable(parse(tree).routes)
    route = table.match(host="garden.example", path=path, method=method).route
    return route.name if route else None


@pytest.mark.parametrize("name", ["plotlist", "setxanh"])
def test_example_documents_have_no_warnings(name: str) -> None:
    text = (EXAMPLES / f"{name}.toml").read_text()
    document = parse_document(text, file=name, written_at=NOW)
    assert (
        find_warnings(document, written_at=NOW, get_shortest_rollout_s=get_shortest_rollout_s) == ()
    )


def test_small_document_has_no_warnings() -> None:
    assert warn(make_tree()) == ()


def test_route_with_an_escape_is_reported_with_the_route_that_takes_its_calls() -> None:
    tree = make_tree()
    tree["route"].append(make_route("escaped", "store", "/a%7Eb", ["GET"]))
    tree["route"].append(make_route("plain", "store", "/a~b", ["GET"]))
    assert find_route(tree, "/a%7Eb") == find_route(tree, "/a~b") == "plain"
    (warning,) = warn(tree)
    assert (warning.place, warning.code) == ('route "escaped".path', "route-never-matches")
    assert 'route "plain" takes the other calls' in warning.message

    del tree["route"][-1]
    assert find_route(tree, "/a%7Eb") is None
    assert "refused" in warn(tree)[0].message


def test_service_without_a_usable_route_is_reported() -> None:
    tree = make_tree()
    del tree["route"][2]
    assert list_codes(tree) == [('service "store"', "service-unreachable")]
    assert 'service "desk" depends on it' in warn(tree)[0].message
    tree["route"].append(make_route("rest", "store", "/%7Efiles", ["GET"]))
    assert ('service "store"', "service-unreachable") in list_codes(tree)


# Two routes that match the same call are a mistake, so that none can be hidden by another.
@given(
    st.lists(
        st.tuples(
            st.lists(st.sampled_from(["a", "b", "{x}", "{y}"]), max_size=3),
            st.booleans(),
            st.sampled_from([["GET"], ["POST"], ["GET", "POST"]]),
        ),
        min_size=1,
        max_size=6,
    )
)
def test_each_route_without_a_warning_gets_the_calls_that_its_path_describes(
    rows: list[tuple[list[str], bool, list[str]]],
) -> None:
    tree = make_tree()
    tree["route"] = []
    calls: list[tuple[str, str, str]] = []
    for number, (segments, is_open, methods) in enumerate(rows):
        name = f"r{number}"
        path = "/" + "/".join([*segments, "**"] if is_open else segments)
        tree["route"].append(make_route(name, "desk", path, methods))
        filled = "/" + "/".join("z" if "{" in segment else segment for segment in segments)
        calls += [(name, filled, method) for method in methods]
    mistakes = find_mistakes(tree)
    if mistakes:
        assert mistakes == {"routes-overlap"}
        return
    assert all(code != "route-never-matches" for _, code in list_codes(tree))
    assert [find_route(tree, path, method) for _, path, method in calls] == [
        name for name, _, _ in calls
    ]


def test_deadline_below_the_latency_objective_is_reported() -> None:
    tree = make_tree()
    tree["route"][0]["deadline-ms"] = 249
    tree["route"][1]["deadline-ms"] = 250
    assert list_codes(tree) == [('route "read".deadline-ms', "deadline-below-objective")]


def test_connections_below_the_slots_of_a_worker_are_reported() -> None:
    tree = make_tree()
    tree["service"][0]["connections"] = 5
    tree["service"][1]["connections"] = 6
    assert list_codes(tree) == [('service "desk".connections', "connections-below-slots")]


def test_connections_below_the_calls_of_a_caller_are_reported() -> None:
    tree = make_tree()
    tree["service"].append(make_service("shelf", []))
    tree["service"][1]["depends-on"] = ["shelf"]
    tree["route"].append(make_route("shelf", "shelf", "/shelf", ["GET"]))
    tree["service"][0] |= {"workers": 300, "slots": 6}
    tree["service"][1] |= {"workers": 13, "connections": 130}
    assert list_codes(tree) == [('service "store".connections', "connections-below-callers")]
    tree["service"][1]["connections"] = 139
    assert list_codes(tree) == []


@pytest.mark.parametrize(
    ("change", "is_known", "codes"),
    [
        ({"due": datetime.fromtimestamp(NOW + 40, tz=UTC)}, False, ["time-due-too-near"]),
        # the version in force starts no rollout
        ({"due": datetime.fromtimestamp(NOW + 40, tz=UTC)}, True, []),
        (
            {"version": "2", "due": datetime.fromtimestamp(NOW + 40, tz=UTC)},
            True,
            ["time-due-too-near"],
        ),
        ({"version": "2", "due": datetime.fromtimestamp(NOW + 600, tz=UTC)}, True, []),
        ({"version": "2", "due": None}, True, ["time-due-missing"]),
        ({"version": "2", "due": None}, False, []),
        ({"name": "new", "due": None}, True, []),
        ({"name": "new", "due": datetime.fromtimestamp(NOW + 40, tz=UTC)}, True, []),
    ],
)
def test_times_due_are_compared_with_the_settings_of_the_rollout(
    change: dict[str, Any], is_known: bool, codes: list[str]
) -> None:
    previous = parse(make_tree()) if is_known else None
    tree = make_tree()
    tree["service"][1] |= change
    if change.get("due", "") is None:
        del tree["service"][1]["due"]
    if "name" in change:
        tree["service"][0]["depends-on"] = ["new"]
        tree["route"][2]["service"] = "new"
    assert [code for _, code in list_codes(tree, previous)] == codes


@given(
    st.sampled_from(sorted(PRESETS)),
    st.floats(0.0001, 0.05),
    st.floats(1.1, 100),
    st.lists(st.floats(0.1, 1e6), min_size=1, max_size=4),
    st.floats(10, 10_000),
)
def test_no_planned_rollout_is_on_time_within_less_than_the_shortest_time(
    preset: str, first_share: float, step_factor: float, rates: list[float], window_s: float
) -> None:
    policy: RolloutPolicy = PRESETS[preset]._replace(
        first_share=first_share, step_factor=step_factor
    )
    plan = plan_rollout(
        policy,
        {f"r{number}": rate for number, rate in enumerate(rates)},
        share=0.0,
        now=NOW,
        due_at=NOW + window_s,
    )
    assert not plan.meets_due_time or window_s >= get_shortest_rollout_s(policy) - 1e-3
