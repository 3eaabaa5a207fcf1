"""Serve the operator API as a WSGI application."""

from __future__ import annotations

import logging
import re
import threading
import time
import uuid
from concurrent.futures import TimeoutError as FutureTimeoutError
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final, NamedTuple, TypeVar
from urllib.parse import parse_qs

import msgspec

from balsamhead.document import (
    Document,
    DocumentError,
    digest_document,
    parse_document,
    render_difference,
    render_document,
)
from balsamhead.errors import AuthenticationError, BalsamheadError, OperatorError
from balsamhead.events import (
    PromoteRequested,
    PublishRequested,
    ReportRequested,
    RolloutRequested,
    StatusRequested,
)
from balsamhead.operator._protocol import (
    MAX_BODY_BYTES,
    REPORT_CONTENT_TYPES,
    REQUEST_TIMEOUT_S,
    ROLLOUT_ACTIONS,
    STATUS_BY_OUTCOME,
    ErrorBody,
    MistakeBody,
    PromoteBody,
    RolloutBody,
)
from balsamhead.operator_responses import PublishResponse, ReportResponse

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from concurrent.futures import Future

    from balsamhead.events import Event
    from balsamhead.operator_responses import OperatorResponse
    from balsamhead.util.secret import Secret

__all__ = ("App", "Hooks")

logger = logging.getLogger(__name__)

T = TypeVar("T")
Environ = dict[str, Any]

_JSON: Final = "application/json"
_TEXT: Final = "text/plain; charset=utf-8"
_METRICS: Final = "text/plain; version=0.0.4; charset=utf-8"
#: maximum number of fields in a query string
MAX_QUERY_FIELDS: Final = 16

_ROLLOUT_PATH_PREFIX: Final = "/v1/rollouts/"

_PATHS: Final = frozenset(
    (
        "/live",
        "/metrics",
        "/ready",
        "/v1/document",
        "/v1/documents",
        "/v1/promotions",
        "/v1/report",
        "/v1/status",
        _ROLLOUT_PATH_PREFIX,
    )
)

#: HTTP status of an error by its code; 400 for all other codes
_STATUS_BY_CODE: Final = {
    "authentication-failed": 401,
    "path-unknown": 404,
    "document-missing": 404,
    "method-not-allowed": 405,
    "length-required": 411,
    "request-too-large": 413,
    "document-invalid": 422,
    "internal-error": 500,
    "operator-port-busy": 503,
    "node-stopping": 503,
    "answer-late": 504,
}


class Hooks(NamedTuple):
    """Functions through which the application accesses the node."""

    submit: Callable[[Event], Future[OperatorResponse]]
    is_ready: Callable[[], bool]
    render_metrics: Callable[[], bytes]
    #: renders the report in a format; None to ask the node's systems for it
    render_report: Callable[[str], bytes] | None
    #: returns the document in force
    get_document: Callable[[], Document | None]


class _Request(NamedTuple):
    method: str
    path: str
    query: dict[str, str]
    peer: str
    operator: str
    environ: Environ


class _Response(NamedTuple):
    status: int
    content_type: str
    body: bytes


class App:
    """WSGI application that authenticates operator requests and passes them to the node.

    :param max_pending_requests: maximum number of requests that wait for the node; it is below the
        number of threads, so that probes and scrapes always find a free thread.
    :param request_timeout_s: timeout for the node's response, in s.
    """

    def __init__(
        self,
        hooks: Hooks,
        *,
        token: Secret,
        max_pending_requests: int,
        request_timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> None:
        self._hooks = hooks
        self._token = token
        self._pending_slots = threading.BoundedSemaphore(max_pending_requests)
        self._request_timeout_s = request_timeout_s
        #: number of requests by path and status
        self.request_counts: dict[tuple[str, int], int] = {}
        self._count_lock = threading.Lock()

    def __call__(
        self, environ: Environ, start_response: Callable[[str, list[tuple[str, str]]], object]
    ) -> Iterable[bytes]:
        """Serve one request."""
        req = _read_request(environ)
        try:
            resp = self._route(req)
        except BalsamheadError as exc:
            resp = _make_error_response(req, exc)
        except Exception:
            logger.exception("operator request failed", extra={"path": req.path, "peer": req.peer})
            message = "internal error in the node; see its log"
            resp = _make_error_response(
                req, BalsamheadError(message, step="answer-operator", peer=req.peer)
            )

        self._count_request(req.path, resp.status)
        headers = [
            ("Content-Type", resp.content_type),
            ("Content-Length", str(len(resp.body))),
        ]
        if resp.status == HTTPStatus.UNAUTHORIZED:
            headers.append(("WWW-Authenticate", "Bearer"))
        start_response(f"{resp.status} {HTTPStatus(resp.status).phrase}", headers)
        return [resp.body]

    def _count_request(self, path: str, status: int) -> None:
        if path.startswith(_ROLLOUT_PATH_PREFIX):
            path = _ROLLOUT_PATH_PREFIX
        key = (path if path in _PATHS else "other", status)
        with self._count_lock:
            self.request_counts[key] = self.request_counts.get(key, 0) + 1

    def _route(self, req: _Request) -> _Response:
        match req.method, req.path:
            case "GET", "/live":
                return _Response(200, _TEXT, b"live\n")
            case "GET", "/ready":
                is_ready = self._hooks.is_ready()
                return _Response(200 if is_ready else 503, _TEXT, _render_readiness(is_ready))
            case "GET", "/metrics":
                return _Response(200, _METRICS, self._hooks.render_metrics())

        self._authenticate(req)
        match req.method, req.path:
            case "GET", "/v1/status":
                return self._submit_and_render(req, StatusRequested(_make_request_id()))
            case "GET", "/v1/document":
                return self._show_document(req)
            case "GET", "/v1/report":
                return self._render_report(req)
            case "POST", "/v1/documents":
                return self._publish(req)
            case "POST", "/v1/promotions":
                return self._promote(req)
            case "POST", path if path.startswith(_ROLLOUT_PATH_PREFIX):
                return self._change_rollout(req, path.removeprefix(_ROLLOUT_PATH_PREFIX))
        raise _make_routing_error(req)

    def _authenticate(self, req: _Request) -> None:
        scheme, _, token = req.environ.get("HTTP_AUTHORIZATION", "").partition(" ")
        if scheme.lower() != "bearer":
            message = "send the operators' token in the header Authorization: Bearer"
            raise AuthenticationError(message, step="check-token", peer=req.peer)
        if not self._token.is_equal(token.strip()):
            message = "the token is not this node's operators' token"
            raise AuthenticationError(message, step="check-token", peer=req.peer)

    def _show_document(self, req: _Request) -> _Response:
        document = self._hooks.get_document()
        if document is None:
            message = "no document is in force yet"
            raise _make_error(message, "document-missing", "show-document", req)
        return _Response(200, _TEXT, render_document(document).encode())

    def _publish(self, req: _Request) -> _Response:
        body = _read_body(req)
        try:
            text = body.decode()
        except UnicodeDecodeError as exc:
            message = f"the document is not valid UTF-8 at byte {exc.start}"
            raise _make_error(message, "request-invalid", "read-document", req) from exc

        previous = self._hooks.get_document()
        document = parse_document(
            text,
            file=req.query.get("file", "")[:200] or "document",
            written_at=time.time(),
            previous=previous,
        )
        event = PublishRequested(_make_request_id(), document, _read_base(req), req.operator)
        response = self._submit(req, event)
        return _render_response(req, _add_difference(response, previous, document))

    def _promote(self, req: _Request) -> _Response:
        body = _decode_body(req, PromoteBody, "read-promotion")
        if not re.fullmatch(r"([0-9a-f]{32})?", body.digest):
            message = "digest must be 32 hexadecimal digits, or empty for the current document"
            raise _make_error(message, "request-invalid", "read-promotion", req)
        previous = self._hooks.get_document()
        response = self._submit(
            req, PromoteRequested(_make_request_id(), body.digest, req.operator)
        )
        return _render_response(
            req, _add_difference(response, previous, self._hooks.get_document())
        )

    def _change_rollout(self, req: _Request, service: str) -> _Response:
        body = _decode_body(req, RolloutBody, "read-rollout-change")
        if body.action not in ROLLOUT_ACTIONS:
            message = f"action must be one of {', '.join(ROLLOUT_ACTIONS)}"
            raise _make_error(message, "request-invalid", "read-rollout-change", req)
        if not re.fullmatch(r"[a-z0-9][a-z0-9-]{0,62}", service):
            raise _make_routing_error(req)
        return self._submit_and_render(
            req, RolloutRequested(_make_request_id(), service, body.action, req.operator)
        )

    def _render_report(self, req: _Request) -> _Response:
        report_format = req.query.get("format", "text")
        if report_format not in REPORT_CONTENT_TYPES:
            message = f"format must be one of {', '.join(REPORT_CONTENT_TYPES)}"
            raise _make_error(message, "request-invalid", "render-report", req)
        if self._hooks.render_report is not None:
            return _Response(
                200, REPORT_CONTENT_TYPES[report_format], self._hooks.render_report(report_format)
            )
        include_cleared = req.query.get("cleared", "") == "1"
        service = req.query.get("service", "")
        return self._submit_and_render(
            req, ReportRequested(_make_request_id(), report_format, service, include_cleared)
        )

    def _submit_and_render(self, req: _Request, event: Event) -> _Response:
        return _render_response(req, self._submit(req, event))

    def _submit(self, req: _Request, event: Event) -> OperatorResponse:
        """Submit an event to the node and wait for its response."""
        if not self._pending_slots.acquire(blocking=False):
            message = (
                "too many requests are pending on this node; nothing was changed, try again later"
            )
            raise _make_error(message, "operator-port-busy", "wait-for-node", req)
        try:
            fut = self._hooks.submit(event)
            return fut.result(timeout=self._request_timeout_s)
        except FutureTimeoutError as exc:
            fut.cancel()
            message = (
                "the node did not respond in time; the request may still take effect, see status"
            )
            raise _make_error(message, "answer-late", "wait-for-node", req) from exc
        finally:
            self._pending_slots.release()


def _read_request(environ: Environ) -> _Request:
    operator = environ.get("HTTP_BALSAMHEAD_OPERATOR", "")
    is_valid = re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9._@-]{0,63}", operator)
    return _Request(
        method=environ.get("REQUEST_METHOD", ""),
        path=environ.get("PATH_INFO", ""),
        query=_read_query(environ.get("QUERY_STRING", "")),
        peer=f"{environ.get('REMOTE_ADDR', '')}:{environ.get('REMOTE_PORT', '')}",
        operator=operator if is_valid else "unnamed",
        environ=environ,
    )


def _read_query(text: str) -> dict[str, str]:
    try:
        query = parse_qs(text, max_num_fields=MAX_QUERY_FIELDS)
    except ValueError:
        return {}
    return {key: values[0] for key, values in query.items()}


def _read_body(req: _Request) -> bytes:
    length = req.environ.get("CONTENT_LENGTH", "")
    if not length.isdecimal() or "HTTP_TRANSFER_ENCODING" in req.environ:
        message = "the body needs a Content-Length and no Transfer-Encoding"
        raise _make_error(message, "length-required", "read-body", req)
    if int(length) > MAX_BODY_BYTES:
        message = f"the body exceeds {MAX_BODY_BYTES:,} bytes"
        raise _make_error(message, "request-too-large", "read-body", req)
    try:
        body: bytes = req.environ["wsgi.input"].read(int(length))
    except OSError as exc:
        raise _make_error(
            "the body could not be read", "request-invalid", "read-body", req
        ) from exc
    if len(body) != int(length):
        raise _make_error(
            "the body is shorter than its Content-Length", "request-invalid", "read-body", req
        )
    return body


def _decode_body(req: _Request, body_type: type[T], step: str) -> T:
    try:
        return msgspec.json.decode(_read_body(req), type=body_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise _make_error(f"the body is not valid: {exc}", "request-invalid", step, req) from exc


def _read_base(req: _Request) -> int | None:
    text = req.query.get("base")
    if text is None:
        return None
    if not re.fullmatch(r"-1|[0-9]{1,18}", text):
        message = "base must be the offset of a document, or -1 for none"
        raise _make_error(message, "request-invalid", "read-base", req)
    return int(text)


def _make_request_id() -> str:
    return uuid.uuid4().hex


def _make_error(message: str, code: str, step: str, req: _Request) -> OperatorError:
    return OperatorError(message, step=step, peer=req.peer, code=code)


def _make_routing_error(req: _Request) -> OperatorError:
    if req.path in _PATHS and req.path != _ROLLOUT_PATH_PREFIX:
        message = f"{req.path} does not support the method {req.method[:20]}"
        return _make_error(message, "method-not-allowed", "route-request", req)
    return _make_error("no such path on the operator port", "path-unknown", "route-request", req)


def _add_difference(
    response: OperatorResponse, previous: Document | None, current: Document | None
) -> OperatorResponse:
    """Add the changes of an accepted document to the response, if ``current`` is that document."""
    if (
        not isinstance(response, PublishResponse)
        or response.outcome != "accepted"
        or current is None
    ):
        return response
    if digest_document(current) != response.digest:
        return response
    return msgspec.structs.replace(response, difference=render_difference(previous, current))


def _render_readiness(is_ready: bool) -> bytes:
    return b"ready\n" if is_ready else b"not ready\n"


def _render_response(req: _Request, response: OperatorResponse) -> _Response:
    if isinstance(response, ReportResponse):
        return _Response(200, REPORT_CONTENT_TYPES[response.format], response.body)
    status = STATUS_BY_OUTCOME[response.outcome] if isinstance(response, PublishResponse) else 200
    if isinstance(response, PublishResponse):
        fields = {"path": req.path, "peer": req.peer, "operator": req.operator}
        outcome = {"outcome": response.outcome, "code": response.code, "offset": response.offset}
        logger.info("operator request answered", extra=fields | outcome)
    return _Response(status, _JSON, msgspec.json.encode(response))


def _make_error_response(req: _Request, exc: BalsamheadError) -> _Response:
    fields = {
        "code": exc.error_code,
        "step": exc.step,
        "peer": req.peer,
        "path": req.path[:200],
        "operator": req.operator,
    }
    logger.warning("operator request refused", extra=fields)
    mistakes = exc.mistakes if isinstance(exc, DocumentError) else ()
    body = ErrorBody(
        code=exc.error_code,
        message=exc.message,
        step=exc.step,
        peer=exc.peer or req.peer,
        mistakes=tuple(MistakeBody(*mistake) for mistake in mistakes),
    )
    status = _STATUS_BY_CODE.get(exc.error_code, 400)
    return _Response(status, _JSON, msgspec.json.encode(body))
