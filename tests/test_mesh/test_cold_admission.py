from __future__ import annotations

from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamhead.mesh.model import ColdStart
from balsamhead.mesh.warmup import ColdAdmission, ColdReason, LossSigns, get_cold_limit

COLD_START = ColdStart(duration_s=3.0, rate_per_s=5.5)
#: time without a heartbeat after which an upstream is assumed to be cold, in s
SILENCE_S = 3.0
#: longest time between the admission of a request and its sending, in s
MAX_CONNECT_S = 0.3


def make_admission(
    cold_start: ColdStart | None = COLD_START, *, now: float = 0.0, warm: bool = False
) -> ColdAdmission:
    admission = ColdAdmission(silence_s=SILENCE_S, now=now)
    admission.set_cold_start(cold_start, now)
    if warm:
        admission.apply_heartbeat(started_at_ms=1000, cold_s=0.0, now=now)
    return admission


def get_allowed(rate_per_s: float) -> float:
    """Return the most requests in a second that a cold upstream bears."""
    return rate_per_s * 1.5 + 8


def send_all(admission: ColdAdmission, since: float, until: float) -> list[float]:
    """Offer a request each 10 ms, and return when one was sent."""
    sent = []
    for step in range(round((until - since) * 100)):
        now = since + step / 100
        if admission.try_acquire(now) and admission.try_send(now):
            sent.append(now)
    return sent


def count_most(times: list[float], *, window_s: float = 1.0) -> int:
    return max((sum(t <= row <= t + window_s for row in times) for t in times), default=0)


class Step(NamedTuple):
    """What happens after some time: an event and the number of requests that arrive then."""

    delay_s: float
    event: str
    value: float
    arrivals: int
    connect_s: float


STEPS = st.lists(
    st.builds(
        Step,
        delay_s=st.floats(0.0, 0.7),
        event=st.sampled_from(
            [
                "none", "none", "none", "same", "new", "restart-node",
                *(reason.value for reason in ColdReason if reason is not ColdReason.ANNOUNCED),
            ]
        ),
        value=st.sampled_from([0.0, 0.0, 0.3, 1.5, 3.0]),
        arrivals=st.sampled_from([0, 1, 5, 40]),
        connect_s=st.sampled_from([0.0, 0.0, 0.05, MAX_CONNECT_S]),
    ),
    max_size=60,
)  # fmt: skip


# An upstream failed under the requests of one second, of which some were sent before it was known
# to be cold, or by the previous run of its node.
@given(steps=STEPS, rate_per_s=st.floats(0.5, 60.0))
def test_cold_upstream_gets_no_more_than_it_bears_in_any_second(
    steps: list[Step], rate_per_s: float
) -> None:
    cold_start = ColdStart(3.0, rate_per_s)
    admission, now, born = make_admission(cold_start), 0.0, 1000
    pending: list[float] = []
    sent_cold: list[float] = []
    sent_by_run: list[float] = []

    def send_due(until: float) -> None:
        for due in sorted(row for row in pending if row <= until):
            pending.remove(due)
            cold = admission.is_cold(due)
            if admission.try_send(due):
                sent_by_run.append(due)
                if cold:
                    sent_cold.append(due)
                    own = [row for row in sent_by_run if row > due - 1.0]
                    assert len(own) <= get_allowed(rate_per_s)

    for step in steps:
        send_due(now + step.delay_s)
        now += step.delay_s
        match step.event:
            case "none":
                pass
            case "same" | "new":
                born += step.event == "new"
                admission.apply_heartbeat(started_at_ms=born, cold_s=step.value, now=now)
            case "restart-node":
                admission = make_admission(cold_start, now=now)
                pending.clear()
                sent_by_run.clear()
            case reason:
                admission.assume_cold(ColdReason(reason), now)
        for _ in range(step.arrivals):
            if admission.try_acquire(now):
                pending.append(now + step.connect_s)
        send_due(now)
    assert count_most(sent_cold) <= get_allowed(rate_per_s)


def test_cold_upstream_gets_about_the_rate_that_it_tolerates() -> None:
    for rate_per_s in (0.5, 5.5, 40.0):
        admission = make_admission(ColdStart(3.0, rate_per_s))
        sent = send_all(admission, 0.0, 20.0)
        assert len(sent) >= rate_per_s * 19 * 0.9
        assert count_most(sent) <= rate_per_s + 3


def test_nothing_is_limited_without_a_cold_start() -> None:
    admission = make_admission(None)
    admission.assume_cold(ColdReason.CRASH, 0.0)
    admission.apply_heartbeat(started_at_ms=1000, cold_s=3.0, now=0.0)
    assert not admission.is_cold(0.0)
    assert len(send_all(admission, 0.0, 5.0)) == 500


def test_warm_upstream_gets_all_requests() -> None:
    admission = make_admission(warm=True)
    assert not admission.is_cold(0.1)
    assert len(send_all(admission, 0.1, 2.1)) == 200


def test_upstream_is_warm_again_at_the_time_that_its_heartbeat_names() -> None:
    admission = make_admission()
    admission.apply_heartbeat(started_at_ms=1000, cold_s=1.0, now=1.0)
    assert admission.get_reason(1.9) is ColdReason.ANNOUNCED
    assert admission.get_reason(2.1) is None
    assert len(send_all(admission, 2.1, 3.1)) == 100


# Requests that were sent while the upstream was warm made it fail when it was cold.
def test_requests_of_the_last_second_count_when_the_upstream_becomes_cold() -> None:
    admission = make_admission(warm=True)
    assert len(send_all(admission, 0.0, 2.0)) == 200
    admission.apply_heartbeat(started_at_ms=1000, cold_s=3.0, now=2.0)
    assert send_all(admission, 2.0, 2.9) == []
    assert len(send_all(admission, 3.1, 4.1)) <= COLD_START.rate_per_s + 3


def test_request_that_was_admitted_before_is_not_sent_to_a_cold_upstream() -> None:
    admission = make_admission(warm=True)
    assert all(admission.try_acquire(1.0) for _ in range(50))
    admission.assume_cold(ColdReason.UNREACHABLE, 1.0)
    assert sum(admission.try_send(1.1) for _ in range(50)) <= get_allowed(5.5)


# The previous run of a node may have sent all that the upstream takes in this second.
def test_node_that_starts_sends_nothing_at_first() -> None:
    admission = make_admission(now=7.0)
    admission.apply_heartbeat(started_at_ms=1000, cold_s=3.0, now=7.0)
    assert send_all(admission, 7.0, 7.6) == []
    assert send_all(admission, 7.6, 8.6)


def test_requests_before_the_first_configuration_count() -> None:
    admission = ColdAdmission(silence_s=SILENCE_S, now=0.0)
    assert len(send_all(admission, 0.0, 1.0)) == 100
    admission.set_cold_start(COLD_START, 1.0)
    assert send_all(admission, 1.0, 1.9) == []


def test_upstream_is_assumed_to_be_cold_while_heartbeats_are_missing() -> None:
    admission = make_admission(warm=True)
    assert admission.get_reason(SILENCE_S) is None
    assert admission.get_reason(SILENCE_S + 0.01) is ColdReason.SILENCE
    admission.apply_heartbeat(started_at_ms=1000, cold_s=0.0, now=3.2)
    assert admission.get_reason(3.2) is None


# A heartbeat that was on its way as the upstream crashed made the next incarnation look warm.
@pytest.mark.parametrize(
    "reason", [ColdReason.UNREACHABLE, ColdReason.CRASH, ColdReason.REPLACED, ColdReason.PAUSE]
)
def test_heartbeat_that_was_on_its_way_does_not_end_the_assumption(reason: ColdReason) -> None:
    admission = make_admission(warm=True)
    admission.assume_cold(reason, 1.0)
    admission.apply_heartbeat(started_at_ms=1000, cold_s=0.0, now=1.2)
    assert admission.get_reason(1.2) is reason
    admission.apply_heartbeat(started_at_ms=1000, cold_s=0.0, now=2.7)
    assert admission.get_reason(2.7) is None


def test_heartbeat_of_the_next_incarnation_ends_the_assumption() -> None:
    admission = make_admission(warm=True)
    admission.assume_cold(ColdReason.UNREACHABLE, 1.0)
    admission.apply_heartbeat(started_at_ms=1001, cold_s=2.0, now=1.2)
    assert admission.get_reason(1.2) is ColdReason.ANNOUNCED
    assert admission.get_reason(3.3) is None


# Heartbeats that were received during a pause are read after it.
def test_heartbeats_of_a_pause_do_not_end_the_assumption() -> None:
    admission = make_admission(warm=True)
    admission.assume_cold(ColdReason.PAUSE, 9.0)
    admission.assume_cold(ColdReason.UNREACHABLE, 9.0)
    for born in (1000, 1001):
        admission.apply_heartbeat(started_at_ms=born, cold_s=0.0, now=9.01)
    assert admission.get_reason(9.1) is ColdReason.PAUSE


def test_evacuation_that_has_ended_is_followed_by_a_cold_phase() -> None:
    admission = make_admission(warm=True)
    admission.assume_cold(ColdReason.EVACUATION, 1.0)
    assert len(send_all(admission, 1.0, 2.0)) <= COLD_START.rate_per_s + 3
    admission.apply_heartbeat(started_at_ms=1000, cold_s=0.0, now=2.0)
    assert not admission.is_cold(2.0)


def test_delay_ends_when_the_upstream_is_warm() -> None:
    admission = make_admission(ColdStart(3.0, 0.5))
    admission.apply_heartbeat(started_at_ms=1000, cold_s=0.2, now=1.0)
    assert 0.2 <= admission.get_delay(1.0, ahead=20) <= 0.3


def test_single_spoiled_response_is_no_sign_of_a_crash() -> None:
    signs = LossSigns()
    assert not signs.record_loss(1.0, fresh=True, heard=True)
    assert not signs.record_loss(2.0, fresh=False, heard=False)
    assert not signs.record_loss(3.0, fresh=False, heard=True)


def test_losses_at_once_or_on_a_fresh_connection_are_signs_of_a_crash() -> None:
    signs = LossSigns()
    assert not signs.record_loss(1.0, fresh=False, heard=False)
    assert signs.record_loss(1.01, fresh=False, heard=False)
    assert LossSigns().record_loss(1.0, fresh=True, heard=False)


def test_lower_one_of_the_limits_holds_for_a_cold_upstream() -> None:
    assert get_cold_limit(COLD_START, limit_per_s=None) == 5.5
    assert get_cold_limit(COLD_START, limit_per_s=2.0) == 2.0
    assert get_cold_limit(COLD_START, limit_per_s=9.0) == 5.5
