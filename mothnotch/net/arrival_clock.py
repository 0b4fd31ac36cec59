"""Conversion of the kernel's receive timestamps to trio's monotonic clock."""

import math
import time
from collections.abc import Callable

import trio

# A larger change of the clocks' difference between two passes is a step of the wall clock.
_STEP_S = 0.002
# An arrival may appear to be this much later than its read: read times are not exact.
_JITTER_S = 0.001
# Scheduler passes that are closer together count as one, as each check has a cost.
_MIN_PASS_S = 0.01
# A pass that takes this much longer than its wait is a stall: no socket was polled meanwhile.
_STALL_S = 0.05
# For this long after a stall, data that arrived during it may still be unread.
_STALL_EFFECT_S = 0.25
# No data is unread for this long: an older arrival means that the learned offset is wrong.
_MAX_AGE_S = 10.0
# Maximum rate at which the wall clock is slewed against the monotonic clock.
_MAX_DRIFT_RATIO = 0.0005


class ArrivalClock(trio.abc.Instrument):
    """Converts kernel timestamps, which are wall-clock times, to trio's monotonic clock.

    The offset between the clocks is learned from the timestamps themselves: data that is read as
    soon as it arrives has the smallest delay between timestamp and read, so the smallest difference
    seen is the offset. The wall clock may be stepped at any time, before or after a timestamp is
    taken, so a timestamp may or may not include the step. Each scheduler pass therefore checks for
    a step, as does a read that is dated too early. After a step, the old and the new offset are
    both candidates until only one of them fits.

    An offset fits if data arrives no later than it is read and no earlier than two passes before,
    as an earlier pass would have reported it. The bound is two passes, as a wait that a signal
    interrupts may end without polling the sockets. It does not hold for a new connection, or if a
    read left data over. The offset that violates the bounds least is used; if both fit, the one
    with the earlier arrival, so that no request appears to have more time left than it has.

    The error is zero for a step that is larger than the time between two passes (0.25 s on an idle
    root), and otherwise at most the step, once.
    """

    def __init__(self, on_held_up: Callable[[float], None] | None = None):
        """Start without a learned offset; must be called inside trio.

        `on_held_up(duration_s)` is called after each stall.
        """
        self._on_held_up = on_held_up
        # Times of the last three scheduler passes, oldest first.
        self.third_last_pass_s = trio.current_time()
        self.second_last_pass_s = self.third_last_pass_s
        self.last_pass_s = self.third_last_pass_s
        self._wall_ahead_s = time.time() - self.last_pass_s
        # Candidates for monotonic time minus timestamp (two after a step); the time of learning.
        self.offsets_s = []
        self.learned_at_s = self.last_pass_s
        # The last stall: the earliest arrival of data that was unread during it, and its end.
        self._stall_start_s = -math.inf
        self._stall_end_s = -math.inf

    def after_io_wait(self, timeout: float) -> None:
        """Record a scheduler pass that waited `timeout` s at most; detect stalls and steps."""
        now_s = trio.current_time()
        gap_s = now_s - self.last_pass_s
        if gap_s < _MIN_PASS_S:
            return
        if gap_s - timeout > _STALL_S:  # sockets were not polled, but data may have arrived
            self._stall_start_s = self.third_last_pass_s
            self._stall_end_s = now_s
            if self._on_held_up is not None:
                self._on_held_up(gap_s - timeout)
        self._detect_step(now_s)
        self.third_last_pass_s = self.second_last_pass_s
        self.second_last_pass_s = self.last_pass_s
        self.last_pass_s = now_s

    def arrival(self, timestamp_s: float, now_s: float) -> float:
        """Return the arrival time, on trio's clock, of data with this timestamp read at `now_s`."""
        if not self.offsets_s:
            return self._learn(now_s - timestamp_s, now_s)

        def violation_s(offset_s):
            too_early_s = self.third_last_pass_s - timestamp_s - offset_s
            return max(0.0, too_early_s, timestamp_s + offset_s - now_s - _JITTER_S)

        def best_fit_s():
            return min(self.offsets_s, key=lambda offset_s: (violation_s(offset_s), offset_s))

        best_offset_s = best_fit_s()
        if self.third_last_pass_s - timestamp_s - best_offset_s > _STEP_S:
            # Passes closer than _MIN_PASS_S are not checked: the step may be more recent.
            self._detect_step(trio.current_time())
            best_offset_s = best_fit_s()
        # The clocks drift apart slowly, so an offset learned earlier may be too small now.
        drifted_offset_s = best_offset_s + _MAX_DRIFT_RATIO * (now_s - self.learned_at_s)
        arrived_s = min(now_s, timestamp_s + drifted_offset_s)
        if timestamp_s + best_offset_s > now_s or now_s - arrived_s >= _MAX_AGE_S:
            return self._learn(now_s - timestamp_s, now_s)
        if arrived_s >= self.third_last_pass_s and all(
            violation_s(offset_s) for offset_s in self.offsets_s if offset_s is not best_offset_s
        ):
            self._learn(min(drifted_offset_s, now_s - timestamp_s), now_s)
        return arrived_s

    def max_unread_age_s(self) -> float:
        """Return for how many seconds, at most, received data may be unread.

        This is the time since the sockets were last polled or between the last polls, as the data
        that the last poll reported may not have been read yet.
        """
        return max(
            trio.current_time() - self.last_pass_s, self.last_pass_s - self.third_last_pass_s
        )

    def earliest_arrival(self, last_s: float) -> float:
        """Return the earliest arrival time of data whose last byte arrived at `last_s`.

        The kernel timestamps only the last segment. The others arrived immediately before it,
        unless the root has just been stalled.
        """
        was_stalled = trio.current_time() - self._stall_end_s < _STALL_EFFECT_S
        return min(last_s, self._stall_start_s) if was_stalled else last_s

    def _detect_step(self, now_s):
        """Add a candidate if the wall clock was stepped since this was last checked."""
        wall_ahead_s = time.time() - now_s
        step_s = wall_ahead_s - self._wall_ahead_s
        self._wall_ahead_s = wall_ahead_s
        if self.offsets_s and abs(step_s) > _STEP_S:
            self.offsets_s = [self.offsets_s[-1], self.offsets_s[-1] - step_s]

    def _learn(self, offset_s, now_s):
        """Accept an offset as the only candidate; return `now_s`."""
        self.offsets_s = [offset_s]
        self.learned_at_s = now_s
        return now_s
