"""Test the announce port: valid and invalid announcements, and the loss of the upstream."""

from __future__ import annotations

import json
import socket
from typing import TYPE_CHECKING

import pytest
import urllib3

from balsamhead.events import Event, UpstreamAnnounced, UpstreamLost
from balsamhead.proxy import AnnounceConfig, AnnounceServer

if TYPE_CHECKING:
    from collections.abc import Iterator

RECORD = {
    "service": "desk",
    "version": "v1",
    "host": "127.0.0.1",
    "port": 1,
    "slots": 6,
    "connections": 130,
    "state": "ready",
    "process": 7,
}


class Port:
    """Run an announce server and collect the events that it emits."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        # missing announcements are never reported as a loss in these tests
        cfg = AnnounceConfig("127.0.0.1", 0, silence_timeout_s=1e9)
        self.server = AnnounceServer.from_config(cfg, emit=self.events.append)

    def put(
        self, record: dict[str, object], *, source: str = "127.0.0.1", path: str = "/v1/upstream"
    ) -> int:
        http = urllib3.PoolManager(source_address=(source, 0), retries=False, timeout=5.0)
        url = f"http://{self.server.address}{path}"
        return http.request("PUT", url, json=record).status


@pytest.fixture(scope="module")
def started() -> Iterator[Port]:
    port = Port()
    port.server.start()
    yield port
    port.server.stop()


@pytest.fixture
def port(started: Port) -> Port:
    started.events.clear()
    return started


def test_only_changed_announcements_are_emitted(port: Port) -> None:
    assert [port.put(RECORD), port.put(RECORD)] == [200, 200]
    assert port.put(RECORD | {"state": "draining"}) == 200
    states = [event.state for event in port.events if isinstance(event, UpstreamAnnounced)]
    assert states == ["ready", "draining"]


def test_announcement_from_another_vm_is_refused(port: Port) -> None:
    assert port.put(RECORD, source="127.0.0.2") == 403
    assert port.events == []


@pytest.mark.parametrize(
    "change",
    [
        {"host": "127.0.0.2"},
        {"port": 0},
        {"slots": -1},
        {"state": "gone"},
        {"state": "other"},
        {"service": "a" * 100},
        {"process": "x"},
    ],
)
def test_malformed_announcement_changes_nothing(port: Port, change: dict[str, object]) -> None:
    assert port.put(RECORD | change) == 400
    assert port.events == []


def test_oversized_announcement_and_unknown_path_are_refused(port: Port) -> None:
    assert port.put(RECORD | {"version": "v" * 10_000}) == 413
    assert port.put(RECORD, path="/v2") == 404
    assert port.events == []


def test_missing_announcements_and_refused_connections_are_losses() -> None:
    events: list[Event] = []
    now = 100.0
    server = AnnounceServer.from_config(
        AnnounceConfig("127.0.0.1", 0), emit=events.append, clock=lambda: now
    )
    with socket.create_server(("127.0.0.1", 0)) as upstream:
        event = UpstreamAnnounced(**(RECORD | {"port": upstream.getsockname()[1]}))  # type: ignore[arg-type]
        server.record_announcement(event)
        now = 101.0
        server.check_upstream()
        assert events == [event]
        now = 103.0
        server.check_upstream()
        now = 104.0
        server.check_upstream()
        server.record_announcement(event)
    assert events == [event, UpstreamLost("announcements stopped"), event]
    now = 105.0
    server.check_upstream()
    assert events[-1] == UpstreamLost("connection refused")


def test_refusal_is_json_with_a_code(port: Port) -> None:
    res = urllib3.request("PUT", f"http://{port.server.address}/v1/upstream", body=b"{")
    assert (res.status, json.loads(res.data)["code"]) == (400, "message-malformed")
