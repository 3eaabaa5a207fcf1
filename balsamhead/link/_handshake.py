"""Implement the link handshake without I/O: prove the mesh key and agree on the format."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING, Final

import msgspec

from balsamhead.errors import AuthenticationError
from balsamhead.membership import Place
from balsamhead.util import codec

if TYPE_CHECKING:
    from balsamhead.node import Identity

__all__ = (
    "FORMATS",
    "MAX_HANDSHAKE_BYTES",
    "NONCE_BYTES",
    "Hello",
    "Proof",
    "Refusal",
    "build_hello",
    "check_hello",
    "check_proof",
    "compute_proof",
    "decode_handshake_message",
)

#: lowest and highest message format that this release supports
FORMATS: Final = (1, 1)

#: maximum size of a handshake message, in bytes
MAX_HANDSHAKE_BYTES: Final = 4096

#: length of the nonce that makes each handshake unique, in bytes
NONCE_BYTES: Final = 32

#: maximum length of each name in a hello, in characters
MAX_NAME_LENGTH: Final = 128

#: domain separation label: a proof is not valid in any other protocol
_PROTOCOL_LABEL: Final = b"balsamhead-link/1"


class Hello(msgspec.Struct, frozen=True, tag="hello", array_like=True):
    """First handshake message of each side.

    :ivar formats: lowest and highest message format that the sender supports.
    """

    node: str
    incarnation: int
    place: Place
    environment: str
    address: str
    formats: tuple[int, int]
    nonce: bytes


class Proof(msgspec.Struct, frozen=True, tag="proof", array_like=True):
    """Proof that the sender knows the mesh key, valid for this handshake only."""

    mac: bytes


class Refusal(msgspec.Struct, frozen=True, tag="refusal", array_like=True):
    """Message that ends the handshake with an error code."""

    code: str


HandshakeMessage = Hello | Proof | Refusal


def build_hello(identity: Identity, nonce: bytes) -> Hello:
    """Build the hello of this node."""
    return Hello(
        node=identity.node,
        incarnation=identity.incarnation,
        place=identity.place,
        environment=identity.environment,
        address=identity.peer_address,
        formats=FORMATS,
        nonce=nonce,
    )


def decode_handshake_message(data: bytes | str, *, peer: str) -> HandshakeMessage:
    """Decode a handshake message.

    :raises MalformedMessageError: the data is not a handshake message.
    """
    raw = data if isinstance(data, bytes) else b""
    return codec.decode(raw, HandshakeMessage, step="link-handshake", peer=peer)  # type: ignore[arg-type]


def check_hello(own: Hello, other: Hello, *, peer: str) -> int:
    """Check the hello of the other side and return the message format to use.

    :raises AuthenticationError: the link is refused; the error code gives the cause.
    """
    code = _find_refusal(own, other)
    if code:
        raise AuthenticationError(
            f"the link is refused: {code}", step="link-handshake", peer=peer, code=code
        )
    return min(own.formats[1], other.formats[1])


def _find_refusal(own: Hello, other: Hello) -> str:
    names = (other.node, *other.place, other.environment, other.address)
    if not other.node or any(len(name) > MAX_NAME_LENGTH for name in names):
        return "hello-out-of-bounds"
    if len(other.nonce) != NONCE_BYTES or other.nonce == own.nonce:
        return "nonce-invalid"
    if other.environment != own.environment:
        return "environment-differs"
    if other.node == own.node:
        return "link-to-itself"
    if min(own.formats[1], other.formats[1]) < max(own.formats[0], other.formats[0]):
        return "format-unknown"
    return ""


def compute_proof(key: bytes, *, role: str, opener: Hello, acceptor: Hello) -> Proof:
    """Compute the proof of one side: an HMAC-SHA256 over its role and both hellos.

    :param role: "opener" or "acceptor"; part of the MAC, so that a proof can't be reflected to
        its sender.
    """
    parts = (_PROTOCOL_LABEL, role.encode(), codec.encode(opener), codec.encode(acceptor))
    mac = hmac.new(key, digestmod=hashlib.sha256)
    for part in parts:
        mac.update(len(part).to_bytes(4, "big"))
        mac.update(part)
    return Proof(mac.digest())


def check_proof(
    key: bytes, message: HandshakeMessage, *, role: str, opener: Hello, acceptor: Hello
) -> None:
    """Check the proof of the other side.

    :raises AuthenticationError: the proof is wrong or missing, or the other side refused the link.
    """
    peer = opener.node if role == "opener" else acceptor.node
    if isinstance(message, Refusal):
        code = message.code[:MAX_NAME_LENGTH]
        raise AuthenticationError(
            f"the peer refused the link: {code}", step="link-handshake", peer=peer, code=code
        )

    expected = compute_proof(key, role=role, opener=opener, acceptor=acceptor)
    if not isinstance(message, Proof) or not hmac.compare_digest(message.mac, expected.mac):
        raise AuthenticationError(
            "the peer did not prove that it has the mesh key; check the key on both nodes",
            step="link-handshake",
            peer=peer,
            code="mesh-key-wrong",
        )
