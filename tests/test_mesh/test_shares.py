from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from balsamhead.mesh._shares import Shares
from balsamhead.mesh.model import Phase, Rollout

ROWS = {"v1": 2, "v2": 1}


def make_rollout(phase: Phase, *, order: int = 1, step: int = 0, share: float = 0.0) -> Rollout:
    return Rollout("desk", "v2", order, phase, step, share)


def select_versions(shares: Shares, rows: dict[str, int], calls: int) -> list[str]:
    return [next(iter(shares.select("desk", rows))) for _ in range(calls)]


def test_version_that_nobody_ordered_gets_nothing() -> None:
    assert set(select_versions(Shares(), ROWS, 20)) == {"v1"}


@given(st.floats(0.001, 0.999), st.integers(1, 300))
def test_new_version_gets_its_share_to_the_call(share: float, calls: int) -> None:
    shares = Shares()
    shares.merge(make_rollout(Phase.RUNNING, share=share))
    given = select_versions(shares, ROWS, calls).count("v2")
    assert abs(given - share * calls) <= 1.0


def test_full_share_moves_all_calls() -> None:
    shares = Shares()
    shares.merge(make_rollout(Phase.RUNNING, share=1.0))
    assert set(select_versions(shares, ROWS, 10)) == {"v2"}


def test_version_that_was_taken_back_gets_nothing_even_when_alone() -> None:
    shares = Shares()
    shares.merge(make_rollout(Phase.ROLLED_BACK))
    assert set(select_versions(shares, ROWS, 10)) == {"v1"}
    assert shares.select("desk", {"v2": 1}) == []


def test_completed_version_is_preferred() -> None:
    shares = Shares()
    shares.merge(make_rollout(Phase.COMPLETED))
    assert set(select_versions(shares, ROWS, 10)) == {"v2"}
    assert shares.select("desk", {"v1": 2}) == ["v1"]


rollouts = st.builds(
    make_rollout,
    st.sampled_from(list(Phase)),
    order=st.integers(0, 3),
    step=st.integers(0, 5),
    share=st.floats(0, 1),
)


@given(st.lists(rollouts, max_size=12))
def test_version_once_taken_back_stays_so_until_a_newer_order(rows: list[Rollout]) -> None:
    shares = Shares()
    back = -1
    for row in rows:
        shares.merge(row)
        held = shares.rollouts["desk"]
        if back == held.order:
            assert held.phase is Phase.ROLLED_BACK
        assert held.order >= back
        if held.phase is Phase.ROLLED_BACK:
            back = held.order


@given(st.lists(rollouts, max_size=8), st.randoms(use_true_random=False))
def test_nodes_that_hear_the_same_in_another_order_agree(rows: list[Rollout], rng: object) -> None:
    one, other = Shares(), Shares()
    for row in rows:
        one.merge(row)
    shuffled = list(rows)
    rng.shuffle(shuffled)  # type: ignore[attr-defined]
    for row in shuffled:
        other.merge(row)
    if rows:
        first, second = one.rollouts["desk"], other.rollouts["desk"]
        assert (first.order, first.phase, first.step) == (second.order, second.phase, second.step)


def test_version_that_was_taken_back_stays_out_when_another_is_ordered() -> None:
    shares = Shares()
    shares.merge(make_rollout(Phase.ROLLED_BACK, order=1))
    shares.merge(Rollout("desk", "v3", 2, Phase.RUNNING, 0, 0.1))
    rows = {"v1": 2, "v2": 2, "v3": 2}
    assert set(select_versions(shares, rows, 40)) == {"v1", "v3"}


def test_version_under_trial_gets_nothing_when_another_is_ordered() -> None:
    shares = Shares()
    shares.merge(make_rollout(Phase.RUNNING, order=1, share=0.5))
    shares.merge(Rollout("desk", "v3", 2, Phase.RUNNING, 0, 0.1))
    rows = {"v1": 2, "v2": 2, "v3": 2}
    assert set(select_versions(shares, rows, 40)) == {"v1", "v3"}


def test_version_that_was_taken_back_may_be_ordered_anew() -> None:
    shares = Shares()
    shares.merge(make_rollout(Phase.ROLLED_BACK, order=1))
    shares.merge(make_rollout(Phase.RUNNING, order=2, share=1.0))
    assert set(select_versions(shares, {"v1": 2, "v2": 2}, 10)) == {"v2"}
