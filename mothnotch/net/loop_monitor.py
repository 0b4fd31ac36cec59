"""Measurement of the event loop: which steps took how long, and what held the loop up.

While a step runs, no socket is polled, no due answer is sent and no deadline is enforced. A loop
that was held up without long steps was held up from outside, by the host or a stopped process.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from time import perf_counter

# Number of steps that are kept for the report of a loop that is held up.
MAX_KEPT_STEPS = 256


@dataclass(slots=True)
class StepTimes:
    """The steps of one kind: their number, total time and longest time."""

    count: int = 0
    total_s: float = 0.0
    longest_s: float = 0.0

    def add(self, duration_s: float):
        """Add a step."""
        self.count += 1
        self.total_s += duration_s
        self.longest_s = max(self.longest_s, duration_s)


class LoopMonitor:
    """Records steps of the event loop, and reports them when the loop was held up.

    `longest_s`: the longest hold-up; `longest_step_s`: the longest step of each kind. Times are
    measured by `perf_counter`.
    """

    def __init__(self, report: Callable = lambda event, **fields: None):
        """`report(event, **fields)` is called after each hold-up."""
        self.longest_s = 0.0
        self.longest_step_s = {}
        self._report = report
        self._steps = deque(maxlen=MAX_KEPT_STEPS)  # (end, kind, duration), oldest first

    def record(self, kind: str, started_s: float) -> None:
        """Record a step that ends now."""
        now_s = perf_counter()
        duration_s = now_s - started_s
        if duration_s > self.longest_step_s.get(kind, 0.0):
            self.longest_step_s[kind] = duration_s
        self._steps.append((now_s, kind, duration_s))

    def on_held_up(self, duration_s: float) -> None:
        """Report that the sockets were not polled for `duration_s`, until now."""
        self.longest_s = max(self.longest_s, duration_s)
        began_s = perf_counter() - duration_s
        times_by_kind = {}
        for end_s, kind, step_s in self._steps:
            if end_s >= began_s:
                times_by_kind.setdefault(kind, StepTimes()).add(step_s)
        fields = {
            kind.replace(" ", "_"): {
                "steps": times.count,
                "total_s": round(times.total_s, 4),
                "longest_s": round(times.longest_s, 4),
            }
            for kind, times in times_by_kind.items()
        }
        self._report("event loop held up", held_s=round(duration_s, 4), **fields)

    def summary(self) -> dict:
        """Return the longest hold-up and steps in seconds, for the last log line."""
        steps = {kind: round(longest_s, 4) for kind, longest_s in self.longest_step_s.items()}
        return {"longest_hold_up_s": round(self.longest_s, 4), "longest_step_s": steps}
