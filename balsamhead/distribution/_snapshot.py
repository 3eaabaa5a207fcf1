"""Store the current configuration as resources, with the changes of recent versions."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.distribution._resource import compute_manifest_digest, join_state, split_state
from balsamhead.errors import MalformedMessageError
from balsamhead.fold import ConfigState, empty_state
from balsamhead.wire import Delta, Resource

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ("Snapshot", "SnapshotStore")

#: number of recent versions for which a delta to the current one can be built
HISTORY_LENGTH: Final = 256


class Snapshot(NamedTuple):
    """Complete configuration of one version."""

    state: ConfigState
    digest: bytes
    resources: dict[str, Resource]


class _ResourceChange(NamedTuple):
    #: manifest digest of the version before the change
    base: bytes
    #: names of the resources that were added, changed or removed
    names: frozenset[str]


class SnapshotStore:
    """Keep the current snapshot, and build deltas to it from recent versions."""

    def __init__(self) -> None:
        self.current = _build(empty_state(), {})
        self._changes: deque[_ResourceChange] = deque(maxlen=HISTORY_LENGTH)

    def build(self, state: ConfigState) -> Snapshot:
        """Return the snapshot of a state without activating it."""
        current = self.current
        return _build(
            state, split_state(state, previous=current.state, resources=current.resources)
        )

    def stage(self, delta: Delta) -> Snapshot | None:
        """Apply a delta to its base and return the resulting snapshot without activating it.

        Return None if the base is not the current snapshot.

        :raises MalformedMessageError: the result is incomplete or invalid, has a missing
            reference, or does not match the delta's digest or offset.
        """
        resources: dict[str, Resource] = {}
        if delta.base:
            if delta.base != self.current.digest:
                return None
            resources.update(self.current.resources)
        for name in delta.removed:
            resources.pop(name, None)
        for resource in delta.changed:
            resources[resource.name] = resource

        if compute_manifest_digest(resources) != delta.digest:
            raise MalformedMessageError(
                "the digest does not match the resources", step="stage-version"
            )
        state = join_state(resources)
        if state.offset != delta.offset:
            raise MalformedMessageError(
                "the offset does not match the header", step="stage-version"
            )
        return Snapshot(state, delta.digest, resources)

    def activate(self, snapshot: Snapshot) -> None:
        """Replace the current snapshot and record which resources changed."""
        names = _find_changed_names(self.current.resources, snapshot.resources)
        self._changes.append(_ResourceChange(self.current.digest, names))
        self.current = snapshot

    def build_delta(self, digest: bytes) -> Delta:
        """Return a delta from the version with the given digest to the current one.

        The delta has no base and contains all resources if that version is not in the history.
        """
        current = self.current
        names: set[str] = set()
        for change in reversed(self._changes):
            names |= change.names
            if change.base == digest:
                changed = tuple(
                    current.resources[name] for name in names & current.resources.keys()
                )
                removed = tuple(names - current.resources.keys())
                return Delta(current.state.offset, current.digest, digest, changed, removed)
        all_resources = tuple(current.resources.values())
        return Delta(current.state.offset, current.digest, b"", all_resources, ())


def _build(state: ConfigState, resources: dict[str, Resource]) -> Snapshot:
    return Snapshot(state, compute_manifest_digest(resources), resources)


def _find_changed_names(old: Mapping[str, Resource], new: Mapping[str, Resource]) -> frozenset[str]:
    names = {name for name, resource in new.items() if old.get(name) != resource}
    return frozenset(names | (old.keys() - new.keys()))
