from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

from balsamhead.routing._refusal import REFUSALS

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "operators" / "errors.md"

#: functions and classes that take an error code, with the position of that argument
CODE_POSITIONS = {"Fault": 0, "Refused": 0, "Mistake": 1, "refuse": 1, "_make_error": 1}

CODE = re.compile(r"[a-z]+(-[a-z0-9]+)+")


def find_codes(tree: ast.AST) -> Iterator[str]:
    for node in ast.walk(tree):
        match node:
            case ast.AnnAssign(target=ast.Name(id="code"), value=ast.Constant(value=str(code))):
                yield code
            case ast.Assign(targets=[ast.Name(id="code")], value=ast.Constant(value=str(code))):
                yield code
            case ast.keyword(arg="code", value=ast.Constant(value=str(code))):
                yield code
            case ast.Call(func=ast.Name(id=name), args=args) if name in CODE_POSITIONS:
                yield from find_argument(args, CODE_POSITIONS[name])
            case ast.Call(func=ast.Attribute(attr="_make_error"), args=args):
                yield from find_argument(args, 1)


def find_argument(args: list[ast.expr], position: int) -> Iterator[str]:
    if position < len(args):
        match args[position]:
            case ast.Constant(value=str(code)):
                yield code


def collect_codes() -> set[str]:
    codes = set(REFUSALS)
    for path in (ROOT / "balsamhead").rglob("*.py"):
        codes.update(find_codes(ast.parse(path.read_text())))
    return {code for code in codes if CODE.fullmatch(code)}


def read_page_codes() -> set[str]:
    return set(re.findall(r"^\| `([a-z0-9-]+)` \|", PAGE.read_text(), flags=re.MULTILINE))


def test_errors_page_lists_every_error_code() -> None:
    assert collect_codes() - read_page_codes() == set()


def test_errors_page_lists_only_codes_that_exist() -> None:
    text = "".join(path.read_text() for path in (ROOT / "balsamhead").rglob("*.py"))
    assert [code for code in read_page_codes() if f'"{code}"' not in text] == []
