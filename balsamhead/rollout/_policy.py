"""Limits and presets of the rollout policy."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from balsamhead.document import MAX_FIRST_SHARE, PRESETS, RolloutPolicy

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = (
    "COLD_START_S",
    "MAX_FIRST_SHARE",
    "MIN_STAGE_DURATION_S",
    "PRESETS",
    "clamp_first_share",
    "get_first_stage_slack",
)

#: shortest duration of a stage, the time at one share, in s
MIN_STAGE_DURATION_S: Final = 10.0
#: time after an upstream of the new version is first seen during which its slow responses don't
#: count, in s
COLD_START_S: Final = 30.0

#: part of the slack before the due time that is spent at the first share, 0 to 1, by preset
_FIRST_STAGE_SLACK: Final[Mapping[str, float]] = MappingProxyType(
    {"on-time": 0.5, "quick-rollback": 0.8}
)


def clamp_first_share(policy: RolloutPolicy) -> float:
    """Return the policy's first share, at most ``MAX_FIRST_SHARE``."""
    return min(policy.first_share, MAX_FIRST_SHARE)


def get_first_stage_slack(policy: RolloutPolicy) -> float:
    """Return the part of the slack before the due time to spend at the first share, 0 to 1."""
    return _FIRST_STAGE_SLACK.get(policy.preset, 0.5)
