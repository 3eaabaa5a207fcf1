"""Constants, members and measures that the benchmarks of the size area share."""

from __future__ import annotations

from typing import Final

from balsamhead.membership import Member, MemberStatus, Place, Upstream, UpstreamState
from bench._frame import Measure

__all__ = (
    "BYTES_TARGET_S",
    "DAY_S",
    "NODES",
    "PLACES",
    "RECORD_VERSIONS_PER_DAY",
    "SEED",
    "build_member",
    "make_measure",
)

AREA: Final = "size"
SEED: Final = 4

#: number of nodes for which the system is designed
NODES: Final = 2900

#: new record versions on an ordinary day: 286 replaced VMs with 6 versions each; the 4,100
#: changes of the configuration leave member records unchanged
RECORD_VERSIONS_PER_DAY: Final = 286 * 6

DAY_S: Final = 86_400.0

#: target for the bytes of the whole control plane
BYTES_TARGET_S: Final = 2000.0

PLACES: Final = tuple(
    Place(f"{region}-{letter}", region) for region in ("r0", "r1", "r2") for letter in "ab"
)


def make_measure(
    name: str,
    unit: str,
    value: float,
    *,
    target: float | None = None,
    baseline: float | None = None,
    seed: int = SEED,
    runs: int = 1,
) -> Measure:
    """Return a measure of this area; lower values are better.

    :param seed: seed of the random number generator; 0 if none is used.
    """
    return Measure(
        AREA, f"{AREA}.{name}", unit, value, baseline, target, "lower", seed=seed, runs=runs
    )


def build_member(number: int) -> Member:
    """Return the record of a node with an upstream of one of 100 services."""
    upstream = Upstream(
        f"service-{number % 100}", "v1", f"10.0.{number // 250}.{number % 250}", 8000, 6, 130,
        UpstreamState.READY, 1_700_000_000_000 + number,
    )  # fmt: skip
    return Member(
        f"vm-{number:05d}", 1_700_000_000_000 + number, 3, MemberStatus.ALIVE,
        PLACES[number % len(PLACES)], f"10.0.{number // 250}.{number % 250}:7070", upstream,
    )  # fmt: skip
