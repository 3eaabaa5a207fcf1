"""Hold the rollouts in force and give each version its share of the calls."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from balsamhead.mesh.model import Phase, Rollout

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamhead.mesh._choice import Candidate

__all__ = ("Shares",)

_FINAL = (Phase.COMPLETED, Phase.ROLLED_BACK)


class Shares:
    """Hold the newest known state of each rollout; a state only moves forward."""

    def __init__(self) -> None:
        self.rollouts: dict[str, Rollout] = {}
        self._owed: dict[str, float] = {}

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
        self.rollouts[rollout.service] = rollout
        return True

    def select(self, service: str, rows: list[Candidate]) -> list[Candidate]:
        """Return the candidates of the version that the next call goes to."""
        rollout = self.rollouts.get(service)
        if rollout is None:
            return _keep_usual(rows)
        new = [row for row in rows if row.version == rollout.version]
        old = [row for row in rows if row.version != rollout.version]
        match rollout.phase:
            case Phase.ROLLED_BACK:
                return old
            case Phase.COMPLETED:
                return new or old
            case _:
                return self._deal(service, rollout.share, new, old)

    def _deal(
        self, service: str, share: float, new: list[Candidate], old: list[Candidate]
    ) -> list[Candidate]:
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


def _keep_usual(rows: Iterable[Candidate]) -> list[Candidate]:
    """Return the rows of the version that most have; one that nobody ordered gets no calls."""
    listed = list(rows)
    versions = Counter(row.version for row in listed)
    if len(versions) < 2:
        return listed
    # of equally many, the one that sorts first is the older one
    usual = min(versions, key=lambda version: (-versions[version], version))
    return [row for row in listed if row.version == usual]
