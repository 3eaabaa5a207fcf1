from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamhead.errors import MalformedMessageError
from balsamhead.membership import Member, MemberStatus, Place
from balsamhead.wire import MemberUpdate, decode_message, encode_message


@given(st.text(max_size=20), st.integers(0, 2**40), st.sampled_from(MemberStatus))
def test_message_round_trip(node: str, incarnation: int, status: MemberStatus) -> None:
    member = Member(node, incarnation, 1, status, Place("dc", "region"), "127.0.0.1:1", None)
    message = MemberUpdate((member,))
    assert decode_message(encode_message(message), peer="p") == message


@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_malformed_message_error(data: bytes) -> None:
    with contextlib.suppress(MalformedMessageError):
        assert decode_message(encode_message(decode_message(data, peer="p")), peer="p")


def test_unknown_tag_is_refused() -> None:
    with pytest.raises(MalformedMessageError):
        decode_message(b"\x81\x63abc", peer="p")
