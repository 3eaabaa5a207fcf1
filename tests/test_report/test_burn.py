from __future__ import annotations

import json
from xml.etree import ElementTree

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamhead.errors import OperatorError
from balsamhead.report import BurnTable, render_report
from balsamhead.rollout import DecisionRow
from tests.test_rollout.builders import SERVICE, START, make_count, make_document


def make_table(*errors: int, calls: int = 1000) -> BurnTable:
    """Return a table with the errors of successive minutes, the last of them at START."""
    table = BurnTable()
    table.set_document(make_document())
    for age, failed in zip(range(len(errors) - 1, -1, -1), errors, strict=True):
        table.add([make_count("v1", calls, failed)], now=START - 60.0 * age)
    return table


def test_burn_rate_is_the_failure_rate_divided_by_the_budget() -> None:
    row = make_table(*[20] * 120).compute_rows(now=START)[0]
    assert row.objective == "availability"
    assert row.windows[0].short_rate == pytest.approx(20.0)
    assert row.windows[0].long_rate == pytest.approx(20.0)
    assert row.is_burning


def test_cleared_rows_are_shown_only_on_request() -> None:
    table = make_table(*[200] * 20, *[0] * 40)
    row = table.compute_rows(now=START)[0]
    assert not row.is_burning
    assert row.has_cleared
    assert "nothing burns" in render_report(table, format="text", now=START).decode()
    text = render_report(table, format="text", now=START, include_cleared=True).decode()
    assert "availability cleared up" in text


def test_short_burst_does_not_burn() -> None:
    row = make_table(*[0] * 58, 30, 30).compute_rows(now=START)[0]
    assert not row.is_burning


def test_counts_older_than_six_hours_are_dropped() -> None:
    table = make_table(*[200] * 30)
    assert table.compute_rows(now=START + 7 * 3600.0) == []


@given(st.lists(st.integers(0, 5), min_size=1, max_size=30), st.lists(st.integers(0, 4000)))
def test_totals_equal_the_sum_of_the_last_six_hours(errors: list[int], gaps: list[int]) -> None:
    table = BurnTable()
    table.set_document(make_document())
    now = START
    added = []
    for index, failed in enumerate(errors):
        now += gaps[index] if index < len(gaps) else 60
        table.add([make_count("v1", 10, failed)], now=now)
        added.append((int(now // 60), failed))
    kept = [failed for bucket, failed in added if bucket > int(now // 60) - 360]
    row = table.compute_rows(now=now)[0]
    assert (row.calls, row.failures) == (10 * len(kept), sum(kept))


def test_service_rows_sum_routes_and_versions() -> None:
    table = BurnTable()
    table.set_document(make_document())
    table.add([make_count("v1", 70, 3), make_count("v2", 30, 4)], now=START)
    rows = table.compute_service_rows(now=START)
    assert [(row.service, row.calls, row.failures) for row in rows] == [
        (SERVICE, 100, 7),
        (SERVICE, 100, 0),
    ]


def test_html_page_is_well_formed_and_loads_no_resources() -> None:
    table = make_table(*[20] * 120)
    table.add_decisions([DecisionRow(START, SERVICE, "v2", 0.05, "take back", "errors <7> & more")])
    page = render_report(table, format="html", now=START).decode()
    for reference in ("http:", "https:", "src=", "href=", "@import"):
        assert reference not in page
    assert "errors &lt;7&gt; &amp; more" in page
    svg = page[page.index("<svg") : page.index("</svg>") + 6]
    assert len(ElementTree.fromstring(svg).findall("polyline")) == 1


def test_json_report_lists_burning_objectives() -> None:
    report = json.loads(render_report(make_table(*[20] * 120), format="json", now=START))
    assert [row["objective"] for row in report["burning"]] == ["availability"]


def test_unknown_format_is_refused() -> None:
    with pytest.raises(OperatorError):
        render_report(BurnTable(), format="pdf", now=START)


def test_duplicate_decision_is_listed_once() -> None:
    table = BurnTable()
    row = DecisionRow(START, SERVICE, "v2", 0.05, "step to 0.2", "")
    table.add_decisions([row, row])
    table.add_decisions([row])
    assert table.decisions == [row]
