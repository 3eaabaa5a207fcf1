"""Run only the caller port, as the baseline for the cost of the control plane in a node process.

``python -m bench._proxy_only HOST:PORT`` serves until SIGTERM.
"""

from __future__ import annotations

import signal
import sys
import threading

from balsamhead.proxy import CallerServer, ProxyConfig
from balsamhead.util.logs import configure_logging

__all__ = ("main",)


def main() -> int:
    """Serve until SIGTERM arrives."""
    configure_logging(level="info", node="proxy-only")
    host, _, port = sys.argv[1].rpartition(":")
    server = CallerServer.from_config(ProxyConfig(host=host, port=int(port)))
    stop_requested = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop_requested.set())
    server.start()
    stop_requested.wait()
    server.stop(0.0)
    return 0


if __name__ == "__main__":
    sys.exit(main())
