"""Decide how a request is refused for which no upstream accepts calls."""

from __future__ import annotations

from typing import Final, NamedTuple

__all__ = ("Absence", "explain_absence")

#: Retry-After while upstreams that could serve the request are known, in s; a node that couldn't
#: reach its upstream is sent no calls for as long
_PASSING_RETRY_AFTER_S: Final = 0.3
#: Retry-After while no such upstream is known, in s; the interval of announcements, after which a
#: new upstream becomes known; a change of regions or the end of an evacuation may take longer
_LASTING_RETRY_AFTER_S: Final = 1.5


class Absence(NamedTuple):
    """Code and Retry-After, in s, of a refusal for lack of upstreams; 0 for the usual one."""

    code: str
    retry_after_s: float


def explain_absence(*, bound: bool, known: bool, evacuated: bool) -> Absence:
    """Return the refusal of a request for which no upstream accepts calls.

    :param bound: the request is bound to some regions.
    :param known: nodes of the service are known where the request may be served.
    :param evacuated: others are known that could serve it, but whose data centre is evacuated.
    """
    if evacuated and not known:
        return Absence("upstreams-evacuated", _LASTING_RETRY_AFTER_S)
    if bound:
        retry_after_s = _PASSING_RETRY_AFTER_S if known else _LASTING_RETRY_AFTER_S
        return Absence("no-upstream-in-region", retry_after_s)
    return Absence("no-upstream", 0.0)
