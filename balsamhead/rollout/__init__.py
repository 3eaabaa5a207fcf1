"""Shift traffic to new versions by their due time, and roll back versions that fail."""

from __future__ import annotations

from balsamhead.rollout._decision import (
    Finish,
    Fleet,
    Hold,
    Late,
    RollBack,
    Step,
    Verdict,
    Watch,
    decide,
    plan_remaining,
)
from balsamhead.rollout._describe import describe_next
from balsamhead.rollout._evidence import Evidence, Finding, Suspicion
from balsamhead.rollout._operator_actions import make_operator_record
from balsamhead.rollout._plan import (
    Plan,
    PlannedStage,
    count_needed_calls,
    get_shortest_rollout_s,
    plan_rollout,
    plan_shares,
)
from balsamhead.rollout._policy import MAX_FIRST_SHARE, PRESETS
from balsamhead.rollout._report_buffer import CallCountBuffer
from balsamhead.rollout._system import Rollouts
from balsamhead.rollout._tracker import DecisionRow, RolloutTracker
from balsamhead.util.sequential import Increment, SequentialTest

__all__ = (
    "MAX_FIRST_SHARE",
    "PRESETS",
    "CallCountBuffer",
    "DecisionRow",
    "Evidence",
    "Finding",
    "Finish",
    "Fleet",
    "Hold",
    "Increment",
    "Late",
    "Plan",
    "PlannedStage",
    "RollBack",
    "RolloutTracker",
    "Rollouts",
    "SequentialTest",
    "Step",
    "Suspicion",
    "Verdict",
    "Watch",
    "count_needed_calls",
    "decide",
    "describe_next",
    "get_shortest_rollout_s",
    "make_operator_record",
    "plan_remaining",
    "plan_rollout",
    "plan_shares",
)
