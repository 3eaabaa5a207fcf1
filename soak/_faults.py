"""Inject random faults into the mesh and undo them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from soak._mesh import Mesh
    from soak._traffic import Traffic

__all__ = ("FaultInjector",)

#: calls sent through a node just before it is stopped, and how long before the stop, in s
BURST_CALLS: Final = 8
BURST_LEAD_S: Final = 0.03

#: shortest and longest duration of a fault, in s
MIN_FAULT_S: Final = 1.0
MAX_FAULT_S: Final = 8.0

#: share of the nodes that are killed at once, 0 to 1
KILLED_NODE_SHARE: Final = 0.3


class FaultInjector:
    """Choose faults with a random generator, print and inject them."""

    def __init__(self, mesh: Mesh, traffic: Traffic, rng: random.Random) -> None:
        self._mesh = mesh
        self._traffic = traffic
        self._rng = rng
        self._fault_methods: tuple[Callable[[], None], ...] = (
            self._kill_nodes,
            self._kill_upstreams,
            self._stop_node,
            self._drain_upstream,
            self._refuse_log_requests,
            self._delay_log_responses,
            self._lose_log_responses,
            self._truncate_log,
            self._partition_regions,
            self._silence_region_links,
            self._pause_nodes,
        )

    def inject_one(self) -> None:
        """Inject one fault and, unless it ends by itself, undo it after a random time."""
        self._rng.choice(self._fault_methods)()

    def clear_faults(self) -> None:
        """Clear the faults of the log and the relay, and close the relayed connections."""
        self._mesh.set_log_faults({})
        relay = self._mesh.fleet.relay
        if relay is not None:
            relay.restore()

    def _kill_nodes(self) -> None:
        names = self._sample(KILLED_NODE_SHARE)
        self._print_event(f"{len(names)} nodes killed at once")
        for name in names:
            self._mesh.kill(name)
        self._wait_fault_duration()
        for name in names:
            self._mesh.start_node(name)
        self._mesh.fleet.wait_ready(names)

    def _kill_upstreams(self) -> None:
        names = self._sample(0.1)
        self._print_event(f"{len(names)} upstreams killed")
        # the run counts are lost with the process
        self._mesh.collect_run_counts(names)
        for name in names:
            self._mesh.kill(self._mesh.get_upstream_process(name))
        self._wait_fault_duration()
        for name in names:
            self._restart_upstream(name)

    def _stop_node(self) -> None:
        name = self._rng.choice(list(self._mesh.vms))
        self._print_event(f"planned stop of {name}")
        self._traffic.start_burst(self._mesh.vms[name], size=BURST_CALLS)
        time.sleep(BURST_LEAD_S)
        self._mesh.stop(name)
        self._mesh.start_node(name)
        self._mesh.fleet.wait_ready([name])

    def _drain_upstream(self) -> None:
        name = self._rng.choice(list(self._mesh.vms))
        process = self._mesh.get_upstream_process(name)
        self._print_event(f"drain of {process}")
        self._mesh.collect_run_counts([name])
        self._mesh.stop(process)
        self._restart_upstream(name)

    def _refuse_log_requests(self) -> None:
        self._print_event("log refuses all requests")
        # the log ends this fault by itself
        self._mesh.set_log_faults({"refuse_for_s": self._draw_duration_s()})
        self._wait_fault_duration()

    def _delay_log_responses(self) -> None:
        self._print_event("log answers 2 s late")
        self._mesh.set_log_faults({"answer_delay_s": 2.0})
        self._wait_fault_duration()
        self._mesh.set_log_faults({})

    def _lose_log_responses(self) -> None:
        self._print_event("log loses the answers to 3 appends")
        self._mesh.set_log_faults({"lost_answers": 3})
        self._wait_fault_duration()
        self._mesh.set_log_faults({})

    def _truncate_log(self) -> None:
        self._print_event("log keeps the last 3 records only")
        self._mesh.set_log_faults({"retention_records": 3})
        self._wait_fault_duration()
        self._mesh.set_log_faults({})

    def _partition_regions(self) -> None:
        relay = self._mesh.fleet.relay
        assert relay is not None, "the fleet has no relay between its regions"
        self._print_event("border cut")
        relay.cut()
        self._wait_fault_duration()
        relay.restore()

    def _silence_region_links(self) -> None:
        relay = self._mesh.fleet.relay
        assert relay is not None, "the fleet has no relay between its regions"
        self._print_event("links over the border go silent, new ones work")
        # these connections stay silent; the nodes have to detect this and open new ones
        relay.blackhole_connections()
        self._wait_fault_duration()

    def _pause_nodes(self) -> None:
        names = self._sample(0.1)
        self._print_event(f"{len(names)} nodes paused")
        for name in names:
            self._mesh.pause(name)
        self._wait_fault_duration()
        for name in names:
            self._mesh.resume(name)

    def _restart_upstream(self, name: str) -> None:
        _, _, service = self._mesh.get_upstream_process(name).partition(".")
        self._mesh.start_upstream(name, service)

    def _sample(self, share: float) -> list[str]:
        names = list(self._mesh.vms)
        return self._rng.sample(names, max(1, round(share * len(names))))

    def _draw_duration_s(self) -> float:
        return self._rng.uniform(MIN_FAULT_S, MAX_FAULT_S)

    def _wait_fault_duration(self) -> None:
        time.sleep(self._draw_duration_s())

    def _print_event(self, text: str) -> None:
        print(f"{time.strftime('%H:%M:%S')} {text}", flush=True)
