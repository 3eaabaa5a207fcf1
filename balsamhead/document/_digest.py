"""Convert a document to its canonical form and compute its digest."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamhead.util import codec

if TYPE_CHECKING:
    from balsamhead.document._model import Document

__all__ = ("digest_document", "encode_document", "sort_document")


def sort_document(document: Document) -> Document:
    """Return the document with its rows sorted by name."""
    return document._replace(
        regions=tuple(sorted(document.regions)),
        services=tuple(sorted(document.services)),
        routes=tuple(sorted(document.routes)),
    )


def encode_document(document: Document) -> bytes:
    """Encode a document as canonical CBOR that does not depend on the order of its rows."""
    return codec.encode(sort_document(document))


def digest_document(document: Document) -> str:
    """Return the digest of a document as hexadecimal text, whatever the order of its rows."""
    return codec.compute_digest(encode_document(document)).hex()
