"""Render the report as a self-contained HTML page."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import TYPE_CHECKING, Final
from xml.etree import ElementTree
from xml.etree.ElementTree import Element, SubElement

from balsamhead.report._burn import WINDOWS

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from balsamhead.report._burn import BurnRow
    from balsamhead.report._render import Report

__all__ = ("render_page",)

#: size of the area of a plot in which the line is drawn, in px
PLOT_WIDTH: Final = 480
PLOT_HEIGHT: Final = 110
#: margins of a plot that hold the labels of its axes, in px
LEFT_MARGIN: Final = 40
BOTTOM_MARGIN: Final = 18

_STYLE: Final = (
    "body{font:14px sans-serif;margin:2em;max-width:70em}"
    "table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:left;"
    "border-bottom:1px solid #ccc}.burning{color:#a00}svg text{font:10px sans-serif}"
)


def render_page(report: Report) -> bytes:
    """Return a report as an HTML page that loads no other resources."""
    page = Element("html", lang="en")
    head = SubElement(page, "head")
    SubElement(head, "meta", charset="utf-8")
    SubElement(head, "title").text = "Service-level burn"
    SubElement(head, "style").text = _STYLE
    body = SubElement(page, "body")
    SubElement(body, "h1").text = "Service-level burn"
    since = _format_time(report.counting_since) if report.counting_since else "now"
    summary = f"Made at {_format_time(report.made_at)}; counts since {since}."
    SubElement(body, "p").text = summary
    if report.missing:
        SubElement(body, "p", {"class": "burning"}).text = f"Not whole: {report.missing}."
    _add_burning(body, report.burning)
    _add_services(body, report.services)
    _add_decisions(body, report)
    text: bytes = ElementTree.tostring(page, encoding="utf-8", method="html")
    return b"<!DOCTYPE html>\n" + text


def _add_burning(body: Element, rows: Sequence[BurnRow]) -> None:
    SubElement(body, "h2").text = "Burning"
    if not rows:
        SubElement(body, "p").text = "Nothing burns its error budget."
        return
    table = SubElement(body, "table")
    names = [item.name for item in WINDOWS]
    headings = ("service", "route", "version", "objective", "failures", "calls", *names)
    _add_row(table, "th", headings)
    for row in rows:
        rates = (f"{item.short_rate:.1f} / {item.long_rate:.1f}" for item in row.windows)
        counts = (f"{row.failures}", f"{row.calls}")
        css_class = "burning" if row.is_burning else ""
        cells = (row.service, row.route, row.version, row.objective, *counts, *rates)
        _add_row(table, "td", cells, css_class)


def _add_services(body: Element, rows: Sequence[BurnRow]) -> None:
    for row in rows:
        SubElement(body, "h3").text = f"{row.service}, {row.objective}"
        body.append(_draw_plot(row))


def _add_decisions(body: Element, report: Report) -> None:
    if not report.decisions:
        return
    SubElement(body, "h2").text = "Rollouts"
    table = SubElement(body, "table")
    _add_row(table, "th", ("when", "service", "version", "share before", "decision", "figures"))
    for row in report.decisions:
        cells = (_format_time(row.at), row.service, row.version, f"{row.share:.1%}")
        _add_row(table, "td", (*cells, row.decision, row.figures))


def _add_row(table: Element, tag: str, cells: Iterable[str], css_class: str = "") -> None:
    row = SubElement(table, "tr", {"class": css_class} if css_class else {})
    for cell in cells:
        SubElement(row, tag).text = cell


def _draw_plot(row: BurnRow) -> Element:
    """Return an SVG plot of the burn rate over six hours, with the limits of the windows."""
    height = PLOT_HEIGHT + BOTTOM_MARGIN
    plot = Element("svg", width=f"{LEFT_MARGIN + PLOT_WIDTH}", height=f"{height}", role="img")
    SubElement(plot, "title").text = f"burn rate of {row.service}, {row.objective}, over 6 h"
    y_max = max(2.0 * WINDOWS[1].limit, *row.history)

    def scale_y(rate: float) -> float:
        return PLOT_HEIGHT - rate / y_max * (PLOT_HEIGHT - 10)

    for window in WINDOWS:
        if window.limit <= y_max:
            _add_limit(plot, scale_y(window.limit), f"{window.limit:g}")
    _add_text(plot, 2, scale_y(0.0), "0")
    step = PLOT_WIDTH / max(1, len(row.history) - 1)
    points = (
        f"{LEFT_MARGIN + i * step:.1f},{scale_y(rate):.1f}" for i, rate in enumerate(row.history)
    )
    SubElement(plot, "polyline", points=" ".join(points), fill="none", stroke="#06c")
    for hours in range(0, 7, 2):
        x = LEFT_MARGIN + PLOT_WIDTH * (1.0 - hours / 6.0)
        _add_text(plot, max(0.0, x - 22), height - 4, f"-{hours} h" if hours else "now")
    return plot


def _add_limit(plot: Element, y: float, text: str) -> None:
    coordinates = {
        "x1": f"{LEFT_MARGIN}",
        "x2": f"{LEFT_MARGIN + PLOT_WIDTH}",
        "y1": f"{y:.1f}",
        "y2": f"{y:.1f}",
    }
    SubElement(plot, "line", {**coordinates, "stroke": "#a00", "stroke-dasharray": "4 3"})
    _add_text(plot, 2, y + 4, text)


def _add_text(plot: Element, x: float, y: float, text: str) -> None:
    SubElement(plot, "text", x=f"{x:.1f}", y=f"{y:.1f}").text = text


def _format_time(at: float) -> str:
    return datetime.fromtimestamp(at, UTC).strftime("%Y-%m-%d %H:%M:%S UTC")
