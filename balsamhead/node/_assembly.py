"""Build the tables and systems of a node from its settings."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple

from balsamhead.distribution import Distribution
from balsamhead.membership import Membership, Place, Timing
from balsamhead.node._core import Core
from balsamhead.node._tables import Identity, Tables
from balsamhead.proxy import CrashRegistry
from balsamhead.report import ReportSystem
from balsamhead.rollout import Rollouts

if TYPE_CHECKING:
    from balsamhead.settings import NodeSettings

__all__ = ("Assembly", "make_identity")


class Assembly(NamedTuple):
    """The tables of a node, the crash registry, and the core that runs all systems."""

    tables: Tables
    crashes: CrashRegistry
    core: Core

    @classmethod
    def from_config(cls, cfg: NodeSettings, *, identity: Identity) -> Assembly:
        """Build the systems in the order in which they handle an event.

        Membership comes first because the other systems read the tables that it writes.
        """
        # seeded with the identity of this process, so that nodes draw different jitter
        rng = random.Random(f"{identity.node}/{identity.incarnation}")
        tables = Tables(identity)
        timing = Timing(
            heartbeat_interval=cfg.link_heartbeat_s,
            silence_timeout=cfg.link_silence_s,
            suspicion_timeout=cfg.suspicion_s,
        )
        membership = Membership.from_config(tables, seeds=cfg.seeds, rng=rng, timing=timing)
        rollouts = Rollouts.from_config(tables, rng=rng)
        distribution = Distribution.from_config(
            tables,
            rng=rng,
            promotes_from=cfg.promotes_from,
            log_region=cfg.log_region,
            log_wait_s=cfg.log_wait_s,
            retention_s=cfg.log_retention_s,
            describe_next_step=rollouts.describe,
        )
        reports = ReportSystem.from_config(tables, list_decisions=rollouts.list_all_decisions)
        crashes = CrashRegistry.from_tables(tables)
        systems = (membership, distribution, rollouts, reports, crashes)
        return cls(tables, crashes, Core(tables, systems))


def make_identity(cfg: NodeSettings, *, started_at: float) -> Identity:
    """Return the identity of a node process.

    :param started_at: start time of the process, in s since the epoch.
    """
    return Identity(
        node=cfg.node,
        incarnation=int(started_at * 1000),
        place=Place(cfg.data_centre, cfg.region),
        peer_address=cfg.peer_address,
        environment=cfg.environment,
        border_address=cfg.border_address,
    )
