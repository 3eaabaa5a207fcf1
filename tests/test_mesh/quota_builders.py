"""Whole nodes whose requests belong to client accounts with quotas."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Collection, Sequence
from typing import Any

from balsamhead.mesh.model import Account
from standin.virtual_network import CURRENT_HOST
from tests.test_mesh.builders import (
    InMemoryCluster,
    Member,
    RequestSender,
    make_config,
    make_settings,
    start_cluster,
)

#: host of the callers, which no cut concerns
CALLER_HOST = "10.8.0.1"


def make_account(name: str, rate: float = 5.0, burst: float = 5.0) -> Account:
    return Account(name, 1, rate, burst, ())


def make_quota_config(rates: dict[str, tuple[float, float]], *, version: int = 1) -> dict[str, Any]:
    """Return a configuration with accounts, given their rates and bursts by name.

    The key of an account is its name.
    """
    config = make_config(version)
    config["tenants"] = {
        name: {"api_keys": [name], "priority": 1, "rate_per_s": rate, "burst": burst}
        for name, (rate, burst) in rates.items()
    }
    return config


async def start_quota_cluster(
    count: int, *, places: Sequence[str] = ("east-a",), **rates: Any
) -> tuple[InMemoryCluster, RequestSender]:
    """Start nodes with fast upstreams, and wait until bursts are available."""
    settings = [
        make_settings(number, place=places[number % len(places)]) for number in range(1, count + 1)
    ]
    cluster, send_request = await start_cluster(*settings, config=make_quota_config(rates))
    for member in cluster.members.values():
        member.upstream.slots = 100
        member.upstream.service_time_s = 0.005
    await asyncio.sleep(2.0)
    CURRENT_HOST.set(CALLER_HOST)
    return cluster, send_request


def cut_between(cluster: InMemoryCluster, one: Collection[int], other: Collection[int]) -> None:
    """Cut the paths between two groups of nodes; callers and the store reach all nodes."""
    hosts, others = ({f"10.0.0.{number}" for number in group} for group in (one, other))
    cluster.network.is_cut = lambda host, peer: (
        (host in hosts and peer in others) or (host in others and peer in hosts)
    )


def list_members(cluster: InMemoryCluster, place: str) -> list[int]:
    """Return the numbers of the nodes in a data centre."""
    return [number for number, row in cluster.members.items() if row.cfg.data_centre == place]


class Traffic:
    """Send requests of accounts at random times, and count their statuses."""

    def __init__(self, cluster: InMemoryCluster, send_request: RequestSender, *, seed: int) -> None:
        self._cluster = cluster
        self._send_request = send_request
        self._rng = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self.statuses: dict[str, Counter[int]] = {}
        #: values of Retry-After of the 429 responses, in s
        self.retry_times: list[float] = []
        #: when the admitted requests were answered, in s of the loop's clock
        self.admitted_at: dict[str, list[float]] = {}

    async def run(
        self,
        account: str,
        rate: float,
        duration_s: float,
        *,
        weights: Sequence[float] = (),
        regular: bool = False,
    ) -> None:
        """Send requests at a rate to nodes drawn by weight, or evenly."""
        loop = asyncio.get_running_loop()
        end = loop.time() + duration_s
        while loop.time() < end:
            members = list(self._cluster.members.values())
            if members:
                row = weights[: len(members)] or [1.0] * len(members)
                member = self._rng.choices(members, row)[0]
                task = loop.create_task(self._send(member, account))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1.0 / rate if regular else self._rng.expovariate(rate))
        while self._tasks:
            await asyncio.gather(*self._tasks)

    async def _send(self, member: Member, account: str) -> None:
        try:
            response = await self._send_request(member.cfg, headers=f"Key: {account}\r\n")
        except (OSError, EOFError):
            return
        self.statuses.setdefault(account, Counter())[response.status] += 1
        if response.status == 429:
            self.retry_times.append(float(response.headers[b"retry-after"][0]))
        elif response.status == 200:
            now = asyncio.get_running_loop().time()
            self.admitted_at.setdefault(account, []).append(now)


def count_most(times: list[float], window_s: float = 5.0) -> int:
    """Return the largest number of times in any window."""
    times = sorted(times)
    most = start = 0
    for end, time in enumerate(times):
        while time - times[start] > window_s:
            start += 1
        most = max(most, end - start + 1)
    return most


def get_bound(rate: float, burst: float) -> float:
    """Return how many requests of an account may reach upstreams in any 5 s."""
    return (rate * 5.0 + burst) * 1.1 + 20.0
