"""Test calls of routes that name regions over loopback sockets."""

from __future__ import annotations

import contextlib
import json
import random
from collections.abc import Iterator

from balsamhead.membership import Place
from balsamhead.proxy import CallerServer, ProxyConfig
from standin.upstream import Upstream
from tests.test_proxy.builders import call, get_port, run_upstreams
from tests.test_routing.builders import READ, make_config, make_member, make_route, make_snapshot

EAST, WEST = Place("east-a", "east"), Place("west-a", "west")
LOCAL = make_route("local", path="/local/{id}", regions=("west",))


@contextlib.contextmanager
def run_server(upstreams: list[tuple[Upstream, Place]]) -> Iterator[CallerServer]:
    cfg = ProxyConfig("127.0.0.1", 0, worker_threads=12, reserved_threads=4)
    server = CallerServer.from_config(cfg, rng=random.Random(1))
    server.start()
    members = [
        make_member(f"n{i}", port=get_port(upstream), place=place)
        for i, (upstream, place) in enumerate(upstreams)
    ]
    server.update_snapshot(make_snapshot(members, config=make_config((READ, LOCAL))))
    try:
        yield server
    finally:
        server.stop(0.0)


def test_calls_and_their_retries_stay_in_the_regions() -> None:
    with run_upstreams(3) as upstreams:
        places = [EAST, WEST, WEST]
        with run_server(list(zip(upstreams, places, strict=True))) as server:
            headers = {"x-request-id": "a"}
            for _ in range(20):
                assert call(server, "GET", "/local/1", headers=headers).status == 200
            for upstream in upstreams[1:]:
                upstream.set_faults({"shed": True})
            for _ in range(5):
                res = call(server, "GET", "/local/1", headers=headers)
                assert res.status == 503
                assert res.headers["x-balsamhead-outcome"] == "not-run"
            assert server.retries > 0
        assert not upstreams[0].runs
        assert sum(upstream.runs["a"] for upstream in upstreams[1:]) == 20


def test_call_without_an_upstream_in_its_regions_is_refused_as_not_run() -> None:
    with run_upstreams() as (upstream,), run_server([(upstream, EAST)]) as server:
        res = call(server, "GET", "/local/1")
        assert (res.status, json.loads(res.data)["code"]) == (503, "no-upstream-in-regions")
        assert res.headers["x-balsamhead-outcome"] == "not-run"
        assert int(res.headers["retry-after"]) >= 1
        assert call(server, "GET", "/read/1").status == 200
