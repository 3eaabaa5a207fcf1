"""Give a node's metrics their values when a scrape comes."""

from __future__ import annotations

import uuid
from collections import Counter
from concurrent.futures import CancelledError
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import TYPE_CHECKING, Final

from balsamhead.answers import StatusAnswer
from balsamhead.errors import OperatorError
from balsamhead.events import StatusRequested
from balsamhead.util.metrics import Sample

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from balsamhead.link import Links, TrafficKey
    from balsamhead.node._driver import Driver
    from balsamhead.node._table import Tables
    from balsamhead.operator import OperatorServer
    from balsamhead.proxy import CallerServer
    from balsamhead.util.metrics import Metrics
    from balsamhead.wire import CallCount

__all__ = (
    "CallTotals",
    "observe_calls",
    "observe_decisions",
    "observe_links",
    "observe_tables",
)

#: longest wait of a scrape for the decisions' own view, in s
STATUS_WAIT_S: Final = 2.0


class CallTotals:
    """Sum up the drained counts of calls, off the path of a call."""

    def __init__(self) -> None:
        self._sums: Counter[tuple[str, str, str]] = Counter()

    def add(self, counts: Iterable[CallCount]) -> None:
        """Add drained counts."""
        for row in counts:
            outcomes = {
                "answered": row.calls - row.errors,
                "failed": row.errors,
                "slow": row.slow,
                "shed": row.shed,
                "crashed": row.crashes,
            }
            for outcome, number in outcomes.items():
                if number:
                    self._sums[row.service, row.version, outcome] += number

    def list_samples(self) -> Iterator[Sample]:
        """Return the sums by service, version and outcome."""
        for (service, version, outcome), number in self._sums.copy().items():
            yield Sample(number, {"service": service, "version": version, "outcome": outcome})


def observe_tables(metrics: Metrics, tables: Tables) -> None:
    """Bind the instruments that read a node's tables."""
    metrics.observe("config_offset", lambda: (Sample(tables.config.offset),))
    metrics.observe("members", lambda: _count_members(tables))
    metrics.observe("links", lambda: _count_links(tables))
    metrics.observe("rollout_share", lambda: _list_shares(tables))


def observe_links(metrics: Metrics, links: Links) -> None:
    """Bind the instruments of the links between nodes."""
    metrics.observe("link_bytes", lambda: _list_traffic(links.bytes_by_kind))
    metrics.observe("link_messages", lambda: _list_traffic(links.messages_by_kind))


def observe_calls(metrics: Metrics, callers: CallerServer, totals: CallTotals) -> None:
    """Bind the instruments of callers' calls."""
    metrics.observe("calls", totals.list_samples)
    metrics.observe("calls_in_flight", lambda: (Sample(callers.running),))
    metrics.observe("calls_refused", lambda: _list_refused(callers))
    metrics.observe("call_retries", lambda: (Sample(callers.retries),))


def observe_decisions(metrics: Metrics, driver: Driver, operators: OperatorServer) -> None:
    """Bind the instruments of the decisions, the log and the operators' port."""
    metrics.observe("config_nodes", lambda: _list_versions(driver))
    metrics.observe("config_lag", lambda: _list_lag(driver))
    metrics.observe("tick_time", lambda: (Sample(driver.busy_s),))
    metrics.observe("log_requests", lambda: _list_log_requests(driver))
    metrics.observe("operator_requests", lambda: _list_operator_requests(operators))


def _count_members(tables: Tables) -> Iterator[Sample]:
    # a copy, since the loop may change the table during a scrape
    counts = Counter(member.status for member in tables.members.copy().values())
    for status, count in counts.items():
        yield Sample(count, {"status": status.value})


def _count_links(tables: Tables) -> Iterator[Sample]:
    counts = Counter(row.inbound for row in tables.links.copy().values())
    for inbound, count in counts.items():
        yield Sample(count, {"direction": "in" if inbound else "out"})


def _list_shares(tables: Tables) -> Iterator[Sample]:
    for rollout in tables.config.rollouts:
        yield Sample(rollout.share, {"service": rollout.service, "version": rollout.new})


def _list_traffic(sums: Mapping[TrafficKey, int]) -> Iterator[Sample]:
    for key, count in dict(sums).items():
        labels = {
            "kind": key.kind,
            "direction": key.direction,
            "border": str(key.is_border).lower(),
        }
        yield Sample(count, labels)


def _list_refused(callers: CallerServer) -> Iterator[Sample]:
    for (code, outcome), count in callers.get_refusal_counts().items():
        yield Sample(count, {"code": code, "outcome": outcome})


def _list_versions(driver: Driver) -> Iterator[Sample]:
    status = _ask_status(driver)
    for row in status.in_force if status is not None else ():
        yield Sample(row.nodes, {"offset": str(row.offset)})


def _list_lag(driver: Driver) -> Iterator[Sample]:
    status = _ask_status(driver)
    if status is not None and status.log_lag_s >= 0:
        yield Sample(status.log_lag_s)


def _list_log_requests(driver: Driver) -> Iterator[Sample]:
    for (kind, outcome), count in driver.log_requests.copy().items():
        yield Sample(count, {"kind": kind, "outcome": outcome})


def _list_operator_requests(operators: OperatorServer) -> Iterator[Sample]:
    for (path, status), count in operators.count_requests().items():
        yield Sample(count, {"path": path, "status": str(status)})


def _ask_status(driver: Driver) -> StatusAnswer | None:
    """Ask in the loop's thread, which alone may read the systems."""
    try:
        fut = driver.submit(StatusRequested(uuid.uuid4().hex))
    except OperatorError:
        return None
    try:
        answer = fut.result(timeout=STATUS_WAIT_S)
    except (FutureTimeoutError, CancelledError):
        fut.cancel()
        return None
    return answer if isinstance(answer, StatusAnswer) else None
