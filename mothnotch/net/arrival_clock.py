"""Converts the kernel's time stamps of arrived data to trio's monotonic clock."""

import math
import time

import trio

# The wall clock and the monotonic one that part by more between two passes show a step.
_STEP_S = 0.002
# A stamp may lie so far ahead of the least delay learned: reads are not exact.
_JITTER_S = 0.001
# Passes of the scheduler that are nearer to each other count as one: each look costs.
_MIN_PASS_S = 0.01
# A root that looked at no socket for so long, its waits aside, was stalled.
_STALL_S = 0.05
# For so long after a stall, what came during it may still be unread.
_STALL_EFFECT_S = 0.25
# Data that would have come so long ago was not dated by this clock.
_MAX_AGE_S = 10.0
# The most that the wall clock is slewed against the monotonic one, as a part of the time passed.
_MAX_DRIFT_RATIO = 0.0005


class ArrivalClock(trio.abc.Instrument):
    """Moves the kernel's time stamps, which are of the wall clock, to trio's monotonic clock.

    What to add to a stamp is learned from the stamps themselves: data that is read as soon as it
    comes has the least delay between stamp and read, so that the least one seen is the difference
    of the clocks. The wall clock may be stepped at any time, and the stamps with it or not. Each
    pass of the scheduler therefore looks for a step, and from then on both differences are tried
    until one alone fits: no data comes later than it is read, and most of it no earlier than two
    passes before, as one would have reported it (two: a wait that a signal interrupts may end
    without a look; and not so on a new connection, or where a read left something over). The one
    that misses this span by least is taken; if both fit, the earlier arrival counts, as no request
    may be believed to have more time than it has. Error: none for a step that is larger than the
    time between two passes (a quarter of a second on an idle root); else at most the step, once.
    """

    def __init__(self):
        """Start with no difference learned; must be called inside trio."""
        # The last three passes of the scheduler, oldest first.
        self.third_last_pass_s = trio.current_time()
        self.second_last_pass_s = self.third_last_pass_s
        self.last_pass_s = self.third_last_pass_s
        self._wall_ahead_s = time.time() - self.last_pass_s
        # Monotonic time less stamp: one, or two after a step; and when the last was learned.
        self.offsets_s = []
        self.learned_at_s = self.last_pass_s
        # The last stall: the pass before it, and its end.
        self._stall_start_s = -math.inf
        self._stall_end_s = -math.inf

    def after_io_wait(self, timeout: float) -> None:
        """Note a pass of the scheduler, which waited at most `timeout` seconds; look for a step."""
        now_s = trio.current_time()
        gap_s = now_s - self.last_pass_s
        if gap_s < _MIN_PASS_S:
            return
        if gap_s - timeout > _STALL_S:  # nothing was looked at, though something may have come
            self._stall_start_s = self.third_last_pass_s
            self._stall_end_s = now_s
        wall_ahead_s = time.time() - now_s
        step_s = wall_ahead_s - self._wall_ahead_s
        self._wall_ahead_s = wall_ahead_s
        if self.offsets_s and abs(step_s) > _STEP_S:
            self.offsets_s = [self.offsets_s[-1], self.offsets_s[-1] - step_s]
        self.third_last_pass_s = self.second_last_pass_s
        self.second_last_pass_s = self.last_pass_s
        self.last_pass_s = now_s

    def arrival(self, stamp_s: float, now_s: float) -> float:
        """Return when data with that stamp, read at `now_s`, came: seconds on trio's clock."""
        if not self.offsets_s:
            return self._learn(now_s - stamp_s, now_s)

        def miss_s(offset_s):
            too_early_s = self.third_last_pass_s - stamp_s - offset_s
            return max(0.0, too_early_s, stamp_s + offset_s - now_s - _JITTER_S)

        best_s = min(self.offsets_s, key=lambda offset_s: (miss_s(offset_s), offset_s))
        # The clocks drift apart slowly: what was least some time ago need not be now.
        drifted_s = best_s + _MAX_DRIFT_RATIO * (now_s - self.learned_at_s)
        arrived_s = min(now_s, stamp_s + drifted_s)
        if stamp_s + best_s > now_s or now_s - arrived_s >= _MAX_AGE_S:
            return self._learn(now_s - stamp_s, now_s)
        if arrived_s >= self.third_last_pass_s and all(
            miss_s(offset_s) for offset_s in self.offsets_s if offset_s is not best_s
        ):
            self._learn(min(drifted_s, now_s - stamp_s), now_s)
        return arrived_s

    def max_unread_age_s(self) -> float:
        """Return for how many seconds something may have lain unread.

        That is since sockets were last looked at, or between the last looks, as what they showed
        need not be read yet.
        """
        return max(
            trio.current_time() - self.last_pass_s, self.last_pass_s - self.third_last_pass_s
        )

    def earliest_arrival(self, last_s: float) -> float:
        """Return when the first of some data came at the earliest, whose last came at `last_s`.

        The kernel stamps the last only. It came at once after the rest, unless the root was stalled
        just before.
        """
        stalled = trio.current_time() - self._stall_end_s < _STALL_EFFECT_S
        return min(last_s, self._stall_start_s) if stalled else last_s

    def _learn(self, offset_s, now_s):
        """Take a difference of the clocks for the one that holds; return now."""
        self.offsets_s = [offset_s]
        self.learned_at_s = now_s
        return now_s
