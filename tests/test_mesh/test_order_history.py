from __future__ import annotations

import pytest

from balsamhead.mesh._order_history import OrderHistory
from balsamhead.mesh.model import OperatorState, Order
from balsamhead.util.positions import make_position


def make_state(end: int, version: str, offset: int, *, era: int = 0) -> OperatorState:
    """Return a state whose only order is that of a version, at an offset of an era."""
    order = Order("desk", version, 16.0, make_position(era, offset))
    return OperatorState(make_position(era, end), None, {"desk": order})


@pytest.fixture
def known() -> OperatorState:
    """Return the state that the node of ``history`` holds."""
    return make_state(9, "v2", 8)


@pytest.fixture
def history(known: OperatorState) -> OrderHistory:
    history = OrderHistory()
    history.record(make_state(5, "v1", 4))
    history.record(known)
    return history


def get_version(history: OrderHistory, known: OperatorState, read: OperatorState) -> str:
    return history.omit_replaced(known, read).orders["desk"].version


def test_replaced_order_in_the_copy_is_omitted(history: OrderHistory, known: OperatorState) -> None:
    assert get_version(history, known, make_state(6, "v1", 4, era=1)) == "v2"


def test_new_order_at_the_offset_of_a_lost_one_is_kept(
    history: OrderHistory, known: OperatorState
) -> None:
    assert get_version(history, known, make_state(7, "v3", 6, era=1)) == "v3"


def test_replaced_order_that_is_given_again_is_kept(
    history: OrderHistory, known: OperatorState
) -> None:
    assert get_version(history, known, make_state(7, "v1", 6, era=1)) == "v1"


# An order from before this node's start may be an old one that it has never held.
def test_order_from_before_the_start_of_the_node_is_omitted(
    history: OrderHistory, known: OperatorState
) -> None:
    assert get_version(history, known, make_state(4, "v0", 3, era=1)) == "v2"


def test_later_order_is_kept(history: OrderHistory, known: OperatorState) -> None:
    assert get_version(history, known, make_state(12, "v3", 11, era=1)) == "v3"


def test_orders_of_the_same_era_are_kept(history: OrderHistory, known: OperatorState) -> None:
    read = make_state(10, "v3", 9)
    assert history.omit_replaced(known, read) == read
