from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest

from balsamhead.errors import BalsamheadError
from balsamhead.node._daemon import Daemon
from balsamhead.util.metrics import INSTRUMENTS
from tests.test_settings.builders import make_settings

ADDRESS_SETTINGS = ["caller_address", "peer_address", "operator_address", "announce_address"]


@pytest.mark.parametrize("setting", ADDRESS_SETTINGS)
def test_start_with_port_in_use_raises_port_unavailable(tmp_path: Path, setting: str) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        daemon = Daemon(make_settings(tmp_path, **{setting: address}))
        with pytest.raises(BalsamheadError) as caught:
            asyncio.run(daemon.run())
    assert caught.value.error_code == "port-unavailable"
    assert address.rpartition(":")[2] in caught.value.message


def test_every_declared_metric_has_a_callback(tmp_path: Path) -> None:
    assert Daemon(make_settings(tmp_path)).metrics.observed == set(INSTRUMENTS)
