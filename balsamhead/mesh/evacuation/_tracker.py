"""Follow the evacuations in the operator's state."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Collection

    from balsamhead.mesh.model import OperatorState

__all__ = ("EvacuationBegun", "EvacuationEnded", "EvacuationTracker", "Transition")


class EvacuationBegun(NamedTuple):
    """A data centre is evacuated from a state of the operator on."""

    data_centre: str
    #: position of that state
    offset: int
    #: it is the data centre of this node
    own: bool


class EvacuationEnded(NamedTuple):
    """The evacuation of a data centre was lifted by a state of the operator."""

    data_centre: str
    #: position of that state
    offset: int
    #: it is the data centre of this node
    own: bool


Transition: TypeAlias = EvacuationBegun | EvacuationEnded


class EvacuationTracker:
    """Data centres that are evacuated, and what each new state of the operator changes."""

    def __init__(self, own_data_centre: str) -> None:
        self._own = own_data_centre
        self._offset = -1
        self._reported: set[str] = set()
        #: names of the data centres whose upstreams get no requests
        self.evacuated: frozenset[str] = frozenset()

    @property
    def own_evacuated(self) -> bool:
        """Return whether the data centre of this node is evacuated."""
        return self._own in self.evacuated

    def apply(self, state: OperatorState) -> list[Transition]:
        """Apply a state; return the evacuations that end and begin with it, in that order.

        A state that is older than the newest one has no effect.
        """
        if state.offset < self._offset:
            return []
        self._offset = state.offset
        before, after = self.evacuated, frozenset(state.evacuated)
        self.evacuated = after
        self._reported &= after
        transitions: list[Transition] = []
        for name in sorted(before - after):
            transitions.append(EvacuationEnded(name, state.offset, name == self._own))
        for name in sorted(after - before):
            transitions.append(EvacuationBegun(name, state.offset, name == self._own))
        return transitions

    def list_new_unknown(self, known: Collection[str]) -> list[str]:
        """Return the evacuated data centres without a known node, each once per evacuation.

        :param known: data centres of the known nodes.
        """
        unknown = sorted(self.evacuated.difference(known) - self._reported)
        self._reported.update(unknown)
        return unknown
