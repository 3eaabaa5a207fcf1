"""Expect the load of upstreams from reports of some age, with what others have sent since."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ("ReportedLoad", "compute_confidence", "expect_requests_ahead")

#: time constant with which confidence in a report decays, as a fraction of the time of a request;
#: in the model of docs/design/even-load.md, a whole one leaves more arrivals at full upstreams
_DECAY_FRACTION: Final = 0.5
#: mean time of a request that is assumed before one was measured, in ms
_DEFAULT_SERVICE_MS: Final = 60.0
#: utilisation that is assumed without a recent report, 0 to 1
_ASSUMED_UTILISATION: Final = 0.6
#: age from which on a report says nothing about the utilisation; two intervals of the heartbeats
#: between data centres, in s
_MAX_AGE_S: Final = 2.0
#: utilisation from which on the upstreams together are considered to have no room, 0 to 1
_FULL_UTILISATION: Final = 0.95


class ReportedLoad(NamedTuple):
    """Load of an upstream by its last report."""

    slots: float
    #: requests ahead of a new one, with those that this node has sent since the report
    requests_ahead: float
    #: mean time of a request, in ms; 0 if unknown
    service_ms: float
    #: time since the report, in s
    age_s: float


def compute_confidence(age_s: float, service_ms: float) -> float:
    """Return how much a report still says about the load, 1 for all to 0 for nothing.

    :param service_ms: mean time of a request, in ms; 0 if unknown.
    """
    ratio = age_s * 1000 / (_DECAY_FRACTION * (service_ms or _DEFAULT_SERVICE_MS))
    return math.exp(-ratio)


def expect_requests_ahead(reports: Sequence[ReportedLoad]) -> list[float]:
    """Return the expected number of requests ahead of a new one at each of some upstreams.

    Requests end, and other nodes send new ones. So the load moves from the reported one to the
    mean of all, and the older a report is, the less the upstream differs from the others.
    """
    utilisation, excess = _compute_means(reports)
    expected = []
    for report in reports:
        if utilisation < _FULL_UTILISATION:
            # one slot may be free anywhere, so that no request waits on the ground of the mean
            mean = min(utilisation * report.slots, max(report.slots - 1.0, 0.0))
        else:
            mean = (1.0 + excess) * report.slots
        confidence = compute_confidence(report.age_s, report.service_ms)
        expected.append(mean + confidence * (report.requests_ahead - mean))
    return expected


def _compute_means(reports: Sequence[ReportedLoad]) -> tuple[float, float]:
    """Return the share of slots in use, and the requests beyond the slots for each slot."""
    recent = [report for report in reports if report.age_s <= _MAX_AGE_S]
    slots = sum(report.slots for report in recent)
    if not slots:
        return _ASSUMED_UTILISATION, 0.0
    in_use = sum(min(report.requests_ahead, report.slots) for report in recent)
    ahead = sum(report.requests_ahead for report in recent)
    return in_use / slots, (ahead - in_use) / slots
