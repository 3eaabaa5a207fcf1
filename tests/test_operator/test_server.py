from __future__ import annotations

import contextlib
import json
import socket
import threading
from collections.abc import Iterator
from concurrent.futures import Future
from io import BytesIO
from typing import Any

import msgspec
import pytest
import urllib3
from hypothesis import given, settings
from hypothesis import strategies as st

from balsamhead.document import DocumentError, digest_document, parse_document
from balsamhead.errors import OperatorError
from balsamhead.events import Event, PromoteRequested, PublishRequested, RolloutRequested
from balsamhead.operator._app import App, Hooks
from balsamhead.operator._protocol import MAX_BODY_BYTES, MAX_HEADER_BYTES
from balsamhead.operator_responses import OperatorResponse
from balsamhead.util.secret import Secret
from tests.test_document.builders import make_tree, render_toml
from tests.test_operator.builders import ACCEPTED, STATUS, FakeNode, serve_node
from tests.test_settings.builders import TOKEN

AUTHENTICATED_ROUTES = [
    ("GET", "/v1/status"),
    ("GET", "/v1/report"),
    ("GET", "/v1/document"),
    ("POST", "/v1/documents"),
    ("POST", "/v1/promotions"),
    ("POST", "/v1/rollouts/desk"),
]


@pytest.fixture(scope="module")
def shared_node(tmp_path_factory: pytest.TempPathFactory) -> Iterator[FakeNode]:
    with serve_node(tmp_path_factory.mktemp("port")) as node:
        yield node


@pytest.fixture
def node(shared_node: FakeNode) -> FakeNode:
    shared_node.events.clear()
    shared_node.answer = ACCEPTED
    shared_node.is_ready = True
    return shared_node


def make_document_text() -> str:
    tree = make_tree()
    for service in tree["service"]:
        del service["due"]
    return render_toml(tree)


def send_request(
    node: FakeNode,
    method: str,
    path: str,
    *,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, Any]:
    sent_headers = {"Authorization": f"Bearer {TOKEN}"} if headers is None else headers
    url = f"http://{node.address}{path}"
    resp = urllib3.request(method, url, body=body, headers=sent_headers, retries=False, timeout=10)
    is_json = resp.headers["Content-Type"] == "application/json"
    return resp.status, json.loads(resp.data) if is_json else resp.data


def send_raw(node: FakeNode, data: bytes) -> bytes:
    host, _, port = node.address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=10) as conn:
        received = b""
        # the server may close the connection before all data is sent
        with contextlib.suppress(OSError):
            conn.sendall(data)
            conn.shutdown(socket.SHUT_WR)
            while chunk := conn.recv(65_536):
                received += chunk
    return received


def test_probes_and_metrics_need_no_token(node: FakeNode) -> None:
    assert send_request(node, "GET", "/live", headers={}) == (200, b"live\n")
    assert send_request(node, "GET", "/ready", headers={}) == (200, b"ready\n")
    assert send_request(node, "GET", "/metrics", headers={}) == (200, b"balsamhead_links 3\n")
    node.is_ready = False
    assert send_request(node, "GET", "/ready", headers={}) == (503, b"not ready\n")


@pytest.mark.parametrize(("method", "path"), AUTHENTICATED_ROUTES)
@pytest.mark.parametrize(
    "headers", [{}, {"Authorization": "Bearer wrong"}, {"Authorization": f"Basic {TOKEN}"}]
)
def test_request_without_valid_token_is_refused_and_logged(
    node: FakeNode,
    caplog: pytest.LogCaptureFixture,
    method: str,
    path: str,
    headers: dict[str, str],
) -> None:
    status, body = send_request(node, method, path, body=b"{}", headers=headers)
    assert (status, body["code"], body["step"]) == (401, "authentication-failed", "check-token")
    assert body["peer"].startswith("127.0.0.1:")
    assert node.events == []
    assert [record.message for record in caplog.records] == ["operator request refused"]
    assert "wrong" not in str(caplog.records[0].__dict__)


def test_document_is_published_with_base_and_operator(node: FakeNode) -> None:
    digest = digest_document(parse_document(make_document_text(), file="a.toml", written_at=0.0))
    node.answer = msgspec.structs.replace(ACCEPTED, digest=digest)
    answer = node.make_client().publish(make_document_text(), file="a.toml", base=5)
    assert (answer.outcome, answer.offset) == ("accepted", ACCEPTED.offset)
    assert answer.difference[0] == "document garden: added"
    (event,) = node.events
    assert isinstance(event, PublishRequested)
    assert (event.document.name, event.base, event.operator) == ("garden", 5, "nino")


def test_client_raises_errors_found_in_document(node: FakeNode) -> None:
    text = make_document_text().replace('"GET"', '"get"').replace('"garden"', "4")
    with pytest.raises(DocumentError) as caught:
        node.make_client().publish(text, file="a.toml")
    places = [mistake.place for mistake in caught.value.mistakes]
    assert places == ["a.toml: name", "a.toml: route[1].methods", "a.toml: route[3].methods"]
    assert caught.value.peer == node.address
    assert node.events == []


def test_promotion_and_rollout_become_events(node: FakeNode) -> None:
    client = node.make_client()
    client.promote(digest="cd" * 16)
    client.change_rollout("desk", "take-back")
    promote, change = node.events
    assert isinstance(promote, PromoteRequested)
    assert isinstance(change, RolloutRequested)
    assert promote.digest == "cd" * 16
    assert (change.service, change.action) == ("desk", "take-back")


def test_status_and_report_are_fetched(node: FakeNode) -> None:
    client = node.make_client()
    assert client.fetch_status() == STATUS
    assert client.fetch_report(report_format="json") == b"report as json\n"


@pytest.mark.parametrize("outcome", ["refused", "unknown"])
def test_outcome_other_than_accepted_is_returned_with_error_status(
    node: FakeNode, outcome: str
) -> None:
    node.answer = ACCEPTED.__class__(outcome, "base-stale", "lost a race", 8, "", ("a -> b",))
    assert node.make_client().promote() == node.answer
    status, _ = send_request(node, "POST", "/v1/promotions", body=b"{}")
    assert status in (409, 504)


def test_node_error_keeps_code_step_and_peer(node: FakeNode) -> None:
    node.answer = OperatorError("stopping", step="submit", peer="node-1", code="node-stopping")
    status, body = send_request(node, "POST", "/v1/promotions", body=b"{}")
    assert status == 503
    assert (body["code"], body["step"], body["peer"]) == ("node-stopping", "submit", "node-1")


def test_internal_error_does_not_expose_its_text(node: FakeNode) -> None:
    node.answer = RuntimeError("inner detail")
    status, body = send_request(node, "POST", "/v1/promotions", body=b"{}")
    assert (status, body["code"]) == (500, "internal-error")
    assert "inner" not in str(body)


@pytest.mark.parametrize(
    ("method", "path", "body", "status", "code"),
    [
        ("GET", "/", None, 404, "path-unknown"),
        ("GET", "/v1/documents", None, 405, "method-not-allowed"),
        ("POST", "/v1/rollouts/", b'{"action": "pause"}', 404, "path-unknown"),
        ("POST", "/v1/rollouts/desk", b'{"action": "stop"}', 400, "request-invalid"),
        ("POST", "/v1/rollouts/desk", b"{", 400, "request-invalid"),
        ("POST", "/v1/rollouts/desk", b'{"action": "pause", "x": 1}', 400, "request-invalid"),
        ("POST", "/v1/promotions", b'{"digest": "xyz"}', 400, "request-invalid"),
        ("POST", "/v1/promotions", b"[" * 100_000, 400, "request-invalid"),
        ("POST", "/v1/documents", b"\xff", 400, "request-invalid"),
        ("POST", "/v1/documents", b"", 422, "document-invalid"),
        ("GET", "/v1/report?format=pdf", None, 400, "request-invalid"),
    ],
)
def test_malformed_request_is_refused(
    node: FakeNode, method: str, path: str, body: bytes | None, status: int, code: str
) -> None:
    actual_status, error = send_request(node, method, path, body=body)
    assert (actual_status, error["code"]) == (status, code)
    assert node.events == []


def test_base_that_is_not_an_offset_is_refused(node: FakeNode) -> None:
    actual_status, error = send_request(
        node, "POST", "/v1/documents?base=x", body=make_document_text().encode()
    )
    assert (actual_status, error["code"]) == (400, "request-invalid")


def test_body_over_limit_is_refused(node: FakeNode) -> None:
    actual_status, _ = send_request(node, "POST", "/v1/documents", body=b"#" * (MAX_BODY_BYTES + 1))
    assert actual_status == 413
    assert node.events == []


def test_header_over_limit_is_refused(node: FakeNode) -> None:
    line = b"X-Long: " + b"a" * MAX_HEADER_BYTES
    response = send_raw(node, b"GET /live HTTP/1.1\r\nHost: a\r\n" + line + b"\r\n\r\n")
    assert response.startswith((b"HTTP/1.1 413", b"HTTP/1.1 400"))


@pytest.mark.parametrize("extra_header", ["", "\r\nContent-Length: 2"])
def test_chunked_body_is_refused(node: FakeNode, extra_header: str) -> None:
    headers = (
        f"Host: a\r\nAuthorization: Bearer {TOKEN}\r\nTransfer-Encoding: chunked{extra_header}"
    )
    chunk = b"2\r\n{}\r\n0\r\n\r\n"
    response = send_raw(node, f"POST /v1/promotions HTTP/1.1\r\n{headers}\r\n\r\n".encode() + chunk)
    assert response.startswith(b"HTTP/1.1 411")
    assert node.events == []


def test_truncated_body_is_refused(node: FakeNode) -> None:
    headers = f"Host: a\r\nAuthorization: Bearer {TOKEN}\r\nContent-Length: 9"
    response = send_raw(node, f"POST /v1/promotions HTTP/1.1\r\n{headers}\r\n\r\n{{}}".encode())
    assert response.startswith(b"HTTP/1.1 400")
    assert node.events == []


REQUEST_FRAGMENTS = st.sampled_from(
    [
        b"GET ",
        b"POST ",
        b"/v1/status",
        b"/v1/documents",
        b"/v1/promotions",
        b"?base=7&file=%00",
        b" HTTP/1.1\r\n",
        b"\r\n",
        b"Host: a\r\n",
        b"Content-Length: 2\r\n",
        b"Content-Length: -1\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Expect: 100-continue\r\n",
        b"Connection: close\r\n",
        f"Authorization: Bearer {TOKEN}\r\n".encode(),
        b"{}",
        b"\xff\x00",
    ]
)


@given(st.lists(REQUEST_FRAGMENTS, max_size=20))
def test_server_survives_malformed_requests(shared_node: FakeNode, parts: list[bytes]) -> None:
    response = send_raw(shared_node, b"".join(parts) + b"\r\n\r\n")
    assert not response.startswith(b"HTTP/1.1 500")
    assert send_request(shared_node, "GET", "/live", headers={})[0] == 200


@settings(max_examples=25)
@given(st.binary(max_size=300))
def test_server_survives_arbitrary_bytes(shared_node: FakeNode, data: bytes) -> None:
    send_raw(shared_node, data + b"\r\n\r\n")
    assert send_request(shared_node, "GET", "/live", headers={})[0] == 200


def test_client_distinguishes_unreachable_node_from_refusal(node: FakeNode) -> None:
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        node_address, node.address = node.address, f"127.0.0.1:{unused.getsockname()[1]}"
        client = node.make_client()
        node.address = node_address
        with pytest.raises(OperatorError) as caught:
            client.promote()
    assert caught.value.error_code == "node-unreachable"
    with pytest.raises(OperatorError) as caught:
        node.make_client(token="wrong-token-of-the-tests").promote()
    assert caught.value.error_code == "authentication-failed"


def test_client_reports_lost_response_as_possibly_applied() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        node = FakeNode()
        node.address = f"127.0.0.1:{listener.getsockname()[1]}"
        listener.listen()

        def drop() -> None:
            conn, _ = listener.accept()
            conn.recv(65_536)
            conn.close()

        thread = threading.Thread(target=drop)
        thread.start()
        with pytest.raises(OperatorError) as caught:
            node.make_client().promote()
        thread.join()
    assert caught.value.error_code == "answer-lost"
    assert "may have taken effect" in caught.value.message


def call_app(app: App, method: str, path: str, body: bytes = b"") -> tuple[str, bytes]:
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "CONTENT_LENGTH": str(len(body)),
        "HTTP_AUTHORIZATION": f"Bearer {TOKEN}",
        "wsgi.input": BytesIO(body),
    }
    statuses: list[str] = []
    (data,) = app(environ, lambda status, headers: statuses.append(status))
    return statuses[0], data


def test_request_over_pending_limit_is_refused() -> None:
    node = FakeNode()
    hooks = Hooks(node.submit, lambda: True, lambda: b"", None, lambda: None)
    app = App(hooks, token=Secret(TOKEN), max_pending_requests=1)
    inner: list[tuple[str, bytes]] = []

    def submit_another(event: Event) -> Future[OperatorResponse]:
        inner.append(call_app(app, "POST", "/v1/promotions", b"{}"))
        inner.append(call_app(app, "GET", "/live"))
        return node.submit(event)

    app._hooks = hooks._replace(submit=submit_another)
    assert call_app(app, "POST", "/v1/promotions", b"{}")[0] == "200 OK"
    (busy, body), (live, _) = inner
    assert busy.startswith("503")
    assert b"operator-port-busy" in body
    assert live == "200 OK"
    assert len(node.events) == 1


def test_node_time_out_is_reported_as_answer_late() -> None:
    node = FakeNode()
    node.answer = None
    hooks = Hooks(node.submit, lambda: True, lambda: b"", None, lambda: None)
    app = App(hooks, token=Secret(TOKEN), max_pending_requests=1, request_timeout_s=0)
    status, body = call_app(app, "POST", "/v1/promotions", b"{}")
    assert status.startswith("504")
    assert b"answer-late" in body
