"""Run the example deployments on loopback, from publication to calls through every route."""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Final, NamedTuple

import urllib3

from balsamhead.document import Document, parse_document
from standin.local_cluster import CALLER_PORT, OPERATOR_PORT, OPERATOR_TOKEN, LocalCluster, Vm

__all__ = ("main",)

ROOT: Final = Path(__file__).resolve().parent.parent

#: nodes per environment of one deployment; the trial environment has one in each region
PRODUCTION_NODES: Final = 8
TRIAL_NODES: Final = 2

CALLS_PER_ROUTE: Final = 20

#: time within which a published configuration must be in force on all nodes, in s
IN_FORCE_TIMEOUT_S: Final = 60.0


class CallResult(NamedTuple):
    """Response to one call: its status, and the service and version of its upstream."""

    route: str
    status: int
    service: str
    version: str


def main(arguments: list[str] | None = None) -> int:
    """Run the demonstration; return 0 if all calls and process exits were as expected, else 1."""
    parser = argparse.ArgumentParser(prog="demo")
    parser.add_argument("--example", choices=("plotlist", "setxanh"), action="append")
    names = parser.parse_args(arguments).example or ["plotlist", "setxanh"]
    results = [run_example(name) for name in names]
    return 0 if all(results) else 1


def run_example(name: str) -> bool:
    """Run one deployment; return whether all calls succeeded and all processes exited with 0."""
    path = ROOT / "examples" / f"{name}.toml"
    document = parse_document(path.read_text(), file=path.name, written_at=time.time())
    locations = [
        (region.name, data_centre)
        for region in document.regions
        for data_centre in region.data_centres
    ]
    with LocalCluster.open() as fleet:
        trial = fleet.add_vms(locations[::2], count=TRIAL_NODES, environment="trial")
        production = fleet.add_vms(locations, count=PRODUCTION_NODES, environment="production")
        print(f"== {name}: {len(production)} production nodes, {len(trial)} trial nodes")
        fleet.start_log()
        start_nodes_and_upstreams(fleet, document)
        run_client(production[0], "check", str(path.relative_to(ROOT)))
        run_client(trial[0], "publish", str(path.relative_to(ROOT)))
        wait_until_in_force(trial[0], count=len(trial))
        run_client(production[0], "promote")
        elapsed_s = wait_until_in_force(production[0], count=len(production))
        print(f"status counts all {len(production)} nodes after {elapsed_s:.1f} s")
        run_client(production[0], "status")
        calls_succeeded = print_call_results(call_each_route(document, production), document)
        codes = fleet.stop_all()
    stopped_cleanly = all(code == 0 for code in codes.values())
    print(f"stopped {len(codes)} processes, exit codes {sorted(set(codes.values()))}\n")
    return calls_succeeded and stopped_cleanly


def start_nodes_and_upstreams(fleet: LocalCluster, document: Document) -> None:
    """Start a node and an upstream on each VM, assigning the services in rotation."""
    for name in fleet.vms:
        fleet.start_node(name)
    fleet.wait_ready(list(fleet.vms))
    for index, name in enumerate(fleet.vms):
        vm = fleet.vms[name]
        service = document.services[
            index // _count_consecutive_vms(vm, fleet) % len(document.services)
        ]
        fleet.start_upstream(name, service.name, service.version, "--slots", str(service.slots))


def _count_consecutive_vms(vm: Vm, fleet: LocalCluster) -> int:
    """Return how many consecutive VMs get an upstream of the same service."""
    # consecutive production VMs are in different data centres, so a run of this length has one
    # upstream in each
    data_centres = {other.data_centre for other in fleet.vms.values()}
    return len(data_centres) if vm.environment == "production" else 1


def run_client(vm: Vm, command: str, *arguments: str) -> None:
    """Print and run one command of the operator client.

    :raises subprocess.CalledProcessError: the command failed.
    """
    print(f"$ balsamhead {command} {' '.join(arguments)}".rstrip())
    subprocess.run(
        build_client_command(vm, command, *arguments), check=True, env=build_client_env(), cwd=ROOT
    )


def build_client_command(vm: Vm, command: str, *arguments: str) -> list[str]:
    """Return the command line that runs the operator client against the node of a VM."""
    target = [] if command == "check" else ["--node", f"{vm.host}:{OPERATOR_PORT}"]
    return [sys.executable, "-m", "balsamhead", command, *arguments, *target]


def build_client_env() -> dict[str, str]:
    """Return the environment variables of the operator client, including its token."""
    return dict(os.environ, BALSAMHEAD_OPERATOR_TOKEN=OPERATOR_TOKEN)


def wait_until_in_force(vm: Vm, *, count: int) -> float:
    """Wait until a node reports its version in force on ``count`` nodes; return the time in s.

    :raises TimeoutError: the version was in force on fewer nodes when the timeout expired.
    """
    started_at = time.monotonic()
    while time.monotonic() - started_at < IN_FORCE_TIMEOUT_S:
        completed = subprocess.run(
            [*build_client_command(vm, "status"), "--json"],
            check=True,
            env=build_client_env(),
            cwd=ROOT,
            capture_output=True,
        )
        status = json.loads(completed.stdout)
        if dict(status["in_force"]).get(status["offset"], 0) >= count and status["offset"] >= 0:
            return time.monotonic() - started_at
        time.sleep(0.2)
    raise TimeoutError(
        f"configuration not in force on {count} nodes after {IN_FORCE_TIMEOUT_S:.0f} s"
    )


def call_each_route(document: Document, vms: tuple[Vm, ...]) -> list[CallResult]:
    """Send calls for each route, distributed over the nodes in rotation."""
    results = []
    with urllib3.PoolManager(num_pools=len(vms)) as pool:
        for route in document.routes:
            path = route.path.replace("{", "").replace("}", "").replace("**", "all")
            for index in range(CALLS_PER_ROUTE):
                url = f"http://{vms[index % len(vms)].host}:{CALLER_PORT}{path}"
                resp = pool.request(route.methods[0], url, headers={"Host": route.host})
                echo = resp.json()
                service, version = echo.get("service", ""), echo.get("version", "")
                results.append(CallResult(route.name, resp.status, service, version))
    return results


def print_call_results(results: list[CallResult], document: Document) -> bool:
    """Print the responses by route; return whether all have the expected status and upstream."""
    expected_services = {route.name: route.service for route in document.routes}
    expected_versions = {service.name: service.version for service in document.services}
    counts = Counter(results)
    for result, count in sorted(counts.items()):
        print(f"{result.route}: {count} x {result.status} {result.service} {result.version}")
    unexpected = [
        result
        for result in results
        if result.status != 200
        or result.service != expected_services[result.route]
        or result.version != expected_versions[result.service]
    ]
    print(f"{len(results) - len(unexpected)} of {len(results)} calls answered as the document says")
    return not unexpected


if __name__ == "__main__":
    sys.exit(main())
