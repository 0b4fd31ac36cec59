"""Conversion of kernel receive timestamps to the monotonic clock, with times set by the test."""

import time

import pytest
import trio

from mothnotch.net import ArrivalClock

WALL = 1_700_000_000.0  # wall clock time at the zero of the monotonic clock


def make_clock(*passes, offset=-WALL, learned=0.0):
    """Return a clock that has learned an offset, with its last three passes at the given times."""

    async def create():
        return ArrivalClock()

    clock = trio.run(create)
    clock.third_last_pass_s, clock.second_last_pass_s, clock.last_pass_s = passes
    clock.offsets_s, clock.learned_at_s = [offset], learned
    return clock


def test_data_read_late_is_dated_by_its_kernel_timestamp():
    assert make_clock(9.0, 9.2, 10.0).arrival(WALL + 9.5, 10.0) == pytest.approx(9.5, abs=0.01)


def test_offset_is_learned_from_the_read_with_the_least_delay():
    clock = make_clock(9.0, 9.2, 10.0)
    clock.offsets_s = []
    # The first read: there is nothing to compare it with.
    assert clock.arrival(WALL + 9.6, 10.0) == 10.0
    assert clock.arrival(WALL + 10.0, 10.0) == 10.0
    assert clock.arrival(WALL + 9.6, 10.0) == pytest.approx(9.6, abs=0.01)


@pytest.mark.parametrize("step", [3.0, -3.0, 3600.0, -3600.0])
def test_timestamps_from_before_and_after_a_clock_step_are_both_converted(step):
    clock = make_clock(9.0, 9.2, 10.0)
    clock.offsets_s = [-WALL, -WALL - step]  # as left by a pass that detects the step
    assert clock.arrival(WALL + 9.5, 10.0) == pytest.approx(9.5, abs=0.01)
    clock.offsets_s = [-WALL, -WALL - step]
    assert clock.arrival(WALL + step + 9.5, 10.0) == pytest.approx(9.5, abs=0.01)


def test_clock_slewed_during_a_long_time_without_reads_is_followed():
    """After an hour at 100 ppm without reads, timestamps are 0.36 s behind although data is read at
    once.
    """
    clock = make_clock(3600.0, 3600.2, 3600.4)
    arrivals_s = [clock.arrival(WALL + at - 0.36, at) for at in (3600.4, 3600.45, 3600.5)]
    assert arrivals_s == pytest.approx([3600.4, 3600.45, 3600.5], abs=0.01)


def test_correct_offset_slightly_ahead_is_preferred_to_one_that_is_seconds_off():
    clock = make_clock(9.0, 9.2, 10.0)
    # The first offset was learned from a read that was 12 ms late.
    clock.offsets_s = [-WALL + 0.012, -WALL - 3.0]
    assert clock.arrival(WALL + 9.999, 10.0) == pytest.approx(10.0, abs=0.02)


# Guards against a request dated back by a step of the wall clock that no pass has noticed.
@pytest.mark.parametrize("step", [3.0, -0.4, -3.0, -9.0, -3600.0])
def test_step_since_the_last_pass_is_noticed_at_the_read(monkeypatch, step):
    clock = make_clock(9.98, 9.99, 10.0)
    clock._wall_ahead_s = WALL
    monkeypatch.setattr(time, "time", lambda: WALL + step + 10.004)
    monkeypatch.setattr(trio, "current_time", lambda: 10.004)
    assert clock.arrival(WALL + step + 10.003, 10.004) == pytest.approx(10.003, abs=0.01)
