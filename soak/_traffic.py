"""Send calls to the nodes, check the responses and record the outcomes."""

from __future__ import annotations

import hashlib
import random
import threading
import time
from typing import TYPE_CHECKING, Final, NamedTuple

import urllib3

from soak._invariants import Call, Invariant, Outcome
from standin.local_cluster import CALLER_PORT

if TYPE_CHECKING:
    from collections.abc import Sequence

    from soak._invariants import InvariantChecker
    from standin.local_cluster import Vm

__all__ = ("Traffic",)

#: timeout of a call, in s; longer than every deadline of the document
CALL_TIMEOUT_S: Final = 12.0

#: mean pause of a caller between two calls, in s
MEAN_PAUSE_S: Final = 0.04

MAX_BODY_BYTES: Final = 4000


class _Request(NamedTuple):
    request_id: str
    vm: Vm
    is_idempotent: bool
    body: bytes


class Traffic:
    """Run callers, each in its own thread."""

    def __init__(
        self, vms: Sequence[Vm], checker: InvariantChecker, *, seed: int, callers: int
    ) -> None:
        self._vms = tuple(vms)
        self._checker = checker
        self._stop_event = threading.Event()
        self._burst_count = 0
        self._threads = [
            threading.Thread(
                target=self._call_until_stopped, args=(random.Random(f"{seed}/{caller}"), caller)
            )
            for caller in range(callers)
        ]

    def start(self) -> None:
        """Start the callers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the callers and wait until their last calls, and those of bursts, have ended."""
        self._stop_event.set()
        for thread in self._threads:
            thread.join()

    def start_burst(self, vm: Vm, *, size: int) -> None:
        """Start concurrent non-idempotent calls through one node, without waiting for them."""
        self._burst_count += 1
        for index in range(size):
            req = _Request(f"b{self._burst_count}-{index}", vm, False, b"burst")
            thread = threading.Thread(target=self._call_with_own_pool, args=(req,))
            thread.start()
            self._threads.append(thread)

    def _call_with_own_pool(self, req: _Request) -> None:
        with urllib3.PoolManager(retries=False) as pool:
            self._call_and_record(pool, req)

    def _call_until_stopped(self, rng: random.Random, caller: int) -> None:
        number = 0
        with urllib3.PoolManager(num_pools=len(self._vms), retries=False) as pool:
            while not self._stop_event.wait(MEAN_PAUSE_S * 2 * rng.random()):
                number += 1
                is_idempotent = rng.random() < 0.5
                body = b"" if is_idempotent else rng.randbytes(rng.randrange(MAX_BODY_BYTES))
                vm = rng.choice(self._vms)
                req = _Request(f"c{caller}-{number}", vm, is_idempotent, body)
                self._call_and_record(pool, req)

    def _call_and_record(self, pool: urllib3.PoolManager, req: _Request) -> None:
        started_at = time.monotonic()
        outcome = self._send(pool, req)
        ended_at = time.monotonic()
        call = Call(req.request_id, req.vm.name, req.is_idempotent, outcome, started_at, ended_at)
        self._checker.record_call(call)

    def _send(self, pool: urllib3.PoolManager, req: _Request) -> Outcome:
        path = "/queue/a1" if req.is_idempotent else "/offers/o1/acceptance"
        try:
            resp = pool.request(
                "GET" if req.is_idempotent else "POST",
                f"http://{req.vm.host}:{CALLER_PORT}{path}",
                headers={"Host": "plotlist.example", "X-Request-Id": req.request_id},
                body=req.body or None,
                timeout=CALL_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError:
            return Outcome.CONNECTION_FAILED
        match resp.headers.get("x-balsamhead-outcome"):
            case "not-run":
                return Outcome.NOT_RUN
            case "unknown":
                return Outcome.UNKNOWN
        self._check_response(req, resp)
        return Outcome.ANSWERED

    def _check_response(self, req: _Request, resp: urllib3.BaseHTTPResponse) -> None:
        digest = hashlib.blake2b(req.body, digest_size=8).hexdigest()
        try:
            echo = resp.json()
            holds = (
                resp.status == 200
                and echo["request_id"] == req.request_id
                and echo["body_bytes"] == len(req.body)
                and echo["body_digest"] == digest
            )
        except (ValueError, KeyError):
            holds = False
        detail = f"{req.request_id}: {resp.status} {resp.data[:120]!r}"
        self._checker.check(Invariant.RESPONSE_IS_COMPLETE, holds=holds, detail=detail)
