"""Hold the rollouts in force and give each version its share of the calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamhead.mesh.model import Phase, Rollout

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

__all__ = ("Shares",)

_FINAL = (Phase.COMPLETED, Phase.ROLLED_BACK)


class Shares:
    """Hold the newest known state of each rollout; a state only moves forward."""

    def __init__(self) -> None:
        self.rollouts: dict[str, Rollout] = {}
        self._owed: dict[str, float] = {}
        #: versions that get nothing, by service, with the order under which that was decided
        self._withdrawn: dict[str, dict[str, int]] = {}

    @property
    def steps(self) -> int:
        """Return a number that changes with each step of any rollout."""
        return sum(
            row.order * 1000 + row.step + 500 * (row.phase in _FINAL)
            for row in self.rollouts.values()
        )

    def merge(self, rollout: Rollout) -> bool:
        """Take in a state of a rollout; tell whether it was news.

        A newer order goes first, then a version that was taken back, then the later step.
        """
        known = self.rollouts.get(rollout.service)
        if known is not None and _weigh(known) >= _weigh(rollout):
            return False
        if known is not None and known.order < rollout.order and known.phase is Phase.RUNNING:
            # another order replaces the rollout of a version that was not yet completed
            self._withdraw(known)
        if rollout.phase is Phase.ROLLED_BACK:
            self._withdraw(rollout)
        self.rollouts[rollout.service] = rollout
        return True

    def _withdraw(self, rollout: Rollout) -> None:
        versions = self._withdrawn.setdefault(rollout.service, {})
        versions[rollout.version] = max(rollout.order, versions.get(rollout.version, -1))

    def _is_withdrawn(self, service: str, version: str) -> bool:
        order = self._withdrawn.get(service, {}).get(version)
        if order is None:
            return False
        rollout = self.rollouts.get(service)
        ordered_anew = rollout is not None and rollout.version == version and rollout.order > order
        return not ordered_anew

    def select(self, service: str, versions: Mapping[str, int]) -> Collection[str]:
        """Return the versions that the next call of a service may go to.

        :param versions: how many upstreams of each version take work.
        """
        rollout = self.rollouts.get(service)
        if rollout is None:
            return _keep_usual(versions)
        new = [version for version in versions if version == rollout.version]
        old = [
            version
            for version in versions
            if version != rollout.version and not self._is_withdrawn(service, version)
        ]
        match rollout.phase:
            case Phase.ROLLED_BACK:
                return old
            case Phase.COMPLETED:
                return new or old
            case _:
                return self._deal(service, rollout.share, new, old)

    def _deal(self, service: str, share: float, new: list[str], old: list[str]) -> list[str]:
        if share >= 1.0:
            return new or old
        if not new or not old or share <= 0.0:
            return old
        owed = self._owed.get(service, 0.0) + share
        chosen = owed >= 1.0
        self._owed[service] = owed - 1.0 if chosen else owed
        return new if chosen else old


def _weigh(rollout: Rollout) -> tuple[int, int, int]:
    rank = {Phase.ROLLED_BACK: 2, Phase.COMPLETED: 1}.get(rollout.phase, 0)
    return (rollout.order, rank, rollout.step)


def _keep_usual(versions: Mapping[str, int]) -> Collection[str]:
    """Return the version that most have; one that nobody ordered gets no calls."""
    if len(versions) < 2:
        return versions.keys()
    # of equally many, the one that sorts first is the older one
    return [min(versions, key=lambda version: (-versions[version], version))]
