"""Collect metrics with OpenTelemetry and render them in the Prometheus format.

Callbacks read the values at each scrape, so that the code that handles calls only increments
counters.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Mapping

__all__ = ("INSTRUMENTS", "Instrument", "Metrics", "Sample")


class Instrument(NamedTuple):
    """Declaration of a metric."""

    name: str
    #: "counter" for a value that never decreases, otherwise "gauge"
    kind: str
    unit: str
    help: str


class Sample(NamedTuple):
    """One value of a metric with its labels."""

    value: float
    labels: Mapping[str, str] = {}


#: declarations of a node's metrics by name
INSTRUMENTS: Final = {
    row.name: row
    for row in (
        Instrument(
            "calls", "counter", "", "calls that upstreams ran, by service, version and outcome"
        ),
        Instrument("calls_in_flight", "gauge", "", "calls that run now"),
        Instrument("calls_refused", "counter", "", "calls refused, by code and outcome"),
        Instrument("call_retries", "counter", "", "attempts after the first one of a call"),
        Instrument("config_offset", "gauge", "", "offset of the configuration in force"),
        Instrument(
            "config_lag", "gauge", "s", "time since the log last answered this node, if it reads it"
        ),
        Instrument("config_nodes", "gauge", "", "nodes by the offset in force"),
        Instrument("links", "gauge", "", "open links by direction"),
        Instrument("link_bytes", "counter", "By", "bytes by message kind, direction and border"),
        Instrument("link_messages", "counter", "", "messages by kind and direction"),
        Instrument("members", "gauge", "", "known nodes by status"),
        Instrument("rollout_share", "gauge", "", "share of the new version by service"),
        Instrument("log_requests", "counter", "", "requests to the log by kind and outcome"),
        Instrument("tick_time", "counter", "s", "processor time that decisions took"),
        Instrument("operator_requests", "counter", "", "operators' requests by path and status"),
    )
}


class Metrics:
    """Metrics of one process, read through registered callbacks."""

    def __init__(self, *, node: str, environment: str) -> None:
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            prefix="balsamhead", scope_info_enabled=False, registry=self._registry
        )
        resource = Resource({"service.instance.id": node, "deployment.environment": environment})
        self._provider = MeterProvider(metric_readers=[reader], resource=resource)
        self._meter = self._provider.get_meter("balsamhead")
        #: names of the metrics that have a registered callback
        self.observed: set[str] = set()

    def register_callback(self, name: str, read: Callable[[], Iterable[Sample]]) -> None:
        """Register a callback that returns the samples of a declared metric at each scrape.

        :raises KeyError: no metric of that name is declared.
        """
        row = INSTRUMENTS[name]
        self.observed.add(name)

        def collect(options: CallbackOptions) -> Iterator[Observation]:
            del options
            for sample in read():
                yield Observation(sample.value, dict(sample.labels))

        if row.kind == "counter":
            self._meter.create_observable_counter(row.name, [collect], row.unit, row.help)
        else:
            self._meter.create_observable_gauge(row.name, [collect], row.unit, row.help)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Shut down the meter provider and its reader."""
        self._provider.shutdown()
