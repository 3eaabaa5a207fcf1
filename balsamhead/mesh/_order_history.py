"""Recognise the operator's earlier orders in a store that was restored from a copy."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

from balsamhead.util.positions import get_era, get_offset

if TYPE_CHECKING:
    from balsamhead.mesh.model import OperatorState, Order

__all__ = ("OrderHistory",)

#: number of replaced orders that are remembered
_MAX_REPLACED_ORDERS: Final = 256


class OrderHistory:
    """Orders that this node has held, and from which offset on it has held all of them.

    A store that was restored holds the orders of an earlier time until the lost ones are written
    again. It may also hold new ones, at offsets that lost ones had.
    """

    def __init__(self) -> None:
        self._followed_from = -1
        self._current: dict[str, Order] = {}
        self._replaced: deque[Order] = deque(maxlen=_MAX_REPLACED_ORDERS)

    def record(self, state: OperatorState) -> None:
        """Record the orders of a state that this node has adopted."""
        if self._followed_from < 0:
            self._followed_from = get_offset(state.offset)
        self._replaced += (
            order for service, order in self._current.items() if state.orders.get(service) != order
        )
        self._current = state.orders

    def omit_replaced(self, known: OperatorState, read: OperatorState) -> OperatorState:
        """Keep the known orders in place of those read that they have replaced already.

        :param known: the state that this node holds.
        :param read: a state that was read from the store.
        """
        if get_era(read.offset) == get_era(known.offset):
            return read
        orders = {
            service: known.orders[service] if self._is_replaced(order, known) else order
            for service, order in read.orders.items()
        }
        return read._replace(orders=orders)

    def _is_replaced(self, order: Order, known: OperatorState) -> bool:
        current = known.orders.get(order.service)
        if current is None or get_offset(order.offset) >= get_offset(current.offset):
            return False
        if get_offset(order.offset) < self._followed_from:
            return True
        return any(
            order == past._replace(offset=order.offset)
            and get_offset(order.offset) == get_offset(past.offset)
            for past in self._replaced
        )
