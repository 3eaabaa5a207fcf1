from __future__ import annotations

from balsamhead.mesh._slot_usage import SlotUsage, SlotUsageSummary


def test_summary_holds_mean_use_and_waits_of_its_interval() -> None:
    usage = SlotUsage(10.0)
    usage.set_in_use(2, 10.5)
    usage.record_wait(0.0, granted=True)
    usage.record_wait(0.03, granted=True)
    usage.record_wait(0.2, granted=False)
    assert usage.drain(11.0) == SlotUsageSummary(
        mean_in_use=1.0, granted=2, waited=1, denied=1, max_wait_ms=200.0
    )


def test_slots_in_use_carry_over_to_the_next_interval() -> None:
    usage = SlotUsage(0.0)
    usage.set_in_use(2, 0.0)
    usage.drain(1.0)
    assert usage.drain(2.0) == SlotUsageSummary(
        mean_in_use=2.0, granted=0, waited=0, denied=0, max_wait_ms=0.0
    )
