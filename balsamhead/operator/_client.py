"""Client of the operator port of a node."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, TypeVar
from urllib.parse import quote, urlencode

import msgspec
import urllib3

from balsamhead.document import DocumentError, Mistake
from balsamhead.errors import OperatorError
from balsamhead.operator._protocol import (
    OPERATOR_HEADER,
    REQUEST_TIMEOUT_S,
    STATUS_BY_OUTCOME,
    ErrorBody,
    PromoteBody,
    RolloutBody,
)
from balsamhead.operator_responses import PublishResponse, StatusResponse

if TYPE_CHECKING:
    from balsamhead.util.secret import Secret

__all__ = ("OperatorClient",)

T = TypeVar("T")

#: timeout of connecting, in s
CONNECT_TIMEOUT_S: Final = 5.0
#: timeout of reading a response, in s; longer than the node's own timeout, so that a slow node
#: can still report the timeout itself
READ_TIMEOUT_S: Final = REQUEST_TIMEOUT_S + 5.0
#: limit on the size of a response, in bytes
MAX_RESPONSE_BYTES: Final = 16 << 20


class OperatorClient:
    """Send operator requests to one node.

    :ivar address: "ip:port" of the node's operator port.
    """

    def __init__(self, address: str, *, token: Secret, operator: str = "") -> None:
        self.address = address.removeprefix("http://").rstrip("/")
        self._headers = {"Authorization": f"Bearer {token.reveal()}"}
        if operator:
            self._headers[OPERATOR_HEADER] = operator
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
        self._pool = urllib3.PoolManager(timeout=timeout, retries=False)

    def publish(self, text: str, *, file: str, base: int | None = None) -> PublishResponse:
        """Publish a document.

        :param text: the document as TOML.
        :param file: file name for error messages.
        :param base: offset of the document that it is meant to replace; None for the current one.
        :raises DocumentError: the document is invalid.
        :raises OperatorError: the node rejected the request or did not respond.
        """
        query = {"file": file} | ({} if base is None else {"base": str(base)})
        path = f"/v1/documents?{urlencode(query)}"
        return self._request_json("publish", "POST", path, PublishResponse, body=text.encode())

    def promote(self, *, digest: str = "") -> PublishResponse:
        """Promote the document of the trial environment.

        :param digest: hexadecimal digest of the tested document; empty for the current one.
        :raises OperatorError: the node rejected the request or did not respond.
        """
        body = msgspec.json.encode(PromoteBody(digest))
        return self._request_json("promote", "POST", "/v1/promotions", PublishResponse, body=body)

    def change_rollout(self, service: str, action: str) -> PublishResponse:
        """Pause, resume, speed up or roll back the rollout of a service.

        :param action: one of ``ROLLOUT_ACTIONS``.
        :raises OperatorError: the node rejected the request or did not respond.
        """
        path = f"/v1/rollouts/{quote(service, safe='')}"
        body = msgspec.json.encode(RolloutBody(action))
        return self._request_json("change-rollout", "POST", path, PublishResponse, body=body)

    def fetch_document(self) -> str:
        """Return the document in force as TOML.

        :raises OperatorError: no document is in force, or the node did not respond.
        """
        status, data = self._request("fetch-document", "GET", "/v1/document", None)
        if status != 200:
            raise self._decode_error("fetch-document", status, data)
        return data.decode()

    def fetch_status(self) -> StatusResponse:
        """Return the status of the environment as the node sees it.

        :raises OperatorError: the node rejected the request or did not respond.
        """
        return self._request_json("fetch-status", "GET", "/v1/status", StatusResponse)

    def fetch_report(
        self, *, report_format: str = "text", service: str = "", include_cleared: bool = False
    ) -> bytes:
        """Return the report on the burn rates of service-level objectives.

        :param report_format: a format of ``REPORT_CONTENT_TYPES``.
        :param service: limits the report to one service and its rollout; empty for all services.
        :param include_cleared: include objectives whose burn rate has fallen below its limit
            again.
        :raises OperatorError: the node rejected the request or did not respond.
        :raises OperatorError: the node rejected the request or did not respond.
        """
        query = {
            "format": report_format,
            "service": service,
            "cleared": "1" if include_cleared else "",
        }
        path = f"/v1/report?{urlencode({key: text for key, text in query.items() if text})}"
        status, data = self._request("fetch-report", "GET", path, None)
        if status != 200:
            raise self._decode_error("fetch-report", status, data)
        return data

    def close(self) -> None:
        """Close the connections."""
        self._pool.clear()

    def _request_json(
        self,
        step: str,
        method: str,
        path: str,
        response_type: type[T],
        *,
        body: bytes | None = None,
    ) -> T:
        status, data = self._request(step, method, path, body)
        if status not in STATUS_BY_OUTCOME.values():
            raise self._decode_error(step, status, data)
        try:
            return msgspec.json.decode(data, type=response_type)
        except msgspec.DecodeError as exc:
            if status == 200:
                raise self._make_error(
                    step, "answer-invalid", "the response body is malformed"
                ) from exc
            raise self._decode_error(step, status, data) from exc

    def _request(self, step: str, method: str, path: str, body: bytes | None) -> tuple[int, bytes]:
        url = f"http://{self.address}{path}"
        try:
            resp = self._pool.request(
                method, url, body=body, headers=self._headers, preload_content=False
            )
            data = resp.read(MAX_RESPONSE_BYTES + 1)
            resp.release_conn()
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
            urllib3.exceptions.LocationValueError,
        ) as exc:
            message = "cannot connect to the node, nothing was changed; check the address"
            raise self._make_error(step, "node-unreachable", message) from exc
        except urllib3.exceptions.HTTPError as exc:
            failure = "no complete response arrived"
            message = (
                failure if method == "GET" else f"{failure}; the request may have taken effect"
            )
            raise self._make_error(step, "answer-lost", f"{message}; see status") from exc
        if len(data) > MAX_RESPONSE_BYTES:
            raise self._make_error(step, "answer-invalid", "the response is too large")
        return resp.status, data

    def _decode_error(self, step: str, status: int, data: bytes) -> OperatorError | DocumentError:
        try:
            body = msgspec.json.decode(data, type=ErrorBody)
        except msgspec.DecodeError:
            return self._make_error(
                step, "answer-invalid", f"HTTP status {status} without a valid error body"
            )
        if body.mistakes:
            mistakes = tuple(Mistake(row.place, row.code, row.message) for row in body.mistakes)
            return DocumentError(body.message, step=body.step, peer=self.address, mistakes=mistakes)
        return self._make_error(body.step, body.code, body.message)

    def _make_error(self, step: str, code: str, message: str) -> OperatorError:
        return OperatorError(message, step=step, peer=self.address, code=code)
