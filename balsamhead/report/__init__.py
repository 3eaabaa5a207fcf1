"""Report burn rates of the services' error budgets and decisions on rollouts."""

from __future__ import annotations

from balsamhead.report._burn import WINDOWS, BurnRow, BurnTable, BurnWindow, WindowBurn
from balsamhead.report._render import Report, make_report, render_report
from balsamhead.report._system import ReportSystem

__all__ = (
    "WINDOWS",
    "BurnRow",
    "BurnTable",
    "BurnWindow",
    "Report",
    "ReportSystem",
    "WindowBurn",
    "make_report",
    "render_report",
)
