"""Convert a document to its canonical form and compute its digest."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from balsamhead.util import codec

if TYPE_CHECKING:
    from balsamhead.document._model import Document, Route

__all__ = (
    "digest_document",
    "encode_document",
    "prepare_document",
    "prepare_route",
    "sort_document",
)

#: number of fields of a route in the first release, which are always encoded
_FIRST_ROUTE_FIELDS: Final = 8


def sort_document(document: Document) -> Document:
    """Return the document with its rows sorted by name."""
    return document._replace(
        regions=tuple(sorted(document.regions)),
        services=tuple(sorted(document.services)),
        routes=tuple(sorted(document.routes)),
    )


def prepare_route(route: Route) -> Any:
    """Return what is encoded for a route.

    Fields that were added after the first release are left out while they hold their defaults:
    the bytes and digests of documents without them stay the same, and nodes of the release
    before, which reject unknown fields, can read them.
    """
    return codec.drop_trailing_defaults(route, keep=_FIRST_ROUTE_FIELDS)


def prepare_document(document: Document) -> Any:
    """Return what is encoded for a document, see :func:`prepare_route`."""
    return document._replace(routes=tuple(prepare_route(route) for route in document.routes))


def encode_document(document: Document) -> bytes:
    """Encode a document as canonical CBOR that does not depend on the order of its rows."""
    return codec.encode(prepare_document(sort_document(document)))


def digest_document(document: Document) -> str:
    """Return the digest of a document as hexadecimal text, whatever the order of its rows."""
    return codec.compute_digest(encode_document(document)).hex()
