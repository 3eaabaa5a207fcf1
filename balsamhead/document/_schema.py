"""Declare the keys of a configuration document, their limits, and the rollout presets."""

from __future__ import annotations

from typing import Final

from balsamhead.document._model import RolloutPolicy
from balsamhead.util.fields import Field, Kind

__all__ = (
    "MAX_DATA_CENTRES",
    "MAX_DOCUMENT_BYTES",
    "MAX_FIRST_SHARE",
    "MAX_ROWS",
    "OBJECTIVE_FIELDS",
    "PRESETS",
    "REGION_FIELDS",
    "ROLLOUT_FIELDS",
    "ROUTE_FIELDS",
    "SERVICE_FIELDS",
    "TOP_FIELDS",
)

#: size limit of a document's text, and of its encoding, in bytes
MAX_DOCUMENT_BYTES: Final = 256 * 1024
#: largest number of rows in each table of a document
MAX_ROWS: Final = {"region": 16, "service": 500, "route": 2_000}
MAX_DATA_CENTRES: Final = 64

#: largest share of calls that a new version may get before there is any evidence, 0 to 1
MAX_FIRST_SHARE: Final = 0.05

#: values of the rollout presets: "on-time" favours completion by the due time,
#: "quick-rollback" favours exposing few calls to a failing version
PRESETS: Final = {
    "on-time": RolloutPolicy(
        preset="on-time",
        watch_s=300.0,
        first_share=0.04,
        step_factor=4.0,
        false_positive_rate=0.002,
    ),
    "quick-rollback": RolloutPolicy(
        preset="quick-rollback",
        watch_s=600.0,
        first_share=0.03,
        step_factor=3.0,
        false_positive_rate=0.004,
    ),
}

_NAME_PATTERN: Final = r"[a-z0-9][a-z0-9-]{0,62}"
_NAME_DESCRIPTION: Final = "lower-case letters, digits and hyphens, 1 to 63 characters"
_DAY_S: Final = 86_400
_HOUR_MS: Final = 3_600_000


def _name_field(key: str, help_text: str) -> Field:
    return Field(
        key, Kind.TEXT, pattern=_NAME_PATTERN, pattern_description=_NAME_DESCRIPTION, help=help_text
    )


def _integer_field(key: str, low: int, high: int, unit: str, help_text: str) -> Field:
    return Field(key, Kind.INTEGER, low=low, high=high, unit=unit, help=help_text)


def _number_field(key: str, low: float, high: float, help_text: str, unit: str = "") -> Field:
    return Field(key, Kind.NUMBER, low=low, high=high, unit=unit, help=help_text)


TOP_FIELDS: Final = (_name_field("name", "name of the deployment"),)

REGION_FIELDS: Final = (
    _name_field("name", "name of the region"),
    Field(
        "data-centres",
        Kind.TEXTS,
        pattern=_NAME_PATTERN,
        pattern_description=_NAME_DESCRIPTION,
        length_range=(1, MAX_DATA_CENTRES),
        help="names of its data centres",
    ),
)

SERVICE_FIELDS: Final = (
    _name_field("name", "name of the service"),
    _integer_field(
        "workers", 1, 10_000, "workers", "workers that are expected to announce themselves"
    ),
    _integer_field("slots", 1, 10_000, "calls", "calls that a worker runs at once"),
    _integer_field(
        "connections", 1, 100_000, "connections", "connections that a worker accepts in all"
    ),
    Field(
        "depends-on",
        Kind.TEXTS,
        default=(),
        pattern=_NAME_PATTERN,
        pattern_description=_NAME_DESCRIPTION,
        help="services that this one calls",
    ),
    Field(
        "version",
        Kind.TEXT,
        pattern=r"[A-Za-z0-9][A-Za-z0-9._+-]{0,63}",
        pattern_description='letters, digits and "._+-", 1 to 64 characters',
        help="the version that is to carry all traffic",
    ),
    Field("due", Kind.TIME, default=0.0, help="when all traffic must be on the version"),
)

OBJECTIVE_FIELDS: Final = (
    _number_field("availability", 0.5, 0.999999, "share of calls that must succeed"),
    _number_field("latency-ms", 0.1, _HOUR_MS, "latency within which calls must end", "ms"),
    _number_field("latency-share", 0.5, 0.999999, "share of calls that must end within latency-ms"),
)

ROLLOUT_FIELDS: Final = (
    Field(
        "preset",
        Kind.TEXT,
        default="on-time",
        allowed=tuple(PRESETS),
        help="where the values come from that are not given",
    ),
    _number_field(
        "watch-s", 0, 7 * _DAY_S, "how long the old version is held after the last step", "s"
    ),
    _number_field(
        "first-share", 0.0001, MAX_FIRST_SHARE, "largest share before evidence allows more"
    ),
    _number_field("step-factor", 1.1, 100, "largest factor by which a step may raise the share"),
    _number_field(
        "false-positive-rate", 1e-6, 0.2, "accepted rate of withdrawals of a good version"
    ),
)

ROUTE_FIELDS: Final = (
    _name_field("name", "name of the route"),
    _name_field("service", "service that runs the calls"),
    Field(
        "host",
        Kind.TEXT,
        pattern=r"[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?",
        pattern_description="a host name in lower case, without a port",
        help="host that the caller names",
    ),
    Field("path", Kind.TEXT, help="path pattern"),
    Field(
        "methods",
        Kind.TEXTS,
        allowed=("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"),
        length_range=(1, 7),
        help="HTTP methods",
    ),
    _integer_field("deadline-ms", 1, _HOUR_MS, "ms", "time that a call may take in all"),
    Field("idempotent", Kind.FLAG, default=False, help="a call may run more than once"),
    Field("bulk", Kind.FLAG, default=False, help="answers are large and are streamed"),
    Field(
        "regions",
        Kind.TEXTS,
        default=(),
        pattern=_NAME_PATTERN,
        pattern_description=_NAME_DESCRIPTION,
        length_range=(0, MAX_ROWS["region"]),
        help="regions in which calls may run; all when empty",
    ),
)
