"""The HTTP API for operators, served on the operator port, and its client."""

from __future__ import annotations

from balsamhead.operator._client import OperatorClient
from balsamhead.operator._protocol import REPORT_CONTENT_TYPES, ROLLOUT_ACTIONS
from balsamhead.operator._server import OperatorServer

__all__ = ("REPORT_CONTENT_TYPES", "ROLLOUT_ACTIONS", "OperatorClient", "OperatorServer")
