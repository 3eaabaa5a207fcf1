"""Describe the differences between two documents."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from balsamhead.util.times import render_time

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from balsamhead.document._model import Document

__all__ = ("render_difference",)

#: largest number of lines that are returned
MAX_LINES: Final = 100


def render_difference(old: Document | None, new: Document) -> tuple[str, ...]:
    """Return one line per value that differs, but at most 100 lines.

    If there are more, the last line says how many are omitted.

    :param old: the document to compare with; None if there is none.
    """
    lines = list(_compare_documents(old, new))
    if len(lines) > MAX_LINES:
        omitted = len(lines) - MAX_LINES + 1
        lines = [*lines[: MAX_LINES - 1], f"and {omitted:,} more"]
    return tuple(lines)


def _compare_documents(old: Document | None, new: Document) -> Iterator[str]:
    if old is None:
        yield f"document {new.name}: added"
    elif old.name != new.name:
        yield f"document: name {old.name} -> {new.name}"
    yield from _compare_rows("region", old.regions if old else (), new.regions)
    yield from _compare_rows("service", old.services if old else (), new.services)
    yield from _compare_rows("route", old.routes if old else (), new.routes)


def _compare_rows(kind: str, old: Sequence[Any], new: Sequence[Any]) -> Iterator[str]:
    old_rows = {row.name: row for row in old}
    new_rows = {row.name: row for row in new}
    for name in sorted(old_rows.keys() | new_rows.keys()):
        if name not in new_rows:
            yield f"{kind} {name}: removed"
        elif name not in old_rows:
            yield f"{kind} {name}: added"
        else:
            for change in _compare_values("", old_rows[name], new_rows[name]):
                yield f"{kind} {name}: {change}"


def _compare_values(prefix: str, old: Any, new: Any) -> Iterator[str]:
    for attribute in old._fields:
        before, after = getattr(old, attribute), getattr(new, attribute)
        key = prefix + attribute.removesuffix("_at").replace("_", "-")
        if before == after:
            continue
        if hasattr(before, "_fields"):
            yield from _compare_values(f"{key}.", before, after)
        else:
            yield f"{key} {_render_value(attribute, before)} -> {_render_value(attribute, after)}"


def _render_value(attribute: str, value: object) -> str:
    if attribute == "due_at":
        return render_time(value) if isinstance(value, float) else str(value)
    if isinstance(value, tuple):
        return "[" + ", ".join(value) + "]"
    if isinstance(value, bool):
        return "true" if value else "false"
    return f"{value:g}" if isinstance(value, float) else str(value)
