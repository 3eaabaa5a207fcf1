"""Measure the cost of folding records and building snapshots at several sizes."""

from __future__ import annotations

import gc
import time
from typing import TYPE_CHECKING, Final

from balsamhead.distribution import split_state
from balsamhead.document import Document, Objective, Region, RolloutPolicy, Route, Service
from balsamhead.fold import PublishDocument, empty_state, encode_record, fold
from balsamhead.membership import Member, MemberStatus, Place, Upstream, UpstreamState
from balsamhead.node import Identity
from balsamhead.routing import build_snapshot
from bench._fit import fit_line
from bench._frame import Measure
from bench._size_frame import NODES, make_measure

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamhead.fold import ConfigState

__all__ = ("measure_tables",)

#: number of services for which the system is designed
SERVICES: Final = 100
CHANGES_PER_DAY: Final = 4100
ROUTES_PER_SERVICE: Final = 3

PLACES: Final = tuple(Place(f"dc-{n}", f"region-{n % 3}") for n in range(6))

#: measured numbers of services and of nodes
SERVICE_COUNTS: Final = (25, 50, 75, 100)
NODE_COUNTS: Final = (725, 1450, 2175, 2900)

#: records folded at each size, and repetitions of each snapshot build
RECORD_COUNT: Final = 20
REPETITIONS: Final = 5


def measure_tables() -> list[Measure]:
    """Measure the fold of records and the build of snapshots at several sizes."""
    return [*_measure_fold(), *_measure_snapshot()]


def build_document(services: int, *, deadline_ms: int = 2000) -> Document:
    """Build a document with a number of services, three routes each."""
    return Document(
        name="large",
        regions=tuple(
            Region(f"region-{r}", tuple(f"dc-{n}" for n in range(6) if n % 3 == r))
            for r in range(3)
        ),
        services=tuple(_build_service(number) for number in range(services)),
        routes=tuple(
            _build_route(number, kind, deadline_ms if (number, kind) == (0, 0) else 2000)
            for number in range(services)
            for kind in range(ROUTES_PER_SERVICE)
        ),
    )


def _build_service(number: int) -> Service:
    return Service(
        name=f"service-{number:03}",
        workers=NODES // SERVICES,
        slots=6,
        connections=130,
        depends_on=(),
        version="1.0.0",
        due_at=0.0,
        objective=Objective(0.999, 250.0, 0.99),
        rollout=RolloutPolicy("on-time", 600.0, 0.05, 2.0, 0.001),
    )


def _build_route(number: int, kind: int, deadline_ms: int) -> Route:
    return Route(
        name=f"route-{number:03}-{kind}",
        service=f"service-{number:03}",
        host=f"service-{number:03}.internal",
        path=f"/kind-{kind}/**",
        methods=("GET",),
        deadline_ms=deadline_ms,
        idempotent=True,
        bulk=False,
    )


def _build_members(count: int) -> list[Member]:
    return [
        Member(
            node=f"vm-{number:04}",
            incarnation=1,
            sequence=1,
            status=MemberStatus.ALIVE,
            place=PLACES[number % len(PLACES)],
            peer_address=f"127.0.{number // 250}.{number % 250}:7070",
            upstream=Upstream(
                f"service-{number % SERVICES:03}",
                "1.0.0",
                f"127.0.{number // 250}.{number % 250}",
                8000,
                6,
                130,
                UpstreamState.READY,
                1,
            ),
        )
        for number in range(count)
    ]


def _publish(state: ConfigState, offset: int, document: Document) -> ConfigState:
    record = PublishDocument(
        id=f"r{offset}",
        base=state.document_offset,
        written_at=1000.0 + offset,
        writer="bench",
        document=document,
    )
    folded = fold(state, offset, record)
    assert folded.state.offset == offset, folded.verdict
    return folded.state


def _measure_fold() -> list[Measure]:
    points = []
    for size in SERVICE_COUNTS:
        documents = [build_document(size, deadline_ms=1000 + n) for n in range(RECORD_COUNT)]
        # warm the caches and collect earlier garbage, so that neither is part of the timing
        _publish(empty_state(), 0, documents[0])
        gc.collect()
        started_at = time.process_time()
        state = empty_state()
        for offset, document in enumerate(documents):
            state = _publish(state, offset, document)
        points.append((float(size), (time.process_time() - started_at) * 1000 / RECORD_COUNT))
    line = fit_line(points)
    record = PublishDocument(
        id="r", base=-1, written_at=0.0, writer="bench", document=build_document(SERVICES)
    )
    return [
        _make_measure("fold_record_ms", "ms", line.predict(SERVICES), runs=RECORD_COUNT),
        _make_measure("fold_ms_per_service", "ms", line.slope, runs=len(points)),
        _make_measure("fold_fit_error", "share", line.max_relative_error, runs=len(points)),
        _make_measure("fold_ms", "ms", line.predict(SERVICES) * CHANGES_PER_DAY, runs=RECORD_COUNT),
        _make_measure("record_bytes", "B", len(encode_record(record)), runs=1),
        _make_measure(
            "state_bytes", "B", sum(len(r.body) for r in split_state(state).values()), runs=1
        ),
    ]


def _measure_snapshot() -> list[Measure]:
    state = _publish(empty_state(), 0, build_document(SERVICES))
    identity = Identity("vm-0000", 1, PLACES[0], "127.0.0.0:7070", "production")
    points = []
    for size in NODE_COUNTS:
        members = _build_members(size)

        def build(members: list[Member] = members) -> object:
            return build_snapshot(config=state, withdrawn={}, members=members, identity=identity)

        points.append((float(size), _time_ms(build)))
    line = fit_line(points)
    return [
        _make_measure("snapshot_ms_2900", "ms", line.predict(NODES), runs=REPETITIONS),
        _make_measure("snapshot_us_per_endpoint", "us", line.slope * 1000, runs=len(points)),
        _make_measure("snapshot_fit_error", "share", line.max_relative_error, runs=len(points)),
    ]


def _time_ms(operation: Callable[[], object]) -> float:
    started_at = time.process_time()
    for _ in range(REPETITIONS):
        operation()
    return (time.process_time() - started_at) * 1000 / REPETITIONS


def _make_measure(name: str, unit: str, value: float, *, runs: int) -> Measure:
    return make_measure(name, unit, value, seed=0, runs=runs)
