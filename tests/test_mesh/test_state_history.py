from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamhead.errors import MalformedMessageError
from balsamhead.mesh._state_history import StateDelta, StateHistory, decode_delta, encode_delta
from balsamhead.mesh.model import OperatorState
from balsamhead.platform.messages import decode_config
from tests.test_mesh.builders import make_config, make_route


def make_state(offset: int, *paths: str) -> OperatorState:
    routes = {path: make_route(path_prefix=f"/{path}/") for path in paths}
    data = json.dumps(make_config(offset + 1, **routes)).encode()
    return OperatorState(offset, decode_config(data), {})


def encode_and_decode(delta: StateDelta | None) -> StateDelta:
    assert delta is not None
    return decode_delta(encode_delta(delta), peer="node-2")


def test_delta_holds_only_the_changes() -> None:
    history = StateHistory()
    history.add(make_state(1, "a"))
    history.add(make_state(2, "b"))
    delta = encode_and_decode(history.make_delta(1))
    assert (set(delta.changed), delta.removed) == ({"b"}, ("a",))
    assert delta.limits is None


def test_delta_from_another_base_is_not_applied() -> None:
    sender, receiver = StateHistory(), StateHistory()
    for offset, path in ((1, "a"), (2, "b"), (3, "c")):
        sender.add(make_state(offset, path))
    receiver.add(make_state(1, "a"))
    assert receiver.apply_delta(encode_and_decode(sender.make_delta(2))) is None
    assert receiver.offset == 1
    assert receiver.apply_delta(encode_and_decode(sender.make_delta(1))) is True
    assert receiver.state == sender.state


def test_offset_never_decreases() -> None:
    history = StateHistory()
    history.add(make_state(5, "a"))
    before = history.state
    assert not history.add(make_state(4, "b"))
    other = StateHistory()
    other.add(make_state(3, "c"))
    assert history.apply_delta(encode_and_decode(other.make_delta(-1))) is False
    assert history.state == before


def test_invalid_delta_bytes_are_rejected() -> None:
    for data in (b"", b"abc", encode_delta(make_full_delta())[:-4]):
        with pytest.raises(MalformedMessageError):
            decode_delta(data, peer="node-2")


def make_full_delta() -> StateDelta:
    history = StateHistory()
    history.add(make_state(1, "a"))
    delta = history.make_delta(-1)
    assert delta is not None
    return delta


def test_delta_with_a_route_to_an_unknown_service_is_rejected() -> None:
    delta = make_full_delta()._replace(services=("registry",))
    history = StateHistory()
    with pytest.raises(MalformedMessageError):
        history.apply_delta(delta)
    assert history.state.config is None


@given(
    st.lists(st.sets(st.sampled_from("abcdef"), max_size=4), min_size=1, max_size=20),
    st.data(),
)
def test_receiver_always_reaches_the_state_of_the_sender(
    steps: list[set[str]], data: st.DataObject
) -> None:
    sender, receiver = StateHistory(), StateHistory()
    for offset, paths in enumerate(steps):
        sender.add(make_state(offset, *sorted(paths)))
        if data.draw(st.booleans()):
            applied = receiver.apply_delta(encode_and_decode(sender.make_delta(offset - 1)))
            if applied is None:
                assert receiver.apply_delta(encode_and_decode(sender.make_delta(receiver.offset)))
            assert receiver.state == sender.state
