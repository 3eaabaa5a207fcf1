from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamhead.fold import (
    MAX_RULES_VERSION,
    Accepted,
    Checkpoint,
    ConfigState,
    FinishRollout,
    PauseRollout,
    Record,
    Refused,
    ResumeRollout,
    RollBackRollout,
    RolloutPhase,
    SetRulesVersion,
    StepRollout,
    empty_state,
    encode_record,
    fold,
    fold_entry,
    get_log_offset,
)
from balsamhead.util import codec
from tests.test_fold.builders import (
    NOW,
    build_document,
    build_publish,
    build_service,
    build_state,
    publish,
)


def fold_and_get_code(state: ConfigState, record: Record, offset: int = 99) -> str:
    folded = fold(state, offset, record)
    if isinstance(folded.verdict, Refused):
        assert folded.state is state
        return folded.verdict.code
    return "accepted"


def step_rollout(state: ConfigState, share: float, *, offset: int) -> ConfigState:
    rollout = state.rollouts[0]
    record = StepRollout(
        id=f"s{offset}",
        base=rollout.offset,
        written_at=NOW,
        writer="n",
        service=rollout.service,
        version=rollout.new,
        share=share,
    )
    return fold(state, offset, record).state


def roll_back(state: ConfigState, *, offset: int) -> ConfigState:
    rollout = state.rollouts[0]
    record = RollBackRollout(
        id=f"t{offset}",
        base=-1,
        written_at=NOW,
        writer="n",
        service=rollout.service,
        version=rollout.new,
        document_offset=rollout.document_offset,
        reason="errors",
    )
    return fold(state, offset, record).state


def test_first_version_of_a_service_starts_no_rollout() -> None:
    assert build_state(desk="v1").rollouts == ()


def test_publish_on_an_outdated_base_is_refused_and_changes_nothing() -> None:
    state = build_state(desk="v1")
    record = build_publish(build_document(desk="v2"), base=-1)
    assert fold_and_get_code(state, record) == "base-not-current"


def test_changed_version_starts_a_rollout_from_the_current_one() -> None:
    state = publish(build_state(desk="v1"), build_document(desk="v2"), offset=3)
    (rollout,) = state.rollouts
    assert (rollout.old, rollout.new, rollout.share) == ("v1", "v2", 0.0)
    assert (rollout.offset, rollout.document_offset) == (3, 3)


def test_publishing_the_same_version_again_keeps_the_rollout() -> None:
    state = publish(build_state(desk="v1"), build_document(desk="v2"), offset=3)
    state = step_rollout(state, 0.2, offset=4)
    again = publish(state, build_document(desk="v2", registry="v1"), offset=5)
    assert again.rollouts == state.rollouts


@pytest.mark.parametrize(("share", "old"), [(0.6, "v1"), (1.0, "v2")])
def test_third_version_rolls_out_from_the_one_that_serves_the_traffic(
    share: float, old: str
) -> None:
    state = publish(build_state(desk="v1"), build_document(desk="v2"), offset=3)
    state = publish(step_rollout(state, share, offset=4), build_document(desk="v3"), offset=5)
    assert (state.rollouts[0].old, state.rollouts[0].new) == (old, "v3")


def test_version_change_without_a_due_time_is_refused() -> None:
    state = build_state(a="v1")
    wanted = build_document(a="v2")._replace(services=(build_service("a", "v2", due_at=0.0),))
    record = build_publish(wanted, base=state.document_offset)
    assert fold_and_get_code(state, record) == "time-due-missing"


def test_removing_the_due_time_keeps_the_rollout_unchanged() -> None:
    state = publish(build_state(a="v1"), build_document(a="v2"), offset=1)
    same = build_document(a="v2")._replace(services=(build_service("a", "v2", due_at=0.0),))
    assert publish(state, same, offset=2).rollouts == state.rollouts


def test_publishing_the_old_version_again_ends_the_rollout() -> None:
    state = publish(build_state(desk="v1"), build_document(desk="v2"), offset=3)
    assert publish(state, build_document(desk="v1"), offset=4).rollouts == ()


def test_rolled_back_version_is_retried_only_after_a_new_due_time() -> None:
    state = publish(build_state(desk="v1"), build_document(desk="v2"), offset=3)
    state = roll_back(step_rollout(state, 0.2, offset=4), offset=5)
    assert state.withdrawn[0][:3] == ("desk", "v2", 3)

    unrelated_change = publish(state, build_document(desk="v2", registry="v1"), offset=6)
    assert unrelated_change.rollouts[0].phase is RolloutPhase.ROLLED_BACK

    document = build_document(desk="v2", registry="v1")
    later = document._replace(
        services=(build_service("desk", "v2", NOW + 9000), build_service("registry"))
    )
    retried = publish(unrelated_change, later, offset=7)
    assert retried.rollouts[0][2:7] == (7, "v1", "v2", 0.0, RolloutPhase.SHIFTING)


@pytest.mark.parametrize("share", [0.2, 0.1, 0.0, -1.0, 1.01, math.nan, math.inf])
def test_share_that_is_not_raised_or_out_of_range_is_refused(share: float) -> None:
    state = publish(build_state(desk="v1"), build_document(desk="v2"), offset=3)
    state = step_rollout(state, 0.2, offset=4)
    assert step_rollout(state, share, offset=5) is state


def test_full_share_is_watched_then_done_and_can_not_be_rolled_back() -> None:
    state = publish(build_state(desk="v1"), build_document(desk="v2"), offset=3)
    state = step_rollout(state, 1.0, offset=4)
    assert state.rollouts[0].phase is RolloutPhase.WATCHING
    finish = FinishRollout(id="f", base=4, written_at=NOW, writer="n", service="desk", version="v2")
    state = fold(state, 5, finish).state
    assert state.rollouts[0].phase is RolloutPhase.DONE
    assert roll_back(state, offset=6) is state


def test_paused_rollout_refuses_steps_but_can_be_rolled_back() -> None:
    state = publish(build_state(desk="v1"), build_document(desk="v2"), offset=3)
    pause = PauseRollout(id="a", base=3, written_at=NOW, writer="o", service="desk")
    state = fold(state, 4, pause).state
    assert step_rollout(state, 0.5, offset=5) is state
    assert fold_and_get_code(state, pause) == "base-not-current"
    resume = ResumeRollout(id="b", base=4, written_at=NOW, writer="o", service="desk")
    assert step_rollout(fold(state, 5, resume).state, 0.5, offset=6).rollouts[0].share == 0.5
    assert roll_back(state, offset=5).rollouts[0].phase is RolloutPhase.ROLLED_BACK


def test_records_under_unsupported_rules_are_refused() -> None:
    rules = SetRulesVersion(id="u", base=0, written_at=NOW, writer="o", rules=MAX_RULES_VERSION + 1)
    state = fold(build_state(desk="v1"), 1, rules).state
    record = build_publish(build_document(desk="v2"), base=0)
    assert fold_and_get_code(state, record) == "rules-unknown"


@given(st.binary(max_size=100) | st.builds(lambda x: codec.encode({"type": x}), st.text()))
def test_undecodable_bytes_are_refused(data: bytes) -> None:
    state = build_state(desk="v1")
    record, folded = fold_entry(state, 1, data)
    assert record is None
    assert folded.state is state
    assert isinstance(folded.verdict, Refused)


def test_record_of_another_format_is_refused() -> None:
    record = build_publish(build_document(desk="v1"), base=-1)
    plain = codec.decode(encode_record(record), dict, step="t")
    _, folded = fold_entry(empty_state(), 0, codec.encode({**plain, "format": 2}))
    assert isinstance(folded.verdict, Refused)
    assert folded.verdict.code == "record-format-unknown"


def test_recovery_into_an_emptied_log_keeps_versions_increasing() -> None:
    state = publish(build_state(desk="v1"), build_document(desk="v2"), offset=5000)
    record = Checkpoint(id="c", base=-1, written_at=NOW, writer="n", state=state)
    recovered = fold(empty_state(), 0, record).state
    assert recovered[:6] == state[:6]
    changed = publish(recovered, build_document(desk="v3"), offset=1)
    assert changed.offset > state.offset
    assert get_log_offset(changed.offset) == 1


def test_checkpoint_of_an_older_state_changes_nothing() -> None:
    old = build_state(desk="v1")
    state = publish(old, build_document(desk="v2"), offset=3)
    record = Checkpoint(id="c", base=2, written_at=NOW, writer="n", state=old)
    assert fold(state, 4, record) == (state, Accepted(4))
