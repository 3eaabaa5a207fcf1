"""Register the callbacks that read the metrics of a node at each scrape."""

from __future__ import annotations

import uuid
from collections import Counter
from concurrent.futures import CancelledError
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import TYPE_CHECKING, Final

from balsamhead.errors import OperatorError
from balsamhead.events import StatusRequested
from balsamhead.operator_responses import StatusResponse
from balsamhead.util.metrics import Sample

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from balsamhead.link import Links, TrafficKey
    from balsamhead.node._driver import Driver
    from balsamhead.node._tables import Tables
    from balsamhead.operator import OperatorServer
    from balsamhead.proxy import CallerServer
    from balsamhead.util.metrics import Metrics
    from balsamhead.wire import CallCount

__all__ = (
    "CallTotals",
    "register_call_metrics",
    "register_driver_metrics",
    "register_link_metrics",
    "register_table_metrics",
)

#: timeout of the status request that a scrape makes to the core, in s
STATUS_TIMEOUT_S: Final = 2.0


class CallTotals:
    """Numbers of calls, summed up outside the threads that serve the calls."""

    def __init__(self) -> None:
        self._counter: Counter[tuple[str, str, str]] = Counter()

    def add(self, counts: Iterable[CallCount]) -> None:
        """Add call counts that were drained from the caller server."""
        for row in counts:
            outcomes = {
                "answered": row.calls - row.errors,
                "failed": row.errors,
                "slow": row.slow,
                "shed": row.shed,
                "crashed": row.crashes,
            }
            for outcome, count in outcomes.items():
                if count:
                    self._counter[row.service, row.version, outcome] += count

    def list_samples(self) -> Iterator[Sample]:
        """Yield the number of calls by service, version and outcome."""
        for (service, version, outcome), count in self._counter.copy().items():
            yield Sample(count, {"service": service, "version": version, "outcome": outcome})


def register_table_metrics(metrics: Metrics, tables: Tables) -> None:
    """Register the metrics that are read from the tables of a node."""
    metrics.register_callback("config_offset", lambda: (Sample(tables.config.offset),))
    metrics.register_callback("members", lambda: _count_members(tables))
    metrics.register_callback("links", lambda: _count_links(tables))
    metrics.register_callback("rollout_share", lambda: _list_rollout_shares(tables))


def register_link_metrics(metrics: Metrics, links: Links) -> None:
    """Register the traffic metrics of the links between nodes."""
    metrics.register_callback("link_bytes", lambda: _list_traffic(links.bytes_by_kind))
    metrics.register_callback("link_messages", lambda: _list_traffic(links.messages_by_kind))


def register_call_metrics(metrics: Metrics, callers: CallerServer, totals: CallTotals) -> None:
    """Register the metrics of calls from callers."""
    metrics.register_callback("calls", totals.list_samples)
    metrics.register_callback("calls_in_flight", lambda: (Sample(callers.running),))
    metrics.register_callback("calls_refused", lambda: _list_refusals(callers))
    metrics.register_callback("call_retries", lambda: (Sample(callers.retries),))


def register_driver_metrics(metrics: Metrics, driver: Driver, operators: OperatorServer) -> None:
    """Register the metrics of the core, the log requests and the operator port."""
    metrics.register_callback("config_nodes", lambda: _list_node_counts(driver))
    metrics.register_callback("config_lag", lambda: _list_log_lag(driver))
    metrics.register_callback("tick_time", lambda: (Sample(driver.cpu_time_s),))
    metrics.register_callback("log_requests", lambda: _list_log_requests(driver))
    metrics.register_callback("operator_requests", lambda: _list_operator_requests(operators))


def _count_members(tables: Tables) -> Iterator[Sample]:
    # copied because the event loop may change the table while a scrape iterates over it
    counts = Counter(member.status for member in tables.members.copy().values())
    for status, count in counts.items():
        yield Sample(count, {"status": status.value})


def _count_links(tables: Tables) -> Iterator[Sample]:
    counts = Counter(row.inbound for row in tables.links.copy().values())
    for inbound, count in counts.items():
        yield Sample(count, {"direction": "in" if inbound else "out"})


def _list_rollout_shares(tables: Tables) -> Iterator[Sample]:
    for rollout in tables.config.rollouts:
        yield Sample(rollout.share, {"service": rollout.service, "version": rollout.new})


def _list_traffic(counts: Mapping[TrafficKey, int]) -> Iterator[Sample]:
    for key, count in dict(counts).items():
        labels = {
            "kind": key.kind,
            "direction": key.direction,
            "border": str(key.is_border).lower(),
        }
        yield Sample(count, labels)


def _list_refusals(callers: CallerServer) -> Iterator[Sample]:
    for (code, outcome), count in callers.get_refusal_counts().items():
        yield Sample(count, {"code": code, "outcome": outcome})


def _list_node_counts(driver: Driver) -> Iterator[Sample]:
    status = _request_status(driver)
    for row in status.in_force if status is not None else ():
        yield Sample(row.nodes, {"offset": str(row.offset)})


def _list_log_lag(driver: Driver) -> Iterator[Sample]:
    status = _request_status(driver)
    if status is not None and status.log_lag_s >= 0:
        yield Sample(status.log_lag_s)


def _list_log_requests(driver: Driver) -> Iterator[Sample]:
    for (kind, outcome), count in driver.log_requests.copy().items():
        yield Sample(count, {"kind": kind, "outcome": outcome})


def _list_operator_requests(operators: OperatorServer) -> Iterator[Sample]:
    for (path, status), count in operators.get_request_counts().items():
        yield Sample(count, {"path": path, "status": str(status)})


def _request_status(driver: Driver) -> StatusResponse | None:
    """Return the status of the environment, or None if the driver refuses or times out.

    The request runs in the thread of the event loop, because only that thread may read the
    state of the systems.
    """
    try:
        fut = driver.submit(StatusRequested(uuid.uuid4().hex))
    except OperatorError:
        return None
    try:
        response = fut.result(timeout=STATUS_TIMEOUT_S)
    except (FutureTimeoutError, CancelledError):
        fut.cancel()
        return None
    return response if isinstance(response, StatusResponse) else None
