"""Keep the state of each rollout and split the calls of a service between versions."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from balsamhead.mesh.model import Phase, Rollout, WithdrawnVersion
from balsamhead.util.positions import get_generation

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from balsamhead.mesh.model import Order

__all__ = ("TrafficSplit",)

_ENDED_PHASES: Final = (Phase.COMPLETED, Phase.ROLLED_BACK)
#: number of withdrawn versions of a service that are listed
_MAX_WITHDRAWN: Final = 16


class TrafficSplit:
    """Newest known state of each rollout; an older state never replaces a newer one."""

    def __init__(self) -> None:
        self.rollouts: dict[str, Rollout] = {}
        self._credit: dict[str, float] = {}
        #: offset of the order that was rolled back, by service and version; such a version gets no
        #: calls until it is ordered again
        self._rolled_back: dict[str, dict[str, int]] = {}
        #: the same of orders that were replaced before their rollout was completed; such a version
        #: gets calls only if no other one but that of the rollout is left
        self._replaced: dict[str, dict[str, int]] = {}

    @property
    def checksum(self) -> int:
        """Return a checksum of all rollout states, which changes with each step of any of them."""
        return sum(
            row.order * 1000 + row.step + 500 * (row.phase in _ENDED_PHASES)
            for row in self.rollouts.values()
        )

    def apply_state(self, rollout: Rollout) -> bool:
        """Apply a state of a rollout unless the known one has precedence.

        A newer order has precedence, then a rollout that was rolled back, then a completed one,
        then the later step.

        :returns: whether the state was applied.
        """
        current = self.rollouts.get(rollout.service)
        if current is not None and _is_same_rollout(current, rollout):
            order = max(current.order, rollout.order)
            current = self._set_order(current, order)
            rollout = rollout._replace(order=order)
        if current is not None and _get_precedence(current) >= _get_precedence(rollout):
            return False
        if current is not None and current.order < rollout.order and current.phase is Phase.RUNNING:
            _withdraw(self._replaced, current.service, current.version, current.order)
        if rollout.phase is Phase.ROLLED_BACK:
            _withdraw(self._rolled_back, rollout.service, rollout.version, rollout.order)
        self.rollouts[rollout.service] = rollout
        return True

    def list_withdrawn(self, service: str) -> tuple[WithdrawnVersion, ...]:
        """Return the newest versions of a service that get calls only if ordered again."""
        rows = [
            WithdrawnVersion(version, order, rolled_back)
            for rolled_back, withdrawn in ((True, self._rolled_back), (False, self._replaced))
            for version, order in withdrawn.get(service, {}).items()
        ]
        rows.sort(key=lambda row: (row.order, row))
        return tuple(rows[-_MAX_WITHDRAWN:])

    def list_withdrawn_services(self) -> list[str]:
        """Return the services with such versions."""
        return sorted(self._rolled_back.keys() | self._replaced.keys())

    def restore_withdrawn(self, service: str, rows: Iterable[WithdrawnVersion]) -> None:
        """Add versions that another node, or an earlier run of this one, has listed."""
        for row in rows:
            withdrawn = self._rolled_back if row.rolled_back else self._replaced
            _withdraw(withdrawn, service, row.version, row.order)

    def renumber(self, order: Order) -> int | None:
        """Adopt the position of an order that was recorded again after the store was restored.

        :returns: the previous position of the order; None if nothing changed.
        """
        current = self.rollouts.get(order.service)
        if (
            current is None
            or current.version != order.version
            or get_generation(current.order) >= get_generation(order.offset)
        ):
            return None
        self._set_order(current, order.offset)
        return current.order

    def _set_order(self, current: Rollout, order: int) -> Rollout:
        if current.order == order:
            return current
        rollout = self.rollouts[current.service] = current._replace(order=order)
        if rollout.phase is Phase.ROLLED_BACK:
            _withdraw(self._rolled_back, rollout.service, rollout.version, rollout.order)
        return rollout

    def _is_withdrawn(
        self, withdrawn: dict[str, dict[str, int]], service: str, version: str
    ) -> bool:
        order = withdrawn.get(service, {}).get(version)
        if order is None:
            return False
        rollout = self.rollouts.get(service)
        ordered_again = rollout is not None and rollout.version == version and rollout.order > order
        return not ordered_again

    def select_versions(self, service: str, versions: Mapping[str, int]) -> Collection[str]:
        """Return the versions that the next call of a service may be sent to.

        :param versions: number of upstreams that accept calls, by version.
        """
        rollout = self.rollouts.get(service)
        if rollout is None:
            return _select_most_common(versions)
        new = [version for version in versions if version == rollout.version]
        old = self._list_old_versions(rollout, versions)
        match rollout.phase:
            case Phase.ROLLED_BACK:
                return old
            case Phase.COMPLETED:
                return new or old
            case _:
                return self._split(service, rollout.share, new, old)

    def _list_old_versions(self, rollout: Rollout, versions: Mapping[str, int]) -> list[str]:
        service = rollout.service
        candidates = [
            version
            for version in versions
            if version != rollout.version
            and not self._is_withdrawn(self._rolled_back, service, version)
        ]
        return [
            version
            for version in candidates
            if not self._is_withdrawn(self._replaced, service, version)
        ] or candidates

    def _split(self, service: str, share: float, new: list[str], old: list[str]) -> list[str]:
        if share >= 1.0:
            return new or old
        if not new or not old or share <= 0.0:
            return old
        credit = self._credit.get(service, 0.0) + share
        takes_new = credit >= 1.0
        self._credit[service] = credit - 1.0 if takes_new else credit
        return new if takes_new else old


def _withdraw(withdrawn: dict[str, dict[str, int]], service: str, version: str, order: int) -> None:
    versions = withdrawn.setdefault(service, {})
    versions[version] = max(order, versions.get(version, -1))


def _is_same_rollout(one: Rollout, other: Rollout) -> bool:
    """Return whether two states are of one order that was recorded in different generations."""
    return one.version == other.version and get_generation(one.order) != get_generation(other.order)


def _get_precedence(rollout: Rollout) -> tuple[int, int, int]:
    phase_rank = {Phase.ROLLED_BACK: 2, Phase.COMPLETED: 1}.get(rollout.phase, 0)
    return (rollout.order, phase_rank, rollout.step)


def _select_most_common(versions: Mapping[str, int]) -> Collection[str]:
    """Return the version that most upstreams run; the others get no calls until one is ordered."""
    if len(versions) < 2:
        return versions.keys()
    # On a tie, the version that sorts first is assumed to be the older one.
    return [min(versions, key=lambda version: (-versions[version], version))]
