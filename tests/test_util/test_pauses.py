from __future__ import annotations

from balsamhead.util.pauses import PauseDetector


class Clocks:
    def __init__(self) -> None:
        self.boot_time = 100.0
        self.time = 5.0

    def run(self, seconds: float) -> None:
        self.boot_time += seconds
        self.time += seconds


def make_detector(clocks: Clocks) -> PauseDetector:
    return PauseDetector(
        read_boot_time=lambda: clocks.boot_time, get_time=lambda: clocks.time, interval_s=0.3
    )


def test_process_that_runs_has_no_pause() -> None:
    clocks = Clocks()
    detector = make_detector(clocks)
    for _ in range(50):
        clocks.run(0.3)
        assert detector.check() == 0.0


def test_suspended_machine_is_a_pause() -> None:
    clocks = Clocks()
    detector = make_detector(clocks)
    clocks.boot_time += 4.0
    clocks.run(0.1)
    assert 3.9 < detector.check() < 4.1
    assert detector.check() == 0.0


# Both clocks go on while a process is stopped by a signal.
def test_stopped_process_is_a_pause() -> None:
    clocks = Clocks()
    detector = make_detector(clocks)
    clocks.run(2.0)
    assert detector.check() > 1.5
    assert detector.check() == 0.0
