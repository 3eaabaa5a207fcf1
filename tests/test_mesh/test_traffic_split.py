from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from balsamhead.mesh._traffic_split import TrafficSplit
from balsamhead.mesh.model import Phase, Rollout

UPSTREAM_COUNTS = {"v1": 2, "v2": 1}


def make_rollout(phase: Phase, *, order: int = 1, step: int = 0, share: float = 0.0) -> Rollout:
    return Rollout("desk", "v2", order, phase, step, share)


def select_repeatedly(
    shares: TrafficSplit, upstream_counts: dict[str, int], calls: int
) -> list[str]:
    return [next(iter(shares.select_versions("desk", upstream_counts))) for _ in range(calls)]


def test_version_without_an_order_gets_no_calls() -> None:
    assert set(select_repeatedly(TrafficSplit(), UPSTREAM_COUNTS, 20)) == {"v1"}


@given(st.floats(0.001, 0.999), st.integers(1, 300))
def test_new_version_gets_its_share_within_one_call(share: float, calls: int) -> None:
    shares = TrafficSplit()
    shares.apply_state(make_rollout(Phase.RUNNING, share=share))
    given = select_repeatedly(shares, UPSTREAM_COUNTS, calls).count("v2")
    assert abs(given - share * calls) <= 1.0


def test_full_share_sends_all_calls_to_the_new_version() -> None:
    shares = TrafficSplit()
    shares.apply_state(make_rollout(Phase.RUNNING, share=1.0))
    assert set(select_repeatedly(shares, UPSTREAM_COUNTS, 10)) == {"v2"}


def test_rolled_back_version_gets_no_calls_even_if_it_is_the_only_one() -> None:
    shares = TrafficSplit()
    shares.apply_state(make_rollout(Phase.ROLLED_BACK))
    assert set(select_repeatedly(shares, UPSTREAM_COUNTS, 10)) == {"v1"}
    assert shares.select_versions("desk", {"v2": 1}) == []


def test_completed_version_is_preferred() -> None:
    shares = TrafficSplit()
    shares.apply_state(make_rollout(Phase.COMPLETED))
    assert set(select_repeatedly(shares, UPSTREAM_COUNTS, 10)) == {"v2"}
    assert shares.select_versions("desk", {"v1": 2}) == ["v1"]


rollouts = st.builds(
    make_rollout,
    st.sampled_from(list(Phase)),
    order=st.integers(0, 3),
    step=st.integers(0, 5),
    share=st.floats(0, 1),
)


@given(st.lists(rollouts, max_size=12))
def test_rolled_back_version_stays_rolled_back_until_a_newer_order(states: list[Rollout]) -> None:
    shares = TrafficSplit()
    rolled_back_order = -1
    for state in states:
        shares.apply_state(state)
        held = shares.rollouts["desk"]
        if rolled_back_order == held.order:
            assert held.phase is Phase.ROLLED_BACK
        assert held.order >= rolled_back_order
        if held.phase is Phase.ROLLED_BACK:
            rolled_back_order = held.order


@given(st.lists(rollouts, max_size=8), st.randoms(use_true_random=False))
def test_state_does_not_depend_on_the_order_of_messages(states: list[Rollout], rng: object) -> None:
    first_node, second_node = TrafficSplit(), TrafficSplit()
    for state in states:
        first_node.apply_state(state)
    shuffled = list(states)
    rng.shuffle(shuffled)  # type: ignore[attr-defined]
    for state in shuffled:
        second_node.apply_state(state)
    if states:
        first, second = first_node.rollouts["desk"], second_node.rollouts["desk"]
        assert (first.order, first.phase, first.step) == (second.order, second.phase, second.step)


def test_rolled_back_version_gets_no_calls_when_another_is_ordered() -> None:
    shares = TrafficSplit()
    shares.apply_state(make_rollout(Phase.ROLLED_BACK, order=1))
    shares.apply_state(Rollout("desk", "v3", 2, Phase.RUNNING, 0, 0.1))
    upstream_counts = {"v1": 2, "v2": 2, "v3": 2}
    assert set(select_repeatedly(shares, upstream_counts, 40)) == {"v1", "v3"}


def test_uncompleted_version_gets_no_calls_when_another_is_ordered() -> None:
    shares = TrafficSplit()
    shares.apply_state(make_rollout(Phase.RUNNING, order=1, share=0.5))
    shares.apply_state(Rollout("desk", "v3", 2, Phase.RUNNING, 0, 0.1))
    upstream_counts = {"v1": 2, "v2": 2, "v3": 2}
    assert set(select_repeatedly(shares, upstream_counts, 40)) == {"v1", "v3"}


def test_rolled_back_version_may_be_ordered_again() -> None:
    shares = TrafficSplit()
    shares.apply_state(make_rollout(Phase.ROLLED_BACK, order=1))
    shares.apply_state(make_rollout(Phase.RUNNING, order=2, share=1.0))
    assert set(select_repeatedly(shares, {"v1": 2, "v2": 2}, 10)) == {"v2"}


# Nobody was served: a version that all upstreams ran was ordered again, and another one after it.
def test_version_of_a_replaced_order_is_used_while_no_other_old_version_is_left() -> None:
    shares = TrafficSplit()
    shares.apply_state(make_rollout(Phase.RUNNING, order=1)._replace(version="v1"))
    shares.apply_state(make_rollout(Phase.RUNNING, order=2, share=0.01))
    assert select_repeatedly(shares, {"v1": 2, "v2": 1}, 20) == ["v1"] * 20
    assert select_repeatedly(shares, {"v0": 2, "v1": 2, "v2": 1}, 20) == ["v0"] * 20


def test_version_that_was_rolled_back_is_not_used_even_if_no_other_old_one_is_left() -> None:
    shares = TrafficSplit()
    shares.apply_state(make_rollout(Phase.ROLLED_BACK, order=1)._replace(version="v1"))
    shares.apply_state(make_rollout(Phase.RUNNING, order=2, share=0.04))
    assert shares.select_versions("desk", {"v1": 2, "v2": 1}) == []
