"""Render the report on service-level burn as text, JSON or one HTML page."""

from __future__ import annotations

import json
from datetime import UTC, datetime
from typing import TYPE_CHECKING, NamedTuple

from balsamhead.errors import OperatorError
from balsamhead.report._html import render_page

if TYPE_CHECKING:
    from balsamhead.report._burn import BurnRow, BurnTable
    from balsamhead.rollout import DecisionRow

__all__ = ("Report", "make_report", "render_report")


class Report(NamedTuple):
    """Contents of a report."""

    #: time at which the report was made, in s since the epoch
    made_at: float
    #: time of the first counts, in s since the epoch; 0 if there are none
    counting_since: float
    #: rows that burn now, and cleared ones if requested
    burning: tuple[BurnRow, ...]
    #: rows of each service, summed over its routes and versions
    services: tuple[BurnRow, ...]
    decisions: tuple[DecisionRow, ...]
    #: reason why the report is incomplete, in words; empty if it is complete
    missing: str


def make_report(
    table: BurnTable,
    *,
    now: float,
    service: str = "",
    include_cleared: bool = False,
    missing: str = "",
) -> Report:
    """Build a report from the table.

    :param service: include only this service; all services if empty.
    :param include_cleared: include rows whose burn rate has dropped below the limit again.
    :param missing: reason why the report is incomplete, in words.
    """
    rows = [row for row in table.compute_rows(now=now) if service in ("", row.service)]
    burning = [row for row in rows if row.is_burning or (include_cleared and row.has_cleared)]
    services = [row for row in table.compute_service_rows(now=now) if service in ("", row.service)]
    decisions = [row for row in table.decisions if service in ("", row.service)]
    return Report(
        now, table.counting_since, tuple(burning), tuple(services), tuple(decisions), missing
    )


def render_report(
    table: BurnTable,
    *,
    format: str,  # noqa: A002
    now: float,
    service: str = "",
    include_cleared: bool = False,
    missing: str = "",
) -> bytes:
    """Render the report of a table.

    Takes the parameters of :func:`make_report`.

    :param format: "text", "json" or "html".
    :raises OperatorError: the format is unknown.
    """
    report = make_report(
        table, now=now, service=service, include_cleared=include_cleared, missing=missing
    )
    match format:
        case "text":
            return _render_text(report).encode()
        case "json":
            return (json.dumps(_build_json(report), indent=1) + "\n").encode()
        case "html":
            return render_page(report)
    message = f"unknown format {format}; use text, json or html"
    raise OperatorError(message, step="render-report", code="request-invalid")


def _render_text(report: Report) -> str:
    since = _format_time(report.counting_since) if report.counting_since else "now"
    lines = [f"service-level burn at {_format_time(report.made_at)}, counts since {since}"]
    if report.missing:
        lines.append(f"not whole: {report.missing}")
    if not report.burning:
        lines.append("nothing burns its error budget")
    for row in report.burning:
        state = "burning" if row.is_burning else "cleared up"
        name = f"{row.service} route {row.route} version {row.version}"
        lines.append(f"{name}: {row.objective} {state}; {row.failures} of {row.calls} calls in 6 h")
        lines += [
            f"  {item.window.name}: {item.short_rate:.1f} / {item.long_rate:.1f}"
            f" (limit {item.window.limit:g})"
            for item in row.windows
        ]
    if report.decisions:
        lines.append("rollouts")
    for decision in report.decisions:
        lines.append(
            f"  {_format_time(decision.at)} {decision.service} {decision.version}"
            f" at {decision.share:.0%}: {decision.decision}; {decision.figures or 'no figures'}"
        )
    return "\n".join(lines) + "\n"


def _build_json(report: Report) -> dict[str, object]:
    return {
        "made_at": report.made_at,
        "since": report.counting_since,
        "gap": report.missing,
        "burning": [_build_json_row(row) for row in report.burning],
        "services": [_build_json_row(row) for row in report.services],
        "decisions": [row._asdict() for row in report.decisions],
    }


def _build_json_row(row: BurnRow) -> dict[str, object]:
    return {
        "service": row.service,
        "route": row.route,
        "version": row.version,
        "objective": row.objective,
        "calls": row.calls,
        "failures": row.failures,
        "is_burning": row.is_burning,
        "windows": [
            {
                "window": item.window.name,
                "short_rate": round(item.short_rate, 3),
                "long_rate": round(item.long_rate, 3),
                "limit": item.window.limit,
                "is_burning": item.is_burning,
            }
            for item in row.windows
        ],
    }


def _format_time(at: float) -> str:
    return datetime.fromtimestamp(at, UTC).strftime("%Y-%m-%d %H:%M:%S UTC")
