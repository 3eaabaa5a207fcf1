"""Validate path patterns and find patterns that match a common path."""

from __future__ import annotations

import re
from typing import Final

__all__ = ("PatternIndex", "find_pattern_fault", "split_pattern")

#: largest length of a pattern, in characters
MAX_PATTERN_LENGTH: Final = 512
#: largest number of segments in a pattern
MAX_SEGMENTS: Final = 16

#: last segment of a pattern that matches zero or more segments
ANY_SEGMENTS: Final = "**"

_LITERAL = re.compile(r"(?:[A-Za-z0-9._~!$&'()+,;=:@-]|%[0-9A-F]{2})+")
_VARIABLE = re.compile(r"\{[a-z][a-z0-9-]*\}")


def split_pattern(path: str) -> tuple[str, ...]:
    """Split a pattern into segments and replace each variable by "*"."""
    segments = path.removeprefix("/").split("/")
    return tuple("*" if _VARIABLE.fullmatch(segment) else segment for segment in segments)


def find_pattern_fault(path: str) -> str:
    """Return why a pattern is invalid, or an empty string if it is valid."""
    if not path.startswith("/"):
        return 'must begin with "/"'
    if len(path) > MAX_PATTERN_LENGTH:
        return f"must have at most {MAX_PATTERN_LENGTH} characters"
    if path == "/":
        return ""

    segments = path[1:].split("/")
    if len(segments) > MAX_SEGMENTS:
        return f"must have at most {MAX_SEGMENTS} segments"
    if ANY_SEGMENTS in segments[:-1]:
        return '"**" may only stand last'
    for number, segment in enumerate(segments, start=1):
        fault = _find_segment_fault(segment)
        if fault:
            return f"segment {number} {fault}"
    return ""


class PatternIndex:
    """Index patterns in a trie of segments, to find overlaps without comparing all pairs.

    :ivar visits: number of trie nodes that all searches have visited, as a measure of their cost.
    """

    def __init__(self) -> None:
        self._root = _TrieNode()
        self.visits = 0

    def add(self, segments: tuple[str, ...], methods: frozenset[str], number: int) -> None:
        """Add a pattern with the number that identifies it."""
        node = self._root
        for segment in segments:
            node = node.children.setdefault(segment, _TrieNode())
        node.entries.append((number, methods))

    def find_overlapping(self, segments: tuple[str, ...], methods: frozenset[str]) -> int | None:
        """Return the number of an added pattern that can match the same request, or None."""
        pending = [(self._root, segments)]
        while pending:
            node, remaining = pending.pop()
            self.visits += 1
            if remaining in ((), (ANY_SEGMENTS,)):
                found = node.find_number(methods)
                if found is not None:
                    return found
            if remaining == (ANY_SEGMENTS,):
                pending += [(child, remaining) for child in node.children.values()]
                continue
            if ANY_SEGMENTS in node.children:
                found = node.children[ANY_SEGMENTS].find_number(methods)
                if found is not None:
                    return found
            if remaining:
                pending += [
                    (child, remaining[1:]) for child in node.find_matching_children(remaining[0])
                ]
        return None


class _TrieNode:
    """Node of the trie: the patterns that end at it, and its child nodes by segment."""

    __slots__ = ("children", "entries")

    def __init__(self) -> None:
        self.children: dict[str, _TrieNode] = {}
        self.entries: list[tuple[int, frozenset[str]]] = []

    def find_matching_children(self, segment: str) -> list[_TrieNode]:
        if segment == "*":
            return [node for name, node in self.children.items() if name not in ("", ANY_SEGMENTS)]
        names = ("",) if segment == "" else (segment, "*")
        return [self.children[name] for name in names if name in self.children]

    def find_number(self, methods: frozenset[str]) -> int | None:
        for number, entry_methods in self.entries:
            if methods & entry_methods:
                return number
        return None


def _find_segment_fault(segment: str) -> str:
    if segment == ANY_SEGMENTS or _VARIABLE.fullmatch(segment) or _LITERAL.fullmatch(segment):
        return "" if segment not in (".", "..") else 'must not be "." or ".."'
    if not segment:
        return "is empty"
    if segment.startswith("{"):
        return 'must be "{name}" with a name of lower-case letters, digits and hyphens'
    return "has a character that a path can't have unescaped"
