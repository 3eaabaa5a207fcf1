"""Spread requests evenly over upstreams whose loads are known from reports of some age."""

from __future__ import annotations

from balsamhead.mesh.balancing._expected_load import ReportedLoad, expect_requests_ahead
from balsamhead.mesh.balancing._mode import is_even
from balsamhead.mesh.balancing._weighted_choice import Option, choose_by_room

__all__ = ("Option", "ReportedLoad", "choose_by_room", "expect_requests_ahead", "is_even")
