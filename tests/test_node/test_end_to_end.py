"""Publish a document and make calls through two nodes that run as separate processes."""

from __future__ import annotations

import json
import threading
from pathlib import Path

import pytest
import urllib3

from balsamhead.operator import OperatorClient
from balsamhead.util.secret import Secret
from standin.local_cluster import CALLER_PORT, OPERATOR_PORT, OPERATOR_TOKEN, LocalCluster, Vm

DOCUMENT = Path(__file__).parent / "roots" / "two-nodes.toml"


#: maximum number of attempts while waiting for a condition, and the interval between them, in s
MAX_ATTEMPTS = 300
POLL_INTERVAL_S = 0.1


def call(vm: Vm, path: str, request_id: str) -> dict[str, str]:
    """Repeat a request until an upstream has run it; return the decoded response body.

    A retry is safe: the outcome "not-run" means that no upstream has run the request.
    """
    for _ in range(MAX_ATTEMPTS):
        resp = urllib3.request(
            "POST",
            f"http://{vm.host}:{CALLER_PORT}{path}",
            headers={"Host": "shop.example", "X-Request-Id": request_id},
            retries=False,
            timeout=10.0,
        )
        if resp.headers.get("x-balsamhead-outcome") != "not-run":
            break
        sleep_between_attempts()
    assert resp.status == 200, resp.data
    body: dict[str, str] = json.loads(resp.data)
    return body


def wait_until_in_force(clients: list[OperatorClient], offset: int) -> None:
    for _ in range(MAX_ATTEMPTS):
        if all(client.fetch_status().offset >= offset for client in clients):
            return
        sleep_between_attempts()
    pytest.fail(f"offset {offset} is not in force on all nodes")


def sleep_between_attempts() -> None:
    threading.Event().wait(POLL_INTERVAL_S)


def test_two_nodes_share_document_serve_calls_and_stop_cleanly() -> None:
    with LocalCluster.open() as fleet:
        vms = fleet.add_vms([("east", "one"), ("west", "two")], count=2, environment="trial")
        fleet.start_log()
        for vm in vms:
            fleet.start_node(vm.name)
        fleet.wait_ready([vm.name for vm in vms])
        fleet.start_upstream(vms[0].name, "desk", "1.0")
        fleet.start_upstream(vms[1].name, "store", "1.0")
        clients = [
            OperatorClient(f"{vm.host}:{OPERATOR_PORT}", token=Secret(OPERATOR_TOKEN)) for vm in vms
        ]

        published = clients[0].publish(DOCUMENT.read_text(), file=DOCUMENT.name)
        assert published.outcome == "accepted"
        wait_until_in_force(clients, published.offset)

        for number, vm in enumerate(vms):
            assert call(vm, "/desk", f"d{number}")["service"] == "desk"
            body = call(vm, "/store", f"s{number}")
            assert (body["service"], body["request_id"]) == ("store", f"s{number}")

        assert set(fleet.stop_all().values()) == {0}
