from __future__ import annotations

import contextlib
import random
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamhead.document import (
    MAX_DOCUMENT_BYTES,
    Document,
    DocumentError,
    check_document,
    digest_document,
    parse_document,
    render_difference,
    render_document,
    sort_document,
)
from balsamhead.util import codec
from tests.test_document.builders import (
    NOW,
    Tree,
    make_route,
    make_service,
    make_tree,
    render_toml,
    trees,
)

EXAMPLES = Path(__file__).parents[2] / "examples"


def parse(text: str, *, now: float = NOW, previous: Document | None = None) -> Document:
    return parse_document(text, file="a.toml", written_at=now, previous=previous)


def find_mistakes(tree: Tree) -> set[tuple[str, str]]:
    try:
        parse(render_toml(tree))
    except DocumentError as exc:
        return {(mistake.place, mistake.code) for mistake in exc.mistakes}
    return set()


def set_value(*path: str | int, value: Any) -> Callable[[Tree], None]:
    def mutate(tree: Any) -> None:
        for part in path[:-1]:
            tree = tree[part]
        tree[path[-1]] = value

    return mutate


def delete_value(*path: str | int) -> Callable[[Tree], None]:
    def mutate(tree: Any) -> None:
        for part in path[:-1]:
            tree = tree[part]
        del tree[path[-1]]

    return mutate


PAST_TIME = datetime.fromtimestamp(NOW - 1, tz=UTC)
OVERLAPPING_ROUTE = make_route("same", "desk", "/items/mine", ["GET"])

#: mutations that each make one place of the small valid document invalid, with the place and
#: the code that are reported
MUTATIONS = [
    (set_value("nmae", value="x"), "nmae", "key-unknown"),
    (set_value("service", 0, "worker", value=1), "service[1].worker", "key-unknown"),
    (
        set_value("service", 0, "rollout", "watch", value=1),
        "service[1].rollout.watch",
        "key-unknown",
    ),
    (set_value("route", 2, "timeout", value=1), "route[3].timeout", "key-unknown"),
    (delete_value("name"), "name", "key-missing"),
    (delete_value("route"), "route", "key-missing"),
    (delete_value("service", 1, "objective"), "service[2].objective", "key-missing"),
    (delete_value("route", 1, "deadline-ms"), "route[2].deadline-ms", "key-missing"),
    (set_value("name", value=3), "name", "type-wrong"),
    (set_value("region", value={"name": "east"}), "region", "type-wrong"),
    (set_value("service", 0, "slots", value=True), "service[1].slots", "type-wrong"),
    (set_value("service", 0, "slots", value=6.0), "service[1].slots", "type-wrong"),
    (set_value("service", 0, "rollout", value=[]), "service[1].rollout", "type-wrong"),
    (set_value("service", 0, "due", value="soon"), "service[1].due", "type-wrong"),
    (set_value("service", 0, "due", value=datetime(2031, 1, 1)), "service[1].due", "type-wrong"),
    (set_value("route", 0, "methods", value="GET"), "route[1].methods", "type-wrong"),
    (set_value("route", 0, "idempotent", value="yes"), "route[1].idempotent", "type-wrong"),
    (set_value("service", 0, "workers", value=0), "service[1].workers", "value-out-of-range"),
    (
        set_value("route", 0, "deadline-ms", value=10**400),
        "route[1].deadline-ms",
        "value-out-of-range",
    ),
    (set_value("route", 0, "methods", value=[]), "route[1].methods", "value-out-of-range"),
    (
        set_value("service", 0, "objective", "availability", value=1.0),
        "service[1].objective.availability",
        "value-out-of-range",
    ),
    (
        set_value("service", 0, "rollout", "first-share", value=float("nan")),
        "service[1].rollout.first-share",
        "value-out-of-range",
    ),
    (
        set_value("service", 0, "rollout", "preset", value="fast"),
        "service[1].rollout.preset",
        "value-not-allowed",
    ),
    (set_value("service", 1, "version", value=""), "service[2].version", "value-not-allowed"),
    (set_value("route", 0, "methods", value=["get"]), "route[1].methods", "value-not-allowed"),
    (set_value("route", 0, "host", value="A.example"), "route[1].host", "value-not-allowed"),
    (set_value("route", 0, "service", value="shop"), "route[1].service", "service-missing"),
    (
        set_value("service", 1, "depends-on", value=["x"]),
        "service[2].depends-on",
        "service-missing",
    ),
    (
        set_value("service", 1, "depends-on", value=["desk"]),
        "service[1].depends-on",
        "dependency-cycle",
    ),
    (
        set_value("service", 1, "depends-on", value=["store"]),
        "service[2].depends-on",
        "dependency-cycle",
    ),
    (set_value("route", 0, "regions", value="east"), "route[1].regions", "type-wrong"),
    (set_value("route", 0, "regions", value=["East"]), "route[1].regions", "value-not-allowed"),
    (
        set_value("route", 0, "regions", value=["east"] * 17),
        "route[1].regions",
        "value-out-of-range",
    ),
    (
        set_value("route", 0, "regions", value=["east", "south"]),
        "route[1].regions",
        "region-missing",
    ),
    (set_value("route", 1, "methods", value=["GET"]), "route[2].path", "routes-overlap"),
    (set_value("route", 2, "path", value="/**"), "route[3].path", "routes-overlap"),
    (set_value("route", 2, value=OVERLAPPING_ROUTE), "route[3].path", "routes-overlap"),
    (set_value("service", 0, "due", value=PAST_TIME), "service[1].due", "time-due-impossible"),
    (
        set_value("service", 0, "due", value=datetime(9999, 1, 1, tzinfo=UTC)),
        "service[1].due",
        "time-due-impossible",
    ),
    (set_value("route", 1, "name", value="read"), "route[2].name", "name-duplicate"),
    (set_value("region", 1, "name", value="east"), "region[2].name", "name-duplicate"),
    (
        set_value("region", 1, "data-centres", value=["east-a"]),
        "region[2].data-centres",
        "name-duplicate",
    ),
    (set_value("route", 0, "path", value="items"), "route[1].path", "path-invalid"),
    (set_value("route", 0, "path", value="/a//b"), "route[1].path", "path-invalid"),
    (set_value("route", 0, "path", value="/**/b"), "route[1].path", "path-invalid"),
    (set_value("route", 0, "path", value="/{A}"), "route[1].path", "path-invalid"),
    (set_value("route", 0, "path", value="/a b"), "route[1].path", "path-invalid"),
    (set_value("route", 0, "path", value="/../b"), "route[1].path", "path-invalid"),
    (set_value("region", value=[{}] * 17), "region", "document-too-large"),
    (set_value("service", value=[{}] * 501), "service", "document-too-large"),
]


@pytest.mark.parametrize("name", ["plotlist", "setxanh"])
def test_example_document_is_valid(name: str) -> None:
    text = (EXAMPLES / f"{name}.toml").read_text()
    assert parse_document(text, file=name, written_at=NOW).name == name


@pytest.mark.parametrize(("mutate", "place", "code"), MUTATIONS)
def test_mutation_is_reported_with_its_place_and_code(
    mutate: Callable[[Tree], None], place: str, code: str
) -> None:
    tree = make_tree()
    mutate(tree)
    assert (f"a.toml: {place}", code) in find_mistakes(tree)


@given(st.randoms(use_true_random=False))
def test_mutations_at_different_places_are_reported_together(rng: random.Random) -> None:
    fields = [row for row in MUTATIONS if row[1].count("[") == 1 and "name" not in row[1]]
    fields = [row for row in fields if row[2] in {"key-unknown", "type-wrong", "path-invalid"}]
    chosen = {place: (mutate, code) for mutate, place, code in rng.sample(fields, 4)}
    if "service[1].rollout" in chosen:
        chosen.pop("service[1].rollout.watch", None)

    tree = make_tree()
    expected = set()
    for place, (mutate, code) in chosen.items():
        mutate(tree)
        expected.add((f"a.toml: {place}", code))
    assert expected <= find_mistakes(tree)


def test_only_invalid_places_are_reported() -> None:
    tree = make_tree()
    del tree["service"][0]["objective"]
    tree["route"][0]["service"] = 4
    assert find_mistakes(tree) == {
        ("a.toml: service[1].objective", "key-missing"),
        ("a.toml: route[1].service", "type-wrong"),
    }


def test_missing_region_is_reported_with_the_closest_one() -> None:
    tree = make_tree()
    tree["route"][0]["regions"] = ["wets"]
    with pytest.raises(DocumentError) as info:
        parse(render_toml(tree))
    (mistake,) = info.value.mistakes
    assert mistake.message == (
        'no [[region]] has the name "wets"; did you mean "west"? (in route "read")'
    )


def test_regions_without_a_data_centre_are_reported_at_the_route_too() -> None:
    tree = make_tree()
    tree["region"][1]["data-centres"] = []
    tree["route"][0]["regions"] = ["west"]
    tree["route"][1]["regions"] = ["west", "east"]
    assert find_mistakes(tree) == {
        ("a.toml: region[2].data-centres", "value-out-of-range"),
        ("a.toml: route[1].regions", "region-empty"),
    }


# A region that is removed makes a route invalid that stays as it is.
def test_regions_of_an_unchanged_route_are_checked() -> None:
    tree = make_tree()
    tree["route"][0]["regions"] = ["west"]
    previous = parse(render_toml(tree))
    document = previous._replace(regions=previous.regions[:1])
    mistakes = check_document(document, written_at=NOW, previous=previous)
    assert [mistake.code for mistake in mistakes] == ["region-missing"]


def test_regions_are_kept_by_rendering_and_shown_in_the_difference() -> None:
    old = parse(render_toml(make_tree()))
    tree = make_tree()
    tree["route"][0]["regions"] = ["west", "east"]
    new = parse(render_toml(tree))
    assert parse(render_document(new)) == new
    assert digest_document(new) != digest_document(old)
    assert render_difference(old, new) == ("route read: regions [] -> [west, east]",)


# Nodes of the release before compute the digest over eight fields of a route, and reject the key.
def test_document_without_regions_keeps_its_digest_and_its_text() -> None:
    document = parse(render_toml(make_tree()))
    routes = tuple(tuple(route)[:8] for route in document.routes)
    encoded = codec.encode(document._replace(routes=routes))  # type: ignore[arg-type]
    assert digest_document(document) == codec.compute_digest(encoded).hex()
    assert "regions" not in render_document(document)


def test_unknown_key_is_reported_with_the_closest_known_key() -> None:
    with pytest.raises(DocumentError) as info:
        parse(render_toml(make_tree() | {"servcie": 1}))
    assert 'did you mean "service"?' in info.value.mistakes[0].message


def test_syntax_error_is_reported_with_its_line() -> None:
    with pytest.raises(DocumentError) as info:
        parse('name = "garden"\nregion = [\n')
    (mistake,) = info.value.mistakes
    assert mistake.code == "toml-syntax"
    assert "line" in mistake.message or "end of document" in mistake.message


#: texts whose parsing would take excessive time or memory
EXPENSIVE_TEXTS = [
    "x = " + "[" * 100_000,
    "#" * (MAX_DOCUMENT_BYTES + 1),
    "a" + ".a" * 120_000 + " = 1",
    "[a" + ".a" * 120_000 + "]",
    "'" * 3 + "x" + "'" * 3 + "a" + ".a" * 17 + " = 1",
    "[[route]]\n" * 20_000,
]


@pytest.mark.parametrize("text", EXPENSIVE_TEXTS, ids=range(len(EXPENSIVE_TEXTS)))
def test_text_that_is_expensive_to_parse_is_refused(text: str) -> None:
    with pytest.raises(DocumentError) as info:
        parse(text)
    assert len(info.value.mistakes) <= 5


def test_dots_in_strings_and_comments_do_not_count_as_key_parts() -> None:
    tree = make_tree()
    tree["route"][0]["host"] = "a." * 30 + "example"
    assert parse(render_toml(tree) + "\n# " + "." * 80)


def test_message_about_a_long_cycle_is_shortened() -> None:
    tree = make_tree()
    names = [f"s{number}" for number in range(40)]
    pairs = zip(names, names[1:] + names[:1], strict=True)
    tree["service"] += [make_service(name, [needed]) for name, needed in pairs]
    with pytest.raises(DocumentError) as info:
        parse(render_toml(tree))
    (mistake,) = info.value.mistakes
    assert mistake.message.endswith('"s6" -> "s7" -> 32 more -> "s0" (in service "s0")')


def test_messages_contain_only_printable_characters() -> None:
    tree = make_tree()
    tree["route"][0]["service"] = "a\x1b[2J\n\ud800"
    tree["ke\x07y"] = 1
    with pytest.raises(DocumentError) as info:
        parse(render_toml(tree).replace("\\ud800", "\ud800"))
    assert len(info.value.mistakes) == 3
    assert all(mistake.message.isprintable() for mistake in info.value.mistakes)
    assert all(mistake.place.isprintable() for mistake in info.value.mistakes)


def test_list_of_mistakes_is_limited_and_omitted_ones_are_counted() -> None:
    text = render_toml(make_tree()) + "\n" + "\n".join(f"k{n} = 1" for n in range(1_000))
    with pytest.raises(DocumentError) as info:
        parse(text)
    assert info.value.mistakes[-1].message == "and 800 more mistakes"
    assert "1,000 mistakes" in info.value.message


def test_cost_of_comparing_patterns_is_limited() -> None:
    document = parse(render_toml(make_tree()))
    route, *_ = document.routes
    paths = [f"/a{n}/x" for n in range(1_000)] + [f"/{{t}}/b{n}" for n in range(1_000)]
    routes = [route._replace(name=f"r{n}", path=path) for n, path in enumerate(paths)]
    mistakes = check_document(document._replace(routes=tuple(routes)), written_at=NOW)
    assert [mistake.code for mistake in mistakes] == ["document-too-large"]


@given(trees(), st.randoms(use_true_random=False))
def test_mistakes_are_the_same_with_a_previous_document(tree: Tree, rng: random.Random) -> None:
    previous = parse(render_toml(tree))
    route = rng.choice(previous.routes)
    changes: list[dict[str, Any]] = [
        {"deadline_ms": 0},
        {"path": "/{a}/{b}"},
        {"service": "shop"},
        {"name": "Read"},
        {"host": "other.example"},
    ]
    changed = route._replace(**rng.choice(changes))
    document = previous._replace(routes=(*previous.routes, changed))
    with_previous = check_document(document, written_at=NOW, previous=previous)
    assert with_previous == check_document(document, written_at=NOW)


@given(st.text(max_size=200))
def test_arbitrary_text_raises_only_document_error(text: str) -> None:
    with contextlib.suppress(DocumentError):
        parse(text)


ARBITRARY_VALUES = st.recursive(
    st.booleans() | st.integers() | st.text(max_size=8) | st.floats(allow_nan=False, width=16),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=6,
)


@given(st.data())
def test_arbitrary_value_at_any_place_raises_only_document_error(data: st.DataObject) -> None:
    tree: Any = make_tree()
    container = tree
    while True:
        keys = list(container) if isinstance(container, dict) else list(range(len(container)))
        key = data.draw(st.sampled_from(keys))
        inner = container[key]
        if not isinstance(inner, dict | list) or not inner or data.draw(st.booleans()):
            break
        container = inner
    container[key] = data.draw(ARBITRARY_VALUES)
    with contextlib.suppress(DocumentError):
        parse(render_toml(tree))


@given(trees(), st.randoms(use_true_random=False))
def test_encoding_round_trip_does_not_depend_on_row_order(tree: Tree, rng: random.Random) -> None:
    document = parse(render_toml(tree))
    for key in ("service", "route"):
        rng.shuffle(tree[key])
    shuffled = parse(render_toml(tree))

    decoded = codec.decode(codec.encode(shuffled), Document, step="test")
    assert decoded == document
    assert digest_document(decoded) == digest_document(document)
    assert check_document(decoded, written_at=NOW) == ()
    assert render_difference(document, decoded) == ()


@given(trees(), trees())
def test_digests_are_equal_exactly_when_documents_are_equal(one: Tree, other: Tree) -> None:
    first, second = parse(render_toml(one)), parse(render_toml(other))
    is_same = digest_document(first) == digest_document(second)
    assert is_same == (first == second) == (render_difference(first, second) == ())


def test_unchanged_due_time_may_lie_in_the_past() -> None:
    tree = make_tree()
    previous = parse(render_toml(tree))
    later = NOW + 10_000
    assert parse(render_toml(tree), now=later, previous=previous) == previous

    tree["service"][0]["version"] = "2.0"
    with pytest.raises(DocumentError) as info:
        parse(render_toml(tree), now=later, previous=previous)
    assert [mistake.code for mistake in info.value.mistakes] == ["time-due-impossible"]


def test_difference_lists_each_changed_value() -> None:
    old = parse(render_toml(make_tree()))
    tree = make_tree()
    tree["service"][0]["version"] = "2.0"
    tree["service"][0]["rollout"] = {"preset": "on-time", "watch-s": 5}
    tree["route"][0]["name"] = "look"
    lines = render_difference(old, parse(render_toml(tree)))
    assert lines == (
        "service desk: version 1.0 -> 2.0",
        "service desk: rollout.watch-s 300 -> 5",
        "route look: added",
        "route read: removed",
    )


@given(trees())
def test_rendered_document_parses_to_the_same_document(tree: Tree) -> None:
    document = parse(render_toml(tree))
    assert parse(render_document(document)) == document


@pytest.mark.parametrize("name", ["plotlist", "setxanh"])
def test_rendered_example_parses_to_the_same_document(name: str) -> None:
    document = parse((EXAMPLES / f"{name}.toml").read_text())
    assert parse(render_document(document)) == document


@given(trees())
def test_sorting_is_idempotent(tree: Tree) -> None:
    document = parse(render_toml(tree))
    assert sort_document(document) == document
