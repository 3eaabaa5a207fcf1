"""Compute the fingerprint by which equal requests are recognised at all nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from balsamhead.util.suspects import hash_parts

if TYPE_CHECKING:
    from balsamhead.mesh._calls import Call

__all__ = ("compute_fingerprint", "fingerprint_call")


#: first part of a body that counts, in bytes; the rest of a large one comes later
_MAX_BODY_BYTES: Final = 64 << 10


def compute_fingerprint(*, method: str, target: bytes, header_lines: bytes, body: bytes) -> bytes:
    """Return the digest of a request's method, host, target and the first part of its body.

    Its caller and its route are left out: the caller's service depends on the node that the
    request came to, and a configuration may send the same request on another route.

    :param header_lines: the forwarded header lines, each terminated by CRLF.
    """
    host = _extract_host(header_lines)
    return hash_parts(method.encode(), host, target, body[:_MAX_BODY_BYTES])


def fingerprint_call(call: Call, body: bytes) -> bytes:
    """Return the fingerprint of a call's request."""
    return compute_fingerprint(
        method=call.method, target=call.target, header_lines=call.headers, body=body
    )


def _extract_host(header_lines: bytes) -> bytes:
    for line in header_lines.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"host":
            return value.strip().lower()
    return b""
