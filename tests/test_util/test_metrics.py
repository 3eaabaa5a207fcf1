from __future__ import annotations

import pytest

from balsamhead.util.metrics import Metrics, Sample


def test_values_are_read_at_each_scrape() -> None:
    metrics = Metrics(node="node-1", environment="trial")
    calls = {"desk": 1.0}
    metrics.register_callback(
        "calls", lambda: [Sample(n, {"service": s}) for s, n in calls.items()]
    )
    assert b'balsamhead_calls_total{service="desk"} 1.0' in metrics.render()

    calls["desk"] = 5.0
    assert b'balsamhead_calls_total{service="desk"} 5.0' in metrics.render()


def test_metrics_instances_are_independent() -> None:
    first = Metrics(node="node-1", environment="trial")
    second = Metrics(node="node-2", environment="trial")
    first.register_callback("links", lambda: [Sample(3)])
    assert b"balsamhead_links" not in second.render()


def test_observing_an_undeclared_metric_raises() -> None:
    with pytest.raises(KeyError):
        Metrics(node="node-1", environment="trial").register_callback("speed", list)
