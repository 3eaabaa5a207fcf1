"""Apply the operator's restrictions of where requests are served at one node."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

from balsamhead.mesh.evacuation import EvacuationBegun, EvacuationTracker
from balsamhead.mesh.residency import Regions, Residency, is_region_allowed
from balsamhead.util.positions import get_offset

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from balsamhead.mesh._calls import Call
    from balsamhead.mesh.model import Config, NodeRecord, OperatorState

__all__ = ("DATA_CENTRE_EVACUATED", "STATE_UNKNOWN", "Placement")

logger = logging.getLogger(__name__)

#: code of refusals at a node that doesn't know the operator's state yet
STATE_UNKNOWN: Final = "config-unknown"
#: code of refusals at a node whose data centre is evacuated
DATA_CENTRE_EVACUATED: Final = "data-centre-evacuated"
#: code of refusals at a node whose region is not allowed
_REGION_NOT_ALLOWED: Final = "region-not-allowed"


class Placement:
    """Regions that are allowed for requests, and data centres that are evacuated."""

    def __init__(self, own_record: NodeRecord) -> None:
        self._own_record = own_record
        self._config: Config | None = None
        self._has_unchecked_places = False
        self.residency = Residency(None)
        self._checked_residency = self.residency
        self.evacuation = EvacuationTracker(own_record.data_centre)
        #: reason for which the upstream of this node gets no requests; empty if there is none. A
        #: node that doesn't know the state could be in a data centre that is evacuated.
        self.hold_code = STATE_UNKNOWN
        #: called when the evacuation of this node's data centre ends, before its upstream gets
        #: requests again
        self.on_own_evacuation_ended: Callable[[], None] = lambda: None

    def apply(self, state: OperatorState) -> None:
        """Apply a state of the operator, and log the evacuations that it begins or ends."""
        if state.config is not self._config:
            self._config = state.config
            self.residency = Residency(state.config)
        for transition in self.evacuation.apply(state):
            begun = isinstance(transition, EvacuationBegun)
            logger.info(
                "evacuation-begun" if begun else "evacuation-ended",
                extra={
                    "data_centre": transition.data_centre,
                    "offset": get_offset(transition.offset),
                    "own": transition.own,
                },
            )
            if transition.own and not begun:
                self.on_own_evacuation_ended()
        self._has_unchecked_places = True
        self.hold_code = DATA_CENTRE_EVACUATED if self.evacuation.own_evacuated else ""

    def get_regions(self, route: str, account: str) -> Regions:
        """Return the regions in which a request may be served."""
        return self.residency.get_regions(route, account)

    def find_refusal_code(self, call: Call) -> str:
        """Return why this node's upstream must not get a call; empty if it may."""
        if self.hold_code:
            return self.hold_code
        regions = self.residency.get_regions(call.route, call.account)
        return "" if is_region_allowed(regions, self._own_record.region) else _REGION_NOT_ALLOWED

    def report_unknown_places(self, peers: Iterable[NodeRecord]) -> None:
        """Log a warning for each place without a known node, once after a state was applied."""
        if not self._has_unchecked_places:
            return
        self._has_unchecked_places = False
        records = [self._own_record, *peers]
        for data_centre in self.evacuation.list_new_unknown({row.data_centre for row in records}):
            logger.warning("evacuation-unknown", extra={"data_centre": data_centre})
        if self.residency is self._checked_residency:
            return
        self._checked_residency = self.residency
        unknown_regions = self.residency.find_unknown({row.region for row in records})
        for region, names in unknown_regions.items():
            logger.warning("region-unknown", extra={"region": region, "bound": names})
