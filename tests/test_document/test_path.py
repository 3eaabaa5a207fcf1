from __future__ import annotations

from itertools import product

from hypothesis import given
from hypothesis import strategies as st

from balsamhead.document._path import PatternIndex, split_pattern

SEGMENTS = st.sampled_from(["a", "b", "*"])
GET = frozenset({"GET"})

#: all paths of up to four segments, which distinguish all patterns drawn here; "c" is matched
#: by wildcards only
PATHS = [path for length in range(5) for path in product("abc", repeat=length)]


@st.composite
def patterns(draw: st.DrawFn) -> tuple[str, ...]:
    segments = tuple(draw(st.lists(SEGMENTS, max_size=3)))
    return (*segments, "**") if draw(st.booleans()) else segments


def is_match(pattern: tuple[str, ...], path: tuple[str, ...]) -> bool:
    if pattern[-1:] == ("**",):
        pattern = pattern[:-1]
        path = path[: len(pattern)]
    pairs = zip(pattern, path, strict=False)
    return len(pattern) == len(path) and all(part in ("*", given) for part, given in pairs)


@given(patterns(), patterns())
def test_overlap_is_found_exactly_when_some_path_matches_both(
    one: tuple[str, ...], other: tuple[str, ...]
) -> None:
    index = PatternIndex()
    index.add(one, GET, 1)
    expected = any(is_match(one, path) and is_match(other, path) for path in PATHS)
    assert (index.find_overlapping(other, GET) == 1) == expected


def test_patterns_of_different_methods_do_not_overlap() -> None:
    index = PatternIndex()
    index.add(("a",), GET, 1)
    assert index.find_overlapping(("a",), frozenset({"POST"})) is None


def test_variable_does_not_match_an_empty_segment() -> None:
    index = PatternIndex()
    index.add(split_pattern("/"), GET, 1)
    assert index.find_overlapping(split_pattern("/{any}"), GET) is None
    assert index.find_overlapping(split_pattern("/**"), GET) == 1
