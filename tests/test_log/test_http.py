from __future__ import annotations

import socket
import threading
from collections.abc import Iterator

import pytest
import urllib3

from balsamhead.errors import LogOutcomeUnknownError, LogUnavailableError
from balsamhead.log import Entry, HttpLog
from standin.log import Faults, LogServer

#: timeout that is far longer than any response in these tests takes, in s
LONG_TIMEOUT_S = 20.0


@pytest.fixture
def server() -> Iterator[LogServer]:
    server = LogServer()
    server.start()
    yield server
    server.stop()


@pytest.fixture
def client(server: LogServer) -> Iterator[HttpLog]:
    client = HttpLog.from_config(url=server.url, timeout_s=LONG_TIMEOUT_S)
    yield client
    client.close()


def test_each_stream_has_its_own_offsets(client: HttpLog) -> None:
    assert [client.append("trial", b"a"), client.append("trial", b"b")] == [0, 1]
    assert client.append("other/stream", b"c") == 0
    batch = client.read("trial", start=1, limit=10, wait_s=0)
    assert batch == (0, 2, (Entry(1, b"b"),))
    assert client.read("other/stream", start=0, limit=10, wait_s=0).entries == (Entry(0, b"c"),)


def test_read_beyond_the_end_returns_without_waiting(client: HttpLog) -> None:
    client.append("s", b"a")
    assert client.read("s", start=1 << 40, limit=10, wait_s=LONG_TIMEOUT_S) == (0, 1, ())


def test_read_returns_at_most_limit_records(client: HttpLog) -> None:
    for data in (b"a", b"b", b"c"):
        client.append("s", data)
    entries = client.read("s", start=0, limit=2, wait_s=0).entries
    assert [entry.data for entry in entries] == [b"a", b"b"]


def test_first_offset_shows_dropped_records(server: LogServer, client: HttpLog) -> None:
    for data in (b"a", b"b", b"c"):
        client.append("s", data)
    server.set_faults(Faults(retention_records=1))
    assert client.read("s", start=0, limit=10, wait_s=0) == (2, 3, (Entry(2, b"c"),))


def test_offsets_restart_at_zero_in_an_emptied_log(server: LogServer, client: HttpLog) -> None:
    client.append("s", b"a")
    server.set_faults(Faults(empty=True))
    assert client.read("s", start=0, limit=10, wait_s=0) == (0, 0, ())


def test_lost_response_raises_outcome_unknown_for_a_written_record(
    server: LogServer, client: HttpLog
) -> None:
    server.set_faults(Faults(lost_answers=1))
    with pytest.raises(LogOutcomeUnknownError):
        client.append("s", b"a")
    assert client.read("s", start=0, limit=10, wait_s=0).entries == (Entry(0, b"a"),)


def test_late_response_raises_outcome_unknown_for_a_written_record(server: LogServer) -> None:
    impatient_client = HttpLog.from_config(url=server.url, timeout_s=0.05)
    server.set_faults(Faults(answer_delay_s=0.5))
    with pytest.raises(LogOutcomeUnknownError):
        impatient_client.append("s", b"a")
    assert server.log.read("s", start=0, limit=10, wait_s=LONG_TIMEOUT_S).end == 1


def test_refusing_log_raises_unavailable_and_writes_nothing(
    server: LogServer, client: HttpLog
) -> None:
    server.set_faults(Faults(refuse_for_s=LONG_TIMEOUT_S))
    with pytest.raises(LogUnavailableError):
        client.append("s", b"a")
    with pytest.raises(LogUnavailableError):
        client.read("s", start=0, limit=1, wait_s=0)
    assert server.log.appends == 0


def test_append_above_the_rate_limit_raises_unavailable_and_writes_nothing(
    server: LogServer, client: HttpLog
) -> None:
    server.set_faults(Faults(appends_per_s=0.001))
    client.append("s", b"a")
    with pytest.raises(LogUnavailableError):
        client.append("s", b"b")
    assert server.log.appends == 1


def test_closed_port_raises_unavailable() -> None:
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        url = f"http://127.0.0.1:{unused.getsockname()[1]}"
        client = HttpLog.from_config(url=url, timeout_s=LONG_TIMEOUT_S)
        with pytest.raises(LogUnavailableError):
            client.append("s", b"a")


@pytest.mark.parametrize("status", ["500 Internal Server Error", "502 Bad Gateway", "201 Created"])
def test_inconclusive_response_raises_outcome_unknown(status: str) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = HttpLog.from_config(
            url=f"http://127.0.0.1:{listener.getsockname()[1]}", timeout_s=LONG_TIMEOUT_S
        )

        def send_response() -> None:
            conn, _ = listener.accept()
            conn.recv(65536)
            conn.sendall(f"HTTP/1.1 {status}\r\nContent-Length: 2\r\n\r\n{{}}".encode())
            conn.close()

        thread = threading.Thread(target=send_response)
        thread.start()
        with pytest.raises(LogOutcomeUnknownError):
            client.append("s", b"a")
        thread.join()


def test_faults_are_set_and_read_over_http(server: LogServer) -> None:
    response = urllib3.request("POST", f"{server.url}/faults", json={"answer_delay_s": 0.25})
    assert response.status == 200
    assert urllib3.request("GET", f"{server.url}/faults").json()["answer_delay_s"] == 0.25
    assert urllib3.request("POST", f"{server.url}/faults", json={"x": 1}).status == 400
