"""Keep the newest proof that a node's configuration was the newest, and its age."""

from __future__ import annotations

import math
from typing import Final, NamedTuple

from balsamhead.util.positions import get_generation

__all__ = ("FRESHNESS_MARGIN_S", "FreshnessLease", "Proof")

#: time by which the lease ends early, in s: between the check of a key and the arrival of its
#: request at the upstream, a node may need some time
FRESHNESS_MARGIN_S: Final = 0.25
#: proofs of positions that this node hasn't reached which are kept
_MAX_PENDING: Final = 16


class Proof(NamedTuple):
    """Proof that the store held no record beyond a position at some time."""

    #: position after the newest record
    position: int
    #: that time or an earlier one, in s of the boot-time clock
    as_of: float


class FreshnessLease:
    """Tell whether the records that this node holds were the newest within the lease.

    A proof counts once the node has reached its position. The clock must run on while the process
    is paused.

    :param lease_s: age of the newest proof up to which the records count as the newest, in s.
    :param margin_s: time by which the lease ends early, in s.
    """

    def __init__(self, *, lease_s: float, margin_s: float = FRESHNESS_MARGIN_S) -> None:
        self._max_age_s = lease_s - margin_s
        self._position = -1
        self._newest: Proof | None = None
        #: proofs of later positions, none of which is both earlier and of a later position than
        #: another
        self._pending: list[Proof] = []

    @property
    def newest(self) -> Proof | None:
        """Return the newest proof that counts."""
        return self._newest

    def set_position(self, position: int) -> None:
        """Record that the node holds all records up to a position."""
        self._position = max(self._position, position)
        pending, self._pending = self._pending, []
        for proof in pending:
            self.add(proof)

    def add(self, proof: Proof) -> None:
        """Add a proof."""
        if self._newest is not None and proof.as_of <= self._newest.as_of:
            return
        if self._covers(proof.position):
            self._newest = proof
            self._pending = [row for row in self._pending if row.as_of > proof.as_of]
            return
        if any(
            row.position <= proof.position and row.as_of >= proof.as_of for row in self._pending
        ):
            return
        self._pending = [
            row
            for row in self._pending
            if not (row.position >= proof.position and row.as_of <= proof.as_of)
        ]
        self._pending.append(proof)
        if len(self._pending) > _MAX_PENDING:
            self._pending.remove(min(self._pending, key=lambda row: row.as_of))

    def _covers(self, position: int) -> bool:
        """Return whether the node holds all records up to a position.

        Positions of two generations aren't compared: the later one may lack records that a
        restored store has been given since.
        """
        return position <= self._position and (
            get_generation(position) == get_generation(self._position)
        )

    def get_age(self, now: float) -> float:
        """Return the age of the newest proof that counts, in s; infinite without one.

        :param now: in s of the boot-time clock.
        """
        return math.inf if self._newest is None else now - self._newest.as_of

    def is_fresh(self, now: float) -> bool:
        """Return whether the records were the newest within the lease.

        :param now: in s of the boot-time clock.
        """
        return self.get_age(now) <= self._max_age_s
