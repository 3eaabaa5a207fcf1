"""Measure how many good versions complete on time and how many bad ones are rolled back."""

from __future__ import annotations

import random
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from typing import TYPE_CHECKING, Final, NamedTuple

from balsamhead.rollout import PRESETS
from bench._frame import Measure, percentile
from bench._rollout_cases import BAD_KINDS, DEPLOYMENTS, GOOD_KINDS, Case, draw_case
from bench._rollout_fleet import FleetResult, make_fleet_measures, measure_fleet
from bench._rollout_run import Outcome, run_case

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    Statistic = Callable[[Sequence[Outcome]], float]

__all__ = ("draw_cases", "run", "run_all")

SEED: Final = 20261204
#: rates of calls to the service, in calls/s
RATES: Final = (3.0, 30.0, 200.0, 5000.0)
#: worker processes that run the cases
PROCESSES: Final = 2
#: on average, one good case out of this number has a due time too early for its evidence
SHORT_WINDOW_INTERVAL: Final = 8


class ScoreParts(NamedTuple):
    """Components of a score, or their weights.

    Each is 0 to 1; only the rollback accuracy can be negative.
    """

    #: fraction of good versions that complete on time
    on_time: float
    #: fraction of bad versions rolled back, less that of good ones
    rollback_accuracy: float
    #: fraction of the baseline's failed calls that were avoided
    avoided_failures: float
    #: unused fraction of 200 bytes/s of control traffic per node
    control_traffic: float
    #: unused fraction of 4 s, twice the target time for the withdrawal of a bad version
    stop_speed: float


#: weights of the components in each deployment
WEIGHTS: Final = {
    "trust": ScoreParts(0.4, 0.2, 0.1, 0.25, 0.05),
    "association": ScoreParts(0.15, 0.25, 0.25, 0.05, 0.3),
}


class Job(NamedTuple):
    """One case, its rollout preset and the choice of controller."""

    case: Case
    preset: str
    is_baseline: bool


def draw_cases() -> list[Job]:
    """Draw cases for every combination of kind, rate, deployment and preset."""
    rng = random.Random(SEED)
    jobs = []
    for kind in (*GOOD_KINDS, *BAD_KINDS):
        for rate in RATES:
            for deployment in DEPLOYMENTS:
                for preset in PRESETS:
                    for _ in range(2 if kind in GOOD_KINDS else 1):
                        is_window_short = (
                            kind in GOOD_KINDS and rng.random() < 1.0 / SHORT_WINDOW_INTERVAL
                        )
                        case = draw_case(
                            rng, kind, deployment, rate, is_window_short=is_window_short
                        )
                        jobs.append(Job(case, preset, False))
    return jobs


def run_job(job: Job) -> Outcome:
    """Run one case with its preset."""
    return run_case(job.case, PRESETS[job.preset], is_baseline=job.is_baseline)


def run_all(jobs: Sequence[Job]) -> list[Outcome]:
    """Run the cases in parallel, and return their outcomes in the same order."""
    with ProcessPoolExecutor(PROCESSES, mp_context=get_context("spawn")) as pool:
        return list(pool.map(run_job, jobs, chunksize=8))


def run() -> list[Measure]:
    """Run the benchmarks of this area and return their measures."""
    jobs = draw_cases()
    outcomes = run_all(jobs)
    baseline = run_all([job._replace(is_baseline=True) for job in jobs])
    fleet = measure_fleet(SEED)
    measures = [*summarize(outcomes, baseline), *make_fleet_measures(fleet, seed=SEED)]
    return [*measures, *score(outcomes, baseline, fleet)]


def summarize(outcomes: Sequence[Outcome], baseline: Sequence[Outcome]) -> list[Measure]:
    """Return the measures of all cases, with the baseline's values."""
    measures = []

    def add(name: str, unit: str, statistic: Statistic, target: float | None, better: str) -> None:
        measures.append(
            Measure(
                "rollout",
                f"rollout.{name}",
                unit,
                statistic(outcomes),
                statistic(baseline),
                target,
                better,
                SEED,
                len(outcomes),
            )
        )

    add("good_on_time_share", "", _share_on_time, 0.99, "higher")
    add("said_late_early_share", "", _share_reported_early, 1.0, "higher")
    add("bad_taken_back_share", "", _share_rolled_back, 0.99, "higher")
    add("false_take_back_share", "", _share_false_rollbacks, 0.005, "lower")
    add("bad_share_of_calls", "", _max_faulty_share, 0.05, "lower")
    add(
        "failed_calls_p50", "calls", lambda rows: _failed_calls_percentile(rows, 0.5), None, "lower"
    )
    add(
        "failed_calls_p99",
        "calls",
        lambda rows: _failed_calls_percentile(rows, 0.99),
        None,
        "lower",
    )
    return measures


def _select_good(rows: Sequence[Outcome]) -> list[Outcome]:
    return [row for row in rows if row.case.is_good]


def _select_bad(rows: Sequence[Outcome]) -> list[Outcome]:
    return [row for row in rows if not row.case.is_good and row.had_fault]


def _share_true(values: list[bool]) -> float:
    return sum(values) / max(1, len(values))


def _share_on_time(rows: Sequence[Outcome]) -> float:
    return _share_true([r.is_on_time for r in _select_good(rows) if not r.is_reported_early])


def _share_reported_early(rows: Sequence[Outcome]) -> float:
    return _share_true([r.is_reported_early for r in _select_good(rows) if not r.is_feasible])


def _share_rolled_back(rows: Sequence[Outcome]) -> float:
    return _share_true([r.is_rolled_back for r in _select_bad(rows)])


def _share_false_rollbacks(rows: Sequence[Outcome]) -> float:
    return _share_true([r.is_rolled_back for r in _select_good(rows)])


def _max_faulty_share(rows: Sequence[Outcome]) -> float:
    return max(r.faulty_share for r in _select_bad(rows))


def _failed_calls_percentile(rows: Sequence[Outcome], share: float) -> float:
    return percentile([r.failed_calls for r in _select_bad(rows)], share)


def _share_avoided_failures(rows: Sequence[Outcome], baseline: Sequence[Outcome]) -> float:
    """Return the fraction of the baseline's failed calls that were avoided."""
    failed = sum(r.failed_calls for r in _select_bad(rows))
    return max(0.0, 1.0 - failed / max(1, sum(r.failed_calls for r in _select_bad(baseline))))


def score(
    outcomes: Sequence[Outcome], baseline: Sequence[Outcome], fleet: FleetResult
) -> list[Measure]:
    """Return a weighted score, at most 1, for each deployment and preset."""
    control_traffic = max(0.0, 1.0 - fleet.bytes_per_node_s / 200.0)
    stop_speed = max(0.0, 1.0 - fleet.stopped_s_p99 / 4.0)
    measures = []
    for deployment in DEPLOYMENTS:
        for preset in PRESETS:
            is_selected = [r.case.deployment == deployment and r.preset == preset for r in outcomes]
            rows = [r for r, is_included in zip(outcomes, is_selected, strict=True) if is_included]
            baseline_rows = [
                r for r, is_included in zip(baseline, is_selected, strict=True) if is_included
            ]
            values: list[float] = []
            for group in (rows, baseline_rows):
                parts = ScoreParts(
                    on_time=_share_on_time(group),
                    rollback_accuracy=_share_rolled_back(group) - _share_false_rollbacks(group),
                    avoided_failures=_share_avoided_failures(group, baseline_rows),
                    control_traffic=control_traffic,
                    stop_speed=stop_speed,
                )
                values.append(
                    sum(w * p for w, p in zip(WEIGHTS[deployment.name], parts, strict=True))
                )
            name = f"rollout.score_{deployment.name}_{preset}".replace("-", "_")
            measures.append(
                Measure("rollout", name, "", values[0], values[1], None, "higher", SEED, len(rows))
            )
    return measures
