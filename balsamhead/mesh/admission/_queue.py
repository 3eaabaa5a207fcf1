"""Order queued requests by priority and, where there are accounts, in turns of the accounts."""

from __future__ import annotations

from collections import Counter
from typing import Final, NamedTuple

from balsamhead.mesh.model import ROUTE_PRIORITIES

__all__ = ("AdmissionQueue", "QueuedRequest")

#: one in this many grants goes to the accounts in turn, whatever their priority, so that each gets
#: at least this part of the mean share
_TURN_INTERVAL: Final = 4


class QueuedRequest(NamedTuple):
    """A request that waits for a slot."""

    #: order of arrival
    number: int
    priority: int
    #: name of the client account; empty for none
    account: str
    #: it starts only while the limit of new requests has room
    limited: bool


class _Turns:
    """Start-time fair queueing: the account that has been granted least goes first."""

    def __init__(self) -> None:
        self._time = 0.0
        self._finish: dict[str, float] = {}

    def get_start(self, account: str) -> float:
        """Return the virtual time at which the next request of an account starts."""
        return max(self._time, self._finish.get(account, 0.0))

    def grant(self, account: str) -> None:
        """Record a grant to an account."""
        self._time = self.get_start(account)
        self._finish = {name: end for name, end in self._finish.items() if end > self._time}
        self._finish[account] = self._time + 1.0


class AdmissionQueue:
    """Requests that wait for a slot, in the order in which they get one.

    Nested calls, whose priority is negative, precede all others. Without accounts the order is
    that of priority, then arrival. With accounts it is that of the account's priority, then the
    turns of accounts, then the route's priority, then arrival.
    """

    def __init__(self) -> None:
        #: client accounts are in force
        self.fair = False
        self._requests: dict[int, QueuedRequest] = {}
        self._last_number = 0
        self._turns_by_class: dict[int, _Turns] = {}
        self._turns = _Turns()
        self._granted = 0

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, priority: int, *, account: str = "", limited: bool = False) -> QueuedRequest:
        """Add a request."""
        self._last_number += 1
        request = QueuedRequest(self._last_number, priority, account, limited)
        self._requests[request.number] = request
        return request

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request that no longer waits, if it is queued."""
        self._requests.pop(request.number, None)

    def find_next(self, *, limited_room: bool) -> QueuedRequest | None:
        """Return the request that gets the next slot; None if none may start.

        :param limited_room: the limit of new requests has room.
        """
        rows = [row for row in self._requests.values() if limited_room or not row.limited]
        if not rows:
            return None
        if not self.fair:
            return min(rows, key=lambda row: (row.priority, row.number))
        nested = [row for row in rows if row.priority < 0]
        if nested:
            return min(nested, key=lambda row: row.number)
        if self._is_turn():
            return min(rows, key=lambda row: self._rank(self._turns, row))
        return min(
            rows,
            key=lambda row: (
                _get_class(row.priority),
                *self._rank(self._get_turns(row.priority), row),
            ),
        )

    def grant(self, request: QueuedRequest) -> None:
        """Remove a request since it has got a slot."""
        self.remove(request)
        if not self.fair or request.priority < 0:
            return
        (self._turns if self._is_turn() else self._get_turns(request.priority)).grant(
            request.account
        )
        self._granted += 1

    def count_by_priority(self) -> Counter[int]:
        """Return the number of requests by priority."""
        return Counter(row.priority for row in self._requests.values())

    def count_ahead(self, priority: int, account: str = "") -> int:
        """Return the number of requests that go before a new one."""
        rows = self._requests.values()
        if not self.fair or priority < 0:
            return sum(row.priority <= priority for row in rows)
        own = sum(row.account == account and row.priority <= priority for row in rows)
        own_class = _get_class(priority)
        earlier = sum(_get_class(row.priority) < own_class for row in rows)
        others = Counter(
            row.account
            for row in rows
            if row.account != account and _get_class(row.priority) == own_class
        )
        by_priority = own + earlier + sum(min(count, own + 1) for count in others.values())
        return min(by_priority, self._count_ahead_by_turns(account, own))

    def _count_ahead_by_turns(self, account: str, own: int) -> int:
        """Return the number of grants until the turns alone reach an account's next request."""
        nested = sum(row.priority < 0 for row in self._requests.values())
        accounts = {row.account for row in self._requests.values() if row.priority >= 0}
        return nested + _TURN_INTERVAL * (own + 1) * len(accounts | {account}) - 1

    def _is_turn(self) -> bool:
        return self._granted % _TURN_INTERVAL == _TURN_INTERVAL - 1

    def _get_turns(self, priority: int) -> _Turns:
        return self._turns_by_class.setdefault(_get_class(priority), _Turns())

    @staticmethod
    def _rank(turns: _Turns, row: QueuedRequest) -> tuple[float, int, int]:
        return (turns.get_start(row.account), row.priority, row.number)


def _get_class(priority: int) -> int:
    """Return the account's priority of a request."""
    return priority // ROUTE_PRIORITIES
