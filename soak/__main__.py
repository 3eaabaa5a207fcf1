"""Run a mesh under random faults and report violations of its invariants."""

from __future__ import annotations

import argparse
import random
import sys
import threading
import time
from pathlib import Path
from typing import Final

from balsamhead.document import parse_document
from soak._faults import FaultInjector
from soak._invariants import Invariant, InvariantChecker
from soak._mesh import Mesh
from soak._traffic import Traffic
from standin.local_cluster import LocalCluster

__all__ = ("main",)

EXAMPLE: Final = Path(__file__).resolve().parent.parent / "examples" / "plotlist.toml"

#: text in the example document that :func:`make_document` replaces
ORIGINAL_DEADLINE: Final = "deadline-ms = 2000"

#: time after the last fault within which all nodes must run the same version, in s
CONVERGENCE_TIMEOUT_S: Final = 60.0

#: longest pause before a publication, in s
MAX_PUBLISH_INTERVAL_S: Final = 4.0

#: pause after each node start while the mesh is set up, in s
NODE_START_INTERVAL_S: Final = 0.1


def main(arguments: list[str] | None = None) -> int:
    """Run the soak test; return 0 if each invariant was checked and none was violated, else 1."""
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument("--seconds", type=float, default=180.0)
    parser.add_argument("--nodes", type=int, default=60)
    parser.add_argument("--callers", type=int, default=6)
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(1 << 31))
    options = parser.parse_args(arguments)
    print(f"seed {options.seed}, {options.nodes} nodes, {options.seconds:.0f} s", flush=True)
    checker = InvariantChecker()
    with LocalCluster.open() as fleet:
        mesh = start_mesh(fleet, checker, nodes=options.nodes)
        traffic = Traffic(
            list(mesh.vms.values()), checker, seed=options.seed, callers=options.callers
        )
        mesh.start_monitor()
        traffic.start()
        try:
            inject_faults(mesh, traffic, seconds=options.seconds, seed=options.seed)
            check_convergence(mesh, checker)
        finally:
            traffic.stop()
            mesh.stop_monitor()
        checker.check_calls()
        check_final_stop(fleet, checker)
    print(", ".join(f"{count} {name}" for name, count in checker.count_outcomes().items()))
    print(checker.render_report())
    return 0 if checker.has_passed() else 1


def start_mesh(fleet: LocalCluster, checker: InvariantChecker, *, nodes: int) -> Mesh:
    """Start the log, the relay between the regions, and a node and an upstream on each VM."""
    text = EXAMPLE.read_text()
    document = parse_document(text, file=EXAMPLE.name, written_at=time.time())
    locations = [
        (region.name, data_centre)
        for region in document.regions
        for data_centre in region.data_centres
    ]
    vms = fleet.add_vms(locations, count=nodes, environment="production")
    mesh = Mesh(fleet, vms, checker)
    fleet.start_log()
    fleet.start_border_relay()
    for vm in vms:
        mesh.start_node(vm.name)
        time.sleep(NODE_START_INTERVAL_S)
    fleet.wait_ready([vm.name for vm in vms])
    for index, vm in enumerate(vms):
        service = document.services[0 if index % 3 else 1]
        mesh.start_upstream(vm.name, service.name)
    mesh.publish(vms[0].name, text)
    return mesh


def inject_faults(mesh: Mesh, traffic: Traffic, *, seconds: float, seed: int) -> None:
    """Inject faults one at a time while another thread publishes documents."""
    stop_event = threading.Event()
    publisher = threading.Thread(
        target=publish_until_stopped, args=(mesh, stop_event, random.Random(seed + 1))
    )
    publisher.start()
    injector = FaultInjector(mesh, traffic, random.Random(seed))
    end_at = time.monotonic() + seconds
    while time.monotonic() < end_at:
        injector.inject_one()
    stop_event.set()
    publisher.join()
    injector.clear_faults()


def publish_until_stopped(mesh: Mesh, stop_event: threading.Event, rng: random.Random) -> None:
    """Publish changed documents through randomly chosen nodes until the event is set."""
    number = 0
    while not stop_event.wait(MAX_PUBLISH_INTERVAL_S * rng.random()):
        number += 1
        mesh.publish(rng.choice(list(mesh.vms)), make_document(number))


def make_document(number: int) -> str:
    """Return the example document with a deadline of 2000 ms plus ``number``."""
    return EXAMPLE.read_text().replace(ORIGINAL_DEADLINE, f"deadline-ms = {2000 + number}")


def check_convergence(mesh: Mesh, checker: InvariantChecker) -> None:
    """Publish once more and check that all nodes converge on that version, or on a newer one.

    If the publication fails, any common version is accepted.
    """
    started_at = time.monotonic()
    publication = mesh.publish(next(iter(mesh.vms)), make_document(9000))
    while True:
        statuses = mesh.fetch_all_statuses()
        digests = {status.digest if status else "" for status in statuses.values()}
        offsets = {status.offset if status else -1 for status in statuses.values()}
        expected_offset = (
            publication.offset
            if publication is not None and publication.outcome == "accepted"
            else -1
        )
        converged = len(digests) == len(offsets) == 1 and min(offsets) >= max(0, expected_offset)
        if converged or time.monotonic() - started_at > CONVERGENCE_TIMEOUT_S:
            break
        time.sleep(0.5)
    elapsed_s = time.monotonic() - started_at
    print(f"converged: {converged}, {elapsed_s:.1f} s after the last fault", flush=True)
    offsets_by_node = {name: status.offset if status else None for name, status in statuses.items()}
    checker.check(Invariant.CONVERGED, holds=converged, detail=f"offsets {offsets_by_node}")


def check_final_stop(fleet: LocalCluster, checker: InvariantChecker) -> None:
    """Stop all processes gracefully and check that each exits with 0."""
    for name, code in fleet.stop_all().items():
        checker.check(Invariant.STOP_IS_CLEAN, holds=code == 0, detail=f"{name} ended with {code}")


if __name__ == "__main__":
    sys.exit(main())
