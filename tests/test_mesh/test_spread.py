from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamhead.errors import MalformedMessageError
from balsamhead.mesh._spread import Change, StateBook, decode_change, encode_change
from balsamhead.mesh.model import OperatorState
from balsamhead.platform.messages import decode_config
from tests.test_mesh.builders import make_config, make_route


def make_state(offset: int, *paths: str) -> OperatorState:
    routes = {path: make_route(path_prefix=f"/{path}/") for path in paths}
    data = json.dumps(make_config(offset + 1, **routes)).encode()
    return OperatorState(offset, decode_config(data), {})


def send(change: Change | None) -> Change:
    assert change is not None
    return decode_change(encode_change(change), peer="node-2")


def test_difference_holds_what_changed_only() -> None:
    book = StateBook()
    book.advance(make_state(1, "a"))
    book.advance(make_state(2, "b"))
    change = send(book.make_change(1))
    assert (set(change.changed), change.removed) == ({"b"}, ("a",))
    assert change.limits is None


def test_difference_from_another_state_is_not_applied() -> None:
    sender, receiver = StateBook(), StateBook()
    for offset, path in ((1, "a"), (2, "b"), (3, "c")):
        sender.advance(make_state(offset, path))
    receiver.advance(make_state(1, "a"))
    assert receiver.apply_change(send(sender.make_change(2))) is None
    assert receiver.offset == 1
    assert receiver.apply_change(send(sender.make_change(1))) is True
    assert receiver.state == sender.state


def test_offset_never_falls() -> None:
    book = StateBook()
    book.advance(make_state(5, "a"))
    held = book.state
    assert not book.advance(make_state(4, "b"))
    other = StateBook()
    other.advance(make_state(3, "c"))
    assert book.apply_change(send(other.make_change(-1))) is False
    assert book.state == held


def test_bytes_that_are_no_change_are_refused() -> None:
    for data in (b"", b"abc", encode_change(send_whole())[:-4]):
        with pytest.raises(MalformedMessageError):
            decode_change(data, peer="node-2")


def send_whole() -> Change:
    book = StateBook()
    book.advance(make_state(1, "a"))
    change = book.make_change(-1)
    assert change is not None
    return change


def test_change_whose_route_names_an_unknown_service_is_refused_whole() -> None:
    change = send_whole()._replace(services=("registry",))
    book = StateBook()
    with pytest.raises(MalformedMessageError):
        book.apply_change(change)
    assert book.state.config is None


@given(
    st.lists(st.sets(st.sampled_from("abcdef"), max_size=4), min_size=1, max_size=20),
    st.data(),
)
def test_any_receiver_reaches_the_senders_state(steps: list[set[str]], data: st.DataObject) -> None:
    sender, receiver = StateBook(), StateBook()
    for offset, paths in enumerate(steps):
        sender.advance(make_state(offset, *sorted(paths)))
        if data.draw(st.booleans()):
            applied = receiver.apply_change(send(sender.make_change(offset - 1)))
            if applied is None:
                assert receiver.apply_change(send(sender.make_change(receiver.offset)))
            assert receiver.state == sender.state
