"""The configuration document that operators publish."""

from __future__ import annotations

from balsamhead.document._check import check_document
from balsamhead.document._difference import render_difference
from balsamhead.document._digest import (
    digest_document,
    prepare_document,
    prepare_route,
    sort_document,
)
from balsamhead.document._model import (
    Document,
    Objective,
    Region,
    RolloutPolicy,
    Route,
    Service,
)
from balsamhead.document._parse import parse_document
from balsamhead.document._path import split_pattern
from balsamhead.document._render import render_document
from balsamhead.document._schema import MAX_DOCUMENT_BYTES, MAX_FIRST_SHARE, PRESETS
from balsamhead.document._warnings import find_warnings
from balsamhead.errors import DocumentError, Mistake

__all__ = (
    "MAX_DOCUMENT_BYTES",
    "MAX_FIRST_SHARE",
    "PRESETS",
    "Document",
    "DocumentError",
    "Mistake",
    "Objective",
    "Region",
    "RolloutPolicy",
    "Route",
    "Service",
    "check_document",
    "digest_document",
    "find_warnings",
    "parse_document",
    "prepare_document",
    "prepare_route",
    "render_difference",
    "render_document",
    "sort_document",
    "split_pattern",
)
