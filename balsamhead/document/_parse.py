"""Parse the TOML text of a document and report all of its mistakes together."""

from __future__ import annotations

import re
import tomllib
from typing import TYPE_CHECKING, Any, Final

from balsamhead.document._check import check_document
from balsamhead.document._digest import sort_document
from balsamhead.document._model import (
    Document,
    Objective,
    Region,
    RolloutPolicy,
    Route,
    Service,
)
from balsamhead.document._schema import (
    MAX_DOCUMENT_BYTES,
    MAX_ROWS,
    OBJECTIVE_FIELDS,
    PRESETS,
    REGION_FIELDS,
    ROLLOUT_FIELDS,
    ROUTE_FIELDS,
    SERVICE_FIELDS,
    TOP_FIELDS,
)
from balsamhead.errors import DocumentError, Mistake
from balsamhead.util.fields import (
    Fault,
    Kind,
    convert_value,
    describe_kind_fault,
    describe_unknown_key,
    find_closest_key,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamhead.util.fields import Field, Value

__all__ = ("parse_document",)

#: largest number of mistakes that an error lists
MAX_MISTAKES: Final = 200

#: largest number of parts in a dotted key; memory for parsing grows with its square
MAX_KEY_PARTS: Final = 16

#: a string or a comment; an unterminated multi-line string extends to the end of the text
_STRING_OR_COMMENT = re.compile(
    r'''
    """ (?: \\. | [^\\] )*? (?: """ | \\?\Z )
    | \'{3} .*? (?: \'{3} | \Z )
    | " (?: \\. | [^"\\\n] )* "?
    | \' [^\'\n]* \'?
    | \# [^\n]*
    ''',
    re.DOTALL | re.VERBOSE,
)

_LONG_DOTTED_KEY = re.compile(
    r'(?:(?<![\w-])[\w-]++|"")(?:[ \t]*+\.[ \t]*+(?:[\w-]++|""))' + f"{{{MAX_KEY_PARTS},}}"
)

_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_ROW_PLACE = re.compile(r"(?P<key>region|service|route)\[(?P<number>\d+)\]")

#: placeholders for values that are missing or of the wrong kind, so that the other values can
#: still be checked
_PLACEHOLDERS: dict[Kind, Value] = {
    Kind.TEXT: "",
    Kind.INTEGER: 0,
    Kind.NUMBER: 0.0,
    Kind.FLAG: False,
    Kind.TEXTS: (),
    Kind.TIME: 0.0,
}


def parse_document(
    text: str,
    *,
    file: str,
    written_at: float,
    previous: Document | None = None,
    is_in_force: bool = False,
) -> Document:
    """Parse and check the text of a document.

    :param file: name of the file, which the place of each mistake begins with.
    :param written_at: when the document is published, in s since the epoch.
    :param previous: the document in force; a due time that is unchanged from it may lie in the
        past.
    :param is_in_force: the text is that of the document in force, whose due times are not checked.
    :raises DocumentError: the document has mistakes; the error lists the first 200 of them.
    """
    reader = _TreeReader()
    tree = reader.parse_toml(text)
    document = reader.read_document(tree) if tree is not None else None
    if document is not None:
        mistakes = check_document(document, written_at=written_at, previous=previous)
        reader.add_mistakes(
            row for row in mistakes if not (is_in_force and row.code == "time-due-impossible")
        )
    if document is None or reader.mistakes:
        raise _make_error(file, reader.mistakes, tree or {})
    return sort_document(document)


def _make_error(file: str, mistakes: list[Mistake], tree: dict[str, Any]) -> DocumentError:
    names = {
        "service-missing": _collect_names(tree.get("service")),
        "region-missing": _collect_names(tree.get("region")),
    }
    listed = [_add_context(mistake, file, tree, names) for mistake in mistakes[:MAX_MISTAKES]]
    omitted = len(mistakes) - len(listed)
    if omitted:
        listed.append(Mistake(file, "document-invalid", f"and {omitted:,} more mistakes"))
    noun = "mistake" if len(mistakes) == 1 else "mistakes"
    return DocumentError(
        f"{file} has {len(mistakes):,} {noun}; nothing was changed",
        step="check-document",
        mistakes=tuple(listed),
    )


def _add_context(
    mistake: Mistake, file: str, tree: dict[str, Any], names: dict[str, set[str]]
) -> Mistake:
    """Add the file, the name of the row, and a suggestion for a name that doesn't exist.

    :param names: names that exist, by the code of the mistake.
    """
    message = mistake.message
    if mistake.code in names:
        nearest = find_closest_key(message.partition('"')[2].rstrip('"'), names[mistake.code])
        message += f'; did you mean "{nearest}"?' if nearest else ""

    row = _ROW_PLACE.match(mistake.place)
    if row is not None and not mistake.place.endswith(".name"):
        name = _get_name(tree[row["key"]][int(row["number"]) - 1])
        message += f' (in {row["key"]} "{name}")' if name else ""
    place = f"{file}: {mistake.place}" if mistake.place else file
    return Mistake(place, mistake.code, message)


def _collect_names(rows: object) -> set[str]:
    return {_get_name(row) for row in rows} if isinstance(rows, list) else set()


def _get_name(row: object) -> str:
    name = row.get("name") if isinstance(row, dict) else None
    return name if isinstance(name, str) and _NAME.fullmatch(name) else ""


class _TreeReader:
    """Convert a TOML tree to a document and collect its mistakes."""

    def __init__(self) -> None:
        self.mistakes: list[Mistake] = []
        self._reported_places: set[str] = set()

    def add_mistakes(self, mistakes: Iterable[Mistake]) -> None:
        """Add the mistakes whose places have not been reported before this call."""
        found = [mistake for mistake in mistakes if mistake.place not in self._reported_places]
        self.mistakes += found
        self._reported_places.update(mistake.place for mistake in found)

    def parse_toml(self, text: str) -> dict[str, Any] | None:
        """Parse the text and return its tree; if that fails, add a mistake and return None."""
        size = len(text.encode("utf-8", errors="replace"))
        if size > MAX_DOCUMENT_BYTES:
            message = f"{size:,} bytes; at most {MAX_DOCUMENT_BYTES:,} are allowed"
            self.add_mistakes([Mistake("", "document-too-large", message)])
            return None
        if _has_long_dotted_key(text):
            message = f"a key has more than {MAX_KEY_PARTS} parts"
            self.add_mistakes([Mistake("", "toml-syntax", message)])
            return None
        try:
            return tomllib.loads(text)
        except RecursionError:
            self.add_mistakes([Mistake("", "toml-syntax", "values are nested too deeply")])
        except ValueError as exc:
            self.add_mistakes([Mistake("", "toml-syntax", f"not valid TOML: {exc}")])
        return None

    def read_document(self, tree: dict[str, Any]) -> Document:
        """Convert the whole tree, with placeholders for missing values and for wrong types."""
        tables = ("region", "service", "route")
        values = self._read_fields("", tree, TOP_FIELDS, extra=tables)
        rows = {table: self._read_rows(table, tree) for table in tables}
        return Document(
            name=str(values["name"]),
            regions=tuple(self._read_region(path, row) for path, row in rows["region"]),
            services=tuple(self._read_service(path, row) for path, row in rows["service"]),
            routes=tuple(self._read_route(path, row) for path, row in rows["route"]),
        )

    def _read_rows(self, key: str, tree: dict[str, Any]) -> list[tuple[str, dict[str, Any]]]:
        raw = tree.get(key, [])
        if not isinstance(raw, list) or not all(isinstance(row, dict) for row in raw):
            self._add_fault(key, Fault("type-wrong", f"must be written as [[{key}]] tables"))
            return []
        if len(raw) > MAX_ROWS[key]:
            message = f"{len(raw):,} rows; at most {MAX_ROWS[key]:,} are allowed"
            self._add_fault(key, Fault("document-too-large", message))
            return []
        return [(f"{key}[{number}].", row) for number, row in enumerate(raw, start=1)]

    def _read_region(self, path: str, row: dict[str, Any]) -> Region:
        return Region(**self._read_fields(path, row, REGION_FIELDS))

    def _read_service(self, path: str, row: dict[str, Any]) -> Service:
        values = self._read_fields(path, row, SERVICE_FIELDS, extra=("objective", "rollout"))
        objective = self._read_objective(path, row)
        rollout = self._read_rollout(path, row)
        due_at = values.pop("due")
        return Service(due_at=due_at, objective=objective, rollout=rollout, **values)

    def _read_objective(self, path: str, row: dict[str, Any]) -> Objective:
        table = self._read_table(f"{path}objective", row.get("objective"), required=True)
        if table is None:
            return Objective(availability=0.0, latency_ms=0.0, latency_share=0.0)
        return Objective(**self._read_fields(f"{path}objective.", table, OBJECTIVE_FIELDS))

    def _read_rollout(self, path: str, row: dict[str, Any]) -> RolloutPolicy:
        table = self._read_table(f"{path}rollout", row.get("rollout", {}), required=False)
        preset_name = (table or {}).get("preset", "on-time")
        preset = PRESETS.get(preset_name if isinstance(preset_name, str) else "")
        base = preset or PRESETS["on-time"]
        fields = [
            field._replace(default=getattr(base, field.attribute)) for field in ROLLOUT_FIELDS
        ]
        return RolloutPolicy(**self._read_fields(f"{path}rollout.", table or {}, fields))

    def _read_route(self, path: str, row: dict[str, Any]) -> Route:
        return Route(**self._read_fields(path, row, ROUTE_FIELDS))

    def _read_table(self, path: str, raw: object, *, required: bool) -> dict[str, Any] | None:
        if isinstance(raw, dict):
            return raw
        key = path.rpartition(".")[2]
        if raw is None and required:
            self._add_fault(path, Fault("key-missing", f"[service.{key}] is needed"))
        else:
            self._add_fault(
                path, Fault("type-wrong", f"must be written as a [service.{key}] table")
            )
        # the keys of a table that is missing or of the wrong type are not reported one by one
        self._reported_places.update(f"{path}.{field.key}" for field in OBJECTIVE_FIELDS)
        return None

    def _read_fields(
        self,
        path: str,
        row: dict[str, Any],
        fields: Iterable[Field],
        *,
        extra: tuple[str, ...] = (),
    ) -> dict[str, Any]:
        fields_by_key = {field.key: field for field in fields}
        for key in row:
            if key not in fields_by_key and key not in extra:
                self._add_unknown(path, key, {*fields_by_key, *extra})
        return {
            field.attribute: self._read_value(f"{path}{field.key}", row, field)
            for field in fields_by_key.values()
        }

    def _read_value(self, path: str, row: dict[str, Any], field: Field) -> Value:
        if field.key not in row:
            if field.default is not None:
                return field.default
            self._add_fault(path, Fault("key-missing", f"must be given: {field.help}"))
            return _PLACEHOLDERS[field.kind]
        value = convert_value(field, row[field.key])
        if value is not None:
            return value
        self._add_fault(path, describe_kind_fault(field, row[field.key]))
        return _PLACEHOLDERS[field.kind]

    def _add_unknown(self, path: str, key: str, known_keys: set[str]) -> None:
        # a suggestion is expensive to compute, so mistakes that are not listed get none
        if len(self.mistakes) < MAX_MISTAKES:
            fault = describe_unknown_key(key, known_keys)
        else:
            fault = Fault("key-unknown", "unknown key")
        self._add_fault(f"{path}{_escape_key(key)}", fault)

    def _add_fault(self, path: str, fault: Fault) -> None:
        self.add_mistakes([Mistake(path, fault.code, fault.message)])


def _has_long_dotted_key(text: str) -> bool:
    return _LONG_DOTTED_KEY.search(_STRING_OR_COMMENT.sub('""', text)) is not None


def _escape_key(key: str) -> str:
    """Return the first 60 characters of a key, in printable ASCII."""
    return ascii(key[:60])[1:-1]
