"""Serve the operator port."""

from __future__ import annotations

import logging
import threading
from typing import TYPE_CHECKING, Any, Final

from cheroot import wsgi

from balsamhead.operator._app import App, Hooks
from balsamhead.operator._protocol import MAX_BODY_BYTES, MAX_HEADER_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable
    from concurrent.futures import Future

    from balsamhead.document import Document
    from balsamhead.events import Event
    from balsamhead.operator_responses import OperatorResponse
    from balsamhead.settings import NodeSettings
    from balsamhead.util.secret import Secret

__all__ = ("OperatorServer",)

logger = logging.getLogger(__name__)

#: timeout of socket operations, and of adding a connection to a full queue, in s
SOCKET_TIMEOUT_S: Final = 5
#: maximum number of connections in the listen backlog, and of accepted ones that wait for a thread
MAX_QUEUED_CONNECTIONS: Final = 64


class OperatorServer:
    """Serve health probes, metrics and the operator API over HTTP."""

    def __init__(self, app: App, *, host: str, port: int, threads: int) -> None:
        self._server = wsgi.Server(
            (host, port),
            app,
            numthreads=threads,
            max=threads,
            server_name="balsamhead",
            request_queue_size=MAX_QUEUED_CONNECTIONS,
            timeout=SOCKET_TIMEOUT_S,
            accepted_queue_size=MAX_QUEUED_CONNECTIONS,
            accepted_queue_timeout=SOCKET_TIMEOUT_S,
        )
        self._app = app
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._server.max_request_body_size = MAX_BODY_BYTES
        setattr(self._server, "error_log", _log_server_error)  # noqa: B010
        self._thread: threading.Thread | None = None

    @classmethod
    def from_config(
        cls,
        cfg: NodeSettings,
        *,
        token: Secret,
        submit: Callable[[Event], Future[OperatorResponse]],
        is_ready: Callable[[], bool],
        render_metrics: Callable[[], bytes],
        render_report: Callable[[str], bytes] | None = None,
        get_document: Callable[[], Document | None] = lambda: None,
    ) -> OperatorServer:
        """Build the server of a node.

        :param submit: passes an event to the node and returns a future of its response.
        :param is_ready: whether the node is ready to serve calls.
        :param render_metrics: renders the metrics in the text exposition format.
        :param render_report: renders the report in a format of ``REPORT_CONTENT_TYPES``; None to
            ask the node's systems for it.
        :param get_document: returns the document in force, against which a new one is checked.
        """
        hooks = Hooks(submit, is_ready, render_metrics, render_report, get_document)
        app = App(hooks, token=token, max_pending_requests=cfg.operator_threads - 1)
        host, _, port = cfg.operator_address.rpartition(":")
        return cls(app, host=host, port=int(port), threads=cfg.operator_threads)

    @property
    def address(self) -> str:
        """Return the bound address as "ip:port"."""
        host, port = self._server.bind_addr
        return f"{host}:{port}"

    def get_request_counts(self) -> dict[tuple[str, int], int]:
        """Return the number of completed requests by path and status."""
        return self._app.request_counts.copy()

    def start(self) -> None:
        """Bind the port and start serving in threads.

        :raises OSError: the address cannot be bound.
        """
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve, name="operator-port", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Let running requests finish and close the port, if it was opened."""
        if self._thread is None:
            return
        self._server.stop()
        self._thread.join()


def _log_server_error(msg: str = "", level: int = logging.INFO, traceback: bool = False) -> Any:
    logger.log(level, "operator port error", exc_info=traceback, extra={"reason": msg})
