"""Estimate when a leaf's process started, on the root's clock, whatever the leaf's clock says."""


class StartEstimator:
    """Start times of processes, limited by when the root could have been notified of them."""

    __slots__ = ("_clock_skew_s", "unsynced_since_us", "has_live_answer", "is_restored")

    def __init__(self, clock_skew_s: float):
        """Start before the first list; the clocks of machines may differ by `clock_skew_s`."""
        self._clock_skew_s = clock_skew_s
        # Whether an agent's answer has been merged since the start.
        self.has_live_answer = False
        # Whether the list was restored from the one cached on disk.
        self.is_restored = False
        # Since when no agent may have notified the root of changes; None: agents are notifying it.
        self.unsynced_since_us = None

    def on_answer_merged(self) -> None:
        """Record that an agent's answer was merged."""
        self.has_live_answer = True
        self.unsynced_since_us = None

    def on_agent_failure(self, now_us: int) -> None:
        """Record that the root may miss changes from now on."""
        if self.unsynced_since_us is None:
            self.unsynced_since_us = now_us

    def to_root_clock(self, start_s: float | None, now_us: int, wall_s: float) -> int:
        """Convert a start in seconds of the wall clock to us on the root's clock; 0: long ago."""
        if start_s is None:
            return 0
        age_us = int(max(0.0, wall_s - start_s - self._clock_skew_s) * 1e6)
        return now_us - age_us if age_us < now_us else 0

    def start_of_new_process(self, stated_start_s: float | None, now_us: int, wall_s: float) -> int:
        """Return the start of a process that was just discovered, in us on the root's clock.

        While agents notify the root, it learns of a new process at once. An earlier stated start
        comes from a wrong clock and would let a leaf that is warming up skip its slow start.
        """
        if not self.has_live_answer and not self.is_restored:
            # The very first list: there is no other evidence than the stated start.
            return self.to_root_clock(stated_start_s, now_us, wall_s)
        if not self.has_live_answer and stated_start_s is not None:
            # The process is new since the list was cached, however long ago that was.
            return self.to_root_clock(stated_start_s, now_us, wall_s)
        if stated_start_s is None:
            return now_us
        notified_until_us = now_us if self.unsynced_since_us is None else self.unsynced_since_us
        return max(notified_until_us, self.to_root_clock(stated_start_s, now_us, wall_s))
